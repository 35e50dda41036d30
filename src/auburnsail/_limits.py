"""Admission to the local upstream, limited by slots, connections and a bounded queue.

`AdmissionQueue` makes the decisions; `SlotAdmission` suspends the greenlets of queued requests.
"""

from gevent.event import AsyncResult

from ._admission import Result, Utilisation
from ._admission_queue import AdmissionQueue, AdmissionRequest, Decision, Limits, Waiter
from ._clock import Clock
from ._link_usage import LinkUsage
from ._routing import Target
from ._sketch import ShardLoads
from .exceptions import NoRoomError

__all__ = ["AdmissionQueue", "AdmissionRequest", "Decision", "Limits", "SlotAdmission", "Waiter"]


LOAD_HALF_LIFE_MS = 20_000


class SlotAdmission:
    """Limits the requests at the local upstream; implements `Admission`.

    Args:
        limits: Limits of the upstream.
        clock: Source of time.
        load_half_life_ms: Half-life of a request's weight in the load of its shard, in
            milliseconds.
        link_usage: Estimate of the load on the VM's link; without it the link is ignored.

    Attributes:
        by_shard: Number of requests that run now, by service and shard.
        reported_percent: Utilisation that the upstream reports of itself.
        shard_loads: Load of each shard, refused requests included.
    """

    def __init__(
        self,
        limits: Limits,
        clock: Clock,
        load_half_life_ms: float = LOAD_HALF_LIFE_MS,
        link_usage: LinkUsage | None = None,
    ) -> None:
        self._queue = AdmissionQueue(limits, link_usage)
        self._clock = clock
        self._results: dict[int, AsyncResult] = {}
        self.by_shard: dict[tuple[str, int], int] = {}
        self.reported_percent = 0.0
        self.shard_loads = ShardLoads(load_half_life_ms)

    @property
    def in_flight(self) -> int:
        """Number of requests that run now."""
        return self._queue.in_flight

    @property
    def queued(self) -> int:
        """Number of requests in the queue."""
        return self._queue.queued

    def set_limits(self, limits: Limits) -> None:
        """Applies new limits."""
        self._queue.set_limits(limits)

    def utilisation(self) -> Utilisation:
        """Implements `Admission.utilisation`."""
        max_in_flight = max(1, self._queue.max_in_flight)
        used = 100 * (self._queue.in_flight + self._queue.queued) / max_in_flight
        return Utilisation(used, self.reported_percent)

    def tick(self, now_ns: int) -> None:
        """Refuses expired waiters; must be called periodically by the timer service."""
        self._wake(self._queue.tick(now_ns))

    def refuse_waiting(self, reason: str, retry_after_ms: int = 0) -> None:
        """Refuses all waiting requests because the node or the upstream ends."""
        self._wake(self._queue.refuse_all(reason, retry_after_ms))

    def admit(self, target: Target, request: AdmissionRequest) -> "SlotTicket":
        """Implements `Admission.admit`.

        Raises:
            NoRoomError: The request is not admitted.
        """
        outcome = self._queue.offer(request, self._clock.now_ns())
        if target.shard >= 0 and isinstance(outcome, Decision) and not outcome.admitted:
            # Refused requests count as load, because the shard's owner lacks the capacity for them.
            self.shard_loads.record(target.shard, int(self._queue.mean_service_ns(request.kind)))
        if isinstance(outcome, Waiter):
            outcome = self._wait(outcome)
        if not outcome.admitted:
            raise NoRoomError(outcome.reason, step="admission", wait_ms=outcome.retry_after_ms)
        shard_key = (target.service, target.shard)
        self.by_shard[shard_key] = self.by_shard.get(shard_key, 0) + 1
        return SlotTicket(self, shard_key, self._clock.now_ns(), request.kind)

    def _wait(self, waiter: Waiter) -> Decision:
        result = AsyncResult()
        self._results[id(waiter)] = result
        try:
            return result.get()
        except BaseException:
            # The caller disconnected, possibly after a slot was granted but before this greenlet
            # ran.
            if waiter.decision is not None and waiter.decision.admitted:
                now_ns, kind = self._clock.now_ns(), waiter.request.kind
                self._queue.on_answer_sent(kind)
                self._wake(self._queue.finish(None, now_ns, kind))
            else:
                self._queue.withdraw(waiter)
            raise
        finally:
            del self._results[id(waiter)]

    def _release(
        self,
        shard_key: tuple[str, int],
        started_ns: int,
        result: Result,
        kind: str,
        answer_bytes: int,
    ) -> None:
        now_ns = self._clock.now_ns()
        service_ns = now_ns - started_ns if result is Result.ANSWERED else None
        if shard_key[1] >= 0:
            self.shard_loads.record(shard_key[1], now_ns - started_ns)
        remaining = self.by_shard[shard_key] - 1
        if remaining:
            self.by_shard[shard_key] = remaining
        else:
            del self.by_shard[shard_key]
        self._wake(self._queue.finish(service_ns, now_ns, kind, answer_bytes))

    def _wake(self, waiters: list[Waiter]) -> None:
        for waiter in waiters:
            self._results[id(waiter)].set(waiter.decision)


class SlotTicket:
    """An admitted request: holds a slot, and its part of the link until the answer is sent."""

    __slots__ = ("_admission", "_kind", "_shard_key", "_started_ns")

    def __init__(
        self, admission: SlotAdmission, shard_key: tuple[str, int], started_ns: int, kind: str
    ) -> None:
        self._admission = admission
        self._shard_key = shard_key
        self._started_ns = started_ns
        self._kind = kind

    def release(self, result: Result, answer_bytes: int = 0) -> None:
        """Implements `Ticket.release`."""
        shard_key, started_ns = self._shard_key, self._started_ns
        self._admission._release(shard_key, started_ns, result, self._kind, answer_bytes)

    def on_answer_sent(self) -> None:
        """Implements `Ticket.on_answer_sent`."""
        self._admission._queue.on_answer_sent(self._kind)
