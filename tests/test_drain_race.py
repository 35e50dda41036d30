"""Requests that arrive on a kept connection at the moment at which the server closes it."""

import unittest
from unittest import mock

import gevent

from auburnsail import _http_server
from auburnsail._http_server import HttpServer
from tests.path_fakes import OK, open_connection, wait_for


class _Application:
    """Answers after a while."""

    def __call__(self, request) -> None:
        gevent.sleep(0.08)
        request.send(OK)
        request.end(keep_alive=False)

    def sweep(self, now_ns: int) -> None:
        """See `Application.sweep`."""


class DrainRaceTest(unittest.TestCase):
    """A caller that reuses its connection just when the process ends."""

    def test_a_request_that_arrives_when_idle_connections_are_closed_is_answered(self):
        """Guards against a stop that counts no request while one lies in the socket, and ends the process."""
        server = HttpServer(("127.0.0.1", 0), _Application())
        server.start()
        self.addCleanup(server.kill)
        sock = open_connection(f"127.0.0.1:{server.server_port}")
        self.addCleanup(sock.close)
        self.assertTrue(wait_for(lambda: len(server.connections) == 1))
        shut_down = _http_server.shut_down
        requests = [b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"]

        def arrive_before_shutting(closing, how) -> None:
            if requests:
                # No switch to the greenlet that serves the connection; what has arrived can still be read.
                sock._sock.send(requests.pop())
            else:
                shut_down(closing, how)

        with mock.patch.object(_http_server, "shut_down", arrive_before_shutting):
            self.assertTrue(server.drain(idle_grace_s=0.0, timeout_s=2.0))
        # The process ends here; what has not been answered by now never is.
        sock.settimeout(0.01)
        self.assertEqual(sock.recv(4096), OK)

    def test_a_server_without_requests_stops_soon(self):
        """Guards against a stop that waits for callers which only keep their connections open."""
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
