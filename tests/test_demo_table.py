"""The table of guarantees that the demonstration prints."""

import unittest

from standins.ledger import COMPLETED, Execution
from tests.test_ledger_checks import NS_PER_MS, record, shard_execution
from tools.demo_table import Events, evaluate, has_broken_guarantee, render

EVENTS = Events(
    killed="a",
    killed_ns=10 * NS_PER_MS,
    frozen="b",
    frozen_ns=10 * NS_PER_MS,
    drained="c",
    drained_ns=1,
    session_ended_after_s=1.0,
    exit_code=0,
)


def execution_without_grant(request_id, upstream="c"):
    """Returns a completed execution of a non-repeatable request without a grant."""
    return Execution(
        1, upstream, request_id, "POST", "/p", "", 1 * NS_PER_MS, 2 * NS_PER_MS, COMPLETED
    )


def verdicts(events, records, executions):
    """Returns the verdict by measure, and the rows of the table."""
    rows = evaluate(events, records, executions, {})
    return {row.measure: row.verdict for row in rows}, rows


class DemoTableTest(unittest.TestCase):
    """Verdicts of the table, and whether they make the run fail."""

    def test_guarantees_without_measurements_are_broken(self):
        """Guards against guarantees that are shown as held after a run that measured nothing.

        If the load run did not start, its logs and ledgers are empty and contain no violation.
        """
        verdict_by_measure, rows = verdicts(Events(), [], [])
        for measure in (
            "double ownership",
            "requests cut off by the drain",
            "answers to the wrong caller",
            "executions per non-repeatable request, most",
            "drained node had left after",
            "shards of the killed VM served again after",
        ):
            self.assertEqual(verdict_by_measure[measure], "BROKEN", measure)
        self.assertTrue(has_broken_guarantee(rows))

    def test_one_violation_breaks_an_otherwise_clean_run(self):
        """Guards against a violation that is listed but does not make the run fail.

        Two upstreams execute the non-repeatable request r1; all other records are correct.
        """
        executions = []
        for shard, upstream in ((7, "a"), (8, "b")):
            first = shard_execution(upstream, 1, 1, 2, expires_ms=500, request_id=f"{upstream}1")
            successor = shard_execution("d", 2, 600, 610, request_id=f"{upstream}2")
            for execution in (first, successor):
                execution.grant = execution.grant.replace("s;7", f"s;{shard}")
            executions += [first, successor]
        clean_run = [*executions, execution_without_grant("r1")]
        records = [record("ok", "r1")]
        rows = evaluate(EVENTS, records, clean_run, {})
        self.assertFalse(has_broken_guarantee(rows), render(rows))
        _, rows = verdicts(EVENTS, records, [*clean_run, execution_without_grant("r1", "d")])
        self.assertTrue(has_broken_guarantee(rows))
        self.assertIn("r1 ran 2 times", render(rows))
