"""Tests that each fault of the platform stand-in has its documented effect."""

import subprocess
import sys
import unittest

import msgspec

from auburnsail._pool import HttpPeer
from auburnsail._store import Check, HttpObjectStore, HttpTableStore, Put, Transaction
from auburnsail.exceptions import OutcomeUnknownError, StoreUnavailableError
from tests.fleet import ROOT, wait_until
from tools.ports import reserve_port


class PlatformTest(unittest.TestCase):
    """Tests that share one process of the platform stand-in."""

    @classmethod
    def setUpClass(cls):
        """Starts the process and creates clients."""
        address = f"127.0.0.1:{reserve_port()}"
        command = [sys.executable, "-m", "standins.platform", "--listen", address]
        process = subprocess.Popen(command, cwd=ROOT)
        cls.addClassCleanup(process.wait)
        cls.addClassCleanup(process.kill)
        cls.admin = HttpPeer(address)
        wait_until(lambda: cls.set_faults()["faults"] is not None, "platform start")
        cls.table = HttpTableStore(f"http://{address}", timeout_s=0.5)
        cls.objects = HttpObjectStore(f"http://{address}", timeout_s=0.5)

    @classmethod
    def set_faults(cls, **faults) -> dict:
        """Replaces the faults and returns faults and counters."""
        body = msgspec.json.encode(faults)
        return msgspec.json.decode(cls.admin.fetch("POST", "/admin/faults", body, timeout_s=2).body)

    def commit(self, key: str, version: int):
        """Writes a row that must have a version."""
        return self.table.commit(Transaction((Check(key, version),), (Put(key, b"v"),)))

    def test_late_commit_takes_effect_after_the_connection_ended(self):
        """Guards against late commits that a read right after the lost response already sees.

        The fault could then not reveal a client that takes such a read for the final outcome.
        """
        self.set_faults(land_late=1.0, land_late_ms=150)
        with self.assertRaises(OutcomeUnknownError):
            self.commit("late", 0)
        self.assertIsNone(self.table.read("late"))
        wait_until(lambda: self.table.read("late") is not None, "late commit", 2.0)
        self.assertEqual(self.set_faults()["counters"]["landed_late"], 1)

    def test_outages_and_limits_refuse_without_effect(self):
        """Guards against outages and rate limits during which writes still take effect."""
        for faults in ({"down": True}, {"writes_per_s": 0.001}):
            self.set_faults(**faults)
            with self.assertRaises(StoreUnavailableError):
                self.commit("never", 0)
        self.set_faults(hang=True)
        with self.assertRaises(OutcomeUnknownError):
            self.commit("never", 0)
        counters = self.set_faults()["counters"]
        self.assertIsNone(self.table.read("never"))
        self.assertGreater(counters["unavailable"], 0)

    def test_objects_fail_independently_of_the_table(self):
        """Guards against object faults that affect the table, and cut bodies that arrive whole."""
        self.objects.put("o", bytes(1000))
        self.set_faults(objects_cut=1.0)
        with self.assertRaises(StoreUnavailableError):
            self.objects.get("o")
        self.set_faults(objects_down=True)
        with self.assertRaises(StoreUnavailableError):
            self.objects.get("o")
        self.commit("table", 0)
        self.set_faults()
        self.assertEqual(len(self.objects.get("o")), 1000)
