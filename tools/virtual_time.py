"""Event queue in virtual time and a simulated upstream, for experiments with admission policies."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from auburnsail._clock import NS_PER_MS
from auburnsail._limits import AdmissionQueue, AdmissionRequest, Decision, Limits, Waiter

__all__ = ["EventQueue", "FakeUpstream", "Job"]


class EventQueue:
    """Runs callbacks in the order of their virtual time."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.now_ns = 0

    def call_later(self, delay_ns: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay in nanoseconds."""
        heapq.heappush(self._heap, (self.now_ns + int(delay_ns), next(self._order), callback))

    def run(self, until_ns: int) -> None:
        """Runs all events up to a virtual time and advances the clock to it."""
        while self._heap and self._heap[0][0] <= until_ns:
            self.now_ns, _, callback = heapq.heappop(self._heap)
            callback()
        self.now_ns = until_ns


@dataclass(slots=True)
class Job:
    """One attempt of a request.

    Attributes:
        deadline_ns: Virtual time by which the attempt must end.
        on_end: Called once with ``done``, ``late`` or the reason of a refusal.
    """

    deadline_ns: int
    on_end: Callable[[str], None]


@dataclass(slots=True)
class FakeUpstream:
    """A simulated upstream behind the shipped admission queue of its node.

    Attributes:
        events: Event queue of the experiment.
        rng: Source of the service times, which are exponentially distributed.
        limits: Limits of the upstream.
        mean_service_ms: Mean service time in milliseconds.
        slowness: Factor on the service time.
        max_queued: Highest number of queued requests.
        max_in_flight: Highest number of requests in flight.
        completed: Number of requests that the upstream has completed.
        queue: The admission queue.
    """

    events: EventQueue
    rng: random.Random
    limits: Limits
    mean_service_ms: float
    slowness: float = 1.0
    max_queued: int = 0
    max_in_flight: int = 0
    completed: int = 0
    _waiting: dict[int, Job] = field(default_factory=dict)
    queue: AdmissionQueue = None

    def __post_init__(self) -> None:
        self.queue = AdmissionQueue(self.limits)

    @property
    def used_percent(self) -> float:
        """Requests in flight and queued, as a percentage of the slots."""
        return 100 * (self.queue.in_flight + self.queue.queued) / self.limits.max_in_flight

    def offer(self, job: Job) -> None:
        """Offers an attempt to the admission queue; the result goes to `Job.on_end`."""
        outcome = self.queue.offer(AdmissionRequest(job.deadline_ns), self.events.now_ns)
        self.max_queued = max(self.max_queued, self.queue.queued)
        match outcome:
            case Waiter():
                self._waiting[id(outcome)] = job
                self.events.call_later(self.limits.queue_wait_ms * NS_PER_MS + 1, self._tick)
            case Decision(admitted=True):
                self._start(job)
            case Decision(reason=reason):
                job.on_end(reason)

    def _start(self, job: Job) -> None:
        self.max_in_flight = max(self.max_in_flight, self.queue.in_flight)
        service_ns = self.rng.expovariate(1 / (self.mean_service_ms * NS_PER_MS)) * self.slowness
        started_ns = self.events.now_ns

        def end() -> None:
            now_ns = self.events.now_ns
            self.completed += 1
            decided_waiters = self.queue.finish(now_ns - started_ns, now_ns)
            job.on_end("done" if now_ns <= job.deadline_ns else "late")
            self._apply_decisions(decided_waiters)

        self.events.call_later(service_ns, end)

    def _tick(self) -> None:
        self._apply_decisions(self.queue.tick(self.events.now_ns))

    def _apply_decisions(self, decided_waiters: list[Waiter]) -> None:
        for waiter in decided_waiters:
            job = self._waiting.pop(id(waiter))
            if waiter.decision.admitted:
                self._start(job)
            else:
                job.on_end(waiter.decision.reason)
