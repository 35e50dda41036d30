"""Holds of an upstream that receives its keys in answers to its reports."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from auburnsail._clock import NS_PER_MS
from auburnsail._holds import SLOW_CLOCK_FACTOR, GrantedRange, HeldRange, HoldTable
from auburnsail._model import Handover

SHARDS, KEYS, MAX_HOLD_MS = 64, 1024, 2_500
WIDTH = KEYS // SHARDS


def table() -> HoldTable:
    """Returns an empty table."""
    return HoldTable(SHARDS, KEYS, MAX_HOLD_MS)


class HoldTableTest(unittest.TestCase):
    """Grants, releases and handovers of the hold table."""

    def test_a_grant_ends_with_the_lease_on_a_slow_clock(self):
        """Guards against an upstream that serves after the lease because its clock is 2 % slow."""
        lease_end_ns = 1_700 * NS_PER_MS
        grants = table().grant(range(8), set(), 5, lease_end_ns, 0)
        self.assertLessEqual(grants.hold_ms * SLOW_CLOCK_FACTOR, 1_700)
        self.assertGreater(grants.hold_ms, 1_600)

    def test_a_grant_is_limited_by_the_remaining_lease(self):
        """Guards against a grant that outlasts the lease when a report arrives late in it."""
        lease_end_ns = 2_000 * NS_PER_MS
        grants = table().grant(range(8), set(), 5, lease_end_ns, 1_500 * NS_PER_MS)
        self.assertLessEqual(grants.hold_ms, 500)
        self.assertEqual(table().grant(range(8), set(), 5, lease_end_ns, lease_end_ns).rows, ())

    def test_a_released_shard_is_free_after_its_release_or_expiry(self):
        """Guards against a transfer while the previous holder may still run requests."""
        holds = table()
        holds.grant(range(8), set(), 5, 2_000 * NS_PER_MS, 0)
        holds.grant(range(8), {3}, 5, 2_000 * NS_PER_MS, 100 * NS_PER_MS)
        self.assertFalse(holds.may_run(3, 101 * NS_PER_MS))
        self.assertFalse(holds.is_free(3, 150 * NS_PER_MS))
        holds.on_report((), (Handover(3 * WIDTH, 4 * WIDTH - 1, "t"),), 160 * NS_PER_MS)
        self.assertTrue(holds.is_free(3, 160 * NS_PER_MS))
        self.assertEqual(holds.handovers([3]), (Handover(3 * WIDTH, 4 * WIDTH - 1, "t"),))
        self.assertFalse(holds.is_free(4, 160 * NS_PER_MS))
        self.assertTrue(holds.is_free(4, 2_100 * NS_PER_MS))

    def test_a_restarted_node_respects_grants_of_its_predecessor(self):
        """Guards against a transfer of keys that an earlier process of the node had granted.

        A restarted node knows of these grants only from the upstream's report.
        """
        holds = table()
        holds.on_report((HeldRange(0, 2 * WIDTH - 1, 5),), (), 0)
        self.assertFalse(holds.is_free(1, 1_000 * NS_PER_MS))
        self.assertTrue(holds.is_free(1, MAX_HOLD_MS * NS_PER_MS))
        self.assertTrue(holds.is_free(2, 0))

    def test_a_shard_with_a_key_in_use_is_held(self):
        """Guards against OWNER: a range that covers a shard in part was taken for free.

        Upstreams report single keys on which they still work, also of a range that they release.
        """
        holds = table()
        holds.grant(range(8), set(), 5, 2_000 * NS_PER_MS, 0)
        holds.grant(range(8), {3}, 5, 2_000 * NS_PER_MS, 100 * NS_PER_MS)
        in_use = (HeldRange(3 * WIDTH + 2, 3 * WIDTH + 2, 5),)
        freed = (Handover(3 * WIDTH, 4 * WIDTH - 1, "t"),)
        self.assertEqual(holds.on_report(in_use, freed, 150 * NS_PER_MS), ())
        self.assertFalse(holds.is_free(3, 160 * NS_PER_MS))
        self.assertEqual(holds.on_report((), (), 200 * NS_PER_MS), (3,))
        self.assertTrue(holds.is_free(3, 200 * NS_PER_MS))
        self.assertEqual(holds.handovers([3])[0].token, "t")
        later = table()
        later.on_report(in_use, (), 0)
        self.assertFalse(later.is_free(3, 1))
        self.assertTrue(later.is_free(2, 1) and later.is_free(4, 1))

    def test_a_restarted_upstream_holds_nothing(self):
        """Guards against waiting for holds of an upstream process that has ended."""
        holds = table()
        holds.grant(range(8), set(), 5, 2_000 * NS_PER_MS, 0)
        holds.clear_holds()
        self.assertTrue(holds.is_free(0, 1))
        self.assertFalse(holds.may_run(0, 1))

    def test_a_handover_reaches_the_next_holder_once(self):
        """Guards against a cold start after a planned move because the handover was lost."""
        holds = table()
        holds.add_incoming_handovers((Handover(2 * WIDTH, 3 * WIDTH - 1, "t"),))
        rows = holds.grant(range(8), set(), 9, 2_000 * NS_PER_MS, 0).rows
        self.assertEqual(
            rows,
            (
                GrantedRange(0, 2 * WIDTH - 1, 9),
                GrantedRange(2 * WIDTH, 3 * WIDTH - 1, 9, "t"),
                GrantedRange(3 * WIDTH, 8 * WIDTH - 1, 9),
            ),
        )
        holds.drop_received_handovers((HeldRange(0, 8 * WIDTH - 1, 9),))
        self.assertEqual(len(holds.grant(range(8), set(), 9, 2_000 * NS_PER_MS, 0).rows), 1)

    @given(st.integers(0, 1 << 32))
    def test_no_shard_is_free_while_the_upstream_may_hold_it(self, seed):
        """Guards against an early transfer after random releases and late or lost answers."""
        rng, holds, now_ms = random.Random(seed), table(), 0
        held_until: dict[int, float] = {}
        for _ in range(30):
            sent_ms = now_ms
            now_ms += rng.randrange(0, 900)
            lease_end_ms = now_ms + rng.randrange(0, MAX_HOLD_MS)
            releasing = {shard for shard in range(SHARDS) if rng.random() < 0.2}
            freed = [s for s in releasing if rng.random() < 0.5 and not holds._granted[s]]
            for shard in freed:
                held_until.pop(shard, None)
            rows = tuple(Handover(s * WIDTH, (s + 1) * WIDTH - 1, "t") for s in freed)
            holds.on_report((), rows, now_ms * NS_PER_MS)
            owned = rng.sample(range(SHARDS), 40)
            grants = holds.grant(owned, releasing, 1, lease_end_ms * NS_PER_MS, now_ms * NS_PER_MS)
            if rng.random() < 0.7:
                for shard in set(owned) - releasing if grants.hold_ms else ():
                    held_until[shard] = sent_ms + grants.hold_ms * SLOW_CLOCK_FACTOR
            for shard, until_ms in held_until.items():
                if until_ms > now_ms:
                    self.assertFalse(holds.is_free(shard, now_ms * NS_PER_MS))


if __name__ == "__main__":
    unittest.main()
