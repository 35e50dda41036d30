"""Runs a fixed set of soak simulations; `make soak` and `make soak-mutations` run more."""

import unittest

from tools.soak import run_seed
from tools.soak_fleet import FleetSimulation
from tools.soak_mutations import MUTATIONS, find_violation
from tools.soak_nodes import KEYED_SERVICE

# In the last two, a peer's answer is late, which must not block all further fetches of a node.
SUB_SEEDS = (1, 2, 3, 5, 7, 1542588269, 4031118404)
# Mutations that the first run detects within the first second of virtual time.
QUICK_MUTATIONS = ("a lost answer counts as written", "settings appended where a record exists")
# Sub-seeds with upstreams that write answers once more and with rows of another writer in the fleet
# log, and the mutations that they detect.
ODD_SUB_SEEDS = (7, 15)
ODD_MUTATIONS = {
    "a row that is no entry of its position is not passed over": "P2",
    "an answer without the id of the request is relayed": "P3",
    "not run counts without the id of the request": "P4",
    "a request uses a connection again on which it was refused": "P4",
}
# A sub-seed with faults of the watchers of one session and requests that are late at an upstream.
OWNERSHIP_SUB_SEED = 1


class SoakTest(unittest.TestCase):
    """Soak simulations of the shipped decision code and request path in virtual time."""

    @classmethod
    def setUpClass(cls):
        cls.results = {sub_seed: run_seed(sub_seed) for sub_seed in SUB_SEEDS}

    def test_no_guarantee_is_violated(self):
        """Guards against violations of P1 to P8 and against runs that do not exercise the code."""
        for sub_seed, result in self.results.items():
            with self.subTest(sub_seed=sub_seed):
                self.assertEqual(result.guarantee, "", (result.detail, result.trace))
                for name in ("takeovers", "moves", "stops", "settings", "responses", "not_run"):
                    self.assertGreater(result.counts[name], 0, name)

    def test_same_sub_seed_gives_the_same_run(self):
        """Guards against hidden randomness: a failure must be reproducible by its sub-seed."""
        self.assertEqual(run_seed(2).digest, self.results[2].digest)

    def test_detects_a_disabled_rule(self):
        """Guards against checks that cannot fail; `make soak-mutations` tests all mutations."""
        for mutation in MUTATIONS:
            if mutation.name in QUICK_MUTATIONS:
                with self.subTest(mutation.name):
                    result, _ = find_violation(mutation, sub_seeds=1)
                    self.assertEqual(result.guarantee, mutation.guarantee)

    def test_watchers_are_disturbed_and_requests_arrive_after_their_grant(self):
        """Guards against runs in which no watcher restarts and no grant meets an upstream late."""
        result = self.results[OWNERSHIP_SUB_SEED]
        for name in ("watcher-cut", "watcher-restart"):
            self.assertGreater(result.faults[name], 0, name)
        self.assertGreater(result.counts["fenced"], 0)

    def test_detects_odd_entries_and_repeated_answers_that_count(self):
        """Guards against runs in which no copy of an answer and no foreign row meets a node.

        A copy must also reach a further attempt of the request whose refusal it is.
        """
        faults = self.results[ODD_SUB_SEEDS[0]].faults
        for name in ("repeated-answer-at-once", "repeated-answer-late", "repeated-answer-next"):
            self.assertGreater(faults[name], 0, name)
        self.assertGreater(faults["foreign-row"], 0)
        mutations = {mutation.name: mutation for mutation in MUTATIONS}
        for name, guarantee in ODD_MUTATIONS.items():
            with self.subTest(name), mutations[name].active():
                results = map(run_seed, ODD_SUB_SEEDS)
                detections = ((result.guarantee, result.found_by) for result in results)
                self.assertIn((guarantee, "ledger"), detections)


class SingleOwnerCheckTest(unittest.TestCase):
    """The check for two owners of a shard, which keeps the shards that each node would serve."""

    def test_shards_of_a_node_are_determined_again_after_each_release(self):
        """Guards against a violation that is none, and against one that is not seen.

        A node that ended the release of some shards and began that of as many others, at the same
        version of the log, counted as serving the wrong ones (sub-seed 195 on 78ad48c).
        """
        sim = FleetSimulation(1, nodes=4)
        sim.run(4000)
        node = sim.nodes[0]
        row = node.fleet.sessions[node.membership.own_id]
        target = sim.nodes[1].membership.own_id
        shards = node.fleet.shards_of(row)[:2]
        for shard, other in (shards, reversed(shards)):
            node.mover._releases.clear()
            node.mover.move(KEYED_SERVICE, [shard], target, node.now(sim.now_ns))
            sim.check_single_owner()
            self.assertNotIn(shard, node.served_cache[1])
            self.assertIn(other, node.served_cache[1])


if __name__ == "__main__":
    unittest.main()
