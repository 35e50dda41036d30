"""Periodic expiry of requests and connections, shared by all servers of an application."""

from typing import Protocol

import gevent
from gevent.event import Event

from . import _supervision
from ._clock import NS_PER_MS, Clock

__all__ = ["Sweeper"]

# Bound on the delay with which a caller's disconnect or a passed deadline is detected.
SWEEP_INTERVAL_MS = 25
# An idle node waits up to this long before the next interval; a request that begins ends the wait.
MAX_IDLE_WAIT_MS = 100
CONNECTION_SWEEP_INTERVAL_MS = 500


class SweptApplication(Protocol):
    """An application whose requests in flight are checked periodically."""

    def sweep(self, now_ns: int) -> None:
        """Cancels requests whose deadline has passed or whose caller has disconnected."""


class SweptServer(Protocol):
    """A server whose connections are checked periodically."""

    @property
    def is_idle(self) -> bool:
        """Whether no connection has a request in flight."""

    def expire_connections(self, now_ns: int) -> None:
        """Ends connections whose next request head did not arrive in time."""


class Sweeper:
    """Checks an application and its servers periodically from one greenlet.

    Args:
        application: Application whose requests are checked.
        clock: Source of time.
    """

    def __init__(self, application: SweptApplication, clock: Clock) -> None:
        self._application = application
        self._clock = clock
        self._servers: list[SweptServer] = []
        self._greenlet: gevent.Greenlet | None = None
        self._request_started = Event()

    def add(self, server: SweptServer) -> None:
        """Adds a server whose connections are checked."""
        self._servers.append(server)

    def start(self) -> None:
        """Starts the greenlet unless it is running already."""
        if self._greenlet is None:
            self._greenlet = _supervision.spawn_restarting("sweep", self._run)

    def stop(self) -> None:
        """Stops the greenlet without waiting for its end."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def wake(self) -> None:
        """Ends the idle wait, because a request has begun."""
        self._request_started.set()

    def _run(self) -> None:
        next_connections_ns = 0
        while True:
            if all(server.is_idle for server in self._servers):
                self._request_started.clear()
                self._request_started.wait(MAX_IDLE_WAIT_MS / 1000)
            gevent.sleep(SWEEP_INTERVAL_MS / 1000)
            now_ns = self._clock.now_ns()
            self._application.sweep(now_ns)
            if now_ns >= next_connections_ns:
                next_connections_ns = now_ns + CONNECTION_SWEEP_INTERVAL_MS * NS_PER_MS
                for server in self._servers:
                    server.expire_connections(now_ns)
