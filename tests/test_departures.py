"""Upstreams that leave: their keys, late reports of them, and restarts of the node beside them."""

import unittest

import msgspec

from auburnsail._control import Announcement
from auburnsail._model import Retire
from tests.simulated_node import SHARDS, SimulatedNode, SimulatedUpstream, with_state

ALL_SHARDS = list(range(SHARDS))
# The append of an entry takes less or more time than one tick.
APPEND_TIMES_MS = (10, 200)


class LastUpstreamTest(unittest.TestCase):
    """The only upstream of a keyed service drains; another one joins later."""

    def test_its_keys_are_not_given_away_while_it_holds_them(self):
        """Guards against OWNER: keys without a target were left without owner, and so assigned.

        The other upstream joins after the drain has found no target.
        """
        for append_ms in APPEND_TIMES_MS:
            for joins_after_ms in range(0, 6_000, 250):
                with self.subTest(append_ms=append_ms, joins_after_ms=joins_after_ms):
                    node = SimulatedNode(append_ms=append_ms)
                    node.open_with_all_keys()
                    node.simulated_upstream.state = "draining"
                    node.run(joins_after_ms, reports=True)
                    node.add_session("m")
                    node.run(8_000, reports=True)
                    self.assertEqual(node.owned(), [])

    def test_its_keys_are_served_while_there_is_no_other_upstream(self):
        """Guards against refusals of requests that the draining upstream may still run."""
        node = SimulatedNode(append_ms=200)
        node.open_with_all_keys()
        node.simulated_upstream.state = "draining"
        node.run(1_900, reports=True)
        now_ns = node.clock.now_ns()
        self.assertTrue(node.may_be_used())
        self.assertEqual(node.mover.admit("s", 0, now_ns).value, "")

    def test_its_keys_are_free_once_it_has_ended(self):
        """Guards against keys that stay with a node whose upstream is gone."""
        node = SimulatedNode()
        node.open_with_all_keys()
        node.simulated_upstream.state = "draining"
        node.run(3_000, reports=True)
        node.upstream.on_misdirected("another instance")
        node.run(500)
        node.add_session("m")
        node.run(500)
        self.assertEqual(node.owned(), [])


class LateReportTest(unittest.TestCase):
    """An upstream deregisters; a report that it sent before arrives later."""

    def check_unused(self, node: SimulatedNode) -> None:
        """Checks that no request reaches the upstream and that the fleet sends it none."""
        self.assertFalse(node.may_be_used())
        self.assertFalse(node.is_member())

    def test_a_late_report_does_not_bring_it_back(self):
        """Guards against DRAIN: the state of a late report replaced the deregistration."""
        for append_ms in APPEND_TIMES_MS:
            for late_ms in (1, 60, 1_000, 4_500):
                with self.subTest(append_ms=append_ms, late_ms=late_ms):
                    node = SimulatedNode(keyed=False, append_ms=append_ms)
                    node.open_with_all_keys()
                    late = node.simulated_upstream.report()
                    node.upstream.on_deregistration("i-n", 1000, "it ends")
                    node.run(late_ms)
                    node.receive(late, answered=False)
                    node.run(2_000)
                    self.check_unused(node)
                    node.run(500)
                    self.check_unused(node)

    def test_a_deregistration_without_a_report_since_the_start_is_remembered(self):
        """Guards against DRAIN: a new process acknowledges the deregistration and forgets it."""
        for born_ms in (0, 1000):
            for appears in (True, False):
                with self.subTest(born_ms=born_ms, appears=appears):
                    node = SimulatedNode(keyed=False)
                    node.open_with_all_keys()
                    late = node.simulated_upstream.report()
                    if appears:
                        node.start_process()
                    else:
                        node.run(4_000)
                    node.upstream.on_deregistration("i-n", born_ms, "it ends")
                    node.receive(late, answered=False)
                    node.run(2_000)
                    self.check_unused(node)

    def test_a_late_deregistration_of_an_ended_lifetime_drains_no_other_one(self):
        """Guards against a restarted upstream that is not used because its predecessor left."""
        node = SimulatedNode(keyed=False)
        node.open_with_all_keys()
        node.simulated_upstream = SimulatedUpstream(node.clock, born_ms=2000)
        node.run(1_000, reports=True)
        node.upstream.on_deregistration("i-n", 1000, "it ends")
        node.run(3_000, reports=True)
        self.assertTrue(node.may_be_used())
        self.assertEqual(node.own_row.session.lifetime, "i-n@2000")
        self.assertEqual(node.mover.drain_reason, "")

    def test_a_lifetime_that_deregisters_before_its_first_report_is_not_used(self):
        """Guards against DRAIN: reports after the deregistration were dropped as outdated.

        The earlier lifetime, which has ended, stayed in use at the same address and under the id.
        """
        node = SimulatedNode(keyed=False)
        node.open_with_all_keys()
        node.simulated_upstream = SimulatedUpstream(node.clock, born_ms=2000)
        node.upstream.on_deregistration("i-n", 2000, "it ends")
        node.run(2_000, reports=True)
        self.check_unused(node)

    def test_a_departed_lifetime_does_not_replace_the_next_one(self):
        """Guards against a late report of a departed lifetime whose clock was ahead."""
        node = SimulatedNode(keyed=False)
        node.open_with_all_keys()
        late = node.simulated_upstream.report()
        node.upstream.on_deregistration("i-n", 1000, "it ends")
        node.upstream.on_misdirected("another instance")
        node.simulated_upstream = SimulatedUpstream(node.clock, born_ms=500)
        node.run(2_500, reports=True)
        self.assertTrue(node.may_be_used())
        node.receive(late, answered=False)
        node.run(1_000, reports=True)
        self.assertTrue(node.may_be_used())
        self.assertEqual(node.own_row.session.lifetime, "i-n@500")


