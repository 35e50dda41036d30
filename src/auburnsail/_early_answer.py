"""Recognises an answer that arrives before the whole request body was sent, and pauses in it."""

from gevent import socket

from ._answer_parser import AnswerParser, HTTPParseError
from ._clock import NS_PER_MS
from ._sockets import has_ended, peek

__all__ = ["MAX_PAUSE_NS", "EarlyAnswerCheck", "PauseTimer", "ends_upload"]

PEEK_BYTES = 128 * 1024
# The kernel's buffer may not hold the whole of a longer head, so its end may never be seen.
MAX_VISIBLE_HEAD_BYTES = 32 * 1024

# Longest pause in an early answer before the upstream is told that the request has ended.
MAX_PAUSE_NS = 500 * NS_PER_MS


class EarlyAnswerCheck:
    """Looks for the answer to one request whose body is being sent; reads nothing.

    Bytes that were found to be no final answer are parsed again only when more have arrived.
    """

    __slots__ = ("_size",)

    def __init__(self) -> None:
        self._size = 0

    def is_due(self, sock: socket.socket, method: str, echo: tuple[str, str]) -> bool:
        """Returns whether sending can stop, because the answer has begun or cannot come.

        Args:
            sock: Connection to the peer.
            method: Method of the request.
            echo: Name and value of a header that the answer repeats, see `AnswerParser`.
        """
        if has_ended(sock):
            return True
        data = peek(sock, PEEK_BYTES)
        if len(data) >= PEEK_BYTES:
            # What follows cannot be seen before these bytes are read.
            return True
        if len(data) == self._size:
            return False
        self._size = len(data)
        return ends_upload(data, method, echo)


class PauseTimer:
    """Measures how long a peer has sent nothing."""

    __slots__ = ("_received_bytes", "_since_ns")

    def __init__(self) -> None:
        self._received_bytes = -1
        self._since_ns = 0

    def is_over(self, received_bytes: int, now_ns: int) -> bool:
        """Returns whether the pause has lasted for `MAX_PAUSE_NS`.

        Args:
            received_bytes: Bytes received from the peer so far.
            now_ns: The current time in nanoseconds.
        """
        if received_bytes != self._received_bytes:
            self._received_bytes, self._since_ns = received_bytes, now_ns
        return now_ns - self._since_ns >= MAX_PAUSE_NS


def ends_upload(data: bytes, method: str, echo: tuple[str, str]) -> bool:
    """Returns whether received bytes hold the head of the final answer, or no valid answer.

    Interim answers, answers to other requests and an incomplete head do not end an upload. A head
    longer than `MAX_VISIBLE_HEAD_BYTES` counts as complete.

    Args:
        data: Bytes received since the request was sent.
        method: Method of the request.
        echo: Name and value of a header that the answer repeats, see `AnswerParser`.
    """
    parser = AnswerParser(method, echo)
    try:
        parser.feed(data)
    except HTTPParseError:
        return True
    is_long_head = len(data) >= MAX_VISIBLE_HEAD_BYTES and not parser.has_skipped
    return parser.is_head_complete or is_long_head
