"""Tests of the faults, limits and ledger of the upstream stand-in."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import gevent
import msgspec

from auburnsail._pool import HttpPeer
from auburnsail.exceptions import OutcomeUnknownError
from standins.ledger import now_ns, read_ledger
from tests.fleet import ROOT, wait_until
from tools.ports import reserve_port

NS_PER_S = 1_000_000_000


class UpstreamTest(unittest.TestCase):
    """Each test runs its own process of the upstream stand-in."""

    def start(self, *arguments: str) -> HttpPeer:
        """Starts an upstream and returns a client for it."""
        address = f"127.0.0.1:{reserve_port()}"
        command = [sys.executable, "-m", "standins.upstream", "--name", "u", "--service", "s"]
        process = subprocess.Popen([*command, "--listen", address, *arguments], cwd=ROOT)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        peer = HttpPeer(address)
        wait_until(lambda: peer.fetch("GET", "/health", timeout_s=1).status == 200, "start")
        return peer

    def call(self, peer: HttpPeer, request_id: str, timeout_s: float = 5, **headers):
        """Sends a request; further keyword arguments such as `auburnsail_grant` become headers."""
        header_fields = [(name.replace("_", "-"), str(value)) for name, value in headers.items()]
        header_fields.append(("x-request-id", request_id))
        return peer.fetch("POST", "/s/k", timeout_s=timeout_s, headers=tuple(header_fields))

    def fetch_json(self, peer: HttpPeer, path: str, body: bytes = b""):
        """Returns the decoded response of an administrative path."""
        return msgspec.json.decode(peer.fetch("POST", path, body, timeout_s=5).body)

    def test_refuses_superseded_and_expired_grants(self):
        """Guards against an upstream that runs requests with superseded or expired grants.

        Checks of the ledger for double ownership rely on this fencing.
        """
        peer = self.start("--grants", "required")
        later = now_ns() + 60 * NS_PER_S
        for grant, status, reason in (
            (f"s;1;5;{later}", 200, None),
            (f"s;1;4;{later}", 503, "grant-superseded"),
            (f"s;2;4;{later}", 200, None),
            (f"s;1;6;{now_ns() - 1}", 503, "grant-expired"),
            (f"s;1;5;{later}", 200, None),
            ("s;1;7", 503, "grant-malformed"),
        ):
            answer = self.call(peer, "r", auburnsail_grant=grant)
            self.assertEqual(
                (answer.status, msgspec.json.decode(answer.body).get("reason")), (status, reason)
            )
            self.assertEqual("auburnsail-not-run" in dict(answer.headers), status == 503)
        self.assertEqual(self.call(peer, "r").status, 503)
        self.assertEqual(len(self.fetch_json(peer, "/admin/ledger")), 3)

    def test_records_cancellation_and_limits(self):
        """Guards against work that outlives a cancelled request, and limits without effect."""
        peer = self.start("--slots", "2", "--service-ms", "300")
        with self.assertRaises(OutcomeUnknownError):
            self.call(peer, "left", timeout_s=0.1)
        gevent.sleep(0.05)
        self.assertEqual(self.fetch_json(peer, "/admin/ledger")[0]["outcome"], "cancelled")
        calls = [gevent.spawn(self.call, peer, f"r{number}") for number in range(3)]
        statuses = sorted(call.get().status for call in calls)
        self.assertEqual(statuses, [200, 200, 503])
        counters = self.fetch_json(peer, "/admin/counters")
        self.assertEqual(counters["most_running"], 2)
        self.assertEqual(counters["refused"], {"slots-full": 1})
        answer = self.call(peer, "late", auburnsail_deadline_ms=20)
        self.assertEqual((answer.status, answer.body), (504, b"deadline"))

    def test_silent_connections_stay_silent_while_new_ones_work(self):
        """Guards against a fault that delays responses but does not silence connections."""
        peer = self.start()
        admin_peer = HttpPeer(peer.address)
        self.call(peer, "a")
        self.assertEqual(
            self.fetch_json(admin_peer, "/admin/faults", b'{"silence":true}')["speed"], 1.0
        )
        with self.assertRaises(OutcomeUnknownError):
            self.call(peer, "b", timeout_s=0.3)
        self.assertEqual(self.call(HttpPeer(peer.address), "c").status, 200)
        ids = [
            run["request_id"] for run in self.fetch_json(HttpPeer(peer.address), "/admin/ledger")
        ]
        self.assertEqual(ids, ["a", "c"])

    def test_ledger_survives_the_crash_of_a_marked_request(self):
        """Guards against a ledger that loses the executions of an upstream that crashed."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "ledger"
            peer = self.start("--ledger", str(path))
            self.call(peer, "good")
            with self.assertRaises(OutcomeUnknownError):
                self.call(peer, "bad", standin_crash=1)
            runs = [(run.request_id, run.outcome) for run in read_ledger(path)]
        self.assertEqual(runs, [("good", "completed"), ("bad", "crashed")])
