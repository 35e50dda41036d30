"""Counts, latencies and availability of a load run, as JSON and as text."""

from collections import Counter

import msgspec
import xxhash
from hdrh.histogram import HdrHistogram

from ._load_client import OK, UNNAMED, WRONG_CALLER, RequestResult
from ._load_schedule import NS_PER_S, PlannedRequest, RequestKind

__all__ = [
    "KindReport",
    "LatencySummary",
    "LoadRecorder",
    "LoadReport",
    "RequestRecord",
    "SecondReport",
    "render",
]

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
NS_PER_US = 1000
NOT_SENT = "not-sent"
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class RequestRecord(msgspec.Struct):
    """One request in the request log.

    Attributes:
        request_id: Unique identifier.
        method: HTTP method.
        path: Request target.
        key: Key in the request target, or an empty string.
        is_repeatable: Whether the request may safely be executed twice.
        intended_ns: Intended start; this and the other times are from CLOCK_BOOTTIME.
        sent_ns: Time when the request was sent.
        finished_ns: Time when the answer was complete or the request had failed.
        target: Address of the node that the request was sent to.
        status: HTTP status, or 0 without an answer.
        outcome: See `RequestResult`.
    """

    request_id: str
    method: str
    path: str
    key: str
    is_repeatable: bool
    intended_ns: int
    sent_ns: int
    finished_ns: int
    target: str
    status: int
    outcome: str


class LatencySummary(msgspec.Struct, frozen=True):
    """Summary of latencies in milliseconds, measured from the intended start."""

    count: int
    mean_ms: float
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class KindReport(msgspec.Struct, frozen=True):
    """Results of one kind of request.

    Attributes:
        kind: HTTP method and request target with its placeholders.
        requests: Number of requests that were due.
        outcomes: Number of requests by outcome.
        latency: Latencies of successful requests.
    """

    kind: str
    requests: int
    outcomes: dict[str, int]
    latency: LatencySummary


class SecondReport(msgspec.Struct, frozen=True):
    """One second of the run, by intended start.

    Attributes:
        second: Seconds since the start of the run.
        requests: Number of requests that were due.
        outcomes: Number of requests by outcome.
        p99_ms: 99th percentile of the latency of successful requests.
        group_requests: Number of requests that were due, by key group.
        group_ok: Number of successful requests, by key group.
    """

    second: int
    requests: int
    outcomes: dict[str, int]
    p99_ms: float
    group_requests: list[int]
    group_ok: list[int]


class LoadReport(msgspec.Struct, frozen=True):
    """Result of a load run.

    Attributes:
        requests: Number of requests that were due.
        seconds: Length of the run in seconds.
        availability: Share of requests that an upstream answered successfully.
        unavailable_key_seconds: Sum over all seconds and key groups of the share of failed
            requests times the number of keys in the group.
        wrong_caller: Number of answers that name another request.
        unnamed: Number of successful answers that name no request.
        outcomes: Number of requests by outcome.
        latency: Latencies of successful requests.
        start_lag: Delay from the intended start until the request was sent.
        kinds: Results by kind of request.
        series: Results by second.
        histogram: Latencies of successful requests in microseconds, as an encoded HdrHistogram.
    """

    requests: int
    seconds: float
    availability: float
    unavailable_key_seconds: float
    wrong_caller: int
    unnamed: int
    outcomes: dict[str, int]
    latency: LatencySummary
    start_lag: LatencySummary
    kinds: list[KindReport]
    series: list[SecondReport]
    histogram: str


