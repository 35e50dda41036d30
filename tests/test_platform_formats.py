"""Formats of the platform: settings file, desired state, reports and headers."""

import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec

from auburnsail._dialect import DEFAULT_DIALECT
from auburnsail._holds import GrantedRange, HoldGrant
from auburnsail._http_head import parse_head
from auburnsail._outcome import not_run, refused, unknown
from auburnsail._settings import Scope
from auburnsail.exceptions import SettingsError
from auburnsail.platform._boot_file import METRICS_PORT, load_boot_file
from auburnsail.platform._desired_state import RetryLimits, decode_desired_state
from auburnsail.platform._header_names import DIALECT
from auburnsail.platform._program import build_adapter
from auburnsail.platform._reports import ReportApplication, decode_report, encode_grant
from tests.fleet import ROOT
from tools.fuzz import REPORT
from tools.ports import reserve_host, reserve_port

RETRY_LIMITS = RetryLimits(0.2, 56)
BOOT_FILE = {
    "node-name": "sidecar-a-1",
    "ip": "10.1.0.41",
    "zone": "a",
    "region": "r",
    "zones": {"a": "r"},
    "listen": {
        "inbound": "10.1.0.41:1",
        "outbound": "10.1.0.41:2",
        "ready": "10.1.0.41:3",
        "control": "10.1.0.41:4",
    },
    "internal-ports": [7600, 7615],
    "service": "s1",
    "platform": {"address": "10.9.0.1:5", "form": "table"},
    "bounds": ["retry-budget-ratio=0.2", "budget-slack=56", "hold-max-ms=10000"],
    "a-new-field": {"x": 1},
}
DESIRED_STATE = {
    "version": 7,
    "resources": [
        {
            "resource-type": "routes",
            "metadata": {"name": "r1"},
            "spec": {
                "host": "h.example",
                "path-prefix": "/a/",
                "kind": "safe",
                "timeout-ms": 1000,
                "target-latency-ms": 400,
                "priority": 2,
                "weighted-split": [
                    {"service": "s1", "weight": 90},
                    {"service": "s2", "weight": 10},
                ],
                "max-attempts": 2,
            },
        },
        {
            "resource-type": "routes",
            "metadata": {"name": "r2"},
            "spec": {
                "host": "h.example",
                "path-prefix": "/a/b/",
                "kind": "unsafe",
                "timeout-ms": 1200,
                "target-latency-ms": 500,
                "priority": 1,
                "service": "s2",
                "max-attempts": 1,
            },
        },
        {
            "resource-type": "services",
            "metadata": {"name": "s1"},
            "spec": {"max-connections": 110, "sharded": True, "warmup-s": 5.0},
        },
        {"resource-type": "services", "metadata": {"name": "s2"}, "spec": {"max-connections": 9}},
        {
            "resource-type": "limits",
            "metadata": {},
            "spec": {
                "max-header-bytes": 16384,
                "max-body-bytes": 1000,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        },
        {"resource-type": "something-new", "metadata": {"name": "x"}, "spec": {"y": 1}},
    ],
}


class BootFileTest(unittest.TestCase):
    """Reading the settings file."""

    def load(self, content: object):
        """Writes a settings file with this content and loads it."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.json"
            path.write_bytes(msgspec.json.encode(content))
            return load_boot_file(path)

    def test_fields_become_node_settings(self):
        """Guards against addresses that are mapped to the wrong setting, and wrong retry limits."""
        boot = self.load(BOOT_FILE)
        self.assertEqual(boot.node.data_address, "10.1.0.41:1")
        self.assertEqual(boot.node.caller_address, "10.1.0.41:2")
        self.assertEqual(boot.node.control_address, "10.1.0.41:7600")
        self.assertEqual((boot.ready_address, boot.report_address), ("10.1.0.41:3", "10.1.0.41:4"))
        self.assertEqual((boot.retry_ratio, boot.retry_reserve), (0.2, 56.0))

    def test_a_missing_or_wrong_field_is_named(self):
        """Guards against a start with incomplete settings, and errors without the field's name."""
        for name in ("node-name", "listen", "platform", "service"):
            with self.assertRaisesRegex(SettingsError, name):
                self.load({key: value for key, value in BOOT_FILE.items() if key != name})
        with self.assertRaises(SettingsError):
            self.load(BOOT_FILE | {"bounds": ["retry-budget-ratio=many"]})
        with self.assertRaises(SettingsError):
            load_boot_file(Path("/nonexistent/boot.json"))


class ReloadTest(unittest.TestCase):
    """Reloading the settings file while the process runs."""

    def test_a_change_is_reported_and_retry_limits_follow(self):
        """Guards against old retry limits after a reload, and limits lost to an invalid file."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.json"
            path.write_bytes(msgspec.json.encode(BOOT_FILE))
            adapter = build_adapter(load_boot_file(path), path)
            self.assertEqual(adapter.reload(), {})
            path.write_bytes(
                msgspec.json.encode(BOOT_FILE | {"bounds": ["retry-budget-ratio=0.1"]})
            )
            self.assertEqual(set(adapter.reload()), {"retry_ratio", "retry_reserve"})
            self.assertEqual(adapter.settings_source.retry_limits.ratio, 0.1)
            self.assertEqual(adapter.reload(), {})
            path.write_text("{")
            with self.assertRaises(SettingsError):
                adapter.reload()
            self.assertEqual(adapter.settings_source.retry_limits.ratio, 0.1)

    def test_a_running_node_reloads_on_sighup(self):
        """Guards against a reload signal that ends the process, the default action of SIGHUP."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.json"
            ports = {name: f"127.0.0.1:{reserve_port()}" for name in BOOT_FILE["listen"]}
            store = {"address": f"127.0.0.1:{reserve_port()}"}
            # The metrics port is that of the deployment; the address is this run's own.
            host = reserve_host(METRICS_PORT)
            content = {"ip": host, "listen": ports, "platform": store}
            content["internal-ports"] = [reserve_port(), reserve_port()]
            path.write_bytes(msgspec.json.encode(BOOT_FILE | content))
            process = subprocess.Popen(
                [sys.executable, "deploy/node.py", "--settings", str(path)],
                cwd=ROOT,
                stdout=subprocess.PIPE,
            )
            self.addCleanup(process.stdout.close)
            self.addCleanup(process.kill)
            self.assertIn(b"node started", process.stdout.readline())
            process.send_signal(signal.SIGHUP)
            self.assertIn(b'"event":"reload"', self.read_line_with(process, b"reload"))
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(10), 0)

    def read_line_with(self, process: subprocess.Popen, text: bytes) -> bytes:
        """Returns the first line that contains a text."""
        for line in process.stdout:
            if text in line:
                return line
        return b""


