"""Hooks of the request path: admission of requests to the upstream and choice among upstreams.

The defaults here limit nothing and rotate; limits and load balancing plug in behind the protocols.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ._admission_queue import Work
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
    "Use",
]


MAX_USE_CHARS = 16


class Result(Enum):
    """How an attempt at a peer ended."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class Use:
    """How busy an upstream is.

    Attributes:
        used_percent: Slots in use and requests that wait, as counted by the node beside it.
        reported_percent: Slots in use as the upstream reports them; it may lag or mislead.
    """

    used_percent: float = 0.0
    reported_percent: float = 0.0

    def encode(self) -> str:
        """Returns the value of the header between nodes."""
        return f"{self.used_percent:.0f} {self.reported_percent:.0f}"

    @classmethod
    def decode(cls, value: str) -> "Use | None":
        """Returns what a header says, or None if it is not valid."""
        used, _, reported = value.partition(" ")
        if not (used.isdecimal() and reported.isdecimal() and len(value) <= MAX_USE_CHARS):
            return None
        return cls(float(used), float(reported))


class Ticket(Protocol):
    """An admitted attempt."""

    def leave(self, result: Result, answer_bytes: int = 0) -> None:
        """Ends the attempt; called exactly once.

        Args:
            result: How it ended.
            answer_bytes: Size of the upstream's answer.
        """

    def sent(self) -> None:
        """Notes that the answer is out, or that there is none; called exactly once, after `leave`."""


class Admission(Protocol):
    """Decides when and whether an attempt goes to the upstream beside this node."""

    def admit(self, target: Target, work: Work) -> Ticket:
        """Admits an attempt; may wait, no longer than until the deadline.

        Args:
            target: Service and shard of the request.
            work: What the attempt needs and until when.

        Raises:
            NotRunError: The attempt is not admitted; its detail is the reason.
        """

    def use(self) -> "Use":
        """Returns how busy the upstream is."""


class Chooser(Protocol):
    """Chooses the node that serves a request of an unkeyed service."""

    def choose(
        self, candidates: Sequence[Session], now_ns: int, had_no_room: bool = False
    ) -> Session:
        """Returns one of the candidates, of which there is at least one.

        Args:
            candidates: Sessions of the service.
            now_ns: The current time.
            had_no_room: Whether an upstream had no room for the request.
        """

    def observe(self, session: Session, result: Result, duration_ns: int) -> None:
        """Notes how an attempt at a session ended and how long it took."""

    def note_use(self, session: Session, use: Use) -> None:
        """Notes how busy a session's upstream is."""


class CountingAdmission:
    """Admits everything and counts, in total and per shard."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.by_shard: dict[tuple[str, int], int] = {}
        self.results = dict.fromkeys(Result, 0)

    def admit(self, target: Target, work: Work) -> "_CountedTicket":
        """See `Admission.enter`."""
        ticket = _CountedTicket(self, (target.service, target.shard))
        self.in_flight += 1
        self.by_shard[ticket.place] = self.by_shard.get(ticket.place, 0) + 1
        return ticket

    def use(self) -> Use:
        """See `Admission.use`; without limits there is no share to state."""
        return Use()


class _CountedTicket:
    __slots__ = ("_admission", "place")

    def __init__(self, admission: CountingAdmission, place: tuple[str, int]) -> None:
        self._admission = admission
        self.place = place

    def leave(self, result: Result, answer_bytes: int = 0) -> None:
        """See `Ticket.leave`."""
        admission = self._admission
        admission.in_flight -= 1
        admission.results[result] += 1
        left = admission.by_shard[self.place] - 1
        if left:
            admission.by_shard[self.place] = left
        else:
            del admission.by_shard[self.place]

    def sent(self) -> None:
        """Does nothing: no link is counted."""


class ObservedAdmission:
    """Reports attempts at the upstream that got no answer.

    Args:
        inner: Decides on admission.
        on_failure: Called after each attempt that was not run or whose outcome is unknown.
    """

    def __init__(self, inner: Admission, on_failure: Callable[[], None]) -> None:
        self._inner = inner
        self._on_failure = on_failure

    def admit(self, target: Target, work: Work) -> "_ObservedTicket":
        """See `Admission.enter`."""
        return _ObservedTicket(self._inner.admit(target, work), self._on_failure)

    def use(self) -> Use:
        """See `Admission.use`."""
        return self._inner.use()


class _ObservedTicket:
    __slots__ = ("_inner", "_on_failure")

    def __init__(self, inner: Ticket, on_failure: Callable[[], None]) -> None:
        self._inner = inner
        self._on_failure = on_failure

    def leave(self, result: Result, answer_bytes: int = 0) -> None:
        """See `Ticket.leave`."""
        self._inner.leave(result, answer_bytes)
        if result in (Result.NOT_RUN, Result.UNKNOWN):
            self._on_failure()

    def sent(self) -> None:
        """See `Ticket.sent`."""
        self._inner.sent()


class RotatingChooser:
    """Takes the candidates of the nearest tier in turn: own domain, own region, elsewhere.

    Args:
        region: Region of this node.
        domain: Failure domain of this node.
    """

    def __init__(self, region: str = "", domain: str = "") -> None:
        self._region = region
        self._domain = domain
        self._turn = 0

    def choose(
        self, candidates: Sequence[Session], now_ns: int, had_no_room: bool = False
    ) -> Session:
        """See `Chooser.choose`."""
        nearest = [s for s in candidates if s.domain == self._domain and s.region == self._region]
        nearest = nearest or [s for s in candidates if s.region == self._region] or candidates
        self._turn += 1
        return nearest[self._turn % len(nearest)]

    def observe(self, session: Session, result: Result, duration_ns: int) -> None:
        """Does nothing: the rotation ignores how attempts end."""

    def note_use(self, session: Session, use: Use) -> None:
        """Does nothing: the rotation ignores load."""
