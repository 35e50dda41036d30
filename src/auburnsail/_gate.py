"""Admits requests to the upstream beside this node, for the data path."""

import gevent

from . import _rules
from ._admission_queue import REFUSAL_TRANSIT_NS
from ._clock import NS_PER_MS, Clock
from ._membership import Membership
from ._moves import Admission, Mover

__all__ = ["RequestGate"]

HOLD_POLL_MS = 10
# A key that the upstream is to hold is granted with its next report, at most 0.9 s away.
NOT_HELD_WAIT_MS = 500


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
        self.violation = ""

    def expires_ns(self) -> int:
        """Returns when a grant that is given now ends, on the VM's boot clock."""
        limit_ns = self._clock.now_ns() + _rules.LEASE_MS * NS_PER_MS
        return min(self._membership.expires_ns(), limit_ns)

    def admit(self, service: str, shard: int, deadline_ns: int) -> str:
        """Admits a request, after a short wait if its shard is being moved.

        Load pattern: a busy stretch of keys changes hands, and requests for it arrive with any time left.

        Args:
            service: The service.
            shard: Shard of the request, -1 for none.
            deadline_ns: When the answer is of no use any more; a refusal arrives before that.

        Returns:
            An empty string, or the reason why the request was not run.
        """
        last_ns = deadline_ns - REFUSAL_TRANSIT_NS
        until_ns = min(last_ns, self._clock.now_ns() + NOT_HELD_WAIT_MS * NS_PER_MS)
        while not self.violation:
            now_ns = self._clock.now_ns()
            admission = self._mover.admit(service, shard, now_ns)
            is_coming = admission is Admission.NOT_HELD and now_ns < until_ns
            is_moving = admission is Admission.HOLD and now_ns < last_ns
            if not is_moving and not is_coming:
                is_held_back = admission is Admission.HOLD
                return Admission.MOVING.value if is_held_back else admission.value
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
