"""Overload at twice the capacity: the admission queue against a queue without limits.

Six upstreams of 12 slots and 50 ms mean service time take Poisson arrivals: 20 s at 0.7 of their
capacity, 120 s at twice their capacity, 20 s at 0.7 again. Callers of repeatable requests try
again after a refusal as the retry budget allows.
"""

import random
import sys
from dataclasses import dataclass, field

import click

from auburnsail._clock import NS_PER_MS
from auburnsail._limits import Limits
from auburnsail._retry import RetryBudget, backoff_ms
from tools.virtual_time import EventQueue, FakeUpstream, Job

UPSTREAMS = 6
SLOTS = 12
CONNECTIONS = 100
MEAN_MS = 50.0
DEADLINE_MS = 1_000.0
PHASES_S = ((20, 0.7), (120, 2.0), (20, 0.7))
NS_PER_S = 1_000_000_000
UNLIMITED = 1_000_000
MAX_ATTEMPTS = 3

MIN_GOODPUT_PERCENT = 90.0
MAX_RECOVERY_S = 5.0
MAX_EXTRA_PERCENT = 10.0


@dataclass(slots=True)
class Second:
    """What happened to the requests that arrived in one second."""

    arrived: int = 0
    served: int = 0
    latencies_ms: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Outcome:
    """Result of one policy."""

    name: str
    goodput_percent: float
    p99_ms: float
    max_queued: int
    refused_percent: float
    late_percent: float
    extra_percent: float
    recovery_s: float
    max_in_flight: int


