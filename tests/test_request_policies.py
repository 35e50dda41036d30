"""Request policies, retry budget and connection pools, and random faults on the request path."""

import os
import random
import re
import unittest
from pathlib import Path

import gevent
from hypothesis import example, given
from hypothesis import strategies as st

from auburnsail._answer_parser import AnswerParser, HTTPParseError
from auburnsail._clock import ManualClock
from auburnsail._outcome import Outcome, parse_refusal
from auburnsail._peers import PeerTable
from auburnsail._pool import HttpPeer
from auburnsail._request_policy import RequestPolicy, policies_by_service
from auburnsail._retry import BUDGET_RESERVE_RETRIES, AttemptLog, RetryBudget
from auburnsail._tree import parse_tree
from auburnsail.exceptions import InvariantViolation, OutcomeUnknownError
from tests.path_fakes import (
    SHED,
    FakeUpstream,
    PathNode,
    connect,
    exchange,
    open_connection,
    reason_of,
    request,
    wait_for,
)

# A longer run: `RANDOM_SEED=n RANDOM_REQUESTS=n python -m unittest tests.test_request_policies`.
RANDOM_SEED = int(os.environ.get("RANDOM_SEED", "7"))
RANDOM_REQUESTS = int(os.environ.get("RANDOM_REQUESTS", "600"))


class RetryTest(unittest.TestCase):
    """Retry budget, attempt log and classification of repeatable requests."""

    @given(st.lists(st.tuples(st.integers(0, 2000), st.booleans()), max_size=400))
    @example([(0, True)] * 400)
    def test_retries_stay_within_the_budget(self, steps):
        """Guards against retries that increase an overload by more than a tenth."""
        budget, clock, retries = RetryBudget(), ManualClock(), 0
        for requests, (wait_ms, wants_retry) in enumerate(steps, 1):
            clock.advance_ms(wait_ms)
            budget.on_request(clock.now_ns())
            retries += wants_retry and budget.take()
            self.assertLessEqual(retries, BUDGET_RESERVE_RETRIES + requests * 0.1 + 1e-6)

    @given(st.booleans(), st.lists(st.sampled_from(["not-run", "unknown"]), max_size=6))
    def test_attempt_log_never_allows_a_second_run(self, repeatable, ends):
        """Guards against a retry after an attempt that may have run, and a false "not run"."""
        log, possible_runs = AttemptLog(repeatable), 0
        for end in ends:
            if possible_runs and not repeatable:
                with self.assertRaises(InvariantViolation):
                    log.begin("peer")
                break
            log.begin("peer")
            with self.assertRaises(InvariantViolation):
                log.check_reported_outcome(Outcome.NOT_RUN)
            if end == "unknown":
                possible_runs += 1
                log.on_possibly_run()
            else:
                log.on_not_run()
        self.assertIs(log.outcome, Outcome.UNKNOWN if possible_runs else Outcome.NOT_RUN)
        if possible_runs:
            for reported in (Outcome.NOT_RUN, Outcome.REFUSED):
                with self.assertRaises(InvariantViolation):
                    log.check_reported_outcome(reported)

    def test_settings_exclude_and_add_repeatable_requests(self):
        """Guards against retrying a request that the settings exclude from retries."""
        policy = RequestPolicy(
            non_repeatable_paths=("/club",), repeatable_paths=("/search", "/club/look")
        )
        for method, path, expected in (
            ("GET", "/1", True),
            ("POST", "/1", False),
            ("PATCH", "/1", False),
            ("PUT", "/club/1", False),
            ("POST", "/club/look", False),
            ("POST", "/search/1", True),
        ):
            self.assertIs(policy.is_repeatable(method, path), expected, (method, path))


