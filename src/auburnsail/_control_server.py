"""The server of a node's own addresses: control, reports, readiness and metrics."""

from gevent import socket
from gevent.pywsgi import WSGIServer

__all__ = ["ControlServer"]


class ControlServer(WSGIServer):
    """gevent's WSGI server with TCP_NODELAY and without a log of its own."""

    # A further accept that finds nobody is one system call for each connection.
    max_accept = 1

    def __init__(self, address: tuple[str, int], application) -> None:
        super().__init__(address, application, log=None, error_log=None)

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Handles one accepted connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)
