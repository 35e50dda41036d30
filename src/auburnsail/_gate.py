"""Admission of requests to the local upstream by ownership and lease."""

import gevent

from . import _rules
from ._admission_queue import REFUSAL_TRANSIT_NS
from ._clock import NS_PER_MS, Clock
from ._membership import Membership
from ._moves import GateDecision, Mover

__all__ = ["RequestGate"]

ADMISSION_POLL_INTERVAL_MS = 10
# The upstream is granted a key in the answer to its next report, which is at most 0.9 s away.
MAX_NOT_HELD_WAIT_MS = 500


class RequestGate:
    """Implements `Gate` for a node.

    Every request calls `admit` first, `confirm` just before it is sent to the upstream and, if it
    was admitted, `release` when it ends. A non-empty `violation` makes the gate refuse everything.

    Args:
        mover: Counts requests by shard and tracks the shards that are being moved.
        membership: Provides the expiry of the lease.
        clock: Source of time.
    """

    def __init__(self, mover: Mover, membership: Membership, clock: Clock) -> None:
        self._mover = mover
        self._membership = membership
        self._clock = clock
        self._waiting_refusal = ""
        self.violation = ""

    def expires_ns(self) -> int:
        """Returns when a grant made now expires, in nanoseconds of the VM's boot clock."""
        limit_ns = self._clock.now_ns() + _rules.LEASE_MS * NS_PER_MS
        return min(self._membership.expires_ns(), limit_ns)

    def admit(self, service: str, shard: int, deadline_ns: int) -> str:
        """Admits a request; waits briefly if its shard is being moved or is not held yet.

        Load pattern: a busy range of keys moves to another owner while requests for it arrive, some
        close to their deadline.

        Args:
            service: Name of the service.
            shard: Shard of the request, -1 if it has no key.
            deadline_ns: Deadline of the request. The wait ends early enough that a refusal reaches
                the caller before it.

        Returns:
            An empty string if the request was admitted, otherwise the reason for the refusal.
        """
        refusal_deadline_ns = deadline_ns - REFUSAL_TRANSIT_NS
        not_held_deadline_ns = min(
            refusal_deadline_ns, self._clock.now_ns() + MAX_NOT_HELD_WAIT_MS * NS_PER_MS
        )
        while not self.violation:
            now_ns = self._clock.now_ns()
            decision = self._mover.admit(service, shard, now_ns)
            waits_for_hold = decision is GateDecision.NOT_HELD and now_ns < not_held_deadline_ns
            waits_for_move = decision is GateDecision.WAIT and now_ns < refusal_deadline_ns
            if not waits_for_move and not waits_for_hold:
                shard_is_moving = decision is GateDecision.WAIT
                return GateDecision.MOVING.value if shard_is_moving else decision.value
            if self._waiting_refusal:
                return self._waiting_refusal
            gevent.sleep(ADMISSION_POLL_INTERVAL_MS / 1000)
        return "violation"

    def refuse_waiting(self, reason: str) -> None:
        """Refuses the requests that wait, and those that would wait, because the node ends."""
        self._waiting_refusal = reason

    def confirm(self, service: str, shard: int, epoch: int) -> str:
        """Checks an admitted request again; returns the reason if it must not be sent, or empty."""
        if self.violation:
            return "violation"
        return self._mover.confirm(service, shard, epoch, self._clock.now_ns()).value

    def release(self, service: str, shard: int) -> None:
        """Releases an admitted request when it ends."""
        self._mover.release(service, shard)
