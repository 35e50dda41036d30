"""Upstreams and peers that send endless answers."""

import unittest
from itertools import product

import gevent
from gevent import socket

from auburnsail._answer_parser import MAX_FRAMING_BYTES, AnswerParser, HTTPParseError
from auburnsail._pool import MAX_FETCH_BYTES, HttpPeer
from auburnsail.exceptions import OutcomeUnknownError
from tests.path_fakes import (
    OK,
    FakeUpstream,
    PathNode,
    Run,
    connect,
    exchange,
    reason_of,
    request,
    wait_for,
)

DEADLINE_MS = 600
# Bound on the delay with which the end of a request must be detected.
MAX_DETECTION_S = 0.5
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
RESET = (0, "", "reset")
BLOCK = b"x" * 16_384
# Bound on the bytes in socket buffers that the node has not read.
MAX_SOCKET_BUFFER_BYTES = 8 << 20
# The beginning of an answer and the block that is sent repeatedly after it. The caller receives no
# part of these answers.
MALFORMED_ANSWERS = {
    "noise instead of a head": (b"", b"\0\xff noise \r\n" * 1_000),
    "line ends before a head": (b"", b"\r\n" * 8_000),
    "a reason phrase": (b"HTTP/1.1 200 ", BLOCK),
    "a header": (b"HTTP/1.1 200 OK\r\nx-long: ", BLOCK),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n" * 1_000),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 500),
    "a chunk size": (CHUNKED, b"0" * 16_384),
    "a chunk extension": (CHUNKED + b"5;x=", BLOCK),
}
# The same for answers of which a caller without a deadline receives a part of the body.
ABORTED_BODIES = {
    "trailers": (CHUNKED + b"2\r\nok\r\n0\r\n", b"x-more: 1\r\n" * 1_000),
    "a trailer": (CHUNKED + b"2\r\nok\r\n0\r\nx-long: ", BLOCK),
}


