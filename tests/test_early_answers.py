"""Answers that come before the whole body was sent, and requests that follow on the connections."""

import contextlib
import unittest
from unittest import mock

import gevent
from gevent.server import StreamServer

from auburnsail._clock import BootClock
from auburnsail._dialect import Dialect
from auburnsail._early_answer import (
    MAX_VISIBLE_HEAD_BYTES,
    PEEK_BYTES,
    EarlyAnswerCheck,
    ends_upload,
)
from auburnsail._link_pacer import BYTES_PER_MBIT, LinkPacer
from auburnsail._link_sender import LinkSender
from auburnsail._relay import BUFFERED_BYTES
from tests.path_fakes import OK, SHED, PathNode, connect, open_connection, wait_for

POST_HEAD = b"POST /catalogue/k1 HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
REST_BYTES = 30_000
UPSTREAM_PAUSE_S = 4.0


class EarlyAnswerUpstream:
    """Answers each request when its head has arrived; neither reads on nor closes the connection.

    Args:
        host: Address to listen on; the node's link paces what is sent to another host.
        first_answer: Answer to the first request; later ones get `OK`.
    """

    def __init__(self, host: str, first_answer: bytes) -> None:
        self._answer = first_answer
        self._server = StreamServer((host, 0), self._handle)
        self._server.start()
        self.address = f"{host}:{self._server.server_port}"

    def stop(self) -> None:
        """Stops listening for connections."""
        self._server.stop(timeout=0)

    def _handle(self, sock, _address) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            if not (part := sock.recv(4096)):
                return
            data += part
        answer, self._answer = self._answer, OK
        sock.sendall(answer)
        gevent.sleep(UPSTREAM_PAUSE_S)


class EarlyAnswerTest(unittest.TestCase):
    """A node with a link of 1 Mbit/s."""

    def start(self, host: str, first_answer: bytes = OK) -> PathNode:
        """Starts the upstream and the node."""
        upstream = EarlyAnswerUpstream(host, first_answer)
        self.addCleanup(upstream.stop)
        link = LinkSender(LinkPacer(BYTES_PER_MBIT), BootClock())
        node = PathNode("n", upstream, "catalogue", link=link)
        self.addCleanup(node.stop)
        connect(node, owner=node)
        return node

    def upload(self, node: PathNode):
        """Uploads a body and receives the answer; returns the connection.

        The upstream answers while the rest of the body, which the node has read, waits for the
        link. So the caller's connection is kept.
        """
        sock = open_connection(node.address)
        self.addCleanup(sock.close)
        sock.sendall(POST_HEAD % (BUFFERED_BYTES + REST_BYTES) + bytes(BUFFERED_BYTES))
        gevent.sleep(0.05)
        sock.sendall(bytes(REST_BYTES))
        answer = sock.recv(65536)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 OK\r\n"), answer)
        self.assertNotIn(b"connection: close", answer)
        return sock

    def test_the_next_request_on_the_caller_s_connection_is_answered(self):
        """Guards against a reset in place of the answer to a further request on the connection.

        The node had stopped reading the first request's body, and never read a body again.
        """
        sock = self.upload(self.start("127.0.0.2"))
        sock.sendall(POST_HEAD % 4)
        gevent.sleep(0.05)
        sock.sendall(b"body")
        answer = sock.recv(65536)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 OK\r\n"), answer)

    def test_the_upstream_s_connection_is_not_used_again(self):
        """Guards against a request on a connection that lacks the rest of the last body (502).

        The upstream has not closed it yet, so it looks idle.
        """
        node = self.start("127.0.0.2")
        self.upload(node).close()
        self.check_next_request(node)

    def test_the_upstream_s_connection_is_not_used_again_after_a_refusal(self):
        """Guards against the same after an upload of which a part had not arrived."""
        node = self.start("127.0.0.1", SHED)
        with open_connection(node.address) as sock:
            sock.sendall(POST_HEAD % (BUFFERED_BYTES + REST_BYTES) + bytes(BUFFERED_BYTES))
            answer = sock.recv(65536)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
        self.check_next_request(node)

    def check_next_request(self, node: PathNode) -> None:
        """Checks that a request on a new connection to the node is answered."""
        with open_connection(node.address) as sock:
            sock.sendall(POST_HEAD % 0)
            answer = sock.recv(65536)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 OK\r\n"), answer)


