"""Requests whose connection ends without an answer, and the log line about each of them."""

import contextlib
import time
import unittest
from unittest import mock
from unittest.mock import Mock

import gevent
from gevent import socket
from structlog.testing import capture_logs

from auburnsail._clock import NS_PER_MS, BootClock
from auburnsail._link_pacer import BYTES_PER_MBIT, LinkPacer
from auburnsail._link_sender import LinkSender
from auburnsail._sockets import endpoint
from tests.path_fakes import (
    OK,
    FakeUpstream,
    PathNode,
    connect,
    exchange,
    open_connection,
    request,
    wait_for,
)

STALL_TIMEOUT = "auburnsail._active_requests.STALL_TIMEOUT_NS"
POST = b"POST /catalogue/k1 HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx"


class LateAnswerTest(unittest.TestCase):
    """One node whose link of 1 Mbit/s takes 0.3 s for an answer."""

    def test_a_complete_answer_that_waits_for_the_link_at_the_deadline_is_delivered(self):
        """Guards against a reset in place of an answer that the upstream has completed (LOST).

        The caller waits longer than the node's time limit, for example because the service's limit
        is shorter than its own.
        """
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 40000\r\n\r\n" + bytes(40_000)
        upstream = FakeUpstream(lambda sock, run: answer)
        self.addCleanup(upstream.stop)
        link = LinkSender(LinkPacer(BYTES_PER_MBIT), BootClock())
        node = PathNode("n", upstream, "catalogue", link=link)
        self.addCleanup(node.stop)
        connect(node, owner=node)
        data = request("POST", "/catalogue/k1", "auburnsail-deadline-ms: 150", body=b"x")
        received = exchange(node.address, data)
        self.assertEqual(len(received.partition(b"\r\n\r\n")[2]), 40_000)


