"""Requests whose connection ends without an answer, and the log line about each of them."""

import unittest

import gevent
from structlog.testing import capture_logs

from tests.path_fakes import OK, FakeUpstream, PathNode, connect, open_connection, wait_for

POST = b"POST /catalogue/k1 HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx"


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
        """Runs a request for 0.2 s."""
        gevent.sleep(0.2)
        return OK

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
