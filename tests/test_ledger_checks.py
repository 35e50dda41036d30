"""Tests of the ledger checks: each must report a violation in constructed records."""

import unittest

from auburnsail._load_report import RequestRecord
from standins.ledger import CANCELLED, COMPLETED, RUNNING, Execution
from tools import ledger_checks as checks

NS_PER_MS = 1_000_000


def shard_execution(
    upstream, epoch, start_ms, end_ms, expires_ms=10_000, outcome=COMPLETED, request_id="r"
):
    """Returns an execution on shard 7 with a grant for it."""
    grant = f"s;7;{epoch};{expires_ms * NS_PER_MS}"
    times = (start_ms * NS_PER_MS, end_ms * NS_PER_MS)
    return Execution(1, upstream, request_id, "POST", "/s/k", grant, *times, outcome)


def record(outcome, request_id="r", target="n", finished_ms=0):
    """Returns a record of a non-repeatable request."""
    return RequestRecord(
        request_id, "POST", "/s/k", "k", False, 0, 0, finished_ms * NS_PER_MS, target, 0, outcome
    )


def by_shard(*executions, killed_ms=None):
    """Groups executions by shard, as the ownership checks require."""
    killed_ns = {name: value * NS_PER_MS for name, value in (killed_ms or {}).items()}
    return checks.granted_executions(executions, killed_ns)


class OwnershipCheckTest(unittest.TestCase):
    """Checks that each shard has one owner at a time."""

    def test_reports_each_kind_of_double_ownership(self):
        """Guards against a check that cannot fail, which would pass every run."""
        cases = [
            ("overlapping", (shard_execution("a", 1, 0, 20), shard_execution("b", 2, 10, 30))),
            ("one epoch twice", (shard_execution("a", 1, 0, 5), shard_execution("b", 1, 10, 15))),
            ("old after new", (shard_execution("b", 2, 0, 5), shard_execution("a", 1, 10, 15))),
            (
                "unfinished",
                (shard_execution("a", 1, 0, 0, outcome=RUNNING), shard_execution("b", 2, 10, 15)),
            ),
            (
                "long before",
                (
                    shard_execution("a", 1, 0, 50),
                    shard_execution("a", 1, 5, 6),
                    shard_execution("b", 2, 20, 30),
                ),
            ),
        ]
        for name, executions in cases:
            with self.subTest(name):
                self.assertEqual(len(checks.double_ownership(by_shard(*executions))), 1)

    def test_accepts_handovers_and_fenced_executions(self):
        """Guards against false alarms on planned moves, killed upstreams and fenced executions."""
        late = shard_execution("a", 1, 0, 90, expires_ms=10, outcome=CANCELLED)
        for executions, killed_ms in (
            ((shard_execution("a", 1, 0, 20), shard_execution("b", 2, 20, 30)), {}),
            (
                (shard_execution("a", 1, 0, 0, outcome=RUNNING), shard_execution("b", 2, 20, 30)),
                {"a": 15},
            ),
            ((late, shard_execution("b", 2, 20, 30)), {}),
        ):
            self.assertEqual(
                checks.double_ownership(by_shard(*executions, killed_ms=killed_ms)), []
            )

    def test_reports_executions_after_expiry_and_early_successors(self):
        """Guards against checks that miss executions after the expiry of their grant.

        They must also report a successor that executes requests before the lost owner's grant
        expired.
        """
        self.assertEqual(
            len(
                checks.started_after_expiry(
                    by_shard(shard_execution("a", 1, 10, 20, expires_ms=10))
                )
            ),
            1,
        )
        lost = by_shard(
            shard_execution("a", 1, 0, 5, expires_ms=600), shard_execution("b", 2, 500, 510)
        )
        self.assertEqual(len(checks.early_successors(lost, {"a"})), 1)
        self.assertEqual(checks.early_successors(lost, {"c"}), [])

    def test_measures_the_time_until_a_shard_is_served_again(self):
        """Guards against recovery times that omit shards which were never served again."""
        found = by_shard(shard_execution("a", 1, 0, 5), shard_execution("b", 2, 700, 710))
        self.assertEqual(checks.recovery_times_s(found, "a", 10 * NS_PER_MS), [0.7])
        self.assertEqual(
            checks.recovery_times_s(by_shard(shard_execution("a", 1, 0, 5)), "a", 10 * NS_PER_MS),
            [float("inf")],
        )


class RequestCheckTest(unittest.TestCase):
    """Checks that outcomes at callers agree with the executions."""

    def test_reports_outcomes_that_contradict_the_executions(self):
        """Guards against checks that miss double executions or wrong outcomes at callers."""
        once = checks.executions_by_id([shard_execution("a", 1, 0, 5)])
        twice = checks.executions_by_id(
            [shard_execution("a", 1, 0, 5), shard_execution("b", 2, 10, 15)]
        )
        self.assertEqual(len(checks.repeated_executions([record("ok")], twice)), 1)
        self.assertEqual(checks.repeated_executions([record("ok")], once), [])
        self.assertEqual(
            len(checks.executed_despite_refusal([record("not-run/no-lease")], once)), 1
        )
        self.assertEqual(checks.executed_despite_refusal([record("unknown/no-answer")], once), [])
        self.assertEqual(len(checks.answered_without_execution([record("ok")], {})), 1)
        self.assertEqual(checks.answered_without_execution([record("ok")], once), [])

    def test_reports_late_executions_and_requests_cut_off_by_a_drain(self):
        """Guards against drains whose late executions and cut-off requests are not counted."""
        runs = [shard_execution("a", 1, 2500, 2600)]
        self.assertEqual(len(checks.executions_started_after_drain(runs, "a", 0, 2000)), 1)
        self.assertEqual(checks.executions_started_after_drain(runs, "a", 0, 3000), [])
        by_id = checks.executions_by_id(runs)
        for outcome, node, expected in (
            ("no-answer", "other", 1),
            ("unknown/no-answer", "n", 1),
            ("ok", "n", 0),
            ("not-run/draining", "n", 0),
        ):
            found = checks.cut_off_requests(
                [record(outcome, finished_ms=2600)], by_id, "a", node, 0
            )
            self.assertEqual(len(found), expected, outcome)
