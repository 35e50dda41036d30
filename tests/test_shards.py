"""The table of shards."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from auburnsail._shards import ShardTable

SHARDS, OWNERS = 24, 4


class ShardTableTest(unittest.TestCase):
    """Shards read by owner."""

    @given(st.lists(st.tuples(st.integers(0, SHARDS - 1), st.integers(0, OWNERS - 1))))
    def test_grouping_changes_no_answer(self, steps):
        """Guards against a grouping that an assignment leaves behind."""
        table = ShardTable(SHARDS)
        with table.grouped_by_owner():
            for shard, owner in steps:
                table.assign(shard, owner, 1)
            grouped_by_owner = [table.owned_by(owner) for owner in range(OWNERS)]
        self.assertEqual(grouped_by_owner, [table.owned_by(owner) for owner in range(OWNERS)])
