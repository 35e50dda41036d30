"""One attempt at a request: at the upstream beside this node or at another node."""

import os
from collections import Counter

from . import _headers
from ._admission import Admission, Chooser, Result, Utilisation
from ._admission_queue import CAPACITY_REASONS
from ._answer_parser import AnswerParser
from ._clock import NS_PER_MS, Clock
from ._counters import Counters
from ._crash_monitor import CrashMonitor
from ._dialect import OWN, Dialect
from ._exchange import Exchange
from ._flights import CALLER_GONE, DEADLINE, SILENT, Flight
from ._hop import HopSigner
from ._link_usage import LINK_FULL, LinkUsage
from ._model import Session
from ._outcome import RETRY_HINT_MS, Outcome, RequestFailedError, not_run, parse_refusal, unknown
from ._ownership import Ownership
from ._peers import PeerTable
from ._pool import CONNECT_TIMEOUT_S, MAX_IDLE_NS
from ._relay import BUFFERED_BYTES, failure_of, pass_on, read_small, request_head, send_request
from ._routing import AnyOf, Forward, Local, Refuse, Router, Target
from ._silence import silence_limit_ns
from ._upstream_answer import MISDIRECTED, NOT_RUN_STATUSES, check_proof, refusal_of, says_not_run
from .exceptions import CallerGoneError, NoRoomError, NotRunError, OutcomeUnknownError

__all__ = ["AttemptRunner"]

# The other node gives up a little earlier, so that its more exact outcome still arrives. To another
# region the way back alone takes 20 ms.
HOP_MARGIN_MS = 10
FAR_HOP_MARGIN_MS = 35
# A request that cannot be sent again only uses a connection that worked this recently.
FRESH_IDLE_NS = 1_000 * NS_PER_MS
CONNECT_FAILED = "connect-failed"

_RESULTS = {
    Outcome.NOT_RUN: Result.NOT_RUN,
    Outcome.REFUSED: Result.NOT_RUN,
    Outcome.UNKNOWN: Result.UNKNOWN,
}