class RestartedNodeTest(unittest.TestCase):
    """The node is killed after it has acknowledged a departure, and starts again."""

    def depart(self, *, keyed: bool, append_ms: int, killed_after_ms: int) -> SimulatedNode:
        """Returns a node that has started again, before the first report to its new process."""
        node = SimulatedNode(keyed=keyed, append_ms=append_ms)
        node.open_with_all_keys()
        node.simulated_upstream.state = "draining"
        node.receive(node.simulated_upstream.report(), answered=False)
        node.acknowledge_departure()
        node.run(killed_after_ms)
        node.start_process()
        node.run(1_000)
        return node

    def check_unused(self, node: SimulatedNode) -> None:
        """Checks for 3 s of reports that no request reaches the upstream."""
        for _ in range(10):
            self.assertFalse(node.may_be_used())
            self.assertFalse(node.is_member())
            node.run(300, reports=True)

    def test_its_next_report_does_not_bring_the_upstream_back(self):
        """Guards against DRAIN: the time of the acknowledgement ended with the process.

        The first report to the new process comes more than `drain-ms` after the acknowledgement.
        """
        for keyed in (True, False):
            for append_ms in APPEND_TIMES_MS:
                for killed_after_ms in (0, 300, 1_500):
                    with self.subTest(keyed=keyed, append_ms=append_ms, after=killed_after_ms):
                        node = self.depart(
                            keyed=keyed, append_ms=append_ms, killed_after_ms=killed_after_ms
                        )
                        node.run(1_500)
                        node.receive(node.simulated_upstream.report())
                        self.check_unused(node)

    def test_a_late_report_does_not_bring_the_upstream_back(self):
        """Guards against DRAIN: a late report is the first one that the new process gets."""
        for keyed in (True, False):
            for append_ms in APPEND_TIMES_MS:
                with self.subTest(keyed=keyed, append_ms=append_ms):
                    node = self.depart(keyed=keyed, append_ms=append_ms, killed_after_ms=0)
                    late = with_state(node.simulated_upstream.report(), "ready")
                    node.receive(late, answered=False)
                    self.check_unused(node)

    def test_a_departure_that_lands_late_is_kept(self):
        """Guards against DRAIN: the log takes the departure after the new process has joined."""
        node = SimulatedNode(keyed=False)
        node.open_with_all_keys()
        node.start_process()
        node.receive(node.simulated_upstream.report())
        node.run(500)
        self.assertTrue(node.is_member())
        node.apply(Retire("late", "n", "i-n@1000"))
        node.run(100)
        self.assertFalse(node.may_be_used())
        self.assertFalse(node.is_member())

    def test_a_restart_without_a_departure_costs_no_service(self):
        """Guards against a node that refuses requests after its restart without need."""
        node = SimulatedNode(keyed=False)
        node.open_with_all_keys()
        node.start_process()
        node.receive(node.simulated_upstream.report())
        self.assertTrue(node.may_be_used())
        node.run(300)
        self.assertTrue(node.is_member())


