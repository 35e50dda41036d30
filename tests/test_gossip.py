"""Fetching what a node missed of the logs."""

import unittest

from auburnsail._clock import NS_PER_MS
from auburnsail._gossip import SECOND_SOURCE_DELAY_MS, LogFetcher

BOUND_MS = 2_500


class LogFetcherTest(unittest.TestCase):
    """Sources that answer late or not at all."""

    def setUp(self):
        """Two peers have version 5 and this node has version 3."""
        self.fetcher = LogFetcher("settings")
        self.fetcher.record_version(5, "silent:1")
        self.fetcher.record_version(5, "other:1")

    def test_a_silent_peer_does_not_hold_the_log_back(self):
        """Guards against a version that is in force too late because one answer does not come."""
        asked = []
        for ms in range(0, BOUND_MS, 50):
            fetch = self.fetcher.due(3, 1 + ms * NS_PER_MS)
            if fetch is not None:
                asked.append((ms, fetch.address))
        self.assertEqual({address for _, address in asked[:2]}, {"silent:1", "other:1"})
        self.assertLessEqual(asked[1][0], SECOND_SOURCE_DELAY_MS + 50)
        self.assertIn("", [address for _, address in asked], "the store is asked as well")

    def test_one_source_owes_one_answer(self):
        """Guards against a load of fetches on the peer that is slow already."""
        addresses = []
        for ms in range(0, BOUND_MS, 50):
            fetch = self.fetcher.due(3, 1 + ms * NS_PER_MS)
            addresses += [fetch.address] if fetch is not None else []
        self.assertEqual(len(addresses), len(set(addresses)))

    def test_nothing_is_fetched_when_the_node_is_up_to_date(self):
        """Guards against fetches that go on for ever."""
        fetch = self.fetcher.due(3, 1)
        self.fetcher.finish(fetch.address, True, 5, 2)
        self.assertIsNone(self.fetcher.due(5, 10**12))

    def test_a_failed_peer_is_followed_by_the_store(self):
        """Guards against asking the same failing peer again and again."""
        fetch = self.fetcher.due(3, 1)
        self.fetcher.finish(fetch.address, False, 3, 2)
        following = self.fetcher.due(3, 10**9)
        self.assertEqual(following.address, "")


if __name__ == "__main__":
    unittest.main()
