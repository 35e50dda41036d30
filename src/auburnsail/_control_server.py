"""WSGI server for a node's control, report, readiness and metrics addresses."""

from typing import Any

import structlog
from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from ._checked_input import reject

__all__ = ["ControlServer", "read_body"]


def read_body(environ: dict[str, Any], source: str, limit: int = -1) -> bytes:
    """Returns the body of a request, at most `limit` bytes of it if that is not negative.

    Raises:
        InvalidInputError: The body ended early or is malformed; it was counted and logged.
    """
    try:
        return environ["wsgi.input"].read(limit)
    except (OSError, ValueError) as error:
        raise reject(source, f"the body cannot be read: {error}", b"") from None


class _Handler(WSGIHandler):
    """gevent's handler, for which a malformed request is no error of the server."""

    def read_request(self, raw_requestline: str) -> bool:
        """Returns whether the head of a request is valid; False is answered with status 400."""
        try:
            return super().read_request(raw_requestline)
        # gevent raises IndexError for a version without a dot.
        except (ValueError, IndexError):
            reject("control", "the request is malformed", raw_requestline.encode("latin-1"))
            return False


class ControlServer(WSGIServer):
    """gevent's WSGI server with TCP_NODELAY and without an access log."""

    handler_class = _Handler
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
