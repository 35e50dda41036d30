"""HTTP server for callers and other nodes.

gevent's server accepts connections and starts a greenlet for each. Its request handler is replaced
through the documented `handler_class`, because it loses the original target and header lines in the
WSGI environment, accepts heads that an upstream may parse differently, and copies each body through
several layers.
"""

import contextlib
import os
import struct
from typing import Protocol

import gevent
from gevent import socket
from gevent.pywsgi import WSGIServer

from ._caller_request import Request
from ._clock import NS_PER_MS, BootClock, Clock
from ._connection_log import ConnectionLog
from ._dialect import DEFAULT_DIALECT, Dialect
from ._http_body import BLOCK_BYTES
from ._http_head import MAX_HEAD_BYTES, parse_head
from ._linger import linger
from ._link_sender import LinkSender
from ._outcome import RequestFailedError, refused
from ._sockets import ReadCancelledError, acknowledged_bytes, cancel_read, send_all
from ._sweeper import Sweeper
from .exceptions import CallerGoneError

__all__ = ["Application", "HttpServer"]

HEAD_TIMEOUT_MS = 10_000
IDLE_TIMEOUT_MS = 75_000
DRAIN_CHECK_INTERVAL_S = 0.025
# Consecutive checks without a request in flight after which a drain is complete.
REQUIRED_IDLE_CHECKS = 2
RECEIPT_TIMEOUT_MS = 30_000
LINGER_TIMEOUT_MS = 5_000
BODY_POLL_INTERVAL_S = 0.02
MAX_BODY_BYTES = 1 << 30
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_MAX_ACCEPTED_AT_DRAIN = 1024


class Application(Protocol):
    """Serves the requests of a server."""

    def __call__(self, request: Request) -> None:
        """Answers one request and returns when the answer is sent."""

    def sweep(self, now_ns: int) -> None:
        """Cancels requests whose deadline has passed or whose caller has disconnected."""


