"""Connections to one HTTP peer.

The response parser is geventhttpclient's. Its own client is not used, because it sends a request
again after a connection error, and a router may not repeat a request whose outcome is unknown.
"""

from dataclasses import dataclass

import gevent
from gevent import socket
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError, HTTPSocketResponse

from .exceptions import NotRunError, OutcomeUnknownError

__all__ = ["Answer", "Exchange", "HttpPeer"]

CONNECT_TIMEOUT_S = 1.0
BLOCK_BYTES = 64 * 1024
MAX_IDLE = 64


@dataclass(slots=True)
class Answer:
    """A whole answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Exchange:
    """One request on one connection; closed unless the exchange ends cleanly."""

    def __init__(self, peer: "HttpPeer", sock: socket.socket) -> None:
        self._peer = peer
        self._socket = sock
        self._response: HTTPSocketResponse | None = None
        self.bytes_sent = 0

    def send(self, data: bytes) -> None:
        """Sends raw bytes of the request."""
        try:
            self._socket.sendall(data)
        except OSError as error:
            self.abort()
            raise OutcomeUnknownError(
                str(error), step="http.send", peer=self._peer.address
            ) from error
        self.bytes_sent += len(data)

    def receive_head(self, method: str) -> HTTPSocketResponse:
        """Waits for the status line and the headers of the answer."""
        try:
            self._response = _Response(self._socket, BLOCK_BYTES, method)
        except (OSError, HTTPConnectionClosed, HTTPParseError) as error:
            self.abort()
            raise OutcomeUnknownError(
                str(error) or "connection closed", step="http.receive", peer=self._peer.address
            ) from error
        return self._response

    def read(self) -> bytes:
        """Returns the next part of the body, or empty bytes at its end."""
        response = self._response
        buffered = response.take()
        if buffered or response.message_complete:
            return buffered
        try:
            while not buffered and not response.message_complete:
                data = self._socket.recv(BLOCK_BYTES)
                response.feed(data)
                if not data and not response.message_complete:
                    raise HTTPParseError("connection closed inside the body")
                buffered = response.take()
        except (OSError, HTTPParseError) as error:
            self.abort()
            raise OutcomeUnknownError(
                str(error), step="http.read", peer=self._peer.address
            ) from error
        return buffered

    def finish(self) -> None:
        """Returns the connection to the pool if the exchange ended cleanly."""
        if self._socket is None:
            return
        if self._response is not None and not self._response.should_close():
            self._peer.put_idle(self._socket)
            self._socket = None
        else:
            self.abort()

    def abort(self) -> None:
        """Closes the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


class _Response(HTTPSocketResponse):
    """Response parser that leaves the connection to the exchange."""

    def __init__(self, sock: socket.socket, block_size: int, method: str) -> None:
        super().__init__(sock, block_size=block_size, method=method)

    def release(self) -> None:
        """Does nothing: the exchange decides what becomes of the connection."""

    def take(self) -> bytes:
        """Returns and clears the body bytes parsed so far."""
        data = bytes(self._body_buffer)
        self._body_buffer.clear()
        return data


class HttpPeer:
    """A pool of connections to one address.

    Args:
        address: ``ip:port`` of the peer.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._endpoint = (host, int(port))
        self._idle: list[socket.socket] = []
        self.address = address

    def open(self) -> Exchange:
        """Returns an exchange on an idle or a new connection.

        Raises:
            NotRunError: No connection could be made.
        """
        while self._idle:
            sock = self._idle.pop()
            if _is_quiet(sock):
                return Exchange(self, sock)
            sock.close()
        try:
            sock = socket.create_connection(self._endpoint, timeout=CONNECT_TIMEOUT_S)
        except OSError as error:
            raise NotRunError(str(error), step="http.connect", peer=self.address) from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(None)
        return Exchange(self, sock)

    def put_idle(self, sock: socket.socket) -> None:
        """Keeps a connection for later use."""
        if len(self._idle) < MAX_IDLE:
            self._idle.append(sock)
        else:
            sock.close()

    def drop_idle(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def fetch(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout_s: float,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Answer:
        """Makes one small request and returns the whole answer.

        Args:
            method: HTTP method.
            target: Request target.
            body: Request body.
            timeout_s: Longest wait for the whole exchange in seconds.
            headers: Further request headers.

        Raises:
            NotRunError: No connection could be made.
            OutcomeUnknownError: The request was sent but no whole answer came.
        """
        exchange = self.open()
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.address}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        timeout = gevent.Timeout(timeout_s)
        timeout.start()
        try:
            exchange.send(head + body)
            response = exchange.receive_head(method)
            parts = []
            while part := exchange.read():
                parts.append(part)
            exchange.finish()
            return Answer(response.get_code(), list(response.items()), b"".join(parts))
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            self.drop_idle()
            raise OutcomeUnknownError(
                f"no answer within {timeout_s} s", step="http.fetch", peer=self.address
            ) from None
        finally:
            timeout.close()
            exchange.abort()


def _is_quiet(sock: socket.socket) -> bool:
    # An idle connection that is readable was closed by the peer or carries stray bytes.
    try:
        return not _readable(sock)
    except OSError:
        return False


def _readable(sock: socket.socket) -> bool:
    try:
        sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    return True
