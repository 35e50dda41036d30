"""Limits of the upstream beside a node: slots, connections and a short queue by deadline.

`AdmissionQueue` decides and takes the time from outside. `SlotAdmission` suspends the greenlets
of requests that wait.
"""

import heapq
import itertools
from dataclasses import dataclass

from gevent.event import AsyncResult

from ._admission import Result, Use
from ._clock import NS_PER_MS, Clock
from ._routing import Target
from ._sketch import ShardLoads
from .exceptions import InvariantViolation, NotRunError

__all__ = ["AdmissionQueue", "Decision", "Limits", "SlotAdmission", "Waiter"]

# Weight of a new service time in the moving mean and deviation.
SERVICE_TIME_GAIN = 0.1
# Deviations above the mean that a service time is expected to stay below.
SERVICE_TIME_DEVIATIONS = 3.0
# A refused caller waits at least this long, so that refusals do not come back at once.
MIN_RETRY_HINT_MS = 20


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one upstream.

    Attributes:
        slots: Requests that run at once.
        connections: Connections open at once; a request in flight holds one.
        queue_requests: Requests that wait at most.
        queue_wait_ms: Longest wait in milliseconds.
    """

    slots: int
    connections: int
    queue_requests: int = 64
    queue_wait_ms: float = 100.0

    @property
    def places(self) -> int:
        """Requests that may be in flight at once."""
        return min(self.slots, self.connections)


@dataclass(slots=True)
class Waiter:
    """A request that waits; the queue sets the decision.

    Attributes:
        deadline_ns: When the answer is of no use any more.
        expires_ns: When waiting ends.
    """

    deadline_ns: int
    expires_ns: int
    decision: "Decision | None" = None


@dataclass(frozen=True, slots=True)
class Decision:
    """What becomes of a request.

    Attributes:
        admitted: Whether it may run now.
        reason: Token for the refusal, empty if admitted.
        retry_after_ms: Hint for the caller.
    """

    admitted: bool
    reason: str = ""
    retry_after_ms: int = 0


ADMIT = Decision(True)


class AdmissionQueue:
    """Admits requests to the slots of one upstream.

    A request that cannot finish before its deadline is refused on arrival or, at the latest,
    when a slot gets free, so that slots only run work that is still wanted.

    Args:
        limits: Limits of the upstream.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._heap: list[tuple[int, int, Waiter]] = []
        # Waiters whose time ended when another request arrived; reported with the next decisions.
        self._unreported: list[Waiter] = []
        self._order = itertools.count()
        self._mean_ns = 0.0
        self._deviation_ns = 0.0
        self.in_flight = 0
        self.refused = 0

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._heap)

    @property
    def places(self) -> int:
        """Requests that may be in flight at once."""
        return self._limits.places

    @property
    def service_bound_ns(self) -> float:
        """Service time that most requests stay below."""
        return self._mean_ns + SERVICE_TIME_DEVIATIONS * self._deviation_ns

    def set_limits(self, limits: Limits) -> None:
        """Applies new limits; requests in flight beyond them finish."""
        self._limits = limits

    def offer(self, deadline_ns: int, now_ns: int) -> Decision | Waiter:
        """Decides on a request that arrives.

        Args:
            deadline_ns: When the answer is of no use any more.
            now_ns: The current time.

        Returns:
            A decision, or a waiter whose decision follows.
        """
        self._unreported += self._expire(now_ns)
        if self._limits.places == 0:
            return self._refuse("no-slots")
        if now_ns + self.service_bound_ns > deadline_ns:
            return self._refuse("deadline")
        if self.in_flight < self._limits.places and not self._heap:
            self._start()
            return ADMIT
        if len(self._heap) >= self._limits.queue_requests:
            return self._refuse("queue-full")
        if now_ns + self._expected_wait_ns() + self.service_bound_ns > deadline_ns:
            return self._refuse("deadline")
        expires_ns = now_ns + int(self._limits.queue_wait_ms * NS_PER_MS)
        waiter = Waiter(deadline_ns, expires_ns)
        heapq.heappush(self._heap, (deadline_ns, next(self._order), waiter))
        return waiter

    def finish(self, service_ns: int | None, now_ns: int) -> list[Waiter]:
        """Frees a slot.

        Args:
            service_ns: How long the request ran, or None if it did not run to its end.
            now_ns: The current time.

        Returns:
            Waiters that were decided by this or since the last call.
        """
        if self.in_flight < 1:
            raise InvariantViolation("a slot was freed twice", step="limits.finish")
        self.in_flight -= 1
        if service_ns is not None:
            self._learn(service_ns)
        return self._decide(now_ns)

    def tick(self, now_ns: int) -> list[Waiter]:
        """Ends waits that took too long; returns the waiters decided since the last call."""
        return self._decide(now_ns)

    def withdraw(self, waiter: Waiter) -> None:
        """Removes a waiter whose caller went away."""
        self._heap = [item for item in self._heap if item[2] is not waiter]
        heapq.heapify(self._heap)
        self._unreported = [item for item in self._unreported if item is not waiter]

    def _decide(self, now_ns: int) -> list[Waiter]:
        unreported, self._unreported = self._unreported, []
        return unreported + self._expire(now_ns) + self._admit_waiting(now_ns)

    def _admit_waiting(self, now_ns: int) -> list[Waiter]:
        decided = []
        while self._heap and self.in_flight < self._limits.places:
            _, _, waiter = heapq.heappop(self._heap)
            if now_ns + self.service_bound_ns > waiter.deadline_ns:
                waiter.decision = self._refuse("deadline")
            else:
                self._start()
                waiter.decision = ADMIT
            decided.append(waiter)
        return decided

    def _expire(self, now_ns: int) -> list[Waiter]:
        expired = [item[2] for item in self._heap if item[2].expires_ns <= now_ns]
        if not expired:
            return []
        for waiter in expired:
            waiter.decision = self._refuse("queue-timeout")
        self._heap = [item for item in self._heap if item[2].decision is None]
        heapq.heapify(self._heap)
        return expired

    def _start(self) -> None:
        self.in_flight += 1
        if self.in_flight > self._limits.places:
            raise InvariantViolation("more requests than slots", step="limits.start")

    def _refuse(self, reason: str) -> Decision:
        self.refused += 1
        wait_ms = int(self._expected_wait_ns() / NS_PER_MS)
        return Decision(False, reason, max(MIN_RETRY_HINT_MS, wait_ms))

    def _expected_wait_ns(self) -> float:
        if not self._limits.places:
            return 0.0
        return self._mean_ns * (len(self._heap) + 1) / self._limits.places

    def _learn(self, service_ns: int) -> None:
        if self._mean_ns == 0:
            self._mean_ns = float(service_ns)
            return
        error = service_ns - self._mean_ns
        self._mean_ns += SERVICE_TIME_GAIN * error
        self._deviation_ns += SERVICE_TIME_GAIN * (abs(error) - self._deviation_ns)


