"""Sessions resumed after a restart, by upstream lifetime, and restarted watchers."""

import unittest

from auburnsail._assigner import Assigner
from auburnsail._checkpoint import dump_fleet, restore_fleet
from auburnsail._clock import NS_PER_MS
from auburnsail._fleet import FleetState
from auburnsail._grants import spread_shards
from auburnsail._model import (
    Assign,
    Close,
    Command,
    Entry,
    Evidence,
    Grant,
    Join,
    Resume,
    Retire,
    Session,
    SessionId,
    Transfer,
)
from auburnsail._recorder import resolve_grants
from auburnsail._rules import silence_before_seal_ns
from auburnsail._watcher import Seal, Watcher

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
    """A session that replaces the earlier session of its node."""

    def setUp(self):
        """Opens two sessions; the first one owns all shards."""
        self.fleet = FleetState()
        self.fleet.add_service("s", SHARDS, 64)
        self.first, self.second = session("n1", 1, "a@1"), session("n2", 1, "b@1")
        self.append(Join("1", self.first), Join("2", self.second))
        self.append(Assign("3", "s", (Grant(self.first.id, tuple(range(SHARDS))),), SHARDS))

    def append(self, *commands: Command) -> list[str]:
        """Applies an entry; returns the reason of each command, empty for an applied one."""
        fleet = self.fleet
        verdicts = fleet.apply(Entry(fleet.version + 1, fleet.digest, "x", commands))
        return [verdict.reason for verdict in verdicts]

    def test_the_same_lifetime_keeps_shards_epochs_and_fence(self):
        """Guards against a transfer, which interrupts service, when only the node was restarted."""
        epochs, fence = list(self.fleet.tables["s"].epoch), self.row(self.first).fence
        new = session("n1", 2, "a@1")
        self.assertEqual(self.append(Resume("r", self.first.id, new)), [""])
        self.assertEqual(self.fleet.shards_of(self.row(new)), list(range(SHARDS)))
        self.assertEqual(list(self.fleet.tables["s"].epoch), epochs)
        self.assertEqual(self.row(new).fence, fence)
        self.assertNotIn(self.first.id, self.fleet.sessions)

    def test_another_lifetime_keeps_the_shards_with_a_higher_fence(self):
        """Guards against a restarted upstream that serves with the previous process's fence."""
        fence = self.row(self.first).fence
        new = session("n1", 2, "a@2")
        self.append(Resume("r", self.first.id, new))
        self.assertEqual(self.fleet.shards_of(self.row(new)), list(range(SHARDS)))
        self.assertGreater(self.row(new).fence, fence)
        self.assertGreater(min(self.fleet.tables["s"].epoch), fence)

    def test_a_node_without_an_upstream_releases_its_shards(self):
        """Guards against shards that stay assigned to a node whose upstream has stopped."""
        self.append(Resume("r", self.first.id, session("n1", 2, service="")))
        self.assertEqual(self.fleet.tables["s"].count(0xFFFF), SHARDS)

    def test_only_the_same_address_may_resume_a_session(self):
        """Guards against two processes with one node name that both hold the upstream's keys."""
        moved = session("n1", 2, "a@1", control_address="elsewhere:1")
        self.assertNotEqual(self.append(Resume("r", self.first.id, moved)), [""])
        self.append(Resume("r", self.first.id, session("n1", 3, "a@1")))
        late_resume = Resume("r2", self.first.id, session("n1", 4, "a@1"))
        self.assertEqual(self.append(late_resume), ["session is not open"])

    def test_the_fence_of_a_session_never_decreases(self):
        """Guards against a grant that the upstream refuses because it has seen a higher fence.

        The fence must also survive a checkpoint.
        """
        self.append(
            Transfer("t", "s", self.first.id, self.second.id, (7,), (self.fleet.epoch("s", 7),))
        )
        fence = self.row(self.second).fence
        self.append(
            Transfer("u", "s", self.second.id, self.first.id, (7,), (self.fleet.epoch("s", 7),))
        )
        self.assertGreater(self.row(self.first).fence, fence)
        self.assertEqual(self.row(self.second).fence, fence)
        copy = FleetState()
        restore_fleet(copy, dump_fleet(self.fleet))
        self.assertEqual(copy.sessions[self.second.id].fence, fence)
        self.assertEqual(copy.tables["s"].keys, 64)

    def test_the_successor_of_an_ended_session_is_found_after_several_restarts(self):
        """Guards against sessions that cannot be closed after all their watchers were restarted."""
        second, third = session("n1", 2, "a@1"), session("n1", 3, "a@1")
        self.append(Resume("r", self.first.id, second))
        self.append(Resume("q", second.id, third))
        self.assertEqual(self.fleet.successor(self.first.id), third.id)
        self.assertIsNone(self.fleet.successor(third.id))
        copy = FleetState()
        restore_fleet(copy, dump_fleet(self.fleet))
        self.assertEqual(copy.successor(self.first.id), third.id)

    def test_seals_of_restarted_watchers_close_a_session(self):
        """Guards against a rejected close if a watcher was restarted after the session joined."""
        lost = session("n3", 1, "c@1", watchers=(self.first.id, self.second.id))
        self.append(Join("4", lost))
        self.append(Resume("r", self.first.id, session("n1", 2, "a@1")))
        silent_ms = silence_before_seal_ns() // NS_PER_MS
        evidence = (Evidence(self.first.id, silent_ms), Evidence(self.second.id, silent_ms))
        self.assertEqual(self.append(Close("c", lost.id, evidence)), [""])

    def test_a_restarted_watcher_does_not_seal_in_its_own_name(self):
        """Guards against a close by a watcher that has lost what its predecessor acknowledged.

        The log names the watcher's earlier incarnation. A seal by the next one proves nothing about
        the leases that the earlier one acknowledged.
        """
        lost = session("n3", 1, "c@1", watchers=(self.first.id, self.second.id))
        self.append(Join("4", lost))
        restarted = session("n1", 2, "a@1")
        self.append(Resume("r", self.first.id, restarted))
        silent_ms = silence_before_seal_ns() // NS_PER_MS
        evidence = (Evidence(restarted.id, silent_ms), Evidence(self.second.id, silent_ms))
        self.assertNotEqual(self.append(Close("c", lost.id, evidence)), [""])
        self.assertIn(lost.id, self.fleet.sessions)

    def test_a_departure_is_final_for_its_lifetime(self):
        """Guards against a node that resumes the session of an upstream that leaves (DRAIN)."""
        self.assertNotEqual(self.append(Retire("q", "n1", "a@0")), [""])
        self.assertEqual(self.append(Retire("q", "n1", "a@1")), [""])
        new = session("n1", 2, "a@1")
        self.append(Resume("r", self.first.id, new))
        self.assertTrue(self.row(new).session.is_leaving)
        self.assertEqual(self.fleet.shards_of(self.row(new)), list(range(SHARDS)))
        self.assertEqual([row.session.id for row in self.fleet.members_of("s")], [self.second.id])
        restarted = session("n1", 3, "a@2")
        self.append(Resume("r", new.id, restarted))
        self.assertFalse(self.row(restarted).session.is_leaving)

    def test_a_leaving_upstream_gets_no_shards(self):
        """Guards against shards that move from one leaving upstream to another (churn)."""
        self.append(Retire("q", "n2", "b@1"))
        epoch = self.fleet.epoch("s", 7)
        self.append(Transfer("t", "s", self.first.id, self.second.id, (7,), (epoch,)))
        self.assertEqual(self.fleet.shards_of(self.row(self.first)), list(range(SHARDS)))
        assign = Assign("a", "s", (), SHARDS)
        self.append(Resume("r", self.first.id, session("n1", 2, service="")))
        self.assertEqual(resolve_grants(self.fleet, (assign,), spread_shards), (assign,))
        self.assertEqual(Assigner().due(self.fleet, 10**12), [])

    def row(self, session: Session):
        """Returns the fleet's row of an open session."""
        return self.fleet.sessions[session.id]


