"""Log lines about a full link and about log fetches."""

import unittest

from auburnsail._clock import ManualClock
from auburnsail._decision_facts import fetch_facts, is_notable
from auburnsail._effects import FetchLog, LogName
from auburnsail._io import FetchResult
from auburnsail._link_pacer import PAYLOAD_FRACTION, LinkPacer
from auburnsail._link_sender import LinkSender
from auburnsail._log_follower import LogFetcher

LINK_BYTES_PER_S = 7.5 * 125_000


class LinkLogTest(unittest.TestCase):
    """The log must let an engineer on call distinguish a full link from a slow peer."""

    def test_a_full_link_is_reported_when_it_fills_and_when_it_recovers(self):
        """Guards against calls that are delayed by downloads without a log line about it."""
        clock = ManualClock(10**9)
        sender = LinkSender(LinkPacer(LINK_BYTES_PER_S), clock)
        sender.record_sent(400)
        self.assertEqual(sender.state_change(clock.now_ns()), "")
        sender.record_sent(180_000)
        self.assertEqual(sender.state_change(clock.now_ns()), "full")
        expected_ms = 180_400 / (LINK_BYTES_PER_S * PAYLOAD_FRACTION) * 1_000
        self.assertAlmostEqual(sender.stats()["link_queue_ms"], expected_ms, delta=1)
        clock.advance_ms(50)
        self.assertEqual(sender.state_change(clock.now_ns()), "")
        clock.advance_ms(200)
        self.assertEqual(sender.state_change(clock.now_ns()), "has room again")
        self.assertEqual(sender.stats()["link_queue_ms"], 0)
        self.assertGreater(sender.stats()["link_longest_queue_ms"], 200)

    def test_a_link_of_unknown_bandwidth_is_never_full(self):
        """Guards against log lines about links without a configured bandwidth."""
        sender = LinkSender(LinkPacer(), ManualClock(1))
        sender.record_sent(10**9)
        self.assertEqual(sender.state_change(2), "")

    def test_a_fetch_is_logged_with_source_reason_and_duration(self):
        """Guards against a late version whose requested source cannot be found in the log."""
        fetcher = LogFetcher(LogName.SETTINGS)
        fetcher.record_version(9, "a:1", 50)
        fetcher.record_version(9, "b:1", 60)
        first, second = fetcher.due(7, 100), fetcher.due(7, 100 + 10**9)
        self.assertEqual(fetcher.newest_ns, 50)
        self.assertEqual(
            fetch_facts(FetchResult(first, 12, 3_000)),
            {
                "log": "settings",
                "source": first.address,
                "why": "a peer has more",
                "after": 7,
                "newest": 9,
                "bytes": 3_000,
                "took_ms": 12,
            },
        )
        self.assertEqual(second.reason, "another source is silent")

    def test_routine_fetches_of_the_fleet_log_are_not_logged(self):
        """Guards against a log line on each node for each entry of the fleet log."""
        fleet, settings = FetchLog(LogName.FLEET, 1, "a:1"), FetchLog(LogName.SETTINGS, 1, "a:1")
        self.assertFalse(is_notable(FetchResult(fleet, 20, 300)))
        self.assertTrue(is_notable(FetchResult(fleet, 400, 300)))
        self.assertTrue(is_notable(FetchResult(fleet, 20, 0, "status 503")))
        self.assertTrue(is_notable(FetchResult(settings, 20, 300)))


if __name__ == "__main__":
    unittest.main()
