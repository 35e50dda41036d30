"""Limits of the upstream beside a node: slots, connections and a short queue by deadline.

`AdmissionQueue` decides; `SlotAdmission` suspends the greenlets of requests that wait.
"""

from gevent.event import AsyncResult

from ._admission import Result, Use
from ._admission_queue import AdmissionQueue, Decision, Limits, Waiter, Work
from ._clock import Clock
from ._link_share import LinkShare
from ._routing import Target
from ._sketch import ShardLoads
from .exceptions import NoRoomError

__all__ = ["AdmissionQueue", "Decision", "Limits", "SlotAdmission", "Waiter", "Work"]


LOAD_HALF_LIFE_MS = 20_000


class SlotAdmission:
    """Admission to the upstream beside this node; see `Admission`.

    Args:
        limits: Limits of the upstream.
        clock: Source of time.
        load_half_life_ms: Age at which a request counts half in the load of its shard.
        link: What the VM's link allows.
    """

    def __init__(
        self,
        limits: Limits,
        clock: Clock,
        load_half_life_ms: float = LOAD_HALF_LIFE_MS,
        link: LinkShare | None = None,
    ) -> None:
        self._queue = AdmissionQueue(limits, link)
        self._clock = clock
        self._results: dict[int, AsyncResult] = {}
        self.by_shard: dict[tuple[str, int], int] = {}
        self.reported_percent = 0.0
        self.shard_loads = ShardLoads(load_half_life_ms)

    @property
    def in_flight(self) -> int:
        """Requests that run now."""
        return self._queue.in_flight

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return self._queue.queued

    def set_limits(self, limits: Limits) -> None:
        """Applies new limits."""
        self._queue.set_limits(limits)

    def use(self) -> Use:
        """See `Admission.use`."""
        places = max(1, self._queue.places)
        used = 100 * (self._queue.in_flight + self._queue.queued) / places
        return Use(used, self.reported_percent)

    def tick(self, now_ns: int) -> None:
        """Ends waits that took too long; subscribe it to the timer service."""
        self._wake(self._queue.tick(now_ns))

    def admit(self, target: Target, work: Work) -> "SlotTicket":
        """See `Admission.enter`.

        Raises:
            NoRoomError: The request is not admitted.
        """
        outcome = self._queue.offer(work, self._clock.now_ns())
        if target.shard >= 0 and isinstance(outcome, Decision) and not outcome.admitted:
            # What is refused is load that the shard's owner has no room for.
            self.shard_loads.record(target.shard, int(self._queue.expected_ns(work.kind)))
        if isinstance(outcome, Waiter):
            outcome = self._wait(outcome)
        if not outcome.admitted:
            raise NoRoomError(outcome.reason, step="admission", wait_ms=outcome.retry_after_ms)
        place = (target.service, target.shard)
        self.by_shard[place] = self.by_shard.get(place, 0) + 1
        return SlotTicket(self, place, self._clock.now_ns(), work.kind)

    def _wait(self, waiter: Waiter) -> Decision:
        result = AsyncResult()
        self._results[id(waiter)] = result
        try:
            return result.get()
        except BaseException:
            # The caller went away, possibly after a slot was granted but before this greenlet ran.
            if waiter.decision is not None and waiter.decision.admitted:
                now_ns, kind = self._clock.now_ns(), waiter.work.kind
                self._queue.sent(kind)
                self._wake(self._queue.finish(None, now_ns, kind))
            else:
                self._queue.withdraw(waiter)
            raise
        finally:
            del self._results[id(waiter)]

    def _leave(
        self,
        place: tuple[str, int],
        started_ns: int,
        result: Result,
        kind: str,
        answer_bytes: int,
    ) -> None:
        now_ns = self._clock.now_ns()
        service_ns = now_ns - started_ns if result is Result.ANSWERED else None
        if place[1] >= 0:
            self.shard_loads.record(place[1], now_ns - started_ns)
        left = self.by_shard[place] - 1
        if left:
            self.by_shard[place] = left
        else:
            del self.by_shard[place]
        self._wake(self._queue.finish(service_ns, now_ns, kind, answer_bytes))

    def _wake(self, waiters: list[Waiter]) -> None:
        for waiter in waiters:
            self._results[id(waiter)].set(waiter.decision)


class SlotTicket:
    """An admitted request that holds a slot, and a part of the link until its answer is sent."""

    __slots__ = ("_admission", "_kind", "_place", "_started_ns")

    def __init__(
        self, admission: SlotAdmission, place: tuple[str, int], started_ns: int, kind: str
    ) -> None:
        self._admission = admission
        self._place = place
        self._started_ns = started_ns
        self._kind = kind

    def leave(self, result: Result, answer_bytes: int = 0) -> None:
        """Frees the slot; called exactly once."""
        place, started_ns = self._place, self._started_ns
        self._admission._leave(place, started_ns, result, self._kind, answer_bytes)

    def sent(self) -> None:
        """See `Ticket.sent`."""
        self._admission._queue.sent(self._kind)
