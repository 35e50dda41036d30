"""Upstreams that leave: their keys, late reports of them, and restarts of the node beside them."""

import unittest

from tests.simulated_node import SHARDS, SimulatedNode

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


if __name__ == "__main__":
    unittest.main()
