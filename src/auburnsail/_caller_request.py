"""A request of a caller, and sending the answer to it."""

from typing import Protocol

from gevent import socket

from ._clock import NS_PER_MS
from ._dialect import Dialect
from ._http_body import ByteSource, RequestBody
from ._http_head import RequestHead
from ._link_sender import LinkSender, OutgoingMessage
from ._outcome import Refusal

__all__ = ["CallerConnection", "Request"]


class CallerServer(Protocol):
    """Parts of the HTTP server that a request uses.

    `dialect` names the headers of callers. `link` paces answers, or is None for no pacing. While
    `draining` is set, each connection is closed after its current answer; `draining_since_ns` tells
    since when, 0 if it is not set.
    """

    max_body_bytes: int
    draining: bool
    draining_since_ns: int
    dialect: Dialect
    link: LinkSender | None


class CallerConnection(ByteSource, Protocol):
    """Parts of the caller's connection that a request uses.

    Reading fails after `read_stopped` was set. `requests` counts the requests read so far;
    `wait_ended` tells whether the node has ended a wait for a request on the connection.
    """

    server: CallerServer
    sock: socket.socket
    read_stopped: bool
    requests: int
    wait_ended: bool

    def send(self, data: bytes) -> None:
        """Sends bytes to the caller."""

    def acknowledged_bytes(self) -> int:
        """Returns the number of bytes that the caller's kernel has acknowledged."""

    def reset(self) -> None:
        """Resets the connection."""


class Request:
    """One request of a caller.

    Attributes:
        head: Parsed head of the request.
        body: Body of the request, read on demand.
        is_answered: Whether sending the answer has begun.
        is_writing: Whether a part of the answer is being sent.
        is_answer_complete: Whether the whole answer was sent.
    """

    __slots__ = (
        "_can_reuse_connection",
        "_connection",
        "_message",
        "_sent_bytes",
        "body",
        "head",
        "is_answer_complete",
        "is_answered",
        "is_writing",
    )

    def __init__(self, connection: "CallerConnection", head: RequestHead) -> None:
        self._connection = connection
        self._can_reuse_connection = False
        self._message: OutgoingMessage | None = None
        self._sent_bytes = 0
        self.head = head
        self.body = RequestBody(connection, head, connection.server.max_body_bytes)
        self.is_answered = False
        self.is_writing = False
        self.is_answer_complete = False

    @property
    def can_keep_alive(self) -> bool:
        """Whether the caller's connection can be kept for a further request."""
        return (
            self.head.keep_alive and self.body.is_complete and not self._connection.server.draining
        )

    @property
    def can_reuse_connection(self) -> bool:
        """Whether the answer is complete and the connection can be used again."""
        return self._can_reuse_connection

    @property
    def is_waiting_for_link(self) -> bool:
        """Whether the next block of the answer waits for its turn on the VM's link."""
        return self._message is not None and self._message.is_waiting

    def connection_facts(self, now_ns: int) -> dict[str, object]:
        """Returns the state of the caller's connection for log lines.

        Args:
            now_ns: The current time in nanoseconds.
        """
        connection = self._connection
        since_ns = connection.server.draining_since_ns
        return {
            "connection_requests": connection.requests,
            "wait_ended": connection.wait_ended,
            "stopping_ms": (now_ns - since_ns) // NS_PER_MS if since_ns else -1,
        }

    def fileno(self) -> int:
        """Returns the file descriptor of the caller's connection, -1 if it is closed."""
        return self._connection.sock.fileno()

    def acknowledged_bytes(self) -> int:
        """Returns the number of bytes on the connection that the caller has acknowledged."""
        return self._connection.acknowledged_bytes()

    def send(self, data: bytes, total_bytes: int = 0) -> None:
        """Sends a part of the answer; blocks while the caller does not read or the link is full.

        Args:
            data: Bytes to send.
            total_bytes: Size of the whole answer, if larger than the first part; 0 if unknown. An
                answer of unknown size counts as large on the link once its parts are.

        Raises:
            CallerGoneError: The caller closed the connection.
        """
        self.is_answered = self.is_writing = True
        connection = self._connection
        link = connection.server.link
        try:
            if link is None:
                connection.send(data)
                return
            self._sent_bytes += len(data)
            if self._message is None or not self._message.is_large:
                self._message = link.begin(max(total_bytes, self._sent_bytes))
            self._message.send(connection.send, data)
        finally:
            self.is_writing = False

    def end(self, *, keep_alive: bool) -> None:
        """Records that the answer is complete and whether the connection can be reused."""
        self.is_answer_complete = True
        self._can_reuse_connection = keep_alive

    def refuse(self, refusal: Refusal) -> None:
        """Sends a refusal as the complete answer."""
        if not self.body.is_complete:
            self.body.skip_buffered()
        keep_alive = self.can_keep_alive
        head_only = self.head.method == "HEAD"
        dialect = self._connection.server.dialect
        self.send(refusal.encode(close=not keep_alive, head_only=head_only, dialect=dialect))
        self.end(keep_alive=keep_alive)

    def reset_connection(self) -> None:
        """Resets the caller's connection, so that a partial answer never looks complete."""
        self._connection.reset()
        if self._message is not None:
            self._message.cancel()

    def interrupt_read(self) -> None:
        """Makes reading the request body fail; an answer can still be sent."""
        self._connection.read_stopped = True
