"""Counters of the request path."""

from dataclasses import dataclass

__all__ = ["Counters"]


@dataclass(slots=True)
class Counters:
    """Counters of the request path since the node's start; metric names contain the field names."""

    requests: int = 0
    forwarded: int = 0
    retries: int = 0
    silent: int = 0
    cancelled: int = 0
    cut_short: int = 0
    not_run: int = 0
    unknown: int = 0
    refused: int = 0
