"""The table of requests in flight and the system that ends those whose time is over."""

import select
from collections.abc import Callable

from ._admission import Result, Ticket, Utilisation
from ._admission_queue import Work
from ._caller_request import Request
from ._clock import NS_PER_MS
from ._entrance import Destination
from ._exchange import Exchange
from ._hop import Hop
from ._outcome import RequestFailedError
from ._retry import AttemptLog, RetryBudget

__all__ = ["CALLER_GONE", "DEADLINE", "SILENT", "STALLED", "Flight", "FlightTable"]

CALLER_GONE = "caller-gone"
DEADLINE = "deadline"
SILENT = "silent"
STALLED = "stalled"

STALL_TIMEOUT_NS = 30_000 * NS_PER_MS


class Flight:
    """One request from its head to the end of its answer.

    Attributes:
        request: The caller's request.
        hop: What the node before said, or None if a caller sent the request.
        deadline_ns: Time after which the answer is of no use.
        covers_body: Whether the deadline covers the answer's body too.
        attempts: Attempts and what is known of them.
        destination: What the request asks for.
        budget: Retries that the service's requests may make.
        prefix: Beginning of the request body, kept for a further attempt.
        is_sending: Whether a streamed body is being sent.
        is_body_consumed: Whether more than the prefix was read, so that it cannot be sent again.
        owner_hint: Address that a node with a newer map named, or an empty string.
        tried: Addresses of unkeyed upstreams that failed.
        ticket: Place at the upstream beside this node while it works on the request.
        use: How busy the other node said that its upstream is.
        exchange: Current exchange with a peer.
        started_ns: When the request's head was complete.
        status: Status of the upstream's answer, 0 before it came.
        answer_bytes: Length of its body, 0 before it came or if it states none.
        outcome: How the request ended, empty while it runs or if an upstream answered it.
        reason: Reason of a refusal.
        caller_service: Service of the VM on which the request arose.
        request_id: Identifies the caller's attempt in logs.
        wanted_ns: When the answer loses most of its worth.
        failures: Attempts that failed.
        peer: Address of the last attempt.
        upstreams: How many upstreams the request was offered to.
        local_service: Service of the request if it was sent to the upstream beside this node.
        attempt_by_ns: When silence ends the current attempt, 0 for never.
        progress_by_ns: When the answer counts as stalled, 0 before it began.
        stop_reason: Why the request was stopped, or an empty string.
    """

    __slots__ = (
        "answer_bytes",
        "attempt_by_ns",
        "attempts",
        "budget",
        "caller_service",
        "covers_body",
        "deadline_ns",
        "destination",
        "exchange",
        "failures",
        "hop",
        "is_body_consumed",
        "is_sending",
        "is_watched",
        "local_service",
        "outcome",
        "owner_hint",
        "peer",
        "prefix",
        "progress_by_ns",
        "reason",
        "request",
        "request_id",
        "started_ns",
        "status",
        "stop_reason",
        "ticket",
        "tried",
        "upstreams",
        "utilisation",
        "wanted_ns",
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
        self.prefix: bytes | None = None
        self.is_body_consumed = False
        self.is_sending = False
        self.owner_hint = ""
        self.tried: set[str] = set()
        self.exchange: Exchange | None = None
        self.attempt_by_ns = 0
        self.progress_by_ns = 0
        self.stop_reason = ""
        self.is_watched = False
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
        self.upstreams = 0
        wanted_ms = destination.wanted_ms
        self.wanted_ns = started_ns + wanted_ms * NS_PER_MS if wanted_ms else deadline_ns
        self.utilisation: Utilisation | None = None

    def work(self) -> Work:
        """Returns what the request asks of an upstream's slots."""
        asked = self.destination
        return Work(self.deadline_ns, asked.kind, self.wanted_ns, asked.came_back, asked.is_call)

    def wanted_left_ms(self, now_ns: int, margin_ms: int) -> int:
        """Returns the time until the answer loses most of its worth, 0 if it does not before the end.

        Args:
            now_ns: The current time.
            margin_ms: Time for the answer's way back from another node.
        """
        if self.wanted_ns >= self.deadline_ns:
            return 0
        return max(1, (self.wanted_ns - now_ns) // NS_PER_MS - margin_ms)

    def next_hop(self, request_id: str, left_ms: int, wanted_ms: int, map_version: int) -> Hop:
        """Returns what another node is told of the request."""
        asked = self.destination
        return Hop(
            request_id,
            left_ms,
            1,
            map_version,
            asked.service,
            asked.repeatable,
            asked.priority,
            asked.kind,
            wanted_ms,
            asked.came_back,
            asked.is_call,
        )

    def release(self, result: Result) -> None:
        """Gives the place at the upstream back, if the request still has it."""
        ticket, self.ticket = self.ticket, None
        if ticket is not None:
            ticket.release(result, self.answer_bytes)

    def stop(self, reason: str) -> None:
        """Ends the request; the greenlet that runs it wakes with an error."""
        if self.stop_reason:
            return
        self.stop_reason = reason
        if self.exchange is not None:
            self.exchange.interrupt(reason)
        if self.request.is_answered:
            self.request.break_off()
        elif not self.request.body.is_complete:
            self.request.interrupt_read()


class FlightTable:
    """All requests in flight."""

    def __init__(self, on_stop: Callable[[str], None] | None = None) -> None:
        self._flights: set[Flight] = set()
        self._on_stop = on_stop or (lambda reason: None)

    def __len__(self) -> int:
        return len(self._flights)

    def add(self, flight: Flight) -> None:
        """Adds a request."""
        self._flights.add(flight)

    def discard(self, flight: Flight) -> None:
        """Removes a request."""
        self._flights.discard(flight)

    def sweep(self, now_ns: int) -> None:
        """Stops requests whose deadline passed, whose peer is silent or whose caller has gone."""
        if not self._flights:
            return
        callers: dict[int, Flight] = {}
        poll = select.poll()
        for flight in tuple(self._flights):
            if flight.stop_reason:
                continue
            self._check_time(flight, now_ns)
            if flight.is_sending:
                _check_early_answer(flight)
            # Most requests end between two sweeps; only the others are worth a look at the caller.
            if flight.is_watched and (number := flight.request.fileno()) >= 0:
                callers[number] = flight
                poll.register(number, select.POLLRDHUP)
            flight.is_watched = True
        for number, _ in poll.poll(0) if callers else ():
            self._stop(callers[number], CALLER_GONE)

    def _check_time(self, flight: Flight, now_ns: int) -> None:
        if flight.progress_by_ns:
            if flight.covers_body and now_ns >= flight.deadline_ns:
                self._stop(flight, DEADLINE)
            elif now_ns >= flight.progress_by_ns:
                self._stop(flight, STALLED)
        elif now_ns >= flight.deadline_ns:
            self._stop(flight, DEADLINE)
        elif 0 < flight.attempt_by_ns <= now_ns:
            exchange = flight.exchange
            if exchange is not None and not exchange.answered:
                exchange.interrupt(SILENT)

    def _stop(self, flight: Flight, reason: str) -> None:
        if not flight.stop_reason:
            flight.stop(reason)
            self._on_stop(reason)


def _check_early_answer(flight: Flight) -> None:
    """Stops sending a body that the peer has answered already, or whose connection ended."""
    exchange = flight.exchange
    if exchange is not None and exchange.has_early_answer:
        exchange.stop_sending()
        flight.request.interrupt_read()
