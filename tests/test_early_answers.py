"""Requests that follow one whose answer came before the whole body was sent."""

import unittest

import gevent
from gevent.server import StreamServer

from auburnsail._clock import BootClock
from auburnsail._link_pacer import BYTES_PER_MBIT, LinkPacer
from auburnsail._link_sender import LinkSender
from auburnsail._relay import BUFFERED_BYTES
from tests.path_fakes import OK, SHED, PathNode, connect, open_connection

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
        """Guards against a request on a connection that the node has shut down for sending (502).

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


if __name__ == "__main__":
    unittest.main()