class HoldsOfEarlierProcessTest(unittest.TestCase):
    """A process of the node that starts beside an upstream with grants of the one before."""

    def restart(self) -> tuple[SimulatedNode, Announcement]:
        """Returns a restarted node, and a report from before the grants of its predecessor."""
        node = SimulatedNode()
        node.open_with_all_keys()
        late = msgspec.structs.replace(node.simulated_upstream.report(), holds=())
        node.receive(node.simulated_upstream.report())
        node.start_process()
        return node, late

    def test_keys_that_a_late_first_report_does_not_name_are_held(self):
        """Guards against OWNER: the first report to a new process may be an old one."""
        node, late = self.restart()
        node.run(100)
        node.receive(late, answered=False)
        node.run(200)
        target = node.add_session("m")
        node.mover.move("s", ALL_SHARDS, target.id, node.clock.now_ns())
        node.run(5_000)

    def test_a_late_report_of_the_life_before_is_not_taken_for_the_present_one(self):
        """Guards against OWNER: the new process took the holds of the present life for ended.

        If the time of day has jumped back between the lives, the second report shows it.
        """
        node, _ = self.restart()
        late = msgspec.structs.replace(node.simulated_upstream.report(), born_ms=500)
        node.run(100)
        node.receive(late, answered=False)
        node.run(200)
        self.assertFalse(node.may_be_used())
        target = node.add_session("m")
        node.receive(node.simulated_upstream.report())
        node.run(300)
        self.assertEqual(node.own_row.session.lifetime, "i-n@1000")
        node.mover.move("s", ALL_SHARDS, target.id, node.clock.now_ns())
        node.run(5_000)
        node, _ = self.restart()
        node.simulated_upstream = SimulatedUpstream(node.clock, born_ms=500)
        node.run(1_500, reports=True)
        self.assertEqual(node.own_row.session.lifetime, "i-n@500")

    def test_one_report_and_then_silence(self):
        """Guards against OWNER: the upstream counts as lost before its recorded hold has ended."""
        node, _ = self.restart()
        node.run(1_000)
        # The answer does not arrive, so the hold of the earlier process runs on.
        node.receive(node.simulated_upstream.report(), answered=False)
        node.add_session("m")
        node.run(8_000)
        self.assertEqual(node.owned(), [])

    def test_keys_move_at_once_if_the_upstream_was_restarted_too(self):
        """Guards against keys that wait for a hold which ended with the upstream's process."""
        node, _ = self.restart()
        node.run(100)
        node.simulated_upstream = SimulatedUpstream(node.clock, born_ms=2000)
        node.receive(node.simulated_upstream.report())
        node.run(500)
        now_ns = node.clock.now_ns()
        self.assertEqual(node.owned(), ALL_SHARDS)
        self.assertTrue(all(node.mover.holds.is_free(shard, now_ns) for shard in ALL_SHARDS))

    def test_a_deregistration_to_a_new_process_is_recorded(self):
        """Guards against DRAIN: a further restart forgets a deregistration that came first."""
        node, late = self.restart()
        node.run(100)
        node.upstream.on_deregistration("i-n", 1000, "it ends")
        node.acknowledge_departure()
        self.assertTrue(node.own_row.session.is_leaving)
        node.start_process()
        node.run(100)
        node.receive(late, answered=False)
        self.assertFalse(node.may_be_used())
        node.add_session("m")
        node.run(6_000)
        self.assertEqual(node.owned(), [])


if __name__ == "__main__":
    unittest.main()
