"""Interfaces for admission to the upstream and for load balancing, with simple defaults.

The defaults admit every request and choose upstreams by rotation. `_limits` and `_balance`
implement the same protocols with limits and load balancing.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ._admission_queue import AdmissionRequest
from ._model import Session
from ._routing import Target

__all__ = [
    "Admission",
    "Chooser",
    "CountingAdmission",
    "ObservedAdmission",
    "Result",
    "RotatingChooser",
    "Ticket",
    "Utilisation",
]


MAX_UTILISATION_CHARS = 16


class Result(Enum):
    """The result of an attempt at a peer."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class Utilisation:
    """Utilisation of an upstream in percent of its slots.

    Attributes:
        used_percent: Running and queued requests, as counted by the upstream's node.
        reported_percent: Slots in use as reported by the upstream; may be stale or wrong.
    """

    used_percent: float = 0.0
    reported_percent: float = 0.0

    def encode(self) -> str:
        """Returns the header value that carries the utilisation between nodes."""
        return f"{self.used_percent:.0f} {self.reported_percent:.0f}"

    @classmethod
    def decode(cls, value: str) -> "Utilisation | None":
        """Parses a header value; returns None if it is malformed."""
        used, _, reported = value.partition(" ")
        if not (used.isdecimal() and reported.isdecimal() and len(value) <= MAX_UTILISATION_CHARS):
            return None
        return cls(float(used), float(reported))


class Ticket(Protocol):
    """An admitted attempt at the upstream."""

    def release(self, result: Result, answer_bytes: int = 0) -> None:
        """Ends the attempt and frees its slot; must be called exactly once.

        Args:
            result: Result of the attempt.
            answer_bytes: Size of the upstream's answer in bytes.
        """

    def on_answer_sent(self) -> None:
        """Ends the use of the link; must be called exactly once, after `release`.

        The answer has been sent to the caller, or there is no answer.
        """


class Admission(Protocol):
    """Decides whether and when an attempt may start at the local upstream."""

    def admit(self, target: Target, request: AdmissionRequest) -> Ticket:
        """Admits an attempt; may block until the deadline of the request.

        Args:
            target: Service and shard of the request.
            request: Deadlines, kind and origin of the request.

        Raises:
            NotRunError: The attempt is not admitted; `detail` holds the reason token.
        """

    def utilisation(self) -> "Utilisation":
        """Returns the utilisation of the upstream."""


class Chooser(Protocol):
    """Load balancer: chooses the node that serves a request to an unkeyed service."""

    def choose(
        self, candidates: Sequence[Session], now_ns: int, no_capacity: bool = False
    ) -> Session:
        """Returns one of the candidates.

        Args:
            candidates: At least one session of the service.
            now_ns: The current time in nanoseconds.
            no_capacity: Whether an upstream has already refused this request for lack of capacity.
        """

    def observe(self, session: Session, result: Result, duration_ns: int) -> None:
        """Records the result and the duration of an attempt at a session's upstream."""

    def observe_utilisation(self, session: Session, utilisation: Utilisation) -> None:
        """Records the utilisation of a session's upstream."""


class CountingAdmission:
    """Admits every attempt and counts attempts in total, by shard and by result."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.by_shard: dict[tuple[str, int], int] = {}
        self.results = dict.fromkeys(Result, 0)

    def admit(self, target: Target, request: AdmissionRequest) -> "_CountedTicket":
        """Implements `Admission.admit`."""
        ticket = _CountedTicket(self, (target.service, target.shard))
        self.in_flight += 1
        self.by_shard[ticket.shard_key] = self.by_shard.get(ticket.shard_key, 0) + 1
        return ticket

    def utilisation(self) -> Utilisation:
        """Returns zero: without limits, utilisation is undefined."""
        return Utilisation()


class _CountedTicket:
    __slots__ = ("_admission", "shard_key")

    def __init__(self, admission: CountingAdmission, shard_key: tuple[str, int]) -> None:
        self._admission = admission
        self.shard_key = shard_key

    def release(self, result: Result, answer_bytes: int = 0) -> None:
        """Implements `Ticket.release`."""
        admission = self._admission
        admission.in_flight -= 1
        admission.results[result] += 1
        remaining = admission.by_shard[self.shard_key] - 1
        if remaining:
            admission.by_shard[self.shard_key] = remaining
        else:
            del admission.by_shard[self.shard_key]

    def on_answer_sent(self) -> None:
        """Does nothing: this admission does not account for the link."""


class ObservedAdmission:
    """Calls back after each attempt at the upstream that got no answer.

    Args:
        inner: Admission that makes the decisions.
        on_failure: Called after each attempt that was not run or whose outcome is unknown.
    """

    def __init__(self, inner: Admission, on_failure: Callable[[], None]) -> None:
        self._inner = inner
        self._on_failure = on_failure

    def admit(self, target: Target, request: AdmissionRequest) -> "_ObservedTicket":
        """Implements `Admission.admit`."""
        return _ObservedTicket(self._inner.admit(target, request), self._on_failure)

    def utilisation(self) -> Utilisation:
        """Implements `Admission.utilisation`."""
        return self._inner.utilisation()


class _ObservedTicket:
    __slots__ = ("_inner", "_on_failure")

    def __init__(self, inner: Ticket, on_failure: Callable[[], None]) -> None:
        self._inner = inner
        self._on_failure = on_failure

    def release(self, result: Result, answer_bytes: int = 0) -> None:
        """Implements `Ticket.release`."""
        self._inner.release(result, answer_bytes)
        if result in (Result.NOT_RUN, Result.UNKNOWN):
            self._on_failure()

    def on_answer_sent(self) -> None:
        """Implements `Ticket.on_answer_sent`."""
        self._inner.on_answer_sent()


class RotatingChooser:
    """Rotates among the candidates of the nearest tier: own domain, own region, other regions.

    Args:
        region: Region of this node.
        domain: Failure domain of this node.
    """

    def __init__(self, region: str = "", domain: str = "") -> None:
        self._region = region
        self._domain = domain
        self._choice_count = 0

    def choose(
        self, candidates: Sequence[Session], now_ns: int, no_capacity: bool = False
    ) -> Session:
        """Implements `Chooser.choose`."""
        nearest = [s for s in candidates if s.domain == self._domain and s.region == self._region]
        nearest = nearest or [s for s in candidates if s.region == self._region] or candidates
        self._choice_count += 1
        return nearest[self._choice_count % len(nearest)]

    def observe(self, session: Session, result: Result, duration_ns: int) -> None:
        """Does nothing: the rotation ignores results."""

    def observe_utilisation(self, session: Session, utilisation: Utilisation) -> None:
        """Does nothing: the rotation ignores utilisation."""
