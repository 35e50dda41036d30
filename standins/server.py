"""HTTP servers of the stand-ins; the upstream's gives access to the connection of a request."""

import errno
import itertools

import gevent
from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

ENVIRON_KEY = "standin.connection"


class Connection:
    """One accepted connection.

    Attributes:
        number: Connections are numbered in the order of their arrival.
        carries_work: Whether a request other than an administrative one has used it.
    """

    def __init__(self, sock: socket.socket, number: int) -> None:
        self._socket = sock
        self.number = number
        self.carries_work = False

    def wait_closed(self, timeout_s: float | None) -> bool:
        """Waits until the peer closes the connection.

        Args:
            timeout_s: Longest wait in seconds; None waits without end.

        Returns:
            Whether the peer closed it. A connection on which the next request arrives early counts
            as open, and the rest of the time is waited out.
        """
        with gevent.Timeout(timeout_s, False):
            socket.wait_read(self._socket.fileno())
            if not self._is_closed():
                gevent.sleep(timeout_s if timeout_s is not None else 3600)
                return False
            return True
        return False

    def _is_closed(self) -> bool:
        try:
            return not self._socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True


class Handler(WSGIHandler):
    """Hands the connection to the application and keeps silent where the server says so."""

    def __init__(self, sock, address, server, rfile=None) -> None:
        super().__init__(sock, address, server, rfile)
        self._connection = server.open_connection(sock)

    def get_environ(self) -> dict:
        """Returns the WSGI environment of the current request."""
        environ = super().get_environ()
        environ[ENVIRON_KEY] = self._connection
        return environ

    def read_requestline(self) -> str:
        """Reads a request line; on a silent connection the request is never looked at."""
        line = super().read_requestline()
        self.server.keep_silent(self._connection)
        return line


class NoDelayServer(WSGIServer):
    """Sets TCP_NODELAY: head and body leave in two writes, and the second one waits without it."""

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Handles one accepted connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


class UpstreamServer(WSGIServer):
    """Counts connections and can make the accepted ones silent.

    Args:
        address: Host and port to listen on.
        application: WSGI application.
        connect_ms: Time that a new connection takes before it is served, in milliseconds.
    """

    handler_class = Handler

    def __init__(self, address: tuple[str, int], application, connect_ms: float) -> None:
        super().__init__(address, application, log=None, error_log=None, backlog=1024)
        self._connect_ms = connect_ms
        self._numbers = itertools.count(1)
        self._newest = 0
        self._silent_up_to = 0
        self.connections: set[Connection] = set()
        self.most_working = 0

    @property
    def working(self) -> int:
        """Number of open connections that carry work."""
        return sum(connection.carries_work for connection in self.connections)

    def open_connection(self, sock: socket.socket) -> Connection:
        """Registers an accepted connection."""
        self._newest = next(self._numbers)
        connection = Connection(sock, self._newest)
        self.connections.add(connection)
        return connection

    def admit_work(self, connection: Connection, limit: int) -> bool:
        """Returns whether a connection may carry work under the limit on connections."""
        if not connection.carries_work:
            if self.working >= limit:
                return False
            connection.carries_work = True
            self.most_working = max(self.most_working, self.working)
        return True

    def silence_accepted(self) -> None:
        """Makes all connections accepted so far silent for ever."""
        self._silent_up_to = self._newest

    def keep_silent(self, connection: Connection) -> None:
        """Returns at once on a normal connection and never answers on a silent one."""
        if connection.number <= self._silent_up_to:
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
