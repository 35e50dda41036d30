"""Jumps of the time of day on a node and on its upstream."""

import unittest
from unittest import mock

from auburnsail._clock import ManualClock
from auburnsail._fleet import FleetState
from auburnsail._hop import HopSigner
from auburnsail._journal import Journal
from auburnsail._local_upstream import LocalUpstream
from auburnsail._report_order import ANNOUNCEMENT_TIMEOUT_MS
from tests.path_fakes import SECRET, FakeUpstream, PathNode, connect, exchange, reason_of, request
from tests.test_local_upstream import FakeMover, announcement

JUMP_S = 2_400.0
REPORT_MS = 870


class HopClockTest(unittest.TestCase):
    """Requests between two nodes whose times of day differ."""

    def setUp(self):
        """Starts a node without an upstream and the owner of all keys."""
        self.upstream = FakeUpstream()
        self.wall_s = {"first": 1e9, "owner": 1e9}
        self.first = PathNode("first", None, "")
        self.owner = PathNode("owner", self.upstream, "catalogue")
        for name, node in (("first", self.first), ("owner", self.owner)):
            signer = HopSigner(SECRET, lambda name=name: self.wall_s[name])
            node.application._signer = node.application._runner._signer = signer
        connect(self.first, self.owner, owner=self.owner)

    def tearDown(self):
        """Stops both nodes and the upstream."""
        for part in (self.first, self.owner, self.upstream):
            part.stop()

    def send(self, body: bytes = b"") -> int:
        """Sends a request to the first node and returns the status of the answer."""
        data = request("POST" if body else "GET", "/catalogue/k1", body=body)
        return reason_of(exchange(self.first.address, data))[0]

    def test_requests_are_served_while_the_time_of_day_differs(self):
        """Guards against refusals of all forwarded requests after a jump on either node.

        The time of day of a VM jumps forward or back, and later back again.
        """
        for name in ("first", "owner"):
            for jump_s in (JUMP_S, -JUMP_S, -JUMP_S, JUMP_S):
                self.wall_s[name] += jump_s
                runs = len(self.upstream.runs)
                self.assertEqual([self.send(), self.send(b"x"), self.send()], [200] * 3)
                self.assertEqual(len(self.upstream.runs), runs + 3)

    def test_a_jump_costs_one_further_exchange(self):
        """Guards against two exchanges for each request for as long as the clocks differ."""
        self.wall_s["owner"] += JUMP_S
        forwarded = self.owner.application.counters
        self.send()
        self.assertEqual(forwarded.requests, 2)
        self.send()
        self.assertEqual(forwarded.requests, 3)


class UpstreamClockTest(unittest.TestCase):
    """An upstream whose start time comes from a time of day that has jumped back."""

    def setUp(self):
        """An upstream with a late start time reports for a while."""
        self.clock = ManualClock(10**12)
        session = mock.MagicMock()
        session.earlier.return_value = None
        membership = mock.Mock(session=session, own_id=None)
        self.upstream = LocalUpstream(
            membership, FakeMover(), FleetState(), Journal(self.clock), self.clock
        )
        for sequence in range(1, 4):
            self.assertTrue(self.report(sequence, born_ms=5_000_000))

    def report(self, sequence: int, born_ms: int, instance: str = "i") -> bool:
        """Delivers a report one interval after the previous one."""
        self.clock.advance_ms(REPORT_MS)
        return self.upstream.on_announcement(
            announcement(sequence, born_ms=born_ms, instance=instance)
        )

    def test_a_new_lifetime_with_an_earlier_start_is_accepted_once_the_old_one_is_silent(self):
        """Guards against a restarted upstream that gets no requests until its clock catches up."""
        accepted = [self.report(sequence, 2_000_000) for sequence in range(1, 6)]
        silent_reports = ANNOUNCEMENT_TIMEOUT_MS // REPORT_MS
        self.assertEqual(accepted, [False] * silent_reports + [True] * (5 - silent_reports))
        self.assertEqual(self.upstream.announcement.born_ms, 2_000_000)

    def test_a_new_lifetime_is_accepted_at_its_second_report_if_the_old_one_has_ended(self):
        """Guards against keys without service although the old process is known to have ended."""
        self.upstream.on_misdirected("other")
        self.assertFalse(self.report(1, 2_000_000, "other"))
        self.assertTrue(self.report(2, 2_000_000, "other"))

    def test_old_reports_do_not_replace_a_lifetime_that_reports(self):
        """Guards against a late report of an earlier lifetime that is taken for a new one."""
        for sequence in range(4, 12):
            self.assertFalse(self.report(sequence, 2_000_000))
            self.assertTrue(self.report(sequence, 5_000_000))

    def test_a_report_with_a_number_far_too_high_does_not_silence_the_upstream(self):
        """Guards against a VM that serves nobody after one odd report of another writer."""
        for odd in (
            {"sequence": 2**53 - 1, "born_ms": 5_000_000},
            {"sequence": 1, "born_ms": 2**53},
        ):
            self.assertTrue(self.report(**odd))
            accepted = [self.report(sequence, 5_000_000) for sequence in range(4, 9)]
            self.assertEqual(accepted, [False, False, True, True, True])

    def test_one_late_report_does_not_replace_a_silent_lifetime(self):
        """Guards against a report that waited in a partition, after its successor went silent."""
        self.clock.advance_ms(10 * REPORT_MS)
        self.assertFalse(self.report(9, 2_000_000))
        self.assertFalse(self.report(9, 2_000_000))
        self.assertFalse(self.report(8, 2_000_000))
        self.assertTrue(self.report(4, 5_000_000))


if __name__ == "__main__":
    unittest.main()
