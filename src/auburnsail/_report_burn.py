"""The burn report: compares stored snapshots with the objectives in the settings tree."""

import math
from collections.abc import Iterable
from datetime import UTC, datetime

import msgspec

from ._burn import (
    ALERT_RULES,
    FIRING,
    NO_DATA,
    POSSIBLE,
    Indicator,
    Window,
    make_indicator,
    make_window,
)
from ._cli_common import table_lines
from ._report_series import BUCKET_S, Group, MinuteSeries, ReadStatistics
from ._settings import TreeSettings
from ._tree import effective

__all__ = [
    "BurnReport",
    "BurnRow",
    "Period",
    "burn_lines",
    "burn_report",
    "format_duration",
    "format_time",
]

DAY_S = 86_400
US_PER_MS = 1000
PLOTTED_PERIOD_S = 6 * 3600


class Period(msgspec.Struct, frozen=True):
    """Period of a report, in seconds since 1970, UTC.

    Attributes:
        start_s: Start. No snapshots are expected before it; it is never earlier than the first
            version of the settings, because the fleet did not run before.
        end_s: End, which is also the end of all windows.
    """

    start_s: float
    end_s: float

    def buckets(self, seconds: float) -> range:
        """Returns the one-minute buckets of a window that ends with the period.

        Args:
            seconds: Length of the window; it is cut at the start of the period.
        """
        start_s = max(self.start_s, self.end_s - seconds)
        return range(math.ceil(start_s / BUCKET_S), int(self.end_s // BUCKET_S))


class BurnRow(msgspec.Struct, frozen=True):
    """Indicators of a service in all regions, in one region or in one failure domain.

    Attributes:
        service: Name of the service.
        region: Region of the nodes that received the requests; empty for all regions.
        domain: Failure domain of these nodes; empty for all failure domains.
        availability: Indicator that counts requests that were not served as bad.
        latency: Indicator that counts answers slower than the latency bound as bad.
        latency_bound_ms: Latency above which an answer counts as bad.
        p99_ms: 99th percentile of the latency of answers in the period; None without answers.
        endings: Number of requests in the period by how they ended.
        reasons: Number of refusals in the period by reason.
    """

    service: str
    region: str
    domain: str
    availability: Indicator
    latency: Indicator
    latency_bound_ms: float
    p99_ms: float | None
    endings: dict[str, int]
    reasons: dict[str, int]


class ServicePoint(msgspec.Struct, frozen=True):
    """One minute of one service, for plots.

    The share of valid requests that were not served and the share of answers slower than the
    bound are None in a gap or without requests.
    """

    start_s: float
    coverage: float | None
    valid: float
    bad_share: float | None
    slow_share: float | None


class UnavailableTime(msgspec.Struct, frozen=True):
    """Unavailable time of a service in shard-seconds.

    For each minute the maximum over all nodes counts, since all nodes observe the same shards.

    Attributes:
        refused: Shard-seconds with requests refused because no owner was able to serve.
        unowned: Shard-seconds without an owner in the fleet log.
    """

    refused: float
    unowned: float


class BurnReport(msgspec.Struct, frozen=True):
    """Error budgets, burn rates and alerts of all services.

    Attributes:
        period: Period of the snapshots.
        settings_version: Version of the settings tree with the objectives.
        objects: Number of objects read.
        snapshots: Number of snapshots read.
        unreadable: Number of objects that could not be decoded; each leaves a gap.
        dropped: Number of snapshots that nodes discarded unwritten, by ``<node>.<run>``.
        largest_clock_step_s: Largest step of a node's wall clock during one snapshot.
        rows: Indicators by service, region and failure domain.
        unavailable: Unavailable time in the period by service.
        series: The last six hours by service, one point per minute.
    """

    period: Period
    settings_version: int
    objects: int
    snapshots: int
    unreadable: int
    dropped: dict[str, int]
    largest_clock_step_s: float
    rows: list[BurnRow]
    unavailable: dict[str, UnavailableTime]
    series: dict[str, list[ServicePoint]]

    def has_alert(self, state: str) -> bool:
        """Returns whether any alert is in the given state."""
        return any(
            alert.state == state
            for row in self.rows
            for indicator in (row.availability, row.latency)
            for alert in indicator.alerts
        )


def burn_report(
    series: MinuteSeries,
    statistics: ReadStatistics,
    tree: TreeSettings,
    settings_version: int,
    period: Period,
    budget_days: float | None = None,
) -> BurnReport:
    """Returns the burn report.

    Args:
        series: Snapshots of the period, summed by minute.
        statistics: Statistics of reading these snapshots.
        tree: Settings tree with the objectives.
        settings_version: Version of the settings tree.
        period: Period of the report.
        budget_days: Length of the budget window in days; by default that of each objective.
    """
    buckets = period.buckets(math.inf)
    # For a bucket without snapshots, `expected_node_seconds` returns the places of an earlier one.
    places = sorted({place for bucket in buckets for place in series.expected_node_seconds(bucket)})
    rows = []
    for service in sorted(tree.services):
        days = budget_days or effective(tree, service).objective.window_days
        for region, domain, level_places in _place_levels(places):
            groups = [(service, *place) for place in level_places]
            rows.append(_make_row(series, tree, period, days, (service, region, domain), groups))
    return BurnReport(
        period,
        settings_version,
        statistics.objects,
        statistics.snapshots,
        statistics.unreadable,
        statistics.dropped,
        statistics.largest_clock_step_s,
        rows,
        {service: _unavailable_time(series, service, buckets) for service in sorted(tree.services)},
        {service: _points(series, service, places, period) for service in sorted(tree.services)},
    )


def _place_levels(
    places: list[tuple[str, str]],
) -> Iterable[tuple[str, str, list[tuple[str, str]]]]:
    yield "", "", places
    for region in sorted({region for region, _ in places}):
        region_places = [place for place in places if place[0] == region]
        yield region, "", region_places
        for _, domain in region_places:
            yield region, domain, [(region, domain)]


def _make_row(
    series: MinuteSeries,
    tree: TreeSettings,
    period: Period,
    days: float,
    row_key: Group,
    groups: list[Group],
) -> BurnRow:
    objective = effective(tree, row_key[0]).objective
    objectives = (objective.availability_percent, objective.latency_share_percent)
    lengths = {float(seconds) for rule in ALERT_RULES for seconds in (rule.long_s, rule.short_s)}

    def make_windows(seconds: float) -> tuple[Window, Window]:
        buckets = period.buckets(seconds)
        coverage = series.coverage([group[1:] for group in groups], buckets)
        counts = series.request_counts(groups, buckets)
        return tuple(
            make_window(seconds, objective_counts, coverage, objective_percent)
            for objective_counts, objective_percent in zip(counts, objectives, strict=True)
        )

    budgets = make_windows(days * DAY_S)
    windows = {seconds: make_windows(seconds) for seconds in lengths}
    availability, latency = (
        make_indicator(
            name, objectives[i], budgets[i], {seconds: pair[i] for seconds, pair in windows.items()}
        )
        for i, name in enumerate(("availability", "latency"))
    )
    return BurnRow(
        *row_key,
        availability,
        latency,
        objective.latency_bound_ms,
        _p99_ms(series, groups),
        _sum_by_name(series.endings, groups),
        _sum_by_name(series.reasons, groups),
    )


def _p99_ms(series: MinuteSeries, groups: list[Group]) -> float | None:
    histograms = [
        series.latency_histograms[group] for group in groups if group in series.latency_histograms
    ]
    if not histograms:
        return None
    merged = type(histograms[0])(
        histograms[0].lowest_trackable_value,
        histograms[0].highest_trackable_value,
        histograms[0].significant_figures,
    )
    for histogram in histograms:
        merged.add(histogram)
    return merged.get_value_at_percentile(99) / US_PER_MS


def _sum_by_name(counts: dict[Group, dict[str, int]], groups: list[Group]) -> dict[str, int]:
    total: dict[str, int] = {}
    for group in groups:
        for name, count in counts.get(group, {}).items():
            total[name] = total.get(name, 0) + count
    return dict(sorted(total.items()))


def _unavailable_time(series: MinuteSeries, service: str, buckets: range) -> UnavailableTime:
    by_bucket = series.unavailable.get(service, {})
    minutes = [by_bucket[bucket] for bucket in buckets if bucket in by_bucket]
    return UnavailableTime(sum(pair[0] for pair in minutes), sum(pair[1] for pair in minutes))


def _points(
    series: MinuteSeries, service: str, places: list[tuple[str, str]], period: Period
) -> list[ServicePoint]:
    points = []
    groups = [(service, *place) for place in places]
    for bucket in period.buckets(PLOTTED_PERIOD_S):
        minute = range(bucket, bucket + 1)
        coverage = series.coverage(places, minute)
        availability, latency = series.request_counts(groups, minute)
        points.append(
            ServicePoint(
                bucket * BUCKET_S,
                coverage,
                availability.valid,
                availability.bad / availability.valid if coverage and availability.valid else None,
                latency.bad / latency.valid if coverage and latency.valid else None,
            )
        )
    return points


def format_time(time_s: float) -> str:
    """Formats seconds since 1970 as a date and time in UTC."""
    return datetime.fromtimestamp(time_s, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


def burn_lines(report: BurnReport) -> list[str]:
    """Returns the report as lines of text."""
    lines = [
        f"Burn report until {format_time(report.period.end_s)}, settings version"
        f" {report.settings_version}",
        f"{report.snapshots} snapshots in {report.objects} objects since"
        f" {format_time(report.period.start_s)}",
    ]
    lines += _warnings(report)
    for objective in ("availability", "latency"):
        lines += ["", *_indicator_lines(report, objective)]
    lines += ["", "Requests by how they ended, and refusals by reason"]
    for row in report.rows:
        if not row.region:
            ends = ", ".join(f"{name} {count}" for name, count in row.endings.items())
            reasons = ", ".join(f"{name} {count}" for name, count in row.reasons.items())
            lines.append(f"  {row.service}: {ends or 'none'}{f' ({reasons})' if reasons else ''}")
    lines += ["", "Unavailable time in shard-seconds (refused requests; no owner in the log)"]
    for service, unavailable in report.unavailable.items():
        lines.append(f"  {service}: {unavailable.refused:.0f}; {unavailable.unowned:.0f}")
    return lines


def _warnings(report: BurnReport) -> list[str]:
    lines = []
    if report.unreadable:
        lines.append(f"Warning: {report.unreadable} objects could not be decoded (data gap)")
    if report.dropped:
        total = sum(report.dropped.values())
        lines.append(f"Warning: {len(report.dropped)} nodes discarded {total} snapshots (data gap)")
    if abs(report.largest_clock_step_s) >= 1:
        lines.append(f"Warning: a node's clock was set by {report.largest_clock_step_s:+.1f} s")
    for state in (FIRING, POSSIBLE, NO_DATA):
        if report.has_alert(state):
            lines.append(f"Alert: at least one rule is in state: {state}")
    return lines


def _indicator_lines(report: BurnReport, name: str) -> list[str]:
    lengths = sorted({seconds for rule in ALERT_RULES for seconds in (rule.long_s, rule.short_s)})
    header = ("service", "place", "objective", "covered", "budget left")
    rows = []
    for row in report.rows:
        indicator: Indicator = getattr(row, name)
        place = "/".join(name for name in (row.region, row.domain) if name) or "all"
        objective = f"{indicator.objective_percent:g}%"
        if name == "latency":
            objective += f" <= {row.latency_bound_ms:g} ms"
        cells = [
            row.service,
            place,
            objective,
            _format_percent(indicator.budget.coverage),
            _format_budget_left(indicator),
        ]
        cells += [_format_burn_rate(window) for window in indicator.windows]
        cells.append(
            "; ".join(_format_alert(alert) for alert in indicator.alerts if alert.state != "ok")
        )
        if name == "latency":
            cells.insert(3, "-" if row.p99_ms is None else f"{row.p99_ms:.1f} ms")
        rows.append(cells)
    if name == "latency":
        header = (*header[:3], "p99", *header[3:])
    header = (*header, *(format_duration(seconds) for seconds in lengths), "alerts")
    heading = f"{name.capitalize()}: burn rate by window (if all missing requests were bad)"
    return [heading, *table_lines(header, rows)]


def _format_alert(alert) -> str:
    lengths = f"{format_duration(alert.long_s)}/{format_duration(alert.short_s)}"
    return f"{alert.state} {lengths} >= {alert.threshold:g}"


def _format_percent(value: float | None) -> str:
    return "-" if value is None else f"{100 * value:.1f}%"


def _format_budget_left(indicator: Indicator) -> str:
    if indicator.budget_left is None:
        return "no data"
    percent = _format_percent(indicator.budget_left)
    is_range = indicator.budget.coverage is not None and indicator.budget.coverage < 1
    return f"{percent} ({_format_percent(indicator.budget_left_worst)})" if is_range else percent


def _format_burn_rate(window: Window) -> str:
    if window.burn is None:
        return "no data"
    is_range = window.coverage is not None and window.coverage < 1
    return f"{window.burn:.2f}" + (f" ({window.worst:.1f})" if is_range else "")


def format_duration(seconds: float) -> str:
    """Formats a length of time in the largest unit that divides it, for example ``6 h``."""
    for unit, name in ((DAY_S, "d"), (3600, "h"), (60, "min")):
        if seconds % unit == 0:
            return f"{seconds / unit:g} {name}"
    return f"{seconds:g} s"