class DesiredStateTest(unittest.TestCase):
    """Decoding the desired state of the operators."""

    def test_routes_services_and_limits_are_decoded(self):
        """Guards against routes, services or limits that decoding drops or mixes up."""
        settings = decode_desired_state(msgspec.json.encode(DESIRED_STATE), RETRY_LIMITS)
        self.assertEqual(settings.version, 7)
        safe = settings.routes.find("h.example:80", "/a/x")
        self.assertEqual([candidate.service for candidate in safe.services], ["s1", "s2"])
        self.assertTrue(safe.repeatable)
        unsafe = settings.routes.find("H.example", "/a/b/c/d")
        self.assertEqual((unsafe.name, unsafe.repeatable), ("r2", False))
        self.assertEqual(unsafe.policy.max_deadline_ms, 1200)
        self.assertIsNone(settings.routes.find("h.example", "/b/"))
        self.assertIsNone(settings.routes.find("other.example", "/a/x"))
        self.assertTrue(settings.tree.services["s1"].keyed)
        self.assertFalse(settings.tree.services["s2"].keyed)
        stated = settings.tree.statements[Scope(service="s2")]
        self.assertEqual(stated["upstream.connections"], 9)
        self.assertEqual(settings.limits.idle_timeout_ms, 15000)

    def test_weights_split_requests(self):
        """Guards against services of a split route whose share of requests is not their weight."""
        route = decode_desired_state(msgspec.json.encode(DESIRED_STATE), RETRY_LIMITS).routes.find(
            "h.example", "/a/x"
        )
        chosen = [route.choose(number / 1000) for number in range(1000)]
        self.assertEqual(chosen.count("s1"), 900)

    def test_an_invalid_desired_state_is_an_error_that_names_the_entry(self):
        """Guards against a node that ignores an invalid state without an error."""
        for data in (b"", b"{", b"[]", b'{"version":"x","resources":[]}'):
            with self.assertRaises(SettingsError):
                decode_desired_state(data, RETRY_LIMITS)
        broken = {
            "version": 8,
            "resources": [{"resource-type": "routes", "metadata": {"name": "q"}}],
        }
        with self.assertRaisesRegex(SettingsError, "'q'"):
            decode_desired_state(msgspec.json.encode(broken), RETRY_LIMITS)


