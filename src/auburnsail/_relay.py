"""Writes requests to peers and passes their answers back, one block at a time."""

from . import _headers
from ._admission import Result
from ._answer_parser import AnswerParser
from ._clock import Clock
from ._dialect import Dialect
from ._exchange import Exchange
from ._flights import STALL_TIMEOUT_NS, Flight
from ._outcome import RequestFailedError, unknown
from .exceptions import CallerGoneError, OutcomeUnknownError

__all__ = ["BUFFERED_BYTES", "failure_of", "pass_on", "read_small", "request_head", "send_request"]

# Bodies up to this size are held as a whole: requests can be sent again, answers are complete
# before their first byte is passed on.
BUFFERED_BYTES = 64 * 1024
# Answers up to this size are read from the upstream beside this node before they are sent. With 12 slots
# and 100 answers that wait for a narrow link this is less than half of the smallest VM's memory.
HELD_BYTES = 768 * 1024
# An answer of unknown length counts as large for every link.
UNKNOWN_BYTES = 1 << 30
_LAST_CHUNK = b"0\r\n\r\n"
_DROPPED = _headers.HOP_BY_HOP


def request_head(flight: Flight, address: str, extra: str, dialect: Dialect) -> bytes:
    """Returns the head of the request that goes to a peer.

    Args:
        flight: The request, whose body prefix has been read.
        address: Address of the peer, for callers that name no host.
        extra: Further header lines, each with its line end.
        dialect: Header names of callers and upstreams.
    """
    head = flight.request.head
    special = head.special
    lines = [f"{head.method} {head.target} HTTP/1.1", f"host: {special.get('host', address)}"]
    lines += head.lines
    for name in (dialect.key, dialect.request_id):
        if (value := special.get(name)) is not None:
            lines.append(f"{name}: {value}")
    if dialect.caller_service:
        lines.append(f"{dialect.caller_service}: {flight.caller_service}")
    if flight.request.body.is_complete and not flight.is_body_consumed:
        if head.chunked or "content-length" in special:
            lines.append(f"content-length: {len(flight.prefix)}")
    elif head.chunked:
        lines.append("transfer-encoding: chunked")
    else:
        lines.append(f"content-length: {head.length}")
    return ("\r\n".join(lines) + "\r\n" + extra + "\r\n").encode("latin-1")


def send_request(flight: Flight, exchange: Exchange, head: bytes) -> None:
    """Sends a request with its body.

    Raises:
        OutcomeUnknownError: The connection to the peer broke.
        CallerGoneError: The caller closed the connection inside the body.
        RequestFailedError: The body is malformed or too large.
    """
    body = flight.request.body
    if body.is_complete:
        exchange.send(head + flight.prefix if flight.prefix else head)
        return
    is_chunked = flight.request.head.chunked
    exchange.send(head + (_chunk(flight.prefix) if is_chunked else flight.prefix))
    flight.is_body_consumed = True
    flight.is_sending = True
    try:
        # A peer that answers before the end of the body does not want the rest.
        while not exchange.sending_stopped:
            block = body.read()
            if block:
                exchange.send(_chunk(block) if is_chunked else block)
            if body.is_complete:
                if is_chunked:
                    exchange.send(_LAST_CHUNK)
                return
    except CallerGoneError:
        if not exchange.sending_stopped:
            raise
    finally:
        flight.is_sending = False


def read_small(exchange: Exchange, limit: int = BUFFERED_BYTES) -> bytes:
    """Returns the rest of a small answer body.

    Raises:
        OutcomeUnknownError: The body was cut short or is larger than the limit.
    """
    parts, size = [], 0
    while part := exchange.read():
        parts.append(part)
        size += len(part)
        if size > limit:
            raise OutcomeUnknownError("the body of a refusal is too large", step="http.read")
    return b"".join(parts)