class RestartedWatcherTest(unittest.TestCase):
    """A restarted watcher whose holder still names the watcher's earlier incarnation.

    It may seal the holder after a full silence, but it does not acknowledge renewals.
    """

    def test_a_holder_is_sealed_only_after_a_full_silence_since_the_start(self):
        """Guards against sealing at once, while the lease from the earlier incarnation is valid."""
        own, replaced, holder = SessionId("w", 2), SessionId("w", 1), SessionId("h", 1)
        watcher = Watcher(own)
        start_ns = 10**12
        watcher.add_holder(holder, 0, start_ns, replaced)
        self.assertEqual(watcher.tick(start_ns + silence_before_seal_ns() - NS_PER_MS), [])
        now_ns = start_ns + silence_before_seal_ns()
        watcher.tick(now_ns)
        seals = watcher.tick(now_ns + 200 * NS_PER_MS)
        self.assertTrue(
            any(isinstance(action, Seal) for action in seals) or watcher.has_sealed(holder)
        )
        evidence = watcher.evidence(holder, (replaced,))
        self.assertEqual([item.watcher for item in evidence], [replaced])

    def test_an_active_holder_is_not_sealed(self):
        """Guards against closing an active session before it has replaced its restarted watcher."""
        own, replaced, holder = SessionId("w", 2), SessionId("w", 1), SessionId("h", 1)
        watcher = Watcher(own)
        watcher.add_holder(holder, 0, 0, replaced)
        for number in range(1, 20):
            now_ns = number * silence_before_seal_ns() // 2
            watcher.on_unacknowledged_renewal(holder, now_ns)
            watcher.tick(now_ns)
        self.assertFalse(watcher.has_sealed(holder))


if __name__ == "__main__":
    unittest.main()
