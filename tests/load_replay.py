"""Replays a load in virtual time against the queue before an upstream's slots."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

from auburnsail._admission_queue import AdmissionQueue, Decision, Limits, Waiter, Work
from auburnsail._clock import NS_PER_MS
from auburnsail._link_usage import LinkUsage

# As the tick of a node.
TICK_MS = 50

OnDecision = Callable[[Decision, int], None]


class LoadReplay:
    """A queue, virtual time and what was counted.

    Args:
        seed: Seed of arrivals and service times.
        limits: Limits of the upstream.
        length_ms: How long requests arrive and ticks come.
        link: What the VM's link allows.
    """

    def __init__(
        self, seed: int, limits: Limits, length_ms: int, link: LinkUsage | None = None
    ) -> None:
        self.rng = random.Random(seed)
        self.queue = AdmissionQueue(limits, link)
        self.length_ms = length_ms
        self.count: Counter[str] = Counter()
        self._events: list[tuple[int, int, Callable[[int], None]]] = []
        self._order = itertools.count()
        self._waiting: dict[int, OnDecision] = {}
        for tick_ms in range(0, 2 * length_ms, TICK_MS):
            self.at(tick_ms * NS_PER_MS, lambda now: self._wake(self.queue.tick(now), now))

    def at(self, ns: int, action: Callable[[int], None]) -> None:
        """Calls an action at a time, which it gets in nanoseconds."""
        heapq.heappush(self._events, (ns, next(self._order), action))

    def arrivals(
        self, rate_per_ms: Callable[[float], float], action: Callable[[int], None]
    ) -> None:
        """Calls an action at random times, at a rate that depends on the time in milliseconds."""
        now_ms = 0.0
        while now_ms < self.length_ms:
            now_ms += self.rng.expovariate(rate_per_ms(now_ms))
            self.at(int(now_ms * NS_PER_MS), action)

    def offer(self, work: Work, now_ns: int, on_decision: OnDecision) -> None:
        """Offers work; its decision comes at once or later."""
        outcome = self.queue.offer(work, now_ns)
        if isinstance(outcome, Waiter):
            self._waiting[id(outcome)] = on_decision
        else:
            on_decision(outcome, now_ns)

    def finish(self, service_ns: int, now_ns: int, kind: str, answer_bytes: int = 0) -> None:
        """Frees a slot."""
        self._wake(self.queue.finish(service_ns, now_ns, kind, answer_bytes), now_ns)

    def run(self) -> None:
        """Plays all events."""
        while self._events:
            now_ns, _, action = heapq.heappop(self._events)
            action(now_ns)

    def _wake(self, waiters: list[Waiter], now_ns: int) -> None:
        for waiter in waiters:
            self._waiting.pop(id(waiter))(waiter.decision, now_ns)