class FakeControl:
    """Records reports and deregistrations in place of a node."""

    def __init__(self) -> None:
        self.reports: list = []
        self.withdrawn: list[tuple[str, int]] = []

    def report(self, announcement):
        """Implements `NodeControl.report`."""
        self.reports.append(announcement)
        return HoldGrant((GrantedRange(0, 9, 3, "h"),), 1200)

    def withdraw(self, instance: str, born_ms: int = 0) -> None:
        """Implements `NodeControl.withdraw`."""
        self.withdrawn.append((instance, born_ms))


class ReportTest(unittest.TestCase):
    """Heartbeats (liveness reports) of the local upstream."""

    def setUp(self):
        """Builds an application whose node records the reports."""
        self.control = FakeControl()
        self.application = ReportApplication(self.control, "s1")

    def call(self, path: str, body: bytes) -> tuple[str, object]:
        """Sends a POST request and returns status and decoded body of the response."""
        statuses: list[str] = []

        class Body:
            """Body of the request."""

            def read(self, size: int) -> bytes:
                """Returns at most `size` bytes from the start of the body."""
                return body[:size]

        environ = {"REQUEST_METHOD": "POST", "PATH_INFO": path, "wsgi.input": Body()}
        blocks = self.application(environ, lambda status, headers: statuses.append(status))
        return statuses[0], msgspec.json.decode(b"".join(blocks))

    def test_a_report_is_decoded_and_answered_with_a_grant(self):
        """Guards against grants in a format that upstreams cannot read."""
        status, body = self.call("/Instances.Heartbeat/i-1", msgspec.json.encode(REPORT))
        self.assertEqual(status, "200 OK")
        self.assertEqual(body, {"holds": [[0, 9, 3, "h"]], "hold-ms": 1200})
        (report,) = self.control.reports
        self.assertEqual((report.instance, report.slots, report.sequence), ("i-1", 6, 4))
        self.assertEqual(report.lifetime, "i-1@1700000000000")
        self.assertEqual(report.holds[0].fence, 7)
        self.assertEqual(report.freed[0].token, "5c0e")

    def test_invalid_reports_are_refused(self):
        """Guards against a node that forwards requests to an upstream from an invalid report."""
        invalid_bodies = [b"", b"\xff", b"[]", b"{}"]
        for path, value in (
            (("info", "slots"), "six"),
            (("info", "slots"), 0),
            (("info", "service"), "other"),
            (("status", "state"), "sleeping"),
            (("status", "sequence"), None),
            (("born",), 1.5),
            (("born",), 0),
            (("holds",), [[1]]),
        ):
            report = msgspec.json.decode(msgspec.json.encode(REPORT))
            parent = report
            for name in path[:-1]:
                parent = parent[name]
            parent[path[-1]] = value
            invalid_bodies.append(msgspec.json.encode(report))
        for body in invalid_bodies:
            with self.subTest(body=body):
                self.assertEqual(self.call("/Instances.Heartbeat/i-1", body)[0], "400 Bad Request")
        self.assertEqual(self.control.reports, [])

    def test_a_report_with_a_missing_field_is_refused(self):
        """Guards against OWNER: another writer's report counted as a new lifetime (review/2).

        The node forgot what the upstream held, and another upstream got its keys.
        """
        required = [("address",), ("born",)]
        required += [("info", name) for name in ("service", "version", "zone", "slots")]
        required += [("status", name) for name in ("state", "sequence", "cold-remaining-ms")]
        for path in required:
            with self.subTest(path=path):
                report = msgspec.json.decode(msgspec.json.encode(REPORT))
                parent = report[path[0]] if len(path) > 1 else report
                del parent[path[-1]]
                body = msgspec.json.encode(report)
                self.assertEqual(self.call("/Instances.Heartbeat/i-1", body)[0], "400 Bad Request")
        self.assertEqual(self.control.reports, [])

    def test_a_deregistration_withdraws_the_upstream(self):
        """Guards against a node that goes on using an upstream after its deregistration."""
        self.assertEqual(self.call("/Instances.Deregister/i-1", b"")[0], "200 OK")
        self.assertEqual(self.call("/Instances.Deregister/i-1", b'{"born":7}')[0], "200 OK")
        self.assertEqual(self.control.withdrawn, [("i-1", 0), ("i-1", 7)])
        for body in (b'{"born":"7"}', b"[", b"[" * 10_000):
            self.assertEqual(self.call("/Instances.Deregister/i-1", body)[0], "400 Bad Request")
        self.assertEqual(len(self.control.withdrawn), 2)

    def test_an_answer_without_a_grant_lists_no_holds(self):
        """Guards against an empty list of holds, which would revoke all keys of the upstream."""
        self.assertEqual(encode_grant(HoldGrant()), b"{}")
        self.assertEqual(encode_grant(None), b"{}")

    def test_a_report_without_an_instance_is_refused(self):
        """Guards against accepting a report whose upstream cannot be identified."""
        with self.assertRaises(ValueError):
            decode_report("", msgspec.json.encode(REPORT))


