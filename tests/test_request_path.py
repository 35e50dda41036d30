"""Tests of requests and answers on the path from caller to upstream, with faults at the upstream."""

import unittest
from unittest import mock

import gevent
import msgspec

from auburnsail._admission import CountingAdmission
from auburnsail._model import Join
from auburnsail._outcome import not_run
from auburnsail.exceptions import InvariantViolation
from tests.path_fakes import (
    OK,
    SHED,
    FakeUpstream,
    PathNode,
    PathTestCase,
    connect,
    exchange,
    open_connection,
    reason_of,
    request,
)

MB = 1 << 20


class PathTest(PathTestCase):
    """Requests that reach the upstream, its answers and the outcomes that callers receive."""

    def test_request_reaches_the_upstream_unchanged(self):
        """Guards against a target or header re-encoded by a node, and a missing grant header."""
        for node in self.entry_nodes():
            target = "/catalogue/k%C3%B6/a%2Fb?x=%20&y"
            data = request("POST", target, "X-Mixed: \xe4 b", "auburnsail-deadline-ms: 900")
            answer = exchange(node.address, data)
            self.assertIn(f"auburnsail-owner: {self.owner.address}".encode(), answer)
            (run,) = self.upstream.runs
            self.assertTrue(run.head.startswith(f"POST {target} HTTP/1.1\r\nhost: node\r\n"))
            self.assertIn("\r\nX-Mixed: ", run.head)
            self.assertRegex(run.head, r"\r\nauburnsail-grant: catalogue;\d+;1;1(\r\n|$)")
            self.assertRegex(run.head, r"\r\nauburnsail-deadline-ms: [678]\d\d")
            self.assertNotIn("auburnsail-hop", run.head)

    def test_request_with_too_little_time_to_reach_another_region_is_not_sent(self):
        """Guards against 504 "unknown" after forwarding to a region that can't answer in time."""
        far, near = PathNode("c", self.upstream, "catalogue"), PathNode("d", None, "catalogue")
        for node in (far, near):
            self.addCleanup(node.stop)
        far.session = msgspec.structs.replace(far.session, region="tirol")
        connect(far, near, owner=far)
        self.upstream.script = lambda sock, run: gevent.sleep(1)
        data = request("GET", "/catalogue/k1", "auburnsail-deadline-ms: 60")
        self.assertEqual(reason_of(exchange(near.address, data)), (503, "not-run", "deadline"))
        self.assertEqual(self.upstream.runs, [])

    def test_request_without_answer_is_unknown_and_runs_once(self):
        """Guards against a POST retried or reported not run after a lost answer (P4, P5)."""
        self.upstream.script = lambda sock, run: None
        for node in self.entry_nodes():
            answer = exchange(node.address, request("POST", body=b"1"))
            self.assertEqual(reason_of(answer), (502, "unknown", "no-answer"))
            self.assertEqual(len(self.upstream.runs), 1)
            body = msgspec.json.decode(answer.partition(b"\r\n\r\n")[2])
            self.assertEqual((body["outcome"], body["peer"]), ("unknown", self.upstream.address))

    def test_repeatable_request_is_sent_again_by_the_first_node_only(self):
        """Guards against retries at both nodes, which multiply, and against no retry at all."""
        for node in self.entry_nodes():
            self.upstream.script = lambda sock, run: None
            self.assertEqual(reason_of(exchange(node.address, request()))[1], "unknown")
            self.assertEqual(len(self.upstream.runs), 3)
            self.upstream.runs.clear()
            answers = [OK, None]
            self.upstream.script = lambda sock, run, remaining=answers: remaining.pop()
            self.assertEqual(reason_of(exchange(node.address, request()))[0], 200)
            self.assertEqual(len(self.upstream.runs), 2)

    def test_refused_connection_is_not_run(self):
        """Guards against "unknown", which rules out a retry, although no byte was sent."""
        self.upstream.stop()
        for node in self.entry_nodes():
            answer = exchange(node.address, request("POST", body=b"1"))
            self.assertEqual(reason_of(answer), (503, "not-run", "connect-failed"))
            self.assertIn(b"\r\nauburnsail-retry-after-ms: ", answer)

    def test_a_request_that_waits_while_the_upstream_leaves_is_not_sent(self):
        """Guards against DRAIN: the wait for a slot outlasts the time for work that is left."""
        for node in self.entry_nodes():
            with self.subTest(node=node.session.id.node):
                admit = self.owner.gate.admit

                def admit_and_leave(*arguments, admit=admit) -> str:
                    self.owner.upstream = None
                    return admit(*arguments)

                with mock.patch.object(self.owner.gate, "admit", admit_and_leave):
                    answer = exchange(node.address, request("POST", "/catalogue/k1"))
                self.owner.upstream = self.upstream
                self.assertEqual(reason_of(answer), (503, "not-run", "no-upstream"))
        self.assertEqual(self.upstream.runs, [])

    def test_not_run_answer_of_an_upstream_is_relayed(self):
        """Guards against losing a "not run" answer, and against inferring it from a bare 503."""
        for node in self.entry_nodes():
            self.upstream.script = lambda sock, run: SHED
            answer = exchange(node.address, request("POST", body=b"1"))
            self.assertEqual(reason_of(answer), (503, "not-run", "upstream-shed"))
            self.assertIn(b"\r\nretry-after: 2\r\n", answer)
            self.upstream.script = lambda sock, run: SHED.replace(b"-not-run", b"-outcome")
            answer = exchange(node.address, request("POST", body=b"1"))
            self.assertEqual(reason_of(answer), (503, "", ""))

    def test_unkeyed_request_that_was_not_run_goes_to_another_upstream(self):
        """Guards against a refusal, or a second run, when one upstream sheds and one is free."""
        nodes = [PathNode(name, FakeUpstream(), "pledge") for name in ("c", "d")]
        for node in nodes:
            self.addCleanup(node.stop)
            self.addCleanup(node.upstream.stop)
            for member in (self.owner, *nodes):
                member.apply_commands(Join(node.session.id.node, node.session))
        nodes[0].upstream.script = lambda sock, run: SHED
        for _ in range(4):
            answer = exchange(self.owner.address, request("POST", "/pledge/1", body=b"1"))
            self.assertEqual(reason_of(answer)[0], 200)
        self.assertEqual(len(nodes[1].upstream.runs), 4)

    def test_answer_cut_short_never_looks_complete(self):
        """Guards against a truncated answer that looks whole after the upstream closed early."""
        large = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n" + b"x" * 900_000
        chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        cases = {
            "length": large,
            "no last chunk": chunked + b"5\r\nhello\r\n",
            "inside a chunk": chunked + b"ff\r\nhello",
            "malformed chunk": chunked + b"5\r\nhello\r\nxx\r\n",
        }
        for name, data in cases.items():
            for node in self.entry_nodes():
                self.upstream.script = lambda sock, run, data=data: sock.sendall(data)
                try:
                    answer = exchange(node.address, request("POST", body=b"1"))
                except ConnectionResetError:
                    continue
                is_complete = b"content-length: 1000000" not in answer and b"0\r\n\r\n" in answer
                self.assertFalse(is_complete, name)
                self.assertIn(reason_of(answer)[1], ("", "unknown"), name)
        self.upstream.script = lambda sock, run: sock.sendall(
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort"
        )
        answer = exchange(self.owner.address, request("POST", body=b"1"))
        self.assertEqual(reason_of(answer), (502, "unknown", "no-answer"))

    def test_answers_without_a_body_keep_the_connection(self):
        """Guards against waiting for a body after answers without one: to HEAD, 204, 304, 1xx."""
        cases = (
            ("HEAD", b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"),
            ("GET", b"HTTP/1.1 204 No Content\r\n\r\n"),
            ("GET", b"HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n"),
            ("GET", b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nlink: a\r\n\r\n" + OK),
            ("HEAD", b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"),
        )
        for node in self.entry_nodes():
            before = self.upstream.connections
            for method, data in cases:
                self.upstream.script = lambda sock, run, data=data: data
                answer = exchange(node.address, request(method))
                status = int(data.rsplit(b"HTTP/1.1 ", 1)[1][:3])
                self.assertEqual(reason_of(answer)[0], status, answer)
                self.assertNotIn(b"link: a", answer)
            self.assertLessEqual(self.upstream.connections - before, 1)

    def test_answers_without_a_length_are_framed_for_the_http_version(self):
        """Guards against answers without a length that HTTP/1.1 or HTTP/1.0 callers cannot read."""
        data = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n"
        self.upstream.script = lambda sock, run: data
        answer = exchange(self.other.address, request())
        self.assertIn(b"transfer-encoding: chunked", answer)
        self.assertTrue(answer.endswith(b"0\r\n\r\n"))
        answer = exchange(self.owner.address, request().replace(b"HTTP/1.1", b"HTTP/1.0"))
        self.assertTrue(answer.endswith(b"\r\n\r\nabcdef"), answer)
        self.upstream.script = lambda sock, run: sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nabc")
        for node in self.entry_nodes():
            answer = exchange(node.address, request())
            self.assertIn(b"transfer-encoding: chunked\r\n", answer)
            self.assertTrue(answer.endswith(b"\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), answer)
            answer = exchange(node.address, request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            self.assertNotIn(b"transfer-encoding", answer)
            self.assertIn(b"connection: close\r\n", answer)
            self.assertTrue(answer.endswith(b"\r\n\r\nabc"), answer)

    def test_request_bodies_arrive_unchanged(self):
        """Guards against lost or changed bodies: buffered or streamed, by length or chunked."""
        for node in self.entry_nodes():
            for body in (b"a" * 10, bytes(range(256)) * 2000):
                self.assertEqual(
                    reason_of(exchange(node.address, request("POST", body=body)))[0], 200
                )
                self.assertEqual(self.upstream.runs[-1].body, body)
                data = request("POST", "/catalogue/k1", "transfer-encoding: chunked")
                for start in range(0, len(body), 5000):
                    part = body[start : start + 5000]
                    data += b"%x\r\n%b\r\n" % (len(part), part)
                data += b"0\r\nx-trailer: 1\r\n\r\n"
                self.assertEqual(reason_of(exchange(node.address, data))[0], 200)
                self.assertEqual(self.upstream.runs[-1].body, body)

    def test_answer_before_the_end_of_the_body_is_passed_on(self):
        """Guards against losing an answer sent before the body was read, as sending then fails."""

        def script(sock, run):
            sock.sendall(b"HTTP/1.1 413 Too Large\r\ncontent-length: 2\r\n\r\nno")
            gevent.sleep(0.2)

        self.upstream.script = script
        with mock.patch("tests.path_fakes._read_body", lambda sock, head, data: (b"", b"")):
            for node in self.entry_nodes():
                # The body is sent after the answer began and exceeds the kernel's buffers.
                with open_connection(node.address) as sock:
                    data = request("POST", body=b"x" * 20 * MB)
                    sock.sendall(data[:MB])
                    gevent.sleep(0.05)
                    sender = gevent.spawn(sock.sendall, data[MB:])
                    self.assertEqual(reason_of(sock.recv(1000)), (413, "", ""))
                    sender.kill()

    def test_streamed_body_is_not_sent_again(self):
        """Guards against a retry of a repeatable request whose body was not buffered."""
        self.upstream.script = lambda sock, run: None
        answer = exchange(self.owner.address, request("PUT", body=b"x" * 300_000))
        self.assertEqual(reason_of(answer), (502, "unknown", "no-answer"))
        self.assertEqual(len(self.upstream.runs), 1)

    def test_malformed_body_after_its_beginning_is_unknown(self):
        """Guards against "refused" after the body's beginning reached the upstream (P4)."""
        data = request("POST", "/catalogue/k1", "transfer-encoding: chunked")
        data += b"%x\r\n%b\r\n" % (100_000, b"x" * 100_000) + b"zz\r\n"
        answer = exchange(self.owner.address, data)
        self.assertEqual(reason_of(answer), (400, "unknown", "bad-chunk"))
        self.assertIsNone(self.owner.application.violation)

    def test_expect_continue_is_answered_unless_the_request_is_refused(self):
        """Guards against a caller that waits for 100 Continue in vain or sends a useless body."""
        lines = ("expect: 100-continue", "content-length: 3")
        with open_connection(self.other.address) as sock:
            sock.sendall(request("POST", "/catalogue/k1", *lines))
            self.assertEqual(sock.recv(1000), b"HTTP/1.1 100 Continue\r\n\r\n")
            sock.sendall(b"abc")
            self.assertTrue(sock.recv(1000).startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.upstream.runs[-1].body, b"abc")
        answer = exchange(self.other.address, request("POST", "/nothing/k1", *lines))
        self.assertEqual(reason_of(answer)[0], 404)

    def test_stray_bytes_on_an_idle_connection_are_no_answer(self):
        """Guards against taking surplus bytes of one answer for the next answer (P3)."""
        late = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray"

        def script(sock, run):
            gevent.spawn_later(0.02, sock.sendall, late)
            return OK

        self.upstream.script = script
        for excess in (b"", late):
            self.upstream.script = script if not excess else lambda sock, run: OK + late
            for _ in range(3):
                answer = exchange(self.owner.address, request())
                self.assertTrue(answer.endswith(b"\r\n\r\nok"), answer)
                gevent.sleep(0.03)

    def test_violation_refuses_all_further_requests(self):
        """Guards against invariant checks that miss a faulty retry or outcome rule (P4, P5)."""
        self.upstream.script = lambda sock, run: None
        wrong_refusal = not_run("wrong", "the fault under test", "test").refusal
        for rule, fault in (
            ("_final_refusal", lambda context, failures: wrong_refusal),
            ("ProxyApplication._prepare_retry", lambda self, context, failures: True),
        ):
            reported = []
            node = PathNode("c", self.upstream, "catalogue", on_violation=reported.append)
            self.addCleanup(node.stop)
            connect(node, owner=node)
            self.upstream.runs.clear()
            with mock.patch(f"auburnsail._forward.{rule}", fault):
                answer = exchange(node.address, request("POST", body=b"1"))
            self.assertEqual(reason_of(answer), (502, "unknown", "violation"), rule)
            self.assertEqual(len(self.upstream.runs), 1)
            self.assertIsInstance(reported[0], InvariantViolation)
            self.assertEqual(reason_of(exchange(node.address, request()))[2], "violation")

    def test_fault_of_an_admission_policy_ends_one_request_only(self):
        """Guards against an error in an admission policy that ends the connection or the node."""
        admission = CountingAdmission()
        node = PathNode("c", self.upstream, "catalogue", admission=admission)
        self.addCleanup(node.stop)
        connect(node, owner=node)
        with mock.patch.object(admission, "admit", side_effect=ValueError):
            answer = exchange(node.address, request("POST", body=b"1"))
        self.assertEqual(reason_of(answer), (500, "unknown", "internal"))
        self.assertEqual(reason_of(exchange(node.address, request()))[0], 200)
        self.assertEqual((node.application.in_flight, node.gate.in_flight), (0, 0))


if __name__ == "__main__":
    unittest.main()
