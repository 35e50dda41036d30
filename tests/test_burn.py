"""Burn rates, missing snapshots, and which requests spend the error budget."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from auburnsail._burn import ALERT_RULES, RequestCounts, alert_state, make_window
from auburnsail._clock import ManualClock
from auburnsail._report_burn import DAY_S, Period, burn_report
from auburnsail._report_imbalance import imbalance_ratios
from auburnsail._report_series import MinuteSeries, ReadStatistics, read_snapshots
from auburnsail._snapshot import (
    FleetView,
    Measurements,
    NodeProcess,
    encode_snapshots,
    snapshot_key,
)
from auburnsail._store_retry import RetrySchedule
from auburnsail._tree import parse_tree
from tests.test_snapshots import InMemoryObjectStore

# A multiple of a day, so that all windows start on the hour.
NOW_S = 20_000 * DAY_S
TREE = parse_tree('{"services": {"s": {"objective": {"availability_percent": 99}}}}', "test")


def snapshot_of(number, endings, *, node="n", nodes=1, start_s=NOW_S - 3600):
    """Returns a one-minute snapshot of a node.

    Args:
        number: Number of the snapshot, which also determines its start.
        endings: Number of requests by outcome of a refusal or by HTTP status of an answer.
        node: Name of the node.
        nodes: Number of nodes in the failure domain that the node knows of.
        start_s: Start of the snapshot with number 0.
    """
    measurements = Measurements(NodeProcess(node, "r", "d", "run"), ManualClock())
    measurements._snapshot_number = number
    measurements.sample(FleetView(open_sessions={"r/d": nodes}), 60.0)
    for ending, count in endings.items():
        for _ in range(count):
            outcome = "" if ending.isdecimal() else ending
            status = int(ending) if ending.isdecimal() else 0
            measurements.on_answer("s", -1, outcome, status, 1_000_000, "")
    start_s += 60 * number
    return measurements.take_snapshot(
        start_s, start_s + 60, clock_step_s=0, dropped=0, is_last=False
    )


def row_of(snapshots):
    """Returns the row of the burn report for the service in all regions."""
    series = MinuteSeries(lambda service: 20_000)
    for snapshot in snapshots:
        series.add(snapshot)
    period = Period(NOW_S - 3600, NOW_S)
    return burn_report(series, ReadStatistics(), TREE, 1, period).rows[0]


class BurnTest(unittest.TestCase):
    """Burn rates of windows, alerts and error budgets."""

    def test_alert_fires_exactly_at_its_threshold(self):
        """Guards against alerts that fire below the threshold or because of a single window."""
        for rule in ALERT_RULES:
            at, below = (
                make_window(rule.long_s, RequestCounts(100_000, bad), 1.0, 99.0)
                for bad in (rule.threshold * 1000 + 0.01, rule.threshold * 1000 - 0.01)
            )
            self.assertAlmostEqual(at.burn, rule.threshold, places=4)
            self.assertEqual(alert_state(at, at, rule.threshold), "firing")
            self.assertEqual(alert_state(at, below, rule.threshold), "ok")
            self.assertEqual(alert_state(below, at, rule.threshold), "ok")

    @given(st.integers(1, 10_000), st.integers(0, 100), st.floats(0.01, 1.0))
    def test_gaps_never_lower_the_burn(self, valid, bad_percent, coverage):
        """Guards against missing snapshots that lower the burn rate and so hide an outage."""
        bad = valid * bad_percent // 100
        complete = make_window(3600, RequestCounts(valid, bad), 1.0, 99.9)
        partial = make_window(3600, RequestCounts(valid, bad), coverage, 99.9)
        self.assertEqual(partial.burn, complete.burn)
        self.assertGreaterEqual(partial.worst, complete.burn * (1 - 1e-9))

    def test_no_snapshots_means_no_data(self):
        """Guards against a fleet that appears healthy because it cannot write snapshots."""
        row = row_of([])
        self.assertIsNone(row.availability.budget_left)
        self.assertEqual({alert.state for alert in row.availability.alerts}, {"no data"})

    def test_gap_at_the_end_is_not_counted_as_good(self):
        """Guards against missing snapshots at the end that count as minutes without requests."""
        row = row_of([snapshot_of(number, {"200": 10}) for number in range(30)])
        by_length = {window.seconds: window for window in row.availability.windows}
        self.assertEqual(by_length[3600].coverage, 0.5)
        self.assertEqual(by_length[3600].burn, 0.0)
        self.assertAlmostEqual(by_length[3600].worst, 50.0)
        self.assertIsNone(by_length[300].burn)
        self.assertEqual(row.availability.alerts[0].state, "no data")

    def test_node_without_snapshots_lowers_coverage(self):
        """Guards against coverage of reporting nodes only, which would hide failed nodes."""
        row = row_of([snapshot_of(number, {"200": 10}, nodes=4) for number in range(60)])
        self.assertEqual(row.availability.budget.coverage, 0.25)
        self.assertEqual(row.availability.alerts[0].state, "possible")

    def test_caller_errors_spend_no_budget(self):
        """Guards against caller errors, refusals and cancellations that spend the error budget."""
        unspent_endings = {"200": 80, "404": 10, "refused": 500, "cancelled": 100}
        row = row_of([snapshot_of(number, unspent_endings) for number in range(60)])
        self.assertEqual(row.availability.budget.valid, 60 * 90)
        self.assertEqual(row.availability.budget_left, 1.0)
        for ending in ("not-run", "unknown", "503", "429"):
            row = row_of([snapshot_of(number, {"200": 99, ending: 1}) for number in range(60)])
            self.assertAlmostEqual(row.availability.budget.burn, 1.0)

    def test_snapshots_of_a_repeated_write_count_once(self):
        """Guards against requests that count twice because a node repeats an unanswered write."""
        objects = InMemoryObjectStore()
        snapshots = [snapshot_of(number, {"200": 1}) for number in range(3)]
        for batch in (snapshots[:1], snapshots[:2], snapshots):
            objects.put(snapshot_key(batch), encode_snapshots(batch))
        objects.put(snapshot_key(snapshots) + "x", b"\xc1cut off")
        statistics = ReadStatistics()
        snapshots_read = list(
            read_snapshots(objects, NOW_S - 3600, NOW_S, RetrySchedule(0), statistics)
        )
        self.assertEqual([s.number for s in snapshots_read], [0, 1, 2])
        self.assertEqual((statistics.duplicates, statistics.unreadable), (3, 1))

    def test_imbalance_is_relative_to_the_mean(self):
        """Guards against imbalance that ignores idle upstreams, and against division by zero."""
        self.assertEqual(imbalance_ratios([0.0, 0.0]), (None, None))
        self.assertEqual(imbalance_ratios([0.0, 2.0]), (2.0, 2.0))
        self.assertEqual(imbalance_ratios([1.0] * 99 + [101.0]), (50.5, 0.5))


if __name__ == "__main__":
    unittest.main()
