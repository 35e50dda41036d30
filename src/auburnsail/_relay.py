"""Sends requests to peers and relays their answers to callers, one block at a time."""

from . import _headers
from ._active_requests import CALLER_GONE, DEADLINE, STOPPING, RequestContext
from ._admission import Result, Utilisation
from ._answer_parser import AnswerParser
from ._clock import Clock
from ._dialect import Dialect
from ._exchange import Exchange
from ._outcome import RequestFailedError, not_run, parse_refusal, unknown
from .exceptions import CallerGoneError, OutcomeUnknownError

__all__ = [
    "BUFFERED_BYTES",
    "check_remote_answer",
    "failure_of",
    "read_body",
    "relay_answer",
    "request_head",
    "send_recorded",
]

# Bodies up to this size are buffered whole, so that requests can be retried and answers are
# complete before their first byte is relayed.
BUFFERED_BYTES = 64 * 1024
# Answers of the local upstream are buffered whole up to this size. With 12 slots and 100 answers
# waiting for a narrow link, this uses less than half of the smallest VM's memory.
MAX_LOCAL_BUFFERED_BYTES = 768 * 1024
_LAST_CHUNK = b"0\r\n\r\n"
_STRIPPED_HEADERS = _headers.HOP_BY_HOP


def request_head(
    context: RequestContext, address: str, extra_headers: str, dialect: Dialect
) -> bytes:
    """Returns the encoded head of the request to a peer.

    Args:
        context: The request, whose body prefix has been read.
        address: Address of the peer, sent as the host if the caller sent none.
        extra_headers: Further header lines, each with its line end.
        dialect: Header names that callers and upstreams use.
    """
    head = context.request.head
    headers = head.parsed_headers
    lines = [f"{head.method} {head.target} HTTP/1.1", f"host: {headers.get('host', address)}"]
    lines += head.forwarded_lines
    for name in (dialect.key, dialect.request_id):
        if (value := headers.get(name)) is not None:
            lines.append(f"{name}: {value}")
    if dialect.caller_service:
        lines.append(f"{dialect.caller_service}: {context.caller_service}")
    if context.request.body.is_complete and not context.is_body_consumed:
        if head.chunked or "content-length" in headers:
            lines.append(f"content-length: {len(context.body_prefix)}")
    elif head.chunked:
        lines.append("transfer-encoding: chunked")
    else:
        lines.append(f"content-length: {head.length}")
    return ("\r\n".join(lines) + "\r\n" + extra_headers + "\r\n").encode("latin-1")


def send_request(context: RequestContext, exchange: Exchange, head: bytes) -> None:
    """Sends the head and the body of a request to a peer.

    Raises:
        OutcomeUnknownError: The connection to the peer broke.
        CallerGoneError: The caller closed the connection before the end of the body.
        RequestFailedError: The body is malformed or too large.
    """
    body = context.request.body
    if exchange.is_paced and context.body_prefix:
        # A large body may wait for the link. The time limit in the head counts from its arrival.
        exchange.send(head)
        head = b""
    if body.is_complete:
        exchange.send(head + context.body_prefix if context.body_prefix else head)
        return
    is_chunked = context.request.head.chunked
    exchange.send(head + (_chunk(context.body_prefix) if is_chunked else context.body_prefix))
    context.is_body_consumed = True
    context.is_sending = True
    try:
        # A peer that answers before the end of the body does not read the rest.
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
        context.is_sending = False


def send_recorded(context: RequestContext, exchange: Exchange, head: bytes) -> None:
    """Sends a request to a peer and records if a part of it may have run; see `send_request`.

    Raises:
        OutcomeUnknownError: The connection to the peer broke.
        CallerGoneError: The caller closed the connection before the end of the body.
        RequestFailedError: The body is malformed or too large, or did not arrive in time.
    """
    try:
        send_request(context, exchange, head)
    except OutcomeUnknownError as error:
        if context.stop_reason == CALLER_GONE or not _lacks_body(context, exchange, head):
            raise
        context.attempts.on_not_run()
        reason = context.stop_reason or "not-sent"
        detail = "the body of the request did not leave this VM"
        raise not_run(reason, detail, error.step, error.peer) from error
    except CallerGoneError as error:
        context.attempts.on_possibly_run()
        if context.stop_reason in (DEADLINE, STOPPING):
            raise unknown(
                context.stop_reason,
                f"the request ended while its body was received: {context.stop_reason}",
                error.step,
                status="504 Gateway Timeout",
            ) from error
        raise
    except RequestFailedError as error:
        # The caller's body is malformed, but a part of it has reached the peer.
        context.attempts.on_possibly_run()
        refusal = error.refusal
        raise unknown(
            refusal.reason, refusal.detail, refusal.step, status=refusal.status
        ) from error


