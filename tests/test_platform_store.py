"""Client of the platform's store, tested against a stand-in for the store."""

import unittest

import gevent
import msgspec

from auburnsail._store import Check, Committed, Conflict, Put, Transaction
from auburnsail._versioned_log import VersionedLog
from auburnsail.exceptions import OutcomeUnknownError, StoreUnavailableError
from auburnsail.platform._desired_state import DesiredStateSettings, RetryLimits
from auburnsail.platform._store import PlatformObjects, PlatformStore, PlatformTable
from standins.platform_store import StoreStandIn


def encode_desired_state(version: int) -> bytes:
    """Encodes a desired state without resources."""
    return msgspec.json.encode({"version": version, "resources": []})


class PlatformStoreTest(unittest.TestCase):
    """Rows, versioned log, change feed and objects."""

    def setUp(self):
        """Starts the stand-in and creates clients."""
        self.standin = StoreStandIn()
        self.addCleanup(self.standin.stop)
        self.store = PlatformStore(self.standin.address)
        self.table = PlatformTable(self.store)

    def test_the_log_is_written_once_and_read_in_pages(self):
        """Guards against two entries at one version, and reads that end after the first page."""
        self.standin.page_size = 2
        log = VersionedLog(self.table, "fleet")
        for number in range(5):
            self.assertEqual(log.append(number, f"id{number}", b"%d" % number), number + 1)
        with self.assertRaisesRegex(Exception, "was taken"):
            log.append(2, "other", b"x")
        self.assertEqual(log.append(2, "id2", b"2"), 3)
        self.assertEqual([record.data for record in log.read_after(1)], [b"1", b"2", b"3", b"4"])

    def test_conditions_use_the_version_of_the_store(self):
        """Guards against a check of the number of writes of a row, which the store does not count.

        The version of a row is that of the whole store when the row was written.
        """
        self.standin.put("t", "other", b"x")
        check = Check("t/k", 0)
        put = (Put("t/k", b"v"),)
        self.assertEqual(self.table.commit(Transaction((check,), put)), Committed())
        self.assertIsInstance(self.table.commit(Transaction((check,), put)), Conflict)
        row = self.table.read("t/k")
        self.assertEqual((row.version, row.value), (2, b"v"))
        self.assertIsNone(self.table.read("t/none"))

    def test_a_refusal_is_definite_and_a_lost_answer_is_not(self):
        """Guards against retrying, with a new check, a commit that may still take effect."""
        transaction = Transaction((), (Put("t/k", b"v"),))
        for status in (429, 503):
            self.standin.forced_status = status
            with self.assertRaises(StoreUnavailableError):
                self.table.commit(transaction)
        self.standin.forced_status = 0
        self.standin.is_silent = True
        with self.assertRaises(OutcomeUnknownError):
            self.table.commit(transaction)
        with self.assertRaises(StoreUnavailableError):
            self.table.read("t/k")
        self.standin.is_silent = False

    def test_objects_are_stored_and_listed(self):
        """Guards against object names that are not converted back into keys."""
        objects = PlatformObjects(self.store)
        objects.put("fleet/checkpoint/1", b"one")
        self.assertEqual(objects.get("fleet/checkpoint/1"), b"one")
        self.assertIsNone(objects.get("fleet/checkpoint/2"))
        self.assertEqual(objects.keys("fleet/checkpoint/"), ["fleet/checkpoint/1"])

    def test_a_change_of_the_desired_state_ends_the_wait(self):
        """Guards against a desired state that takes effect only after the next poll."""
        settings = DesiredStateSettings(self.table, RetryLimits(0.2, 10))
        self.assertEqual(settings.wait_after(0), [])
        gevent.spawn_later(0.1, self.standin.put, "op", "config", encode_desired_state(3))
        with gevent.Timeout(2):
            self.assertEqual(settings.wait_after(0), [(3, encode_desired_state(3))])
        self.standin.put("op", "config", encode_desired_state(2))
        self.assertEqual(settings.wait_after(3), [], "an older state must not be returned")

    def test_the_state_is_read_directly_after_a_gap_or_an_outage(self):
        """Guards against a change that is lost in a gap of the change feed or during an outage."""
        settings = DesiredStateSettings(self.table, RetryLimits(0.2, 10))
        settings.wait_after(0)
        self.standin.put("op", "config", encode_desired_state(5))
        self.standin.oldest_version = self.standin.version + 1
        self.assertEqual(settings.wait_after(0), [])
        self.assertEqual(settings.wait_after(0), [(5, encode_desired_state(5))])
        self.standin.oldest_version = 0
        self.standin.forced_status = 503
        with self.assertRaises(StoreUnavailableError):
            settings.wait_after(5)
        self.standin.forced_status = 0
        self.standin.put("op", "config", encode_desired_state(6))
        self.assertEqual(settings.wait_after(5), [(6, encode_desired_state(6))])


if __name__ == "__main__":
    unittest.main()
