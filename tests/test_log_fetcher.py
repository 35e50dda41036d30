"""Fetches of missing log records from peers and the store."""

import unittest

from auburnsail._clock import NS_PER_MS
from auburnsail._log_follower import SECOND_SOURCE_DELAY_MS, LogFetcher

SIMULATED_MS = 2_500


class LogFetcherTest(unittest.TestCase):
    """Choice of a source when peers are slow, unresponsive or failing."""

    def setUp(self):
        """Two peers have version 5 and this node has version 3."""
        self.fetcher = LogFetcher("settings")
        self.fetcher.record_version(5, "silent:1")
        self.fetcher.record_version(5, "other:1")

    def test_an_unresponsive_peer_does_not_delay_the_log(self):
        """Guards against a late version because the first queried peer does not reply."""
        requests = []
        for ms in range(0, SIMULATED_MS, 50):
            fetch = self.fetcher.due(3, 1 + ms * NS_PER_MS)
            if fetch is not None:
                requests.append((ms, fetch.address))
        self.assertEqual({address for _, address in requests[:2]}, {"silent:1", "other:1"})
        self.assertLessEqual(requests[1][0], SECOND_SOURCE_DELAY_MS + 50)
        self.assertIn("", [address for _, address in requests], "the store is queried as well")

    def test_each_source_has_one_outstanding_fetch(self):
        """Guards against repeated fetches from a peer that has not replied to the first one."""
        addresses = []
        for ms in range(0, SIMULATED_MS, 50):
            fetch = self.fetcher.due(3, 1 + ms * NS_PER_MS)
            addresses += [fetch.address] if fetch is not None else []
        self.assertEqual(len(addresses), len(set(addresses)))

    def test_an_up_to_date_node_fetches_nothing(self):
        """Guards against fetches that continue after the newest version was received."""
        fetch = self.fetcher.due(3, 1)
        self.fetcher.finish(fetch.address, True, 5, 2)
        self.assertIsNone(self.fetcher.due(5, 10**12))

    def test_a_failed_peer_is_followed_by_the_store(self):
        """Guards against repeated fetches from the same failing peer."""
        fetch = self.fetcher.due(3, 1)
        self.fetcher.finish(fetch.address, False, 3, 2)
        next_fetch = self.fetcher.due(3, 10**9)
        self.assertEqual(next_fetch.address, "")

    def test_a_version_is_fetched_from_a_peer_that_has_it(self):
        """Guards against a read of the store for each entry, after a peer that lacked it.

        When many entries follow each other, most known peers have reported older versions only.
        """
        fetcher = LogFetcher("fleet")
        fetcher.record_version(5, "old:1")
        fetcher.record_version(5, "newer:1")
        fetcher.record_version(6, "newer:1")
        self.assertEqual(fetcher.due(5, 1).address, "newer:1")
        fetcher.finish("newer:1", True, 6, 2)
        fetcher.record_version(7, "old:1")
        self.assertEqual(fetcher.due(6, 10**9).address, "old:1")


if __name__ == "__main__":
    unittest.main()
