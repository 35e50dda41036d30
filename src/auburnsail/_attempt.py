"""Single attempts to run a request, at the local upstream or at another node."""

import os
from collections import Counter

from . import _headers
from ._active_requests import CALLER_GONE, SILENT, STOPPING, RequestContext
from ._admission import Admission, Chooser, Result
from ._admission_queue import CAPACITY_REASONS
from ._answer_parser import AnswerParser
from ._clock import NS_PER_MS, Clock
from ._counters import Counters
from ._crash_monitor import CrashMonitor
from ._dialect import DEFAULT_DIALECT, Dialect
from ._exchange import Exchange
from ._hop import Hop, HopSigner
from ._http_head import RequestHead
from ._link_usage import LINK_FULL, LinkUsage
from ._model import Session
from ._outcome import RETRY_HINT_MS, Outcome, RequestFailedError, not_run
from ._ownership import Ownership
from ._peers import PeerTable
from ._pool import CONNECT_TIMEOUT_S, MAX_IDLE_NS
from ._relay import (
    BUFFERED_BYTES,
    check_remote_answer,
    failure_of,
    read_body,
    relay_answer,
    request_head,
    send_recorded,
)
from ._routing import AnyOf, Forward, Local, Refuse, Router, Target
from ._silence import silence_limit_ns
from ._upstream_answer import MISDIRECTED, find_refusal
from .exceptions import CallerGoneError, NoRoomError, NotRunError, OutcomeUnknownError

__all__ = ["AttemptRunner"]

# The other node's deadline is earlier by a margin, so that its refusal, which states the outcome
# more precisely than a timeout here, arrives in time. From another region it takes 20 ms.
ANSWER_MARGIN_MS = 10
CROSS_REGION_MARGIN_MS = 35
# Longest idle time of a connection that is reused for a request that must not be repeated.
FRESH_IDLE_NS = 1_000 * NS_PER_MS
CONNECT_FAILED = "connect-failed"

_RESULT_BY_OUTCOME = {
    Outcome.NOT_RUN: Result.NOT_RUN,
    Outcome.REFUSED: Result.NOT_RUN,
    Outcome.UNKNOWN: Result.UNKNOWN,
}