class AttemptRunner:
    """Runs single attempts.

    Args:
        router: Decides where a request goes.
        ownership: What this node may serve.
        signer: Signs requests to other nodes.
        admission: Admits requests to the upstream beside this node.
        chooser: Chooses among the upstreams of an unkeyed service.
        clock: Source of time.
        counters: Counts of the request path.
        peers: Connections to upstreams and nodes.
        crashes: Follows crashes of the upstream.
        share: What the VM's link allows for large answers.
        dialect: Header names of callers and upstreams.
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
        crashes: CrashMonitor,
        share: LinkUsage,
        dialect: Dialect = OWN,
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
        self._crashes = crashes
        self._share = share
        self._id_prefix = os.urandom(6).hex()
        self._running: Counter[str] = Counter()

    def is_running(self, request_id: str) -> bool:
        """Whether the upstream beside this node runs a request with an id."""
        return request_id in self._running

    def run(self, flight: Flight) -> None:
        """Runs one attempt and passes the answer on.

        Args:
            flight: The request.

        Raises:
            RequestFailedError: The attempt failed and the caller was told nothing yet.
            OutcomeUnknownError: The answer was cut short after a part of it was passed on.
            CallerGoneError: The caller does not wait any longer.
            InvariantViolation: A guarantee would be broken.
        """
        if (hop := flight.hop) is None:
            self._check_link(flight)
        route = self._router.route(
            flight.destination.service,
            flight.destination.key,
            is_forwarded=hop is not None,
            sender_version=hop.map_version if hop is not None else 0,
        )
        match route:
            case Refuse(refusal=refusal):
                raise RequestFailedError(refusal)
            case Local(target=target):
                self._run_local(flight, target)
            case Forward(target=target, session=session):
                self._run_remote(flight, flight.owner_hint or session.data_address, target, session)
            case AnyOf(target=target, sessions=sessions):
                self._run_any(flight, target, sessions)

    def _check_link(self, flight: Flight) -> None:
        """Refuses a request whose answer cannot cross this VM's link in time, whoever serves it."""
        asked = flight.destination
        due_ns = flight.deadline_ns if asked.came_back else flight.wanted_ns
        late_ns = self._share.late_ns(asked.kind, due_ns, self._clock.now_ns())
        if late_ns > 0:
            detail = "this VM's link cannot carry the answer in time"
            wait_ms = max(RETRY_HINT_MS, int(late_ns / NS_PER_MS))
            raise not_run(LINK_FULL, detail, "link", retry_after_ms=wait_ms)

    def left_ms(self, flight: Flight) -> int:
        """Returns the time until the deadline in milliseconds."""
        return (flight.deadline_ns - self._clock.now_ns()) // NS_PER_MS

    def _run_any(self, flight: Flight, target: Target, sessions: tuple[Session, ...]) -> None:
        left = [s for s in sessions if s.data_address not in flight.tried] or sessions
        started_ns = self._clock.now_ns()
        no_capacity = any(error.refusal.reason in CAPACITY_REASONS for error in flight.failures)
        session = self._chooser.choose(left, started_ns, no_capacity)
        result = Result.UNKNOWN
        try:
            if session.id == self._router.own_id:
                self._run_local(flight, target)
            else:
                self._run_remote(flight, session.data_address, target, session)
            result = Result.ANSWERED
        except RequestFailedError as error:
            flight.tried.add(session.data_address)
            result = _RESULTS[error.refusal.outcome]
            if error.refusal.reason == CONNECT_FAILED:
                result = Result.UNREACHABLE
            raise
        except CallerGoneError:
            result = Result.CANCELLED
            raise
        finally:
            if flight.utilisation is not None:
                self._chooser.observe_utilisation(session, flight.utilisation)
            self._chooser.observe(session, result, self._clock.now_ns() - started_ns)

    def _run_local(self, flight: Flight, target: Target) -> None:
        address = self._ownership.upstream_address()
        if address is None:
            raise not_run("no-upstream", "no upstream has announced itself", "route")
        self._read_prefix(flight)
        gate = self._ownership.gate
        if reason := gate.admit(target.service, target.shard, flight.deadline_ns):
            raise not_run(reason, "this node does not serve the request now", "admission")
        try:
            self._run_admitted(flight, target, address)
        finally:
            gate.leave(target.service, target.shard)

    def _run_admitted(self, flight: Flight, target: Target, address: str) -> None:
        try:
            ticket = self._admission.admit(target, flight.work())
        except NotRunError as error:
            detail = "the upstream has no room for the request now"
            wait_ms = error.wait_ms if isinstance(error, NoRoomError) else RETRY_HINT_MS
            raise not_run(
                error.detail, detail, error.step, error.peer, retry_after_ms=wait_ms
            ) from error
        flight.ticket = ticket
        result = Result.UNKNOWN
        self._running[flight.request_id] += 1
        flight.local_service = target.service
        try:
            dialect = self._dialect
            extra = f"{dialect.deadline_ms}: {max(1, self.left_ms(flight))}\r\n"
            if dialect.expected_instance:
                extra += f"{dialect.expected_instance}: {self._ownership.link.instance()}\r\n"
            owner = ""
            if target.shard >= 0:
                if not dialect.expected_instance:
                    extra += self._grant(target)
                owner = f"{_headers.OWNER}: {self._ownership.own_address}\r\n"
            if flight.hop is not None:
                owner += f"{_headers.USE}: {self._admission.utilisation().encode()}\r\n"
            self._crashes.start(flight)
            self._exchange(flight, address, extra, target, owner)
            result = Result.ANSWERED
        except RequestFailedError as error:
            result = _RESULTS[error.refusal.outcome]
            raise
        except CallerGoneError:
            result = Result.CANCELLED
            raise
        finally:
            self._running[flight.request_id] -= 1
            if not self._running[flight.request_id]:
                del self._running[flight.request_id]
            self._crashes.end(flight, completed=result is Result.ANSWERED)
            flight.release(result)
            ticket.on_answer_sent()

    def _run_remote(self, flight: Flight, address: str, target: Target, session: Session) -> None:
        flight.owner_hint = ""
        self._read_prefix(flight)
        margin_ms = FAR_HOP_MARGIN_MS if self._router.is_far(session) else HOP_MARGIN_MS
        left_ms = self.left_ms(flight) - margin_ms
        if left_ms <= margin_ms:
            # The way there and back takes longer than that.
            raise not_run("deadline", "too little time is left for another node", "route", address)
        head = flight.request.head
        destination = flight.destination
        request_id = flight.request_id or f"{self._id_prefix}{self._counters.requests:x}"
        wanted_ms = flight.wanted_left_ms(self._clock.now_ns(), margin_ms)
        hop = flight.next_hop(request_id, left_ms, wanted_ms, self._router.map_version)
        key = head.special.get(self._dialect.key, "")
        signed = self._signer.sign(hop, head.method, head.target, key)
        owner = f"{_headers.OWNER}: {address}\r\n" if target.shard >= 0 else ""
        with self._share.relaying(destination.kind):
            self._exchange(flight, address, f"{_headers.HOP}: {signed}\r\n", None, owner)
        if flight.answer_bytes:
            self._share.add_sample(destination.kind, flight.answer_bytes)

    def _exchange(
        self, flight: Flight, address: str, extra: str, local: Target | None, owner: str
    ) -> None:
        """Runs one attempt at a peer.

        Args:
            flight: The request.
            address: Address of the peer.
            extra: Header lines for the peer.
            local: Target at the upstream beside this node, or None for another node.
            owner: Header line for the caller.
        """
        flight.peer = address
        exchange = self._open(flight, address)
        flight.exchange = exchange
        try:
            # Connecting can take long, so the lease is checked again right before the first byte.
            if local is not None:
                self._confirm(local)
            self._check_stopped(flight)
            self._watch_silence(flight, exchange, address, local)
            head = request_head(flight, address, extra, self._dialect)
            flight.attempts.begin(address)
            try:
                self._send(flight, exchange, head)
                echo = (self._dialect.request_id, flight.request_id)
                answer = exchange.receive_head(flight.request.head.method, echo)
                flight.attempt_by_ns = 0
                self._check_answer(flight, exchange, answer, local, address)
                flight.attempts.on_possibly_run()
                flight.status, flight.answer_bytes = answer.status, answer.length or 0
                pass_on(flight, exchange, answer, owner, self._clock)
            except OutcomeUnknownError as error:
                flight.attempts.on_possibly_run()
                if flight.request.is_answered:
                    raise
                self._on_silence(flight, exchange)
                if local is not None and not exchange.interrupt_reason:
                    self._crashes.on_broken_exchange(address)
                raise failure_of(flight, exchange, error) from error
        finally:
            flight.exchange = None
            flight.attempt_by_ns = 0
            exchange.abort()

    def _send(self, flight: Flight, exchange: Exchange, head: bytes) -> None:
        try:
            send_request(flight, exchange, head)
        except CallerGoneError as error:
            flight.attempts.on_possibly_run()
            if flight.stop_reason == DEADLINE:
                raise unknown(
                    DEADLINE,
                    "the deadline passed inside the request body",
                    error.step,
                    status="504 Gateway Timeout",
                ) from error
            raise
        except RequestFailedError as error:
            # The fault lies in the caller's body, but a part of it has reached the peer.
            flight.attempts.on_possibly_run()
            refusal = error.refusal
            raise unknown(
                refusal.reason, refusal.detail, refusal.step, status=refusal.status
            ) from error

    def _open(self, flight: Flight, address: str) -> Exchange:
        self._check_stopped(flight)
        left_s = self.left_ms(flight) / 1000
        idle_ns = MAX_IDLE_NS if flight.attempts.repeatable else FRESH_IDLE_NS
        try:
            return self._peers.get(address).open(
                max_idle_ns=idle_ns, timeout_s=min(CONNECT_TIMEOUT_S, left_s)
            )
        except NotRunError as error:
            raise not_run(CONNECT_FAILED, error.detail, error.step, error.peer) from error

    def _watch_silence(
        self, flight: Flight, exchange: Exchange, address: str, local: Target | None
    ) -> None:
        # Only worth it on an older connection: silence on a new one means a slow peer, and sending
        # the request again would not help.
        if not flight.destination.policy.detect_silence:
            return
        if not (flight.attempts.repeatable and exchange.is_reused and flight.budget.tokens >= 1.0):
            return
        now_ns, slowest_ns = self._clock.now_ns(), self._peers.get(address).slowest_recent_ns
        left_ns = flight.deadline_ns - now_ns
        wait_ns = silence_limit_ns(left_ns, slowest_ns, is_local=local is not None)
        flight.attempt_by_ns = now_ns + wait_ns

    def _on_silence(self, flight: Flight, exchange: Exchange) -> None:
        if exchange.interrupt_reason and flight.stop_reason != CALLER_GONE:
            self._counters.silent += exchange.interrupt_reason == SILENT
            exchange.suspect()

    def _check_answer(
        self,
        flight: Flight,
        exchange: Exchange,
        answer: AnswerParser,
        local: Target | None,
        address: str,
    ) -> None:
        """Raises the failure that an answer stands for, if it is not the upstream's own."""
        if local is not None:
            self._ownership.link.on_answer()
            if answer.status not in NOT_RUN_STATUSES and not self._dialect.seal:
                return
            fields = {name.lower(): value for name, value in answer.fields}
            if not says_not_run(self._dialect, answer.status, fields):
                repeatable = flight.attempts.repeatable
                check_proof(self._dialect, answer.status, fields, address, repeatable=repeatable)
                return
            read_small(exchange)
            exchange.finish()
            flight.attempts.on_not_run()
            if answer.status == MISDIRECTED:
                self._ownership.link.on_misdirected(fields.get(self._dialect.instance, ""))
            raise refusal_of(answer.status, answer.phrase, fields, address)
        lowered = ((name.lower(), value) for name, value in answer.fields)
        fields = {name: value for name, value in lowered if name.startswith(_headers.PREFIX)}
        flight.utilisation = Utilisation.decode(fields.get(_headers.USE, ""))
        if _headers.OUTCOME not in fields:
            return
        status = f"{answer.status} {answer.phrase}"
        refusal = parse_refusal(status, fields, read_small(exchange), address)
        exchange.finish()
        if refusal.outcome is Outcome.UNKNOWN:
            flight.attempts.on_possibly_run()
        else:
            flight.attempts.on_not_run()
        raise RequestFailedError(refusal)

    def _read_prefix(self, flight: Flight) -> None:
        if flight.prefix is not None:
            return
        try:
            flight.prefix = flight.request.body.read_up_to(BUFFERED_BYTES)
        except CallerGoneError:
            self._check_stopped(flight)
            raise

    def _confirm(self, target: Target) -> None:
        reason = self._ownership.gate.confirm(target.service, target.shard, target.epoch)
        if reason:
            raise not_run(reason, "ownership ended before the request was sent", "send")

    def _check_stopped(self, flight: Flight) -> None:
        if flight.stop_reason == CALLER_GONE:
            raise CallerGoneError("the caller closed the connection", step="forward")
        if flight.stop_reason or self.left_ms(flight) <= 0:
            detail = "the deadline passed before the request was sent"
            raise not_run("deadline", detail, "forward", status="504 Gateway Timeout")

    def _grant(self, target: Target) -> str:
        place = f"{target.service};{target.shard};{target.epoch}"
        return f"{_headers.GRANT}: {place};{self._ownership.gate.expires_ns()}\r\n"
