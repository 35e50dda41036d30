"""Tests of what ends a request on its path: deadlines, disconnects, lost ownership and drains."""

import unittest
from unittest import mock

import gevent
from gevent import socket

from auburnsail._admission import CountingAdmission
from auburnsail._model import Transfer
from tests.path_fakes import (
    OK,
    SHARDS,
    PathNode,
    PathTestCase,
    connect,
    exchange,
    open_connection,
    reason_of,
    request,
    wait_for,
)

MB = 1 << 20
DEADLINE_LINES = ("auburnsail-deadline-ms: 100",)


class RequestEndTest(PathTestCase):
    """Requests that end early or must not start, and connections that are closed."""

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


if __name__ == "__main__":
    unittest.main()
