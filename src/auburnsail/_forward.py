"""The HTTP data path: receives requests, routes them and passes answers back."""

import random
from collections.abc import Callable
from typing import Protocol

import gevent

from . import _headers
from ._admission import Admission, Chooser, CountingAdmission, RotatingChooser
from ._admission_queue import CAPACITY_REASONS
from ._attempt import AttemptRunner
from ._caller_request import Request
from ._clock import NS_PER_MS, BootClock, Clock
from ._counters import Counters
from ._crash_monitor import CrashMonitor
from ._dialect import OWN, Dialect
from ._entrance import Entrance, PathEntrance, RouteEntrance
from ._flights import SILENT, Flight, FlightTable
from ._hop import HopSigner
from ._http_head import RequestHead
from ._link_sender import LinkSender
from ._link_usage import LINK_FULL, LinkUsage
from ._outcome import (
    Outcome,
    Refusal,
    RequestFailedError,
    not_run,
    refused,
    unknown,
)
from ._ownership import Gate, Ownership, UpstreamLink
from ._peers import PeerTable
from ._request_lines import RequestLines
from ._request_policy import RequestPolicy
from ._retry import AttemptLog, RetryBudget, backoff_ms
from ._routing import Router
from ._sockets import endpoint
from ._upstream_answer import SHED
from .exceptions import (
    CallerGoneError,
    InvariantViolation,
    OutcomeUnknownError,
)

__all__ = ["Observer", "ProxyApplication"]

# Attempts that reached no upstream cost little; they are bounded all the same.
MAX_ATTEMPTS_NOT_RUN = 4
# Two upstreams, one of them in another region, say well enough that the service has no room; more
# attempts only add to the load.
MAX_ATTEMPTS_NO_ROOM = 2
# Part of the shared reserve that is used; requests that a retried one makes count as retries, too.
RESERVE_SHARE = 0.5
EXPIRE_EVERY_NS = 5_000 * NS_PER_MS
CANCELLED = "cancelled"
CUT_SHORT = "cut-short"


class Observer(Protocol):
    """Measures requests; `Measurements` implements it. It must not block."""

    def on_answer(
        self, service: str, shard: int, outcome: str, status: int, duration_ns: int, reason: str
    ) -> None:
        """Takes how a request ended that this node received from its caller."""

    def on_served(self, service: str, duration_ns: int) -> None:
        """Takes a request that was sent to the upstream beside this node."""


