"""The HTTP server that faces callers and other nodes."""

from gevent import socket
from gevent.pywsgi import WSGIServer

__all__ = ["HttpServer"]


class HttpServer(WSGIServer):
    """Serves HTTP on one address."""

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Handles one accepted connection."""
        # Head and body can leave in two segments; Nagle's algorithm then waits for the delayed
        # acknowledgement of the first, about 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)
