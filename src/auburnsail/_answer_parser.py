"""Parsing of answers from upstreams and other nodes, based on geventhttpclient's response parser.

The library's own response classes read the socket themselves and store headers in a
case-insensitive dictionary. A router only forwards headers, so a flat list costs less per answer.
"""

import re

from geventhttpclient._parser import HTTPParseError, HTTPResponseParser

__all__ = ["AnswerParser", "HTTPParseError"]

MAX_HEAD_BYTES = 64 * 1024
# Limit on chunk sizes, extensions and trailers, which detects endless answers without a body. Each
# byte of the body raises it, since a chunk of one byte has five bytes of framing.
MAX_FRAMING_BYTES = 64 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 16
NO_CONTENT_STATUSES = frozenset({204, 304})
_STATUS_LINE = re.compile(r"HTTP/\d\.\d +\d{3}")


class AnswerParser(HTTPResponseParser):
    """Parses one final answer and the interim answers before it.

    Attributes:
        status: Status code, 0 until the head is complete.
        phrase: Reason phrase.
        fields: Header names and values as received.
        length: Declared length of the body, or None if it is chunked or ends with the connection.
        is_chunked: Whether the body is chunked.
        is_head_complete: Whether the head of the final answer is complete.
        is_complete: Whether the final answer is complete.
        has_trailing_bytes: Whether more bytes followed the final answer.
        keep_alive: Whether the connection can be reused.
        skipped_answers: Number of skipped answers that belonged to other requests.
    """

    def __init__(self, method: str, echo: tuple[str, str] = ("", "")) -> None:
        """Creates a parser for the answer to one request.

        Args:
            method: Method of the request.
            echo: Lower-case name and value of a request header that the answer repeats. An answer
                with another value belongs to another request and is skipped; an answer without
                the header is accepted. An empty name disables the check.
        """
        super().__init__()
        self._echo_name, self._echo_value = echo
        self._is_for_other_request = False
        self.skipped_answers = 0
        self._is_head_request = method == "HEAD"
        self._name = ""
        self._value: str | None = None
        self._head_bytes = 0
        self._framing_budget = MAX_FRAMING_BYTES
        self._body: list[bytes] = []
        self.status = 0
        self.phrase = ""
        self.fields: list[tuple[str, str]] = []
        self.length: int | None = None
        self.is_chunked = False
        self.is_head_complete = False
        self.is_complete = False
        self.has_trailing_bytes = False
        self.keep_alive = True

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            HTTPParseError: The bytes are not a valid answer, or exceed a size limit.
        """
        if not self.is_head_complete:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES + len(data):
                raise HTTPParseError("the head of the answer is too large")
        else:
            self._framing_budget -= len(data)
        try:
            super().feed(data)
        except HTTPParseError:
            # Bytes after a complete answer rule out reuse of the connection; the answer is valid.
            if not self.is_complete:
                raise
            self.has_trailing_bytes = True
        if self._framing_budget < 0 and not self.is_complete:
            raise HTTPParseError("the answer has more framing than body")

    @property
    def has_skipped(self) -> bool:
        """Whether the bytes so far hold at least a part of an answer to another request."""
        return self._is_for_other_request or self.skipped_answers > 0

    def field(self, name: str) -> str:
        """Returns the value of a header by its lower-case name, empty if the answer lacks it."""
        return next((value for field, value in self.fields if field.lower() == name), "")

    def pop_body(self) -> bytes:
        """Returns the body bytes parsed since the last call, and clears them."""
        if not self._body:
            return b""
        data = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        self._body.clear()
        return bytes(data)

    def _on_message_begin(self) -> None:
        if self.is_complete:
            self.has_trailing_bytes = True
        else:
            self.phrase = ""
            self.fields.clear()
            # The last trailer of a skipped answer.
            self._name, self._value = "", None

    def _on_status(self, text: str) -> None:
        if not self.is_complete:
            self.phrase += text

    def _on_header_field(self, text: str) -> None:
        if self.is_complete or self.is_head_complete:
            # Trailers are not forwarded.
            return
        if self._value is None:
            self._name += text
        else:
            self.fields.append((self._name, self._value))
            self._name, self._value = text, None

    def _on_header_value(self, text: str) -> None:
        if self.is_head_complete:
            return
        self._value = text if self._value is None else self._value + text

    def _on_headers_complete(self) -> bool:
        if self.is_complete:
            return False
        if self._name:
            self.fields.append((self._name, self._value or ""))
            self._name, self._value = "", None
        self._check_not_merged()
        code = self.get_code()
        if code == 101 or code < 100:
            raise HTTPParseError(f"unexpected status {code}")
        if code < 200:
            return False
        if self._echo_name and self._has_other_echo():
            self._is_for_other_request = True
            return False
        self.status = code
        self.is_head_complete = True
        self._read_framing()
        return self._is_head_request

    def _check_not_merged(self) -> None:
        """Raises HTTPParseError if the head continues with the status line of another answer.

        A peer that stopped inside a head and goes on with another answer would otherwise give the
        status of the first one to the other headers and the body of the second one.
        """
        text = "\n".join([self.phrase, *[value for _, value in self.fields]])
        if "HTTP/" in text and _STATUS_LINE.search(text):
            raise HTTPParseError("the head of the answer contains another status line")

    def _has_other_echo(self) -> bool:
        echoes = [value for name, value in self.fields if name.lower() == self._echo_name]
        return bool(echoes) and echoes[0].strip() != self._echo_value

    def _read_framing(self) -> None:
        length = None
        keep_alive = self.get_http_version() == "HTTP/1.1"
        for name, value in self.fields:
            match name.lower():
                case "content-length":
                    if length is not None and length != value.strip():
                        raise HTTPParseError("the answer has conflicting content-length headers")
                    length = value.strip()
                case "transfer-encoding":
                    if value.strip().lower() != "chunked" or self.is_chunked:
                        raise HTTPParseError("the answer has an unsupported transfer-encoding")
                    self.is_chunked = True
                case "connection":
                    if "close" in value.lower():
                        keep_alive = False
        if length is not None and self.is_chunked:
            raise HTTPParseError("the answer has both content-length and transfer-encoding")
        if self._is_head_request or self.status in NO_CONTENT_STATUSES:
            self.length = 0
        elif length is not None:
            if not (length.isascii() and length.isdecimal()):
                raise HTTPParseError("the answer has a malformed content-length")
            self.length = int(length)
        self.keep_alive = keep_alive and (self.length is not None or self.is_chunked)
        # A peer that sent an answer to another request may do so again, so no reuse.
        self.keep_alive = self.keep_alive and not self.skipped_answers

    def _on_body(self, data: bytes) -> None:
        if self.is_head_complete and not self.is_complete:
            self._body.append(data)
            self._framing_budget += FRAMING_BYTES_PER_BODY_BYTE * len(data)

    def _on_message_complete(self) -> None:
        if self._is_for_other_request:
            self._is_for_other_request = False
            self.skipped_answers += 1
        elif self.is_head_complete:
            self.is_complete = True