class ProxyApplication:
    """Forwards requests.

    Args:
        router: Decides where a request goes.
        upstream_address: Returns the address of the upstream beside this node, or None.
        gate: Knows whether this node may serve.
        signer: Signs requests to other nodes and checks theirs.
        own_address: Address at which this node serves, named as the owner of its keys.
        admission: Admits requests to the upstream beside this node.
        chooser: Chooses among the upstreams of an unkeyed service.
        crashes: Follows crashes of the upstream beside this node.
        clock: Source of time.
        jitter: Returns random numbers in [0, 1).
        on_violation: Called once when a guarantee was found broken.
        reach: Returns where to connect for the address of an upstream or a node.
        observer: Measures requests, or None.
        entrance: Decides what a request of a caller asks for.
        dialect: Header names of callers and upstreams.
        own_service: Service of this VM, told to upstreams if the dialect has a name for it.
        link: What an adapter adds to the exchange with the upstream.
        sender: The VM's link, None if nothing is counted.
        share: What the link allows for large answers.
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
        crashes: CrashMonitor | None = None,
        clock: Clock | None = None,
        jitter: Callable[[], float] = random.random,
        on_violation: Callable[[InvariantViolation], None] | None = None,
        reach: Callable[[str], str] = str,
        observer: Observer | None = None,
        entrance: Entrance | None = None,
        dialect: Dialect = OWN,
        own_service: str = "",
        link: UpstreamLink | None = None,
        sender: LinkSender | None = None,
        share: LinkUsage | None = None,
    ) -> None:
        self._observer = observer
        self._entrance = entrance or PathEntrance()
        self._dialect = dialect
        self._own_service = own_service
        self._router = router
        self._signer = signer
        self._clock = clock or BootClock()
        self._jitter = jitter
        self._on_violation = on_violation
        self._policies: dict[str, RequestPolicy] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._flights = FlightTable()
        own_host = endpoint(own_address)[0] if own_address else ""
        self._peers = PeerTable(self._clock, reach=reach, link=sender, own_host=own_host)
        self._next_expiry_ns = 0
        self._lines = RequestLines(own_address, router, self._clock)
        self.counters = Counters()
        self._runner = AttemptRunner(
            router,
            Ownership(upstream_address, gate, own_address, link or UpstreamLink()),
            signer,
            admission or CountingAdmission(),
            chooser or RotatingChooser(),
            self._clock,
            self.counters,
            self._peers,
            crashes or CrashMonitor(own_address, self._clock, lambda notice: None),
            share or LinkUsage(),
            dialect,
        )
        if isinstance(self._entrance, RouteEntrance):
            self._entrance.is_call = self._runner.is_running
        self.violation: InvariantViolation | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return len(self._flights)

    def __call__(self, request: Request) -> None:
        """Serves one request."""
        self.counters.requests += 1
        try:
            flight = self._begin(request)
        except RequestFailedError as error:
            self.counters.refused += error.refusal.outcome is Outcome.REFUSED
            self._observe_refusal(request, error.refusal)
            request.refuse(error.refusal)
            return
        self._flights.add(flight)
        try:
            self._run(flight)
        except CallerGoneError:
            self.counters.cancelled += 1
            flight.outcome = CANCELLED
            request.break_off()
        except InvariantViolation as error:
            self._violate(error)
            flight.outcome, flight.reason = Outcome.UNKNOWN.value, "violation"
            if not request.is_answered:
                request.refuse(unknown("violation", error.detail, error.step).refusal)
        except Exception as error:
            # A fault of a hook or of this program ends one request and not the connection's greenlet
            # with a stack on the console; what it had sent is not known here.
            self._lines.internal_error(flight)
            flight.outcome, flight.reason = Outcome.UNKNOWN.value, "internal"
            if request.is_answered:
                request.break_off()
            else:
                detail = f"the node failed: {type(error).__name__}"
                status = "500 Internal Server Error"
                request.refuse(unknown("internal", detail, "forward", status=status).refusal)
        finally:
            self._flights.discard(flight)
            if not flight.outcome:
                self._lines.answered(flight)
            if self._observer is not None:
                self._observe(flight, self._observer)

    def sweep(self, now_ns: int) -> None:
        """See `Application.sweep`."""
        self._flights.sweep(now_ns)
        if now_ns >= self._next_expiry_ns:
            self._next_expiry_ns = now_ns + EXPIRE_EVERY_NS
            self._peers.expire(now_ns)

    def set_policies(self, policies: dict[str, RequestPolicy]) -> None:
        """Puts the rules for each service in force; requests in flight keep theirs."""
        if isinstance(self._entrance, PathEntrance):
            self._entrance.policies = policies
        # Settings change every few seconds in a large fleet, so the budgets go on.
        known = self._budgets
        self._policies = policies
        self._budgets = {service: known.get(service) or RetryBudget() for service in policies}
        for service, budget in self._budgets.items():
            budget.share = policies[service].retry_share
        self._router.key_limits = {
            service: policy.max_key_bytes for service, policy in policies.items()
        }

    def share_reserve(self, nodes: int) -> None:
        """Divides the reserve for retries that all nodes share.

        Args:
            nodes: Number of nodes in the fleet.
        """
        for service, budget in self._budgets.items():
            reserve = self._policies[service].retry_fleet_reserve
            if reserve:
                budget.reserve = RESERVE_SHARE * reserve / max(1, nodes)

    def close(self) -> None:
        """Closes the idle connections to peers."""
        self._peers.drop_idle()

    def _begin(self, request: Request) -> Flight:
        if self.violation is not None:
            raise not_run("violation", self.violation.detail, self.violation.step)
        head = request.head
        hop = None
        signed = head.special.get(_headers.HOP)
        if signed is not None:
            key = head.special.get(self._dialect.key, "")
            hop = self._signer.verify(signed, head.method, head.target, key)
            self.counters.forwarded += 1
        if hop is None:
            destination = self._entrance.destination(head)
        else:
            destination = self._entrance.forwarded(head, hop)
        policy = destination.policy
        budget = self._budgets.get(destination.service)
        if budget is None:
            budget = RetryBudget(policy.retry_share)
        request.body.limit(policy.max_body_bytes)
        now_ns = self._clock.now_ns()
        if hop is None:
            deadline_ms, is_explicit = self._deadline(head, policy)
            budget.on_request(now_ns)
        else:
            deadline_ms, is_explicit = hop.deadline_ms, False
        attempts = AttemptLog(destination.repeatable)
        deadline_ns = now_ns + deadline_ms * NS_PER_MS
        flight = Flight(
            request, hop, deadline_ns, is_explicit, attempts, destination, budget, now_ns
        )
        flight.request_id = head.special.get(self._dialect.request_id, "")
        flight.caller_service = self._own_service
        if hop is not None:
            flight.caller_service = head.special.get(self._dialect.caller_service, "")
        return flight

    def _deadline(self, head: RequestHead, policy: RequestPolicy) -> tuple[int, bool]:
        """Returns the time that a request may take in ms and whether the caller set it."""
        value = head.special.get(self._dialect.deadline_ms)
        if value is None:
            return policy.default_deadline_ms, False
        if not (value.isascii() and value.isdecimal() and len(value) <= 9) or int(value) == 0:
            detail = f"{self._dialect.deadline_ms} is not a positive number of milliseconds"
            raise refused("400 Bad Request", "bad-deadline", detail)
        return min(int(value), policy.max_deadline_ms), True

    def _observe(self, flight: Flight, observer: Observer) -> None:
        duration_ns = self._clock.now_ns() - flight.started_ns
        if flight.local_service:
            observer.on_served(flight.local_service, duration_ns)
        if flight.hop is not None:
            return
        service = flight.destination.service
        if service in self._router.tree.services:
            shard = -1
            if flight.outcome == Outcome.NOT_RUN.value:
                shard = self._router.shard(service, flight.destination.key)
            observer.on_answer(
                service, shard, flight.outcome, flight.status, duration_ns, flight.reason
            )

    def _observe_refusal(self, request: Request, refusal: Refusal) -> None:
        """Reports a request that was refused before it was routed."""
        head = request.head
        if self._observer is None or _headers.HOP in head.special:
            return
        if service := self._entrance.service_of(head):
            outcome = refusal.outcome.value
            self._observer.on_answer(service, -1, outcome, 0, 0, refusal.reason)

    def _run(self, flight: Flight) -> None:
        failures = flight.failures
        while True:
            try:
                self._runner.run(flight)
                return
            except RequestFailedError as error:
                failures.append(error)
            except OutcomeUnknownError as error:
                # The answer was cut short after a part of it had been passed on.
                self.counters.cut_short += 1
                flight.outcome, flight.reason = Outcome.UNKNOWN.value, CUT_SHORT
                self._lines.cut_short(flight, error)
                return
            if not self._prepare_retry(flight, failures):
                self._refuse(flight, failures)
                return

    def _prepare_retry(self, flight: Flight, failures: list[RequestFailedError]) -> bool:
        """Waits before the next attempt; returns False if there is none."""
        refusal = failures[-1].refusal
        if flight.hop is not None or flight.stop_reason or flight.is_body_consumed:
            return False
        if refusal.outcome is Outcome.REFUSED or refusal.reason == LINK_FULL:
            return False
        if len(failures) >= MAX_ATTEMPTS_NOT_RUN:
            return False
        if refusal.reason in CAPACITY_REASONS:
            refusals = sum(error.refusal.reason in CAPACITY_REASONS for error in failures)
            if refusals >= MAX_ATTEMPTS_NO_ROOM or not flight.tried:
                # Of a key only one upstream may run it, and that one has said that it cannot.
                return False
        reached = refusal.outcome is Outcome.UNKNOWN or refusal.reason == SHED
        flight.upstreams += reached
        if flight.upstreams >= flight.destination.policy.max_attempts:
            return False
        if not flight.attempts.may_send or (refusal.reason == SHED and not flight.tried):
            return False
        delay_ms = 0.0
        if refusal.owner and refusal.map_version > self._router.map_version:
            flight.owner_hint = refusal.owner
        elif refusal.reason != SILENT and not flight.tried:
            delay_ms = backoff_ms(len(failures), self._jitter())
        if self._runner.left_ms(flight) <= delay_ms:
            return False
        # Only attempts that reached an upstream add to its load.
        if flight.upstreams and not flight.budget.take():
            return False
        self.counters.retries += 1
        if delay_ms:
            gevent.sleep(delay_ms / 1000)
        return not flight.stop_reason

    def _refuse(self, flight: Flight, failures: list[RequestFailedError]) -> None:
        refusal = _final_refusal(flight, failures)
        flight.attempts.check_told(refusal.outcome)
        match refusal.outcome:
            case Outcome.NOT_RUN:
                self.counters.not_run += 1
            case Outcome.UNKNOWN:
                self.counters.unknown += 1
            case Outcome.REFUSED:
                self.counters.refused += 1
        flight.outcome, flight.reason = refusal.outcome.value, refusal.reason
        self._lines.failed(flight, refusal)
        flight.request.refuse(refusal)

    def _violate(self, error: InvariantViolation) -> None:
        if self.violation is None:
            self.violation = error
            self._lines.violation(error)
            if self._on_violation is not None:
                self._on_violation(error)


def _final_refusal(flight: Flight, failures: list[RequestFailedError]) -> Refusal:
    """Returns what the caller is told after the last attempt failed."""
    last = failures[-1].refusal
    if flight.attempts.outcome is Outcome.UNKNOWN and last.outcome is not Outcome.UNKNOWN:
        # An earlier attempt may have run, whatever became of the last one.
        earlier = [f.refusal for f in failures if f.refusal.outcome is Outcome.UNKNOWN]
        if earlier:
            return earlier[-1]
        return unknown(last.reason, last.detail, last.step, last.peer).refusal
    return last
