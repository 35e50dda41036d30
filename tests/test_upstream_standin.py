"""Tests of the faults, limits and ledger of the upstream stand-in."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

import gevent
import msgspec

from auburnsail._dialect import Dialect
from auburnsail._pool import HttpPeer
from auburnsail.exceptions import OutcomeUnknownError
from standins.ledger import now_ns, read_ledger
from tests.fleet import ROOT, wait_until
from tests.path_fakes import PathNode, connect, exchange, reason_of, request
from tools.ports import reserve_port

NS_PER_S = 1_000_000_000
# The stand-in names the request in each answer and itself in each success.
DIALECT = Dialect(request_id="x-request-id", server_seal="x-upstream")


class StandinTestCase(unittest.TestCase):
    """Starts processes of the upstream stand-in and calls them."""

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


class UpstreamTest(StandinTestCase):
    """Each test runs its own process of the upstream stand-in."""

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


class RepeatedAnswerTest(StandinTestCase):
    """The HTTP server and request path of a node whose stand-in writes answers once more."""

    def set_faults(self, **faults) -> None:
        """Replaces the faults of the stand-in."""
        body = msgspec.json.encode(faults)
        self.assertEqual(self.admin.fetch("POST", "/admin/faults", body, timeout_s=5).status, 200)

    def start_node(self, service_ms: int) -> None:
        """Starts the stand-in and a node that serves all keys with it."""
        peer = self.start("--grants", "ignored", "--service-ms", str(service_ms))
        self.admin = HttpPeer(peer.address)
        self.node = PathNode(
            "n", SimpleNamespace(address=peer.address), "catalogue", dialect=DIALECT
        )
        self.addCleanup(self.node.stop)
        connect(self.node, owner=self.node)

    def send(self, request_id: str) -> tuple[int, str, bytes]:
        """Sends a request to the node and returns status, outcome and body of the answer."""
        lines = (f"x-request-id: {request_id}", "auburnsail-deadline-ms: 2000")
        data = exchange(self.node.address, request("POST", "/catalogue/k", *lines, body=b"x"))
        return *reason_of(data)[:2], data.partition(b"\r\n\r\n")[2]

    def executed_ids(self) -> list[str]:
        """Returns the ids of the requests that the stand-in has run."""
        return [run["request_id"] for run in self.fetch_json(self.admin, "/admin/ledger")]

    def send_many(self, prefix: str) -> dict[str, tuple[int, str, bytes]]:
        """Sends requests one after another and returns the answers by id."""
        return {f"{prefix}-{number}": self.send(f"{prefix}-{number}") for number in range(40)}

    def check_answers(self, answers: dict[str, tuple[int, str, bytes]]) -> None:
        """Checks that each caller was told what happened to its own request."""
        executed = self.executed_ids()
        for request_id, (status, outcome, body) in answers.items():
            self.assertLessEqual(executed.count(request_id), 1, request_id)
            if status == 200:
                self.assertEqual(msgspec.json.decode(body)["request"], request_id)
            if outcome == "not-run":
                self.assertNotIn(request_id, executed)

    def test_a_copy_reaches_the_next_request_on_the_connection(self):
        """Guards against a fault that writes nothing, or only on connections that end."""
        peer = self.start("--service-ms", "400")
        admin = HttpPeer(peer.address)
        for without_id in (False, True):
            faults = {"repeat_answer_share": 1, "repeat_delay_ms": 100}
            faults["repeat_without_id"] = without_id
            self.fetch_json(admin, "/admin/faults", msgspec.json.encode(faults))
            first, second = self.call(peer, "a"), self.call(peer, "b")
            self.assertEqual(second.body, first.body)
            self.assertEqual("x-request-id" in dict(second.headers), not without_id)
            self.fetch_json(admin, "/admin/faults", b"{}")
            peer.drop_idle()
        self.assertGreaterEqual(self.fetch_json(admin, "/admin/counters")["repeated"]["answer"], 2)

    def test_a_node_does_not_pass_on_copies(self):
        """Guards against answers to the wrong caller, and against "not run" after an execution.

        The copies come directly after the answer, or while the next request runs.
        """
        self.start_node(service_ms=15)
        for delay_ms in (0, 6):
            for without_id in (False, True):
                with self.subTest(delay_ms=delay_ms, without_id=without_id):
                    self.set_faults(
                        shed_share=0.3,
                        repeat_refusal_share=1,
                        repeat_answer_share=1,
                        repeat_delay_ms=delay_ms,
                        repeat_without_id=without_id,
                    )
                    answers = self.send_many(f"{delay_ms}-{without_id}")
                    self.check_answers(answers)
                    outcomes = {outcome for _, outcome, _ in answers.values()}
                    self.assertIn("not-run", outcomes)
                    self.assertIn("", outcomes)
        repeated = self.fetch_json(self.admin, "/admin/counters")["repeated"]
        self.assertGreater(min(repeated["refusal"], repeated["answer"]), 0)

    def test_a_copy_of_its_refusal_does_not_answer_the_second_attempt(self):
        """Guards against "not run" for a request that runs at its second attempt.

        The copy has the id of both attempts, so only the connection tells them apart.
        """
        self.start_node(service_ms=150)
        for number in range(3):
            self.set_faults(shed_share=1, repeat_refusal_share=1, repeat_delay_ms=60)
            self.assertEqual(self.send(f"r{number}")[:2], (503, "not-run"))
            self.set_faults()
            self.assertEqual(self.send(f"r{number}")[0], 200)
            self.assertEqual(self.executed_ids().count(f"r{number}"), 1)
        self.assertEqual(self.fetch_json(self.admin, "/admin/counters")["repeated"]["refusal"], 3)
