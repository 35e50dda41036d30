"""Reservations at the target of planned moves, and the load limits of owners and targets.

The load that a node counts itself takes precedence over the load that its upstream reports, because
reports lag or are wrong.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from ._model import SessionId
from ._placement_model import (
    DEFAULT_LIMITS,
    MAX_PEERS_IN_SAMPLE,
    PlacementLimits,
    ReservationReply,
    ReservationRequest,
    ServerLoad,
)

__all__ = [
    "MoveBudget",
    "ReservationBook",
    "decide_reservation",
    "fill_capacity",
    "is_kept_for_drains",
    "is_overloaded",
    "ready_capacity",
    "sample_peers",
    "slow_start_share",
    "trusted_load",
]

NS_PER_MS = 1_000_000
MS_PER_MINUTE = 60_000

# A report raises the counted load by this factor at most and never lowers it: an upstream can have
# work that bypasses its node, but a wrong report must neither drain nor overload a server.
MAX_REPORT_FACTOR = 1.25

# Share of its capacity that a server accepts right after joining. A smaller share would only delay
# the fill, because each shard brings some load at once.
INITIAL_CAPACITY_SHARE = 0.1

# A target may exceed the utilisation bound by this share, so that measurement noise does not make
# it decline a move.
RESERVATION_SLACK = 0.02

# Avoids a division by zero for a source whose upstream has no capacity.
MIN_CAPACITY_SLOTS = 1e-9


def trusted_load(server: ServerLoad) -> float:
    """Returns the load in slots to plan with: the counted load, raised by a higher report.

    The report has an effect up to `MAX_REPORT_FACTOR` times the counted load.
    """
    if server.reported is None:
        return server.load
    return min(max(server.reported, server.load), server.load * MAX_REPORT_FACTOR)


def slow_start_share(age_ms: int, limits: PlacementLimits = DEFAULT_LIMITS) -> float:
    """Returns the share of its capacity that a server may use at its age."""
    if age_ms >= limits.slow_start_ms:
        return 1.0
    return INITIAL_CAPACITY_SHARE + (1 - INITIAL_CAPACITY_SHARE) * age_ms / limits.slow_start_ms


def ready_capacity(server: ServerLoad, limits: PlacementLimits = DEFAULT_LIMITS) -> float:
    """Returns the slots that a server can use at its age, for shards that have to move."""
    return server.capacity * slow_start_share(server.age_ms, limits)


def fill_capacity(server: ServerLoad, limits: PlacementLimits = DEFAULT_LIMITS) -> float:
    """Returns the slots of a server that balance moves may use at its age.

    During the fill delay, when only draining and overloaded owners may move shards to the server,
    this is the ready capacity. After the delay it grows again from `INITIAL_CAPACITY_SHARE`.
    """
    if server.age_ms < limits.fill_delay_ms:
        return ready_capacity(server, limits)
    return server.capacity * slow_start_share(server.age_ms - limits.fill_delay_ms, limits)


def is_kept_for_drains(server: ServerLoad, limits: PlacementLimits = DEFAULT_LIMITS) -> bool:
    """Returns whether only draining or overloaded owners may move shards to a server."""
    return server.age_ms < limits.fill_delay_ms


def is_overloaded(load: float, capacity: float, limits: PlacementLimits = DEFAULT_LIMITS) -> bool:
    """Returns whether an owner has to move load away regardless of the cost of moves."""
    return load > limits.max_utilisation * capacity


def sample_peers(newest_first: Sequence[SessionId], leaving: bool, rng: Random) -> list[SessionId]:
    """Draws the peers that an owner asks for their load; a small fleet is asked completely.

    Half of a leaving owner's sample are the newest sessions. They have the least load, and in a
    rolling restart they have restarted already, so that shards moved there move only once.

    Args:
        newest_first: Open sessions of the service without the owner, newest first.
        leaving: Whether the owner is draining.
        rng: Source of randomness.
    """
    if len(newest_first) <= MAX_PEERS_IN_SAMPLE:
        return list(newest_first)
    newest_count = MAX_PEERS_IN_SAMPLE // 2 if leaving else 0
    sampled = rng.sample(newest_first[newest_count:], MAX_PEERS_IN_SAMPLE - newest_count)
    return [*newest_first[:newest_count], *sampled]


def decide_reservation(
    target: ServerLoad,
    mean_utilisation: float,
    request: ReservationRequest,
    limits: PlacementLimits = DEFAULT_LIMITS,
) -> ReservationReply:
    """Decides which of the requested shards a target accepts.

    A balance move must not leave the target busier than its source, unless the target stays below
    the mean utilisation. A drain move only needs capacity.

    Args:
        target: State of the target, with the load that it has reserved so far.
        mean_utilisation: Mean utilisation of the servers that the target sampled.
        request: The owner's request.
        limits: Bounds on utilisation.
    """
    if target.leaving or target.capacity <= 0:
        return ReservationReply(detail="target is leaving or has no capacity")
    if request.drain:
        max_load = ready_capacity(target, limits) * limits.max_drain_utilisation
    else:
        max_load = fill_capacity(target, limits) * limits.max_utilisation
    projected_load = trusted_load(target) + target.reserved
    source_load, source_capacity = request.source_load, request.source_capacity
    drains_only = is_kept_for_drains(target, limits) and not request.drain
    accepted = []
    for shard in request.shards:
        target_load_after = projected_load + shard.load
        if target_load_after > max_load or (
            drains_only and not is_overloaded(source_load, source_capacity, limits)
        ):
            continue
        source_after = (source_load - shard.load) / max(source_capacity, MIN_CAPACITY_SLOTS)
        max_target_utilisation = max(mean_utilisation, source_after) * (1 + RESERVATION_SLACK)
        if not request.drain and target_load_after / target.capacity > max_target_utilisation:
            continue
        projected_load = target_load_after
        source_load -= shard.load
        accepted.append(shard.shard)
    declined = len(request.shards) - len(accepted)
    detail = f"no room for {declined} of {len(request.shards)} shards" if declined else ""
    return ReservationReply(tuple(accepted), detail)


@dataclass(frozen=True, slots=True)
class _Reservation:
    load: float
    expires_ns: int


class ReservationBook:
    """Reservations of one target for shards that have not arrived yet.

    Args:
        limits: Limits with the lifetime of a reservation.
    """

    def __init__(self, limits: PlacementLimits = DEFAULT_LIMITS) -> None:
        self._limits = limits
        self._reservations: dict[tuple[SessionId, int], _Reservation] = {}

    def reserve(
        self, request: ReservationRequest, reply: ReservationReply, now_ns: int
    ) -> ReservationReply:
        """Reserves room for the accepted shards and returns the reply.

        A repeated request replaces its earlier reservations.
        """
        loads = {shard.shard: shard.load for shard in request.shards}
        expires_ns = now_ns + self._limits.reservation_ms * NS_PER_MS
        for shard in reply.accepted:
            self._reservations[request.source, shard] = _Reservation(loads[shard], expires_ns)
        return reply

    def release(self, source: SessionId, shard: int) -> None:
        """Ends the reservation of a shard that has arrived or whose move was cancelled."""
        self._reservations.pop((source, shard), None)

    def reserved(self, now_ns: int, repeated: ReservationRequest | None = None) -> float:
        """Removes expired reservations and returns the reserved load in slots.

        Args:
            now_ns: The current time in nanoseconds.
            repeated: A request whose earlier reservations are not counted, so that a request that
                is sent again does not compete with itself.
        """
        expired = [
            key
            for key, reservation in self._reservations.items()
            if reservation.expires_ns <= now_ns
        ]
        for key in expired:
            del self._reservations[key]
        excluded = (
            {(repeated.source, shard.shard) for shard in repeated.shards} if repeated else set()
        )
        return sum(
            reservation.load
            for key, reservation in self._reservations.items()
            if key not in excluded
        )


class MoveBudget:
    """Token bucket that limits the balance moves of one owner; it holds one minute's moves.

    Args:
        per_minute: Moves per minute, and the size of the bucket.
    """

    def __init__(self, per_minute: int) -> None:
        self._per_minute = per_minute
        self._tokens = float(per_minute)
        self._refilled_ns: int | None = None

    def available(self, now_ns: int) -> int:
        """Refills the bucket and returns how many moves may start now."""
        if self._refilled_ns is not None:
            elapsed_ms = max(0, now_ns - self._refilled_ns) / NS_PER_MS
            refill = elapsed_ms * self._per_minute / MS_PER_MINUTE
            self._tokens = min(self._per_minute, self._tokens + refill)
        self._refilled_ns = now_ns
        return int(self._tokens)

    def spend(self, moves: int) -> None:
        """Takes the tokens of moves that were started."""
        self._tokens -= moves