def pass_on(
    flight: Flight,
    exchange: Exchange,
    answer: AnswerParser,
    extra: str,
    clock: Clock,
) -> None:
    """Passes an answer on to the caller.

    A small answer is read completely first, and one of the upstream beside this node up to a larger
    size: the upstream's slot is free for others while it is sent. A larger one is passed on block by
    block; if it is cut short, the caller's connection is reset, so that it never looks complete.

    Args:
        flight: The request.
        exchange: Exchange with the peer, whose answer's head was received.
        answer: The answer's head.
        extra: Further header lines, each with its line end.
        clock: Source of time.

    Raises:
        OutcomeUnknownError: The answer was cut short before a byte of it was passed on.
        CallerGoneError: The caller does not take the answer.
    """
    request = flight.request
    is_http_10 = request.head.is_http_10
    ends_with_close = answer.length is None and (is_http_10 or not answer.is_chunked)
    keep_alive = request.can_keep_alive and not ends_with_close
    head = _answer_head(answer, extra, keep_alive, is_http_10, ends_with_close)
    held_bytes = HELD_BYTES if flight.ticket is not None else BUFFERED_BYTES
    if answer.length is not None and answer.length <= held_bytes:
        body = exchange.read()
        if len(body) < answer.length:
            body += read_small(exchange, held_bytes)
        _finish(flight, exchange)
        flight.release(Result.ANSWERED)
        if len(body) > BUFFERED_BYTES:
            flight.progress_by_ns = clock.now_ns() + STALL_TIMEOUT_NS
        request.send(head + body if body else head)
        request.end(keep_alive=keep_alive)
        return
    flight.progress_by_ns = clock.now_ns() + STALL_TIMEOUT_NS
    try:
        _stream(flight, exchange, answer, head, not ends_with_close, clock)
    except OutcomeUnknownError:
        if request.is_answered:
            request.break_off()
        raise
    _finish(flight, exchange)
    request.end(keep_alive=keep_alive)


def _stream(
    flight: Flight,
    exchange: Exchange,
    answer: AnswerParser,
    head: bytes,
    rechunks: bool,
    clock: Clock,
) -> None:
    request = flight.request
    is_chunked = answer.is_chunked and rechunks
    pending = head
    while block := exchange.read():
        pending += _chunk(block) if is_chunked else block
        request.send(pending, answer.length or UNKNOWN_BYTES)
        pending = b""
        flight.progress_by_ns = clock.now_ns() + STALL_TIMEOUT_NS
    if is_chunked:
        pending += _LAST_CHUNK
    if pending:
        request.send(pending, answer.length or UNKNOWN_BYTES)


def _finish(flight: Flight, exchange: Exchange) -> None:
    # A request that was not sent completely leaves the connection in an unknown state.
    if flight.request.body.is_complete:
        exchange.finish()
    else:
        exchange.abort()


def _answer_head(
    answer: AnswerParser, extra: str, keep_alive: bool, is_http_10: bool, ends_with_close: bool
) -> bytes:
    lines = [f"HTTP/1.1 {answer.status} {answer.phrase}"]
    dropped = _DROPPED
    for name, value in answer.fields:
        if name.lower() == "connection" and value.lower() not in ("close", "keep-alive"):
            named = {token.strip().lower() for token in value.split(",")}
            dropped = dropped | (named - {"content-length"})
    for name, value in answer.fields:
        lower = name.lower()
        if lower in dropped or lower.startswith(_headers.PREFIX):
            continue
        lines.append(f"{name}: {value}")
    if answer.is_chunked and answer.length is None and not ends_with_close:
        lines.append("transfer-encoding: chunked")
    if not keep_alive:
        lines.append("connection: close")
    elif is_http_10:
        lines.append("connection: keep-alive")
    return ("\r\n".join(lines) + "\r\n" + extra + "\r\n").encode("latin-1")


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def failure_of(
    flight: Flight, exchange: Exchange, error: OutcomeUnknownError
) -> RequestFailedError:
    """Returns the failure of an attempt whose outcome is unknown.

    Raises:
        CallerGoneError: The attempt ended because the caller has gone.
    """
    match flight.stop_reason or exchange.interrupt_reason:
        case "caller-gone" | "stalled" as reason:
            raise CallerGoneError(reason, step="forward") from error
        case "deadline":
            return unknown(
                "deadline",
                "the deadline passed before the answer",
                error.step,
                error.peer,
                status="504 Gateway Timeout",
            )
        case "silent":
            detail = "the peer stayed silent on an older connection"
            return unknown("silent", detail, error.step, error.peer)
    return unknown("no-answer", error.detail, error.step, error.peer)
