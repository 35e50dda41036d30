"""Addresses of lost VMs that VMs of other services have by now."""

import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec

from auburnsail._fleet import FleetState
from auburnsail._model import Assign, Entry, Grant, Join, Session, SessionId, Transfer
from auburnsail._placement_model import ServerLoad
from auburnsail._rebalancer import Rebalancer

SHARDS = 8


def session(name: str, service: str, address: str) -> Session:
    """Returns a session of a node."""
    return Session(SessionId(name, 1), "sud", "sud-a", address, address, service, 6)


class ReusedAddressTest(unittest.TestCase):
    """`lost` was a VM of the divided service; `other`, of another one, has its address now."""

    def setUp(self):
        """Gives all shards to the owner."""
        self.owner = session("owner", "portal", "10.0.0.1:1")
        self.lost = session("lost", "portal", "10.0.0.2:1")
        self.other = session("other", "ledger", "10.0.0.2:1")
        self.fleet = FleetState()
        self.fleet.add_service("portal", SHARDS, 64)
        joins = [Join(s.id.node, s) for s in (self.owner, self.lost, self.other)]
        grant = Grant(self.owner.id, tuple(range(SHARDS)))
        assign = Assign("all", "portal", (grant,), SHARDS)
        self.fleet.apply(Entry(1, b"", "first", (*joins, assign)))

    def test_shards_go_to_sessions_of_their_service_only(self):
        """Guards against requests that an upstream of another service runs."""
        for version, target in enumerate((self.other, self.lost), start=2):
            epochs = (self.fleet.epoch("portal", 0),)
            move = Transfer(f"{version}", "portal", self.owner.id, target.id, (0,), epochs)
            self.fleet.apply(Entry(version, self.fleet.digest, f"{version}", (move,)))
            is_of_service = target.service == "portal"
            owner = self.fleet.owner("portal", 0).session.id
            self.assertEqual(owner, target.id if is_of_service else self.owner.id)

    def test_the_load_of_another_session_at_an_address_is_not_used(self):
        """Guards against a move to whoever has the address of a lost VM."""
        journal = mock.Mock()
        context = SimpleNamespace(journal=journal)
        for session_id, is_used in ((self.other.id, False), (self.lost.id, True)):
            load = ServerLoad(session_id, "sud", "sud-a", 6.0, 0.0)
            rebalancer = SimpleNamespace(
                _context=context, _call_peer=lambda *_, load=load: msgspec.msgpack.encode(load)
            )
            found = Rebalancer._fetch_load(rebalancer, self.lost)
            self.assertEqual(found is not None, is_used)
        journal.record.assert_called_once()


if __name__ == "__main__":
    unittest.main()
