"""Tests of requests that arrive on an idle connection while the server closes it."""

import unittest
from unittest import mock

import gevent

from auburnsail import _http_server
from auburnsail._http_server import HttpServer
from tests.path_fakes import OK, open_connection, wait_for


class _Application:
    """Answers each request after 80 ms and closes the connection."""

    def __call__(self, request) -> None:
        gevent.sleep(0.08)
        request.send(OK)
        request.end(keep_alive=False)

    def sweep(self, now_ns: int) -> None:
        """Does nothing; the server calls it as `Application.sweep`."""


class DrainRaceTest(unittest.TestCase):
    """Drains of a server with open connections."""

    def test_a_request_that_arrives_when_idle_connections_are_closed_is_answered(self):
        """Guards against a stop that loses a request whose bytes are still unread in the socket.

        Such a request is not counted as in flight, so the process would end without an answer.
        """
        server = HttpServer(("127.0.0.1", 0), _Application())
        server.start()
        self.addCleanup(server.kill)
        sock = open_connection(f"127.0.0.1:{server.server_port}")
        self.addCleanup(sock.close)
        self.assertTrue(wait_for(lambda: len(server.connections) == 1))
        cancel_read = _http_server.cancel_read
        requests = [b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"]

        def send_request_and_cancel(closing) -> None:
            if requests:
                # Sends without a switch to the greenlet that serves the connection; the server can
                # still read the bytes.
                sock._sock.send(requests.pop())
            cancel_read(closing)

        with mock.patch.object(_http_server, "cancel_read", send_request_and_cancel):
            self.assertTrue(server.drain(idle_grace_s=0.0, timeout_s=2.0))
        # The process would end here, so the answer must have been sent already.
        sock.settimeout(0.01)
        self.assertEqual(sock.recv(4096), OK)

    def test_a_server_without_requests_stops_soon(self):
        """Guards against a stop that waits for connections without requests."""
        server = HttpServer(("127.0.0.1", 0), _Application())
        server.start()
        self.addCleanup(server.kill)
        for _ in range(3):
            self.addCleanup(open_connection(f"127.0.0.1:{server.server_port}").close)
        self.assertTrue(wait_for(lambda: len(server.connections) == 3))
        with gevent.Timeout(0.3):
            self.assertTrue(server.drain(idle_grace_s=0.0, timeout_s=2.0))


if __name__ == "__main__":
    unittest.main()
