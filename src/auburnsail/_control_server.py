"""WSGI server for a node's control, report, readiness and metrics addresses."""

import structlog
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
        """Handles one accepted connection, which its client may end at any time."""
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            super().handle(sock, address)
        except OSError as error:
            log = structlog.get_logger("control")
            log.info("connection ended before the answer", address=address[0], error=str(error))