class UploadTest(unittest.TestCase):
    """An upload of which the caller sends one half 0.2 s after the other.

    The upstream sends some bytes when the head has arrived, and its answer after the whole body.
    """

    HALF_BYTES = 100_000

    def upload(self, early: bytes) -> tuple[bytes, int]:
        """Returns what the caller receives, and how many bytes of the body the upstream gets."""
        size, received_sizes = 2 * self.HALF_BYTES, []

        def handle(sock, _address) -> None:
            data = b""
            while b"\r\n\r\n" not in data:
                if not (part := sock.recv(4096)):
                    return
                data += part
            received = len(data.partition(b"\r\n\r\n")[2])
            sock.sendall(early)
            while received < size and (part := sock.recv(65536)):
                received += len(part)
            received_sizes.append(received)
            if received == size:
                sock.sendall(b"HTTP/1.1 200 OK\r\nx-id: own\r\ncontent-length: 2\r\n\r\nok")

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        self.addCleanup(server.stop, 0)
        upstream = mock.Mock(address=f"127.0.0.1:{server.server_port}")
        node = PathNode("n", upstream, "catalogue", dialect=Dialect(request_id="x-id"))
        self.addCleanup(node.stop)
        connect(node, owner=node)
        with open_connection(node.address) as sock:
            head = POST_HEAD.replace(b"host: a", b"host: a\r\nx-id: own") % size
            sock.sendall(head + bytes(self.HALF_BYTES))
            gevent.sleep(0.2)
            sock.sendall(bytes(self.HALF_BYTES))
            answer = sock.recv(65536)
        self.assertTrue(wait_for(lambda: received_sizes))
        return answer, received_sizes[0]

    def check_whole(self, early: bytes) -> None:
        """Checks that the upstream gets the whole body, and the caller the upstream's answer."""
        answer, size = self.upload(early)
        self.assertEqual(size, 2 * self.HALF_BYTES, answer)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 OK\r\n"), answer)

    def test_an_interim_answer_does_not_end_an_upload(self):
        """Guards against 100 Continue being taken for an early answer (502 for the caller)."""
        self.check_whole(b"HTTP/1.1 100 Continue\r\n\r\n")

    def test_an_answer_to_another_request_does_not_end_an_upload(self):
        """Guards against a repeated answer being taken for an early answer (502)."""
        self.check_whole(b"HTTP/1.1 200 OK\r\nx-id: earlier\r\ncontent-length: 2\r\n\r\nok")

    def test_a_final_answer_after_an_interim_one_ends_an_upload(self):
        """Guards against an early answer being missed because of what came before it."""
        final = b"HTTP/1.1 403 Forbidden\r\nx-id: own\r\ncontent-length: 2\r\n\r\nno"
        answer, size = self.upload(b"HTTP/1.1 100 Continue\r\n\r\n" + final)
        self.assertTrue(answer.startswith(b"HTTP/1.1 403 Forbidden\r\n"), answer)
        self.assertEqual(size, self.HALF_BYTES)