class SlotAdmission:
    """Admission to the upstream beside this node; see `Admission`.

    Args:
        limits: Limits of the upstream.
        clock: Source of time.
    """

    def __init__(self, limits: Limits, clock: Clock) -> None:
        self._queue = AdmissionQueue(limits)
        self._clock = clock
        self._results: dict[int, AsyncResult] = {}
        self.by_shard: dict[tuple[str, int], int] = {}
        self.reported_percent = 0.0
        self.shard_loads = ShardLoads()

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

    def enter(self, target: Target, deadline_ns: int) -> "SlotTicket":
        """See `Admission.enter`.

        Raises:
            NotRunError: The request is not admitted.
        """
        outcome = self._queue.offer(deadline_ns, self._clock.now_ns())
        if isinstance(outcome, Waiter):
            outcome = self._wait(outcome)
        if not outcome.admitted:
            raise NotRunError(outcome.reason, step="admission")
        place = (target.service, target.shard)
        self.by_shard[place] = self.by_shard.get(place, 0) + 1
        return SlotTicket(self, place, self._clock.now_ns())

    def _wait(self, waiter: Waiter) -> Decision:
        result = AsyncResult()
        self._results[id(waiter)] = result
        try:
            return result.get()
        except BaseException:
            # The caller went away, possibly after a slot was granted but before this greenlet ran.
            if waiter.decision is not None and waiter.decision.admitted:
                self._wake(self._queue.finish(None, self._clock.now_ns()))
            else:
                self._queue.withdraw(waiter)
            raise
        finally:
            del self._results[id(waiter)]

    def _leave(self, place: tuple[str, int], started_ns: int, result: Result) -> None:
        now_ns = self._clock.now_ns()
        service_ns = now_ns - started_ns if result is Result.ANSWERED else None
        if place[1] >= 0:
            self.shard_loads.record(place[1], now_ns - started_ns)
        left = self.by_shard[place] - 1
        if left:
            self.by_shard[place] = left
        else:
            del self.by_shard[place]
        self._wake(self._queue.finish(service_ns, now_ns))

    def _wake(self, waiters: list[Waiter]) -> None:
        for waiter in waiters:
            self._results[id(waiter)].set(waiter.decision)


class SlotTicket:
    """An admitted request that holds a slot."""

    __slots__ = ("_admission", "_place", "_started_ns")

    def __init__(self, admission: SlotAdmission, place: tuple[str, int], started_ns: int) -> None:
        self._admission = admission
        self._place = place
        self._started_ns = started_ns

    def leave(self, result: Result) -> None:
        """Frees the slot; called exactly once."""
        self._admission._leave(self._place, self._started_ns, result)