class AttemptRunner:
    """Runs single attempts of requests.

    Args:
        router: Decides where a request goes.
        ownership: Checks what this node may serve.
        signer: Signs requests to other nodes.
        admission: Admits requests to the local upstream.
        chooser: Chooses among the upstreams of an unkeyed service.
        clock: Source of time.
        counters: Counters of the request path.
        peers: Connection pools of upstreams and nodes.
        crash_monitor: Detects crashes of the upstream.
        link_usage: Estimates when the VM's link can carry a large answer.
        dialect: Header names that callers and upstreams use.
    """

    def __init__(
        self,
        router: Router,
        ownership: Ownership,
        signer: HopSigner,
        admission: Admission,
        chooser: Chooser,
        clock: Clock,
        counters: Counters,
        peers: PeerTable,
        crash_monitor: CrashMonitor,
        link_usage: LinkUsage,
        dialect: Dialect = DEFAULT_DIALECT,
    ) -> None:
        self._dialect = dialect
        self._router = router
        self._ownership = ownership
        self._signer = signer
        self._admission = admission
        self._chooser = chooser
        self._clock = clock
        self._counters = counters
        self._peers = peers
        self._crash_monitor = crash_monitor
        self._link_usage = link_usage
        self._id_prefix = os.urandom(6).hex()
        self._running: Counter[str] = Counter()

    def is_running(self, request_id: str) -> bool:
        """Returns whether the local upstream is running the request with this id."""
        return request_id in self._running

    def run(self, context: RequestContext) -> None:
        """Runs one attempt and relays the answer to the caller.

        Raises:
            RequestFailedError: The attempt failed before any byte was sent to the caller.
            OutcomeUnknownError: The answer was cut short after a part of it was relayed.
            CallerGoneError: The caller closed the connection.
            InvariantViolation: The attempt would break a guarantee.
        """
        if (hop := context.hop) is None:
            self._check_link(context)
        route = self._router.route(
            context.destination.service,
            context.destination.key,
            is_forwarded=hop is not None,
            sender_version=hop.map_version if hop is not None else 0,
        )
        match route:
            case Refuse(refusal=refusal):
                raise RequestFailedError(refusal)
            case Local(target=target):
                self._run_local(context, target)
            case Forward(target=target, session=session):
                self._run_remote(
                    context, context.owner_hint or session.data_address, target, session
                )
            case AnyOf(target=target, sessions=sessions):
                self._run_any(context, target, sessions)

    def _check_link(self, context: RequestContext) -> None:
        """Raises RequestFailedError if this VM's link cannot carry the answer in time."""
        destination = context.destination
        due_ns = context.deadline_ns if destination.is_caller_retry else context.soft_deadline_ns
        lateness_ns = self._link_usage.lateness_ns(destination.kind, due_ns, self._clock.now_ns())
        if lateness_ns > 0:
            detail = "this VM's link cannot carry the answer in time"
            wait_ms = max(RETRY_HINT_MS, int(lateness_ns / NS_PER_MS))
            raise not_run(LINK_FULL, detail, "link", retry_after_ms=wait_ms)

    def remaining_ms(self, context: RequestContext) -> int:
        """Returns the time until the request's deadline in milliseconds."""
        return (context.deadline_ns - self._clock.now_ns()) // NS_PER_MS

    def _run_any(
        self, context: RequestContext, target: Target, sessions: tuple[Session, ...]
    ) -> None:
        untried = [s for s in sessions if s.data_address not in context.tried_addresses] or sessions
        started_ns = self._clock.now_ns()
        no_capacity = any(error.refusal.reason in CAPACITY_REASONS for error in context.failures)
        session = self._chooser.choose(untried, started_ns, no_capacity)
        result = Result.UNKNOWN
        try:
            if session.id == self._router.own_id:
                self._run_local(context, target)
            else:
                self._run_remote(context, session.data_address, target, session)
            result = Result.ANSWERED
        except RequestFailedError as error:
            context.tried_addresses.add(session.data_address)
            result = _RESULT_BY_OUTCOME[error.refusal.outcome]
            if error.refusal.reason == CONNECT_FAILED:
                result = Result.UNREACHABLE
            raise
        except CallerGoneError:
            result = Result.CANCELLED
            raise
        finally:
            if context.utilisation is not None:
                self._chooser.observe_utilisation(session, context.utilisation)
            self._chooser.observe(session, result, self._clock.now_ns() - started_ns)

    def _run_local(self, context: RequestContext, target: Target) -> None:
        address = self._ownership.upstream_address()
        if address is None:
            raise not_run("no-upstream", "no upstream has announced itself to this node", "route")
        self._read_prefix(context)
        gate = self._ownership.gate
        if reason := gate.admit(target.service, target.shard, context.deadline_ns):
            raise not_run(reason, "this node may not serve the request at present", "admission")
        try:
            self._run_admitted(context, target, address)
        finally:
            gate.release(target.service, target.shard)

    def _run_admitted(self, context: RequestContext, target: Target, address: str) -> None:
        if context.stop_reason:
            # A stopped request must not enter the queue, whose waiters may have been refused already.
            self._check_stopped(context)
        try:
            ticket = self._admission.admit(target, context.admission_request())
        except NotRunError as error:
            detail = "the upstream has no room for the request now"
            wait_ms = error.wait_ms if isinstance(error, NoRoomError) else RETRY_HINT_MS
            raise not_run(
                error.detail, detail, error.step, error.peer, retry_after_ms=wait_ms
            ) from error
        context.ticket = ticket
        result = Result.UNKNOWN
        self._running[context.request_id] += 1
        context.local_service = target.service
        try:
            dialect = self._dialect
            extra = f"{dialect.deadline_ms}: {max(1, self.remaining_ms(context))}\r\n"
            if dialect.expected_instance:
                extra += f"{dialect.expected_instance}: {self._ownership.hooks.instance()}\r\n"
            owner = ""
            if target.shard >= 0:
                if not dialect.expected_instance:
                    extra += self._grant_header(target)
                owner = f"{_headers.OWNER}: {self._ownership.own_address}\r\n"
            if context.hop is not None:
                owner += f"{_headers.UTILISATION}: {self._admission.utilisation().encode()}\r\n"
            self._crash_monitor.start(context)
            self._exchange(context, address, extra, target, owner)
            result = Result.ANSWERED
        except RequestFailedError as error:
            result = _RESULT_BY_OUTCOME[error.refusal.outcome]
            raise
        except CallerGoneError:
            result = Result.CANCELLED
            raise
        finally:
            self._running[context.request_id] -= 1
            if not self._running[context.request_id]:
                del self._running[context.request_id]
            self._crash_monitor.end(context, completed=result is Result.ANSWERED)
            context.release(result)
            ticket.on_answer_sent()

    def _run_remote(
        self, context: RequestContext, address: str, target: Target, session: Session
    ) -> None:
        context.owner_hint = ""
        self._read_prefix(context)
        margin_ms = (
            CROSS_REGION_MARGIN_MS if self._router.is_in_other_region(session) else ANSWER_MARGIN_MS
        )
        remaining_ms = self.remaining_ms(context) - margin_ms
        if remaining_ms <= margin_ms:
            # The round trip to the other node takes longer than the time left.
            raise not_run("deadline", "too close to the deadline to forward", "route", address)
        head = context.request.head
        destination = context.destination
        request_id = context.request_id or f"{self._id_prefix}{self._counters.requests:x}"
        soft_deadline_ms = context.soft_remaining_ms(self._clock.now_ns(), margin_ms)
        hop = context.next_hop(request_id, remaining_ms, soft_deadline_ms, self._router.map_version)
        owner = f"{_headers.OWNER}: {address}\r\n" if target.shard >= 0 else ""
        with self._link_usage.relaying(destination.kind):
            try:
                self._exchange(context, address, self._hop_header(head, hop, address), None, owner)
            except RequestFailedError as error:
                adopted = self._signer.adopt_clock(address, error.refusal.clock_s)
                if not adopted or context.is_body_consumed:
                    raise
                self._exchange(context, address, self._hop_header(head, hop, address), None, owner)
        if context.answer_bytes:
            self._link_usage.add_sample(destination.kind, context.answer_bytes)

    def _exchange(
        self, context: RequestContext, address: str, extra: str, local: Target | None, owner: str
    ) -> None:
        """Sends the request to the peer at an address and relays its answer.

        `extra` and `owner` are header lines for peer and caller; `local` is None for another node.
        """
        context.peer = address
        exchange = self._open(context, address)
        context.exchange = exchange
        try:
            # The lease may have expired while connecting, so ownership is confirmed again.
            if local is not None:
                self._confirm_upstream(address)
                self._confirm_ownership(local)
            self._check_stopped(context)
            self._watch_silence(context, exchange, address, local)
            head = request_head(context, address, extra, self._dialect)
            context.echo = (self._dialect.request_id, context.request_id)
            context.attempts.begin(address)
            try:
                send_recorded(context, exchange, head)
                answer = exchange.receive_head(context.request.head.method, context.echo)
                context.silence_deadline_ns = 0
                self._check_answer(context, exchange, answer, local, address)
                context.attempts.on_possibly_run()
                context.status, context.answer_bytes = answer.status, answer.length or 0
                relay_answer(context, exchange, answer, owner, self._clock)
            except OutcomeUnknownError as error:
                context.attempts.on_possibly_run()
                if context.request.is_answered:
                    raise
                self._report_silence(context, exchange)
                if local is not None and not exchange.interrupt_reason:
                    self._crash_monitor.on_broken_exchange(context, address)
                raise failure_of(context, exchange, error) from error
        finally:
            context.exchange = None
            context.silence_deadline_ns = 0
            exchange.abort()

    def _open(self, context: RequestContext, address: str) -> Exchange:
        self._check_stopped(context)
        remaining_s = self.remaining_ms(context) / 1000
        idle_ns = MAX_IDLE_NS if context.attempts.repeatable else FRESH_IDLE_NS
        try:
            return self._peers.get(address).open(
                max_idle_ns=idle_ns,
                timeout_s=min(CONNECT_TIMEOUT_S, remaining_s),
                request_id=context.request_id,
                on_connecting=context.on_connecting,
            )
        except NotRunError as error:
            if context.stop_reason:
                self._check_stopped(context)
            raise not_run(CONNECT_FAILED, error.detail, error.step, error.peer) from error
        finally:
            context.connecting = None

    def _watch_silence(
        self, context: RequestContext, exchange: Exchange, address: str, local: Target | None
    ) -> None:
        # Not on a new connection: silence there means a slow peer, which a retry would not help.
        if not context.destination.policy.detect_silence:
            return
        if not (
            context.attempts.repeatable and exchange.is_reused and context.budget.tokens >= 1.0
        ):
            return
        now_ns, slowest_ns = self._clock.now_ns(), self._peers.get(address).slowest_recent_ns
        remaining_ns = context.deadline_ns - now_ns
        wait_ns = silence_limit_ns(remaining_ns, slowest_ns, is_local=local is not None)
        context.silence_deadline_ns = now_ns + wait_ns

    def _report_silence(self, context: RequestContext, exchange: Exchange) -> None:
        if exchange.interrupt_reason and context.stop_reason != CALLER_GONE:
            self._counters.silent += exchange.interrupt_reason == SILENT
            exchange.report_silence()

    def _check_answer(
        self,
        context: RequestContext,
        exchange: Exchange,
        answer: AnswerParser,
        local: Target | None,
        address: str,
    ) -> None:
        """Raises an error if the answer must not be relayed to the caller."""
        if local is not None:
            self._ownership.hooks.on_answer()
            repeatable, sent_id = context.attempts.repeatable, context.request_id
            refusal = find_refusal(self._dialect, answer, address, sent_id, repeatable=repeatable)
            if refusal is None:
                return
            read_body(exchange)
            exchange.finish(refused_id=sent_id)
            context.attempts.on_not_run()
            if answer.status == MISDIRECTED:
                self._ownership.hooks.on_misdirected(answer.field(self._dialect.instance))
            raise refusal
        check_remote_answer(context, exchange, answer, address)

    def _read_prefix(self, context: RequestContext) -> None:
        if context.body_prefix is not None:
            return
        try:
            context.body_prefix = context.request.body.read_at_least(BUFFERED_BYTES)
        except CallerGoneError:
            self._check_stopped(context)
            raise

    def _confirm_upstream(self, address: str) -> None:
        """Raises if the upstream left or was lost while the request waited for a slot."""
        if self._ownership.upstream_address() != address:
            raise not_run("no-upstream", "the upstream left before the request was sent", "send")

    def _confirm_ownership(self, target: Target) -> None:
        reason = self._ownership.gate.confirm(target.service, target.shard, target.epoch)
        if reason:
            raise not_run(reason, "ownership ended before the request was sent", "send")

    def _check_stopped(self, context: RequestContext) -> None:
        if context.stop_reason == CALLER_GONE:
            raise CallerGoneError("the caller closed the connection", step="forward")
        if context.stop_reason == STOPPING:
            raise not_run(STOPPING, "this node ended before the request was sent", "forward")
        if context.stop_reason or self.remaining_ms(context) <= 0:
            detail = "the deadline passed before the request was sent"
            raise not_run("deadline", detail, "forward", status="504 Gateway Timeout")

    def _hop_header(self, head: RequestHead, hop: Hop, address: str) -> str:
        key = head.parsed_headers.get(self._dialect.key, "")
        signed = self._signer.sign(hop, head.method, head.target, key, address)
        return f"{_headers.HOP}: {signed}\r\n"

    def _grant_header(self, target: Target) -> str:
        grant = f"{target.service};{target.shard};{target.epoch}"
        return f"{_headers.GRANT}: {grant};{self._ownership.gate.expires_ns()}\r\n"