class _Connection:
    """A caller's connection; serves its requests sequentially.

    Attributes:
        awaits_request: Whether the connection is open and waits for the first byte of a request.
    """

    __slots__ = (
        "_is_in_body",
        "_timed_out",
        "awaits_request",
        "buffered",
        "head_deadline_ns",
        "is_idle",
        "read_stopped",
        "requests",
        "server",
        "sock",
        "wait_ended",
    )

    def __init__(self, sock: socket.socket, _address: tuple, server: "HttpServer") -> None:
        self.sock = sock
        self.server = server
        self.buffered = b""
        self.head_deadline_ns = 0
        self.is_idle = True
        self.awaits_request = False
        self.read_stopped = False
        self.requests = 0
        self.wait_ended = False
        self._is_in_body = False
        self._timed_out = False

    def handle(self) -> None:
        """Serves requests until the connection ends."""
        connections = self.server.connections
        connections.add(self)
        try:
            while self._serve_one():
                pass
        except CallerGoneError as error:
            # The request path raises this only where it has not logged the request as unanswered.
            self.server.connection_log.unanswered(self, self.server.address, error)
        finally:
            connections.discard(self)
            self.sock.close()

    def receive(self) -> bool:
        """Implements `ByteSource.receive`."""
        try:
            data = self._receive_in_body() if self._is_in_body else self._receive_in_head()
        except OSError:
            return False
        self.buffered = self.buffered + data if self.buffered else data
        return bool(data)

    def _receive_in_head(self) -> bytes:
        while True:
            try:
                return self.sock.recv(BLOCK_BYTES)
            except ReadCancelledError:
                if self.awaits_request:
                    return self._receive_arrived()
                if self._timed_out:
                    return b""
                # The wait that was to end had already returned the first bytes of a request.

    def _receive_arrived(self) -> bytes:
        """Returns the bytes that have arrived, empty bytes if there are none."""
        self.sock.settimeout(0.0)
        try:
            return self.sock.recv(BLOCK_BYTES)
        except BlockingIOError:
            return b""
        finally:
            self.sock.settimeout(None)

    def _receive_in_body(self) -> bytes:
        # Polls instead of shutting the socket down: closing a socket that is shut down for reading
        # sends a reset, which can reach the caller before the answer.
        self.sock.settimeout(BODY_POLL_INTERVAL_S)
        try:
            while not self.read_stopped:
                with contextlib.suppress(TimeoutError, ReadCancelledError):
                    return self.sock.recv(BLOCK_BYTES)
            return b""
        finally:
            self.sock.settimeout(None)

    def send(self, data: bytes) -> None:
        """Sends bytes to the caller.

        Raises:
            CallerGoneError: The caller closed the connection.
        """
        try:
            send_all(self.sock, data)
        except OSError as error:
            raise CallerGoneError(str(error), step="answer") from error

    def send_continue(self) -> None:
        """Implements `ByteSource.send_continue`."""
        self.send(_CONTINUE)

    def acknowledged_bytes(self) -> int:
        """Implements `CallerConnection.acknowledged_bytes`."""
        return acknowledged_bytes(self.sock)

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.sock.close()

    def expire(self) -> None:
        """Ends the wait for a request head that did not arrive in time."""
        self._timed_out = True
        self.end_wait()

    def end_wait(self) -> None:
        """Ends the wait for a request; the connection closes if no byte of one has arrived."""
        self.wait_ended = True
        cancel_read(self.sock)

    def _serve_one(self) -> bool:
        server = self.server
        try:
            data = self._read_head()
            if data is None:
                return False
            head = parse_head(data, server.dialect)
            self.requests += 1
            self.read_stopped = False
            self._is_in_body = head.chunked or head.length > 0
            request = Request(self, head)
        except RequestFailedError as error:
            self.head_deadline_ns = 0
            self.send(error.refusal.encode(close=True, dialect=server.dialect))
            self.is_idle = True
            self._linger()
            return False
        try:
            server.application(request)
        finally:
            self.is_idle = True
            self._is_in_body = False
        if request.can_reuse_connection:
            return True
        self._linger()
        return False

    def _linger(self) -> None:
        if self.sock.fileno() >= 0:
            server = self.server
            linger(self.sock, server.clock, server.receipt_timeout_ms, server.linger_timeout_ms)

    def _read_head(self) -> bytes | None:
        server = self.server
        now_ns = server.clock.now_ns()
        if not self.buffered:
            if server.draining and server.closes_idle_connections:
                return None
            self.head_deadline_ns = now_ns + server.idle_timeout_ms * NS_PER_MS
            self.awaits_request = True
            try:
                if not self.receive():
                    return None
            finally:
                self.awaits_request = False
        self._timed_out = False
        self.is_idle = False
        server.sweeper.wake()
        self.head_deadline_ns = server.clock.now_ns() + server.head_timeout_ms * NS_PER_MS
        if self.buffered.startswith(b"\r\n"):
            # RFC 9112 section 2.2: a server ignores an empty line before a request.
            self.buffered = self.buffered[2:]
        while (end := self.buffered.find(b"\r\n\r\n")) < 0:
            if len(self.buffered) > server.max_head_bytes:
                break
            if b"\n\n" in self.buffered:
                raise refused("400 Bad Request", "line-end", "a line does not end in CR LF")
            if not self.receive():
                if self._timed_out:
                    detail = "the head did not arrive in time"
                    raise refused("408 Request Timeout", "head-timeout", detail)
                return None
        self.head_deadline_ns = 0
        if not 0 <= end <= server.max_head_bytes:
            detail = f"the head is longer than {server.max_head_bytes} bytes"
            raise refused("431 Request Header Fields Too Large", "head-too-large", detail)
        data = self.buffered[:end]
        self.buffered = self.buffered[end + 4 :]
        return data


