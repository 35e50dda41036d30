"""Compares the load balancing of an unkeyed service with three baselines, in virtual time.

Six nodes in three regions with two failure domains each have one upstream each, with 12 slots and
20 ms mean service time. Each node receives Poisson arrivals at half the capacity of one upstream.
Upstream 0 has the fault of the scenario:

- ``alike``: It has no fault.
- ``slow``: It has a tenth of the speed of the others.
- ``misreports``: It has a tenth of the speed and reports no load.
- ``refuses``: It refuses all requests without delay.

The baseline that uses reported loads receives them once per second.
"""

import random
import sys
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import click

from auburnsail._admission import Result, Utilisation
from auburnsail._balance import BalanceLimits, LatencyChooser
from auburnsail._clock import NS_PER_MS, NS_PER_S
from auburnsail._limits import Limits
from auburnsail._model import Session, SessionId
from tools.virtual_time import EventQueue, FakeUpstream, Job

REGIONS = ("wien", "tirol", "steiermark")
SLOTS = 12
MEAN_SERVICE_MS = 20.0
ARRIVAL_FRACTION = 0.5
RUN_S = 60
WARM_UP_S = 10
DEADLINE_MS = 2_000.0
REPORT_INTERVAL_MS = 1_000.0
RTT_MS = {"domain": 0.2, "region": 2.0, "far": 40.0}
SLOW_FACTOR = 10.0
# Maximum ratio of the 99th percentile of the latency with a fault to that without. A slow upstream
# must not slow down the others: apart from its own answers, only requests that its node sends to
# other nodes may take longer.
MAX_P99_GROWTH = 1.10


class RandomChooser:
    """Baseline: a random upstream."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Session], now_ns: int) -> Session:
        """Returns a random candidate."""
        return self._rng.choice(candidates)

    def observe(self, session: Session, result: Result, duration_ns: int) -> None:
        """Does nothing."""

    def observe_utilisation(self, session: Session, utilisation: Utilisation) -> None:
        """Does nothing."""


class RoundRobinChooser(RandomChooser):
    """Baseline: each upstream in turn."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._index = rng.randrange(6)

    def choose(self, candidates: Sequence[Session], now_ns: int) -> Session:
        """Returns the next candidate."""
        self._index += 1
        return candidates[self._index % len(candidates)]


