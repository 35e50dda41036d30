"""Everything stops at once and starts again."""

import random
import unittest

from auburnsail._effects import Send, StoreRequest
from auburnsail._fleet import FleetState
from auburnsail._membership import Membership
from auburnsail._messages import Codec, Propose
from auburnsail._model import Assign, Entry, Grant, Join, Session, SessionId
from auburnsail._session import NodeIdentity

SECRET = "0123456789abcdef"
NODES = 18
LIFETIME = "i@1"


def address(number: int) -> str:
    """Returns the control address of a node."""
    return f"10.0.0.{number}:1"


class RestartOfAllTest(unittest.TestCase):
    """Eighteen new processes propose in the same moment."""

    def setUp(self):
        """Gives each new process the log of before and a living upstream."""
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
            facts = NodeIdentity(f"n{number}", "a", "a-1", address(number), address(number), "a")
            rng = random.Random(number)
            node = Membership(facts, fleet, Codec(SECRET, 10 + number), rng)
            node.session.set_upstream("s", 4, LIFETIME)
            self.nodes[address(number)] = node

    def test_one_append_carries_the_sessions_of_all(self):
        """Guards against appends of all nodes that defeat each other while callers wait."""
        now_ns, appends = 10**12, []
        mail = []
        for node in self.nodes.values():
            mail += self.take(node.tick(now_ns), appends)
        self.assertGreater(len(mail), NODES // 2, "the others send their proposals")
        for target, data in mail:
            if isinstance(self.codec.decode(data), Propose):
                self.take(self.nodes[target].on_datagram(data, "", now_ns), appends)
        self.assertEqual(len(appends), 1, "one node appends")
        recorder = next(n for n in self.nodes.values() if n.recording.pending)
        self.assertEqual(recorder.recording.pending, NODES)

    def take(self, effects, appends: list) -> list[tuple[str, bytes]]:
        """Returns what is to be sent and notes appends."""
        appends += [effect for effect in effects if isinstance(effect, StoreRequest)]
        return [(effect.address, effect.data) for effect in effects if isinstance(effect, Send)]


if __name__ == "__main__":
    unittest.main()
