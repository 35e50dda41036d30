"""Tests of faults that are listed in KNOWN-RED.txt and not mended; CI does not run them.

    python -m unittest tests.known_red_lost

A test moves to a module of its own part together with the repair.
"""

import contextlib
import time
import unittest
from unittest import mock

import gevent
from gevent import socket
from gevent.server import StreamServer

from auburnsail._clock import NS_PER_MS
from auburnsail._sockets import endpoint
from tests.path_fakes import (
    OK,
    FakeUpstream,
    PathNode,
    PathTestCase,
    connect,
    exchange,
    open_connection,
    request,
    wait_for,
)
from tests.test_early_answers import POST_HEAD, EarlyStreamUpstream
from tests.test_stop_end import StoppingNode

STALL_TIMEOUT = "auburnsail._active_requests.STALL_TIMEOUT_NS"
POST = b"POST /catalogue/k1 HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


class StreamWithoutDeadlineTest(PathTestCase):
    """An answer of 5 kB without a length; one with a length would be read whole first."""

    BODY = bytes(5_000)

    def kept(self, node, *lines: str) -> bytes:
        """Sends a request that isn't repeatable on a kept connection; returns what arrives."""
        head = "\r\n".join(["POST /catalogue/k1 HTTP/1.1", "host: a", "content-length: 1", *lines])
        received = b""
        with open_connection(node.address) as sock:
            sock.sendall(head.encode() + b"\r\n\r\nx")
            sock.settimeout(3.0)
            while part := sock.recv(65536):
                received += part
                if received.endswith(b"0\r\n\r\n") or b" 50" in received:
                    break
        return received

    def answer_and_close_late(self, sock, run) -> None:
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + self.BODY)
        gevent.sleep(0.3)

    def test_the_other_node_ends_inside_a_small_answer(self):
        """Guards against a reset where the node could still say 502, as for one with a length."""
        self.upstream.script = self.answer_and_close_late
        gevent.spawn_later(0.15, self.owner.stop)
        received = self.kept(self.other)
        self.assertIn(b"HTTP/1.1 502", received)


class StalledStreamTest(unittest.TestCase):
    """An answer has begun to arrive, and no byte of it was sent."""

    def start(self, script, **options) -> PathNode:
        upstream = FakeUpstream(script)
        self.addCleanup(upstream.stop)
        node = PathNode("n", upstream, "catalogue", **options)
        self.addCleanup(node.stop)
        connect(node, owner=node)
        return node

    def test_a_caller_gets_a_failure_for_a_stream_that_stops_before_its_first_block(self):
        """Guards against a reset where an answer of the node can still be sent."""
        self.enterContext(mock.patch(STALL_TIMEOUT, 400 * NS_PER_MS))

        def stop_after_head(sock, run) -> None:
            sock.sendall(CHUNKED)
            gevent.sleep(3.0)

        node = self.start(stop_after_head)
        with open_connection(node.address) as sock:
            sock.sendall(POST)
            answer = sock.recv(4096)
        self.assertIn(b"HTTP/1.1 50", answer)


class UnreadBodyTest(unittest.TestCase):
    """An upstream with the system's usual buffers reads a body of 400 kB after 1.5 s."""

    def start(self) -> PathNode:
        def run(sock, _address) -> None:
            data = b""
            while b"\r\n\r\n" not in data:
                if not (part := sock.recv(1024)):
                    return
                data += part
            if b"POST" not in data:
                sock.sendall(OK)
                gevent.sleep(3.0)
                return
            size = len(data.partition(b"\r\n\r\n")[2])
            gevent.sleep(1.5)
            while size < 400_000 and (part := sock.recv(65536)):
                size += len(part)
            sock.sendall(OK)
            gevent.sleep(1.0)

        server = StreamServer(("127.0.0.1", 0), run)
        server.start()
        self.addCleanup(server.stop, 0)
        upstream = mock.Mock(address=f"127.0.0.1:{server.server_port}")
        node = PathNode("n", upstream, "catalogue")
        self.addCleanup(node.stop)
        connect(node, owner=node)
        return node

    def test_a_body_that_the_upstream_reads_late_is_no_lost_connection(self):
        """Guards against a full receive buffer that is taken for a silent peer."""
        node = self.start()
        with open_connection(node.address) as sock:
            sock.sendall(POST_HEAD % 400_000 + bytes(400_000))
            self.assertIn(b" 200 OK", sock.recv(4096))

    def test_other_requests_are_served_meanwhile(self):
        """Guards against the upstream being taken for unreachable because of one such body."""
        node = self.start()
        with open_connection(node.address) as sock:
            sock.sendall(POST_HEAD % 400_000 + bytes(400_000))
            sock.recv(4096)
            self.assertIn(b" 200 OK", exchange(node.address, request("GET", "/catalogue/k2")))


class SlowCallerTest(unittest.TestCase):
    """A caller with large packets and buffers of 256 KiB, as on the loopback interface."""

    def test_a_caller_that_reads_more_than_the_least_progress_gets_its_answer(self):
        """Guards against 16 KiB within the stall time-out being less than one window update."""
        self.enterContext(mock.patch(STALL_TIMEOUT, 1_500 * NS_PER_MS))
        size = 800_000
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size + bytes(size)
        upstream = FakeUpstream(lambda sock, run: answer)
        self.addCleanup(upstream.stop)
        node = PathNode("n", upstream, "catalogue")
        self.addCleanup(node.stop)
        connect(node, owner=node)
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 131072)
        sock.connect(endpoint(node.address))
        self.assertTrue(wait_for(lambda: node.server.connections))
        (connection,) = node.server.connections
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        sock.sendall(request())
        received, end = 0, time.monotonic() + 12
        while time.monotonic() < end and (part := sock.recv(4096)):
            # 27 kB/s, 40 kB within the stall time-out.
            received += len(part)
            gevent.sleep(0.15)
        self.assertGreater(received, 250_000)


class StopWhileAnswerIsReadTest(unittest.TestCase):
    """A node stops while a caller reads an answer that was sent and still sends its body."""

    def test_the_answer_arrives_whole(self):
        """Guards against the end of the process destroying an answer that it does not wait for."""
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 300000\r\n\r\n" + bytes(300_000)
        upstream = EarlyStreamUpstream((answer,), drops_at_end=False)
        self.addCleanup(upstream.stop)
        node = StoppingNode(upstream.address)
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        sock.connect(endpoint(node.address))
        sock.sendall(POST_HEAD % 200_000 + bytes(100_000))
        gevent.sleep(0.2)
        received = sock.recv(4096)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 OK"))
        self.assertEqual(node.data_path.in_flight, 0)
        stop = gevent.spawn(node.stop)
        size = len(received)
        with contextlib.suppress(OSError):
            while size < 300_000:
                sock._sock.send(bytes(100))
                gevent.sleep(0.01)
                if not (part := sock.recv(4096)):
                    break
                size += len(part)
        stop.get(timeout=5.0)
        self.assertGreaterEqual(size, 300_000)


if __name__ == "__main__":
    unittest.main()
