"""Looks at requests and connections periodically, once for all servers of an application."""

from typing import Protocol

import gevent
from gevent.event import Event

from ._clock import NS_PER_MS, Clock

__all__ = ["Sweeper"]

# Callers that leave and deadlines that pass are noticed within this time.
SWEEP_MS = 25
# An idle node's sweeps rest until a request begins, or a sweep of the connections is due.
IDLE_SWEEP_MS = 100
CONNECTION_SWEEP_MS = 500


class SweptApplication(Protocol):
    """What is swept while requests are in flight."""

    def sweep(self, now_ns: int) -> None:
        """Stops requests whose time is over or whose caller has gone."""


class SweptServer(Protocol):
    """A server whose connections are swept."""

    @property
    def is_idle(self) -> bool:
        """Whether no connection has a request."""

    def expire_connections(self, now_ns: int) -> None:
        """Ends connections whose next head did not arrive in time."""


class Sweeper:
    """Sweeps an application and its servers from one greenlet.

    Args:
        application: What is swept.
        clock: Source of time.
    """

    def __init__(self, application: SweptApplication, clock: Clock) -> None:
        self._application = application
        self._clock = clock
        self._servers: list[SweptServer] = []
        self._greenlet: gevent.Greenlet | None = None
        self._request_begun = Event()

    def add(self, server: SweptServer) -> None:
        """Sweeps a server's connections, too."""
        self._servers.append(server)

    def start(self) -> None:
        """Starts to sweep, if it has not started yet."""
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops to sweep."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def wake(self) -> None:
        """Notes that a request has begun."""
        self._request_begun.set()

    def _run(self) -> None:
        next_connections_ns = 0
        while True:
            if all(server.is_idle for server in self._servers):
                self._request_begun.clear()
                self._request_begun.wait(IDLE_SWEEP_MS / 1000)
            gevent.sleep(SWEEP_MS / 1000)
            now_ns = self._clock.now_ns()
            self._application.sweep(now_ns)
            if now_ns >= next_connections_ns:
                next_connections_ns = now_ns + CONNECTION_SWEEP_MS * NS_PER_MS
                for server in self._servers:
                    server.expire_connections(now_ns)