class DialectTest(unittest.TestCase):
    """Headers of requests and refusals."""

    def test_headers_that_the_node_sets_are_removed(self):
        """Guards against a caller that forges its service or the expected instance."""
        head = parse_head(
            b"GET /a/ HTTP/1.1\r\nHost: h\r\nX-Auburnsail-Attempt-Id: 1\r\n"
            b"X-Auburnsail-Caller-Service: forged\r\nX-Auburnsail-Expect-Instance: i-9\r\nX-Y: z",
            DIALECT,
        )
        self.assertEqual(head.forwarded_lines, ["X-Y: z"])
        self.assertEqual(head.parsed_headers[DIALECT.request_id], "1")

    def test_refusals_have_the_status_that_callers_expect(self):
        """Guards against a status that promises "not run" for a request that may have run."""
        refusal = not_run("deadline", "late", "x", status="504 Gateway Timeout").refusal
        not_run_head = refusal.encode(close=False, dialect=DIALECT)
        self.assertTrue(not_run_head.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"retry-after: 0.25\r\n", not_run_head)
        unknown_head = unknown("no-answer", "lost", "x").refusal.encode(
            close=False, dialect=DIALECT
        )
        self.assertTrue(unknown_head.startswith(b"HTTP/1.1 502 "))
        not_found = refused("404 Not Found", "no-route", "none").refusal
        self.assertTrue(not_found.encode(close=False, dialect=DIALECT).startswith(b"HTTP/1.1 404 "))
        self.assertIn(b"retry-after: 1\r\n", refusal.encode(close=False, dialect=DEFAULT_DIALECT))


if __name__ == "__main__":
    unittest.main()