class SettingsTest(unittest.TestCase):
    """Effect of the settings tree on the request path."""

    def setUp(self):
        self.upstream = FakeUpstream(lambda sock, run: None)
        self.node = PathNode("a", self.upstream, "catalogue")
        self.addCleanup(self.upstream.stop)
        self.addCleanup(self.node.stop)
        connect(self.node, owner=self.node)

    def test_settings_of_a_service_take_effect(self):
        """Guards against settings that are accepted but have no effect."""
        text = """{"services": {"catalogue": {"keyed": true, "shards": 8, "requests": {
            "default_deadline_ms": 80, "max_attempts": 2, "non_repeatable_paths": ["/pay"],
            "max_key_bytes": 16, "max_body_bytes": 3}}}}"""
        policies = policies_by_service(parse_tree(text, "test"), "wien", "wien-1")
        self.node.application.set_policies(policies)
        for data, reason, runs in (
            (request("GET", "/catalogue/k"), "no-answer", 2),
            (request("GET", "/catalogue/pay/k"), "no-answer", 1),
            (request("GET", "/catalogue/%70ay/k"), "no-answer", 1),
            (request("GET", f"/catalogue/{'k' * 17}"), "key-too-long", 0),
            (request("POST", "/catalogue/k", body=b"four"), "body-too-large", 0),
        ):
            self.upstream.runs.clear()
            self.assertEqual(reason_of(exchange(self.node.address, data))[2], reason)
            self.assertEqual(len(self.upstream.runs), runs, data)
        self.upstream.script = lambda sock, run: gevent.sleep(1)
        with gevent.Timeout(0.5):
            answer = exchange(self.node.address, request("POST", "/catalogue/k"))
        self.assertEqual(reason_of(answer)[2], "deadline")


class DocumentationTest(unittest.TestCase):
    """Completeness of docs/requests.md."""

    def test_every_reason_is_documented(self):
        """Guards against a reason token that callers cannot look up."""
        root = Path(__file__).parent.parent
        text = (root / "docs" / "requests.md").read_text()
        pattern = re.compile(
            r"""\b(?:not_run|unknown)\(\s*"([a-z-]+)"|"""
            r"""\brefused\(\s*(?:_BAD_REQUEST|"[^"]+"),\s*"([a-z-]+)\""""
        )
        reasons = set()
        for path in (root / "src" / "auburnsail").glob("*.py"):
            reasons.update(one or other for one, other in pattern.findall(path.read_text()))
        self.assertGreater(len(reasons), 30)
        self.assertEqual({reason for reason in reasons if f"`{reason}`" not in text}, set())


class AnswerTest(unittest.TestCase):
    """Parsing and relaying of answers."""

    def test_ambiguous_answers_are_errors(self):
        """Guards against relaying an answer that another parser would read differently."""
        for lines in (
            b"content-length: 1\r\ncontent-length: 2",
            b"content-length: 1\r\ntransfer-encoding: chunked",
            b"transfer-encoding: gzip, chunked",
            b"content-length: -1",
            b"content-length : 1",
            b"x: a\r\n folded",
            b"x: a\nb",
            b"x: " + b"a" * 200_000,
        ):
            with self.assertRaises(HTTPParseError, msg=lines):
                parser = AnswerParser("GET")
                data = b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n\r\n1"
                for start in range(0, len(data), 65536):
                    parser.feed(data[start : start + 65536])

    def test_header_values_pass_unchanged(self):
        """Guards against an encoding error for header bytes outside ASCII."""
        upstream = FakeUpstream(
            lambda sock, run: b"HTTP/1.1 200 \xfc\r\nx: \xff\xc3\xb6\r\ncontent-length: 0\r\n\r\n"
        )
        node = PathNode("a", upstream, "catalogue")
        self.addCleanup(upstream.stop)
        self.addCleanup(node.stop)
        connect(node, owner=node)
        answer = exchange(node.address, request())
        self.assertIn(b"\r\nx: \xff\xc3\xb6\r\n", answer)

    def test_malformed_refusal_is_unknown(self):
        """Guards against interpreting another node's malformed answer as "not run"."""
        for fields, body in (
            ({"auburnsail-outcome": "not-run"}, b"{"),
            ({"auburnsail-outcome": "not-run"}, b'{"outcome":"never"}'),
            ({"auburnsail-outcome": "perhaps"}, b""),
        ):
            refusal = parse_refusal("503 Busy", fields, body, "peer")
            self.assertIs(refusal.outcome, Outcome.UNKNOWN)


