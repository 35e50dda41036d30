"""Sessions by lifetime of the upstream, and seats of watchers that have restarted."""

import unittest

from auburnsail._checkpoint import dump_fleet, restore_fleet
from auburnsail._clock import NS_PER_MS
from auburnsail._fleet import FleetState
from auburnsail._model import (
    Assign,
    Close,
    Command,
    Entry,
    Evidence,
    Grant,
    Join,
    Resume,
    Session,
    SessionId,
    Transfer,
)
from auburnsail._rules import silence_before_seal_ns
from auburnsail._watch import Seal, Watcher

SHARDS = 8


def session(node: str, incarnation: int, lifetime: str = "", **fields) -> Session:
    """Returns a session of a keyed service."""
    values = {"service": "s", "slots": 4, "control_address": f"{node}:1"} | fields
    return Session(
        SessionId(node, incarnation),
        "r",
        "d",
        f"{node}:2",
        lifetime=lifetime,
        **values,
    )


class ResumeTest(unittest.TestCase):
    """A session that takes another's place."""

    def setUp(self):
        """Opens two sessions; the first owns all shards."""
        self.fleet = FleetState()
        self.fleet.add_service("s", SHARDS, 64)
        self.one, self.two = session("n1", 1, "a@1"), session("n2", 1, "b@1")
        self.append(Join("1", self.one), Join("2", self.two))
        self.append(Assign("3", "s", (Grant(self.one.id, tuple(range(SHARDS))),), SHARDS))

    def append(self, *commands: Command) -> list[str]:
        """Applies an entry and returns the reasons of what did not take effect."""
        fleet = self.fleet
        verdicts = fleet.apply(Entry(fleet.version + 1, fleet.digest, "x", commands))
        return [verdict.reason for verdict in verdicts]

    def test_the_same_life_keeps_shards_epochs_and_fence(self):
        """Guards against a transfer, and so a pause, when only the node was restarted."""
        epochs, fence = list(self.fleet.tables["s"].epoch), self.row(self.one).fence
        new = session("n1", 2, "a@1")
        self.assertEqual(self.append(Resume("r", self.one.id, new)), [""])
        self.assertEqual(self.fleet.shards_of(self.row(new)), list(range(SHARDS)))
        self.assertEqual(list(self.fleet.tables["s"].epoch), epochs)
        self.assertEqual(self.row(new).fence, fence)
        self.assertNotIn(self.one.id, self.fleet.sessions)

    def test_another_life_keeps_the_shards_at_a_higher_fence(self):
        """Guards against a life of an upstream that serves with the fence of the one before."""
        fence = self.row(self.one).fence
        new = session("n1", 2, "a@2")
        self.append(Resume("r", self.one.id, new))
        self.assertEqual(self.fleet.shards_of(self.row(new)), list(range(SHARDS)))
        self.assertGreater(self.row(new).fence, fence)
        self.assertGreater(min(self.fleet.tables["s"].epoch), fence)

    def test_a_node_without_the_upstream_gives_its_shards_up(self):
        """Guards against shards that stay with a node whose upstream is gone."""
        self.append(Resume("r", self.one.id, session("n1", 2, service="")))
        self.assertEqual(self.fleet.tables["s"].count(0xFFFF), SHARDS)

    def test_only_the_same_address_may_take_the_place(self):
        """Guards against two processes of one name that both hold the upstream's keys."""
        moved = session("n1", 2, "a@1", control_address="elsewhere:1")
        self.assertNotEqual(self.append(Resume("r", self.one.id, moved)), [""])
        self.append(Resume("r", self.one.id, session("n1", 3, "a@1")))
        late = Resume("r2", self.one.id, session("n1", 4, "a@1"))
        self.assertEqual(self.append(late), ["session is not open"])

    def test_the_fence_of_a_session_never_falls(self):
        """Guards against a grant that the upstream refuses because it has seen a higher fence."""
        self.append(Transfer("t", "s", self.one.id, self.two.id, (7,), (self.fleet.epoch("s", 7),)))
        first = self.row(self.two).fence
        self.append(Transfer("u", "s", self.two.id, self.one.id, (7,), (self.fleet.epoch("s", 7),)))
        self.assertGreater(self.row(self.one).fence, first)
        self.assertEqual(self.row(self.two).fence, first)
        copy = FleetState()
        restore_fleet(copy, dump_fleet(self.fleet))
        self.assertEqual(copy.sessions[self.two.id].fence, first)
        self.assertEqual(copy.tables["s"].keys, 64)

    def test_the_heir_of_an_ended_session_is_found_through_restarts(self):
        """Guards against sessions that nobody can close after all watchers were restarted."""
        second, third = session("n1", 2, "a@1"), session("n1", 3, "a@1")
        self.append(Resume("r", self.one.id, second))
        self.append(Resume("q", second.id, third))
        self.assertEqual(self.fleet.successor(self.one.id), third.id)
        self.assertIsNone(self.fleet.successor(third.id))
        copy = FleetState()
        restore_fleet(copy, dump_fleet(self.fleet))
        self.assertEqual(copy.successor(self.one.id), third.id)

    def test_seals_of_heirs_close_a_session_in_the_names_of_its_watchers(self):
        """Guards against a close that the log does not accept."""
        lost = session("n3", 1, "c@1", watchers=(self.one.id, self.two.id))
        self.append(Join("4", lost))
        self.append(Resume("r", self.one.id, session("n1", 2, "a@1")))
        silent_ms = silence_before_seal_ns() // NS_PER_MS
        evidence = (Evidence(self.one.id, silent_ms), Evidence(self.two.id, silent_ms))
        self.assertEqual(self.append(Close("c", lost.id, evidence)), [""])

    def row(self, of: Session):
        """Returns the row of an open session."""
        return self.fleet.sessions[of.id]


class SeatTest(unittest.TestCase):
    """A watcher that took the place of one that a holder names."""

    def test_it_seals_after_a_full_silence_of_its_own_and_acknowledges_nothing(self):
        """Guards against sealing at once: what its predecessor acknowledged may still hold."""
        own, watch_id, holder = SessionId("w", 2), SessionId("w", 1), SessionId("h", 1)
        watcher = Watcher(own)
        start_ns = 10**12
        watcher.name(holder, 0, start_ns, watch_id)
        self.assertEqual(watcher.tick(start_ns + silence_before_seal_ns() - NS_PER_MS), [])
        now_ns = start_ns + silence_before_seal_ns()
        watcher.tick(now_ns)
        seals = watcher.tick(now_ns + 200 * NS_PER_MS)
        self.assertTrue(
            any(isinstance(action, Seal) for action in seals) or watcher.has_sealed(holder)
        )
        evidence = watcher.evidence(holder, (watch_id,))
        self.assertEqual([item.watcher for item in evidence], [watch_id])

    def test_a_living_holder_is_not_sealed(self):
        """Guards against closing a session that only has to replace its watchers."""
        own, watch_id, holder = SessionId("w", 2), SessionId("w", 1), SessionId("h", 1)
        watcher = Watcher(own)
        watcher.name(holder, 0, 0, watch_id)
        for number in range(1, 20):
            now_ns = number * silence_before_seal_ns() // 2
            watcher.on_unacknowledged_renewal(holder, now_ns)
            watcher.tick(now_ns)
        self.assertFalse(watcher.has_sealed(holder))


if __name__ == "__main__":
    unittest.main()