class Experiment:
    """One run of one policy.

    Args:
        name: Shown in the table.
        limits: Limits of each upstream.
        has_budget: Whether retries are limited by the retry budget.
        seed: Seed of all randomness.
    """

    def __init__(self, name: str, limits: Limits, has_budget: bool, seed: int) -> None:
        self._name = name
        self._rng = random.Random(seed)
        self._events = EventQueue()
        self._upstreams = [
            FakeUpstream(self._events, self._rng, limits, MEAN_MS) for _ in range(UPSTREAMS)
        ]
        self._budget = RetryBudget() if has_budget else None
        total_s = sum(length for length, _ in PHASES_S)
        self._seconds = [Second() for _ in range(total_s + 1)]
        self._ends = {"done": 0, "late": 0, "refused": 0}
        self._attempts = 0

    def run(self) -> Outcome:
        """Runs all phases and returns the result."""
        start_ns = 0
        for length_s, load in PHASES_S:
            end_ns = start_ns + length_s * NS_PER_S
            rate = load * UPSTREAMS * SLOTS / (MEAN_MS * NS_PER_MS)
            self._arrive(rate, end_ns)
            self._events.run(end_ns)
            start_ns = end_ns
        self._events.run(start_ns + 60 * NS_PER_S)
        return self._result()

    def _arrive(self, rate: float, end_ns: int) -> None:
        gap_ns = self._rng.expovariate(rate)
        if self._events.now_ns + gap_ns >= end_ns:
            return

        def arrive() -> None:
            if self._budget:
                self._budget.on_request(self._events.now_ns)
            now_ns = self._events.now_ns
            self._seconds[now_ns // NS_PER_S].arrived += 1
            self._attempt(now_ns, 1)
            self._arrive(rate, end_ns)

        self._events.after(gap_ns, arrive)

    def _attempt(self, arrived_ns: int, number: int) -> None:
        self._attempts += 1
        deadline_ns = arrived_ns + int(DEADLINE_MS * NS_PER_MS)

        def end(how: str) -> None:
            second = self._seconds[arrived_ns // NS_PER_S]
            if how == "done":
                self._ends["done"] += 1
                second.served += 1
                second.latencies_ms.append((self._events.now_ns - arrived_ns) / NS_PER_MS)
            elif how == "late":
                self._ends["late"] += 1
            elif not self._retry(arrived_ns, number):
                self._ends["refused"] += 1

        self._rng.choice(self._upstreams).offer(Job(deadline_ns, end))

    def _retry(self, arrived_ns: int, number: int) -> bool:
        if number >= MAX_ATTEMPTS or (self._budget and not self._budget.take()):
            return False
        pause_ns = backoff_ms(number, self._rng.random()) * NS_PER_MS
        self._events.after(pause_ns, lambda: self._attempt(arrived_ns, number + 1))
        return True

    def _result(self) -> Outcome:
        warm_s, peak_s = PHASES_S[0][0], PHASES_S[1][0]
        peak = self._seconds[warm_s : warm_s + peak_s]
        capacity = UPSTREAMS * SLOTS / MEAN_MS * 1000 * peak_s
        latencies = sorted(value for second in peak for value in second.latencies_ms)
        arrived = sum(second.arrived for second in self._seconds)
        p99_ms = latencies[int(0.99 * len(latencies))] if latencies else float("nan")
        return Outcome(
            self._name,
            100 * sum(second.served for second in peak) / capacity,
            p99_ms,
            max(upstream.max_queued for upstream in self._upstreams),
            100 * self._ends["refused"] / arrived,
            100 * self._ends["late"] / arrived,
            100 * (self._attempts - arrived) / arrived,
            self._recovery_s(warm_s + peak_s),
            max(upstream.max_in_flight for upstream in self._upstreams),
        )

    def _recovery_s(self, peak_end_s: int) -> float:
        for offset, second in enumerate(self._seconds[peak_end_s:-1]):
            if second.served >= 0.99 * second.arrived:
                return float(offset)
        return float("inf")


POLICIES = (
    ("no limits, retries", Limits(SLOTS, CONNECTIONS, UNLIMITED, 1e9), False),
    ("admission queue, no budget", Limits(SLOTS, CONNECTIONS), False),
    ("admission queue, retry budget", Limits(SLOTS, CONNECTIONS), True),
)


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Prints one line per policy; exits with 1 if the last one misses a bound."""
    head = "policy                          goodput  p99 ms  queue  refused   late  extra  recovery"
    click.echo(head)
    for name, limits, has_budget in POLICIES:
        if limits.queue_requests == UNLIMITED:
            outcome = _without_deadlines(name, limits, has_budget, seed)
        else:
            outcome = Experiment(name, limits, has_budget, seed).run()
        click.echo(
            f"{outcome.name:30} {outcome.goodput_percent:7.1f}% {outcome.p99_ms:7.1f} "
            f"{outcome.max_queued:6} {outcome.refused_percent:7.1f}% {outcome.late_percent:5.1f}% "
            f"{outcome.extra_percent:5.1f}% {outcome.recovery_s:7.1f} s"
        )
    missed = [
        text
        for text, holds in (
            (
                f"goodput under {MIN_GOODPUT_PERCENT}%",
                outcome.goodput_percent >= MIN_GOODPUT_PERCENT,
            ),
            (f"p99 over the deadline of {DEADLINE_MS} ms", outcome.p99_ms <= DEADLINE_MS),
            (f"recovery over {MAX_RECOVERY_S} s", outcome.recovery_s <= MAX_RECOVERY_S),
            (
                f"extra attempts over {MAX_EXTRA_PERCENT}%",
                outcome.extra_percent <= MAX_EXTRA_PERCENT,
            ),
            ("more requests in flight than slots", outcome.max_in_flight <= SLOTS),
        )
        if not holds
    ]
    click.echo(f"overload: {'ok' if not missed else 'missed: ' + '; '.join(missed)} seed={seed}")
    sys.exit(1 if missed else 0)


def _without_deadlines(name: str, limits: Limits, has_budget: bool, seed: int) -> Outcome:
    experiment = Experiment(name, limits, has_budget, seed)
    for upstream in experiment._upstreams:
        # The baseline neither estimates nor refuses: everything waits in one long queue.
        upstream.queue = _UnlimitedQueue(limits)
    return experiment.run()


class _UnlimitedQueue:
    """First come, first served, without bounds and without regard to deadlines."""

    def __init__(self, limits: Limits) -> None:
        from collections import deque

        self._limits = limits
        self._waiting = deque()
        self.in_flight = 0

    @property
    def queued(self) -> int:
        return len(self._waiting)

    def offer(self, deadline_ns: int, now_ns: int):
        from auburnsail._limits import ADMIT, Waiter

        if self.in_flight < self._limits.max_in_flight:
            self.in_flight += 1
            return ADMIT
        waiter = Waiter(deadline_ns, 0)
        self._waiting.append(waiter)
        return waiter

    def finish(self, service_ns, now_ns):
        from auburnsail._limits import ADMIT

        self.in_flight -= 1
        if not self._waiting:
            return []
        waiter = self._waiting.popleft()
        waiter.decision = ADMIT
        self.in_flight += 1
        return [waiter]

    def tick(self, now_ns):
        return []


if __name__ == "__main__":
    main()
