"""Measurements of nodes: exact merging, intervals of snapshots, and store outages."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from auburnsail._clock import NS_PER_S, ManualClock
from auburnsail._snapshot import (
    MAX_LATENCY_US,
    FleetView,
    Measurements,
    NodeProcess,
    count_within,
    decode_histogram,
    decode_snapshots,
    new_histogram,
)
from auburnsail._snapshot_writer import MAX_PENDING_SNAPSHOTS, SnapshotWriter
from auburnsail.exceptions import StoreUnavailableError

LATENCIES_US = st.lists(
    st.lists(st.integers(1, MAX_LATENCY_US), max_size=40), min_size=1, max_size=6
)


class InMemoryObjectStore:
    """An object store in memory that can be set to refuse writes."""

    def __init__(self) -> None:
        self.data: dict[str, bytes] = {}
        self.is_down = False

    def put(self, key: str, data: bytes) -> None:
        """Writes an object, or raises while the store is down."""
        if self.is_down:
            raise StoreUnavailableError("down", step="objects.put")
        self.data[key] = data

    def get(self, key: str) -> bytes | None:
        """Returns an object, or None."""
        return self.data.get(key)

    def keys(self, prefix: str) -> list[str]:
        """Returns the sorted keys with a prefix."""
        return sorted(key for key in self.data if key.startswith(prefix))


class SnapshotTest(unittest.TestCase):
    """Recording of requests and taking and writing of snapshots."""

    @given(LATENCIES_US)
    def test_merge_is_exact(self, parts):
        """Guards against percentiles that depend on which node or interval recorded a request."""
        whole, merged = new_histogram(), new_histogram()
        for part in parts:
            measurements = Measurements(NodeProcess("n", "r", "d"), ManualClock())
            for value in part:
                measurements.on_answer("s", -1, "", 200, value * 1000, "")
                whole.record_value(value)
            snapshot = measurements.take_snapshot(0, 60, clock_step_s=0, dropped=0, is_last=False)
            for cell in snapshot.cells.values():
                merged.add(decode_histogram(cell.latency))
        self.assertEqual(merged.get_total_count(), whole.get_total_count())
        for percentile in (0, 1, 50, 90, 99, 99.9, 100):
            self.assertEqual(
                merged.get_value_at_percentile(percentile),
                whole.get_value_at_percentile(percentile),
            )
        for bound_us in (1, 20_000, 1_000_000, MAX_LATENCY_US):
            self.assertEqual(count_within(merged, bound_us), count_within(whole, bound_us))

    def test_outage_drops_only_the_oldest_snapshots(self):
        """Guards against memory use that grows during an outage and against duplicate snapshots."""
        clock, objects = ManualClock(), InMemoryObjectStore()
        measurements = Measurements(NodeProcess("n", "r", "d", "run"), clock)
        writer = SnapshotWriter(
            measurements,
            objects,
            lambda: FleetView(1, {"r/d": 2}),
            lambda: 60,
            clock,
            wall_clock_s=lambda: 30 + clock.now_ns() / NS_PER_S,
            rng=random.Random(1),
        )
        objects.is_down = True
        for _ in range(MAX_PENDING_SNAPSHOTS + 5):
            clock.advance_ms(60_000)
            measurements.on_answer("s", -1, "", 200, 1_000_000, "")
            writer.tick(clock.now_ns())
            writer.write()
        self.assertEqual((writer.pending, writer.dropped), (MAX_PENDING_SNAPSHOTS, 5))
        objects.is_down = False
        writer.write()
        writer.write()
        found = [snapshot for data in objects.data.values() for snapshot in decode_snapshots(data)]
        self.assertEqual(
            [snapshot.number for snapshot in found], list(range(5, MAX_PENDING_SNAPSHOTS + 5))
        )
        self.assertEqual({snapshot.cells["s"].endings["served"] for snapshot in found}, {1})
        self.assertEqual({snapshot.seconds for snapshot in found}, {60.0})
        self.assertEqual({snapshot.node_seconds["r/d"] for snapshot in found}, {120.0})

    def test_late_tick_does_not_change_node_seconds(self):
        """Guards against node-seconds beyond the interval when a timer tick comes after its end."""
        clock, objects = ManualClock(), InMemoryObjectStore()
        measurements = Measurements(NodeProcess("n", "r", "d", "run"), clock)
        writer = SnapshotWriter(
            measurements,
            objects,
            lambda: FleetView(1, {"r/d": 3}),
            lambda: 5,
            clock,
            wall_clock_s=lambda: clock.now_ns() / NS_PER_S,
        )
        for _ in range(50):
            clock.advance_ms(270)
            writer.tick(clock.now_ns())
        writer.write()
        found = [snapshot for data in objects.data.values() for snapshot in decode_snapshots(data)]
        self.assertEqual([snapshot.end_s for snapshot in found], [5.0, 10.0])
        for snapshot in found:
            self.assertAlmostEqual(snapshot.node_seconds["r/d"], 15.0)

    def test_shard_without_owner_counts_once_per_second(self):
        """Guards against unavailable time that grows with the number of refused requests."""
        clock = ManualClock()
        measurements = Measurements(NodeProcess("n", "r", "d"), clock)
        for _ in range(2):
            for shard in (1, 2, 1):
                measurements.on_answer("s", shard, "not-run", 0, 0, "no-owner")
            for reason in ("upstream-shed", "queue-full", "isolated"):
                measurements.on_answer("s", 3, "not-run", 0, 0, reason)
            clock.advance_ms(1000)
        cell = measurements.take_snapshot(0, 60, clock_step_s=0, dropped=0, is_last=False).cells[
            "s"
        ]
        self.assertEqual(cell.refused_shard_s, 4)
        self.assertEqual(cell.endings, {"not-run": 12})
        self.assertEqual(cell.reasons["not-run/no-owner"], 6)
        self.assertEqual(cell.reasons["not-run/upstream-shed"], 2)


if __name__ == "__main__":
    unittest.main()
