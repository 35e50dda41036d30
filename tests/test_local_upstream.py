"""The local upstream: restarts, late and reordered reports, and drains."""

import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec

from auburnsail._clock import NS_PER_MS, ManualClock
from auburnsail._control import Announcement
from auburnsail._fleet import FleetState, SessionRow
from auburnsail._holds import HeldRange, HoldGrant, HoldTable
from auburnsail._journal import Journal
from auburnsail._local_upstream import LocalUpstream
from auburnsail._model import Assign, Entry, Grant, Join, Session, SessionId
from auburnsail._session import OwnSession

STOP_WORK_MS = 2_000


class FakeMover:
    """Records the drains that announcements start or cancel."""

    def __init__(self) -> None:
        self.drains: list[str] = []
        self.cancelled_drains = 0
        self.holds = None

    def drain(
        self, reason: str, *, stopping: bool, now_ns: int = 0, ends_session: bool = True
    ) -> None:
        """Records the reason of a drain."""
        self.drains.append(reason)

    def cancel_drain(self) -> None:
        """Counts cancelled drains."""
        self.cancelled_drains += 1

    def are_free(self, row: SessionRow, now_ns: int) -> bool:
        """Returns whether the upstream holds none of the service's keys."""
        return self.holds is None or all(self.holds.is_free(s, now_ns) for s in range(8))


def announcement(
    sequence: int, state: str = "ready", born_ms: int = 1000, instance: str = "i"
) -> Announcement:
    """Returns an announcement of the upstream."""
    return Announcement(
        "s", "127.0.0.1:1", 4, state=state, instance=instance, born_ms=born_ms, sequence=sequence
    )


class FakeSession:
    """An own session that only records whether it is to be replaced."""

    def __init__(self) -> None:
        self.is_replacement_due = False

    def set_upstream(self, service: str, slots: int, lifetime: str = "") -> None:
        """Ignores the description of the upstream."""

    def earlier(self, fleet: FleetState) -> None:
        """Returns that no earlier process left a session open."""

    def set_replacement_due(self, is_due: bool = True) -> None:
        """Records whether the session is to be replaced."""
        self.is_replacement_due = is_due


