"""Crash detection for the local upstream, and isolation of requests that crash it."""

from collections.abc import Callable

import gevent
from gevent.lock import Semaphore

from ._active_requests import RequestContext
from ._clock import Clock
from ._outcome import QUARANTINED, not_run, refused
from ._quarantine import CrashNotice, Quarantine, Treatment, fingerprint
from ._sockets import keeps_connections

__all__ = ["CrashMonitor"]

ISOLATION_POLL_MS = 5


class CrashMonitor:
    """Tracks the requests that the upstream runs, and detects its crashes.

    Fingerprints are computed only while there are suspects or after a crash, so that other requests
    have no extra cost.

    Args:
        node: Name of this node; part of the crash identifier.
        clock: Source of time.
        on_crash: Called with the notice that must be sent to the other nodes.

    Attributes:
        quarantine: Suspect requests, those reported by other nodes included.
    """

    def __init__(self, node: str, clock: Clock, on_crash: Callable[[CrashNotice], None]) -> None:
        self._node = node
        self._clock = clock
        self._on_crash = on_crash
        self._running: dict[RequestContext, bytes | None] = {}
        self._counted: set[RequestContext] = set()
        self._crashed_address = ""
        self._check_lock = Semaphore()
        self._checks_started = 0
        self._accepted: tuple[str, int] = ("", 0)
        self.quarantine = Quarantine()

    def start(self, context: RequestContext) -> None:
        """Records that a request starts; a suspect waits while another suspect runs.

        Raises:
            RequestFailedError: The request is quarantined, or the wait exceeded its deadline.
        """
        digest = None
        if self.quarantine.suspects:
            digest = _fingerprint_of(context)
            self._wait_for_turn(context, digest)
            self.quarantine.record_start(digest)
        self._running[context] = digest

    def end(self, context: RequestContext, completed: bool) -> None:
        """Records that a request is no longer in flight."""
        digest = self._running.pop(context, None)
        self._counted.discard(context)
        if digest is not None:
            self.quarantine.record_end(digest, completed)

    def on_broken_exchange(self, context: RequestContext, address: str) -> None:
        """Checks for a crash after the upstream closed a connection without an answer.

        A crash breaks the exchanges of all running requests and counts once, with all of them. The
        checks take turns, so that each request counts as running until the crash is recorded.

        Args:
            context: The request whose exchange broke; it has not ended yet.
            address: Address of the upstream.
        """
        checks_before = self._checks_started
        with self._check_lock:
            if address == self._crashed_address or context in self._counted:
                return
            accepted_address, accepted_check = self._accepted
            if accepted_address == address and accepted_check > checks_before:
                # The upstream accepted a connection after this exchange broke.
                return
            self._checks_started += 1
            if keeps_connections(address):
                self._accepted = (address, self._checks_started)
                return
            self._crashed_address = address
            self._counted.update(self._running)
            self._fingerprint_running()
            now_ns = self._clock.now_ns()
            self._on_crash(self.quarantine.record_crash(f"{self._node}:{now_ns}", now_ns))

    def on_announcement(self) -> None:
        """Records that the upstream is running again, because it has announced itself."""
        self._crashed_address = ""

    def merge(self, notice: CrashNotice) -> bool:
        """Counts a crash that another node reported; returns False if it was counted before."""
        self._fingerprint_running()
        return self.quarantine.merge(notice, self._clock.now_ns())

    def _fingerprint_running(self) -> None:
        for context, digest in self._running.items():
            if digest is None:
                self._running[context] = _fingerprint_of(context)
                self.quarantine.record_start(self._running[context])

    def _wait_for_turn(self, context: RequestContext, digest: bytes) -> None:
        while not self.quarantine.may_start(digest, self._clock.now_ns()):
            if self.quarantine.treatment(digest, self._clock.now_ns()) is Treatment.REFUSED:
                detail = "upstreams crashed while they ran this request; it is quarantined"
                raise refused("422 Unprocessable Content", QUARANTINED, detail, "quarantine")
            if context.stop_reason or self._clock.now_ns() >= context.deadline_ns:
                detail = "another request that may have crashed an upstream runs first"
                raise not_run("isolated", detail, "quarantine")
            gevent.sleep(ISOLATION_POLL_MS / 1000)


def _fingerprint_of(context: RequestContext) -> bytes:
    head = context.request.head
    return fingerprint(head.method, head.target, context.body_prefix or b"")
