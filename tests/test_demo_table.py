"""The table of the demonstration."""

import unittest

from standins.ledger import COMPLETED, Execution
from tests.test_ledger_checks import NS_PER_MS, record, shard_execution
from tools.demo_table import Events, evaluate, is_broken, render

EVENTS = Events(
    killed="a",
    killed_ns=10 * NS_PER_MS,
    frozen="b",
    frozen_ns=10 * NS_PER_MS,
    drained="c",
    drained_ns=1,
    left_after_s=1.0,
    stop_status=0,
)


def unkeyed(request_id, upstream="c"):
    """Returns an execution without a grant."""
    return Execution(
        1, upstream, request_id, "POST", "/p", "", 1 * NS_PER_MS, 2 * NS_PER_MS, COMPLETED
    )


def verdicts(events, records, executions):
    """Returns the verdict of each measure."""
    rows = evaluate(events, records, executions, {})
    return {row.measure: row.verdict for row in rows}, rows


class TableTest(unittest.TestCase):
    """Verdicts."""

    def test_what_was_not_measured_is_broken(self):
        """Guards against a run without any load that shows only held guarantees."""
        found, rows = verdicts(Events(), [], [])
        for measure in (
            "double ownership",
            "requests cut off by the drain",
            "answers to the wrong caller",
            "executions per non-repeatable request, most",
            "drained node had left after",
            "shards of the killed VM served again after",
        ):
            self.assertEqual(found[measure], "BROKEN", measure)
        self.assertTrue(is_broken(rows))

    def test_one_violation_breaks_an_otherwise_clean_run(self):
        """Guards against violations that are listed but do not change the exit code."""
        restored = []
        for shard, lost in ((7, "a"), (8, "b")):
            before = shard_execution(lost, 1, 1, 2, expires_ms=500, request_id=f"{lost}1")
            after = shard_execution("d", 2, 600, 610, request_id=f"{lost}2")
            for execution in (before, after):
                execution.grant = execution.grant.replace("s;7", f"s;{shard}")
            restored += [before, after]
        clean = [*restored, unkeyed("r1")]
        records = [record("ok", "r1")]
        rows = evaluate(EVENTS, records, clean, {})
        self.assertFalse(is_broken(rows), render(rows))
        _, rows = verdicts(EVENTS, records, [*clean, unkeyed("r1", "d")])
        self.assertTrue(is_broken(rows))
        self.assertIn("r1 ran 2 times", render(rows))
