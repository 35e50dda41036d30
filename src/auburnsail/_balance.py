"""Load balancing among the upstreams of an unkeyed service.

The choice relies first on this node's own observations: latency, failures and its own requests in
flight; second on the utilisation that the candidate's node reported with an answer. The load that
an upstream reports of itself counts only in part and only while it is fresh, because such reports
can be stale or wrong.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ._admission import Result, Utilisation
from ._clock import NS_PER_MS
from ._model import Session, SessionId

__all__ = ["BalanceLimits", "Candidate", "LatencyChooser", "ServiceChooser"]

MAX_EJECT_MS = 30_000
# Without this bound, the pause would overflow a float after many ejections.
MAX_EJECT_DOUBLINGS = 15
# Above this fraction, ejections are ignored: the remaining candidates would be overloaded.
MAX_EJECTED_FRACTION = 0.5
# Assumed latency of a candidate without observations.
UNKNOWN_LATENCY_NS = 1 * NS_PER_MS
# Added to the cost of a candidate in another region, because traffic between regions is billed.
REGION_PENALTY_NS = 50 * NS_PER_MS
MS_PER_S = 1_000
# Up to this many candidates are all considered; of more, a random sample is drawn from each tier:
# own domain, own region, other regions.
MAX_UNSAMPLED_CANDIDATES = 24
SAMPLES_PER_TIER = (8, 4, 4)
# If `leave_region_at_percent` is at least this, a request leaves the own region only after an
# upstream has refused it for lack of capacity.
REFUSAL_ONLY_PERCENT = 100.0
# An upstream whose latency exceeds the lowest of its region by this factor is only probed.
SLOW_LATENCY_RATIO = 3.0
PROBE_INTERVAL_NS = 1_000 * NS_PER_MS


@dataclass(frozen=True, slots=True)
class BalanceLimits:
    """Settings of the load balancing; the names follow the settings tree."""

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
    """Observations of this node about one upstream.

    Attributes:
        first_seen_ns: Start of the slow start.
        slots: Slots that the upstream announced.
        latency_ns: Decayed mean latency, 0 before the first observation.
        observed_ns: Time of the last latency observation.
        in_flight: Requests of this node in flight at the upstream.
        failures: Failures since the last answer; one below the limit after an ejection.
        ejections: Ejections since the last answer; each doubles the next pause.
        ejected_until_ns: End of the last ejection.
        used_percent: Utilisation that the candidate's node counts, 100 after a refusal.
        used_ns: Time at which `used_percent` was set.
        reported_percent: Utilisation that the upstream reports of itself.
        reported_ns: Time at which `reported_percent` was set.
        chosen_ns: Time at which the upstream was last chosen.
    """

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
    chosen_ns: int = 0


class LatencyChooser:
    """Prefers near, fast and lightly loaded upstreams; implements `Chooser`.

    Args:
        region: Region of this node.
        domain: Failure domain of this node.
        limits: Settings of the load balancing.
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
        self._candidates: dict[SessionId, Candidate] = {}
        self._started_ns = now_ns()
        self._sampled_from: Sequence[Session] = ()
        self._tiers: tuple[list[Session], ...] = ([], [], [])

    @property
    def candidates_by_session(self) -> dict[SessionId, Candidate]:
        """Observations by session."""
        return self._candidates

    def set_limits(self, limits: BalanceLimits) -> None:
        """Applies new settings."""
        self._limits = limits

    def choose(
        self, candidates: Sequence[Session], now_ns: int, no_capacity: bool = False
    ) -> Session:
        """Returns the session whose upstream should run the next request.

        Load pattern: every region is at capacity. A request should then stay in its region: leaving
        gains nothing, and its answer of 90 kB would cross between the regions.

        Args:
            candidates: At least one session of the service.
            now_ns: The current time in nanoseconds.
            no_capacity: Whether an upstream, usually one of the own region, has refused this
                request for lack of capacity.
        """
        sampled = self._sample_candidates(candidates)
        for session in sampled:
            if session.id not in self._candidates:
                self._candidates[session.id] = self._new_candidate(session, now_ns)
        usable = self._usable(sampled, now_ns)
        tier = self._nearest_with_capacity(usable, now_ns, no_capacity)
        first = self._rng.choice(tier)
        second = self._rng.choice(tier)
        chosen = min(first, second, key=lambda session: self._cost(session, now_ns))
        candidate = self._candidates[chosen.id]
        candidate.in_flight += 1
        candidate.chosen_ns = now_ns
        return chosen

    def observe(self, session: Session, result: Result, duration_ns: int) -> None:
        """Records the result and the duration of an attempt at a session's upstream."""
        candidate = self._candidates.get(session.id)
        if candidate is None:
            return
        candidate.in_flight = max(0, candidate.in_flight - 1)
        now_ns = self._now_ns()
        match result:
            case Result.ANSWERED:
                candidate.failures = 0
                candidate.ejections = 0
                self._update_latency(candidate, duration_ns, now_ns)
            case Result.UNKNOWN:
                self._update_latency(candidate, duration_ns, now_ns)
                self._record_failure(candidate, now_ns)
            case Result.NOT_RUN:
                candidate.used_percent = 100.0
                candidate.used_ns = now_ns
                self._record_failure(candidate, now_ns)
            case Result.UNREACHABLE:
                # One more failure ejects it: each further attempt would wait for a failing
                # connection.
                candidate.failures = max(candidate.failures, self._limits.eject_after_failures - 1)
                self._record_failure(candidate, now_ns)
            case Result.CANCELLED:
                pass

    def observe_utilisation(self, session: Session, utilisation: Utilisation) -> None:
        """Implements `Chooser.observe_utilisation`."""
        candidate = self._candidates.get(session.id)
        if candidate is not None:
            candidate.used_percent = utilisation.used_percent
            candidate.reported_percent = utilisation.reported_percent
            candidate.used_ns = candidate.reported_ns = self._now_ns()

    def drop_closed_sessions(self, open_sessions: set[SessionId]) -> None:
        """Drops the observations of all sessions but the open ones."""
        for session_id in [key for key in self._candidates if key not in open_sessions]:
            del self._candidates[session_id]

    def _sample_candidates(self, candidates: Sequence[Session]) -> Sequence[Session]:
        """Returns a sample of each tier, so that the cost does not grow with the fleet."""
        if len(candidates) <= MAX_UNSAMPLED_CANDIDATES:
            return candidates
        if candidates is not self._sampled_from:
            # The router passes the same sequence object until the fleet changes.
            self._sampled_from = candidates
            self._tiers = ([], [], [])
            for session in candidates:
                self._tiers[self._tier(session)].append(session)
        sampled: list[Session] = []
        for tier, count in zip(self._tiers, SAMPLES_PER_TIER, strict=True):
            sampled += tier if len(tier) <= count else self._rng.sample(tier, count)
        return sampled

    def _tier(self, session: Session) -> int:
        if session.region != self._region:
            return 2
        return 0 if session.domain == self._domain else 1

    def _new_candidate(self, session: Session, now_ns: int) -> Candidate:
        # Sessions seen in the first second after the start of this node are not new, so they skip
        # the slow start.
        is_startup = now_ns - self._started_ns < MS_PER_S * NS_PER_MS
        slow_start_ns = int(self._limits.slow_start_s * MS_PER_S * NS_PER_MS)
        return Candidate(now_ns - slow_start_ns if is_startup else now_ns, max(1, session.slots))

    def _usable(self, candidates: Sequence[Session], now_ns: int) -> Sequence[Session]:
        lowest_ns = self._lowest_latencies_ns(candidates)
        usable = [s for s in candidates if self._is_usable(s, lowest_ns, now_ns)]
        if len(usable) < len(candidates) * (1 - MAX_EJECTED_FRACTION):
            return candidates
        return usable

    def _lowest_latencies_ns(self, candidates: Sequence[Session]) -> dict[str, float]:
        """Returns the lowest latency by region; network delays within a region are about equal."""
        lowest_ns: dict[str, float] = {}
        for session in candidates:
            latency_ns = self._candidates[session.id].latency_ns
            if latency_ns:
                known_ns = lowest_ns.get(session.region, latency_ns)
                lowest_ns[session.region] = min(known_ns, latency_ns)
        return lowest_ns

    def _is_usable(self, session: Session, lowest_ns: dict[str, float], now_ns: int) -> bool:
        candidate = self._candidates[session.id]
        if candidate.ejected_until_ns > now_ns:
            return False
        if now_ns - candidate.chosen_ns > PROBE_INTERVAL_NS:
            return True
        return candidate.latency_ns <= SLOW_LATENCY_RATIO * lowest_ns.get(
            session.region, candidate.latency_ns
        )

    def _nearest_with_capacity(
        self, usable: Sequence[Session], now_ns: int, no_capacity: bool
    ) -> Sequence[Session]:
        limits = self._limits
        own_region = [s for s in usable if s.region == self._region]
        if no_capacity:
            return [s for s in usable if s.region != self._region] or usable
        own_domain = [s for s in own_region if s.domain == self._domain]
        if (
            own_domain
            and self._utilisation_percent(own_domain, now_ns) < limits.leave_domain_at_percent
        ):
            return own_domain
        # The known utilisation is slightly stale; a refusal is more reliable and costs few bytes.
        leaves_on_refusal = limits.leave_region_at_percent >= REFUSAL_ONLY_PERCENT
        if own_region and (
            leaves_on_refusal
            or self._utilisation_percent(own_region, now_ns) < limits.leave_region_at_percent
        ):
            return own_region
        return usable

    def _utilisation_percent(self, sessions: Sequence[Session], now_ns: int) -> float:
        slots = sum(self._candidates[s.id].slots * self._weight(s.id, now_ns) for s in sessions)
        used = sum(
            self._candidates[s.id].slots * self._used_percent(self._candidates[s.id], now_ns) / 100
            for s in sessions
        )
        return 100 * used / slots if slots else 100.0

    def _used_percent(self, candidate: Candidate, now_ns: int) -> float:
        used_percent = 100 * candidate.in_flight / candidate.slots
        expiry_ns = self._limits.report_expiry_ms * NS_PER_MS
        if candidate.used_ns and now_ns - candidate.used_ns < expiry_ns:
            used_percent = max(used_percent, candidate.used_percent)
        if candidate.reported_ns and now_ns - candidate.reported_ns < expiry_ns:
            weight = self._limits.reported_load_percent / 100
            used_percent = (1 - weight) * used_percent + weight * candidate.reported_percent
        return used_percent

    def _weight(self, session_id: SessionId, now_ns: int) -> float:
        candidate = self._candidates[session_id]
        slow_start_ns = self._limits.slow_start_s * MS_PER_S * NS_PER_MS
        age_ns = now_ns - candidate.first_seen_ns
        if age_ns >= slow_start_ns:
            return 1.0
        initial = self._limits.slow_start_initial_percent / 100
        return initial + (1 - initial) * age_ns / slow_start_ns

    def _cost(self, session: Session, now_ns: int) -> float:
        candidate = self._candidates[session.id]
        latency_ns = candidate.latency_ns or UNKNOWN_LATENCY_NS
        load = (
            1 + self._used_percent(candidate, now_ns) / 100 + candidate.in_flight / candidate.slots
        )
        cost = latency_ns * load / self._weight(session.id, now_ns)
        return cost if session.region == self._region else cost + REGION_PENALTY_NS

    def _update_latency(self, candidate: Candidate, duration_ns: int, now_ns: int) -> None:
        half_life_ns = self._limits.latency_half_life_ms * NS_PER_MS
        old_weight = (
            0.5 ** ((now_ns - candidate.observed_ns) / half_life_ns)
            if candidate.observed_ns
            else 0.0
        )
        # Without this bound, a burst within a short time would leave the mean at its first value.
        old_weight = min(old_weight, 0.9)
        candidate.latency_ns = old_weight * candidate.latency_ns + (1 - old_weight) * duration_ns
        candidate.observed_ns = now_ns

    def _record_failure(self, candidate: Candidate, now_ns: int) -> None:
        candidate.failures += 1
        # Failures of requests that were already in flight at the ejection do not extend it.
        if (
            candidate.failures < self._limits.eject_after_failures
            or candidate.ejected_until_ns > now_ns
        ):
            return
        doublings = min(candidate.ejections, MAX_EJECT_DOUBLINGS)
        pause_ms = min(MAX_EJECT_MS, self._limits.eject_ms * 2**doublings)
        candidate.ejected_until_ns = now_ns + int(pause_ms * NS_PER_MS)
        candidate.ejections += 1
        # A single failure after the pause ejects the upstream again.
        candidate.failures = self._limits.eject_after_failures - 1


