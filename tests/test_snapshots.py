"""Measurements of nodes: exact merging, cuts, and what a store outage leaves."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from auburnsail._clock import NS_PER_S, ManualClock
from auburnsail._snapshot import (
    HIGHEST_US,
    Measurements,
    Place,
    View,
    count_within,
    decode_histogram,
    decode_snapshots,
    new_histogram,
)
from auburnsail._snapshot_writer import MAX_KEPT, SnapshotWriter
from auburnsail.exceptions import StoreUnavailableError

LATENCIES_US = st.lists(st.lists(st.integers(1, HIGHEST_US), max_size=40), min_size=1, max_size=6)


class MemoryObjects:
    """An object store that can be down."""

    def __init__(self) -> None:
        self.data: dict[str, bytes] = {}
        self.is_down = False

    def put(self, key: str, data: bytes) -> None:
        """Writes an object, or refuses to."""
        if self.is_down:
            raise StoreUnavailableError("down", step="objects.put")
        self.data[key] = data

    def get(self, key: str) -> bytes | None:
        """Returns an object."""
        return self.data.get(key)

    def keys(self, prefix: str) -> list[str]:
        """Returns keys in order."""
        return sorted(key for key in self.data if key.startswith(prefix))


class SnapshotTest(unittest.TestCase):
    """Recording, cutting and writing."""

    @given(LATENCIES_US)
    def test_merge_is_exact(self, parts):
        """Guards against percentiles that depend on which node or minute saw a request."""
        whole, merged = new_histogram(), new_histogram()
        for part in parts:
            measurements = Measurements(Place("n", "r", "d"), ManualClock())
            for value in part:
                measurements.on_answer("s", -1, "", 200, value * 1000, "")
                whole.record_value(value)
            snapshot = measurements.cut(0, 60, step_s=0, dropped=0, is_last=False)
            for cell in snapshot.cells.values():
                merged.add(decode_histogram(cell.latency))
        self.assertEqual(merged.get_total_count(), whole.get_total_count())
        for percentile in (0, 1, 50, 90, 99, 99.9, 100):
            self.assertEqual(
                merged.get_value_at_percentile(percentile),
                whole.get_value_at_percentile(percentile),
            )
        for bound_us in (1, 20_000, 1_000_000, HIGHEST_US):
            self.assertEqual(count_within(merged, bound_us), count_within(whole, bound_us))

    def test_outage_keeps_a_bounded_number_and_loses_no_other(self):
        """Guards against memory that grows with an outage and against counting one cut twice."""
        clock, objects = ManualClock(), MemoryObjects()
        measurements = Measurements(Place("n", "r", "d", "run"), clock)
        writer = SnapshotWriter(
            measurements,
            objects,
            lambda: View(1, {"r/d": 2}),
            lambda: 60,
            clock,
            wall_s=lambda: 30 + clock.now_ns() / NS_PER_S,
            rng=random.Random(1),
        )
        objects.is_down = True
        for _ in range(MAX_KEPT + 5):
            clock.advance_ms(60_000)
            measurements.on_answer("s", -1, "", 200, 1_000_000, "")
            writer.tick(clock.now_ns())
            writer.write()
        self.assertEqual((writer.kept, writer.dropped), (MAX_KEPT, 5))
        objects.is_down = False
        writer.write()
        writer.write()
        found = [s for data in objects.data.values() for s in decode_snapshots(data)]
        self.assertEqual([s.number for s in found], list(range(5, MAX_KEPT + 5)))
        self.assertEqual({s.cells["s"].endings["served"] for s in found}, {1})
        self.assertEqual({s.seconds for s in found}, {60.0})
        self.assertEqual({s.node_seconds["r/d"] for s in found}, {120.0})

    def test_late_tick_is_no_gap(self):
        """Guards against nodes expected for longer than the interval that was cut."""
        clock, objects = ManualClock(), MemoryObjects()
        measurements = Measurements(Place("n", "r", "d", "run"), clock)
        writer = SnapshotWriter(
            measurements,
            objects,
            lambda: View(1, {"r/d": 3}),
            lambda: 5,
            clock,
            wall_s=lambda: clock.now_ns() / NS_PER_S,
        )
        for _ in range(50):
            clock.advance_ms(270)
            writer.tick(clock.now_ns())
        writer.write()
        found = [s for data in objects.data.values() for s in decode_snapshots(data)]
        self.assertEqual([s.end_s for s in found], [5.0, 10.0])
        for snapshot in found:
            self.assertAlmostEqual(snapshot.node_seconds["r/d"], 15.0)

    def test_shard_without_owner_counts_once_per_second(self):
        """Guards against unavailable time that grows with the rate of refused requests."""
        clock = ManualClock()
        measurements = Measurements(Place("n", "r", "d"), clock)
        for _ in range(2):
            for shard in (1, 2, 1):
                measurements.on_answer("s", shard, "not-run", 0, 0, "no-owner")
            for reason in ("upstream-shed", "queue-full", "isolated"):
                measurements.on_answer("s", 3, "not-run", 0, 0, reason)
            clock.advance_ms(1000)
        cell = measurements.cut(0, 60, step_s=0, dropped=0, is_last=False).cells["s"]
        self.assertEqual(cell.refused_shard_s, 4)
        self.assertEqual(cell.endings, {"not-run": 12})
        self.assertEqual(cell.reasons["not-run/no-owner"], 6)
        self.assertEqual(cell.reasons["not-run/upstream-shed"], 2)


if __name__ == "__main__":
    unittest.main()
