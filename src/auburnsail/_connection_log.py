"""Logging of callers' connections that end outside the request path."""

import structlog

from ._caller_request import CallerConnection
from ._clock import NS_PER_MS, Clock
from ._request_log import LOG_EVERY_NS
from .exceptions import CallerGoneError

__all__ = ["ConnectionLog"]


class ConnectionLog:
    """Writes log lines about connections of callers.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._log = structlog.get_logger()
        self._clock = clock
        self._next_log_ns = 0
        self._unlogged = 0

    def unanswered(
        self, connection: CallerConnection, address: tuple[str, int], error: CallerGoneError
    ) -> None:
        """Logs a connection that ended before its caller had received the whole last answer.

        At most one connection per `LOG_EVERY_NS` is logged; the others are counted.

        Args:
            connection: The caller's connection.
            address: Address of the server.
            error: Why the connection ended.
        """
        now_ns = self._clock.now_ns()
        if now_ns < self._next_log_ns:
            self._unlogged += 1
            return
        since_ns = connection.server.draining_since_ns
        self._log.info(
            "answer not received",
            address=f"{address[0]}:{address[1]}",
            cause=error.detail,
            step=error.step,
            connection_requests=connection.requests,
            wait_ended=connection.wait_ended,
            stopping_ms=(now_ns - since_ns) // NS_PER_MS if since_ns else -1,
            unlogged=self._unlogged,
        )
        self._next_log_ns = now_ns + LOG_EVERY_NS
        self._unlogged = 0