class EndsUploadTest(unittest.TestCase):
    """What `ends_upload` makes of received bytes."""

    OTHER = b"HTTP/1.1 200 OK\r\nx-id: earlier\r\ncontent-length: 100000\r\n\r\n"

    def ends(self, data: bytes) -> bool:
        """Returns whether the bytes end an upload with the id ``own``."""
        return ends_upload(data, "POST", ("x-id", "own"))

    def test_a_complete_head_ends_an_upload(self):
        """Guards against an early answer being missed while its body is incomplete."""
        self.assertTrue(self.ends(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n"))
        self.assertTrue(self.ends(b"HTTP/1.1 200 OK\r\nx-id: own\r\n\r\n"))

    def test_an_incomplete_head_does_not_end_an_upload(self):
        """Guards against the first part of an interim answer being taken for the final one."""
        for data in (b"HTTP/1.1 1", b"HTTP/1.1 100 Continue\r\n", b"HTTP/1.1 200 OK\r\nx-id: o"):
            with self.subTest(data):
                self.assertFalse(self.ends(data))

    def test_a_final_answer_after_a_skipped_one_ends_an_upload(self):
        """Guards against only the first answer being looked at."""
        skipped = self.OTHER + bytes(100_000)
        self.assertFalse(self.ends(skipped))
        self.assertTrue(self.ends(skipped + b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"))

    def test_invalid_bytes_end_an_upload(self):
        """Guards against a body being sent to a peer whose answer can no longer be received."""
        huge = b"HTTP/1.1 200 OK\r\ncontent-length: " + b"9" * 5_000 + b"\r\n\r\n"
        for data in (b"\x00", b"SSH-2.0\r\n", b"HTTP/1.1 101 Switching\r\n\r\n", huge):
            with self.subTest(data[:40]):
                self.assertTrue(self.ends(data))

    def test_a_skipped_answer_that_fills_the_visible_bytes_ends_an_upload(self):
        """Guards against a final answer that cannot be seen behind a long one to another request.

        The caller would wait for its deadline.
        """
        check, echo = EarlyAnswerCheck(), ("x-id", "own")
        with (
            mock.patch("auburnsail._early_answer.has_ended", return_value=False),
            mock.patch("auburnsail._early_answer.peek") as peek,
        ):
            skipped = self.OTHER.replace(b"100000", b"200000") + bytes(PEEK_BYTES)
            peek.return_value = skipped[:1_000]
            self.assertFalse(check.is_due(mock.Mock(), "POST", echo))
            peek.return_value = skipped[:PEEK_BYTES]
            self.assertTrue(check.is_due(mock.Mock(), "POST", echo))

    def test_a_head_too_long_to_be_seen_whole_ends_an_upload(self):
        """Guards against waiting for the end of a head that does not fit into the buffer."""
        data = b"HTTP/1.1 200 OK\r\nx: " + b"a" * MAX_VISIBLE_HEAD_BYTES
        self.assertTrue(self.ends(data))
        self.assertFalse(self.ends(self.OTHER + bytes(MAX_VISIBLE_HEAD_BYTES)))


class EarlyStreamUpstream:
    """Answers at the head with several parts, 0.1 s apart, and reads the body meanwhile.

    Args:
        parts: Parts of the answer.
        drops_at_end: Whether the connection is closed when the node's sending side ends.
    """

    def __init__(self, parts: tuple[bytes, ...], drops_at_end: bool) -> None:
        self._parts = parts
        self._drops_at_end = drops_at_end
        self._server = StreamServer(("127.0.0.1", 0), self._handle)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        """Stops listening for connections."""
        self._server.stop(timeout=0)

    def _handle(self, sock, _address) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            if not (part := sock.recv(4096)):
                return
            data += part
        gevent.spawn(self._discard, sock)
        with contextlib.suppress(OSError):
            for part in self._parts:
                sock.sendall(part)
                gevent.sleep(0.1)
            gevent.sleep(UPSTREAM_PAUSE_S)

    def _discard(self, sock) -> None:
        with contextlib.suppress(OSError):
            while sock.recv(65536):
                pass
            if self._drops_at_end:
                sock.close()


class EarlyStreamedAnswerTest(unittest.TestCase):
    """An upload of 200 kB, of which the caller has sent 100 kB when the upstream answers."""

    PARTS = (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
        b"2\r\ncd\r\n",
        b"2\r\nef\r\n",
        b"0\r\n\r\n",
    )

    def upload(
        self,
        hops: int,
        parts: tuple[bytes, ...] = PARTS,
        link: LinkSender | None = None,
        drops_at_end: bool = False,
    ) -> bytes:
        """Returns what the caller receives; `link` is that of the owner."""
        upstream = EarlyStreamUpstream(parts, drops_at_end)
        self.addCleanup(upstream.stop)
        owner = PathNode("a", upstream, "catalogue", link=link)
        other = PathNode("b", None, "catalogue")
        self.addCleanup(owner.stop)
        self.addCleanup(other.stop)
        connect(owner, other, owner=owner)
        entry = owner if hops == 1 else other
        with open_connection(entry.address) as sock:
            sock.sendall(POST_HEAD % 200_000 + bytes(100_000))
            received = b""
            while part := sock.recv(65536):
                received += part
            return received

    def test_an_early_streamed_answer_is_whole_over_one_hop(self):
        """Guards against an early answer being cut by the node that stops sending."""
        self.assertTrue(self.upload(1).endswith(b"0\r\n\r\n"))

    def test_an_early_streamed_answer_is_whole_over_two_hops(self):
        """Guards against a node's end of sending that the next node takes for a caller's leaving."""
        self.assertTrue(self.upload(2).endswith(b"0\r\n\r\n"))

    def test_an_upstream_that_drops_requests_of_closed_connections_can_end_its_answer(self):
        """Guards against an end of sending that the upstream takes for a caller's leaving."""
        self.assertTrue(self.upload(1, drops_at_end=True).endswith(b"0\r\n\r\n"))

    def test_an_upstream_that_ends_its_answer_after_the_request_learns_of_the_end(self):
        """Guards against a hang: the answer ends with the connection, which stays open till then."""
        for hops in (1, 2):
            with self.subTest(hops=hops), gevent.Timeout(UPSTREAM_PAUSE_S / 2):
                received = self.upload(hops, (b"HTTP/1.1 200 OK\r\n\r\nab",), drops_at_end=True)
                self.assertTrue(received.endswith(b"2\r\nab\r\n0\r\n\r\n"), received)

    def test_an_early_answer_that_waits_for_the_owner_s_link_is_whole_over_two_hops(self):
        """Guards against the same for an answer of 60 kB that is complete at the owner."""
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 60000\r\n\r\n" + bytes(60_000)
        link = LinkSender(LinkPacer(BYTES_PER_MBIT), BootClock())
        received = self.upload(2, (answer,), link)
        self.assertEqual(len(received.partition(b"\r\n\r\n")[2]), 60_000)


if __name__ == "__main__":
    unittest.main()