def _lacks_body(context: RequestContext, exchange: Exchange, head: bytes) -> bool:
    """Returns whether the peer is a node that cannot have passed the request on.

    A node reads `BUFFERED_BYTES` of a body, or all of a shorter one, before it does so.
    """
    required = min(len(context.body_prefix), BUFFERED_BYTES)
    return exchange.is_paced and exchange.bytes_written - len(head) < required


def read_body(exchange: Exchange, limit: int = BUFFERED_BYTES) -> bytes:
    """Returns the rest of an answer's body, up to a limit in bytes.

    Raises:
        OutcomeUnknownError: The body was cut short or is larger than the limit.
    """
    parts, size = [], 0
    while part := exchange.read():
        parts.append(part)
        size += len(part)
        if size > limit:
            raise OutcomeUnknownError(
                "the body of the answer exceeds the size limit", step="http.read"
            )
    return b"".join(parts)


def check_remote_answer(
    context: RequestContext, exchange: Exchange, answer: AnswerParser, address: str
) -> None:
    """Records what another node's answer says about its load; raises its refusal.

    Raises:
        RequestFailedError: The other node refused the request.
        OutcomeUnknownError: The body of its refusal was cut short.
    """
    lowered = ((name.lower(), value) for name, value in answer.fields)
    fields = {name: value for name, value in lowered if name.startswith(_headers.PREFIX)}
    context.utilisation = Utilisation.decode(fields.get(_headers.UTILISATION, ""))
    if _headers.OUTCOME not in fields:
        return
    status = f"{answer.status} {answer.phrase}"
    refusal = parse_refusal(status, fields, read_body(exchange), address)
    exchange.finish()
    context.attempts.on_refused(refusal.outcome)
    raise RequestFailedError(refusal)


def relay_answer(
    context: RequestContext,
    exchange: Exchange,
    answer: AnswerParser,
    extra_headers: str,
    clock: Clock,
) -> None:
    """Relays an answer to the caller.

    A small answer is read completely before it is sent. The limit is higher for the local
    upstream, because its slot is released before sending. A larger answer is relayed block by
    block; if it is cut short, the caller's connection is reset, so that a truncated answer never
    looks complete. An answer without a length is relayed block by block from its first byte if the
    deadline does not cover its body. It is sent in chunks, because a reset may be missing: if this
    process is killed, the kernel closes its connections. Only HTTP/1.0 callers get it ended by the
    close of the connection.

    Args:
        context: The request.
        exchange: Exchange with the peer, after the head of the answer was received.
        answer: Parsed head of the answer.
        extra_headers: Further header lines, each with its line end.
        clock: Source of time.

    Raises:
        OutcomeUnknownError: The answer was cut short; `Request.is_answered` tells whether a part of
            it was relayed.
        CallerGoneError: The caller closed the connection.
    """
    request = context.request
    is_http_10 = request.head.is_http_10
    is_chunked = answer.length is None and not is_http_10
    keep_alive = request.can_keep_alive and (answer.length is not None or is_chunked)
    head = _answer_head(answer, extra_headers, keep_alive, is_http_10, is_chunked)
    body, is_whole = _read_beginning(context, exchange, answer)
    if is_whole:
        _finish(context, exchange)
        context.release(Result.ANSWERED)
        # The answer is complete, so the deadline no longer ends the request. A caller that reads
        # nothing for the stall time-out does.
        context.covers_body = False
        context.progress_ns = clock.now_ns()
        if is_chunked:
            body = _chunk(body) + _LAST_CHUNK
        request.send(head + body if body else head)
        request.end(keep_alive=keep_alive)
        return
    context.progress_ns = clock.now_ns()
    try:
        _stream(context, exchange, answer, head, body, is_chunked, clock)
    except OutcomeUnknownError:
        if request.is_answered:
            request.reset_connection()
        raise
    _finish(context, exchange)
    request.end(keep_alive=keep_alive)