class ServiceChooser:
    """Delegates to one `LatencyChooser` per service; implements `Chooser`.

    Args:
        region: Region of this node.
        domain: Failure domain of this node.
        rng: Source of randomness.
        now_ns: Returns the current time.
    """

    def __init__(
        self, region: str, domain: str, rng: random.Random, now_ns: Callable[[], int]
    ) -> None:
        self._region = region
        self._domain = domain
        self._rng = rng
        self._now_ns = now_ns
        self._limits: dict[str, BalanceLimits] = {}
        self._choosers: dict[str, LatencyChooser] = {}

    def set_limits(self, limits: dict[str, BalanceLimits]) -> None:
        """Applies new settings by service."""
        self._limits = limits
        for service, chooser in self._choosers.items():
            chooser.set_limits(limits.get(service, BalanceLimits()))

    def choose(
        self, candidates: Sequence[Session], now_ns: int, no_capacity: bool = False
    ) -> Session:
        """Implements `Chooser.choose`."""
        return self._chooser_for(candidates[0].service).choose(candidates, now_ns, no_capacity)

    def observe(self, session: Session, result: Result, duration_ns: int) -> None:
        """Implements `Chooser.observe`."""
        self._chooser_for(session.service).observe(session, result, duration_ns)

    def observe_utilisation(self, session: Session, utilisation: Utilisation) -> None:
        """Implements `Chooser.observe_utilisation`."""
        self._chooser_for(session.service).observe_utilisation(session, utilisation)

    def drop_closed_sessions(self, open_sessions: set[SessionId]) -> None:
        """Drops the observations of all sessions but the open ones."""
        for chooser in self._choosers.values():
            chooser.drop_closed_sessions(open_sessions)

    def _chooser_for(self, service: str) -> LatencyChooser:
        chooser = self._choosers.get(service)
        if chooser is None:
            limits = self._limits.get(service, BalanceLimits())
            chooser = LatencyChooser(self._region, self._domain, limits, self._rng, self._now_ns)
            self._choosers[service] = chooser
        return chooser
