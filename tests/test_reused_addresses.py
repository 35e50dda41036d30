"""Addresses of lost VMs that have since been assigned to VMs of other services."""

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
    """Returns a session with the given node name, service and address."""
    return Session(SessionId(name, 1), "sud", "sud-a", address, address, service, 6)


class ReusedAddressTest(unittest.TestCase):
    """`lost` is a session of the keyed service; `other`, of another service, has its address."""

    def setUp(self):
        """Opens the sessions and assigns all shards to the owner."""
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
        """Guards against a transfer to a session of another service, which would get requests."""
        for version, target in enumerate((self.other, self.lost), start=2):
            epochs = (self.fleet.epoch("portal", 0),)
            move = Transfer(f"{version}", "portal", self.owner.id, target.id, (0,), epochs)
            self.fleet.apply(Entry(version, self.fleet.digest, f"{version}", (move,)))
            is_of_service = target.service == "portal"
            owner = self.fleet.owner("portal", 0).session.id
            self.assertEqual(owner, target.id if is_of_service else self.owner.id)

    def test_the_load_of_another_session_at_an_address_is_not_used(self):
        """Guards against a move that is planned with the load of the wrong session.

        A load query to the address of a lost VM is answered by the VM that has the address now.
        """
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
