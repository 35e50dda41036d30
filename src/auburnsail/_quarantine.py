"""Quarantine of requests that crash the upstreams that run them.

Every request in flight when an upstream crashes becomes a suspect on all nodes. An upstream runs
at most one suspect at a time, so its next crash names the culprit among the suspects; innocent
suspects only wait for their turn and are cleared by their first complete run. A fingerprint that was
the only suspect in flight at a second crash is refused until the entry expires.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from ._clock import NS_PER_MS
from ._digest import blake2s

__all__ = ["CrashNotice", "Quarantine", "QuarantineLimits", "Treatment", "fingerprint"]

FINGERPRINT_BYTES = 12
MS_PER_S = 1_000


class Treatment(Enum):
    """How a request is to be handled."""

    NORMAL = "normal"
    ISOLATED = "isolated"
    REFUSED = "refused"


class CrashNotice(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Tells other nodes which requests were in flight at a crash.

    Attributes:
        id: Identifies the crash, so that a repeated notice counts once.
        fingerprints: Requests that may have caused it.
    """

    id: str
    fingerprints: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class QuarantineLimits:
    """Settings of the quarantine; the names follow the settings tree."""

    max_crashes: int = 2
    expiry_s: float = 600.0
    max_entries: int = 1_024


@dataclass(slots=True)
class _Suspect:
    crashes: int
    expires_ns: int


def fingerprint(method: str, target: str, body_start: bytes) -> bytes:
    """Returns a short digest that is equal for equal requests.

    Args:
        method: HTTP method.
        target: Request target.
        body_start: The body, or its first block if it is streamed.
    """
    digest = blake2s(digest_size=FINGERPRINT_BYTES)
    digest.update(f"{method} {target}\n".encode())
    digest.update(body_start)
    return digest.digest()


class Quarantine:
    """Suspects and what each may do.

    Args:
        limits: Settings of the quarantine.
    """

    def __init__(self, limits: QuarantineLimits | None = None) -> None:
        self._limits = limits or QuarantineLimits()
        self._suspects: dict[bytes, _Suspect] = {}
        self._seen: dict[str, int] = {}
        self._in_flight: dict[bytes, int] = {}

    @property
    def suspects(self) -> int:
        """Fingerprints that are followed."""
        return len(self._suspects)

    @property
    def suspects_in_flight(self) -> int:
        """Suspects that the upstream runs now."""
        return sum(1 for mark in self._in_flight if mark in self._suspects)

    def set_limits(self, limits: QuarantineLimits) -> None:
        """Applies new settings."""
        self._limits = limits

    def treatment(self, mark: bytes, now_ns: int) -> Treatment:
        """Returns how a request is to be handled now.

        Args:
            mark: The request's fingerprint.
            now_ns: The current time.
        """
        suspect = self._suspects.get(mark)
        if suspect is None:
            return Treatment.NORMAL
        if suspect.expires_ns <= now_ns:
            del self._suspects[mark]
            return Treatment.NORMAL
        if suspect.crashes >= self._limits.max_crashes:
            return Treatment.REFUSED
        return Treatment.ISOLATED

    def may_start(self, mark: bytes, now_ns: int) -> bool:
        """Returns whether the upstream may run the request now."""
        match self.treatment(mark, now_ns):
            case Treatment.NORMAL:
                return True
            case Treatment.ISOLATED:
                return self.suspects_in_flight == 0
            case Treatment.REFUSED:
                return False

    def started(self, mark: bytes) -> None:
        """Notes that the upstream runs a request."""
        self._in_flight[mark] = self._in_flight.get(mark, 0) + 1

    def finished(self, mark: bytes, completed: bool) -> None:
        """Notes that a request is no longer in flight.

        Args:
            mark: The request's fingerprint.
            completed: Whether the upstream gave a whole answer, which clears a suspect.
        """
        left = self._in_flight.get(mark, 0) - 1
        if left > 0:
            self._in_flight[mark] = left
        else:
            self._in_flight.pop(mark, None)
        suspect = self._suspects.get(mark)
        if completed and suspect is not None and suspect.crashes < self._limits.max_crashes:
            del self._suspects[mark]

    def crashed(self, crash_id: str, now_ns: int) -> CrashNotice:
        """Notes that the upstream crashed with its requests in flight.

        Args:
            crash_id: Identifies the crash in the fleet.
            now_ns: The current time.

        Returns:
            The notice for the other nodes.
        """
        in_flight = tuple(self._in_flight)
        # Suspects run one at a time, so a suspect in flight explains the crash and the rest need
        # no suspicion.
        culprits = tuple(mark for mark in in_flight if mark in self._suspects) or in_flight
        notice = CrashNotice(crash_id, culprits)
        self.merge(notice, now_ns)
        return notice

    def merge(self, notice: CrashNotice, now_ns: int) -> bool:
        """Counts a crash that this or another node saw.

        Args:
            notice: The notice of the crash.
            now_ns: The current time.

        Returns:
            False if the crash was counted before.
        """
        if notice.id in self._seen:
            return False
        expires_ns = now_ns + int(self._limits.expiry_s * MS_PER_S * NS_PER_MS)
        self._seen[notice.id] = expires_ns
        for mark in notice.fingerprints:
            suspect = self._suspects.setdefault(mark, _Suspect(0, expires_ns))
            suspect.crashes += 1
            suspect.expires_ns = expires_ns
        self._evict()
        return True

    def tick(self, now_ns: int) -> None:
        """Forgets what has expired."""
        self._seen = {key: end for key, end in self._seen.items() if end > now_ns}
        self._suspects = {
            mark: suspect for mark, suspect in self._suspects.items() if suspect.expires_ns > now_ns
        }

    def _evict(self) -> None:
        while len(self._suspects) > self._limits.max_entries:
            oldest = min(self._suspects, key=lambda mark: self._suspects[mark].expires_ns)
            del self._suspects[oldest]
        while len(self._seen) > self._limits.max_entries:
            del self._seen[next(iter(self._seen))]
