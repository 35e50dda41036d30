"""Admits requests to the upstream beside this node, for the data path."""

import gevent

from . import _rules
from ._admission import Admission as Limits
from ._admission import CountingAdmission, Result, Ticket
from ._clock import NS_PER_MS, Clock
from ._membership import Membership
from ._moves import Admission, Mover
from ._routing import Target
from .exceptions import NotRunError

__all__ = ["RequestGate"]

HOLD_POLL_MS = 10
VIOLATION = "violation"


class RequestGate:
    """Checks lease, ownership, moves and limits before a request uses the upstream.

    Args:
        mover: Counts requests and knows which shards are being moved.
        membership: Knows the lease.
        clock: Source of time.
        limits: Admits requests to the upstream's slots.
    """

    def __init__(
        self, mover: Mover, membership: Membership, clock: Clock, limits: Limits | None = None
    ) -> None:
        self._mover = mover
        self._membership = membership
        self._clock = clock
        self._limits = limits or CountingAdmission()
        self.violation = ""

    def expires_ns(self) -> int:
        """Returns when a grant that is given now ends, on the VM's boot clock."""
        limit_ns = self._clock.now_ns() + _rules.LEASE_MS * NS_PER_MS
        return min(self._membership.expires_ns(), limit_ns)

    def enter(self, target: Target, deadline_ns: int) -> "GateTicket":
        """Admits a request, after a short wait if its shard is being moved.

        Args:
            target: Service and shard of the request.
            deadline_ns: When the answer is of no use any more.

        Raises:
            NotRunError: The request is not admitted; its detail is the reason.
        """
        reason = self._enter_ownership(target)
        if reason:
            raise NotRunError(reason, step="admission")
        try:
            inner = self._limits.enter(target, deadline_ns)
        except BaseException:
            self._mover.leave(target.service, target.shard)
            raise
        return GateTicket(self._mover, target, inner)

    def confirm(self, target: Target) -> str:
        """Checks a request again right before it is sent.

        Returns:
            The reason why it must not be sent, or an empty string.
        """
        if self.violation:
            return VIOLATION
        now_ns = self._clock.now_ns()
        return self._mover.confirm(target.service, target.shard, target.epoch, now_ns).value

    def _enter_ownership(self, target: Target) -> str:
        while not self.violation:
            admission = self._mover.admit(target.service, target.shard, self._clock.now_ns())
            if admission is not Admission.HOLD:
                return admission.value
            gevent.sleep(HOLD_POLL_MS / 1000)
        return VIOLATION


class GateTicket:
    """An admitted request."""

    __slots__ = ("_inner", "_mover", "_target")

    def __init__(self, mover: Mover, target: Target, inner: Ticket) -> None:
        self._mover = mover
        self._target = target
        self._inner = inner

    def leave(self, result: Result) -> None:
        """See `Ticket.leave`."""
        self._mover.leave(self._target.service, self._target.shard)
        self._inner.leave(result)
