"""Calls to the store when many nodes start at the same time."""

import random
import unittest

from auburnsail._clock import NS_PER_MS, BootClock
from auburnsail._effects import Appended, Superseded
from auburnsail._fleet import FleetState
from auburnsail._io import Callbacks, NodeIo
from auburnsail._model import Entry, Join, Leave, Session, SessionId, decode_entry, encode_entry
from auburnsail._outbox import Outbox
from auburnsail._proposal_router import ProposalRouter
from auburnsail._recorder import GROUP_INTERVAL_MS, Recorder
from auburnsail._replica import Replica
from auburnsail._store import Committed, Conflict, Row
from auburnsail._versioned_log import LogRecord, PositionTakenError, VersionedLog
from tests.fake_table import FakeTable

NODES = 195
# Proposals of nodes that start within 0.3 s arrive while they read the log and get their reports.
ARRIVAL_MS = 2_000
APPEND_MS = 20


def join(name: str) -> Join:
    """Returns the command that opens a session of the node with this name."""
    address = f"{name}:1"
    session = Session(SessionId(name, 1), "r", "d", address, address, "s", 4)
    return Join(f"join:{name}", session)


class CountingTable(FakeTable):
    """A store that states the row that exists in its answer to a conflict, as the platform does.

    Attributes:
        calls: Names of the calls so far.
    """

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[str] = []

    def read(self, key: str) -> Row | None:
        """Counts the call."""
        self.calls.append("read")
        return super().read(key)

    def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Counts the call."""
        self.calls.append("scan")
        return super().scan(prefix, after, limit)

    def commit(self, transaction) -> Committed | Conflict:
        """Counts the call and adds the rows that exist to a conflict."""
        self.calls.append("commit")
        result = super().commit(transaction)
        if isinstance(result, Committed):
            return result
        present = (self.rows.get(check.key) for check in transaction.checks)
        return Conflict(result.detail, tuple(row for row in present if row is not None))


class GroupCommitTest(unittest.TestCase):
    """Entries for the joins of a whole fleet."""

    def test_joins_of_a_starting_fleet_share_few_entries(self):
        """Guards against an entry, and a call, for each node of a fleet that starts.

        With an append of 20 ms and a proposal each 10 ms the recorder wrote 98 entries.
        """
        fleet, recorder = FleetState(), Recorder(random.Random(1))
        arrivals = [number * ARRIVAL_MS // NODES for number in range(NODES)]
        appends, replies = 0, []
        for now_ms in range(ARRIVAL_MS + 1_000):
            while arrivals and arrivals[0] <= now_ms:
                number = NODES - len(arrivals)
                arrivals.pop(0)
                recorder.propose(f"join:n{number}", (join(f"n{number}"),))
            if replies and replies[0][0] <= now_ms:
                _, request = replies.pop()
                data = recorder.on_reply(request.ticket, Appended(), now_ms * NS_PER_MS)
                entry = decode_entry(data)
                fleet.apply(entry)
                recorder.on_applied(entry)
            request = recorder.tick(now_ms * NS_PER_MS, fleet)
            if request is not None:
                appends += 1
                replies.append((now_ms + APPEND_MS, request))
        self.assertEqual((len(fleet.sessions), recorder.pending), (NODES, 0))
        self.assertLessEqual(appends, ARRIVAL_MS // GROUP_INTERVAL_MS + 2)

    def test_commands_that_move_keys_do_not_wait(self):
        """Guards against keys without an owner for longer because joins are grouped."""
        fleet, recorder = FleetState(), Recorder(random.Random(1))
        fleet.apply(Entry(1, b"", "x", (join("a"),)))
        recorder.propose("join:b", (join("b"),))
        request = recorder.tick(NS_PER_MS, fleet)
        entry = decode_entry(request.data)
        recorder.on_reply(request.ticket, Appended(), 2 * NS_PER_MS)
        fleet.apply(entry)
        recorder.on_applied(entry)
        recorder.propose("join:c", (join("c"),))
        self.assertIsNone(recorder.tick(3 * NS_PER_MS, fleet))
        recorder.propose("leave:a", (Leave("leave:a", SessionId("a", 1)),))
        commands = decode_entry(recorder.tick(4 * NS_PER_MS, fleet).data).commands
        self.assertEqual({command.id for command in commands}, {"join:c", "leave:a"})


class ConflictTest(unittest.TestCase):
    """An append whose position another node has taken."""

    def setUp(self):
        """Another node has written the first entry."""
        self.table = CountingTable()
        self.log = VersionedLog(self.table, "fleet")
        self.first = Entry(1, b"", "other", (join("other"),))
        self.log.append(0, "other", encode_entry(self.first))
        self.table.calls.clear()

    def test_a_conflict_states_the_other_record_without_a_read(self):
        """Guards against two reads for each of the conflicts of a fleet that starts."""
        with self.assertRaises(PositionTakenError) as caught:
            self.log.append(0, "mine", b"x")
        self.assertEqual(caught.exception.record, LogRecord(1, "other", encode_entry(self.first)))
        self.assertEqual(self.log.append(0, "other", encode_entry(self.first)), 1)
        self.assertEqual(self.table.calls, ["commit", "commit"])

    def test_the_first_conflict_costs_one_call_and_the_next_one_reads_the_log(self):
        """Guards against a conflict for each entry that a node lacks."""
        replies = []
        callbacks = Callbacks(lambda ticket, reply: replies.append(reply), *[lambda *_: None] * 4)
        io = NodeIo(
            self.table, None, FleetState(), *[None] * 2, callbacks, str, None, BootClock(), None
        )
        recorder = Recorder(random.Random(1))
        recorder.propose("mine", (join("mine"),))
        io._append(recorder.tick(1, FleetState()))
        self.assertEqual(replies, [Superseded(((1, encode_entry(self.first)),))])
        self.assertEqual(self.table.calls, ["commit"])
        io._append(recorder._store_request(recorder._outstanding))
        self.assertEqual(self.table.calls, ["commit", "commit", "scan"])

    def test_a_node_hands_its_proposal_to_the_recorder_that_a_conflict_shows(self):
        """Guards against nodes that go on to append against each other when a fleet starts."""
        fleet = FleetState()
        outbox = Outbox(fleet, None)
        sent = []
        outbox.send_to = lambda targets, message, exclude="": sent.append((targets, message))
        router = ProposalRouter(
            "mine:1", "r", fleet, outbox, random.Random(1), lambda lost, candidates: {}
        )
        router.propose((join("mine"),))
        router.tick(None, 1)
        (request,) = outbox.drain()
        reply = Superseded(((1, encode_entry(self.first)),))
        router.on_store_reply(request.ticket, reply, 2 * NS_PER_MS)
        fleet.apply(self.first)
        router.on_applied(self.first)
        router.hand_over(None, 3 * NS_PER_MS)
        router.tick(None, 10**12)
        self.assertEqual(next(targets for targets, _ in sent), (SessionId("other", 1),))
        self.assertEqual(outbox.drain(), [])


class PollTest(unittest.TestCase):
    """Polls of the store by nodes that peers notify, and by those that they may not."""

    def polls(self, seconds: int, *, is_detached: bool) -> int:
        """Returns the number of polls of a node in a time without entries."""
        fleet = FleetState()
        fleet.apply(Entry(1, b"", "x", (join("a"),)))
        replica, count = Replica(fleet, random.Random(1)), 0
        for now_ms in range(0, seconds * 1_000, 50):
            now_ns = now_ms * NS_PER_MS
            if replica.poll_due(now_ns, is_detached=is_detached):
                replica.poll(now_ns, "")
                count += 1
        return count

    def test_most_nodes_poll_rarely_and_detached_ones_often(self):
        """Guards against reads of the store that grow with the fleet, and against old maps."""
        self.assertLessEqual(self.polls(60, is_detached=False), 1)
        self.assertGreaterEqual(self.polls(60, is_detached=True), 30)

    def test_a_node_that_becomes_detached_polls_within_the_short_interval(self):
        """Guards against a node that waits for a poll scheduled while peers notified it."""
        fleet = FleetState()
        fleet.apply(Entry(1, b"", "x", (join("a"),)))
        replica = Replica(fleet, random.Random(1))
        replica.poll(0, "")
        self.assertFalse(replica.poll_due(10**9, is_detached=True))
        self.assertTrue(replica.poll_due(2 * 10**9, is_detached=True))


if __name__ == "__main__":
    unittest.main()