class SlowAnswerTest(unittest.TestCase):
    """One node that gives up an answer without progress after 0.4 s."""

    HEADS = (
        (b"HTTP/1.1 200 OK\r\ncontent-length: 60000\r\n\r\n", b""),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nea60\r\n", b"\r\n0\r\n\r\n"),
    )

    def setUp(self):
        """Starts the upstream."""
        self.enterContext(mock.patch(STALL_TIMEOUT, 400 * NS_PER_MS))
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)

    def start(self, **options) -> PathNode:
        """Starts the node."""
        node = PathNode("n", self.upstream, "catalogue", **options)
        self.addCleanup(node.stop)
        connect(node, owner=node)
        return node

    def connect_slow_caller(self, node: PathNode) -> socket.socket:
        """Returns a connection with small packets, whose kernel buffers hold little."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1000)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        sock.connect(endpoint(node.address))
        self.assertTrue(wait_for(lambda: node.server.connections))
        (connection,) = node.server.connections
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        return sock

    def test_a_caller_that_reads_slowly_gets_the_whole_answer(self):
        """Guards against a reset in the middle of an answer that its caller is reading."""
        self.enterContext(mock.patch(STALL_TIMEOUT, 1_500 * NS_PER_MS))
        node = self.start()
        for head, end in self.HEADS:
            answer = head + bytes(60_000) + end
            self.upstream.script = lambda sock, run, answer=answer: answer
            sock = self.connect_slow_caller(node)
            sock.sendall(request())
            size = 0
            while part := sock.recv(4096):
                size += len(part)
                gevent.sleep(0.15)
            self.assertGreater(size, 60_000)
            self.assertTrue(wait_for(lambda: not node.server.connections))

    def test_a_caller_that_reads_too_little_is_reset(self):
        """Guards against a caller that holds its answer, and the upstream's slot, for hours."""
        self.enterContext(mock.patch("auburnsail._active_requests.MIN_PROGRESS_BYTES", 1 << 20))
        node = self.start()
        self.upstream.script = lambda sock, run: self.HEADS[0][0] + bytes(60_000)
        sock = self.connect_slow_caller(node)
        sock.sendall(request())
        with self.assertRaises(ConnectionResetError):
            while sock.recv(4096):
                gevent.sleep(0.06)

    def test_a_caller_that_reads_nothing_is_reset(self):
        """Guards against an answer that is kept for good because its caller does not read it."""
        node = self.start()
        for head, end in self.HEADS:
            self.upstream.script = lambda sock, run, answer=head + bytes(60_000) + end: answer
            sock = self.connect_slow_caller(node)
            sock.sendall(request())
            self.assertTrue(wait_for(lambda: node.application.in_flight, 1.0))
            self.assertTrue(wait_for(lambda: not node.application.in_flight, 2.0))
            with self.assertRaises(ConnectionResetError):
                while sock.recv(65536):
                    pass

    def test_a_failure_that_the_caller_does_not_read_ends(self):
        """Guards against a connection that is kept for good by a 504 that nobody reads.

        Bytes of earlier answers, which the caller has not read either, fill the kernel's buffers.
        """
        node = self.start()

        def fill_connection(sock, run) -> None:
            (connection,) = node.server.connections
            for _ in range(5):
                with contextlib.suppress(BlockingIOError):
                    while True:
                        connection.sock._sock.send(bytes(4096))
                gevent.sleep(0.05)
            gevent.sleep(5)

        self.upstream.script = fill_connection
        with capture_logs() as lines:
            data = request("POST", "/catalogue/k1", "auburnsail-deadline-ms: 500", body=b"x")
            self.connect_slow_caller(node).sendall(data)
            gevent.sleep(0.7)
            self.assertTrue(node.application.in_flight)
            self.assertTrue(wait_for(lambda: not node.application.in_flight, 2.0))
        causes = [line.get("cause", line.get("reason")) for line in lines]
        self.assertEqual(causes, ["deadline", "stalled"])

    def test_an_answer_whose_rest_arrived_while_the_loop_stood_is_delivered_whole(self):
        """Guards against a pause of the process that is taken for a silent peer.

        After the pause the sweep runs before the greenlet that reads the rest.
        """

        def answer_and_stand_still(sock, run) -> bytes:
            sock.sendall(self.HEADS[1][0])
            for part in (bytes(30_000), bytes(30_000) + self.HEADS[1][1]):
                gevent.sleep(0.1)
                sock.sendall(part)
                time.sleep(0.6)
            return b""

        self.upstream.script = answer_and_stand_still
        answer = exchange(self.start().address, request())
        self.assertTrue(answer.endswith(b"\r\n0\r\n\r\n"), len(answer))

    def test_answers_that_wait_for_the_link_are_delivered(self):
        """Guards against the wait for the VM's own link being taken for a caller not reading."""
        node = self.start(link=LinkSender(LinkPacer(BYTES_PER_MBIT), BootClock()))
        for head, end in self.HEADS:
            answer = head + bytes(60_000) + end
            self.upstream.script = lambda sock, run, answer=answer: answer
            callers = [gevent.spawn(exchange, node.address, request()) for _ in range(2)]
            for caller in callers:
                self.assertGreater(len(caller.get(timeout=5.0)), 60_000)


class UnexpectedErrorTest(unittest.TestCase):
    """One node with an error in a part of the program."""

    def start(self, **options) -> PathNode:
        """Starts the upstream and the node."""
        upstream = FakeUpstream()
        self.addCleanup(upstream.stop)
        node = PathNode("n", upstream, "catalogue", **options)
        self.addCleanup(node.stop)
        connect(node, owner=node)
        return node

    def test_an_unexpected_error_before_routing_is_answered(self):
        """Guards against a connection that is closed without an answer and a log line."""
        node = self.start()
        node.application._resolver.destination = mock.Mock(side_effect=RuntimeError("under test"))
        self.assertIn(b"HTTP/1.1 500", exchange(node.address, request("POST", body=b"x")))

    def test_an_error_in_the_observer_keeps_the_connection(self):
        """Guards against the end of a kept connection, announced as kept, after its answer."""
        observer = mock.Mock(on_answer=mock.Mock(side_effect=RuntimeError("under test")))
        node = self.start(observer=observer)
        with open_connection(node.address) as sock:
            for _ in range(2):
                sock.sendall(POST)
                self.assertIn(b" 200 OK", sock.recv(4096))