class _Tally:
    """Outcomes and latencies of one part of the run."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def add(self, outcome: str, latency_us: int) -> None:
        """Counts a request; only successful ones enter the latencies."""
        self.outcomes[outcome] += 1
        if outcome == OK:
            self.histogram.record_value(min(max(latency_us, MIN_LATENCY_US), MAX_LATENCY_US))


class _SecondTally:
    """Outcomes and latencies of one second.

    The latencies are in a list, which takes less memory than a histogram.
    """

    def __init__(self, groups: int) -> None:
        self.outcomes: Counter[str] = Counter()
        self.latencies_us: list[int] = []
        self.group_requests = [0] * groups
        self.group_ok = [0] * groups


class LoadRecorder:
    """Collects the results of a load run.

    Args:
        keys: Number of keys in the run.
        groups: Number of key groups in the time series.
    """

    def __init__(self, keys: int, groups: int) -> None:
        self._keys = keys
        self._groups = groups
        self._total = _Tally()
        self._start_lag = _Tally()
        self._kinds: dict[RequestKind, _Tally] = {}
        self._seconds: dict[int, _SecondTally] = {}

    def add(
        self, planned: PlannedRequest, result: RequestResult, sent_ns: int, finished_ns: int
    ) -> None:
        """Counts a finished request.

        Args:
            planned: The request.
            result: Its result.
            sent_ns: Time when it was sent, in nanoseconds since the start of the run.
            finished_ns: Time when it ended, in nanoseconds since the start of the run.
        """
        latency_us = (finished_ns - planned.start_ns) // NS_PER_US
        self._total.add(result.outcome, latency_us)
        self._start_lag.add(OK, (sent_ns - planned.start_ns) // NS_PER_US)
        self._count(planned, result.outcome, latency_us)

    def add_not_sent(self, planned: PlannedRequest) -> None:
        """Counts a request that was not sent because too many were in flight when it was due."""
        self._total.add(NOT_SENT, 0)
        self._count(planned, NOT_SENT, 0)

    def report(self, seconds: float) -> LoadReport:
        """Returns the report of a run.

        Args:
            seconds: Length of the run in seconds.
        """
        outcomes = self._total.outcomes
        requests = outcomes.total()
        return LoadReport(
            requests=requests,
            seconds=round(seconds, 3),
            availability=outcomes[OK] / requests if requests else 0.0,
            unavailable_key_seconds=round(self._unavailable_key_seconds(), 1),
            wrong_caller=outcomes[WRONG_CALLER],
            unnamed=outcomes[UNNAMED],
            outcomes=dict(outcomes.most_common()),
            latency=_latency_summary(self._total.histogram),
            start_lag=_latency_summary(self._start_lag.histogram),
            kinds=[
                KindReport(
                    f"{kind.method} {kind.template}",
                    tally.outcomes.total(),
                    dict(tally.outcomes.most_common()),
                    _latency_summary(tally.histogram),
                )
                for kind, tally in self._kinds.items()
            ],
            series=[
                _second_report(number, tally) for number, tally in sorted(self._seconds.items())
            ],
            histogram=self._total.histogram.encode().decode("ascii"),
        )

    def _count(self, planned: PlannedRequest, outcome: str, latency_us: int) -> None:
        tally = self._kinds.get(planned.kind)
        if tally is None:
            tally = self._kinds[planned.kind] = _Tally()
        tally.add(outcome, latency_us)
        number = planned.start_ns // NS_PER_S
        second = self._seconds.get(number)
        if second is None:
            second = self._seconds[number] = _SecondTally(self._groups)
        second.outcomes[outcome] += 1
        if outcome == OK:
            second.latencies_us.append(latency_us)
        if planned.key:
            group = xxhash.xxh64_intdigest(planned.key.encode()) % self._groups
            second.group_requests[group] += 1
            second.group_ok[group] += outcome == OK

    def _unavailable_key_seconds(self) -> float:
        keys_per_group = self._keys / self._groups
        return sum(
            (1 - ok / requests) * keys_per_group
            for second in self._seconds.values()
            for requests, ok in zip(second.group_requests, second.group_ok, strict=True)
            if requests
        )


def _second_report(number: int, tally: _SecondTally) -> SecondReport:
    latencies = sorted(tally.latencies_us)
    p99_us = latencies[int(len(latencies) * 0.99)] if latencies else 0
    return SecondReport(
        number,
        tally.outcomes.total(),
        dict(tally.outcomes.most_common()),
        p99_us / 1000,
        tally.group_requests,
        tally.group_ok,
    )


def _latency_summary(histogram: HdrHistogram) -> LatencySummary:
    count = histogram.get_total_count()
    if not count:
        return LatencySummary(0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
    values = [histogram.get_value_at_percentile(percentile) / 1000 for percentile in PERCENTILES]
    mean_ms = round(histogram.get_mean_value() / 1000, 3)
    return LatencySummary(count, mean_ms, *values, histogram.get_max_value() / 1000)


def render(report: LoadReport) -> str:
    """Returns the report as text."""
    lines = [
        f"requests {report.requests} in {report.seconds:.1f} s, "
        f"answered successfully {report.availability:.3%}, "
        f"unavailable {report.unavailable_key_seconds:.1f} key-seconds",
        f"answers to the wrong caller {report.wrong_caller}, "
        f"successful answers that name no request {report.unnamed}",
        f"sent later than intended: p99 {report.start_lag.p99_ms:.1f} ms, "
        f"max {report.start_lag.max_ms:.1f} ms",
        "",
        f"{'outcome':<36}{'requests':>10}",
    ]
    lines += [f"{outcome:<36}{count:>10}" for outcome, count in report.outcomes.items()]
    lines += ["", f"{'latency in ms':<36}{'count':>10}{'p50':>9}{'p90':>9}{'p99':>9}{'p99.9':>9}"]
    rows = [("all", report.latency), *((kind.kind, kind.latency) for kind in report.kinds)]
    for name, latency in rows:
        lines.append(
            f"{name:<36}{latency.count:>10}{latency.p50_ms:>9.1f}{latency.p90_ms:>9.1f}"
            f"{latency.p99_ms:>9.1f}{latency.p999_ms:>9.1f}"
        )
    return "\n".join(lines)
