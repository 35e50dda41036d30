"""Deadline-aware admission queue of one upstream. No I/O.

Load pattern: overload for seconds, with service times of 30 ms and 200 ms, and subrequests made by
requests that hold slots at other upstreams meanwhile. Waiters are ordered by rank (subrequests
first, then requests that can be answered in time) and within a rank by due time. A request that
would miss its objective is refused on arrival, so that the slots go to requests that can meet
theirs. A caller's retry after a refusal may wait although it would be late, behind all others, for
slots that would otherwise be idle. A late subrequest is refused too: if it waited until its
deadline, the request that made it would hold a slot elsewhere all that time.
"""

import heapq
import itertools
from dataclasses import dataclass
from enum import IntEnum

from ._clock import NS_PER_MS
from ._link_usage import LinkUsage
from .exceptions import InvariantViolation

__all__ = [
    "CAPACITY_REASONS",
    "REFUSAL_TRANSIT_NS",
    "AdmissionQueue",
    "AdmissionRequest",
    "Decision",
    "Limits",
    "Waiter",
]

# Reason tokens of refusals by the admission queue.
CAPACITY_REASONS = frozenset({"deadline", "no-slots", "queue-full", "queue-timeout"})

# Weight of a new sample in the moving averages of service time and deviation.
SERVICE_TIME_GAIN = 0.1
# A request is expected to take at most the mean plus this many deviations.
SERVICE_TIME_DEVIATIONS = 1.0
# A refusal of a waiter must reach the node that received the request before the deadline: one-way
# delay between regions (20 ms) plus the tick interval (50 ms).
REFUSAL_TRANSIT_NS = 70 * NS_PER_MS
# Requests that arrive later overtake a late one; in a long overload they leave it about one slot in
# eight, so its expected wait is multiplied by this factor.
LATE_WAIT_FACTOR = 8.0
# Minimum retry hint, so that refused callers do not retry immediately.
MIN_RETRY_HINT_MS = 20


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one upstream.

    Attributes:
        slots: Maximum number of requests that run concurrently.
        connections: Maximum number of open connections; a request in flight holds one.
        queue_requests: Maximum number of waiters.
        queue_wait_ms: Maximum wait in milliseconds.
    """

    slots: int
    connections: int
    queue_requests: int = 64
    queue_wait_ms: float = 100.0

    @property
    def max_in_flight(self) -> int:
        """Maximum number of requests in flight."""
        return min(self.slots, self.connections)


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """The properties of a request by which the queue decides.

    Attributes:
        deadline_ns: Time after which the answer is useless.
        kind: Requests of the same kind have similar service times and answer sizes.
        soft_deadline_ns: Time by which the latency objective requires the answer; ignored if it is
            later than the deadline.
        is_caller_retry: Whether the caller has already been refused and retries.
        is_subrequest: Whether the request was made by another request that holds a slot meanwhile.
    """

    deadline_ns: int
    kind: str = ""
    soft_deadline_ns: int = 1 << 62
    is_caller_retry: bool = False
    is_subrequest: bool = False

    @property
    def latest_finish_ns(self) -> int:
        """Time by which the expected answer must be sent for the request to be accepted."""
        return min(self.deadline_ns, self.soft_deadline_ns)


class Rank(IntEnum):
    """Priority of a waiter; the lowest value runs first."""

    SUBREQUEST = 0
    IN_TIME = 1
    LATE = 2


@dataclass(slots=True)
class Waiter:
    """A request that waits for a slot.

    Attributes:
        request: The request.
        expires_ns: Time at which the wait ends with a refusal.
        reason: Reason token of that refusal.
        decision: Set by the queue when the wait ends.
    """

    request: AdmissionRequest
    expires_ns: int
    reason: str = "queue-timeout"
    decision: "Decision | None" = None


@dataclass(frozen=True, slots=True)
class Decision:
    """Admission or refusal of a request.

    Attributes:
        admitted: Whether the request may run now.
        reason: Reason token of the refusal, empty if admitted.
        retry_after_ms: Hint for the caller: delay before a retry.
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

    def add_sample(self, service_ns: int) -> None:
        if self.mean_ns == 0:
            self.mean_ns = float(service_ns)
            return
        error = service_ns - self.mean_ns
        self.mean_ns += SERVICE_TIME_GAIN * error
        self.deviation_ns += SERVICE_TIME_GAIN * (abs(error) - self.deviation_ns)


