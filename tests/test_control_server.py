"""Connections to the control server that their clients close early."""

import unittest
from unittest import mock

from gevent import socket

from auburnsail._control_server import ControlServer


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


if __name__ == "__main__":
    unittest.main()