def _read_beginning(
    context: RequestContext, exchange: Exchange, answer: AnswerParser
) -> tuple[bytes, bool]:
    """Reads what must have arrived of an answer's body before its first byte is relayed.

    Returns:
        The bytes, and whether they are the whole body.

    Raises:
        OutcomeUnknownError: The body was cut short.
    """
    limit_bytes = MAX_LOCAL_BUFFERED_BYTES if context.ticket is not None else BUFFERED_BYTES
    if answer.length is not None:
        if answer.length > limit_bytes:
            return b"", False
        body = exchange.read()
        if len(body) < answer.length:
            body += read_body(exchange, limit_bytes)
        return body, True
    parts, size = [], 0
    # A caller whose deadline does not cover the body may wait for each event of a stream.
    while context.covers_body and size <= limit_bytes:
        if not (part := exchange.read()):
            return b"".join(parts), True
        parts.append(part)
        size += len(part)
    return b"".join(parts), False


def _stream(
    context: RequestContext,
    exchange: Exchange,
    answer: AnswerParser,
    head: bytes,
    beginning: bytes,
    is_chunked: bool,
    clock: Clock,
) -> None:
    request, total_bytes = context.request, answer.length or 0
    pending = head + (_chunk(beginning) if is_chunked else beginning)
    if beginning:
        request.send(pending, total_bytes)
        pending = b""
        context.progress_ns = clock.now_ns()
    while block := exchange.read():
        context.progress_ns = clock.now_ns()
        pending += _chunk(block) if is_chunked else block
        request.send(pending, total_bytes)
        pending = b""
        context.progress_ns = clock.now_ns()
    if is_chunked:
        pending += _LAST_CHUNK
    if pending:
        request.send(pending, total_bytes)


def _finish(context: RequestContext, exchange: Exchange) -> None:
    # The connection cannot be reused after a request that was not sent completely.
    if context.request.body.is_complete:
        exchange.finish()
    else:
        exchange.abort()


def _answer_head(
    answer: AnswerParser,
    extra_headers: str,
    keep_alive: bool,
    is_http_10: bool,
    is_chunked: bool,
) -> bytes:
    lines = [f"HTTP/1.1 {answer.status} {answer.phrase}"]
    stripped = _STRIPPED_HEADERS
    for name, value in answer.fields:
        if name.lower() == "connection" and value.lower() not in ("close", "keep-alive"):
            named = {token.strip().lower() for token in value.split(",")}
            stripped = stripped | (named - {"content-length"})
    for name, value in answer.fields:
        lower = name.lower()
        if lower in stripped or lower.startswith(_headers.PREFIX):
            continue
        lines.append(f"{name}: {value}")
    if is_chunked:
        lines.append("transfer-encoding: chunked")
    if not keep_alive:
        lines.append("connection: close")
    elif is_http_10:
        lines.append("connection: keep-alive")
    return ("\r\n".join(lines) + "\r\n" + extra_headers + "\r\n").encode("latin-1")


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def failure_of(
    context: RequestContext, exchange: Exchange, error: OutcomeUnknownError
) -> RequestFailedError:
    """Returns the error to report for an attempt whose outcome is unknown.

    Raises:
        CallerGoneError: The attempt was stopped because the caller closed the connection or took
            too long to read the answer, or because the peer stalled.
    """
    match context.stop_reason or exchange.interrupt_reason:
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
        case "stopping":
            detail = "this node ended before the answer"
            return unknown("stopping", detail, error.step, error.peer)
        case "silent":
            detail = "the peer stayed silent on an older connection"
            return unknown("silent", detail, error.step, error.peer)
    return unknown("no-answer", error.detail, error.step, error.peer)
