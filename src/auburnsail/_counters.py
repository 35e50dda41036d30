"""Counters of the request path."""

from dataclasses import dataclass

__all__ = ["Counters"]


@dataclass(slots=True)
class Counters:
    """Counters of the request path since the node's start; metric names contain the field names.

    Attributes:
        requests: Requests with a valid head, from callers and other nodes.
        forwarded: Requests that another node forwarded to this one.
        retries: Attempts after the first.
        silent: Attempts that ended because the peer stayed silent.
        cancelled: Requests whose caller closed the connection before the answer was sent.
        cut_short: Answers that ended after a part of them had been relayed.
        not_run: Requests that this node answered with the outcome ``not-run``.
        unknown: Requests that this node answered with the outcome ``unknown``.
        refused: Requests that this node answered with the outcome ``refused``.
    """

    requests: int = 0
    forwarded: int = 0
    retries: int = 0
    silent: int = 0
    cancelled: int = 0
    cut_short: int = 0
    not_run: int = 0
    unknown: int = 0
    refused: int = 0
