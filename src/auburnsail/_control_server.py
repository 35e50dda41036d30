"""WSGI server for a node's control, report, readiness and metrics addresses."""

from gevent import socket
from gevent.pywsgi import WSGIServer

__all__ = ["ControlServer"]


class ControlServer(WSGIServer):
    """gevent's WSGI server with TCP_NODELAY and without an access log."""

    # With a higher value gevent calls accept again after each connection, usually in vain.
    max_accept = 1

    def __init__(self, address: tuple[str, int], application) -> None:
        super().__init__(address, application, log=None, error_log=None)

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Handles one accepted connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)
