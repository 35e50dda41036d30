"""Tests of which nodes long-poll the source of the settings."""

import unittest
from types import SimpleNamespace

from auburnsail._clock import ManualClock
from auburnsail._fleet import FleetState
from auburnsail._model import Entry, Join, Session, SessionId
from auburnsail._settings_long_poll import (
    LONG_POLLING_NODES,
    NO_LEASE_GRACE_MS,
    SettingsLongPoll,
)


def fleet_of(nodes: int) -> FleetState:
    """Returns the state of a fleet with the given number of open sessions."""
    fleet = FleetState()
    joins = []
    for number in range(nodes):
        session_id = SessionId(f"n{number}", 1)
        session = Session(session_id, "r", "d", f"{number}:1", f"{number}:2", "s", 4)
        joins.append(Join(str(number), session))
    fleet.apply(Entry(1, b"", "x", tuple(joins)))
    return fleet


class SettingsLongPollTest(unittest.TestCase):
    """Which nodes poll, since the store may refuse the requests of any third of the nodes."""

    def polling_sessions(
        self,
        fleet: FleetState,
        has_lease: bool = True,
        settings_version: int = 1,
        waited_ms: int = 0,
    ) -> list[SessionId]:
        """Returns the sessions whose nodes would poll after a wait."""
        found = []
        for session_id in fleet.sessions:
            membership = SimpleNamespace(
                own_id=session_id,
                may_serve=lambda now_ns: has_lease,
                replica=SimpleNamespace(settings_version=settings_version),
            )
            clock = ManualClock()
            long_poll = SettingsLongPoll(None, membership, fleet, clock, None, None)
            long_poll._should_poll()
            clock.advance_ms(waited_ms)
            found += [session_id] if long_poll._should_poll() else []
        return found

    def test_small_fleet_has_more_polling_nodes_than_can_be_refused(self):
        """Guards against a change that no node receives because all polling nodes were refused."""
        self.assertEqual(len(self.polling_sessions(fleet_of(7))), 7)
        for nodes in (12, 18, 24, 30):
            self.assertGreaterEqual(len(self.polling_sessions(fleet_of(nodes))), nodes / 3 + 2)

    def test_large_fleet_polls_from_a_fixed_number_of_nodes(self):
        """Guards against a number of store reads that grows with the fleet."""
        self.assertEqual(len(self.polling_sessions(fleet_of(200))), LONG_POLLING_NODES)

    def test_node_without_a_lease_polls(self):
        """Guards against outdated settings on a node that cannot receive them from its peers."""
        fleet = fleet_of(200)
        polling = self.polling_sessions(fleet, has_lease=False, waited_ms=NO_LEASE_GRACE_MS)
        self.assertEqual(len(polling), 200)
        # The platform requires a change to be in force within 2.5 s.
        self.assertLess(NO_LEASE_GRACE_MS, 2_000)

    def test_node_without_settings_polls_at_once(self):
        """Guards against a starting node that refuses requests until a lease is valid."""
        polling = self.polling_sessions(fleet_of(20), has_lease=False, settings_version=0)
        self.assertEqual(len(polling), 20)

    def test_starting_fleet_does_not_poll_for_the_second_time(self):
        """Guards against one call of each node beyond the first when a whole fleet starts."""
        self.assertEqual(self.polling_sessions(fleet_of(200), has_lease=False), [])


if __name__ == "__main__":
    unittest.main()
