"""Finds out that the upstream beside this node crashed and keeps poison requests away from it."""

from collections.abc import Callable

import gevent

from ._active_requests import RequestContext
from ._clock import Clock
from ._outcome import QUARANTINED, not_run, refused
from ._quarantine import CrashNotice, Quarantine, Treatment, fingerprint
from ._sockets import accepts

__all__ = ["CrashMonitor"]

ISOLATION_POLL_MS = 5


class CrashMonitor:
    """Follows the requests that the upstream runs.

    Fingerprints are only computed while there are suspects or when the upstream crashes, so that the
    usual request costs nothing.

    Args:
        node: Name of this node, part of the identity of a crash.
        clock: Source of time.
        on_crash: Called with the notice for other nodes.
    """

    def __init__(self, node: str, clock: Clock, on_crash: Callable[[CrashNotice], None]) -> None:
        self._node = node
        self._clock = clock
        self._on_crash = on_crash
        self._running: dict[RequestContext, bytes | None] = {}
        self._lost_address = ""
        self.quarantine = Quarantine()

    def start(self, context: RequestContext) -> None:
        """Notes that the upstream is about to run a request; waits while another suspect runs.

        Raises:
            RequestFailedError: The request is quarantined, or its turn did not come in time.
        """
        mark = None
        if self.quarantine.suspects:
            mark = _mark_of(context)
            self._wait_for_turn(context, mark)
            self.quarantine.started(mark)
        self._running[context] = mark

    def end(self, context: RequestContext, completed: bool) -> None:
        """Notes that a request is no longer in flight."""
        mark = self._running.pop(context, None)
        if mark is not None:
            self.quarantine.finished(mark, completed)

    def on_broken_exchange(self, address: str) -> None:
        """Checks whether the upstream is gone after it closed a connection without an answer."""
        if address == self._lost_address or not self._running or accepts(address):
            return
        self._lost_address = address
        self._mark_all()
        now_ns = self._clock.now_ns()
        self._on_crash(self.quarantine.crashed(f"{self._node}:{now_ns}", now_ns))

    def on_alive(self) -> None:
        """Notes that the upstream announced itself."""
        self._lost_address = ""

    def merge(self, notice: CrashNotice) -> bool:
        """Counts a crash that another node reported; returns whether it is new."""
        self._mark_all()
        return self.quarantine.merge(notice, self._clock.now_ns())

    def _mark_all(self) -> None:
        for context, mark in self._running.items():
            if mark is None:
                self._running[context] = _mark_of(context)
                self.quarantine.started(self._running[context])

    def _wait_for_turn(self, context: RequestContext, mark: bytes) -> None:
        while not self.quarantine.may_start(mark, self._clock.now_ns()):
            if self.quarantine.treatment(mark, self._clock.now_ns()) is Treatment.REFUSED:
                detail = "upstreams crashed while they ran this request; it is quarantined"
                raise refused("422 Unprocessable Content", QUARANTINED, detail, "quarantine")
            if context.stop_reason or self._clock.now_ns() >= context.deadline_ns:
                detail = "another request that may have crashed an upstream runs first"
                raise not_run("isolated", detail, "quarantine")
            gevent.sleep(ISOLATION_POLL_MS / 1000)


def _mark_of(context: RequestContext) -> bytes:
    head = context.request.head
    return fingerprint(head.method, head.target, context.prefix or b"")