class AdmissionQueue:
    """Admits requests to the slots of one upstream.

    A request that cannot finish in time is refused on arrival, or at the latest when the time until
    its deadline is shorter than its expected service time, even if no slot has become free.

    Args:
        limits: Limits of the upstream.
        link_usage: Estimate of the load on the VM's link; without it the link is ignored.

    Attributes:
        in_flight: Number of admitted requests that have not finished.
        refused: Number of refused requests.
    """

    def __init__(self, limits: Limits, link_usage: LinkUsage | None = None) -> None:
        self._limits = limits
        self._heap: list[tuple[Rank, int, int, Waiter]] = []
        # Waiters that expired during `offer`; the next `finish` or `tick` returns them.
        self._unreported: list[Waiter] = []
        self._sequence = itertools.count()
        self._service_times: dict[str, _ServiceTime] = {}
        self._all_kinds = _ServiceTime()
        self._link_usage = link_usage or LinkUsage()
        self.in_flight = 0
        self.refused = 0

    @property
    def queued(self) -> int:
        """Number of waiters."""
        return len(self._heap)

    @property
    def max_in_flight(self) -> int:
        """Maximum number of requests in flight."""
        return self._limits.max_in_flight

    def mean_service_ns(self, kind: str) -> float:
        """Returns the mean service time of a kind of request, or of all kinds if it is unknown."""
        return self._service_times.get(kind, self._all_kinds).mean_ns

    def set_limits(self, limits: Limits) -> None:
        """Applies new limits; requests in flight beyond the limit are not interrupted."""
        self._limits = limits

    def offer(self, request: AdmissionRequest, now_ns: int) -> Decision | Waiter:
        """Admits, queues or refuses a new request.

        Args:
            request: The request.
            now_ns: The current time in nanoseconds.

        Returns:
            A decision, or a waiter that is decided later.
        """
        self._unreported += self._expire(now_ns)
        if self._limits.max_in_flight == 0:
            return self._refuse("no-slots", 0)
        bound_ns = self._service_bound_ns(request.kind)
        if now_ns + bound_ns > request.deadline_ns:
            return self._refuse("deadline", 0)
        is_free = self.in_flight < self._limits.max_in_flight and not self._heap
        if is_free and not self._link_usage.transfer_ns(request.kind, now_ns):
            self._start(request.kind)
            return ADMIT
        if len(self._heap) >= self._limits.queue_requests:
            wait_ns = self._expected_duration_ns(
                Rank.LATE, request.deadline_ns, request.kind, now_ns
            )
            return self._refuse("queue-full", wait_ns)
        rank = Rank.SUBREQUEST if request.is_subrequest else Rank.IN_TIME
        due_ns = request.latest_finish_ns
        lateness_ns = (
            now_ns + self._expected_duration_ns(rank, due_ns, request.kind, now_ns) - due_ns
        )
        if lateness_ns > 0 and rank is Rank.IN_TIME and request.is_caller_retry:
            rank, due_ns = Rank.LATE, request.deadline_ns
            factor = LATE_WAIT_FACTOR
            lateness_ns = (
                now_ns
                + self._expected_duration_ns(rank, due_ns, request.kind, now_ns, factor)
                - due_ns
            )
        if lateness_ns > 0:
            return self._refuse("deadline", lateness_ns)
        if is_free:
            self._start(request.kind)
            return ADMIT
        waiter = self._create_waiter(request, bound_ns, now_ns)
        heapq.heappush(self._heap, (rank, due_ns, next(self._sequence), waiter))
        return waiter

    def finish(
        self, service_ns: int | None, now_ns: int, kind: str = "", answer_bytes: int = 0
    ) -> list[Waiter]:
        """Frees the slot of a request and admits waiters.

        Args:
            service_ns: Service time of the request, or None if it did not complete.
            now_ns: The current time in nanoseconds.
            kind: Kind of the request.
            answer_bytes: Size of the answer in bytes.

        Returns:
            Waiters that were decided since the last call.

        Raises:
            InvariantViolation: No request is in flight.
        """
        if self.in_flight < 1:
            raise InvariantViolation(
                "a slot was freed although no request is in flight", step="limits.finish"
            )
        self.in_flight -= 1
        if service_ns is not None:
            if answer_bytes:
                self._link_usage.add_sample(kind, answer_bytes)
            self._all_kinds.add_sample(service_ns)
            self._service_times.setdefault(kind, _ServiceTime()).add_sample(service_ns)
        return self._decide(now_ns)

    def on_answer_sent(self, kind: str) -> None:
        """Ends an admitted request's use of the link: its answer was sent, or there is none."""
        self._link_usage.on_answer_sent(kind)

    def tick(self, now_ns: int) -> list[Waiter]:
        """Refuses expired waiters; returns the waiters decided since the last call."""
        return self._decide(now_ns)

    def withdraw(self, waiter: Waiter) -> None:
        """Removes a waiter whose caller disconnected."""
        self._heap = [item for item in self._heap if item[3] is not waiter]
        heapq.heapify(self._heap)
        self._unreported = [item for item in self._unreported if item is not waiter]

    def refuse_all(self, reason: str, retry_after_ms: int = 0) -> list[Waiter]:
        """Refuses all waiters because the node or the upstream ends; returns them."""
        waiters = [item[3] for item in self._heap]
        for waiter in waiters:
            waiter.decision = self._refuse(reason, retry_after_ms * NS_PER_MS)
        self._heap = []
        return waiters

    def clear_service_times(self) -> None:
        """Clears the service time statistics; needed when the upstream process is replaced."""
        self._service_times.clear()
        self._all_kinds = _ServiceTime()

    def _decide(self, now_ns: int) -> list[Waiter]:
        unreported, self._unreported = self._unreported, []
        return unreported + self._expire(now_ns) + self._admit_waiting(now_ns)

    def _admit_waiting(self, now_ns: int) -> list[Waiter]:
        decided = []
        while self._heap and self.in_flight < self._limits.max_in_flight:
            *_, waiter = heapq.heappop(self._heap)
            if now_ns + self._service_bound_ns(waiter.request.kind) > waiter.request.deadline_ns:
                waiter.decision = self._refuse("deadline", 0)
            else:
                self._start(waiter.request.kind)
                waiter.decision = ADMIT
            decided.append(waiter)
        return decided

    def _create_waiter(self, request: AdmissionRequest, bound_ns: float, now_ns: int) -> Waiter:
        latest_start_ns = request.deadline_ns - max(int(bound_ns), REFUSAL_TRANSIT_NS)
        expires_ns = now_ns + int(self._limits.queue_wait_ms * NS_PER_MS)
        if latest_start_ns < expires_ns:
            return Waiter(request, latest_start_ns, "deadline")
        return Waiter(request, expires_ns)

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
        self._link_usage.begin(kind)
        if self.in_flight > self._limits.max_in_flight:
            raise InvariantViolation(
                "more requests are in flight than the limits allow", step="limits.start"
            )

    def _refuse(self, reason: str, wait_ns: float) -> Decision:
        self.refused += 1
        return Decision(False, reason, max(MIN_RETRY_HINT_MS, int(wait_ns / NS_PER_MS)))

    def _service_bound_ns(self, kind: str) -> float:
        service_time = self._service_times.get(kind)
        return service_time.bound_ns if service_time is not None else 0.0

    def _expected_duration_ns(
        self, rank: Rank, due_ns: int, kind: str, now_ns: int, factor: float = 1.0
    ) -> float:
        """Returns the expected time in nanoseconds until the answer to a new request is sent.

        Args:
            rank: Rank of the request.
            due_ns: Position within the rank: a waiter with an earlier or equal time runs first.
            kind: Kind of the request.
            now_ns: The current time in nanoseconds.
            factor: Multiplies the expected wait for a slot and for the link.
        """
        ahead_ns = self._all_kinds.mean_ns
        same_kind = 0
        for other_rank, other_due_ns, _, waiter in self._heap:
            if (other_rank, other_due_ns) <= (rank, due_ns):
                service_time = self._service_times.get(waiter.request.kind, self._all_kinds)
                ahead_ns += service_time.mean_ns
                same_kind += waiter.request.kind == kind
        max_in_flight = self._limits.max_in_flight
        wait_ns = (
            factor * ahead_ns / max(1, max_in_flight) if self.in_flight >= max_in_flight else 0.0
        )
        queue_delay_ns = factor * self._link_usage.queue_delay_ns(kind, same_kind, now_ns)
        transfer_ns = self._link_usage.transfer_ns(kind, now_ns)
        return max(wait_ns + self._service_bound_ns(kind), queue_delay_ns) + transfer_ns
