"""The burn report: objectives of the settings tree against what the snapshots say."""

import math
from collections.abc import Iterable
from datetime import UTC, datetime

import msgspec

from ._burn import (
    ALERTS,
    FIRING,
    NO_DATA,
    POSSIBLE,
    Indicator,
    Window,
    indicator,
    window_of,
)
from ._cli_common import print_table
from ._report_series import BUCKET_S, Group, Reading, Series
from ._settings import TreeSettings
from ._tree import effective

__all__ = ["BurnReport", "Period", "Row", "burn_lines", "burn_report", "length_text", "time_text"]

DAY_S = 86_400
US_PER_MS = 1000
PLOTTED_S = 6 * 3600


class Period(msgspec.Struct, frozen=True):
    """Times in seconds since 1970, UTC.

    Attributes:
        start_s: Nothing before it is expected, because the fleet had no settings.
        end_s: End of all windows.
    """

    start_s: float
    end_s: float

    def buckets(self, seconds: float) -> range:
        """Returns the buckets of the window of a length that ends with the period."""
        start_s = max(self.start_s, self.end_s - seconds)
        return range(math.ceil(start_s / BUCKET_S), int(self.end_s // BUCKET_S))


class Row(msgspec.Struct, frozen=True):
    """A service in all regions, in one region or in one failure domain.

    Attributes:
        service: The service.
        region: Region of the nodes that received the requests, empty for all.
        domain: Failure domain of these nodes, empty for all.
        availability: Requests that were served.
        latency: Answers within the bound.
        latency_bound_ms: The bound.
        p99_ms: 99th percentile of the latency of answers in the period; None without answers.
        endings: Requests in the period by how they ended.
        reasons: Refusals in the period by reason.
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
    """One minute of one service, for plots; shares are None in a gap or without requests."""

    start_s: float
    coverage: float | None
    valid: float
    bad_share: float | None
    slow_share: float | None


class Unavailable(msgspec.Struct, frozen=True):
    """Unavailable time of a service in shard-seconds: the most that one node saw, by minute.

    Attributes:
        refused: Shard-seconds with refused requests for want of an owner that may serve.
        unowned: Shard-seconds without an owner in the fleet log.
    """

    refused: float
    unowned: float


class BurnReport(msgspec.Struct, frozen=True):
    """The whole report.

    Attributes:
        period: What was read.
        settings_version: Version of the settings tree with the objectives.
        objects: Objects read.
        snapshots: Snapshots read.
        unreadable: Objects that could not be decoded; each leaves a gap.
        dropped: Snapshots that nodes gave up, by ``node.run``.
        largest_clock_step_s: Largest step of a node's wall clock inside one snapshot.
        rows: Services and places.
        unavailable: Unavailable time in the period by service.
        series: The last hours by service.
    """

    period: Period
    settings_version: int
    objects: int
    snapshots: int
    unreadable: int
    dropped: dict[str, int]
    largest_clock_step_s: float
    rows: list[Row]
    unavailable: dict[str, Unavailable]
    series: dict[str, list[ServicePoint]]

    def has_alert(self, state: str) -> bool:
        """Returns whether any alert is in a state."""
        return any(
            alert.state == state
            for row in self.rows
            for part in (row.availability, row.latency)
            for alert in part.alerts
        )


def burn_report(
    series: Series,
    reading: Reading,
    tree: TreeSettings,
    settings_version: int,
    period: Period,
    budget_days: float | None = None,
) -> BurnReport:
    """Returns the report.

    Args:
        series: Sums of the snapshots.
        reading: What reading them found.
        tree: Settings with the objectives.
        settings_version: Version of the settings.
        period: Start of the fleet and end of the windows.
        budget_days: Replaces the window of the objectives.
    """
    buckets = period.buckets(math.inf)
    # A bucket without snapshots has the places of an earlier one.
    places = sorted({place for bucket in buckets for place in series.expected(bucket)})
    rows = []
    for service in sorted(tree.services):
        days = budget_days or effective(tree, service).objective.window_days
        for region, domain, inside in _levels(places):
            groups = [(service, *place) for place in inside]
            rows.append(_row(series, tree, period, days, (service, region, domain), groups))
    return BurnReport(
        period,
        settings_version,
        reading.objects,
        reading.snapshots,
        reading.unreadable,
        reading.dropped,
        reading.largest_step_s,
        rows,
        {service: _unavailable(series, service, buckets) for service in sorted(tree.services)},
        {service: _points(series, service, places, period) for service in sorted(tree.services)},
    )


def _levels(places: list[tuple[str, str]]) -> Iterable[tuple[str, str, list[tuple[str, str]]]]:
    yield "", "", places
    for region in sorted({region for region, _ in places}):
        inside = [place for place in places if place[0] == region]
        yield region, "", inside
        for _, domain in inside:
            yield region, domain, [(region, domain)]


def _row(
    series: Series,
    tree: TreeSettings,
    period: Period,
    days: float,
    name: Group,
    groups: list[Group],
) -> Row:
    objective = effective(tree, name[0]).objective
    objectives = (objective.availability_percent, objective.latency_share_percent)
    lengths = {float(s) for rule in ALERTS for s in (rule.long_s, rule.short_s)}

    def windows(seconds: float) -> tuple[Window, Window]:
        buckets = period.buckets(seconds)
        coverage = series.coverage([group[1:] for group in groups], buckets)
        sums = series.sums(groups, buckets)
        return tuple(
            window_of(seconds, part, coverage, percent)
            for part, percent in zip(sums, objectives, strict=True)
        )

    budgets = windows(days * DAY_S)
    by_length = {seconds: windows(seconds) for seconds in lengths}
    availability, latency = (
        indicator(title, objectives[i], budgets[i], {s: pair[i] for s, pair in by_length.items()})
        for i, title in enumerate(("availability", "latency"))
    )
    return Row(
        *name,
        availability,
        latency,
        objective.latency_bound_ms,
        _p99_ms(series, groups),
        _total(series.endings, groups),
        _total(series.reasons, groups),
    )


def _p99_ms(series: Series, groups: list[Group]) -> float | None:
    histograms = [series.latency[group] for group in groups if group in series.latency]
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


def _total(counts: dict[Group, dict[str, int]], groups: list[Group]) -> dict[str, int]:
    total: dict[str, int] = {}
    for group in groups:
        for name, number in counts.get(group, {}).items():
            total[name] = total.get(name, 0) + number
    return dict(sorted(total.items()))


def _unavailable(series: Series, service: str, buckets: range) -> Unavailable:
    by_bucket = series.unavailable.get(service, {})
    found = [by_bucket[bucket] for bucket in buckets if bucket in by_bucket]
    return Unavailable(sum(pair[0] for pair in found), sum(pair[1] for pair in found))


def _points(
    series: Series, service: str, places: list[tuple[str, str]], period: Period
) -> list[ServicePoint]:
    points = []
    groups = [(service, *place) for place in places]
    for bucket in period.buckets(PLOTTED_S):
        one = range(bucket, bucket + 1)
        coverage = series.coverage(places, one)
        availability, latency = series.sums(groups, one)
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


def time_text(time_s: float) -> str:
    """Returns a time in UTC for people."""
    return datetime.fromtimestamp(time_s, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


def burn_lines(report: BurnReport) -> list[str]:
    """Returns the report as text."""
    lines = [
        f"Burn report until {time_text(report.period.end_s)}, settings version"
        f" {report.settings_version}",
        f"{report.snapshots} snapshots in {report.objects} objects since"
        f" {time_text(report.period.start_s)}",
    ]
    lines += _warnings(report)
    for title in ("availability", "latency"):
        lines += ["", *_indicator_lines(report, title)]
    lines += ["", "Requests by how they ended, and refusals by reason"]
    for row in report.rows:
        if not row.region:
            ends = ", ".join(f"{name} {number}" for name, number in row.endings.items())
            reasons = ", ".join(f"{name} {number}" for name, number in row.reasons.items())
            lines.append(f"  {row.service}: {ends or 'none'}{f' ({reasons})' if reasons else ''}")
    lines += ["", "Unavailable time in shard-seconds (refused requests; no owner in the log)"]
    for service, found in report.unavailable.items():
        lines.append(f"  {service}: {found.refused:.0f}; {found.unowned:.0f}")
    return lines


def _warnings(report: BurnReport) -> list[str]:
    lines = []
    if report.unreadable:
        lines.append(f"Warning: {report.unreadable} objects cannot be read and are gaps")
    if report.dropped:
        total = sum(report.dropped.values())
        lines.append(f"Warning: {len(report.dropped)} nodes gave up {total} snapshots; gaps")
    if abs(report.largest_clock_step_s) >= 1:
        lines.append(f"Warning: a node's clock was set by {report.largest_clock_step_s:+.1f} s")
    for state in (FIRING, POSSIBLE, NO_DATA):
        if report.has_alert(state):
            lines.append(f"Alert: at least one rule is in state: {state}")
    return lines


def _indicator_lines(report: BurnReport, title: str) -> list[str]:
    lengths = sorted({s for rule in ALERTS for s in (rule.long_s, rule.short_s)})
    header = ("service", "place", "objective", "covered", "budget left")
    rows = []
    for row in report.rows:
        part: Indicator = getattr(row, title)
        place = "/".join(name for name in (row.region, row.domain) if name) or "all"
        objective = f"{part.objective_percent:g}%"
        if title == "latency":
            objective += f" <= {row.latency_bound_ms:g} ms"
        cells = [row.service, place, objective, _share(part.budget.coverage), _left(part)]
        cells += [_burn(window) for window in part.windows]
        cells.append("; ".join(_alert(alert) for alert in part.alerts if alert.state != "ok"))
        if title == "latency":
            cells.insert(3, "-" if row.p99_ms is None else f"{row.p99_ms:.1f} ms")
        rows.append(cells)
    if title == "latency":
        header = (*header[:3], "p99", *header[3:])
    header = (*header, *(length_text(s) for s in lengths), "alerts")
    heading = f"{title.capitalize()}: burn rate by window, in brackets if missing were all bad"
    return [heading, *print_table(header, rows)]


def _alert(alert) -> str:
    lengths = f"{length_text(alert.long_s)}/{length_text(alert.short_s)}"
    return f"{alert.state} {lengths} >= {alert.threshold:g}"


def _share(value: float | None) -> str:
    return "-" if value is None else f"{100 * value:.1f}%"


def _left(part: Indicator) -> str:
    if part.budget_left is None:
        return "no data"
    text = _share(part.budget_left)
    is_range = part.budget.coverage is not None and part.budget.coverage < 1
    return f"{text} ({_share(part.budget_left_worst)})" if is_range else text


def _burn(window: Window) -> str:
    if window.burn is None:
        return "no data"
    is_range = window.coverage is not None and window.coverage < 1
    return f"{window.burn:.2f}" + (f" ({window.worst:.1f})" if is_range else "")


def length_text(seconds: float) -> str:
    """Returns the length of a window for people."""
    for unit, name in ((DAY_S, "d"), (3600, "h"), (60, "min")):
        if seconds % unit == 0:
            return f"{seconds / unit:g} {name}"
    return f"{seconds:g} s"
