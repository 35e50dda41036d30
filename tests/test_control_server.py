"""Connections to the control server that their clients close early."""

import unittest
from types import SimpleNamespace
from unittest import mock

from gevent import socket
from structlog.testing import capture_logs

from auburnsail._clock import BootClock
from auburnsail._control import ControlApplication
from auburnsail._control_server import ControlServer
from auburnsail._link_pacer import LinkPacer
from auburnsail._link_sender import LinkSender
from auburnsail._messages import Codec
from auburnsail.platform._reports import ReportApplication
from tests.path_fakes import SECRET
from tests.test_platform_formats import FakeControl


class ControlServerTest(unittest.TestCase):
    """The WSGI server of the control, report, readiness and metrics addresses."""

    def test_a_client_that_has_gone_is_no_error_of_the_server(self):
        """Guards against a trace on stderr for each malformed request of a client that has gone.

        The server answers a request line that it cannot parse outside the part that handles errors
        of the connection, so any client could fill the log.
        """
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.addCleanup(listener.close)
        server = ControlServer(("127.0.0.1", 0), lambda environ, start_response: [])
        with socket.create_connection(listener.getsockname()) as client:
            accepted, address = listener.accept()
            client.sendall(b"no request line\r\n\r\n")
            error = BrokenPipeError("the client has gone")
            with mock.patch.object(socket.socket, "sendall", side_effect=error) as sendall:
                server.handle(accepted, address)
            accepted.close()
        sendall.assert_called_once()

    def test_a_malformed_request_is_refused_with_a_log_line(self):
        """Guards against an unexpected error in the server for what any client can send."""
        server = ControlServer(("127.0.0.1", 0), lambda environ, start_response: [])
        server.start()
        self.addCleanup(server.stop, timeout=0)
        for line in (b"GET /status HTTP/1", b"GET /status HTTP/x.1", b"\xff \xff", b"a b c d"):
            with self.subTest(line=line), capture_logs() as lines:
                with socket.create_connection(("127.0.0.1", server.server_port)) as client:
                    client.sendall(line + b"\r\n\r\n")
                    self.assertTrue(client.recv(4096).startswith(b"HTTP/1.1 400 "))
                self.assertEqual([entry["source"] for entry in lines], ["control"])

    def test_a_body_that_ends_early_is_refused_with_a_log_line(self):
        """Guards against a trace in the output for a client that leaves inside its request."""
        node = SimpleNamespace(on_message=lambda body, address: self.fail("was used"))
        control = ControlApplication(node, Codec(SECRET, 1), LinkSender(LinkPacer(), BootClock()))
        reports = ReportApplication(FakeControl(), "s1")
        paths = ((control, b"/v1/message"), (reports, b"/Instances.Heartbeat/i-1"))
        for application, path in paths:
            server = ControlServer(("127.0.0.1", 0), application)
            server.start()
            self.addCleanup(server.stop, timeout=0)
            for body in (b"content-length: 9\r\n\r\nabc", b"transfer-encoding: chunked\r\n\r\nx"):
                with self.subTest(path=path, body=body), capture_logs() as lines:
                    with socket.create_connection(("127.0.0.1", server.server_port)) as client:
                        client.sendall(b"POST %b HTTP/1.1\r\nhost: a\r\n%b" % (path, body))
                        client.shutdown(socket.SHUT_WR)
                        self.assertTrue(client.recv(4096).startswith(b"HTTP/1.1 400 "))
                    self.assertEqual([line["event"] for line in lines], ["input not usable"])


if __name__ == "__main__":
    unittest.main()
