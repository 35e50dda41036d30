"""Strict parsing of request heads.

Ambiguous heads are refused: if the router and an upstream parsed a request differently, an attacker
could make them disagree about where it ends (request smuggling). Valid heads are recognised by one
regular expression; the exact fault of a head is searched for only if that does not match.
"""

import re
from dataclasses import dataclass, field
from urllib.parse import unquote_to_bytes

from . import _headers
from ._dialect import DEFAULT_DIALECT, Dialect
from ._outcome import RequestFailedError, refused

__all__ = ["MAX_HEAD_BYTES", "RequestHead", "parse_head", "split_target"]

MAX_HEAD_BYTES = 32 * 1024
MAX_TARGET_BYTES = 8 * 1024
MAX_HEADER_FIELDS = 100
MAX_LENGTH_DIGITS = 15

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_HEAD = re.compile(
    rb"%s [\x21\x22\x24-\x7e]+ HTTP/1\.[01](?:\r\n%s:[\t\x20-\x7e\x80-\xff]*)*" % (_TOKEN, _TOKEN)
)
_REQUEST_LINE = re.compile(rb"%s [\x21\x22\x24-\x7e]+ HTTP/1\.[01]" % _TOKEN)
_VERSION = re.compile(rb"[^ ]+ [^ ]+ HTTP/[0-9.]+")
_FIELD = re.compile(rb"%s:[\t\x20-\x7e\x80-\xff]*" % _TOKEN)
_DIGITS = re.compile(r"[0-9]+")
_BAD_PERCENT = re.compile(r"%(?![0-9A-Fa-f]{2})")

_FORBIDDEN_METHODS = frozenset({"CONNECT", "TRACE"})
_BAD_REQUEST = "400 Bad Request"


@dataclass(slots=True)
class RequestHead:
    """A valid request head.

    Attributes:
        method: Method as the caller sent it.
        target: Request target in origin form, unchanged otherwise.
        path: Target without its query.
        forwarded_lines: Header lines to forward, as the caller sent them.
        parsed_headers: Values of the headers that this node interprets, by lower-case name.
        length: Declared length of the body in bytes, 0 if there is none.
        chunked: Whether the body is chunked.
        keep_alive: Whether the connection may stay open after the answer.
        is_http_10: Whether the caller speaks HTTP/1.0.
        expects_continue: Whether the caller waits for ``100 Continue``.
    """

    method: str
    target: str
    path: str
    forwarded_lines: list[str] = field(default_factory=list)
    parsed_headers: dict[str, str] = field(default_factory=dict)
    length: int = 0
    chunked: bool = False
    keep_alive: bool = True
    is_http_10: bool = False
    expects_continue: bool = False


def parse_head(data: bytes, dialect: Dialect = DEFAULT_DIALECT) -> RequestHead:
    """Parses a request head.

    Args:
        data: The request line and header lines, without the final empty line.
        dialect: Names of the headers that this node interprets.

    Raises:
        RequestFailedError: The head is malformed, ambiguous or too large.
    """
    if _HEAD.fullmatch(data) is None:
        raise _diagnose(data)
    request_line, *fields = data.decode("latin-1").split("\r\n")
    if len(fields) > MAX_HEADER_FIELDS:
        raise _too_large(f"more than {MAX_HEADER_FIELDS} header fields")
    method, target, version = request_line.split(" ")
    if len(target) > MAX_TARGET_BYTES:
        detail = f"the target is longer than {MAX_TARGET_BYTES} bytes"
        raise refused("414 URI Too Long", "target-too-long", detail)
    if method in _FORBIDDEN_METHODS:
        raise refused("405 Method Not Allowed", "method", f"method {method} is not supported")
    target, path = split_target(target)
    head = RequestHead(method, target, path)
    _classify_fields(head, fields, dialect)
    _read_framing(head, version == "HTTP/1.0")
    return head


def _classify_fields(head: RequestHead, fields: list[str], dialect: Dialect) -> None:
    lines, headers = head.forwarded_lines, head.parsed_headers
    kept_aside, single = dialect.kept_aside, dialect.single
    for line in fields:
        raw_name, _, value = line.partition(":")
        name = raw_name.lower()
        if name in kept_aside:
            value = value.strip(" \t")
            if name in headers:
                if name in single:
                    raise refused(
                        _BAD_REQUEST, "repeated-header", f"header {name} occurs more than once"
                    )
                value = f"{headers[name]}, {value}"
            headers[name] = value
        elif "_" in name:
            # CGI-style upstreams treat x_name and x-name as one header, so a caller could spoof an
            # internal header with an underscore.
            raise refused(
                _BAD_REQUEST, "header-name", f"header name {name!r} contains an underscore"
            )
        elif name.startswith(_headers.PREFIX):
            raise refused(
                _BAD_REQUEST, "internal-header", f"callers may not send the header {name}"
            )
        else:
            lines.append(line)