class LocalUpstreamTest(unittest.TestCase):
    """Announcements in and out of order, and evidence of the upstream's end."""

    def setUp(self):
        """Creates a local upstream with fakes."""
        self.clock = ManualClock(10**12)
        self.mover = FakeMover()
        session = mock.create_autospec(OwnSession, instance=True)
        session.earlier.return_value = None
        membership = SimpleNamespace(session=session, own_id=None)
        self.upstream = LocalUpstream(
            membership, self.mover, FleetState(), Journal(self.clock), self.clock
        )
        self.upstream.stop_work_ms = STOP_WORK_MS

    def test_a_draining_upstream_gets_no_requests_after_stop_work_ms(self):
        """Guards against requests to an upstream that still drains after its session has ended."""
        self.upstream.on_announcement(announcement(1))
        self.upstream.on_announcement(announcement(2, "draining"))
        self.clock.advance_ms(STOP_WORK_MS - 1)
        self.upstream.on_announcement(announcement(3, "draining"))
        self.assertIsNotNone(self.upstream.address())
        self.clock.advance_ms(1)
        self.assertIsNone(self.upstream.address())

    def test_a_deregistration_starts_a_drain(self):
        """Guards against requests to an upstream that deregistered without announcing a drain."""
        self.upstream.on_announcement(announcement(1))
        self.upstream.on_deregistration("i", 0, "it ends")
        self.assertEqual(len(self.mover.drains), 1)
        self.clock.advance_ms(STOP_WORK_MS)
        self.assertIsNone(self.upstream.address())

    def test_outdated_reports_are_rejected(self):
        """Guards against an older report, or one of an ended process, overriding a newer one."""
        self.assertTrue(self.upstream.on_announcement(announcement(5)))
        self.assertTrue(self.upstream.on_announcement(announcement(6, "draining")))
        self.assertFalse(self.upstream.on_announcement(announcement(4)))
        self.assertFalse(self.upstream.on_announcement(announcement(6)))
        self.assertEqual(self.upstream.announcement.state, "draining")
        self.assertTrue(self.upstream.on_announcement(announcement(1, born_ms=2000)))
        self.assertFalse(self.upstream.on_announcement(announcement(9, born_ms=1000)))
        self.assertEqual(self.upstream.announcement.born_ms, 2000)

    def test_a_restart_under_the_same_id_cancels_the_drain(self):
        """Guards against a restarted upstream that stays drained because its predecessor was."""
        self.upstream.on_announcement(announcement(1, "draining"))
        self.upstream.on_announcement(announcement(1, born_ms=2000))
        self.assertEqual(self.mover.cancelled_drains, 1)
        self.clock.advance_ms(STOP_WORK_MS + 500)
        self.assertIsNotNone(self.upstream.address())

    def test_another_instance_at_the_address_ends_the_upstream(self):
        """Guards against requests to another instance that now has the upstream's address."""
        self.upstream.on_announcement(announcement(1))
        self.upstream.on_misdirected("i")
        self.assertIsNotNone(self.upstream.address())
        self.upstream.on_misdirected("other")
        self.assertIsNone(self.upstream.address())

    def test_an_upstream_without_reports_is_kept_while_it_answers(self):
        """Guards against giving up an upstream that answers although its reports are lost."""
        self.upstream.on_announcement(announcement(1))
        for _ in range(10):
            self.clock.advance_ms(1000)
            self.upstream.on_answer()
            self.upstream.update_session(self.clock.now_ns())
        self.assertIsNotNone(self.upstream.address())
        self.clock.advance_ms(3500)
        self.upstream.update_session(self.clock.now_ns())
        self.assertIsNone(self.upstream.address())

    def test_a_report_read_late_extends_no_hold_of_reassigned_keys(self):
        """Guards against two holders of a key after the node was suspended.

        The node finds the upstream silent and begins to replace the session. It must not grant
        the keys again for a report that waited in the socket, since the log reassigns them.
        """
        first = announcement(1)
        own = Session(
            SessionId("n", 1), "wien", "wien-1", "a:1", "a:2", "s", 4, lifetime=first.lifetime
        )
        fleet = FleetState()
        fleet.add_service("s", 8, 64)
        grant = Grant(own.id, tuple(range(8)))
        fleet.apply(Entry(1, b"", "x", (Join("n", own), Assign("all", "s", (grant,), 8))))
        mover = FakeMover()
        mover.holds = HoldTable(8, 64, 4_000)
        mover.releasing = lambda service: set()
        session = FakeSession()
        membership = SimpleNamespace(
            session=session,
            own_id=own.id,
            expires_ns=lambda: self.clock.now_ns() + 4_000 * NS_PER_MS,
        )
        upstream = LocalUpstream(membership, mover, fleet, Journal(self.clock), self.clock)
        upstream.on_announcement(first)
        self.assertTrue(upstream.grant_holds().hold_ms)
        self.clock.advance_ms(5_000)
        upstream.update_session(self.clock.now_ns())
        upstream.on_announcement(announcement(2))
        self.assertEqual(upstream.grant_holds(), HoldGrant())
        # The upstream is back before the session was replaced, so its keys are not reassigned.
        upstream.update_session(self.clock.now_ns())
        upstream.on_announcement(announcement(3))
        self.assertTrue(upstream.grant_holds().hold_ms)

    def test_holds_of_an_earlier_process_are_known_before_the_session_transfers_keys(self):
        """Guards against OWNER: two upstreams that hold a key after a restart of a node.

        A restarted node takes over its session after the first report. Another session joins, and
        a shard goes to it before the next report; the upstream still holds it by the last grant of
        the earlier process.
        """
        held = (HeldRange(0, 63, 1),)
        report = msgspec.structs.replace(announcement(7), holds=held)
        for table_exists in (True, False):
            with self.subTest(table_exists=table_exists):
                fleet, mover = FleetState(), FakeMover()
                mover.releasing = lambda service: set()
                membership = SimpleNamespace(session=FakeSession(), own_id=None)
                upstream = LocalUpstream(membership, mover, fleet, Journal(self.clock), self.clock)
                if table_exists:
                    fleet.add_service("s", 8, 64)
                    mover.holds = HoldTable(8, 64, 4_000)
                upstream.on_announcement(report)
                self.assertEqual(upstream.grant_holds(), HoldGrant())
                if not table_exists:
                    # Log and settings are read after the first report.
                    fleet.add_service("s", 8, 64)
                    mover.holds = HoldTable(8, 64, 4_000)
                upstream.update_session(self.clock.now_ns())
                now_ns = self.clock.now_ns()
                self.assertFalse(any(mover.holds.is_free(shard, now_ns) for shard in range(8)))
                self.assertTrue(mover.holds.is_free(7, now_ns + 4_000 * NS_PER_MS))


if __name__ == "__main__":
    unittest.main()
