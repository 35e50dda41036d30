"""A simulated fleet under random faults, with all rules and with single rules disabled."""

import unittest
from unittest import mock

from auburnsail import _rules
from auburnsail._checkpoint import dump_fleet, restore_fleet
from auburnsail._effects import Send
from auburnsail._fleet import FleetState
from auburnsail._messages import Ack, Codec, ProposalQueued, Renewal
from auburnsail._model import SessionId, Transfer, decode_entry
from auburnsail._moves import GateDecision
from auburnsail._watcher import Seal, Watcher
from auburnsail.exceptions import InvariantViolation
from tools.soak_fleet import FleetSimulation
from tools.soak_nodes import KEYED_SERVICE, SECRET, SHARDS, DoubleOwnershipError

FAULT_PERIOD_MS = 15_000
# Attribute of `_rules` and the function that replaces it, by the name of the rule.
DISABLED_RULES = {
    "a seal is final": ("may_ack_after_seal", lambda: True),
    "full silence": ("silence_before_seal_ns", lambda: 50_000_000),
    "two seals": ("seals_to_close", lambda watchers: min(1, watchers)),
    "echoed send time": ("lease_start_ns", lambda echo_ns, arrival_ns: arrival_ns),
    "definite answer": ("gives_up_on_outcome", lambda waited_ns: waited_ns > 300_000_000),
}


def run_faults(seed: int) -> FleetSimulation:
    """Returns a simulated fleet after random faults and a recovery period."""
    sim = FleetSimulation(seed)
    sim.lost_answer_share = 0.2
    sim.run(4000)
    end_ns = sim.now_ns + FAULT_PERIOD_MS * 1_000_000
    while sim.now_ns < end_ns:
        sim.inject_fault()
        sim.run(sim.rng.uniform(50, 800))
    sim.store_down = False
    sim.run(8000)
    return sim


class RandomFaultsTest(unittest.TestCase):
    """Random faults on six nodes in three regions."""

    def test_no_shard_has_two_owners_and_all_are_served_in_the_end(self):
        """Guards against two concurrent owners of a shard and against shards that stay unserved.

        Pauses, restarts, cut links, store outages, lost store replies, moves and repeated transfers
        happen at random; afterwards the fleet gets time to recover.
        """
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                self.assertEqual(run_faults(seed).count_served_shards(), SHARDS)

    def test_disabling_a_rule_causes_a_violation(self):
        """Guards against a rule without effect and against an ownership check that cannot fail.

        Each rule is disabled in turn; at least one of 39 seeds must report a violation.
        """
        for name, (attribute, replacement) in DISABLED_RULES.items():
            with self.subTest(rule=name), mock.patch.object(_rules, attribute, replacement):
                self.assertTrue(any(self.violates_ownership(seed) for seed in range(1, 40)))

    def violates_ownership(self, seed: int) -> bool:
        """Returns whether the run with a seed reports a violation."""
        try:
            run_faults(seed)
        except (DoubleOwnershipError, InvariantViolation):
            return True
        return False


