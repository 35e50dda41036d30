"""Requests that are still in flight when the process of a node ends."""

from collections.abc import Iterable

import structlog

from ._active_requests import STOPPING, RequestContext
from ._clock import NS_PER_MS

__all__ = ["reset_requests"]


def reset_requests(contexts: Iterable[RequestContext], stop_ns: int, now_ns: int) -> None:
    """Resets the callers' connections of requests and writes one log line for each.

    Without a reset the end of the process would close the connections, and a partial answer without
    a length would look complete.

    Args:
        contexts: The requests in flight.
        stop_ns: When the stop signal arrived.
        now_ns: The current time in nanoseconds.
    """
    log = structlog.get_logger()
    for context in tuple(contexts):
        log.warning(
            "request ended with the process",
            id=context.request_id,
            service=context.destination.service,
            state=state_of(context),
            peer=context.peer,
            hop=context.hop is not None,
            age_ms=(now_ns - context.started_ns) // NS_PER_MS,
            since_stop_ms=(now_ns - stop_ns) // NS_PER_MS,
        )
        context.stop(STOPPING)
        context.request.reset_connection()


def state_of(context: RequestContext) -> str:
    """Returns what a request in flight waits for.

    ``answer``: sending the rest of its answer; ``peer``: the answer of a peer it was sent to;
    ``connect``: a connection to a peer; ``body``: the rest of its body; ``turn``: anything else.
    """
    if context.request.is_answered:
        return "answer"
    if context.exchange is not None:
        return "peer"
    if context.connecting is not None:
        return "connect"
    return "turn" if context.request.body.is_complete else "body"