class LeastReportedChooser(RandomChooser):
    """Baseline: the upstream that reported the least load."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.reported_loads: dict[SessionId, float] = {}

    def choose(self, candidates: Sequence[Session], now_ns: int) -> Session:
        """Returns the candidate with the lowest reported load; a random one of several."""
        least_load = min(self.reported_loads.get(session.id, 0.0) for session in candidates)
        return self._rng.choice(
            [s for s in candidates if self.reported_loads.get(s.id, 0.0) == least_load]
        )


@dataclass(frozen=True, slots=True)
class PolicyResult:
    """Result of one policy in one scenario, without the warm-up.

    Attributes:
        p99_ms: 99th percentile of the latency of successful requests.
        failed_percent: Share of requests that failed.
        other_region_percent: Share of requests that were sent to another region.
        upstream_0_percent: Share of requests that were sent to upstream 0.
    """

    p99_ms: float
    failed_percent: float
    other_region_percent: float
    upstream_0_percent: float


class Experiment:
    """Simulation of one policy in one scenario.

    Args:
        policy: One of `POLICIES`.
        scenario: One of `SCENARIOS`.
        seed: Seed of all random choices.
    """

    def __init__(self, policy: str, scenario: str, seed: int) -> None:
        self._rng = random.Random(seed)
        self._events = EventQueue()
        self._scenario = scenario
        self._sessions = [_make_session(number) for number in range(6)]
        slowness = SLOW_FACTOR if scenario in ("slow", "misreports") else 1.0
        self._upstreams = {
            session.id: FakeUpstream(
                self._events,
                self._rng,
                Limits(SLOTS, 100),
                MEAN_SERVICE_MS,
                slowness if number == 0 else 1.0,
            )
            for number, session in enumerate(self._sessions)
        }
        self._choosers = [self._make_chooser(policy, session) for session in self._sessions]
        self._latencies: list[float] = []
        self._counts: Counter[str] = Counter()

    def run(self) -> PolicyResult:
        """Runs the scenario and returns the result."""
        for number in range(6):
            self._schedule_arrival(number)
        self._report_loads()
        self._events.run(RUN_S * NS_PER_S)
        total = self._counts["sent"]
        latencies = sorted(self._latencies)
        return PolicyResult(
            latencies[int(0.99 * len(latencies))],
            100 * self._counts["failed"] / total,
            100 * self._counts["far"] / total,
            100 * self._counts["upstream 0"] / total,
        )

    def _make_chooser(self, policy: str, session: Session):
        match policy:
            case "random":
                return RandomChooser(self._rng)
            case "round robin":
                return RoundRobinChooser(self._rng)
            case "least reported":
                return LeastReportedChooser(self._rng)
        limits = BalanceLimits()
        now_ns = self._now_ns
        return LatencyChooser(session.region, session.domain, limits, self._rng, now_ns)

    def _now_ns(self) -> int:
        return self._events.now_ns

    def _report_loads(self) -> None:
        for number, session in enumerate(self._sessions):
            is_misreporting = number == 0 and self._scenario == "misreports"
            load = 0.0 if is_misreporting else self._upstreams[session.id].used_percent
            for chooser in self._choosers:
                if isinstance(chooser, LeastReportedChooser):
                    chooser.reported_loads[session.id] = load
        self._events.call_later(REPORT_INTERVAL_MS * NS_PER_MS, self._report_loads)

    def _schedule_arrival(self, number: int) -> None:
        rate = ARRIVAL_FRACTION * SLOTS / (MEAN_SERVICE_MS * NS_PER_MS)

        def arrive() -> None:
            self._send(number)
            self._schedule_arrival(number)

        self._events.call_later(self._rng.expovariate(rate), arrive)

    def _send(self, number: int) -> None:
        now_ns = self._events.now_ns
        sender, chooser = self._sessions[number], self._choosers[number]
        chosen = chooser.choose(self._sessions, now_ns)
        rtt_ns = RTT_MS[_distance(sender, chosen)] * NS_PER_MS
        is_counted = now_ns >= WARM_UP_S * NS_PER_S
        if is_counted:
            self._counts["sent"] += 1
            self._counts["far"] += sender.region != chosen.region
            self._counts["upstream 0"] += chosen is self._sessions[0]
        deadline_ns = now_ns + int(DEADLINE_MS * NS_PER_MS)

        def send_answer(outcome: str) -> None:
            self._events.call_later(rtt_ns / 2, lambda: receive_answer(outcome))

        def receive_answer(outcome: str) -> None:
            duration_ns = self._events.now_ns - now_ns
            result = Result.ANSWERED if outcome == "done" else Result.NOT_RUN
            upstream = self._upstreams[chosen.id]
            is_misreporting = chosen is self._sessions[0] and self._scenario == "misreports"
            chooser.observe_utilisation(
                chosen,
                Utilisation(
                    upstream.used_percent, 0.0 if is_misreporting else upstream.used_percent
                ),
            )
            chooser.observe(chosen, result, duration_ns)
            if is_counted:
                self._counts["failed"] += outcome != "done"
                if outcome == "done":
                    self._latencies.append(duration_ns / NS_PER_MS)

        self._events.call_later(
            rtt_ns / 2, lambda: self._offer(chosen, Job(deadline_ns, send_answer))
        )

    def _offer(self, chosen: Session, job: Job) -> None:
        if chosen is self._sessions[0] and self._scenario == "refuses":
            job.on_end("shed")
        else:
            self._upstreams[chosen.id].offer(job)


def _make_session(number: int) -> Session:
    region = REGIONS[number // 2]
    session_id = SessionId(f"node-{number}", 1)
    return Session(session_id, region, f"{region}-{number % 2}", "", "", "pledge", SLOTS)


def _distance(sender: Session, chosen: Session) -> str:
    if sender.region != chosen.region:
        return "far"
    return "domain" if sender.domain == chosen.domain else "region"


POLICIES = ("random", "round robin", "least reported", "auburnsail")
SCENARIOS = ("alike", "slow", "misreports", "refuses")


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Prints one table; exits with 1 if the policy of the node is worse than a baseline.

    It also exits with 1 if a fault increases the 99th percentile of the latency too much.
    """
    click.echo("scenario   policy           p99 ms  failed  other region  sent to upstream 0")
    results: dict[tuple[str, str], PolicyResult] = {}
    for scenario in SCENARIOS:
        for policy in POLICIES:
            result = results[scenario, policy] = Experiment(policy, scenario, seed).run()
            click.echo(
                f"{scenario:10} {policy:15} {result.p99_ms:7.1f} {result.failed_percent:6.2f}% "
                f"{result.other_region_percent:12.1f}% {result.upstream_0_percent:12.1f}%"
            )
    missed = list(_missed_bounds(results))
    click.echo(f"balance: {'ok' if not missed else 'missed: ' + '; '.join(missed)} seed={seed}")
    sys.exit(1 if missed else 0)


def _missed_bounds(results: dict[tuple[str, str], PolicyResult]):
    for scenario in SCENARIOS:
        shipped = results[scenario, "auburnsail"]
        for policy in POLICIES[:-1]:
            baseline = results[scenario, policy]
            if shipped.p99_ms > baseline.p99_ms:
                yield f"{scenario}: p99 above {policy}"
            if shipped.failed_percent > baseline.failed_percent:
                yield f"{scenario}: more failures than {policy}"
            if shipped.other_region_percent > baseline.other_region_percent:
                yield f"{scenario}: more requests to other regions than {policy}"
    for scenario in ("slow", "misreports", "refuses"):
        growth = results[scenario, "auburnsail"].p99_ms / results["alike", "auburnsail"].p99_ms
        if growth > MAX_P99_GROWTH:
            yield f"{scenario}: p99 is {growth:.2f} times the p99 without a fault"


if __name__ == "__main__":
    main()
