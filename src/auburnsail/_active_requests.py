"""State of the requests in flight, and the sweep that stops late and abandoned ones."""

import select
from collections.abc import Callable, Iterator

from gevent import socket

from ._admission import Result, Ticket, Utilisation
from ._admission_queue import AdmissionRequest
from ._caller_request import Request
from ._clock import NS_PER_MS
from ._exchange import Exchange
from ._hop import Hop
from ._outcome import RequestFailedError
from ._resolver import Destination
from ._retry import AttemptLog, RetryBudget
from ._sockets import shut_down

__all__ = [
    "CALLER_GONE",
    "DEADLINE",
    "SILENT",
    "STALLED",
    "STOPPING",
    "ActiveRequestTable",
    "RequestContext",
]

CALLER_GONE = "caller-gone"
DEADLINE = "deadline"
STOPPING = "stopping"
SILENT = "silent"
STALLED = "stalled"

# Longest time that an answer may be relayed without progress.
STALL_TIMEOUT_NS = 30_000 * NS_PER_MS
# A caller that acknowledges a few bytes now and then would hold its answer, and with a streamed one
# a slot of the upstream, for hours.
MIN_PROGRESS_BYTES = 16 * 1024


class RequestContext:
    """State of one request, from receiving its head to the end of its answer.

    Attributes:
        request: The caller's request.
        hop: Signed data from the forwarding node, or None if a caller sent the request.
        deadline_ns: When the request is given up.
        covers_body: Whether the deadline also covers relaying the body of the answer.
        attempts: Tracks whether an earlier attempt may have run.
        destination: Service, key and rules of the request.
        budget: Retry budget of the service.
        body_prefix: Beginning of the request body, kept for retries; None before it was read.
        is_sending: Whether a streamed body is being sent.
        is_body_consumed: Whether more than the prefix was read, which rules out a retry.
        is_caller_polled: Whether sweeps check if the caller has closed its connection.
        owner_hint: Address of the key's owner according to a node with a newer map, or empty.
        tried_addresses: Addresses of upstreams of an unkeyed service at which attempts failed.
        ticket: Admission to the local upstream while it runs the request.
        utilisation: Utilisation that the other node reported for its upstream, or None.
        echo: Name and value of the header by which an answer shows whose it is, see `AnswerParser`.
        exchange: Current exchange with a peer, or None.
        connecting: Socket that is being connected to a peer, or None.
        started_ns: When the request's head had been received.
        status: HTTP status of the upstream's answer, 0 before it arrived.
        answer_bytes: Length of the answer's body, 0 before it arrived or if it states no length.
        outcome: How the request ended; empty while in flight or if an upstream answered it.
        reason: Reason of a refusal or failure.
        caller_service: Service of the VM from which the caller sent the request.
        request_id: Identifies the caller's attempt in logs; empty if the caller sent none.
        soft_deadline_ns: Soft deadline, after which the answer has little value to the caller.
        failures: Errors of the attempts that failed.
        peer: Address of the peer of the last attempt.
        upstream_attempts: Number of failed attempts that reached an upstream.
        local_service: Service of the request if the local upstream admitted it.
        silence_deadline_ns: When the current attempt ends if the peer is silent, 0 for never.
        progress_ns: When the answer last advanced, 0 before relaying began and after a stop.
        acknowledged_bytes: Bytes that the caller's kernel had acknowledged at the last progress.
        stop_reason: Why the request was stopped, or an empty string.
        is_overdue: Whether a sweep has found the deadline passed.
        is_stalled: Whether the last sweep found the answer stalled.
        caller_end: How the caller ended its connection, ``closed`` or ``reset``; empty if it has
            not.
    """

    __slots__ = (
        "acknowledged_bytes",
        "answer_bytes",
        "attempts",
        "body_prefix",
        "budget",
        "caller_end",
        "caller_service",
        "connecting",
        "covers_body",
        "deadline_ns",
        "destination",
        "echo",
        "exchange",
        "failures",
        "hop",
        "is_body_consumed",
        "is_caller_polled",
        "is_overdue",
        "is_sending",
        "is_stalled",
        "local_service",
        "outcome",
        "owner_hint",
        "peer",
        "progress_ns",
        "reason",
        "request",
        "request_id",
        "silence_deadline_ns",
        "soft_deadline_ns",
        "started_ns",
        "status",
        "stop_reason",
        "ticket",
        "tried_addresses",
        "upstream_attempts",
        "utilisation",
    )

    def __init__(
        self,
        request: Request,
        hop: Hop | None,
        deadline_ns: int,
        covers_body: bool,
        attempts: AttemptLog,
        destination: Destination,
        budget: RetryBudget,
        started_ns: int = 0,
    ) -> None:
        self.request = request
        self.hop = hop
        self.deadline_ns = deadline_ns
        self.covers_body = covers_body
        self.attempts = attempts
        self.destination = destination
        self.budget = budget
        self.body_prefix: bytes | None = None
        self.is_body_consumed = False
        self.is_sending = False
        self.owner_hint = ""
        self.tried_addresses: set[str] = set()
        self.echo = ("", "")
        self.exchange: Exchange | None = None
        self.connecting: socket.socket | None = None
        self.silence_deadline_ns = 0
        self.progress_ns = 0
        self.acknowledged_bytes = 0
        self.stop_reason = ""
        self.caller_end = ""
        self.is_overdue = False
        self.is_stalled = False
        self.is_caller_polled = False
        self.started_ns = started_ns
        self.status = 0
        self.answer_bytes = 0
        self.ticket: Ticket | None = None
        self.outcome = ""
        self.reason = ""
        self.local_service = ""
        self.caller_service = ""
        self.request_id = ""
        self.failures: list[RequestFailedError] = []
        self.peer = ""
        self.upstream_attempts = 0
        soft_deadline_ms = destination.soft_deadline_ms
        self.soft_deadline_ns = (
            started_ns + soft_deadline_ms * NS_PER_MS if soft_deadline_ms else deadline_ns
        )
        self.utilisation: Utilisation | None = None

    def admission_request(self) -> AdmissionRequest:
        """Returns the properties of the request by which the admission queue decides."""
        destination = self.destination
        return AdmissionRequest(
            self.deadline_ns,
            destination.kind,
            self.soft_deadline_ns,
            destination.is_caller_retry,
            destination.is_subrequest,
        )

    def soft_remaining_ms(self, now_ns: int, margin_ms: int) -> int:
        """Returns the time until the soft deadline in ms, 0 if it is not before the deadline.

        Args:
            now_ns: The current time in nanoseconds.
            margin_ms: Time reserved for the answer to arrive from another node; it is subtracted.
        """
        if self.soft_deadline_ns >= self.deadline_ns:
            return 0
        return max(1, (self.soft_deadline_ns - now_ns) // NS_PER_MS - margin_ms)

    def next_hop(
        self, request_id: str, deadline_ms: int, soft_deadline_ms: int, map_version: int
    ) -> Hop:
        """Returns the data about the request that is signed and sent to another node."""
        destination = self.destination
        return Hop(
            request_id,
            deadline_ms,
            1,
            map_version,
            destination.service,
            destination.repeatable,
            destination.priority,
            destination.kind,
            soft_deadline_ms,
            destination.is_caller_retry,
            destination.is_subrequest,
        )

    def on_connecting(self, sock: socket.socket) -> None:
        """Records the socket that is being connected to a peer."""
        self.connecting = sock

    def release(self, result: Result) -> None:
        """Releases the admission to the upstream, if the request still holds it."""
        ticket, self.ticket = self.ticket, None
        if ticket is not None:
            ticket.release(result, self.answer_bytes)

    def stop(self, reason: str) -> None:
        """Stops the request by making the blocked call of its greenlet fail.

        Only the first reason counts; further calls do nothing.
        """
        if self.stop_reason:
            return
        self.stop_reason = reason
        self.progress_ns = 0
        if self.connecting is not None:
            shut_down(self.connecting, socket.SHUT_RDWR)
        if self.exchange is not None:
            self.exchange.interrupt(reason)
        if self.request.is_answered:
            self.request.reset_connection()
        elif not self.request.body.is_complete:
            self.request.interrupt_read()


class ActiveRequestTable:
    """The requests in flight of one node.

    Args:
        on_stop: Called with the reason of each request that a sweep stops.
    """

    def __init__(self, on_stop: Callable[[str], None] | None = None) -> None:
        self._active_requests: set[RequestContext] = set()
        self._on_stop = on_stop or (lambda reason: None)

    def __len__(self) -> int:
        return len(self._active_requests)

    def __iter__(self) -> Iterator[RequestContext]:
        return iter(self._active_requests)

    def add(self, context: RequestContext) -> None:
        """Adds a request."""
        self._active_requests.add(context)

    def discard(self, context: RequestContext) -> None:
        """Removes a request."""
        self._active_requests.discard(context)

    def stop_unanswered(self, *, spares_arriving: bool = False) -> None:
        """Ends the requests whose answer has not begun, each with an answer of this node.

        Args:
            spares_arriving: Whether to leave out requests whose peer has begun to answer.
        """
        for context in tuple(self._active_requests):
            is_spared = spares_arriving and _is_answer_arriving(context)
            if not (context.request.is_answered or is_spared):
                self._stop(context, STOPPING)

    def sweep(self, now_ns: int) -> None:
        """Stops late, stalled and abandoned requests, and interrupts attempts at silent peers."""
        if not self._active_requests:
            return
        callers: dict[int, RequestContext] = {}
        poll = select.poll()
        for context in tuple(self._active_requests):
            if context.stop_reason:
                self._check_late_answer(context, now_ns)
                continue
            self._check_time(context, now_ns)
            if context.is_sending:
                _check_early_answer(context)
            elif context.ticket is not None and context.exchange is not None:
                # Only an upstream: another node does not wait for the rest of a request.
                context.exchange.end_request(now_ns)
            # Most requests end between two sweeps, so callers are polled from the second sweep on.
            if context.is_caller_polled and (descriptor := context.request.fileno()) >= 0:
                callers[descriptor] = context
                poll.register(descriptor, select.POLLRDHUP)
            context.is_caller_polled = True
        for descriptor, events in poll.poll(0) if callers else ():
            context = callers[descriptor]
            context.caller_end = "reset" if events & select.POLLERR else "closed"
            self._stop(context, CALLER_GONE)

    def _check_time(self, context: RequestContext, now_ns: int) -> None:
        is_relaying = context.progress_ns > 0
        if now_ns >= context.deadline_ns and (context.covers_body or not is_relaying):
            if context.is_overdue or not _has_unread_answer(context):
                self._stop(context, DEADLINE)
            context.is_overdue = True
        elif is_relaying:
            is_stalled = _is_stalled(context, now_ns)
            if is_stalled and (context.is_stalled or not _has_unread_answer(context)):
                self._stop(context, STALLED)
            context.is_stalled = is_stalled
        elif 0 < context.silence_deadline_ns <= now_ns:
            exchange = context.exchange
            if exchange is not None and not (exchange.answered or _has_unread_answer(context)):
                exchange.interrupt(SILENT)

    def _check_late_answer(self, context: RequestContext, now_ns: int) -> None:
        """Gives up the answer to a stopped request if its caller does not read it."""
        if context.request.is_writing and _is_stalled(context, now_ns):
            context.stop_reason = STALLED
            context.request.reset_connection()
            self._on_stop(STALLED)

    def _stop(self, context: RequestContext, reason: str) -> None:
        if not context.stop_reason:
            context.stop(reason)
            self._on_stop(reason)


def _is_stalled(context: RequestContext, now_ns: int) -> bool:
    """Returns whether the answer has not advanced for the stall time-out; records its progress.

    While a part is being written, `MIN_PROGRESS_BYTES` that the caller acknowledges are progress.
    The wait for the VM's link is not the caller's.
    """
    request = context.request
    if not context.progress_ns or request.is_waiting_for_link:
        context.progress_ns = now_ns
    elif request.is_writing:
        acknowledged = request.acknowledged_bytes()
        if acknowledged - context.acknowledged_bytes >= MIN_PROGRESS_BYTES:
            context.acknowledged_bytes = acknowledged
            context.progress_ns = now_ns
    return now_ns - context.progress_ns >= STALL_TIMEOUT_NS


def _is_answer_arriving(context: RequestContext) -> bool:
    """Returns whether the peer has sent a part of its answer."""
    exchange = context.exchange
    return exchange is not None and (exchange.answered or exchange.has_early_answer)


def _has_unread_answer(context: RequestContext) -> bool:
    """Returns whether the peer has sent bytes, or closed the connection, that were not read yet.

    After a pause of the process, sleeping greenlets run before those that read what arrived
    meanwhile.
    """
    return context.exchange is not None and context.exchange.has_early_answer


def _check_early_answer(context: RequestContext) -> None:
    """Stops sending a request body if the peer has already answered or closed the connection."""
    exchange = context.exchange
    if exchange is not None and exchange.ends_upload(context.request.head.method, context.echo):
        exchange.stop_sending()
        context.request.interrupt_read()