class EndlessAnswerTest(unittest.TestCase):
    """A faulty upstream sends bytes endlessly until the node closes the connection."""

    def setUp(self):
        self.upstream = FakeUpstream()
        self.node, self.other = (PathNode(name, self.upstream, "catalogue") for name in "ab")
        connect(self.node, self.other, owner=self.node)
        for server in (self.upstream, self.node, self.other):
            self.addCleanup(server.stop)
        self.sent_bytes = 0

    def _answer_endlessly(self, begin: bytes, block: bytes, pause_s: float = 0.0):
        def script(sock: socket.socket, run: Run) -> None:
            sock.sendall(begin)
            while True:
                sock.sendall(block)
                self.sent_bytes += len(block)
                gevent.sleep(pause_s)

        self.upstream.script = script

    def _send_request(
        self, node: PathNode, method: str = "GET", *, has_deadline: bool = True
    ) -> bytes:
        lines = (f"auburnsail-deadline-ms: {DEADLINE_MS}",) * has_deadline
        return exchange(node.address, request(method, "/catalogue/k1", *lines))

    def _assert_closed_after(self, closed: int) -> None:
        """Asserts that the node closes a connection to the upstream within `MAX_DETECTION_S`.

        Args:
            closed: Number of connections that the node had closed before.
        """
        self.assertTrue(wait_for(lambda: self.upstream.closed_by_peer > closed, MAX_DETECTION_S))

    def _result_of(
        self, node: PathNode, method: str = "GET", *, has_deadline: bool = True
    ) -> tuple[int, str, str]:
        """Returns status, outcome and reason of the answer, or `RESET` after a connection reset."""
        try:
            return reason_of(self._send_request(node, method, has_deadline=has_deadline))
        except ConnectionResetError:
            return RESET

    def test_malformed_endless_answers_end_early_and_use_little_memory(self):
        """Guards against reading until memory is exhausted or the caller disconnects."""
        answers = (MALFORMED_ANSWERS | ABORTED_BODIES).items()
        for node, has_deadline in product((self.node, self.other), (True, False)):
            for name, (begin, block) in answers:
                with self.subTest(name, node=node.session.id.node, has_deadline=has_deadline):
                    closed, self.sent_bytes = self.upstream.closed_by_peer, 0
                    self._answer_endlessly(begin, block)
                    with gevent.Timeout(DEADLINE_MS / 1000 / 2):
                        result = self._result_of(node, "POST", has_deadline=has_deadline)
                    is_relayed = name in ABORTED_BODIES and not has_deadline
                    failed = (502, "unknown", "no-answer")
                    self.assertEqual(result, RESET if is_relayed else failed)
                    self._assert_closed_after(closed)
                    self.assertLess(self.sent_bytes, MAX_SOCKET_BUFFER_BYTES)

    def test_slow_endless_answers_end_at_the_deadline(self):
        """Guards against an upstream that holds a slot by sending a few bytes at a time."""
        for name in ("a header", "a chunk extension", "trailers"):
            with self.subTest(name):
                closed = self.upstream.closed_by_peer
                begin, block = (MALFORMED_ANSWERS | ABORTED_BODIES)[name]
                self._answer_endlessly(begin, block[:11], 0.02)
                with gevent.Timeout(DEADLINE_MS / 1000 + MAX_DETECTION_S):
                    result = self._result_of(self.node)
                self.assertEqual(result, (504, "unknown", "deadline"))
                self._assert_closed_after(closed)

    def test_an_endless_body_never_looks_complete_and_ends_at_the_deadline(self):
        """Guards against a truncated body that the caller receives as a complete answer."""
        heads = (
            b"HTTP/1.1 200 OK\r\n\r\n",
            CHUNKED,
            b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
        )
        for node in (self.node, self.other):
            for head in heads:
                with self.subTest(head, node=node.session.id.node):
                    closed = self.upstream.closed_by_peer
                    block = b"4000\r\n" + BLOCK + b"\r\n" if head is CHUNKED else BLOCK
                    self._answer_endlessly(head, block, 0.001)
                    timeout = gevent.Timeout(DEADLINE_MS / 1000 + MAX_DETECTION_S)
                    with timeout, self.assertRaises(ConnectionResetError):
                        self._send_request(node)
                    self._assert_closed_after(closed)

    def test_bytes_after_a_complete_answer_close_the_connection(self):
        """Guards against reuse of a connection whose next bytes belong to no request."""
        self._answer_endlessly(OK, BLOCK)
        for node in (self.node, self.other):
            closed = self.upstream.closed_by_peer
            self.assertTrue(self._send_request(node).endswith(b"\r\n\r\nok"))
            self._assert_closed_after(closed)

    def test_fetch_of_an_endless_answer_is_aborted(self):
        """Guards against a peer or store that exhausts this node's memory within one call."""
        self._answer_endlessly(b"HTTP/1.1 200 OK\r\n\r\n", BLOCK * 16)
        with self.assertRaisesRegex(OutcomeUnknownError, "longer than"):
            HttpPeer(self.upstream.address).fetch("GET", "/", timeout_s=20.0)
        self.assertLess(self.sent_bytes, MAX_FETCH_BYTES + MAX_SOCKET_BUFFER_BYTES)

    def test_small_chunks_are_read_to_their_end(self):
        """Guards against a framing limit that complete answers in small chunks exceed."""
        parser = AnswerParser("GET")
        parser.feed(CHUNKED)
        body = b"".join(b"1\r\nx\r\n" for _ in range(MAX_FRAMING_BYTES))
        for start in range(0, len(body), 4_096):
            parser.feed(body[start : start + 4_096])
        parser.feed(b"0\r\nx-trailer: 1\r\n\r\n")
        self.assertTrue(parser.is_complete)
        self.assertEqual(parser.pop_body(), b"x" * MAX_FRAMING_BYTES)
        self.assertEqual([name for name, _ in parser.fields], ["transfer-encoding"])

    def test_framing_without_a_body_is_refused(self):
        """Guards against an endless chunk extension that arrives in many small parts."""
        parser = AnswerParser("GET")
        parser.feed(CHUNKED + b"5;x=")
        with self.assertRaisesRegex(HTTPParseError, "framing"):
            for _ in range(2 * MAX_FRAMING_BYTES):
                parser.feed(b"y")


if __name__ == "__main__":
    unittest.main()
