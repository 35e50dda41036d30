"""One request and its answer on one connection to a peer."""

import errno
from dataclasses import dataclass
from typing import Protocol

from gevent import socket

from ._answer_parser import AnswerParser, HTTPParseError
from ._clock import NS_PER_MS
from ._early_answer import EarlyAnswerCheck, PauseTimer
from ._link_sender import LinkSender, OutgoingMessage
from ._sockets import (
    USER_TIMEOUT_MS,
    WriteCancelledError,
    cancel_write,
    is_open_and_idle,
    send_all,
    shut_down,
)
from .exceptions import OutcomeUnknownError

__all__ = ["Connection", "Exchange"]

BLOCK_BYTES = 64 * 1024
# A connection with more refusals is closed, which bounds the ids that are kept.
MAX_REFUSED_IDS = 16


class Pool(Protocol):
    """Pool that provides the connection of an exchange. `HttpPeer` implements it."""

    address: str
    link: LinkSender | None

    def put_idle(self, connection: "Connection", started_ns: int) -> None:
        """Returns a connection to the pool after its exchange ended cleanly."""

    def drop_idle_before(self, limit_ns: int) -> None:
        """Drops idle connections last used before a silent exchange began."""

    def now_ns(self) -> int:
        """Returns the current time."""

    def on_received(self) -> None:
        """Records that bytes arrived from the peer."""

    def on_unreachable(self, since_ns: int) -> None:
        """Records that the peer has acknowledged no bytes since the time `since_ns`."""


@dataclass(slots=True)
class Connection:
    """A connection to a peer.

    Attributes:
        sock: Connected socket.
        last_used_ns: When the connection was made or its last exchange ended cleanly.
        is_reused: Whether the connection served an earlier exchange.
        refused_ids: Ids of the requests that the peer refused on this connection. If it writes a
            refusal once more, the copy looks like the answer to a further attempt of the request.
    """

    sock: socket.socket
    last_used_ns: int
    is_reused: bool = False
    refused_ids: tuple[str, ...] = ()


