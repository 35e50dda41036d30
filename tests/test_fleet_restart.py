"""A restart of all nodes at the same time."""

import random
import unittest

from auburnsail._effects import Send, StoreRequest
from auburnsail._fleet import FleetState
from auburnsail._identity import NodeIdentity
from auburnsail._membership import Membership
from auburnsail._messages import Codec, Propose
from auburnsail._model import Assign, Entry, Grant, Join, Session, SessionId

SECRET = "0123456789abcdef"
NODES = 18
LIFETIME = "i@1"


def address(number: int) -> str:
    """Returns the control address of a node."""
    return f"10.0.0.{number}:1"


class FleetRestartTest(unittest.TestCase):
    """Eighteen restarted nodes propose their sessions at the same time."""

    def setUp(self):
        """Gives each new node the log from before the restart and a running upstream."""
        sessions = [
            Session(SessionId(f"n{n}", 1), "a", "a-1", address(n), address(n), "s", 4, (), LIFETIME)
            for n in range(NODES)
        ]
        joins = tuple(Join(f"j{s.id}", s) for s in sessions)
        assign = Assign("a", "s", (Grant(sessions[0].id, tuple(range(8))),), 8)
        self.entry = Entry(1, b"", "e", (*joins, assign))
        self.codec = Codec(SECRET, 1)
        self.nodes = {}
        for number in range(NODES):
            fleet = FleetState()
            fleet.add_service("s", 8, 64)
            fleet.apply(self.entry)
            identity = NodeIdentity(f"n{number}", "a", "a-1", address(number), address(number), "a")
            rng = random.Random(number)
            node = Membership(identity, fleet, Codec(SECRET, 10 + number), rng)
            node.session.set_upstream("s", 4, LIFETIME)
            self.nodes[address(number)] = node

    def test_one_append_contains_all_sessions(self):
        """Guards against conflicting appends of all nodes, which delay the restart of service.

        It happens if the former recorder refuses proposals because it has no session yet.
        """
        now_ns, appends = 10**12, []
        messages = []
        for node in self.nodes.values():
            messages += self.sent_messages(node.tick(now_ns), appends)
        self.assertGreater(len(messages), NODES // 2, "the others send their proposals")
        for target, data in messages:
            if isinstance(self.codec.decode(data), Propose):
                self.sent_messages(self.nodes[target].on_datagram(data, "", now_ns), appends)
        self.assertEqual(len(appends), 1, "one node appends")
        recorder = next(n for n in self.nodes.values() if n.proposals.pending)
        self.assertEqual(recorder.proposals.pending, NODES)

    def sent_messages(self, effects, appends: list) -> list[tuple[str, bytes]]:
        """Returns addresses and data of the sent messages, and adds store requests to `appends`."""
        appends += [effect for effect in effects if isinstance(effect, StoreRequest)]
        return [(effect.address, effect.data) for effect in effects if isinstance(effect, Send)]


if __name__ == "__main__":
    unittest.main()
