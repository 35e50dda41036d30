"""The HTTP request path: runs the attempts and retries of each request and relays the answer."""

import random
from collections.abc import Callable

import gevent

from . import _headers
from ._active_requests import SILENT, STOPPING, ActiveRequestTable, RequestContext
from ._admission import Admission, Chooser, CountingAdmission, RotatingChooser
from ._admission_queue import CAPACITY_REASONS
from ._attempt import AttemptRunner
from ._caller_request import Request
from ._clock import NS_PER_MS, BootClock, Clock
from ._counters import Counters
from ._crash_monitor import CrashMonitor
from ._dialect import DEFAULT_DIALECT, Dialect
from ._final_requests import reset_requests
from ._hop import HopSigner
from ._http_head import RequestHead
from ._link_sender import LinkSender
from ._link_usage import LINK_FULL, LinkUsage
from ._outcome import Outcome, Refusal, RequestFailedError, not_run, refused, unknown
from ._ownership import Gate, Ownership, UpstreamHooks
from ._peers import PeerTable
from ._request_log import RequestLog
from ._request_policy import RequestPolicy
from ._request_records import Observer, RequestRecords
from ._resolver import DestinationResolver, PathResolver, RouteResolver
from ._retry import AttemptLog, RetryBudget, backoff_ms
from ._routing import Router
from ._sockets import endpoint
from ._upstream_answer import SHED
from .exceptions import CallerGoneError, InvariantViolation, OutcomeUnknownError

__all__ = ["ProxyApplication"]

# Bounds attempts that reached no upstream, which do not use up the retry budget.
MAX_ATTEMPTS_NOT_RUN = 4
# When two upstreams, one of them in another region, have no room, the service is taken to be
# overloaded; further attempts would only add load.
MAX_ATTEMPTS_NO_ROOM = 2
# Share of the fleet's retry reserve that nodes use; the rest covers the subrequests of retried
# requests, which count as retries too.
USABLE_RESERVE_SHARE = 0.5
PEER_EXPIRY_PERIOD_NS = 5_000 * NS_PER_MS
CANCELLED = "cancelled"
CUT_SHORT = "cut-short"


