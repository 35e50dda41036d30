"""Imbalance: the load of each upstream against the mean of its service, over time."""

import math
from collections.abc import Iterable

import msgspec

from ._cli_common import print_table
from ._report_series import BUCKET_S, overlaps
from ._snapshot import Snapshot

__all__ = ["ImbalanceReport", "Loads", "imbalance_lines"]

# A node that reports on less of a minute would pass for an idle one.
LEAST_PRESENT_S = BUCKET_S / 2
SHOWN_UPSTREAMS = 10


class Point(msgspec.Struct, frozen=True):
    """One minute of a service.

    Attributes:
        start_s: Start, UTC.
        upstreams: Upstreams that were there for at least half of the minute.
        mean: Mean load.
        max_over_mean: Load of the busiest upstream over the mean; None without load.
        p99_over_mean: The same for the 99th percentile of upstreams.
    """

    start_s: float
    upstreams: int
    mean: float
    max_over_mean: float | None
    p99_over_mean: float | None


class UpstreamLoad(msgspec.Struct, frozen=True):
    """Load of the upstream beside one node over the period."""

    node: str
    requests: float
    busy_s: float
    slots: int
    over_mean: float | None


class ServiceLoad(msgspec.Struct, frozen=True):
    """One service over the period."""

    service: str
    points: list[Point]
    upstreams: list[UpstreamLoad]


class ImbalanceReport(msgspec.Struct, frozen=True):
    """Imbalance of all services.

    Attributes:
        start_s: Start, UTC.
        end_s: End, UTC.
        measure: ``requests`` per second, or ``busy`` seconds per second.
        services: Services with an upstream.
    """

    start_s: float
    end_s: float
    measure: str
    services: list[ServiceLoad]


class Loads:
    """Load by service, minute and node."""

    def __init__(self) -> None:
        self._sums: dict[str, dict[int, dict[str, list[float]]]] = {}
        self._slots: dict[tuple[str, str], int] = {}

    def add(self, snapshot: Snapshot) -> None:
        """Adds a snapshot."""
        for service, load in snapshot.loads.items():
            buckets = self._sums.setdefault(service, {})
            self._slots[service, snapshot.node] = load.slots
            for bucket, share, seconds in overlaps(snapshot.start_s, snapshot.end_s):
                sums = buckets.setdefault(bucket, {}).setdefault(snapshot.node, [0.0, 0.0, 0.0])
                sums[0] += load.requests * share
                sums[1] += load.busy_ms / 1000 * share
                sums[2] += seconds

    def report(self, start_s: float, end_s: float, measure: str) -> ImbalanceReport:
        """Returns the imbalance in a period.

        Args:
            start_s: Start, UTC.
            end_s: End, UTC.
            measure: ``requests`` or ``busy``.
        """
        column = 0 if measure == "requests" else 1
        buckets = range(math.ceil(start_s / BUCKET_S), int(end_s // BUCKET_S))
        services = [
            ServiceLoad(
                service,
                [_point(b, self._sums[service][b], column) for b in buckets if b in sums],
                self._upstreams(service, buckets, column),
            )
            for service, sums in sorted(self._sums.items())
        ]
        return ImbalanceReport(start_s, end_s, measure, services)

    def _upstreams(self, service: str, buckets: range, column: int) -> list[UpstreamLoad]:
        totals: dict[str, list[float]] = {}
        for bucket in buckets:
            for node, sums in self._sums[service].get(bucket, {}).items():
                total = totals.setdefault(node, [0.0, 0.0, 0.0])
                for index, value in enumerate(sums):
                    total[index] += value
        rates = {node: t[column] / t[2] for node, t in totals.items() if t[2]}
        mean = sum(rates.values()) / len(rates) if rates else 0.0
        found = [
            UpstreamLoad(
                node,
                total[0],
                total[1],
                self._slots[service, node],
                rates[node] / mean if mean and node in rates else None,
            )
            for node, total in totals.items()
        ]
        return sorted(found, key=lambda upstream: (-(upstream.over_mean or 0.0), upstream.node))


def over_mean(loads: list[float]) -> tuple[float | None, float | None]:
    """Returns maximum and 99th percentile (nearest rank) over the mean, None without load."""
    mean = sum(loads) / len(loads) if loads else 0.0
    if not mean:
        return None, None
    ordered = sorted(loads)
    p99 = ordered[math.ceil(0.99 * len(ordered)) - 1]
    return ordered[-1] / mean, p99 / mean


def _point(bucket: int, nodes: dict[str, list[float]], column: int) -> Point:
    rates = [sums[column] / sums[2] for sums in nodes.values() if sums[2] >= LEAST_PRESENT_S]
    mean = sum(rates) / len(rates) if rates else 0.0
    return Point(bucket * BUCKET_S, len(rates), mean, *over_mean(rates))


def imbalance_lines(report: ImbalanceReport, time_text) -> Iterable[str]:
    """Returns the report as text.

    Args:
        report: The report.
        time_text: Formats a time.
    """
    yield (
        f"Imbalance of {report.measure} per second, {time_text(report.start_s)} to"
        f" {time_text(report.end_s)}"
    )
    for service in report.services:
        yield ""
        yield f"{service.service}, by minute"
        header = ("minute", "upstreams", "mean", "max/mean", "p99/mean")
        rows = [
            (
                time_text(point.start_s),
                point.upstreams,
                f"{point.mean:.2f}",
                _ratio(point.max_over_mean),
                _ratio(point.p99_over_mean),
            )
            for point in service.points
        ]
        yield from print_table(header, rows)
        yield f"busiest upstreams ({min(SHOWN_UPSTREAMS, len(service.upstreams))} of" f" {len(service.upstreams)})"
        rows = [
            (u.node, f"{u.requests:.0f}", f"{u.busy_s:.2f}", u.slots, _ratio(u.over_mean))
            for u in service.upstreams[:SHOWN_UPSTREAMS]
        ]
        yield from print_table(("node", "requests", "busy s", "slots", "over mean"), rows)


def _ratio(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"