class PoolTest(unittest.TestCase):
    """Connection pools of peers."""

    def setUp(self):
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)

    def test_a_silence_timeout_drops_older_idle_connections(self):
        """Guards against one timeout per open connection after all of them went silent."""
        clock = ManualClock()
        peer = HttpPeer(self.upstream.address, clock)
        self.addCleanup(peer.drop_idle)
        exchanges = [peer.open() for _ in range(4)]
        for number, open_exchange in enumerate(exchanges):
            clock.advance_ms(1)
            open_exchange.send(b"GET / HTTP/1.1\r\n\r\n")
            open_exchange.receive_head("GET")
            self.assertEqual(open_exchange.read(), b"ok")
            if number == 3:
                silent = peer.open()
                clock.advance_ms(1)
            open_exchange.finish()
        # Three of the four connections are idle; the silent exchange uses the fourth.
        self.assertEqual(peer.idle, 3)
        silent.report_silence()
        silent.abort()
        # The connection that remains has answered after the silent exchange began.
        self.assertEqual(peer.idle, 1)

    def test_connections_idle_for_long_are_not_used(self):
        """Guards against a race with a peer that closes connections after an idle timeout."""
        clock = ManualClock()
        peer = HttpPeer(self.upstream.address, clock)
        self.addCleanup(peer.drop_idle)
        peer.fetch("GET", "/", timeout_s=1.0)
        clock.advance_ms(31_000)
        fresh = peer.open()
        self.assertFalse(fresh.is_reused)
        fresh.abort()
        self.assertEqual(peer.idle, 0)

    def test_idle_connections_are_bounded(self):
        """Guards against accumulating file descriptors in a node that connects to many others."""
        clock = ManualClock()
        peers = PeerTable(clock, max_idle=3)
        others = [FakeUpstream() for _ in range(4)]
        for other in others:
            self.addCleanup(other.stop)
            clock.advance_ms(1000)
            peers.get(other.address).fetch("GET", "/", timeout_s=1.0)
        peers.expire(clock.now_ns())
        # The oldest was closed: the maximum idle time is halved until the limit is met.
        self.assertEqual(peers.get(others[0].address).idle, 0)
        self.assertEqual(peers.get(others[3].address).idle, 1)
        clock.advance_ms(31_000)
        peers.expire(clock.now_ns())
        self.assertEqual(peers.get(others[3].address).idle, 0)
        clock.advance_ms(300_000)
        peers.expire(clock.now_ns())
        self.assertEqual(len(peers), 0)

    def test_unclean_connections_are_closed(self):
        """Guards against reusing a connection that the peer closes or sent excess bytes on."""
        ok = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
        for answer in (
            ok + b"connection: close\r\n\r\nok",
            ok + b"\r\nokay",
            b"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
        ):
            self.upstream.script = lambda sock, run, answer=answer: answer
            peer = HttpPeer(self.upstream.address)
            self.assertEqual(peer.fetch("GET", "/", timeout_s=1.0).body, b"ok")
            self.assertEqual(peer.idle, 0, answer)

    def test_interrupted_exchange_ends(self):
        """Guards against a greenlet that waits forever for a silent peer."""
        self.upstream.script = lambda sock, run: gevent.sleep(10)
        open_exchange = HttpPeer(self.upstream.address).open()
        open_exchange.send(b"GET / HTTP/1.1\r\n\r\n")
        gevent.spawn_later(0.02, open_exchange.interrupt, "test")
        with gevent.Timeout(1.0), self.assertRaises(OutcomeUnknownError):
            open_exchange.receive_head("GET")

    def test_repeatable_request_survives_silent_connections(self):
        """Guards against more than one silence timeout for callers of repeatable requests."""
        node = PathNode("a", self.upstream, "catalogue")
        self.addCleanup(node.stop)
        connect(node, owner=node)
        silent_sockets = set()

        def script(sock, run):
            if sock in silent_sockets:
                gevent.sleep(10)
            seen_sockets.add(sock)
            return b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"

        seen_sockets = set()
        self.upstream.script = script
        callers = [gevent.spawn(exchange, node.address, request()) for _ in range(5)]
        gevent.joinall(callers)
        silent_sockets.update(seen_sockets)
        for _ in range(3):
            answer = exchange(
                node.address, request("GET", "/catalogue/k", "auburnsail-deadline-ms: 2000")
            )
            self.assertEqual(reason_of(answer)[0], 200)
        self.assertEqual(node.application.counters.silent, 1)
        before = self.upstream.connections
        self.assertEqual(reason_of(exchange(node.address, request("POST", body=b"1")))[0], 200)
        self.assertEqual(self.upstream.connections, before)


