"""Tests of the feasibility guard of drains."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnsail._drain_guard import Demand, PlannedDrain, plan_all
from auburnsail._model import SessionId

A, B, C = (SessionId(name, 1) for name in "abc")
TARGET_SETS = st.sampled_from([frozenset({A}), frozenset({A, B}), frozenset({A, B, C})])
# Whole numbers, so that sums are exact.
DEMANDS = st.lists(st.tuples(st.integers(1, 9), TARGET_SETS), min_size=1, max_size=14)
OTHER_MOVES = st.lists(st.tuples(st.sampled_from([A, B, C]), st.integers(1, 9)), max_size=8)


class PlannedDrainTest(unittest.TestCase):
    """Drains whose room becomes ready in steps and is also used by moves of other owners."""

    @settings(max_examples=300)
    @given(DEMANDS, st.integers(0, 20), OTHER_MOVES, st.randoms(use_true_random=False))
    def test_a_feasible_drain_is_completed_without_overfilling(
        self, drawn_demands, initial_room, other_moves, rng
    ):
        """Guards against a shard without a target after an early move or another owner's move."""
        demands = [Demand(shard, load, group) for shard, (load, group) in enumerate(drawn_demands)]
        room = {A: initial_room, B: initial_room, C: initial_room}
        while plan_all(demands, room) is None:
            room = {target: size + 1 for target, size in room.items()}
        drain = PlannedDrain(demands, room)
        waiting = {demand.shard: demand for demand in demands}
        for step in range(len(other_moves) + 1):
            last = step == len(other_moves)
            ready = {
                target: size if last else rng.randint(0, size) for target, size in room.items()
            }
            for move in drain.select(ready):
                demand = waiting.pop(move.shard)
                self.assertIn(move.target, demand.targets)
                ready[move.target] -= demand.load
                room[move.target] -= demand.load
                self.assertGreaterEqual(ready[move.target], 0)
            if not last and drain.allows(other_moves[step][1], other_moves[step][0]):
                room[other_moves[step][0]] -= other_moves[step][1]
                drain.set_room(other_moves[step][0], room[other_moves[step][0]])
        self.assertEqual(waiting, {})
        self.assertEqual(drain.outstanding, [])

    def test_room_that_only_one_shard_can_use_is_kept(self):
        """Guards against a shard with two targets that takes the only target of another shard."""
        demands = [Demand(1, 4, frozenset({A, B})), Demand(2, 4, frozenset({A}))]
        drain = PlannedDrain(demands, {A: 5, B: 4})
        self.assertEqual(drain.select({A: 3, B: 0}), [])
        self.assertFalse(drain.allows(2, A))
        moves = {move.shard: move.target for move in drain.select({A: 5, B: 0})}
        self.assertEqual(moves, {2: A})
        self.assertEqual({m.shard: m.target for m in drain.select({A: 1, B: 4})}, {1: B})
