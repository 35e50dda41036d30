"""One request and its answer on one connection to a peer."""

import errno
from dataclasses import dataclass
from typing import Protocol

from gevent import socket

from ._answer_parser import AnswerParser, HTTPParseError
from ._clock import NS_PER_MS
from ._link_sender import LinkSender, Message
from ._sockets import UNACKNOWLEDGED_MS, is_quiet, send_all, shut_down
from .exceptions import OutcomeUnknownError

__all__ = ["Connection", "Exchange"]

BLOCK_BYTES = 64 * 1024


class Pool(Protocol):
    """Where the connection of an exchange comes from; `HttpPeer` implements it."""

    address: str
    link: LinkSender | None

    def put_idle(self, connection: "Connection", started_ns: int) -> None:
        """Takes a connection back whose exchange ended cleanly."""

    def suspect_before(self, limit_ns: int) -> None:
        """Notes that the peer stayed silent on an exchange that began at a time."""

    def now_ns(self) -> int:
        """Returns the current time."""

    def on_heard(self) -> None:
        """Notes that the peer sent something."""

    def on_unreachable(self, since_ns: int) -> None:
        """Notes that the peer acknowledged nothing since a time."""


@dataclass(slots=True)
class Connection:
    """A connection to a peer.

    Attributes:
        sock: Its socket.
        proven_ns: When it was last proven to work.
        is_reused: Whether it served an earlier exchange.
    """

    sock: socket.socket
    proven_ns: int
    is_reused: bool = False


class Exchange:
    """One request on one connection; closed unless the exchange ends cleanly.

    Attributes:
        started_ns: When the exchange got its connection.
        bytes_sent: Bytes handed to the operating system, at least.
        answered: Whether any byte of an answer arrived.
        interrupt_reason: Why the exchange was interrupted, or an empty string.
        sending_stopped: Whether the rest of the request is not sent.
    """

    __slots__ = (
        "_connection",
        "_left",
        "_message",
        "_parser",
        "_peer",
        "answered",
        "bytes_sent",
        "interrupt_reason",
        "sending_stopped",
        "started_ns",
    )

    def __init__(self, peer: "Pool", connection: Connection, now_ns: int) -> None:
        self._peer = peer
        self._connection: Connection | None = connection
        self._parser: AnswerParser | None = None
        self._left = 0
        self._message: Message | None = None
        self.started_ns = now_ns
        self.bytes_sent = 0
        self.answered = False
        self.interrupt_reason = ""
        self.sending_stopped = False

    @property
    def is_reused(self) -> bool:
        """Whether the connection served an earlier exchange."""
        return self._connection is not None and self._connection.is_reused

    @property
    def has_early_answer(self) -> bool:
        """Whether the peer sent something, or closed, before the request was sent completely."""
        return self._connection is not None and not is_quiet(self._connection.sock)

    def send(self, data: bytes) -> None:
        """Sends raw bytes of the request.

        Raises:
            OutcomeUnknownError: The connection broke; some of the bytes may have arrived.
        """
        self.bytes_sent += len(data)
        try:
            self._hand_over(data)
        except OSError as error:
            is_early = not self.interrupt_reason and self.has_early_answer
            if not (self.sending_stopped or is_early):
                raise self._failure(str(error), "http.send", error) from error
            # A peer may answer and close before it has read the whole request; the answer can still
            # be received, and without one the receiver reports the failure.
            self.sending_stopped = True

    def _hand_over(self, data: bytes) -> None:
        link, sock = self._peer.link, self._open_socket()
        if link is None:
            send_all(sock, data)
            return
        self._message = link.begin(len(data))
        self._message.send(lambda block: send_all(sock, block), data)

    def receive_head(self, method: str, echo: tuple[str, str] = ("", "")) -> AnswerParser:
        """Waits for the status line and the headers of the answer.

        Args:
            method: The request's method.
            echo: See `AnswerParser`.

        Raises:
            OutcomeUnknownError: The connection ended or carried no valid answer.
        """
        self._parser = parser = AnswerParser(method, echo)
        while not parser.head_done:
            self._receive()
        if parser.length is not None:
            self._left = parser.length
        return parser

    def read(self) -> bytes:
        """Returns the next part of the body, or empty bytes at its end.

        Raises:
            OutcomeUnknownError: The body was cut short.
        """
        parser = self._parser
        data = parser.take_body()
        if parser.length is not None:
            if not data and self._left:
                data = self._receive_raw()
                if len(data) > self._left:
                    parser.has_excess = True
                    data = data[: self._left]
            self._left -= len(data)
            return data
        while not data and not parser.done:
            self._receive()
            data = parser.take_body()
        return data

    def finish(self) -> None:
        """Returns the connection to the pool if the exchange ended cleanly."""
        connection = self._connection
        if connection is None or not self._is_clean():
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
        """Gives up the rest of the request and wakes a blocked `send`; the answer can be read."""
        if self._connection is None or self.sending_stopped:
            return
        self.sending_stopped = True
        shut_down(self._connection.sock, socket.SHUT_WR)
        self._end_wait()

    def interrupt(self, reason: str) -> None:
        """Makes a blocked call of another greenlet on this exchange fail.

        Args:
            reason: Kept in `interrupt_reason` and named in the error.
        """
        if self._connection is None or self.interrupt_reason:
            return
        self.interrupt_reason = reason
        shut_down(self._connection.sock, socket.SHUT_RDWR)
        self._end_wait()

    def _end_wait(self) -> None:
        if self._message is not None:
            self._message.cancel()

    def suspect(self) -> None:
        """Notes that the peer stayed silent on this exchange."""
        if not self.answered:
            self._peer.suspect_before(self.started_ns)

    def _is_clean(self) -> bool:
        parser = self._parser
        if parser is None or not parser.head_done or not parser.keep_alive or parser.has_excess:
            return False
        return self._left == 0 if parser.length is not None else parser.done

    def _receive(self) -> None:
        data = self._receive_raw(at_end_ok=True)
        parser = self._parser
        try:
            if data:
                parser.feed(data)
            elif parser.head_done and parser.length is None and not parser.is_chunked:
                parser.done = True
            else:
                raise HTTPParseError("the connection ended inside the answer")
        except HTTPParseError as error:
            raise self._failure(str(error), "http.receive") from error

    def _receive_raw(self, at_end_ok: bool = False) -> bytes:
        try:
            data = self._open_socket().recv(BLOCK_BYTES)
        except OSError as error:
            raise self._failure(str(error), "http.receive", error) from error
        if self.interrupt_reason:
            raise self._failure("interrupted", "http.receive")
        if data:
            self.answered = True
            self._peer.on_heard()
        elif not at_end_ok:
            raise self._failure("the connection ended inside the body", "http.receive")
        return data

    def _open_socket(self) -> socket.socket:
        if self._connection is None:
            raise OSError("the connection is closed")
        return self._connection.sock

    def _failure(self, detail: str, step: str, error: OSError | None = None) -> OutcomeUnknownError:
        self.abort()
        if error is not None and error.errno == errno.ETIMEDOUT:
            self._peer.on_unreachable(self._peer.now_ns() - UNACKNOWLEDGED_MS * NS_PER_MS)
        if self.interrupt_reason:
            detail = f"stopped: {self.interrupt_reason}"
        return OutcomeUnknownError(detail, step=step, peer=self._peer.address)
