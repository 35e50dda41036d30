"""Tests of the request path from caller to upstream, with faults at the upstream."""

import unittest
from unittest import mock

import gevent
import msgspec
from gevent import socket

from auburnsail._admission import CountingAdmission
from auburnsail._model import Join, Transfer
from auburnsail._outcome import not_run
from auburnsail.exceptions import InvariantViolation
from tests.path_fakes import (
    OK,
    SHARDS,
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

MB = 1 << 20


class PathTest(unittest.TestCase):
    """Requests to two nodes: `owner` owns all keys and `other` forwards requests to it."""

    def setUp(self):
        self.upstream = FakeUpstream()
        self.other_upstream = FakeUpstream()
        self.owner = PathNode("a", self.upstream, "catalogue")
        self.other = PathNode("b", self.other_upstream, "catalogue")
        connect(self.owner, self.other, owner=self.owner)
        for component in (self.upstream, self.other_upstream, self.owner, self.other):
            self.addCleanup(component.stop)

    def entry_nodes(self):
        """Yields the nodes at which a request can enter, the owner first, with `runs` cleared."""
        for node in (self.owner, self.other):
            self.upstream.runs.clear()
            yield node

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

    def test_disconnect_of_the_caller_closes_the_exchange(self):
        """Guards against upstreams that go on working for a caller that has disconnected."""
        ended = []

        def script(sock, run):
            ended.append(sock.recv(1) == b"")

        self.upstream.script = script
        for node in self.entry_nodes():
            ended.clear()
            with open_connection(node.address) as sock:
                sock.sendall(request("POST", body=b"1"))
                self.assertTrue(wait_for(lambda: len(self.upstream.runs) == 1))
            self.assertTrue(wait_for(lambda: ended == [True], 0.5))
            self.assertTrue(wait_for(lambda: self.owner.application.in_flight == 0))

    def test_deadline_stops_the_exchange(self):
        """Guards against waiting past the deadline, at either node, for a silent upstream."""
        ended = []
        self.upstream.script = lambda sock, run: ended.append(sock.recv(1))
        for node in self.entry_nodes():
            ended.clear()
            with gevent.Timeout(0.4):
                answer = exchange(node.address, request("POST", "/catalogue/k1", *DEADLINE_LINES))
            self.assertEqual(reason_of(answer), (504, "unknown", "deadline"))
            self.assertTrue(wait_for(lambda: ended == [b""], 0.2))

    def test_caller_keeps_its_connection_after_a_deadline(self):
        """Guards against closing a connection after a 504 answer that announced keep-alive."""
        self.upstream.script = lambda sock, run: gevent.sleep(0.15) or OK
        with open_connection(self.owner.address) as sock:
            for lines, status in ((DEADLINE_LINES, 504), ((), 200)):
                data = request("POST", "/catalogue/k1", *lines, body=b"1")
                sock.sendall(data.replace(b"connection: close\r\n", b""))
                self.assertEqual(reason_of(sock.recv(1000))[0], status)

    def test_request_whose_body_misses_the_deadline_is_not_run(self):
        """Guards against "unknown" for a request that timed out before it was sent."""
        data = request("POST", "/catalogue/k1", *DEADLINE_LINES, "content-length: 5") + b"ab"
        answer = exchange(self.owner.address, data)
        self.assertEqual(reason_of(answer), (504, "not-run", "deadline"))
        self.assertEqual(self.upstream.runs, [])

    def move_to_other(self) -> Transfer:
        """Returns the command that transfers all shards from `owner` to `other`."""
        shards = tuple(range(SHARDS))
        ids = (self.owner.session.id, self.other.session.id)
        return Transfer("t", "catalogue", *ids, shards, (1,) * SHARDS)

    def add_entry_node(self) -> PathNode:
        """Returns a third node with the same fleet state, at which requests enter."""
        entry = PathNode("c", None, "catalogue")
        self.addCleanup(entry.stop)
        connect(entry, others=(self.owner, self.other), owner=self.owner)
        return entry

    def test_new_owner_named_by_a_refusal_is_found(self):
        """Guards against failing at a former owner although its refusal names the new owner."""
        entry = self.add_entry_node()
        for node in (self.owner, self.other):
            node.apply_commands(self.move_to_other())
        answer = exchange(entry.address, request("POST", body=b"1"))
        self.assertEqual(reason_of(answer)[0], 200)
        self.assertEqual((len(self.upstream.runs), len(self.other_upstream.runs)), (0, 1))

    def test_node_with_an_older_map_does_not_serve_or_forward(self):
        """Guards against forwarding loops when the entry node has a newer map than the target."""
        entry = self.add_entry_node()
        entry.apply_commands(self.move_to_other())
        answer = exchange(entry.address, request("POST", body=b"1"))
        self.assertEqual(reason_of(answer), (503, "not-run", "map-behind"))
        self.assertEqual((self.upstream.runs, self.other_upstream.runs), ([], []))

    def test_nothing_is_sent_without_a_lease(self):
        """Guards against sending bytes to the upstream after the lease ended (P1)."""
        self.owner.gate.has_lease = False
        for node in self.entry_nodes():
            for method, size in (("POST", 1), ("HEAD", 0), ("POST", 300_000)):
                answer = exchange(node.address, request(method, body=b"1" * size))
                self.assertEqual(reason_of(answer), (503, "not-run", "no-lease"), (method, size))
        self.assertEqual(self.upstream.runs, [])

    def test_nothing_is_sent_if_ownership_is_lost_while_the_request_waits(self):
        """Guards against sending a request whose lease or shard was lost in the queue (P1)."""
        for loss, reason in (
            (lambda node: setattr(node.gate, "has_lease", False), "no-lease"),
            (lambda node: node.apply_commands(self.move_to_other()), "not-owner"),
        ):
            admission = CountingAdmission()
            node = PathNode("a", self.upstream, "catalogue", admission=admission)
            self.addCleanup(node.stop)
            connect(node, others=(self.owner, self.other), owner=self.owner)
            admit = admission.admit

            def lose(target, admission_request, node=node, loss=loss, admit=admit):
                loss(node)
                return admit(target, admission_request)

            admission.admit = lose
            answer = exchange(node.address, request("POST", body=b"1"))
            self.assertEqual(self.upstream.runs, [], reason)
            if reason == "no-lease":
                self.assertEqual(reason_of(answer), (503, "not-run", reason))
            else:
                # The node retries at the new owner, which also refuses: its map is older.
                self.assertEqual(len(self.other_upstream.runs), 0)
                self.assertEqual(reason_of(answer)[1], "not-run")
            self.assertEqual(
                (admission.in_flight, admission.by_shard, node.gate.in_flight), (0, {}, 0)
            )

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

    def test_memory_is_bounded_when_the_caller_is_slow(self):
        """Guards against buffering a large answer that the node reads faster than the caller."""
        sent = []

        def script(sock, run):
            sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (64 * MB))
            for _ in range(64):
                sock.sendall(b"x" * MB)
                sent.append(MB)

        self.upstream.script = script
        with open_connection(self.other.address) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.sendall(request())
            gevent.sleep(0.5)
            # Kernel buffers of three connections hold some megabytes; each node buffers one block.
            self.assertLess(sum(sent), 40 * MB)
            held = sum(sent)
            gevent.sleep(0.2)
            self.assertEqual(sum(sent), held)
            size = 0
            while part := sock.recv(MB):
                size += len(part)
        self.assertGreater(size, 64 * MB)

    def test_slow_heads_and_idle_connections_end(self):
        """Guards against incomplete heads and silent callers that hold connections for ever."""
        server = self.owner.server
        server.head_timeout_ms = server.idle_timeout_ms = 50
        with mock.patch("auburnsail._sweeper.CONNECTION_SWEEP_INTERVAL_MS", 10):
            # The next sweep is already scheduled with the previous period.
            gevent.sleep(0.6)
            answer = exchange(self.owner.address, b"GET /catalogue/k1 HTTP/1.1\r\nhost:", 0.5)
            self.assertEqual(reason_of(answer), (408, "refused", "head-timeout"))
            self.assertEqual(exchange(self.owner.address, b"", 0.5), b"")

    def test_stalled_answers_end(self):
        """Guards against answers held for ever by a silent upstream or a caller not reading."""
        closed = []

        def script(sock, run):
            sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (64 * MB))
            try:
                while run.head.startswith("POST"):
                    sock.sendall(b"x" * MB)
                sock.recv(1)
            except OSError:
                pass
            closed.append(run.head[:4])

        self.upstream.script = script
        with mock.patch("auburnsail._active_requests.STALL_TIMEOUT_NS", 100_000_000):
            for method in ("GET", "POST"):
                with open_connection(self.owner.address) as sock:
                    sock.sendall(request(method))
                    self.assertTrue(wait_for(lambda m=method: closed[-1:] == [m[:4].ljust(4)]))
                    with self.assertRaises(ConnectionResetError):
                        while sock.recv(MB):
                            pass

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

    def test_drain_finishes_requests_and_closes_idle_connections(self):
        """Guards against a drain that cuts off requests, or waits for idle connections (P7)."""

        def script(sock, run):
            gevent.sleep(0.2)
            return OK

        self.upstream.script = script
        idle = open_connection(self.owner.address)
        late = open_connection(self.owner.address)
        busy = gevent.spawn(exchange, self.owner.address, request("POST", body=b"1"))
        self.assertTrue(wait_for(lambda: self.owner.server.in_flight == 1))
        drain = gevent.spawn(self.owner.server.drain, idle_grace_s=0.05, timeout_s=2.0)
        gevent.sleep(0.01)
        late.sendall(request().replace(b"connection: close\r\n", b""))
        with self.assertRaises(ConnectionRefusedError):
            open_connection(self.owner.address)
        self.assertTrue(drain.get(timeout=2.0))
        self.assertEqual(reason_of(busy.get())[0], 200)
        answer = late.recv(1000)
        self.assertIn(b"\r\nconnection: close\r\n", answer)
        self.assertEqual(idle.recv(1), b"")
        idle.close()
        late.close()


DEADLINE_LINES = ("auburnsail-deadline-ms: 100",)
