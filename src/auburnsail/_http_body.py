"""Streaming of request bodies with bounded memory."""

import re
from typing import Protocol

from ._http_head import RequestHead
from ._outcome import RequestFailedError, refused
from .exceptions import CallerGoneError

__all__ = ["BLOCK_BYTES", "ByteSource", "RequestBody"]

BLOCK_BYTES = 64 * 1024
MAX_CHUNK_LINE_BYTES = 1024
MAX_TRAILER_BYTES = 8 * 1024
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
_TRAILER = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*")


class ByteSource(Protocol):
    """The receiving half of a caller's connection."""

    buffered: bytes

    def receive(self) -> bool:
        """Receives bytes and appends them to `buffered`.

        Returns:
            False if the connection has ended.
        """

    def send_continue(self) -> None:
        """Sends ``100 Continue``, which asks the caller for the body."""


class RequestBody:
    """The body of one request.

    Args:
        source: The connection that the body is read from.
        head: Head of the request.
        max_bytes: Maximum length of the body.

    Raises:
        RequestFailedError: The declared length is above the limit.

    Attributes:
        is_complete: Whether the whole body has been read.
    """

    __slots__ = (
        "_chunk_remaining",
        "_is_chunked",
        "_is_continue_due",
        "_max_bytes",
        "_received",
        "_remaining",
        "_source",
        "is_complete",
    )

    def __init__(self, source: ByteSource, head: RequestHead, max_bytes: int) -> None:
        self._source = source
        self._is_chunked = head.chunked
        self._remaining = head.length
        self._chunk_remaining = 0
        self._max_bytes = max_bytes
        self._received = 0
        self._is_continue_due = head.expects_continue
        self.is_complete = not head.chunked and head.length == 0
        if head.length > max_bytes:
            raise _too_large(max_bytes)

    def lower_limit(self, max_bytes: int) -> None:
        """Lowers the maximum length; called before the body is read.

        Raises:
            RequestFailedError: The declared length is above the limit.
        """
        self._max_bytes = min(self._max_bytes, max_bytes)
        if not self._is_chunked and self._remaining > self._max_bytes:
            raise _too_large(self._max_bytes)

    def read(self) -> bytes:
        """Returns the next part of the body, or empty bytes at its end.

        Raises:
            CallerGoneError: The caller closed the connection inside the body.
            RequestFailedError: The chunked encoding is malformed or the body is too large.
        """
        if self.is_complete:
            return b""
        if self._is_continue_due:
            self._is_continue_due = False
            if not self._source.buffered:
                self._source.send_continue()
        return self._read_chunk() if self._is_chunked else self._read_plain()

    def read_at_least(self, min_bytes: int) -> bytes:
        """Returns the beginning of the body: at least `min_bytes` bytes, or all of a shorter body.

        Raises:
            CallerGoneError: The caller closed the connection inside the body.
            RequestFailedError: The chunked encoding is malformed or the body is too large.
        """
        if self.is_complete:
            return b""
        parts, size = [], 0
        while size < min_bytes and (part := self.read()):
            parts.append(part)
            size += len(part)
        return b"".join(parts)

    def skip_buffered(self) -> None:
        """Discards a body that is completely buffered, so that the connection can be reused."""
        if not self._is_chunked and not self.is_complete:
            source = self._source
            if len(source.buffered) >= self._remaining:
                source.buffered = source.buffered[self._remaining :]
                self._remaining = 0
                self.is_complete = True

    def _read_plain(self) -> bytes:
        data = self._read_buffered(self._remaining)
        self._remaining -= len(data)
        self.is_complete = self._remaining == 0
        return data

    def _read_chunk(self) -> bytes:
        if self._chunk_remaining == 0:
            self._chunk_remaining = self._read_chunk_size()
            if self._chunk_remaining == 0:
                self._read_trailers()
                self.is_complete = True
                return b""
            self._received += self._chunk_remaining
            if self._received > self._max_bytes:
                raise _too_large(self._max_bytes)
        data = self._read_buffered(self._chunk_remaining)
        self._chunk_remaining -= len(data)
        if self._chunk_remaining == 0 and self._read_line(0) != b"":
            raise _bad_chunk("a chunk is longer than its size")
        return data

    def _read_chunk_size(self) -> int:
        match = _CHUNK_LINE.fullmatch(self._read_line(MAX_CHUNK_LINE_BYTES))
        if match is None:
            raise _bad_chunk("a chunk size is malformed")
        return int(match[1], 16)

    def _read_trailers(self) -> None:
        size = 0
        while line := self._read_line(MAX_TRAILER_BYTES):
            size += len(line)
            if size > MAX_TRAILER_BYTES or not _TRAILER.fullmatch(line):
                raise _bad_chunk("the trailer section is malformed or too large")

    def _read_line(self, limit: int) -> bytes:
        source = self._source
        while (end := source.buffered.find(b"\r\n")) < 0:
            # The byte after the limit may be the CR of the line end.
            if len(source.buffered) > limit + 1:
                raise _bad_chunk("a line of the chunked encoding is too long")
            self._receive()
        if end > limit:
            raise _bad_chunk("a line of the chunked encoding is too long")
        line = source.buffered[:end]
        source.buffered = source.buffered[end + 2 :]
        return line

    def _read_buffered(self, limit: int) -> bytes:
        source = self._source
        if not source.buffered:
            self._receive()
        if len(source.buffered) <= limit:
            data, source.buffered = source.buffered, b""
            return data
        data, source.buffered = source.buffered[:limit], source.buffered[limit:]
        return data

    def _receive(self) -> None:
        if not self._source.receive():
            raise CallerGoneError("the connection ended inside the body", step="request.body")


def _bad_chunk(detail: str) -> RequestFailedError:
    return refused("400 Bad Request", "bad-chunk", detail, "request.body")


def _too_large(limit: int) -> RequestFailedError:
    detail = f"the body is longer than {limit} bytes"
    return refused("413 Content Too Large", "body-too-large", detail, "request.body")