class ProxyApplication:
    """Serves requests by forwarding them to the local upstream or to another node.

    Args:
        router: Decides where a request goes.
        upstream_address: Returns the address of the local upstream, or None.
        gate: Checks whether this node may serve a shard.
        signer: Signs requests to other nodes and verifies requests from them.
        own_address: Data address of this node, reported to callers as the owner of its keys.
        admission: Admits requests to the local upstream.
        chooser: Chooses among the upstreams of an unkeyed service.
        crash_monitor: Detects crashes of the local upstream.
        clock: Source of time.
        jitter: Returns random numbers in [0, 1), for retry backoff.
        on_violation: Called once, with the first invariant violation.
        resolve_address: Returns the address to connect to for the address of an upstream or a node.
        observer: Measures requests, or None.
        resolver: Determines the destination of each request.
        dialect: Header names that callers and upstreams use.
        own_service: Service of this VM, sent to upstreams if the dialect has a header for it.
        upstream_hooks: Adapter's hooks into the exchange with the upstream.
        link: Schedules sending on the VM's link, or None for no scheduling.
        link_usage: Estimates when the VM's link can carry a large answer.
    """

    def __init__(
        self,
        router: Router,
        upstream_address: Callable[[], str | None],
        gate: Gate,
        *,
        signer: HopSigner,
        own_address: str = "",
        admission: Admission | None = None,
        chooser: Chooser | None = None,
        crash_monitor: CrashMonitor | None = None,
        clock: Clock | None = None,
        jitter: Callable[[], float] = random.random,
        on_violation: Callable[[InvariantViolation], None] | None = None,
        resolve_address: Callable[[str], str] = str,
        observer: Observer | None = None,
        resolver: DestinationResolver | None = None,
        dialect: Dialect = DEFAULT_DIALECT,
        own_service: str = "",
        upstream_hooks: UpstreamHooks | None = None,
        link: LinkSender | None = None,
        link_usage: LinkUsage | None = None,
    ) -> None:
        self._resolver = resolver or PathResolver()
        self._dialect = dialect
        self._own_service = own_service
        self._router = router
        self._signer = signer
        self._clock = clock or BootClock()
        self._jitter = jitter
        self._on_violation = on_violation
        self._policies: dict[str, RequestPolicy] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._active_requests = ActiveRequestTable()
        own_host = endpoint(own_address)[0] if own_address else ""
        self._peers = PeerTable(
            self._clock, resolve_address=resolve_address, link=link, own_host=own_host
        )
        self._next_expiry_ns = 0
        self._request_log = RequestLog(own_address, router, self._clock)
        self._records = RequestRecords(
            self._request_log, observer, router, self._resolver, self._clock
        )
        self.counters = Counters()
        self._runner = AttemptRunner(
            router,
            Ownership(upstream_address, gate, own_address, upstream_hooks or UpstreamHooks()),
            signer,
            admission or CountingAdmission(),
            chooser or RotatingChooser(),
            self._clock,
            self.counters,
            self._peers,
            crash_monitor or CrashMonitor(own_address, self._clock, lambda notice: None),
            link_usage or LinkUsage(),
            dialect,
        )
        if isinstance(self._resolver, RouteResolver):
            self._resolver.is_running = self._runner.is_running
        self.violation: InvariantViolation | None = None
        self._is_closed = False

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return len(self._active_requests)

    def __call__(self, request: Request) -> None:
        """Serves one request."""
        self.counters.requests += 1
        try:
            context = self._create_context(request)
        except RequestFailedError as error:
            self._refuse_unrouted(request, error.refusal)
            return
        except Exception as error:
            self._request_log.internal_error(
                request.head.parsed_headers.get(self._dialect.request_id, "")
            )
            self._refuse_unrouted(request, _internal_failure(error, not_run))
            return
        self._active_requests.add(context)
        try:
            self._run(context)
        except CallerGoneError as error:
            self.counters.cancelled += 1
            context.outcome = CANCELLED
            self._request_log.unanswered(context, error)
            request.reset_connection()
        except InvariantViolation as error:
            self._record_violation(error)
            context.outcome, context.reason = Outcome.UNKNOWN.value, "violation"
            if not request.is_answered:
                request.refuse(unknown("violation", error.detail, error.step).refusal)
        except Exception as error:
            # An unexpected error in a hook or in this program must end only this request, not the
            # connection's greenlet. How much was sent is unknown here, so the outcome is unknown.
            self._request_log.internal_error(context.request_id)
            context.outcome, context.reason = Outcome.UNKNOWN.value, "internal"
            if not request.is_answered:
                request.refuse(_internal_failure(error, unknown))
            elif not request.is_answer_complete:
                request.reset_connection()
        finally:
            self._active_requests.discard(context)
            self._records.ended(context)

    def sweep(self, now_ns: int) -> None:
        """Stops timed-out requests and those whose caller left; expires idle connections."""
        self._active_requests.sweep(now_ns)
        if now_ns >= self._next_expiry_ns:
            self._next_expiry_ns = now_ns + PEER_EXPIRY_PERIOD_NS
            self._peers.expire(now_ns)

    def set_policies(self, policies: dict[str, RequestPolicy]) -> None:
        """Applies the request policy of each service; requests in flight keep their policy."""
        if isinstance(self._resolver, PathResolver):
            self._resolver.policies = policies
        # Settings change every few seconds in a large fleet, so retry budgets keep their state.
        existing = self._budgets
        self._policies = policies
        self._budgets = {service: existing.get(service) or RetryBudget() for service in policies}
        for service, budget in self._budgets.items():
            budget.share = policies[service].retry_share
        self._router.key_limits = {
            service: policy.max_key_bytes for service, policy in policies.items()
        }

    def divide_retry_reserve(self, nodes: int) -> None:
        """Gives each retry budget this node's share of the fleet-wide retry reserve.

        Args:
            nodes: Number of nodes in the fleet.
        """
        for service, budget in self._budgets.items():
            reserve = self._policies[service].retry_fleet_reserve
            if reserve:
                budget.reserve = USABLE_RESERVE_SHARE * reserve / max(1, nodes)

    def end_requests(self, *, spares_arriving: bool = False) -> None:
        """Ends requests because the node ends; see `ActiveRequestTable.stop_unanswered`."""
        self._active_requests.stop_unanswered(spares_arriving=spares_arriving)

    def reset_requests(self) -> None:
        """Resets the connections of the requests in flight; see `_final_requests`."""
        reset_requests(self._active_requests, self._request_log)

    def close(self) -> None:
        """Closes the idle connections to peers; requests that are read from now on are refused."""
        self._is_closed = True
        self._peers.drop_idle()

    def _create_context(self, request: Request) -> RequestContext:
        if self._is_closed:
            raise not_run(STOPPING, "this node ended before it read the request", "request")
        if self.violation is not None:
            raise not_run("violation", self.violation.detail, self.violation.step)
        head = request.head
        hop = None
        signed = head.parsed_headers.get(_headers.HOP)
        if signed is not None:
            key = head.parsed_headers.get(self._dialect.key, "")
            hop = self._signer.verify(signed, head.method, head.target, key)
            self.counters.forwarded += 1
        if hop is None:
            destination = self._resolver.destination(head)
        else:
            destination = self._resolver.forwarded_destination(head, hop)
        policy = destination.policy
        budget = self._budgets.get(destination.service) or RetryBudget(policy.retry_share)
        request.body.lower_limit(policy.max_body_bytes)
        now_ns = self._clock.now_ns()
        if hop is None:
            deadline_ms, is_explicit = self._deadline(head, policy)
            budget.on_request(now_ns)
        else:
            deadline_ms, is_explicit = hop.deadline_ms, False
        attempts = AttemptLog(destination.repeatable)
        deadline_ns = now_ns + deadline_ms * NS_PER_MS
        context = RequestContext(
            request, hop, deadline_ns, is_explicit, attempts, destination, budget, now_ns
        )
        context.request_id = head.parsed_headers.get(self._dialect.request_id, "")
        context.caller_service = self._own_service
        if hop is not None:
            context.caller_service = head.parsed_headers.get(self._dialect.caller_service, "")
        return context

    def _deadline(self, head: RequestHead, policy: RequestPolicy) -> tuple[int, bool]:
        """Returns the request's time limit in ms and whether the caller set it."""
        value = head.parsed_headers.get(self._dialect.deadline_ms)
        if value is None:
            return policy.default_deadline_ms, False
        if not (value.isascii() and value.isdecimal() and len(value) <= 9) or int(value) == 0:
            detail = f"{self._dialect.deadline_ms} is not a positive number of milliseconds"
            raise refused("400 Bad Request", "bad-deadline", detail)
        return min(int(value), policy.max_deadline_ms), True

    def _refuse_unrouted(self, request: Request, refusal: Refusal) -> None:
        """Refuses a request for which there is no context."""
        self.counters.refused += refusal.outcome is Outcome.REFUSED
        self._records.refused(request, refusal)
        request.refuse(refusal)

    def _run(self, context: RequestContext) -> None:
        failures = context.failures
        while True:
            try:
                self._runner.run(context)
                return
            except RequestFailedError as error:
                failures.append(error)
            except OutcomeUnknownError as error:
                # A part of the answer has been relayed, so no other answer can be sent.
                self.counters.cut_short += 1
                context.outcome, context.reason = Outcome.UNKNOWN.value, CUT_SHORT
                self._request_log.cut_short(context, error)
                return
            if not self._prepare_retry(context, failures):
                self._refuse(context, failures)
                return

    def _prepare_retry(self, context: RequestContext, failures: list[RequestFailedError]) -> bool:
        """Waits for the retry backoff; returns False if the request must not be retried."""
        refusal = failures[-1].refusal
        if context.hop is not None or context.stop_reason or context.is_body_consumed:
            return False
        if refusal.outcome is Outcome.REFUSED or refusal.reason == LINK_FULL:
            return False
        if len(failures) >= MAX_ATTEMPTS_NOT_RUN:
            return False
        if refusal.reason in CAPACITY_REASONS:
            refusals = sum(error.refusal.reason in CAPACITY_REASONS for error in failures)
            if refusals >= MAX_ATTEMPTS_NO_ROOM or not context.tried_addresses:
                # Only one upstream may run the request for its key, and that one has no room.
                return False
        reached = refusal.outcome is Outcome.UNKNOWN or refusal.reason == SHED
        context.upstream_attempts += reached
        if context.upstream_attempts >= context.destination.policy.max_attempts:
            return False
        if not context.attempts.may_send or (
            refusal.reason == SHED and not context.tried_addresses
        ):
            return False
        delay_ms = 0.0
        if refusal.owner and refusal.map_version > self._router.map_version:
            context.owner_hint = refusal.owner
        elif refusal.reason != SILENT and not context.tried_addresses:
            delay_ms = backoff_ms(len(failures), self._jitter())
        if self._runner.remaining_ms(context) <= delay_ms:
            return False
        # Only attempts that reached an upstream add load, so only those use the retry budget.
        if context.upstream_attempts and not context.budget.take():
            return False
        self.counters.retries += 1
        if delay_ms:
            gevent.sleep(delay_ms / 1000)
        return not context.stop_reason

    def _refuse(self, context: RequestContext, failures: list[RequestFailedError]) -> None:
        refusal = _final_refusal(context, failures)
        context.attempts.check_reported_outcome(refusal.outcome)
        match refusal.outcome:
            case Outcome.NOT_RUN:
                self.counters.not_run += 1
            case Outcome.UNKNOWN:
                self.counters.unknown += 1
            case Outcome.REFUSED:
                self.counters.refused += 1
        context.outcome, context.reason = refusal.outcome.value, refusal.reason
        self._request_log.failed(context, refusal)
        context.request.refuse(refusal)

    def _record_violation(self, error: InvariantViolation) -> None:
        if self.violation is None:
            self.violation = error
            self._request_log.violation(error)
            if self._on_violation is not None:
                self._on_violation(error)


def _internal_failure(error: Exception, failure: Callable[..., RequestFailedError]) -> Refusal:
    """Returns the refusal for an unexpected error; `failure` is `not_run` or `unknown`."""
    detail = f"the node failed: {type(error).__name__}"
    status = "500 Internal Server Error"
    return failure("internal", detail, "forward", status=status).refusal


def _final_refusal(context: RequestContext, failures: list[RequestFailedError]) -> Refusal:
    """Returns the refusal to send to the caller after the last attempt failed."""
    last = failures[-1].refusal
    if context.attempts.outcome is Outcome.UNKNOWN and last.outcome is not Outcome.UNKNOWN:
        # An earlier attempt may have run, even if the last one did not.
        earlier = [f.refusal for f in failures if f.refusal.outcome is Outcome.UNKNOWN]
        if earlier:
            return earlier[-1]
        return unknown(last.reason, last.detail, last.step, last.peer).refusal
    return last
