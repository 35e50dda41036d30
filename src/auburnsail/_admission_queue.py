"""The queue before the slots of one upstream: what waits, what is refused and what runs next. No I/O.

Load pattern: more work than slots for seconds, of kinds that take 30 ms and 200 ms, while some of it
is awaited by requests that hold slots elsewhere. Calls that a running request waits for go first,
then what can be answered in time, the most pressing first. A request that would be late is refused at
once, so that the slots serve others in time. One that has come back after a refusal and would be late
waits behind all others, for slots that would be idle otherwise. A call that would be late is refused,
too: at its time limit it would have held the slot of the request that waits for it all the while.
"""

import heapq
import itertools
from dataclasses import dataclass
from enum import IntEnum

from ._clock import NS_PER_MS
from ._link_share import LinkShare
from .exceptions import InvariantViolation

__all__ = [
    "NO_ROOM",
    "REFUSAL_WAY_NS",
    "AdmissionQueue",
    "Decision",
    "Limits",
    "Waiter",
    "Work",
]

# Reasons for which a request is refused here.
NO_ROOM = frozenset({"deadline", "no-slots", "queue-full", "queue-timeout"})

# Weight of a new service time in the moving mean and deviation.
SERVICE_TIME_GAIN = 0.1
# Deviations above the mean that a service time is expected to stay below.
SERVICE_TIME_DEVIATIONS = 1.0
# A refusal at the last moment still has to reach the first node before the request's time ends there:
# one way between regions (20 ms) and the interval of ticks (50 ms).
REFUSAL_WAY_NS = 70 * NS_PER_MS
# What comes in the meantime goes before a request that will be late; in a long overload that leaves
# about one slot in eight.
LATE_WAIT_FACTOR = 8.0
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


@dataclass(frozen=True, slots=True)
class Work:
    """A request that arrives.

    Attributes:
        deadline_ns: When the answer is of no use any more.
        kind: Requests of one kind take about equally long.
        wanted_ns: When the answer loses most of its worth; the deadline if it does not before.
        is_caller_retry: Whether its caller was refused before.
        is_subrequest: Whether a request that holds a slot elsewhere waits for it.
    """

    deadline_ns: int
    kind: str = ""
    wanted_ns: int = 1 << 62
    is_caller_retry: bool = False
    is_subrequest: bool = False

    @property
    def finish_by_ns(self) -> int:
        """When the answer must be expected for the request to be taken."""
        return min(self.deadline_ns, self.wanted_ns)


class Rank(IntEnum):
    """Order of what waits."""

    CALL = 0
    IN_TIME = 1
    LATE = 2


@dataclass(slots=True)
class Waiter:
    """A request that waits; the queue sets the decision.

    Attributes:
        work: The request.
        expires_ns: When waiting ends.
        reason: Token for the refusal at that time.
    """

    work: Work
    expires_ns: int
    reason: str = "queue-timeout"
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


@dataclass(slots=True)
class _ServiceTime:
    mean_ns: float = 0.0
    deviation_ns: float = 0.0

    @property
    def bound_ns(self) -> float:
        return self.mean_ns + SERVICE_TIME_DEVIATIONS * self.deviation_ns

    def learn(self, service_ns: int) -> None:
        if self.mean_ns == 0:
            self.mean_ns = float(service_ns)
            return
        error = service_ns - self.mean_ns
        self.mean_ns += SERVICE_TIME_GAIN * error
        self.deviation_ns += SERVICE_TIME_GAIN * (abs(error) - self.deviation_ns)


