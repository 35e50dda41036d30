"""Choice among the upstreams of an unkeyed service.

A node trusts what it observed itself first: latency, failures and its own requests in flight. The
use that a candidate's node reported with an answer comes second. What the upstream says of its
own load only counts in part and only while it is fresh, since such reports lag or mislead.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ._admission import Result
from ._clock import NS_PER_MS
from ._model import Session, SessionId

__all__ = ["BalanceLimits", "Candidate", "LatencyChooser"]

MAX_EJECT_MS = 30_000
# More ejected candidates than this share would put their load on the few that are left.
MAX_EJECTED_SHARE = 0.5
# Latency that stands for a candidate without observations.
UNKNOWN_LATENCY_NS = 1 * NS_PER_MS
# Bytes between regions are paid for; a candidate there must be this much faster to be chosen.
REGION_PENALTY_NS = 50 * NS_PER_MS
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class BalanceLimits:
    """Settings of the choice; the names follow the settings tree."""

    eject_after_failures: int = 5
    eject_ms: float = 1_000.0
    slow_start_s: float = 10.0
    slow_start_initial_percent: float = 10.0
    reported_load_percent: float = 20.0
    report_expiry_ms: float = 5_000.0
    latency_half_life_ms: float = 5_000.0
    leave_domain_at_percent: float = 80.0
    leave_region_at_percent: float = 95.0


@dataclass(slots=True)
class Candidate:
    """What this node knows of one upstream."""

    first_seen_ns: int
    slots: int
    latency_ns: float = 0.0
    observed_ns: int = 0
    in_flight: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_ns: int = 0
    used_percent: float = 0.0
    used_ns: int = 0
    reported_percent: float = 0.0
    reported_ns: int = 0


class LatencyChooser:
    """Prefers near, fast and little used upstreams; see `Chooser`.

    Args:
        region: Region of this node.
        domain: Failure domain of this node.
        limits: Settings of the choice.
        rng: Source of randomness.
        now_ns: Returns the current time.
    """

    def __init__(
        self,
        region: str,
        domain: str,
        limits: BalanceLimits,
        rng: random.Random,
        now_ns: Callable[[], int],
    ) -> None:
        self._region = region
        self._domain = domain
        self._limits = limits
        self._rng = rng
        self._now_ns = now_ns
        self._table: dict[SessionId, Candidate] = {}
        self._started_ns = now_ns()

    @property
    def table(self) -> dict[SessionId, Candidate]:
        """What is known of each upstream."""
        return self._table

    def set_limits(self, limits: BalanceLimits) -> None:
        """Applies new settings."""
        self._limits = limits

    def choose(self, candidates: Sequence[Session], now_ns: int) -> Session:
        """Returns the session whose upstream should run the next request.

        Args:
            candidates: At least one session of the service.
            now_ns: The current time.
        """
        for session in candidates:
            if session.id not in self._table:
                self._table[session.id] = self._new_candidate(session, now_ns)
        usable = self._usable(candidates, now_ns)
        tier = self._nearest_with_room(usable, now_ns)
        first = self._rng.choice(tier)
        second = self._rng.choice(tier)
        chosen = min(first, second, key=lambda session: self._cost(session, now_ns))
        self._table[chosen.id].in_flight += 1
        return chosen

    def observe(self, session: Session, result: Result, duration_ns: int) -> None:
        """Notes how an attempt at a session ended and how long it took."""
        row = self._table.get(session.id)
        if row is None:
            return
        row.in_flight = max(0, row.in_flight - 1)
        now_ns = self._now_ns()
        match result:
            case Result.ANSWERED:
                row.failures = 0
                row.ejections = 0
                self._learn_latency(row, duration_ns, now_ns)
            case Result.UNKNOWN:
                self._learn_latency(row, duration_ns, now_ns)
                self._fail(row, now_ns)
            case Result.NOT_RUN:
                row.used_percent = 100.0
                row.used_ns = now_ns
                self._fail(row, now_ns)
            case Result.CANCELLED:
                pass

    def note_use(self, session_id: SessionId, used_percent: float, now_ns: int) -> None:
        """Notes the share of slots in use that the candidate's node reported with an answer."""
        row = self._table.get(session_id)
        if row is not None:
            row.used_percent = used_percent
            row.used_ns = now_ns

    def note_report(self, session_id: SessionId, load_percent: float, now_ns: int) -> None:
        """Notes the load that an upstream reports of itself."""
        row = self._table.get(session_id)
        if row is not None:
            row.reported_percent = load_percent
            row.reported_ns = now_ns

    def forget(self, open_sessions: set[SessionId]) -> None:
        """Drops what is known of sessions that are closed."""
        for session_id in [key for key in self._table if key not in open_sessions]:
            del self._table[session_id]

    def _new_candidate(self, session: Session, now_ns: int) -> Candidate:
        # All upstreams are new to a node that has just started; only later ones are cold.
        is_first = now_ns - self._started_ns < MS_PER_S * NS_PER_MS
        slow_start_ns = int(self._limits.slow_start_s * MS_PER_S * NS_PER_MS)
        return Candidate(now_ns - slow_start_ns if is_first else now_ns, max(1, session.slots))

    def _usable(self, candidates: Sequence[Session], now_ns: int) -> Sequence[Session]:
        usable = [s for s in candidates if self._table[s.id].ejected_until_ns <= now_ns]
        if len(usable) < len(candidates) * (1 - MAX_EJECTED_SHARE):
            return candidates
        return usable

    def _nearest_with_room(self, usable: Sequence[Session], now_ns: int) -> Sequence[Session]:
        own_domain = [s for s in usable if s.domain == self._domain and s.region == self._region]
        if own_domain and self._use(own_domain, now_ns) < self._limits.leave_domain_at_percent:
            return own_domain
        own_region = [s for s in usable if s.region == self._region]
        if own_region and self._use(own_region, now_ns) < self._limits.leave_region_at_percent:
            return own_region
        return usable

    def _use(self, sessions: Sequence[Session], now_ns: int) -> float:
        slots = sum(self._table[s.id].slots * self._weight(s.id, now_ns) for s in sessions)
        used = sum(
            self._table[s.id].slots * self._used_percent(self._table[s.id], now_ns) / 100
            for s in sessions
        )
        return 100 * used / slots if slots else 100.0

    def _used_percent(self, row: Candidate, now_ns: int) -> float:
        own = 100 * row.in_flight / row.slots
        fresh_ns = self._limits.report_expiry_ms * NS_PER_MS
        if row.used_ns and now_ns - row.used_ns < fresh_ns:
            own = max(own, row.used_percent)
        if row.reported_ns and now_ns - row.reported_ns < fresh_ns:
            share = self._limits.reported_load_percent / 100
            own = (1 - share) * own + share * row.reported_percent
        return own

    def _weight(self, session_id: SessionId, now_ns: int) -> float:
        row = self._table[session_id]
        slow_start_ns = self._limits.slow_start_s * MS_PER_S * NS_PER_MS
        age_ns = now_ns - row.first_seen_ns
        if age_ns >= slow_start_ns:
            return 1.0
        initial = self._limits.slow_start_initial_percent / 100
        return initial + (1 - initial) * age_ns / slow_start_ns

    def _cost(self, session: Session, now_ns: int) -> float:
        row = self._table[session.id]
        latency_ns = row.latency_ns or UNKNOWN_LATENCY_NS
        load = 1 + self._used_percent(row, now_ns) / 100 + row.in_flight / row.slots
        cost = latency_ns * load / self._weight(session.id, now_ns)
        return cost if session.region == self._region else cost + REGION_PENALTY_NS

    def _learn_latency(self, row: Candidate, duration_ns: int, now_ns: int) -> None:
        half_life_ns = self._limits.latency_half_life_ms * NS_PER_MS
        keep = 0.5 ** ((now_ns - row.observed_ns) / half_life_ns) if row.observed_ns else 0.0
        # Without a floor, a burst within a short time would leave the mean at its first value.
        keep = min(keep, 0.9)
        row.latency_ns = keep * row.latency_ns + (1 - keep) * duration_ns
        row.observed_ns = now_ns

    def _fail(self, row: Candidate, now_ns: int) -> None:
        row.failures += 1
        if row.failures < self._limits.eject_after_failures:
            return
        pause_ms = min(MAX_EJECT_MS, self._limits.eject_ms * 2**row.ejections)
        row.ejected_until_ns = now_ns + int(pause_ms * NS_PER_MS)
        row.ejections += 1
        # One more failure after the pause is enough to exclude the upstream again.
        row.failures = self._limits.eject_after_failures - 1
