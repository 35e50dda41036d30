"""Simulation of a load on the admission queue of an upstream, in virtual time."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

from auburnsail._admission_queue import AdmissionQueue, AdmissionRequest, Decision, Limits, Waiter
from auburnsail._clock import NS_PER_MS
from auburnsail._link_usage import LinkUsage

# Tick interval of a node.
TICK_MS = 50

OnDecision = Callable[[Decision, int], None]


class LoadReplay:
    """An admission queue with virtual time, scheduled events and counters.

    Args:
        seed: Seed of arrivals and service times.
        limits: Limits of the upstream.
        duration_ms: Time during which requests arrive; ticks continue for twice as long.
        link: Estimate of the load on the VM's link.

    Attributes:
        rng: Source of random arrivals and service times.
        queue: The admission queue under test.
        counts: Counters by name; subclasses choose the names.
    """

    def __init__(
        self, seed: int, limits: Limits, duration_ms: int, link: LinkUsage | None = None
    ) -> None:
        self.rng = random.Random(seed)
        self.queue = AdmissionQueue(limits, link)
        self.duration_ms = duration_ms
        self.counts: Counter[str] = Counter()
        self._events: list[tuple[int, int, Callable[[int], None]]] = []
        self._order = itertools.count()
        self._waiting: dict[int, OnDecision] = {}
        for tick_ms in range(0, 2 * duration_ms, TICK_MS):
            self.schedule(
                tick_ms * NS_PER_MS, lambda now: self._report_decisions(self.queue.tick(now), now)
            )

    def schedule(self, time_ns: int, action: Callable[[int], None]) -> None:
        """Calls `action` at a virtual time in nanoseconds, which is its argument."""
        heapq.heappush(self._events, (time_ns, next(self._order), action))

    def schedule_arrivals(
        self, rate_per_ms: Callable[[float], float], action: Callable[[int], None]
    ) -> None:
        """Schedules Poisson arrivals that call `action`.

        Args:
            rate_per_ms: Returns the arrival rate at a time in milliseconds.
            action: Called with the virtual time in nanoseconds.
        """
        now_ms = 0.0
        while now_ms < self.duration_ms:
            now_ms += self.rng.expovariate(rate_per_ms(now_ms))
            self.schedule(int(now_ms * NS_PER_MS), action)

    def offer(self, request: AdmissionRequest, now_ns: int, on_decision: OnDecision) -> None:
        """Offers a request; `on_decision` is called at once or when the wait ends."""
        outcome = self.queue.offer(request, now_ns)
        if isinstance(outcome, Waiter):
            self._waiting[id(outcome)] = on_decision
        else:
            on_decision(outcome, now_ns)

    def finish(self, service_ns: int, now_ns: int, kind: str, answer_bytes: int = 0) -> None:
        """Releases the slot of a request and reports the decisions on queued requests."""
        self._report_decisions(self.queue.finish(service_ns, now_ns, kind, answer_bytes), now_ns)

    def run(self) -> None:
        """Runs all scheduled events."""
        while self._events:
            now_ns, _, action = heapq.heappop(self._events)
            action(now_ns)

    def _report_decisions(self, waiters: list[Waiter], now_ns: int) -> None:
        for waiter in waiters:
            self._waiting.pop(id(waiter))(waiter.decision, now_ns)
