"""Quarantine of requests that crash the upstreams that run them.

Every request in flight when an upstream crashes becomes a suspect on all nodes. An upstream runs at
most one suspect at a time, so the next crash identifies the request that caused it. Other suspects
are only delayed, and their first complete run clears them. A fingerprint that was the only suspect
in flight at a second crash is refused until its entry expires.
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
    """How the upstream may run a request."""

    NORMAL = "normal"
    ISOLATED = "isolated"
    REFUSED = "refused"


class CrashNotice(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Message to other nodes: the requests in flight at a crash.

    Attributes:
        id: Identifies the crash, so that a repeated notice counts once.
        fingerprints: Fingerprints of the requests that may have caused it.
        age_ms: Time since the crash.
    """

    id: str
    fingerprints: tuple[bytes, ...]
    age_ms: int = 0


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


@dataclass(frozen=True, slots=True)
class _Crash:
    notice: CrashNotice
    since_ns: int
    expires_ns: int


def fingerprint(method: str, target: str, body_start: bytes) -> bytes:
    """Returns a digest that identifies equal requests.

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
    """Table of suspect requests.

    Args:
        limits: Settings of the quarantine.
    """

    def __init__(self, limits: QuarantineLimits | None = None) -> None:
        self._limits = limits or QuarantineLimits()
        self._suspects: dict[bytes, _Suspect] = {}
        self._seen_crashes: dict[str, _Crash] = {}
        self._in_flight: dict[bytes, int] = {}

    @property
    def suspects(self) -> int:
        """Number of suspect fingerprints."""
        return len(self._suspects)

    @property
    def running_suspects(self) -> int:
        """Number of suspects that the upstream runs now."""
        return sum(1 for digest in self._in_flight if digest in self._suspects)

    def set_limits(self, limits: QuarantineLimits) -> None:
        """Applies new settings."""
        self._limits = limits

    def treatment(self, digest: bytes, now_ns: int) -> Treatment:
        """Returns the treatment of a request; drops an expired entry.

        Args:
            digest: The request's fingerprint.
            now_ns: The current time in nanoseconds.
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            return Treatment.NORMAL
        if suspect.expires_ns <= now_ns:
            del self._suspects[digest]
            return Treatment.NORMAL
        if suspect.crashes >= self._limits.max_crashes:
            return Treatment.REFUSED
        return Treatment.ISOLATED

    def may_start(self, digest: bytes, now_ns: int) -> bool:
        """Returns whether the upstream may run the request now."""
        match self.treatment(digest, now_ns):
            case Treatment.NORMAL:
                return True
            case Treatment.ISOLATED:
                return self.running_suspects == 0
            case Treatment.REFUSED:
                return False

    def record_start(self, digest: bytes) -> None:
        """Records that the upstream starts a request."""
        self._in_flight[digest] = self._in_flight.get(digest, 0) + 1

    def record_end(self, digest: bytes, completed: bool) -> None:
        """Records that a request is no longer in flight.

        Args:
            digest: The request's fingerprint.
            completed: Whether the upstream returned a complete answer, which clears a suspect.
        """
        remaining = self._in_flight.get(digest, 0) - 1
        if remaining > 0:
            self._in_flight[digest] = remaining
        else:
            self._in_flight.pop(digest, None)
        suspect = self._suspects.get(digest)
        if completed and suspect is not None and suspect.crashes < self._limits.max_crashes:
            del self._suspects[digest]

    def record_crash(self, crash_id: str, now_ns: int) -> CrashNotice:
        """Records a crash of the upstream with its requests in flight.

        Args:
            crash_id: Identifier of the crash, unique in the fleet.
            now_ns: The current time in nanoseconds.

        Returns:
            The notice for the other nodes.
        """
        in_flight = tuple(self._in_flight)
        # Suspects run one at a time, so a suspect in flight caused the crash and the other requests
        # stay unsuspected.
        possible_causes = (
            tuple(digest for digest in in_flight if digest in self._suspects) or in_flight
        )
        notice = CrashNotice(crash_id, possible_causes)
        self.merge(notice, now_ns)
        return notice

    def merge(self, notice: CrashNotice, now_ns: int) -> bool:
        """Counts a crash that this or another node observed.

        Args:
            notice: The notice of the crash.
            now_ns: The current time in nanoseconds.

        Returns:
            False if the crash has been counted before.
        """
        if notice.id in self._seen_crashes:
            return False
        since_ns = now_ns - max(0, notice.age_ms) * NS_PER_MS
        expires_ns = since_ns + int(self._limits.expiry_s * MS_PER_S * NS_PER_MS)
        self._seen_crashes[notice.id] = _Crash(notice, since_ns, expires_ns)
        for digest in notice.fingerprints:
            suspect = self._suspects.setdefault(digest, _Suspect(0, expires_ns))
            suspect.crashes += 1
            suspect.expires_ns = max(suspect.expires_ns, expires_ns)
        self._evict()
        return True

    def notices(self, now_ns: int) -> list[CrashNotice]:
        """Returns the notices of crashes whose causes are still suspect, for nodes that start."""
        notices = []
        for crash in self._seen_crashes.values():
            suspects = tuple(d for d in crash.notice.fingerprints if d in self._suspects)
            if suspects and crash.expires_ns > now_ns:
                age_ms = (now_ns - crash.since_ns) // NS_PER_MS
                notices.append(CrashNotice(crash.notice.id, suspects, age_ms))
        return notices

    def tick(self, now_ns: int) -> None:
        """Drops expired entries."""
        self._seen_crashes = {
            key: crash for key, crash in self._seen_crashes.items() if crash.expires_ns > now_ns
        }
        self._suspects = {
            digest: suspect
            for digest, suspect in self._suspects.items()
            if suspect.expires_ns > now_ns
        }

    def _evict(self) -> None:
        while len(self._suspects) > self._limits.max_entries:
            oldest = min(self._suspects, key=lambda digest: self._suspects[digest].expires_ns)
            del self._suspects[oldest]
        while len(self._seen_crashes) > self._limits.max_entries:
            del self._seen_crashes[next(iter(self._seen_crashes))]
