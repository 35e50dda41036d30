"""Reads snapshots from the object store, sums them by minute and measures what is missing."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import gevent.pool
import msgspec

from ._burn import RequestCounts
from ._snapshot import (
    ServiceMetrics,
    Snapshot,
    count_within,
    decode_histogram,
    decode_snapshots,
    hour_prefix,
    new_histogram,
)
from ._store import ObjectStore
from ._store_retry import RetrySchedule, until_definite

__all__ = [
    "BUCKET_S",
    "Group",
    "MinuteSeries",
    "ReadStatistics",
    "read_snapshots",
    "split_by_bucket",
]

BUCKET_S = 60
# Tolerance per bucket and place: floating-point shares may add up to just under a full bucket.
ROUNDING_S = 1e-6
HOUR_S = 3600
MAX_CONCURRENT_READS = 32
# All nodes have the same view of the fleet, so a few views suffice to determine how many nodes
# should have reported; the limit bounds memory.
MAX_VIEWS_PER_BUCKET = 64
GOOD_ENDINGS = ("served", "caller-error")
BAD_ENDINGS = ("server-error", "not-run", "unknown")

# Service, region and failure domain.
Group = tuple[str, str, str]
# Region and failure domain.
Place = tuple[str, str]


@dataclass(slots=True)
class ReadStatistics:
    """Statistics of reading snapshots from the object store.

    Attributes:
        objects: Objects read.
        snapshots: Distinct snapshots in the period.
        unreadable: Objects that could not be decoded.
        duplicates: Further copies of snapshots, from repeated writes.
        dropped: Snapshots that nodes discarded unwritten, by ``<node>.<run>``.
        largest_clock_step_s: Step of a node's wall clock during one snapshot, with the largest
            absolute value.
    """

    objects: int = 0
    snapshots: int = 0
    unreadable: int = 0
    duplicates: int = 0
    dropped: dict[str, int] = field(default_factory=dict)
    largest_clock_step_s: float = 0.0


def read_snapshots(
    objects: ObjectStore,
    start_s: float,
    end_s: float,
    retries: RetrySchedule,
    statistics: ReadStatistics,
) -> Iterator[Snapshot]:
    """Yields each snapshot that overlaps a period, without duplicates.

    An object that cannot be decoded is counted and its snapshots are missing from the result.

    Args:
        objects: The object store.
        start_s: Start of the period in seconds since 1970, UTC.
        end_s: End of the period in seconds since 1970, UTC.
        retries: Limits the retries of reads.
        statistics: Updated with what was read.

    Raises:
        StoreUnavailableError: The store did not answer within the time budget of the retries.
    """
    pool = gevent.pool.Pool(MAX_CONCURRENT_READS)
    seen: set[tuple[str, str, int]] = set()
    hour_s = start_s - start_s % HOUR_S - HOUR_S
    while hour_s < end_s:
        prefix = hour_prefix(hour_s)
        keys = until_definite(lambda prefix=prefix: objects.keys(prefix), retries)
        for data in pool.imap(lambda key: until_definite(lambda: objects.get(key), retries), keys):
            statistics.objects += 1
            try:
                snapshots = decode_snapshots(data or b"")
            except msgspec.DecodeError:
                statistics.unreadable += 1
                continue
            for snapshot in snapshots:
                snapshot_id = (snapshot.node, snapshot.run, snapshot.number)
                if snapshot_id in seen:
                    statistics.duplicates += 1
                elif snapshot.end_s >= start_s and snapshot.start_s < end_s:
                    _count_snapshot(statistics, snapshot)
                    yield snapshot
                seen.add(snapshot_id)
        hour_s += HOUR_S


def _count_snapshot(statistics: ReadStatistics, snapshot: Snapshot) -> None:
    statistics.snapshots += 1
    if snapshot.dropped:
        node_run = f"{snapshot.node}.{snapshot.run}"
        statistics.dropped[node_run] = max(snapshot.dropped, statistics.dropped.get(node_run, 0))
    if abs(snapshot.clock_step_s) > abs(statistics.largest_clock_step_s):
        statistics.largest_clock_step_s = snapshot.clock_step_s


def split_by_bucket(start_s: float, end_s: float) -> Iterator[tuple[int, float, float]]:
    """Splits an interval at the bounds of the one-minute buckets.

    Yields:
        The bucket, the share of the interval that lies in it, and the length of that part in
        seconds. An interval without length yields its bucket with share 1 and 0 seconds.
    """
    if end_s <= start_s:
        yield int(start_s // BUCKET_S), 1.0, 0.0
        return
    length_s = end_s - start_s
    bucket = int(start_s // BUCKET_S)
    while bucket * BUCKET_S < end_s:
        overlap_start_s = max(start_s, bucket * BUCKET_S)
        seconds = min(end_s, (bucket + 1) * BUCKET_S) - overlap_start_s
        yield bucket, seconds / length_s, seconds
        bucket += 1


@dataclass(slots=True)
class MinuteCounts:
    """Requests of one group in one bucket.

    Attributes:
        valid: Requests that count towards the availability objective.
        bad: Valid requests that were not served.
        answered: Requests with a measured latency.
        slow: Answered requests slower than the latency bound.
    """

    valid: float = 0.0
    bad: float = 0.0
    answered: float = 0.0
    slow: float = 0.0


class MinuteSeries:
    """Sums snapshots by service and failure domain in buckets of one minute.

    Args:
        latency_bound_us: Returns the latency bound of a service in microseconds, or None if the
            settings do not contain the service.

    Attributes:
        counts_by_minute: Requests by group and bucket.
        covered_seconds: Node-seconds for which snapshots exist, by place and bucket.
        endings: Number of requests by group and by how they ended.
        reasons: Number of refusals by group and reason.
        latency_histograms: Latencies in microseconds by group.
        unavailable: Shard-seconds with refused requests, and shard-seconds without an owner, by
            service and bucket.
    """

    def __init__(self, latency_bound_us: Callable[[str], int | None]) -> None:
        self._latency_bound_us = latency_bound_us
        self._views: dict[int, dict[tuple[str, str], dict[str, float]]] = {}
        self._expected_by_bucket: dict[int, dict[Place, float]] | None = None
        self.counts_by_minute: dict[Group, dict[int, MinuteCounts]] = {}
        self.covered_seconds: dict[Place, dict[int, float]] = {}
        self.endings: dict[Group, dict[str, float]] = {}
        self.reasons: dict[Group, dict[str, int]] = {}
        self.latency_histograms: dict[Group, object] = {}
        self.unavailable: dict[str, dict[int, tuple[float, float]]] = {}

    def add(self, snapshot: Snapshot) -> None:
        """Adds the measurements of a snapshot."""
        self._expected_by_bucket = None
        place = (snapshot.region, snapshot.domain)
        covered_seconds = self.covered_seconds.setdefault(place, {})
        reporter = (snapshot.node, snapshot.run)
        for bucket, share, seconds in split_by_bucket(snapshot.start_s, snapshot.end_s):
            covered_seconds[bucket] = covered_seconds.get(bucket, 0.0) + seconds
            views = self._views.setdefault(bucket, {})
            if reporter in views or len(views) < MAX_VIEWS_PER_BUCKET:
                view = views.setdefault(reporter, {})
                for name, node_seconds in snapshot.node_seconds.items():
                    view[name] = view.get(name, 0.0) + node_seconds * share
        for service, metrics in snapshot.cells.items():
            latency_bound_us = self._latency_bound_us(service)
            if latency_bound_us is not None:
                self._add_metrics((service, *place), snapshot, metrics, latency_bound_us)

    def expected_node_seconds(self, bucket: int) -> dict[Place, float]:
        """Returns the node-seconds by place for which a bucket should have snapshots.

        For a bucket without any snapshot it returns those of the nearest earlier bucket with
        one, so that an outage of the object store counts as missing data and not as idle time.
        """
        if self._expected_by_bucket is None:
            self._expected_by_bucket = {
                observed_bucket: _max_node_seconds(views)
                for observed_bucket, views in self._views.items()
            }
        expected = self._expected_by_bucket
        if bucket not in expected and expected:
            first_bucket = min(self._views)
            earlier = bucket - 1
            while earlier > first_bucket and earlier not in expected:
                earlier -= 1
            expected[bucket] = expected[max(earlier, first_bucket)]
        return expected.get(bucket, {})

    def coverage(self, places: Iterable[Place], buckets: range) -> float | None:
        """Returns the share of the expected node-seconds that snapshots cover.

        Returns:
            A share from 0 to 1; None if no node was expected to report; 0 if the series has no
            snapshot at all.
        """
        places = list(places)
        if not self._views:
            # Without any snapshot the number of expected nodes is unknown.
            return 0.0
        expected_s = covered_s = 0.0
        for bucket in buckets:
            expected = self.expected_node_seconds(bucket)
            for place in places:
                place_expected_s = expected.get(place, 0.0)
                expected_s += place_expected_s
                covered_s += min(
                    place_expected_s, self.covered_seconds.get(place, {}).get(bucket, 0.0)
                )
        if not expected_s:
            return None
        is_complete = expected_s - covered_s < ROUNDING_S * len(buckets) * len(places)
        return 1.0 if is_complete else covered_s / expected_s

    def request_counts(
        self, groups: Iterable[Group], buckets: range
    ) -> tuple[RequestCounts, RequestCounts]:
        """Returns the counts for availability and for latency of some groups in some buckets."""
        availability, latency = RequestCounts(), RequestCounts()
        for group in groups:
            minutes = self.counts_by_minute.get(group, {})
            for bucket in buckets:
                minute = minutes.get(bucket)
                if minute is not None:
                    availability.valid += minute.valid
                    availability.bad += minute.bad
                    latency.valid += minute.answered
                    latency.bad += minute.slow
        return availability, latency

    def _add_metrics(
        self, group: Group, snapshot: Snapshot, metrics: ServiceMetrics, latency_bound_us: int
    ) -> None:
        answered = slow = 0
        if metrics.latency:
            histogram = decode_histogram(metrics.latency)
            answered = histogram.get_total_count()
            slow = answered - count_within(histogram, latency_bound_us)
            self.latency_histograms.setdefault(group, new_histogram()).add(histogram)
        bad = sum(metrics.endings.get(name, 0) for name in BAD_ENDINGS)
        valid = bad + sum(metrics.endings.get(name, 0) for name in GOOD_ENDINGS)
        minutes = self.counts_by_minute.setdefault(group, {})
        unavailable = self.unavailable.setdefault(group[0], {})
        for bucket, share, _ in split_by_bucket(snapshot.start_s, snapshot.end_s):
            minute = minutes.setdefault(bucket, MinuteCounts())
            minute.valid += valid * share
            minute.bad += bad * share
            minute.answered += answered * share
            minute.slow += slow * share
            # All nodes observe the same shards, so the maximum over the nodes is the estimate; a
            # sum would count each shard several times.
            refused, unowned = unavailable.get(bucket, (0.0, 0.0))
            unavailable[bucket] = (
                max(refused, metrics.refused_shard_s * share),
                max(unowned, metrics.unowned_shard_s * share),
            )
        _add_counts(self.endings.setdefault(group, {}), metrics.endings)
        _add_counts(self.reasons.setdefault(group, {}), metrics.reasons)


def _max_node_seconds(views: dict[tuple[str, str], dict[str, float]]) -> dict[Place, float]:
    """Returns the maximum over all views of the node-seconds by place.

    The view of a node that reports on only a part of the bucket is too low.
    """
    maximum: dict[Place, float] = {}
    for view in views.values():
        for name, node_seconds in view.items():
            region, _, domain = name.partition("/")
            place = (region, domain)
            maximum[place] = max(maximum.get(place, 0.0), node_seconds)
    return maximum


def _add_counts(totals: dict[str, int], counts: dict[str, int]) -> None:
    for name, count in counts.items():
        totals[name] = totals.get(name, 0) + count
