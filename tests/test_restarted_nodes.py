"""A node that starts again beside an upstream that holds keys by grants of the earlier process."""

import random
import unittest
from types import SimpleNamespace

import msgspec

from auburnsail._clock import NS_PER_MS, ManualClock
from auburnsail._control import Announcement
from auburnsail._fleet import FleetState
from auburnsail._holds import HeldRange, HoldTable
from auburnsail._identity import NodeIdentity
from auburnsail._journal import Journal
from auburnsail._local_upstream import LocalUpstream
from auburnsail._model import Assign, Command, Entry, Grant, Handover, Join, Session, SessionId
from auburnsail._session import OwnSession

MAX_HOLD_MS = 4_000
SHARDS = 8
KEYS = 64
STEP_MS = 10


def report(sequence: int, state: str = "ready") -> Announcement:
    """Returns a report of the upstream, which holds all keys."""
    held = (HeldRange(0, KEYS - 1, 1),)
    return Announcement(
        "s",
        "127.0.0.1:1",
        4,
        state=state,
        instance="i",
        born_ms=1000,
        sequence=sequence,
        holds=held,
    )


class RestartedNodeTest(unittest.TestCase):
    """The earlier process left its session open; the new one has read the log."""

    def setUp(self):
        """Creates the fleet and the parts of the new process."""
        self.clock = ManualClock(10**12)
        lifetime = report(1).lifetime
        earlier = Session(
            SessionId("n", 1), "wien", "wien-1", "a:1", "a:2", "s", 4, lifetime=lifetime
        )
        self.fleet = FleetState()
        self.fleet.add_service("s", SHARDS, KEYS)
        grant = Grant(earlier.id, tuple(range(SHARDS)))
        self.apply(Join("n", earlier), Assign("all", "s", (grant,), SHARDS))
        identity = NodeIdentity("n", "wien", "wien-1", "a:1", "a:2")
        self.session = OwnSession(identity, random.Random(1))
        self.mover = SimpleNamespace(
            holds=HoldTable(SHARDS, KEYS, MAX_HOLD_MS),
            releasing=lambda service: set(),
            drain=lambda *args, **kwargs: None,
            cancel_drain=lambda: None,
            are_free=lambda row, now_ns: not self.held(),
        )
        self.membership = SimpleNamespace(session=self.session, own_id=None)
        self.upstream = LocalUpstream(
            self.membership, self.mover, self.fleet, Journal(self.clock), self.clock
        )

    def apply(self, *commands: Command) -> None:
        """Appends an entry to the log and applies it."""
        version = self.fleet.version + 1
        self.fleet.apply(Entry(version, self.fleet.digest, f"e{version}", commands))

    def tick(self) -> None:
        """Runs a tick of the node; applies what its session proposes."""
        now_ns = self.clock.now_ns()
        self.upstream.update_session(now_ns)
        if commands := self.session.tick(now_ns, self.fleet):
            self.apply(*commands)
            self.session.on_applied({item.id for item in commands}, self.fleet, now_ns)
            self.membership.own_id = self.session.id

    def receive(self, announcement: Announcement) -> None:
        """Handles a report and answers it."""
        self.upstream.on_announcement(announcement)
        self.upstream.grant_holds()

    def owned(self) -> list[int]:
        """Returns the shards that the node's session owns."""
        row = self.fleet.by_node["n"]
        return list(self.fleet.shards_of(row)) if row.session.service else []

    def held(self) -> list[int]:
        """Returns the shards that the new process takes for held."""
        now_ns = self.clock.now_ns()
        return [shard for shard in range(SHARDS) if not self.mover.holds.is_free(shard, now_ns)]

    def test_a_session_that_is_taken_over_knows_what_the_upstream_holds(self):
        """Guards against a move of shards for which the upstream has an older grant (OWNER)."""
        self.receive(report(7))
        self.tick()
        self.assertEqual((self.owned(), self.held()), (list(range(SHARDS)),) * 2)

    def test_the_keys_of_an_upstream_that_drains_are_not_left_without_owner(self):
        """Guards against OWNER: unowned keys are assigned at once, the upstream holds them."""
        self.receive(report(7, "draining"))
        self.tick()
        self.assertEqual((self.owned(), self.held()), (list(range(SHARDS)),) * 2)

    def test_the_keys_of_a_silent_upstream_are_kept_for_its_longest_grant(self):
        """Guards against OWNER: a grant from right before the restart outlives 2 s of silence."""
        started_ns = self.clock.now_ns()
        while self.owned() and self.clock.now_ns() < started_ns + 2 * MAX_HOLD_MS * NS_PER_MS:
            self.clock.advance_ms(STEP_MS)
            self.tick()
        waited_ms = (self.clock.now_ns() - started_ns) // NS_PER_MS
        self.assertGreaterEqual(waited_ms, MAX_HOLD_MS)
        self.assertLess(waited_ms, 2 * MAX_HOLD_MS)

    def test_a_release_before_the_session_opens_is_known(self):
        """Guards against a shard that waits for the end of its longest grant, and a lost token."""
        self.receive(report(7))
        freed = (Handover(0, KEYS - 1, "token"),)
        self.receive(msgspec.structs.replace(report(8), holds=(), freed=freed))
        self.tick()
        self.assertEqual(self.held(), [])
        self.assertEqual([item.token for item in self.mover.holds.handovers([0])], ["token"])


if __name__ == "__main__":
    unittest.main()
