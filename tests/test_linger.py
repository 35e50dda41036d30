"""Callers that still send when the node closes their connection after an answer."""

import unittest

import gevent

from tests.path_fakes import FakeUpstream, PathNode, connect, open_connection, request


class LingerTest(unittest.TestCase):
    """One node with an upstream."""

    def setUp(self):
        """Starts the upstream and the node."""
        self.upstream = FakeUpstream()
        self.node = PathNode("n", self.upstream, "catalogue")
        self.addCleanup(self.upstream.stop)
        self.addCleanup(self.node.stop)
        connect(self.node, owner=self.node)

    def test_a_caller_that_sends_a_byte_now_and_then_is_closed_in_time(self):
        """Guards against a caller that keeps its connection, or a drain, for as long as it sends.

        Each read had a time limit, and all bytes together, but not the whole wait.
        """
        self.node.server.linger_timeout_ms = 600
        for head in (request(), b"no head\r\n\r\n"):
            with self.subTest(head), open_connection(self.node.address) as sock:
                sock.sendall(head)
                self.assertTrue(sock.recv(4096).startswith(b"HTTP/1.1 "))
                for _ in range(8):
                    gevent.sleep(0.2)
                    if not self.node.server.connections:
                        break
                    sock.sendall(b"x")
                self.assertFalse(self.node.server.connections)


if __name__ == "__main__":
    unittest.main()
