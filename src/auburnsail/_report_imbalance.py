"""Imbalance: compares the load of each upstream with the mean of its service over time."""

import math
from collections.abc import Iterable

import msgspec

from ._cli_common import table_lines
from ._report_series import BUCKET_S, split_by_bucket
from ._snapshot import Snapshot

__all__ = ["ImbalanceReport", "UpstreamLoads", "imbalance_lines"]

# With snapshots for less of a minute, a node could look idle although it is not.
MIN_COVERED_S = BUCKET_S / 2
MAX_SHOWN_UPSTREAMS = 10


class ImbalancePoint(msgspec.Struct, frozen=True):
    """Imbalance of a service in one minute.

    Attributes:
        start_s: Start of the minute in seconds since 1970, UTC.
        upstreams: Number of upstreams with snapshots for at least half of the minute.
        mean: Mean load of these upstreams per second.
        max_over_mean: Load of the busiest upstream divided by the mean; None without load.
        p99_over_mean: 99th percentile of the loads divided by the mean; None without load.
    """

    start_s: float
    upstreams: int
    mean: float
    max_over_mean: float | None
    p99_over_mean: float | None


class UpstreamLoad(msgspec.Struct, frozen=True):
    """Load of one node's upstream over the period.

    Attributes:
        node: Name of the node.
        requests: Number of requests.
        busy_s: Sum of the durations of the requests in seconds.
        slots: Slots of the upstream.
        over_mean: Load divided by the mean of the service; None without load.
    """

    node: str
    requests: float
    busy_s: float
    slots: int
    over_mean: float | None


class ServiceLoad(msgspec.Struct, frozen=True):
    """Imbalance of one service over the period.

    Attributes:
        service: Name of the service.
        points: Imbalance by minute.
        upstreams: Load by upstream, highest first.
    """

    service: str
    points: list[ImbalancePoint]
    upstreams: list[UpstreamLoad]


class ImbalanceReport(msgspec.Struct, frozen=True):
    """Imbalance of all services.

    Attributes:
        start_s: Start of the period in seconds since 1970, UTC.
        end_s: End of the period in seconds since 1970, UTC.
        measure: ``requests`` per second, or ``busy`` seconds per second.
        services: Services with an upstream.
    """

    start_s: float
    end_s: float
    measure: str
    services: list[ServiceLoad]


class UpstreamLoads:
    """Sums the load of upstreams by service, minute and node."""

    def __init__(self) -> None:
        # By service, bucket and node: requests, busy seconds and seconds covered by snapshots.
        self._totals: dict[str, dict[int, dict[str, list[float]]]] = {}
        self._slots: dict[tuple[str, str], int] = {}

    def add(self, snapshot: Snapshot) -> None:
        """Adds the loads in a snapshot."""
        for service, load in snapshot.loads.items():
            buckets = self._totals.setdefault(service, {})
            self._slots[service, snapshot.node] = load.slots
            for bucket, share, seconds in split_by_bucket(snapshot.start_s, snapshot.end_s):
                totals = buckets.setdefault(bucket, {}).setdefault(snapshot.node, [0.0, 0.0, 0.0])
                totals[0] += load.requests * share
                totals[1] += load.busy_ms / 1000 * share
                totals[2] += seconds

    def report(self, start_s: float, end_s: float, measure: str) -> ImbalanceReport:
        """Returns the imbalance in a period.

        Args:
            start_s: Start of the period in seconds since 1970, UTC.
            end_s: End of the period in seconds since 1970, UTC.
            measure: ``requests`` or ``busy``.
        """
        measure_index = 0 if measure == "requests" else 1
        buckets = range(math.ceil(start_s / BUCKET_S), int(end_s // BUCKET_S))
        services = [
            ServiceLoad(
                service,
                [
                    _imbalance_point(bucket, self._totals[service][bucket], measure_index)
                    for bucket in buckets
                    if bucket in totals
                ],
                self._upstreams(service, buckets, measure_index),
            )
            for service, totals in sorted(self._totals.items())
        ]
        return ImbalanceReport(start_s, end_s, measure, services)

    def _upstreams(self, service: str, buckets: range, measure_index: int) -> list[UpstreamLoad]:
        totals: dict[str, list[float]] = {}
        for bucket in buckets:
            for node, node_totals in self._totals[service].get(bucket, {}).items():
                total = totals.setdefault(node, [0.0, 0.0, 0.0])
                for index, value in enumerate(node_totals):
                    total[index] += value
        rates = {
            node: total[measure_index] / total[2] for node, total in totals.items() if total[2]
        }
        mean = sum(rates.values()) / len(rates) if rates else 0.0
        upstreams = [
            UpstreamLoad(
                node,
                total[0],
                total[1],
                self._slots[service, node],
                rates[node] / mean if mean and node in rates else None,
            )
            for node, total in totals.items()
        ]
        return sorted(upstreams, key=lambda upstream: (-(upstream.over_mean or 0.0), upstream.node))


def imbalance_ratios(loads: list[float]) -> tuple[float | None, float | None]:
    """Returns the maximum and the 99th percentile (nearest rank), each divided by the mean.

    Both are None if the mean is 0.
    """
    mean = sum(loads) / len(loads) if loads else 0.0
    if not mean:
        return None, None
    ordered = sorted(loads)
    p99 = ordered[math.ceil(0.99 * len(ordered)) - 1]
    return ordered[-1] / mean, p99 / mean


def _imbalance_point(
    bucket: int, nodes: dict[str, list[float]], measure_index: int
) -> ImbalancePoint:
    rates = [
        totals[measure_index] / totals[2] for totals in nodes.values() if totals[2] >= MIN_COVERED_S
    ]
    mean = sum(rates) / len(rates) if rates else 0.0
    return ImbalancePoint(bucket * BUCKET_S, len(rates), mean, *imbalance_ratios(rates))


def imbalance_lines(report: ImbalanceReport, format_time) -> Iterable[str]:
    """Returns the report as lines of text.

    Args:
        report: The report.
        format_time: Formats seconds since 1970.
    """
    yield (
        f"Imbalance of {report.measure} per second, {format_time(report.start_s)} to"
        f" {format_time(report.end_s)}"
    )
    for service in report.services:
        yield ""
        yield f"{service.service}, by minute"
        header = ("minute", "upstreams", "mean", "max/mean", "p99/mean")
        rows = [
            (
                format_time(point.start_s),
                point.upstreams,
                f"{point.mean:.2f}",
                _format_ratio(point.max_over_mean),
                _format_ratio(point.p99_over_mean),
            )
            for point in service.points
        ]
        yield from table_lines(header, rows)
        yield (
            f"busiest upstreams ({min(MAX_SHOWN_UPSTREAMS, len(service.upstreams))} of"
            f" {len(service.upstreams)})"
        )
        rows = [
            (
                upstream.node,
                f"{upstream.requests:.0f}",
                f"{upstream.busy_s:.2f}",
                upstream.slots,
                _format_ratio(upstream.over_mean),
            )
            for upstream in service.upstreams[:MAX_SHOWN_UPSTREAMS]
        ]
        yield from table_lines(("node", "requests", "busy s", "slots", "over mean"), rows)


def _format_ratio(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"
