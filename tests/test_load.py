"""The load generator: schedule, classification of answers, availability and exit codes."""

import random
import unittest
from collections import Counter

import msgspec
from gevent.pywsgi import WSGIServer
from hypothesis import given, settings
from hypothesis import strategies as st

from auburnsail._cli_load import EXIT_OK, EXIT_TOO_SLOW, EXIT_WRONG_CALLER, LoadRun, exit_code
from auburnsail._load_client import LoadClient, RequestResult, classify
from auburnsail._load_report import LoadRecorder, render
from auburnsail._load_schedule import (
    NS_PER_S,
    Arrivals,
    KeySampler,
    PlannedRequest,
    RequestKind,
    parse_request_kind,
    plan_requests,
)
from auburnsail.exceptions import SettingsError
from tools.ports import reserve_port

GET = RequestKind("GET", "/catalogue/{key}")


class ScheduleTest(unittest.TestCase):
    """Rate, mix and keys of the planned requests."""

    def test_hot_keys_change_and_all_keys_stay_distinct(self):
        """Guards against hot keys that never change and against two ranks with the same key."""
        keys = KeySampler(200, 1.0, hot_keys=10, change_every_s=5.0)
        rng = random.Random(1)
        for elapsed_s, first in ((0, 0), (5, 10), (10, 20)):
            chosen = Counter(keys.sample(rng, elapsed_s) for _ in range(4000))
            self.assertEqual(chosen.most_common(1)[0][0], f"key-{first}")
            self.assertEqual(len({keys._key_index(rank, elapsed_s) for rank in range(200)}), 200)

    def test_rate_and_mix_are_kept(self):
        """Guards against a schedule whose rate or mix differs from the configured one.

        A malformed kind of request must be refused, since a part of the mix would be missing.
        """
        kinds = (parse_request_kind("GET /a/{key} 3"), parse_request_kind("post /b/{id} 1 10"))
        for is_poisson in (True, False):
            arrivals = Arrivals(1000, 10, is_poisson)
            planned = list(plan_requests(arrivals, kinds, KeySampler(10, 0), 7))
            self.assertAlmostEqual(len(planned), 10_000, delta=400)
            posts = sum(request.kind.method == "POST" for request in planned)
            self.assertAlmostEqual(posts / len(planned), 0.25, delta=0.02)
        self.assertFalse(kinds[1].is_repeatable)
        for text in ("GET", "GET a", "GET /a -1", "GET /a 1 x", "GET /a 1 1 1"):
            with self.assertRaises(SettingsError):
                parse_request_kind(text)


class ReportTest(unittest.TestCase):
    """Classification and counting of results."""

    def test_answers_are_classified(self):
        """Guards against counting a refusal, or the answer to another request, as success."""
        own_id = {"x-request-id": "r"}
        body = b'{"upstream":"u","request":"%s"}'
        cases = [
            (200, own_id, body % b"r", "ok"),
            (200, {"x-request-id": "other"}, b"", "wrong-caller"),
            (200, own_id, body % b"other", "wrong-caller"),
            (503, {"x-request-id": "other"}, b"", "wrong-caller"),
            (200, {}, b"", "unnamed"),
            (500, own_id, b"", "upstream-500"),
            (503, {"auburnsail-not-run": "1"}, b"", "not-run/upstream"),
            (503, {"auburnsail-outcome": "not-run", "auburnsail-reason": "x"}, b"", "not-run/x"),
        ]
        for status, headers, content, outcome in cases:
            self.assertEqual(classify(status, headers, content, "r"), outcome)

    @settings(max_examples=15, deadline=None)
    @given(st.lists(st.sampled_from(["ok", "not-run/x", "wrong-caller"]), min_size=1))
    def test_availability_counts_each_failure(self, outcomes):
        """Guards against failures that are missing in the totals, the series or the exit code."""
        recorder = LoadRecorder(keys=160, groups=16)
        for number, outcome in enumerate(outcomes):
            planned = PlannedRequest(number, number * NS_PER_S, GET, "key-1")
            recorder.add(
                planned, RequestResult(outcome, "t"), planned.start_ns, planned.start_ns + 5000
            )
        report = recorder.report(1.0)
        failed = len(outcomes) - outcomes.count("ok")
        self.assertEqual(report.unavailable_key_seconds, failed * 10)
        self.assertEqual(
            sum(sum(second.group_ok) for second in report.series), len(outcomes) - failed
        )
        expected = EXIT_WRONG_CALLER if "wrong-caller" in outcomes else EXIT_OK
        self.assertEqual(exit_code(report), expected)
        self.assertIn(f"requests {len(outcomes)} ", render(report))
        self.assertEqual(
            msgspec.json.decode(msgspec.json.encode(report))["requests"], len(outcomes)
        )

    def test_latency_counts_from_the_intended_start(self):
        """Guards against coordinated omission: the delay of a late start is part of the latency."""
        recorder = LoadRecorder(1, 1)
        recorder.add(
            PlannedRequest(0, 0, GET, "k"), RequestResult("ok", "t"), NS_PER_S, NS_PER_S + 1000
        )
        report = recorder.report(1.0)
        self.assertGreater(report.latency.p50_ms, 990)
        self.assertEqual(exit_code(report), EXIT_TOO_SLOW)


class LoadClientTest(unittest.TestCase):
    """Requests that the load client sends to an unreachable and a working node."""

    def test_requests_are_sent_once_and_an_unreachable_node_is_replaced(self):
        """Guards against a retry of a request whose connection broke after it was sent."""
        times_received = Counter()

        def application(environ, start_response):
            times_received[environ["HTTP_X_REQUEST_ID"]] += 1
            if times_received.total() % 3 == 0:
                raise ConnectionResetError(104, "broken on purpose")
            start_response("200 OK", [("x-request-id", environ["HTTP_X_REQUEST_ID"])])
            return [b""]

        server = WSGIServer(("127.0.0.1", 0), application, log=None, error_log=None)
        server.start()
        self.addCleanup(server.stop)
        addresses = (f"127.0.0.1:{reserve_port()}", f"127.0.0.1:{server.server_port}")
        client = LoadClient(addresses, follows_owner=False, avoid_s=0.0)
        run = LoadRun(client, LoadRecorder(1, 1), 1000, "r")
        schedule = plan_requests(Arrivals(100, 0.5), (GET,), KeySampler(10, 1.0), 3)
        report = run.run(schedule, max_in_flight=50)
        self.assertEqual(set(times_received.values()), {1})
        self.assertEqual(len(times_received), report.requests)
        self.assertEqual(report.outcomes["ok"] + report.outcomes["no-answer"], report.requests)
        self.assertGreater(report.outcomes["no-answer"], 5)
