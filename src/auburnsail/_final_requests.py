"""Requests that are still in flight when the process of a node ends."""

from collections.abc import Iterable

from ._active_requests import STOPPING, RequestContext
from ._request_log import RequestLog

__all__ = ["reset_requests"]


def reset_requests(contexts: Iterable[RequestContext], log: RequestLog) -> None:
    """Resets the callers' connections of requests and writes one log line for each.

    Without a reset the end of the process would close the connections, and a partial answer without
    a length would look complete.

    Args:
        contexts: The requests in flight.
        log: Receives the lines.
    """
    for context in tuple(contexts):
        log.ended_with_process(context, state_of(context))
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
