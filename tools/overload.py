"""Overload experiment: the admission queue is compared with a queue without limits.

Six upstreams with 12 slots and 50 ms mean service time receive Poisson arrivals: 20 s at 0.7 of the
capacity, 120 s at twice the capacity, and 20 s at 0.7 again. All requests are repeatable. A refused
request is sent up to three times, within the retry budget if the policy has one.
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
MEAN_SERVICE_MS = 50.0
DEADLINE_MS = 1_000.0
PHASES = ((20, 0.7), (120, 2.0), (20, 0.7))
NS_PER_S = 1_000_000_000
UNLIMITED_REQUESTS = 1_000_000
MAX_ATTEMPTS = 3

MIN_GOODPUT_PERCENT = 90.0
MAX_RECOVERY_S = 5.0
MAX_EXTRA_ATTEMPTS_PERCENT = 10.0


@dataclass(slots=True)
class SecondStats:
    """Statistics of the requests that arrived in one second."""

    arrived: int = 0
    served: int = 0
    latencies_ms: list[float] = field(default_factory=list)


@dataclass(slots=True)
class PolicyResult:
    """Result of one policy.

    Attributes:
        name: Name of the policy.
        goodput_percent: Requests served in time during the overload, relative to the capacity.
        p99_ms: 99th percentile of the latency during the overload.
        max_queued: Longest queue of an upstream.
        refused_percent: Share of requests that were finally refused.
        late_percent: Share of requests that ended after their deadline.
        extra_percent: Retries relative to the number of requests.
        recovery_s: Time after the overload until 99 % of the requests of one second are served.
        max_in_flight: Highest number of requests in flight at an upstream.
    """

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
        name: Name of the policy in the table.
        limits: Limits of each upstream.
        has_retry_budget: Whether the retry budget limits the retries.
        seed: Seed of all random choices.
    """

    def __init__(self, name: str, limits: Limits, has_retry_budget: bool, seed: int) -> None:
        self._name = name
        self._rng = random.Random(seed)
        self._events = EventQueue()
        self._upstreams = [
            FakeUpstream(self._events, self._rng, limits, MEAN_SERVICE_MS) for _ in range(UPSTREAMS)
        ]
        self._budget = RetryBudget() if has_retry_budget else None
        total_s = sum(length for length, _ in PHASES)
        self._seconds = [SecondStats() for _ in range(total_s + 1)]
        self._end_counts = {"done": 0, "late": 0, "refused": 0}
        self._attempts = 0

    def run(self) -> PolicyResult:
        """Runs all phases and returns the result of the policy."""
        start_ns = 0
        for length_s, load in PHASES:
            end_ns = start_ns + length_s * NS_PER_S
            rate = load * UPSTREAMS * SLOTS / (MEAN_SERVICE_MS * NS_PER_MS)
            self._schedule_arrivals(rate, end_ns)
            self._events.run(end_ns)
            start_ns = end_ns
        self._events.run(start_ns + 60 * NS_PER_S)
        return self._result()

    def _schedule_arrivals(self, rate: float, end_ns: int) -> None:
        gap_ns = self._rng.expovariate(rate)
        if self._events.now_ns + gap_ns >= end_ns:
            return

        def arrive() -> None:
            if self._budget:
                self._budget.on_request(self._events.now_ns)
            now_ns = self._events.now_ns
            self._seconds[now_ns // NS_PER_S].arrived += 1
            self._attempt(now_ns, 1)
            self._schedule_arrivals(rate, end_ns)

        self._events.call_later(gap_ns, arrive)

    def _attempt(self, arrived_ns: int, number: int) -> None:
        self._attempts += 1
        deadline_ns = arrived_ns + int(DEADLINE_MS * NS_PER_MS)

        def end(result: str) -> None:
            second = self._seconds[arrived_ns // NS_PER_S]
            if result == "done":
                self._end_counts["done"] += 1
                second.served += 1
                second.latencies_ms.append((self._events.now_ns - arrived_ns) / NS_PER_MS)
            elif result == "late":
                self._end_counts["late"] += 1
            elif not self._retry(arrived_ns, number):
                self._end_counts["refused"] += 1

        self._rng.choice(self._upstreams).offer(Job(deadline_ns, end))

    def _retry(self, arrived_ns: int, number: int) -> bool:
        if number >= MAX_ATTEMPTS or (self._budget and not self._budget.take()):
            return False
        pause_ns = backoff_ms(number, self._rng.random()) * NS_PER_MS
        self._events.call_later(pause_ns, lambda: self._attempt(arrived_ns, number + 1))
        return True

    def _result(self) -> PolicyResult:
        warm_up_s, overload_s = PHASES[0][0], PHASES[1][0]
        overload = self._seconds[warm_up_s : warm_up_s + overload_s]
        capacity = UPSTREAMS * SLOTS / MEAN_SERVICE_MS * 1000 * overload_s
        latencies = sorted(value for second in overload for value in second.latencies_ms)
        arrived = sum(second.arrived for second in self._seconds)
        p99_ms = latencies[int(0.99 * len(latencies))] if latencies else float("nan")
        return PolicyResult(
            self._name,
            100 * sum(second.served for second in overload) / capacity,
            p99_ms,
            max(upstream.max_queued for upstream in self._upstreams),
            100 * self._end_counts["refused"] / arrived,
            100 * self._end_counts["late"] / arrived,
            100 * (self._attempts - arrived) / arrived,
            self._recovery_s(warm_up_s + overload_s),
            max(upstream.max_in_flight for upstream in self._upstreams),
        )

    def _recovery_s(self, overload_end_s: int) -> float:
        for offset, second in enumerate(self._seconds[overload_end_s:-1]):
            if second.served >= 0.99 * second.arrived:
                return float(offset)
        return float("inf")


POLICIES = (
    ("no limits, retries", Limits(SLOTS, CONNECTIONS, UNLIMITED_REQUESTS, 1e9), False),
    ("admission queue, no budget", Limits(SLOTS, CONNECTIONS), False),
    ("admission queue, retry budget", Limits(SLOTS, CONNECTIONS), True),
)


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Prints one line per policy; exit code 1 if the last policy misses a bound."""
    header = (
        "policy                          goodput  p99 ms  queue  refused   late  extra  recovery"
    )
    click.echo(header)
    for name, limits, has_retry_budget in POLICIES:
        if limits.queue_requests == UNLIMITED_REQUESTS:
            result = _run_unlimited(name, limits, has_retry_budget, seed)
        else:
            result = Experiment(name, limits, has_retry_budget, seed).run()
        click.echo(
            f"{result.name:30} {result.goodput_percent:7.1f}% {result.p99_ms:7.1f} "
            f"{result.max_queued:6} {result.refused_percent:7.1f}% {result.late_percent:5.1f}% "
            f"{result.extra_percent:5.1f}% {result.recovery_s:7.1f} s"
        )
    missed = [
        text
        for text, holds in (
            (
                f"goodput under {MIN_GOODPUT_PERCENT}%",
                result.goodput_percent >= MIN_GOODPUT_PERCENT,
            ),
            (f"p99 over the deadline of {DEADLINE_MS} ms", result.p99_ms <= DEADLINE_MS),
            (f"recovery over {MAX_RECOVERY_S} s", result.recovery_s <= MAX_RECOVERY_S),
            (
                f"extra attempts over {MAX_EXTRA_ATTEMPTS_PERCENT}%",
                result.extra_percent <= MAX_EXTRA_ATTEMPTS_PERCENT,
            ),
            ("more requests in flight than slots", result.max_in_flight <= SLOTS),
        )
        if not holds
    ]
    click.echo(f"overload: {'ok' if not missed else 'missed: ' + '; '.join(missed)} seed={seed}")
    sys.exit(1 if missed else 0)


def _run_unlimited(name: str, limits: Limits, has_retry_budget: bool, seed: int) -> PolicyResult:
    experiment = Experiment(name, limits, has_retry_budget, seed)
    for upstream in experiment._upstreams:
        # The baseline queues every request and refuses none.
        upstream.queue = _UnlimitedQueue(limits)
    return experiment.run()


class _UnlimitedQueue:
    """An unbounded first-in, first-out queue that ignores deadlines."""

    def __init__(self, limits: Limits) -> None:
        from collections import deque

        self._limits = limits
        self._waiting = deque()
        self.in_flight = 0

    @property
    def queued(self) -> int:
        return len(self._waiting)

    def offer(self, work: object, now_ns: int):
        from auburnsail._admission_queue import ADMIT, Waiter

        if self.in_flight < self._limits.max_in_flight:
            self.in_flight += 1
            return ADMIT
        waiter = Waiter(work, 0)
        self._waiting.append(waiter)
        return waiter

    def finish(self, service_ns, now_ns):
        from auburnsail._admission_queue import ADMIT

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