class RandomRunTest(unittest.TestCase):
    """Random faults; each answer is compared with the upstream's record of what it ran."""

    def setUp(self):
        self.random = random.Random(RANDOM_SEED)
        self.runs: dict[str, int] = {}
        self.upstream = FakeUpstream(self.script)
        self.owner = PathNode("a", self.upstream, "catalogue")
        self.other = PathNode("b", None, "catalogue")
        connect(self.owner, self.other, owner=self.owner)
        for server in (self.upstream, self.owner, self.other):
            self.addCleanup(server.stop)

    def script(self, sock, run):
        """Answers with the request's own id, or with a random fault."""
        request_id = run.head.split("x-request-id: ")[1].split("\r\n")[0]
        fault = self.random.choices(
            ["", "shed", "close", "late", "cut", "excess", "slow"], [70, 8, 5, 4, 5, 4, 4]
        )[0]
        if fault == "shed":
            return SHED
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        size = self.random.choice([0, 10, 70_000, 300_000])
        body = request_id.encode() + b"." * size
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
        match fault:
            case "close":
                return None
            case "late":
                gevent.sleep(0.3)
            case "slow":
                gevent.sleep(0.05)
            case "cut":
                sock.sendall(answer[:-1])
                return None
            case "excess":
                sock.sendall(answer + answer)
                return None
        return answer

    def call(self, number: int) -> None:
        """Sends one request and checks the answer against the upstream's record."""
        request_id = f"r{number}"
        method = self.random.choice(["GET", "POST", "POST"])
        node = self.random.choice([self.owner, self.other])
        lines = (f"x-request-id: {request_id}", "auburnsail-deadline-ms: 150")
        body = b"b" * self.random.choice([0, 5, 100_000]) if method == "POST" else b""
        data = request(method, f"/catalogue/{number}", *lines, body=body)
        if self.random.random() < 0.05:
            with open_connection(node.address) as sock:
                sock.sendall(data)
            return
        try:
            answer = exchange(node.address, data)
        except ConnectionResetError:
            answer = b""
        runs = self.runs.get(request_id, 0)
        if method == "POST":
            self.assertLessEqual(runs, 1, request_id)
        if not answer:
            return
        status, outcome, _ = reason_of(answer)
        head, _, content = answer.partition(b"\r\n\r\n")
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if outcome in ("not-run", "refused"):
            self.assertEqual(runs, 0, (request_id, answer))
        if not outcome:
            self.assertEqual(status, 200)
            length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
            if len(content) == length:
                self.assertTrue(content.startswith(request_id.encode()), (request_id, content[:9]))
                self.assertEqual(runs, 1 if method == "POST" else max(1, runs))

    def test_outcomes_are_correct_under_random_faults(self):
        """Guards against wrong outcomes, duplicate runs and mixed-up answers (P3, P4, P5)."""
        self.outcomes: dict[str, int] = {}

        def caller(numbers) -> None:
            for number in numbers:
                self.call(number)

        callers = [gevent.spawn(caller, range(n, RANDOM_REQUESTS, 10)) for n in range(10)]
        gevent.joinall(callers, raise_error=True)
        self.assertTrue(wait_for(lambda: not self.owner.application.in_flight))
        for node in (self.owner, self.other):
            self.assertIsNone(node.application.violation)
        self.assertLessEqual({"", "not-run", "unknown"}, set(self.outcomes))
