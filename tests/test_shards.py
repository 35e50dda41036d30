"""The shard table and its index by owner."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from auburnsail._shards import ShardTable

SHARDS, OWNERS = 24, 4


class ShardTableTest(unittest.TestCase):
    """Lookups of the shards of an owner, with and without the index."""

    @given(st.lists(st.tuples(st.integers(0, SHARDS - 1), st.integers(0, OWNERS - 1))))
    def test_the_index_gives_the_same_shards_as_a_scan(self, steps):
        """Guards against an index by owner that assignments leave outdated."""
        table = ShardTable(SHARDS)
        with table.grouped_by_owner():
            for shard, owner in steps:
                table.assign(shard, owner, 1)
            indexed = [table.owned_by(owner) for owner in range(OWNERS)]
        self.assertEqual(indexed, [table.owned_by(owner) for owner in range(OWNERS)])