class AdmissionQueue:
    """Admits requests to the slots of one upstream.

    A request that cannot finish in time is refused on arrival or, at the latest, when the time left
    is shorter than its usual service time, whether a slot gets free by then or not.

    Args:
        limits: Limits of the upstream.
        link: What the VM's link allows.
    """

    def __init__(self, limits: Limits, link: LinkShare | None = None) -> None:
        self._limits = limits
        self._heap: list[tuple[Rank, int, int, Waiter]] = []
        # Waiters whose time ended when another request arrived; reported with the next decisions.
        self._unreported: list[Waiter] = []
        self._order = itertools.count()
        self._times: dict[str, _ServiceTime] = {}
        self._any = _ServiceTime()
        self._link = link or LinkShare()
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

    def expected_ns(self, kind: str) -> float:
        """Returns the usual service time of a kind of request."""
        return self._times.get(kind, self._any).mean_ns

    def set_limits(self, limits: Limits) -> None:
        """Applies new limits; requests in flight beyond them finish."""
        self._limits = limits

    def offer(self, work: Work, now_ns: int) -> Decision | Waiter:
        """Decides on a request that arrives.

        Args:
            work: The request.
            now_ns: The current time.

        Returns:
            A decision, or a waiter whose decision follows.
        """
        self._unreported += self._expire(now_ns)
        if self._limits.places == 0:
            return self._refuse("no-slots", 0)
        bound_ns = self._bound_ns(work.kind)
        if now_ns + bound_ns > work.deadline_ns:
            return self._refuse("deadline", 0)
        is_free = self.in_flight < self._limits.places and not self._heap
        if is_free and not self._link.transfer_ns(work.kind, now_ns):
            self._start(work.kind)
            return ADMIT
        if len(self._heap) >= self._limits.queue_requests:
            wait_ns = self._finish_ns(Rank.LATE, work.deadline_ns, work.kind, now_ns)
            return self._refuse("queue-full", wait_ns)
        rank = Rank.CALL if work.is_subrequest else Rank.IN_TIME
        due_ns = work.finish_by_ns
        late_ns = now_ns + self._finish_ns(rank, due_ns, work.kind, now_ns) - due_ns
        if late_ns > 0 and rank is Rank.IN_TIME and work.is_caller_retry:
            rank, due_ns = Rank.LATE, work.deadline_ns
            factor = LATE_WAIT_FACTOR
            late_ns = now_ns + self._finish_ns(rank, due_ns, work.kind, now_ns, factor) - due_ns
        if late_ns > 0:
            return self._refuse("deadline", late_ns)
        if is_free:
            self._start(work.kind)
            return ADMIT
        waiter = self._waiter(work, bound_ns, now_ns)
        heapq.heappush(self._heap, (rank, due_ns, next(self._order), waiter))
        return waiter

    def finish(
        self, service_ns: int | None, now_ns: int, kind: str = "", answer_bytes: int = 0
    ) -> list[Waiter]:
        """Frees a slot.

        Args:
            service_ns: How long the request ran, or None if it did not run to its end.
            now_ns: The current time.
            kind: The request's kind.
            answer_bytes: Size of its answer.

        Returns:
            Waiters that were decided by this or since the last call.
        """
        if self.in_flight < 1:
            raise InvariantViolation("a slot was freed twice", step="limits.finish")
        self.in_flight -= 1
        if service_ns is not None:
            if answer_bytes:
                self._link.learn(kind, answer_bytes)
            self._any.learn(service_ns)
            self._times.setdefault(kind, _ServiceTime()).learn(service_ns)
        return self._decide(now_ns)

    def sent(self, kind: str) -> None:
        """Notes that the answer to a request that held a slot is out, or that there is none."""
        self._link.sent(kind)

    def tick(self, now_ns: int) -> list[Waiter]:
        """Ends waits that took too long; returns the waiters decided since the last call."""
        return self._decide(now_ns)

    def withdraw(self, waiter: Waiter) -> None:
        """Removes a waiter whose caller went away."""
        self._heap = [item for item in self._heap if item[3] is not waiter]
        heapq.heapify(self._heap)
        self._unreported = [item for item in self._unreported if item is not waiter]

    def forget_times(self) -> None:
        """Drops what was learnt of service times, for another life of the upstream."""
        self._times.clear()
        self._any = _ServiceTime()

    def _decide(self, now_ns: int) -> list[Waiter]:
        unreported, self._unreported = self._unreported, []
        return unreported + self._expire(now_ns) + self._admit_waiting(now_ns)

    def _admit_waiting(self, now_ns: int) -> list[Waiter]:
        decided = []
        while self._heap and self.in_flight < self._limits.places:
            *_, waiter = heapq.heappop(self._heap)
            if now_ns + self._bound_ns(waiter.work.kind) > waiter.work.deadline_ns:
                waiter.decision = self._refuse("deadline", 0)
            else:
                self._start(waiter.work.kind)
                waiter.decision = ADMIT
            decided.append(waiter)
        return decided

    def _waiter(self, work: Work, bound_ns: float, now_ns: int) -> Waiter:
        latest_start_ns = work.deadline_ns - max(int(bound_ns), REFUSAL_WAY_NS)
        expires_ns = now_ns + int(self._limits.queue_wait_ms * NS_PER_MS)
        if latest_start_ns < expires_ns:
            return Waiter(work, latest_start_ns, "deadline")
        return Waiter(work, expires_ns)

    def _expire(self, now_ns: int) -> list[Waiter]:
        expired = [item[3] for item in self._heap if item[3].expires_ns <= now_ns]
        if not expired:
            return []
        for waiter in expired:
            waiter.decision = self._refuse(waiter.reason, 0)
        self._heap = [item for item in self._heap if item[3].decision is None]
        heapq.heapify(self._heap)
        return expired

    def _start(self, kind: str) -> None:
        self.in_flight += 1
        self._link.begin(kind)
        if self.in_flight > self._limits.places:
            raise InvariantViolation("more requests than slots", step="limits.start")

    def _refuse(self, reason: str, wait_ns: float) -> Decision:
        self.refused += 1
        return Decision(False, reason, max(MIN_RETRY_HINT_MS, int(wait_ns / NS_PER_MS)))

    def _bound_ns(self, kind: str) -> float:
        known = self._times.get(kind)
        return known.bound_ns if known is not None else 0.0

    def _finish_ns(
        self, rank: Rank, due_ns: int, kind: str, now_ns: int, factor: float = 1.0
    ) -> float:
        """Returns how long a request is expected to take until its answer is out.

        Args:
            rank: Its place in the order.
            due_ns: Orders it among others of its rank.
            kind: Its kind.
            now_ns: The current time.
            factor: What the wait is multiplied with.
        """
        ahead_ns = self._any.mean_ns
        alike = 0
        for other_rank, other_due_ns, _, waiter in self._heap:
            if (other_rank, other_due_ns) <= (rank, due_ns):
                known = self._times.get(waiter.work.kind, self._any)
                ahead_ns += known.mean_ns
                alike += waiter.work.kind == kind
        places = self._limits.places
        wait_ns = factor * ahead_ns / max(1, places) if self.in_flight >= places else 0.0
        backlog_ns = factor * self._link.backlog_ns(kind, alike, now_ns)
        transfer_ns = self._link.transfer_ns(kind, now_ns)
        return max(wait_ns + self._bound_ns(kind), backlog_ns) + transfer_ns
