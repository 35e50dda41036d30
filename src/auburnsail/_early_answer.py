"""Recognises an answer that arrives before the whole request body was sent."""

from gevent import socket

from ._answer_parser import AnswerParser, HTTPParseError
from ._sockets import has_ended, peek

__all__ = ["EarlyAnswerCheck", "ends_upload"]

PEEK_BYTES = 128 * 1024
# The kernel's buffer may not hold the whole of a longer head, so its end may never be seen.
MAX_VISIBLE_HEAD_BYTES = 32 * 1024


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
        if len(data) == self._size:
            return False
        self._size = len(data)
        return ends_upload(data, method, echo)


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
