"""Admits requests to the upstream beside this node, for the data path."""

from collections.abc import Callable, Iterator

import gevent

from . import _rules
from ._clock import NS_PER_MS, Clock
from ._membership import Membership
from ._moves import Admission, Mover

__all__ = ["RequestGate"]

HOLD_POLL_MS = 10


class RequestGate:
    """What the data path asks before and after it uses the upstream.

    Every request calls `enter` at admission, `confirm` right before bytes go to the upstream and,
    if `enter` admitted it, `leave` at its end.

    Args:
        mover: Counts requests and knows which shards are being moved.
        membership: Knows the lease.
        clock: Source of time.
    """

    def __init__(self, mover: Mover, membership: Membership, clock: Clock) -> None:
        self._mover = mover
        self._membership = membership
        self._clock = clock
        self._total = 0
        self.violation = ""
        self.close_connections = False

    @property
    def total(self) -> int:
        """Number of requests that the data server is serving, forwarded ones included."""
        return self._total

    def expires_ns(self) -> int:
        """Returns when a grant that is given now ends, on the VM's boot clock."""
        limit_ns = self._clock.now_ns() + _rules.LEASE_MS * NS_PER_MS
        return min(self._membership.expires_ns(), limit_ns)

    def enter(self, service: str, shard: int) -> str:
        """Admits a request, after a short wait if its shard is being moved.

        Returns:
            An empty string, or the reason why the request was not run.
        """
        while not self.violation:
            admission = self._mover.admit(service, shard, self._clock.now_ns())
            if admission is not Admission.HOLD:
                return admission.value
            gevent.sleep(HOLD_POLL_MS / 1000)
        return "violation"

    def confirm(self, service: str, shard: int, epoch: int) -> str:
        """Checks an admitted request again; returns the reason if it must not be sent."""
        if self.violation:
            return "violation"
        return self._mover.confirm(service, shard, epoch, self._clock.now_ns()).value

    def leave(self, service: str, shard: int) -> None:
        """Notes that an admitted request has ended."""
        self._mover.leave(service, shard)

    def count(self, application: Callable) -> Callable:
        """Wraps the data application so that the requests it serves are counted."""

        def counted(environ: dict, start_response) -> Iterator[bytes]:
            self._total += 1
            body = None
            try:
                body = application(environ, self._closing(start_response))
                yield from body
            finally:
                self._total -= 1
                close = getattr(body, "close", None)
                if close is not None:
                    close()

        return counted

    def _closing(self, start_response):
        def start(status: str, headers: list, exc_info=None):
            # A node that leaves tells its callers to use another connection.
            if self.close_connections:
                headers = [*headers, ("connection", "close")]
            return start_response(status, headers, exc_info)

        return start