class ScenarioTest(unittest.TestCase):
    """Single events in a fleet that serves all shards."""

    def setUp(self):
        """Starts a fleet without message loss and waits until it serves all shards."""
        self.sim = FleetSimulation(7, loss=0)
        self.sim.run(5000)
        self.assertEqual(self.sim.count_served_shards(), SHARDS)

    def test_lost_node_is_replaced_within_a_second(self):
        """Guards against a slow takeover from a lost node, also if it was the first recorder."""
        for number in range(3):
            self.sim.kill_node(number)
            self.sim.run(1000)
            self.assertEqual(self.sim.count_served_shards(), SHARDS)
            self.sim.start_node(number)
            self.sim.run(4000)

    def test_service_continues_without_the_store(self):
        """Guards against leases that expire because the store is down."""
        self.sim.store_down = True
        self.sim.run(10_000)
        self.assertEqual(self.sim.count_served_shards(), SHARDS)

    def test_new_recorder_polls_the_store_at_once(self):
        """Guards against settings changes that no node reads for 30 s (P8).

        The two sessions that poll for the fleet are killed. Their successors must poll at once and
        not wait for the next poll on their long interval.
        """
        for _ in range(3):
            node = self.sim.nodes[0]
            now_ns = node.now(self.sim.now_ns)
            polling = [n for n in self.sim.nodes.values() if self.is_polling(n)]
            self.assertEqual(len(polling), 2, now_ns)
            for each in polling:
                self.sim.kill_node(each.number)
            self.sim.run(3000)
            fetched = self.sim.event_counts["store-fetch"]
            self.sim.run(2500)
            self.assertGreaterEqual(self.sim.event_counts["store-fetch"] - fetched, 4)
            for each in polling:
                self.sim.start_node(each.number)
            self.sim.run(4000)

    def is_polling(self, node) -> bool:
        """Returns whether a node polls the store on behalf of the whole fleet."""
        membership = node.membership
        return membership.proposals.polls(membership.own_id, node.now(self.sim.now_ns))

    def test_late_copy_of_a_transfer_has_no_effect(self):
        """Guards against a repeated transfer that moves a shard again after it was moved back."""
        first, second = self.sim.nodes[0], self.sim.nodes[1]
        fleet, ids = first.fleet, (first.membership.own_id, second.membership.own_id)
        shard = fleet.shards_of(fleet.sessions[ids[0]])[0]
        copy = Transfer("copy", KEYED_SERVICE, *ids, (shard,), (fleet.epoch(KEYED_SERVICE, shard),))
        for source, target in ((first, ids[1]), (second, ids[0])):
            source.mover.move(KEYED_SERVICE, [shard], target, source.now(self.sim.now_ns))
            self.sim.run(400)
            self.assertEqual(fleet.owner(KEYED_SERVICE, shard).session.id, target)
        second.membership.proposals.propose((copy,))
        self.sim.run(400)
        self.assertTrue(second.membership.proposals.is_in_log("copy"))
        self.assertEqual(fleet.owner(KEYED_SERVICE, shard).session.id, ids[0])

    def test_a_restarted_watcher_does_not_acknowledge_renewals_of_its_predecessor(self):
        """Guards against a lease that a watcher extends although its predecessor sealed it.

        Which sessions the earlier incarnation sealed is lost when the process is restarted.
        """
        membership, holder = self.sim.nodes[0].membership, self.sim.nodes[1].membership.own_id
        own_id = membership.own_id
        now_ns = self.sim.nodes[0].now(self.sim.now_ns)
        codec = Codec(SECRET, 1)
        for incarnation, acknowledged in ((own_id.incarnation, 1), (own_id.incarnation - 1, 0)):
            renewal = Renewal(holder, SessionId(own_id.node, incarnation), now_ns, 0, 0)
            effects = membership.on_datagram(codec.encode(renewal), "holder", now_ns)
            sent = [codec.decode(effect.data) for effect in effects if isinstance(effect, Send)]
            acks = [message for message in sent if isinstance(message, Ack)]
            self.assertEqual(len(acks), acknowledged, incarnation)

    def test_log_entries_apply_on_top_of_a_checkpoint(self):
        """Guards against a different state on a node that joined from a checkpoint."""
        fleet = self.sim.nodes[0].fleet
        copy = FleetState()
        self.assertTrue(restore_fleet(copy, dump_fleet(fleet)))
        self.assertFalse(restore_fleet(copy, dump_fleet(fleet)))
        version = fleet.version
        self.sim.kill_node(5)
        self.sim.run(2000)
        self.assertGreater(fleet.version, version)
        for data in self.sim.fleet_log[version : fleet.version]:
            copy.apply(decode_entry(data))
        self.assertEqual(dump_fleet(copy), dump_fleet(fleet))

    def test_drain_waits_for_requests_in_flight(self):
        """Guards against moving a shard while its owner still runs a request for it."""
        node = self.sim.nodes[0]
        own_id = node.membership.own_id
        shard = node.fleet.shards_of(node.fleet.sessions[own_id])[0]
        self.assertEqual(
            node.mover.admit(KEYED_SERVICE, shard, node.now(self.sim.now_ns)), GateDecision.RUN
        )
        node.mover.drain("test", stopping=True)
        self.sim.run(2000)
        self.assertEqual(node.fleet.owner(KEYED_SERVICE, shard).session.id, own_id)
        self.assertEqual(self.sim.count_served_shards(), SHARDS - 1)
        node.mover.release(KEYED_SERVICE, shard)
        self.sim.run(1000)
        self.assertTrue(node.mover.finished)
        self.assertEqual(self.sim.count_served_shards(), SHARDS)


class WatcherTest(unittest.TestCase):
    """A single watcher without a fleet."""

    def test_a_seal_is_repeated_until_the_session_ends(self):
        """Guards against a session that stays open because a watcher missed one seal notice."""
        holder = SessionId("holder", 1)
        watcher = Watcher(SessionId("watcher", 1))
        watcher.add_holder(holder, 1, 0)
        seals = []
        for now_ns in range(0, 1_200_000_000, 50_000_000):
            seals += [action for action in watcher.tick(now_ns) if isinstance(action, Seal)]
        self.assertEqual([seal.is_new for seal in seals[:3]], [True, False, False])
        self.assertFalse(watcher.on_renewal(holder, 1_200_000_000))
        watcher.remove_holder(holder)
        self.assertEqual(watcher.tick(2_000_000_000), [])
        self.assertFalse(watcher.on_renewal(holder, 2_000_000_000))


class CodecTest(unittest.TestCase):
    """Rejection of forged, malformed and replayed datagrams."""

    def test_malformed_forged_and_replayed_datagrams_are_rejected_and_counted(self):
        """Guards against accepting messages from senders without the secret, or a message twice."""
        codec = Codec(SECRET, 1)
        sender = Codec(SECRET, 2)
        data = sender.encode(ProposalQueued("a"))
        self.assertEqual(codec.decode(data), ProposalQueued("a"))
        self.assertIsNone(codec.decode(data))
        self.assertIsNone(codec.decode(b""))
        self.assertIsNone(codec.decode(data[:-1] + bytes([data[-1] ^ 1])))
        self.assertIsNone(
            codec.decode(Codec("another secret of it", 2).encode(ProposalQueued("a")))
        )
        self.assertIsNone(codec.decode(codec.sign(b"\xc1")))
        self.assertEqual(codec.rejected, {"replay": 1, "tag": 3, "format": 1})

    def test_reordered_messages_are_accepted_once(self):
        """Guards against a replay window that drops reordered datagrams or accepts one twice."""
        sender, codec = Codec(SECRET, 2), Codec(SECRET, 1)
        sent = [sender.encode(ProposalQueued(str(number))) for number in range(70)]
        order = [*range(69, 10, -1), 3, *range(69, 60, -1)]
        accepted = [number for number in order if codec.decode(sent[number])]
        self.assertEqual(accepted, list(range(69, 10, -1)))


if __name__ == "__main__":
    unittest.main()
