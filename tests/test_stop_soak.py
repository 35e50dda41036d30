"""Runs a short soak of real processes under stops; `make stop-soak` runs longer ones."""

import unittest

from standins.ledger import Execution
from tools.stop_soak import judge, run_seed
from tools.stop_soak_callers import Result, SentRequest
from tools.stop_soak_stops import StopLog

SEED = 5
DURATION_S = 18.0
MS = 1_000_000


def _request(result: Result, **values) -> SentRequest:
    fields = {"sent_ns": 1_000 * MS, "ended_ns": 1_025 * MS, "method": "POST"} | values
    return SentRequest("r", "node-0", result=result, **fields)


def _run() -> Execution:
    return Execution(1, "u", "r", "POST", "/pledge/1", "", 1_001 * MS)


class JudgeTest(unittest.TestCase):
    """What counts as a violation."""

    def violations(self, request: SentRequest, *runs: Execution) -> int:
        """Returns the number of violations of a request with the given executions."""
        log = StopLog(suspensions={"node-0": [(1_100 * MS, 1_250 * MS)]})
        return len(judge([request], runs, log, 1).violations)

    def test_each_broken_promise_is_found(self):
        """Guards against a soak that cannot fail."""
        answered = {"status": 200}
        refused = {"status": 503, "outcome": "not-run"}
        cases = {
            "passed on": (_request(Result.ENDED), _run()),
            "held for 201 ms": (_request(Result.ENDED, ended_ns=1_351 * MS),),
            "ran twice": (_request(Result.ANSWERED, **answered), _run(), _run()),
            "left and ran twice": (_request(Result.LEFT), _run(), _run()),
            "not run, but ran": (_request(Result.ANSWERED, **refused), _run()),
            "no answer": (_request(Result.TIMED_OUT),),
            "wrong answer": (_request(Result.ANSWERED, **answered, detail="another id"), _run()),
        }
        for name, (request, *runs) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.violations(request, *runs), 1)

    def test_what_a_stop_allows_is_no_violation(self):
        """Guards against findings that no node can avoid, which would hide the others."""
        cases = {
            "answer": (_request(Result.ANSWERED, status=200), _run()),
            "refusal": (_request(Result.ANSWERED, status=503, outcome="not-run"),),
            "GET repeated": (_request(Result.ANSWERED, status=200, method="GET"), _run(), _run()),
            "caller left": (_request(Result.LEFT), _run()),
            "crossed the close": (_request(Result.ENDED),),
            "crossed it in a suspension": (_request(Result.ENDED, ended_ns=1_349 * MS),),
            "not sent whole": (_request(Result.ENDED, sent_ns=0),),
        }
        for name, (request, *runs) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.violations(request, *runs), 0)

    def test_a_failed_stop_is_a_violation(self):
        """Guards against a node that never ends, after which the soak would stop nothing."""
        log = StopLog(findings=["node-0: stop"])
        self.assertEqual(len(judge([], [], log, 1).violations), 1)


class StopSoakTest(unittest.TestCase):
    """Real processes that are stopped while callers use their connections."""

    def test_no_request_that_was_passed_on_loses_its_answer(self):
        """Guards against nodes that reset a caller whose request an upstream runs.

        A stopping node closes idle connections. A request that arrives in the same turn of the
        event loop is read and passed on all the same, on a connection that counts as closed.
        """
        result = run_seed(SEED, DURATION_S)
        self.assertFalse(result.violations, "\n".join([*result.violations, str(result.counts)]))
        for name in ("answers", "left", "settings", "stops", "SIGHUP", "SIGSTOP"):
            self.assertGreater(result.counts[name], 0, name)


if __name__ == "__main__":
    unittest.main()