class HttpServer(WSGIServer):
    """Serves HTTP on one address.

    Args:
        listener: Address to listen on, or a listening socket.
        application: Serves the requests.
        clock: Source of time.
        max_body_bytes: Maximum length of a request body.
        dialect: Header names of the callers.
        link: Sender that accounts for traffic on the VM's network link, or None.
        sweeper: Sweeper shared with the application's other servers; None creates one.

    Attributes:
        draining: Whether every answer closes its connection.
        draining_since_ns: Since when `draining` is set, 0 if it is not.
        idle_timeout_ms: Maximum time that a connection stays open without a request.
        head_timeout_ms: Maximum time from the first byte of a head to its end.
        receipt_timeout_ms: Maximum time that a connection stays open after its last answer until
            the caller's system has all of it.
        linger_timeout_ms: Maximum time that it then stays open for a caller that still sends.
        max_head_bytes: Maximum length of a request head.
        closes_idle_connections: Whether a draining server closes a connection after its answer
            without waiting for a further request.
    """

    handler_class = _Connection
    # With a higher value gevent calls accept again after each connection, usually in vain.
    max_accept = 1

    def __init__(
        self,
        listener: tuple[str, int] | socket.socket,
        application: Application,
        *,
        clock: Clock | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
        dialect: Dialect = DEFAULT_DIALECT,
        link: LinkSender | None = None,
        sweeper: Sweeper | None = None,
    ) -> None:
        self.link = link
        super().__init__(listener, application, log=None, error_log=None)
        self.clock = clock or BootClock()
        self.connection_log = ConnectionLog(self.clock)
        self.connections: set[_Connection] = set()
        self.draining = False
        self.draining_since_ns = 0
        self.closes_idle_connections = False
        self.max_body_bytes = max_body_bytes
        self.dialect = dialect
        self.idle_timeout_ms = IDLE_TIMEOUT_MS
        self.head_timeout_ms = HEAD_TIMEOUT_MS
        self.receipt_timeout_ms = RECEIPT_TIMEOUT_MS
        self.linger_timeout_ms = LINGER_TIMEOUT_MS
        self.max_head_bytes = MAX_HEAD_BYTES
        self.sweeper = sweeper or Sweeper(application, self.clock)
        self.sweeper.add(self)

    @property
    def is_idle(self) -> bool:
        """Whether no connection has a request in flight."""
        return all(connection.is_idle for connection in self.connections)

    @property
    def in_flight(self) -> int:
        """Number of connections with a request in flight."""
        return sum(not connection.is_idle for connection in self.connections)

    def start(self) -> None:
        """Starts to accept connections."""
        super().start()
        self.sweeper.start()

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Handles one accepted connection."""
        # Nagle's algorithm would delay a second segment by up to 40 ms, until the first is
        # acknowledged.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)

    def announce_close(self) -> None:
        """Makes every answer close its connection from now on."""
        if not self.draining:
            self.draining = True
            self.draining_since_ns = self.clock.now_ns()

    def drain(self, *, idle_grace_s: float, timeout_s: float) -> bool:
        """Stops accepting connections and waits until the requests in flight are answered.

        Connections in the listen queue are still accepted and served. Every answer from now on
        closes its connection.

        Args:
            idle_grace_s: Time in seconds that idle connections stay open for requests in transit.
            timeout_s: Maximum wait in seconds.

        Returns:
            Whether all requests in flight were answered.
        """
        self.announce_close()
        self.stop_accepting()
        self._accept_queued()
        self.close()
        deadline_ns = self.clock.now_ns() + int(timeout_s * 1e9)
        gevent.sleep(min(idle_grace_s, timeout_s))
        self.closes_idle_connections = True
        idle_checks = 0
        while self.connections and idle_checks < REQUIRED_IDLE_CHECKS:
            for connection in tuple(self.connections):
                if connection.awaits_request:
                    connection.end_wait()
            # A socket may hold a request that its greenlet has not read yet.
            idle_checks = 0 if self.in_flight else idle_checks + 1
            if self.clock.now_ns() >= deadline_ns:
                return not self.in_flight
            gevent.sleep(DRAIN_CHECK_INTERVAL_S)
        return True

    def kill(self) -> None:
        """Stops accepting connections and resets all open ones."""
        self.stop(timeout=0)
        self.sweeper.stop()
        for connection in tuple(self.connections):
            connection.reset()

    def expire_connections(self, now_ns: int) -> None:
        """Ends connections whose next request head did not arrive in time."""
        for connection in tuple(self.connections):
            if 0 < connection.head_deadline_ns <= now_ns:
                connection.expire()

    def _accept_queued(self) -> None:
        # `self.socket` is a weak reference, so the descriptor is duplicated.
        listener = socket.socket(fileno=os.dup(self.socket.fileno()))
        listener.settimeout(0)
        for _ in range(_MAX_ACCEPTED_AT_DRAIN):
            try:
                sock, address = listener.accept()
            except OSError:
                break
            sock.settimeout(None)
            gevent.spawn(self.handle, sock, address)
        listener.close()
