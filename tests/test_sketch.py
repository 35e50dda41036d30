"""Tests of the heavy-hitter sketch and the shard loads."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from auburnsail._sketch import HeavyHitters, ShardLoads

NS_PER_S = 1_000_000_000
# Weights and decay factors are exact in binary, so the bounds are checked without a tolerance.
STREAMS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from("abcdefghijkl"), st.integers(0, 1000)),
        st.sampled_from([0.5, 0.25]),
    ),
    max_size=120,
).filter(lambda stream: sum(isinstance(item, float) for item in stream) < 8)


class HeavyHittersTest(unittest.TestCase):
    """Error bounds of the space-saving sketch."""

    @given(STREAMS, st.integers(1, 14))
    def test_documented_bounds_hold(self, stream, capacity):
        """Guards against a hot key without a counter, or a weight outside the documented bounds."""
        sketch = HeavyHitters(capacity)
        exact_weights = Counter()
        for item in stream:
            if isinstance(item, float):
                sketch.decay(item)
                exact_weights = Counter(
                    {key: weight * item for key, weight in exact_weights.items()}
                )
            else:
                sketch.add(*item)
                exact_weights[item[0]] += item[1]
        hitters = {hitter.key: hitter for hitter in sketch.top(capacity)}
        bound = sum(exact_weights.values()) / capacity
        self.assertLessEqual(len(sketch), capacity)
        self.assertEqual(sketch.total, sum(exact_weights.values()))
        for key, hitter in hitters.items():
            self.assertLessEqual(exact_weights[key], hitter.weight)
            self.assertLessEqual(hitter.weight - hitter.error, exact_weights[key])
            self.assertLessEqual(hitter.error, bound)
        for key, weight in exact_weights.items():
            if weight > bound:
                self.assertIn(key, hitters)


class ShardLoadsTest(unittest.TestCase):
    """Decayed busy slots per shard."""

    def test_load_follows_the_busy_time_with_the_half_life(self):
        """Guards against loads in the wrong unit and a decay that depends on the tick interval."""
        for tick_ms in (50, 1000):
            loads = ShardLoads(half_life_ms=10_000)
            for now_ms in range(0, 20_001, tick_ms):
                loads.tick(now_ms * 1_000_000)
                loads.record(7, tick_ms * 2_000_000)
            self.assertAlmostEqual(loads.loads[7], 2 * 0.75, places=9)

    def test_shards_that_moved_away_are_dropped(self):
        """Guards against memory that grows with every shard ever owned."""
        loads = ShardLoads()
        loads.set_load(1, 0.5)
        loads.record(2, 1)
        loads.retain([2, 3])
        loads.tick(0)
        loads.tick(NS_PER_S)
        self.assertEqual(set(loads.loads), {2, 3})