class Exchange:
    """One request and its answer on one connection.

    The connection is closed unless the exchange ends cleanly.

    Args:
        peer: Pool that the connection returns to.
        connection: Connection to the peer.
        now_ns: The current time in nanoseconds.

    Attributes:
        started_ns: When the exchange got its connection.
        bytes_written: Bytes whose writing has begun; those that wait for the link are not counted.
        answered: Whether any byte of an answer has arrived.
        interrupt_reason: Why the exchange was interrupted; empty if it was not.
        sending_stopped: Whether the rest of the request will not be sent.
    """

    __slots__ = (
        "_body_bytes_left",
        "_connection",
        "_early_check",
        "_message",
        "_parser",
        "_pause",
        "_peer",
        "_received_bytes",
        "answered",
        "bytes_written",
        "interrupt_reason",
        "sending_stopped",
        "started_ns",
    )

    def __init__(self, peer: "Pool", connection: Connection, now_ns: int) -> None:
        self._peer = peer
        self._connection: Connection | None = connection
        self._parser: AnswerParser | None = None
        self._body_bytes_left = 0
        self._message: OutgoingMessage | None = None
        self._early_check: EarlyAnswerCheck | None = None
        self._pause: PauseTimer | None = None
        self._received_bytes = 0
        self.started_ns = now_ns
        self.bytes_written = 0
        self.answered = False
        self.interrupt_reason = ""
        self.sending_stopped = False

    @property
    def is_reused(self) -> bool:
        """Whether the connection served an earlier exchange."""
        return self._connection is not None and self._connection.is_reused

    @property
    def is_paced(self) -> bool:
        """Whether large messages wait for their turn on the VM's link."""
        return self._peer.link is not None

    @property
    def has_early_answer(self) -> bool:
        """Whether the peer has sent bytes or closed the connection that were not read yet."""
        return self._connection is not None and not is_open_and_idle(self._connection.sock)

    def ends_upload(self, method: str, echo: tuple[str, str]) -> bool:
        """Returns whether the rest of the request is of no use to the peer; does not block.

        That is so if it has sent the head of its final answer or invalid bytes, or has ended the
        connection. See `receive_head` for the arguments.
        """
        if not self.has_early_answer or self._connection is None:
            return False
        if self._early_check is None:
            self._early_check = EarlyAnswerCheck()
        return self._early_check.is_due(self._connection.sock, method, echo)

    def send(self, data: bytes) -> None:
        """Sends raw bytes of the request.

        After an early answer of the peer the bytes are dropped without an error.

        Raises:
            OutcomeUnknownError: The connection broke; some of the bytes may have arrived.
        """
        try:
            self._write(data)
        except OSError as error:
            is_early = not self.interrupt_reason and self.has_early_answer
            if not (self.sending_stopped or is_early):
                raise self._failure(str(error), "http.send", error) from error
            # A peer may answer and close before it has read the whole request. The answer can still
            # be received; if there is none, receiving raises the error.
            self.sending_stopped = True

    def _write(self, data: bytes) -> None:
        if self.sending_stopped:
            raise WriteCancelledError("the peer needs no more of the request")
        link, sock = self._peer.link, self._open_socket()

        def write(block: bytes | memoryview) -> None:
            if self.interrupt_reason:
                raise OSError("interrupted while waiting for the link")
            if self.sending_stopped:
                # A part of an earlier block may be missing, and a cancellation may be due.
                raise WriteCancelledError("the peer needs no more of the request")
            self.bytes_written += len(block)
            send_all(sock, block)

        if link is None:
            write(data)
            return
        self._message = link.begin(len(data))
        self._message.send(write, data)

    def receive_head(self, method: str, echo: tuple[str, str] = ("", "")) -> AnswerParser:
        """Receives the status line and the headers of the answer.

        Args:
            method: Method of the request.
            echo: Name and value of a header that the answer repeats, see `AnswerParser`.

        Raises:
            OutcomeUnknownError: The connection ended or the answer is not valid HTTP.
        """
        self._parser = parser = AnswerParser(method, echo)
        while not parser.is_head_complete:
            self._receive()
        if parser.length is not None:
            self._body_bytes_left = parser.length
        return parser

    def read(self) -> bytes:
        """Returns the next part of the body, or empty bytes at its end.

        Raises:
            OutcomeUnknownError: The body was cut short.
        """
        parser = self._parser
        data = parser.pop_body()
        if parser.length is not None:
            if not data and self._body_bytes_left:
                data = self._receive_raw()
                if len(data) > self._body_bytes_left:
                    parser.has_trailing_bytes = True
                    data = data[: self._body_bytes_left]
            self._body_bytes_left -= len(data)
            return data
        while not data and not parser.is_complete:
            self._receive()
            data = parser.pop_body()
        return data

    def finish(self, *, refused_id: str = "") -> None:
        """Returns the connection to the pool if the exchange ended cleanly.

        Args:
            refused_id: Id of the request if the peer refused it.
        """
        connection = self._connection
        if connection is None or not self._is_clean():
            self.abort()
            return
        if refused_id:
            connection.refused_ids += (refused_id,)
            if len(connection.refused_ids) > MAX_REFUSED_IDS:
                self.abort()
                return
        self._connection = None
        self._peer.put_idle(connection, self.started_ns)

    def abort(self) -> None:
        """Closes the connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.sock.close()

    def stop_sending(self) -> None:
        """Stops sending the request and ends a blocked `send`; the answer can still be read.

        The own direction stays open, since a peer may take its end for that of the caller.
        """
        if self._connection is None or self.sending_stopped:
            return
        self.sending_stopped = True
        self._pause = PauseTimer()
        cancel_write(self._connection.sock)
        self._cancel_link_wait()

    def end_request(self, now_ns: int) -> None:
        """Ends the own direction if the peer pauses after `stop_sending`.

        An upstream may wait for the rest of the request before it goes on with its answer.

        Args:
            now_ns: The current time in nanoseconds.
        """
        if self._pause is None or self._connection is None or self.has_early_answer:
            return
        if self._pause.is_over(self._received_bytes, now_ns):
            self._pause = None
            shut_down(self._connection.sock, socket.SHUT_WR)

    def interrupt(self, reason: str) -> None:
        """Shuts the connection down, so that another greenlet's blocked call on it fails.

        Args:
            reason: Stored in `interrupt_reason` and part of the error message.
        """
        if self._connection is None or self.interrupt_reason:
            return
        self.interrupt_reason = reason
        shut_down(self._connection.sock, socket.SHUT_RDWR)
        self._cancel_link_wait()

    def _cancel_link_wait(self) -> None:
        if self._message is not None:
            self._message.cancel()

    def report_silence(self) -> None:
        """Makes the pool drop connections older than this exchange, if no answer arrived."""
        if not self.answered:
            self._peer.drop_idle_before(self.started_ns)

    def _is_clean(self) -> bool:
        parser = self._parser
        if (
            self.sending_stopped
            or parser is None
            or not parser.is_head_complete
            or not parser.keep_alive
            or parser.has_trailing_bytes
        ):
            return False
        return self._body_bytes_left == 0 if parser.length is not None else parser.is_complete

    def _receive(self) -> None:
        data = self._receive_raw(end_allowed=True)
        parser = self._parser
        try:
            if data:
                parser.feed(data)
            elif parser.is_head_complete and parser.length is None and not parser.is_chunked:
                parser.is_complete = True
            else:
                raise HTTPParseError("the connection ended inside the answer")
        except HTTPParseError as error:
            raise self._failure(str(error), "http.receive") from error

    def _receive_raw(self, end_allowed: bool = False) -> bytes:
        try:
            data = self._open_socket().recv(BLOCK_BYTES)
        except OSError as error:
            raise self._failure(str(error), "http.receive", error) from error
        if self.interrupt_reason:
            raise self._failure("interrupted", "http.receive")
        if data:
            self.answered = True
            self._received_bytes += len(data)
            self._peer.on_received()
        elif not end_allowed:
            raise self._failure("the connection ended inside the body", "http.receive")
        return data

    def _open_socket(self) -> socket.socket:
        if self._connection is None:
            raise OSError("the connection is closed")
        return self._connection.sock

    def _failure(self, detail: str, step: str, error: OSError | None = None) -> OutcomeUnknownError:
        self.abort()
        if error is not None and error.errno == errno.ETIMEDOUT:
            self._peer.on_unreachable(self._peer.now_ns() - USER_TIMEOUT_MS * NS_PER_MS)
        if self.interrupt_reason:
            detail = f"stopped: {self.interrupt_reason}"
        return OutcomeUnknownError(detail, step=step, peer=self._peer.address)