def _read_framing(head: RequestHead, is_http_10: bool) -> None:
    headers = head.parsed_headers
    if "host" not in headers and not is_http_10:
        raise refused(_BAD_REQUEST, "missing-host", "the request has no host header")
    head.is_http_10 = is_http_10
    head.keep_alive = not is_http_10
    if "connection" in headers:
        tokens = {token.strip().lower() for token in headers["connection"].split(",")}
        head.keep_alive = "close" not in tokens and (not is_http_10 or "keep-alive" in tokens)
        tokens -= {"close", "keep-alive", ""}
        if tokens:
            head.forwarded_lines = [
                line
                for line in head.forwarded_lines
                if line.partition(":")[0].lower() not in tokens
            ]
    encoding = headers.get("transfer-encoding")
    length = headers.get("content-length")
    if encoding is not None:
        _check_encoding(encoding, length, is_http_10)
        head.chunked = True
    elif length is not None:
        if not _DIGITS.fullmatch(length) or len(length) > MAX_LENGTH_DIGITS:
            raise refused(_BAD_REQUEST, "bad-length", "content-length is not a plain number")
        head.length = int(length)
    expectation = headers.get("expect")
    if expectation is not None:
        if expectation.lower() != "100-continue":
            raise refused("417 Expectation Failed", "expectation", "unknown expectation")
        head.expects_continue = not is_http_10


def _check_encoding(encoding: str, length: str | None, is_http_10: bool) -> None:
    if length is not None:
        raise refused(
            _BAD_REQUEST, "two-lengths", "both content-length and transfer-encoding are given"
        )
    if is_http_10:
        raise refused(_BAD_REQUEST, "transfer-encoding", "HTTP/1.0 has no transfer-encoding")
    if encoding.lower() != "chunked":
        detail = "the only supported transfer-encoding is chunked"
        raise refused("501 Not Implemented", "transfer-encoding", detail)


def split_target(target: str) -> tuple[str, str]:
    """Returns the target in origin form and its path without the query.

    Raises:
        RequestFailedError: The target is malformed, or has dot segments, with which an upstream
            could resolve the path to another service.
    """
    if not target.startswith("/"):
        scheme, separator, rest = target.partition("://")
        if not separator or scheme.lower() not in ("http", "https"):
            raise refused(
                _BAD_REQUEST, "bad-target", "the target is neither a path nor an http URL"
            )
        authority, slash, rest = rest.partition("/")
        if not slash or not authority:
            raise refused(_BAD_REQUEST, "bad-target", "the target has no path")
        target = "/" + rest
    path = target.partition("?")[0]
    if "%" in path:
        if _BAD_PERCENT.search(path):
            raise refused(_BAD_REQUEST, "bad-target", "the target has an incomplete percent escape")
        segments = unquote_to_bytes(path).split(b"/")
        if b"." in segments or b".." in segments:
            raise refused(_BAD_REQUEST, "bad-target", "the target has dot segments")
    elif "/." in path:
        segments = path.split("/")
        if "." in segments or ".." in segments:
            raise refused(_BAD_REQUEST, "bad-target", "the target has dot segments")
    return target, path


def _too_large(detail: str) -> RequestFailedError:
    return refused("431 Request Header Fields Too Large", "head-too-large", detail)


def _diagnose(data: bytes) -> RequestFailedError:
    without_line_ends = data.replace(b"\r\n", b"")
    if b"\n" in without_line_ends or b"\r" in without_line_ends:
        return refused(_BAD_REQUEST, "line-end", "a line does not end in CR LF")
    request_line, *fields = data.split(b"\r\n")
    if not _REQUEST_LINE.fullmatch(request_line):
        if _VERSION.fullmatch(request_line):
            detail = "this HTTP version or target is not supported"
            return refused("505 HTTP Version Not Supported", "request-line", detail)
        return refused(_BAD_REQUEST, "request-line", "the request line is malformed")
    for line in fields:
        if _FIELD.fullmatch(line):
            continue
        if line[:1] in (b" ", b"\t"):
            return refused(
                _BAD_REQUEST, "folded-header", "a header value continues on a second line"
            )
        name, colon, _ = line.partition(b":")
        if colon and name != name.rstrip(b" \t"):
            return refused(_BAD_REQUEST, "header-name", "a header name is followed by white space")
        return refused(_BAD_REQUEST, "bad-header", "a header line is malformed")
    return refused(_BAD_REQUEST, "request-line", "the request head is malformed")
