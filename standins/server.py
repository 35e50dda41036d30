"""HTTP servers of the stand-ins.

The server of the upstream gives its application access to the connection of each request.
"""

import errno
import itertools
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.lock import BoundedSemaphore
from gevent.pywsgi import WSGIHandler, WSGIServer

CONNECTION_ENVIRON_KEY = "standin.connection"
# Of an answer that is longer, only the beginning is kept.
MAX_RECORDED_BYTES = 64 * 1024


class Connection:
    """An accepted connection.

    Attributes:
        number: Sequence number in the order of acceptance.
        has_work: Whether it has carried a request other than an administrative one.
        write_lock: Held while an answer is written.
    """

    def __init__(self, sock: socket.socket, number: int) -> None:
        self._socket = sock
        self.write_lock = BoundedSemaphore(1)
        self.number = number
        self.has_work = False

    def wait_closed(self, timeout_s: float | None) -> bool:
        """Waits until the peer closes the connection.

        Args:
            timeout_s: Maximum wait in seconds; None for no limit.

        Returns:
            Whether the peer closed it. If the next request arrives during the wait, the connection
            counts as open and the rest of the time is waited out.
        """
        with gevent.Timeout(timeout_s, False):
            socket.wait_read(self._socket.fileno())
            if not self._is_closed():
                gevent.sleep(timeout_s if timeout_s is not None else 3600)
                return False
            return True
        return False

    def write_between_answers(self, data: bytes) -> bool:
        """Writes bytes that belong to no answer; returns False if the connection has ended."""
        with self.write_lock:
            try:
                self._socket.sendall(data)
            except OSError:
                return False
        return True

    def _is_closed(self) -> bool:
        try:
            return not self._socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True


class ConnectionHandler(WSGIHandler):
    """Request handler that passes the connection to the application and can be made silent."""

    def __init__(self, sock, address, server, rfile=None) -> None:
        super().__init__(sock, address, server, rfile)
        self._connection = server.open_connection(sock)
        self._written = b""
        self._is_writing = False

    def handle_one_response(self) -> None:
        """Handles one request, and reports its answer to the server if the connection is kept."""
        self._written = b""
        try:
            super().handle_one_response()
        finally:
            if self._is_writing:
                self._is_writing = False
                self._connection.write_lock.release()
        if self._written and not self.close_connection:
            self.server.on_answer(self._connection, self._written)

    def _sendall(self, data: bytes) -> None:
        if not self._is_writing:
            self._connection.write_lock.acquire()
            self._is_writing = True
        if len(self._written) <= MAX_RECORDED_BYTES:
            self._written += data
        super()._sendall(data)

    def get_environ(self) -> dict:
        """Returns the WSGI environment of the current request, with its connection."""
        environ = super().get_environ()
        environ[CONNECTION_ENVIRON_KEY] = self._connection
        return environ

    def read_requestline(self) -> str:
        """Reads a request line; on a silent connection the request is never processed."""
        line = super().read_requestline()
        self.server.block_if_silent(self._connection)
        return line


class NoDelayServer(WSGIServer):
    """WSGI server that sets TCP_NODELAY.

    Head and body of a response are written separately; without it the second write is delayed.
    """

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Handles one accepted connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


class UpstreamServer(WSGIServer):
    """WSGI server that counts connections and can make the accepted ones silent.

    A silent connection stays open, but no request or response is processed on it any more.

    Args:
        address: Host and port to listen on.
        application: WSGI application.
        connect_ms: Delay in milliseconds before a new connection is served.

    Attributes:
        connections: Open connections.
        on_answer: Called with a connection that is kept and the answer that was written to it.
        most_working_connections: Maximum of `working_connections` since the start.
    """

    handler_class = ConnectionHandler

    def __init__(self, address: tuple[str, int], application, connect_ms: float) -> None:
        super().__init__(address, application, log=None, error_log=None, backlog=1024)
        self._connect_ms = connect_ms
        self._numbers = itertools.count(1)
        self._newest_number = 0
        self._last_silent_number = 0
        self.connections: set[Connection] = set()
        self.on_answer: Callable[[Connection, bytes], None] = lambda connection, answer: None
        self.most_working_connections = 0

    @property
    def working_connections(self) -> int:
        """Number of open connections that have carried work."""
        return sum(connection.has_work for connection in self.connections)

    def open_connection(self, sock: socket.socket) -> Connection:
        """Registers an accepted connection."""
        self._newest_number = next(self._numbers)
        connection = Connection(sock, self._newest_number)
        self.connections.add(connection)
        return connection

    def admit_work(self, connection: Connection, limit: int) -> bool:
        """Marks a connection as carrying work; returns False if the limit is reached instead."""
        if not connection.has_work:
            if self.working_connections >= limit:
                return False
            connection.has_work = True
            self.most_working_connections = max(
                self.most_working_connections, self.working_connections
            )
        return True

    def silence_accepted_connections(self) -> None:
        """Makes all connections accepted so far silent for the rest of their lifetime."""
        self._last_silent_number = self._newest_number

    def is_silent(self, connection: Connection) -> bool:
        """Returns whether a connection is silent."""
        return connection.number <= self._last_silent_number

    def block_if_silent(self, connection: Connection) -> None:
        """Returns at once unless the connection is silent.

        Raises:
            ConnectionResetError: The connection is silent and the peer has closed it.
        """
        if self.is_silent(connection):
            connection.wait_closed(None)
            raise ConnectionResetError(errno.ECONNRESET, "silent connection")

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Handles one accepted connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._connect_ms:
            gevent.sleep(self._connect_ms / 1000)
        handler = self.handler_class(sock, address, self)
        try:
            handler.handle()
        finally:
            self.connections.discard(handler._connection)