class UnansweredRequestTest(unittest.TestCase):
    """One node whose upstream takes a while."""

    def setUp(self):
        """Starts the upstream and the node."""
        self.upstream = FakeUpstream(self.run_request)
        self.node = PathNode("n", self.upstream, "catalogue")
        self.addCleanup(self.upstream.stop)
        self.addCleanup(self.node.stop)
        connect(self.node, owner=self.node)

    def run_request(self, sock, run) -> bytes:
        """Runs a request for 0.2 s, or one for the key k2 for 1.5 s."""
        gevent.sleep(1.5 if "/k2" in run.head else 0.2)
        return OK

    def send_while_the_loop_stands(self, sock, stands_s: float) -> bytes:
        """Sends a request, keeps the event loop from running and returns the answer.

        The bytes and the timers that end the wait for a request become ready in the same turn of
        the loop, and timers run first.
        """
        sock._sock.send(POST)
        time.sleep(stands_s)
        sock.settimeout(3.0)
        return sock.recv(4096)

    def test_a_request_that_arrives_as_a_drain_closes_idle_connections_is_answered(self):
        """Guards against a stop that resets a caller whose request it has passed on (LOST).

        The node shut its idle connections down for reading, read a request that had arrived at the
        same moment, and took its own shutdown for the caller's.
        """
        sock = open_connection(self.node.address)
        self.addCleanup(sock.close)
        self.assertTrue(wait_for(lambda: self.node.server.connections))
        drain = gevent.spawn(self.node.server.drain, idle_grace_s=0.1, timeout_s=3.0)
        gevent.sleep(0.05)
        answer = self.send_while_the_loop_stands(sock, 0.2)
        self.assertEqual(len(self.upstream.runs), 1)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 OK\r\n"), answer)
        self.assertTrue(drain.get(timeout=3.0))

    def test_a_request_that_arrives_as_its_idle_connection_expires_is_answered(self):
        """Guards against an idle timeout that resets a caller whose request was passed on (LOST).

        Another request is in flight, so that the sweep runs at its shortest interval.
        """
        self.node.server.idle_timeout_ms = 300
        other = gevent.spawn(exchange, self.node.address, request("GET", "/catalogue/k2"))
        self.assertTrue(wait_for(lambda: self.upstream.runs))
        sock = open_connection(self.node.address)
        self.addCleanup(sock.close)
        self.assertTrue(wait_for(lambda: len(self.node.server.connections) == 2))
        gevent.sleep(0.25)
        answer = self.send_while_the_loop_stands(sock, 0.6)
        self.assertEqual(len(self.upstream.runs), 2)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 OK\r\n"), answer)
        self.assertIn(b"200 OK", other.get(timeout=3.0))

    def test_the_rest_of_a_request_whose_first_bytes_overtook_the_end_of_the_wait_is_read(self):
        """Guards against an end of the wait that cuts off the next read on the connection."""
        for first, rest in ((POST[:9], POST[9:]), (POST[:-1], POST[-1:])):
            sock = open_connection(self.node.address)
            self.addCleanup(sock.close)
            self.assertTrue(wait_for(lambda: self.node.server.connections))
            (connection,) = self.node.server.connections
            sock._sock.send(first)
            time.sleep(0.01)
            # The wait has not returned yet, so its end and the bytes meet.
            connection.end_wait()
            gevent.sleep(0.05)
            sock.sendall(rest)
            self.assertTrue(sock.recv(4096).startswith(b"HTTP/1.1 200 OK\r\n"))
            sock.close()
            self.assertTrue(wait_for(lambda: not self.node.server.connections))

    def test_an_answer_that_arrived_while_the_loop_stood_is_delivered_after_the_deadline(self):
        """Guards against a time limit that replaces an answer which has arrived by a failure.

        After a pause of the process the sweep runs before the greenlet that reads the answer.
        """

        def answer_and_stand_still(sock, run) -> bytes:
            gevent.sleep(0.1)
            sock.sendall(OK)
            time.sleep(0.4)
            return b""

        self.upstream.script = answer_and_stand_still
        data = request("POST", "/catalogue/k1", "auburnsail-deadline-ms: 250", body=b"x")
        self.assertIn(b" 200 OK", exchange(self.node.address, data))

    def test_a_streamed_answer_that_arrived_while_the_loop_stood_is_delivered_whole(self):
        """Guards against a time limit that cuts off an answer whose end has arrived before it."""

        def answer_and_stand_still(sock, run) -> bytes:
            sock.sendall(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n")
            gevent.sleep(0.1)
            sock.sendall(b"2\r\ncd\r\n0\r\n\r\n")
            time.sleep(0.4)
            return b""

        self.upstream.script = answer_and_stand_still
        data = request("POST", "/catalogue/k1", "auburnsail-deadline-ms: 250", body=b"x")
        self.assertTrue(exchange(self.node.address, data).endswith(b"cd\r\n0\r\n\r\n"))

    def test_an_unexpected_error_after_a_whole_answer_does_not_reset_it(self):
        """Guards against a reset that destroys an answer which the caller has not read yet.

        The connection is kept: the caller may already have sent its next request on it.
        """
        release = Mock(side_effect=RuntimeError("the fault under test"))
        self.node.gate.release = release
        with open_connection(self.node.address) as sock:
            for _ in range(2):
                sock.sendall(POST)
                gevent.sleep(0.3)
                self.assertTrue(sock.recv(4096).startswith(b"HTTP/1.1 200 OK\r\n"))
        self.assertEqual(release.call_count, 2)

    def test_an_idle_connection_that_expires_is_closed(self):
        """Guards against connections without requests that are kept for good."""
        self.node.server.idle_timeout_ms = 100
        with open_connection(self.node.address, timeout_s=2.0) as sock:
            self.assertEqual(sock.recv(1), b"")

    def test_a_connection_whose_head_came_too_late_is_closed(self):
        """Guards against connections that are kept for good after the refusal of a late head.

        The caller doesn't close its side. Each sweep of the connections found the head late again
        and ended the read that waits for the caller's end, which then began anew.
        """
        self.node.server.head_timeout_ms = 100
        with open_connection(self.node.address) as sock:
            sock.sendall(POST[:9])
            self.assertTrue(sock.recv(4096).startswith(b"HTTP/1.1 408 "))
            self.assertTrue(wait_for(lambda: not self.node.server.connections, 3.0))

    def test_a_request_whose_caller_left_has_a_log_line(self):
        """Guards against requests that end without an answer and without a trace in the logs."""
        sock = open_connection(self.node.address)
        with capture_logs() as lines:
            sock.sendall(POST)
            self.assertTrue(wait_for(lambda: self.upstream.runs))
            sock.close()
            self.assertTrue(wait_for(lambda: not self.node.application.in_flight))
        (line,) = [line for line in lines if line["event"] == "request unanswered"]
        self.assertEqual((line["cause"], line["caller_end"]), ("caller-gone", "closed"))
        self.assertEqual((line["attempts"], line["outcome"]), (1, "unknown"))
        self.assertEqual((line["connection_requests"], line["wait_ended"]), (1, False))
        self.assertEqual(line["stopping_ms"], -1)


if __name__ == "__main__":
    unittest.main()
