"""One request of a caller and the answer to it."""

from typing import Protocol

from gevent import socket

from ._dialect import Dialect
from ._http_body import ByteSource, RequestBody
from ._http_head import RequestHead
from ._link_sender import LinkSender, Message
from ._outcome import Refusal

__all__ = ["CallerConnection", "Request"]


class CallerServer(Protocol):
    """What a request needs of the server that received it."""

    max_body_bytes: int
    draining: bool
    dialect: Dialect
    link: LinkSender | None


class CallerConnection(ByteSource, Protocol):
    """What a request needs of its caller's connection."""

    server: CallerServer
    sock: socket.socket
    read_stopped: bool

    def send(self, data: bytes) -> None:
        """Sends bytes to the caller."""

    def reset(self) -> None:
        """Closes the connection with a reset."""


class Request:
    """One request of a caller.

    Attributes:
        head: The request's head.
        body: The request's body.
        is_answered: Whether any byte of an answer was sent.
    """

    __slots__ = ("_connection", "_is_whole", "_message", "body", "head", "is_answered")

    def __init__(self, connection: "CallerConnection", head: RequestHead) -> None:
        self._connection = connection
        self._is_whole = False
        self._message: Message | None = None
        self.head = head
        self.body = RequestBody(connection, head, connection.server.max_body_bytes)
        self.is_answered = False

    @property
    def can_keep_alive(self) -> bool:
        """Whether a further request can follow on the caller's connection."""
        return (
            self.head.keep_alive and self.body.is_complete and not self._connection.server.draining
        )

    @property
    def is_whole(self) -> bool:
        """Whether the answer is complete and the connection can be used again."""
        return self._is_whole

    def fileno(self) -> int:
        """Returns the descriptor of the caller's connection, -1 if it is closed."""
        return self._connection.sock.fileno()

    def send(self, data: bytes, of_bytes: int = 0) -> None:
        """Sends a part of the answer; waits while the caller does not read or the link is full.

        Args:
            data: The part.
            of_bytes: Size of the whole answer, if it is larger.

        Raises:
            CallerGoneError: The caller closed the connection.
        """
        self.is_answered = True
        connection = self._connection
        if connection.server.link is None:
            connection.send(data)
            return
        if self._message is None:
            self._message = connection.server.link.begin(max(of_bytes, len(data)))
        self._message.send(connection.send, data)

    def end(self, *, keep_alive: bool) -> None:
        """Notes that the answer is complete."""
        self._is_whole = keep_alive

    def refuse(self, refusal: Refusal) -> None:
        """Sends an answer of the node's own."""
        if not self.body.is_complete:
            self.body.skip_buffered()
        keep_alive = self.can_keep_alive
        head_only = self.head.method == "HEAD"
        dialect = self._connection.server.dialect
        self.send(refusal.encode(close=not keep_alive, head_only=head_only, dialect=dialect))
        self.end(keep_alive=keep_alive)

    def break_off(self) -> None:
        """Resets the caller's connection, so that a partial answer cannot pass for a whole one."""
        self._connection.reset()
        if self._message is not None:
            self._message.cancel()

    def interrupt_read(self) -> None:
        """Makes reading the body fail; an answer can still be sent."""
        self._connection.read_stopped = True
