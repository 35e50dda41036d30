"""Placement of ordered key spaces, where owners keep few contiguous runs of shards. No I/O.

Every report of an upstream is answered with all its key ranges, so their number must stay small.
Busy keys are adjacent to each other, so a run is split by load and not by length.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ._grants import GrantCandidate, LostShards
from ._model import Grant, SessionId
from ._shards import contiguous_runs

__all__ = [
    "RangeMove",
    "RangeOwner",
    "RangePeer",
    "plan_range_moves",
    "should_plan_move",
    "spread_ranges",
]

# Below this utilisation an owner serves well, and a move is not worth the pause of its keys.
BUSY_UTILISATION = 0.6
# An owner moves load only if its utilisation exceeds the target's by this much, so that noise in
# the measured loads causes no moves.
MIN_UTILISATION_DIFFERENCE = 0.25
# Share of the equalising load that is moved. The measured loads are slightly stale, and moving all
# of it could make the target the busier one.
MOVED_LOAD_SHARE = 0.8
# Load pattern: a few busy shards among many that carry nearly nothing. A move of all shards of the
# owner costs as much as missing the wanted load by this share. Otherwise the move whose load fits
# best often takes half of an owner's keys along with a small load.
MOVED_SHARDS_WEIGHT = 1.0
# From this utilisation on, the load is divided among several peers at once.
DIVIDE_UTILISATION = 5.0
# Further moves of one plan take only shards with this many times the mean load of the owner's.
DENSE_FACTOR = 2.0
# An owner with this many runs moves whole runs only: the answer to a report is limited to 4 KiB.
MAX_RUNS_PER_OWNER = 40


@dataclass(frozen=True, slots=True)
class RangeOwner:
    """The owner that plans a move of some of its own shards.

    Attributes:
        slots: Concurrent requests that its upstream serves.
        load: Demand in slots, refused requests included.
        shards: Load in slots of each shard that it owns and is not releasing.
    """

    slots: int
    load: float
    shards: Mapping[int, float]


@dataclass(frozen=True, slots=True)
class RangePeer:
    """Another owner, as it reported itself.

    Attributes:
        session: Its session.
        slots: Concurrent requests that its upstream serves.
        load: Load in slots, including that of shards it is about to receive.
        shards: Number of shards that it owns.
    """

    session: SessionId
    slots: int
    load: float
    shards: int


@dataclass(frozen=True, slots=True)
class RangeMove:
    """A move of adjacent shards to a target, with their load in slots and the reason."""

    shards: tuple[int, ...]
    target: SessionId
    load: float
    reason: str


def spread_ranges(
    lost: Sequence[LostShards], candidates: Sequence[GrantCandidate]
) -> dict[str, tuple[Grant, ...]]:
    """Distributes shards in runs, so that each candidate owns shards in proportion to its slots.

    Args:
        lost: Shards to distribute, by the command that frees or assigns them.
        candidates: Open sessions of the service that are not about to end.

    Returns:
        The grants by command id; empty grants if there is no usable candidate.
    """
    usable = sorted((c for c in candidates if c.slots > 0), key=lambda c: c.session)
    if not usable:
        return {item.command: () for item in lost}
    total = sum(len(item.shards) for item in lost) + sum(c.shards for c in usable)
    slots = sum(c.slots for c in usable)
    remaining = {c.session: max(0.0, total * c.slots / slots - c.shards) for c in usable}
    grants = {}
    for item in lost:
        granted: dict[SessionId, list[int]] = {}
        target: SessionId | None = None
        for shard in sorted(item.shards):
            if target is None or remaining[target] <= 0:
                target = max(remaining, key=remaining.__getitem__)
            granted.setdefault(target, []).append(shard)
            remaining[target] -= 1
        grants[item.command] = tuple(Grant(s, tuple(shards)) for s, shards in granted.items())
    return grants


def should_plan_move(owner: RangeOwner, peer_shards: Sequence[int]) -> bool:
    """Returns whether an owner should query its peers' loads and plan a move.

    It should if it is busy, or if it has the most shards and a peer has none.

    Args:
        owner: The owner that would plan.
        peer_shards: Number of shards of each peer.
    """
    if owner.load >= BUSY_UTILISATION * owner.slots:
        return True
    return 0 in peer_shards and len(owner.shards) >= max(peer_shards)


def plan_range_moves(owner: RangeOwner, peers: Sequence[RangePeer]) -> list[RangeMove]:
    """Returns the moves of a busy owner; empty if no move is worth the pause of its keys.

    Load patterns: a contiguous range of keys becomes busy within a second, and is divided with the
    least utilised peer; the range has many times the load that one owner can serve, and is divided
    among several peers at once, since halving it time after time takes longer than it stays busy;
    or a new upstream joins without keys.

    Args:
        owner: The owner that plans.
        peers: Other sessions of the service.
    """
    if not peers or not owner.slots or not owner.shards:
        return []
    ranked = sorted(peers, key=lambda peer: (_utilisation(peer), peer.session))
    utilisation = owner.load / owner.slots
    if (
        utilisation < BUSY_UTILISATION
        or utilisation - _utilisation(ranked[0]) < MIN_UTILISATION_DIFFERENCE
    ):
        move = _fill_empty(owner, peers)
        return [move] if move is not None else []
    if utilisation >= DIVIDE_UTILISATION:
        moves = _divide(owner, ranked)
        if moves:
            return moves
    # Also if each busy shard is too much for an equal part of the load.
    return _divide(owner, ranked[:1])


def _divide(owner: RangeOwner, targets: Sequence[RangePeer]) -> list[RangeMove]:
    """Returns moves of busy shards that bring owner and targets to about the same utilisation."""
    slots = owner.slots + sum(target.slots for target in targets)
    level = (owner.load + sum(target.load for target in targets)) / slots
    mean_load = owner.load / len(owner.shards)
    loads, moves = dict(owner.shards), []
    for target in targets:
        wanted_load = MOVED_LOAD_SHARE * (level - _utilisation(target)) * target.slots
        shards, load = _choose_adjacent(loads, wanted_load) if wanted_load > 0 else ((), 0.0)
        if not shards or (moves and load < DENSE_FACTOR * mean_load * len(shards)):
            # What is left is not busy, so moving it would change many owners for little load.
            break
        moves.append(RangeMove(shards, target.session, load, "busier than the target"))
        loads = {shard: loads[shard] for shard in loads.keys() - set(shards)}
        if not loads:
            break
    return moves


def _utilisation(peer: RangePeer) -> float:
    return peer.load / max(1, peer.slots)


def _fill_empty(owner: RangeOwner, peers: Sequence[RangePeer]) -> RangeMove | None:
    """Returns a move to a peer without shards, if this owner has the most shards."""
    empty = [peer for peer in peers if peer.shards == 0 and peer.slots > 0]
    if not empty or len(owner.shards) < max(peer.shards for peer in peers):
        return None
    wanted_load = owner.load / 2
    shards, load = _choose_adjacent(owner.shards, wanted_load, min_shards=len(owner.shards) // 4)
    return RangeMove(shards, empty[0].session, load, "the target owns nothing") if shards else None


def _choose_adjacent(
    loads: Mapping[int, float], wanted_load: float, min_shards: int = 1
) -> tuple[tuple[int, ...], float]:
    """Returns adjacent shards with nearly the wanted load, as few as possible, and their load."""
    best: tuple[float, int, tuple[int, ...], float] | None = None
    # A peer without keys gets at least `min_shards`, however little load they have.
    shard_cost = MOVED_SHARDS_WEIGHT * wanted_load / len(loads) if min_shards <= 1 else 0.0
    runs = list(contiguous_runs(loads))
    for first, last in runs:
        run = range(first, last + 1)
        run_load = sum(loads[shard] for shard in run)
        candidate_runs = [(tuple(run), run_load)]
        if len(runs) < MAX_RUNS_PER_OWNER:
            candidate_runs = [
                *_prefixes(run, loads, wanted_load, min_shards),
                *_prefixes(run[::-1], loads, wanted_load, min_shards),
            ]
            candidate_runs += _around_hottest(run, loads, wanted_load)
        for candidate_run, load in candidate_runs:
            if load <= 0 and min_shards <= 1:
                continue
            cost = abs(load - wanted_load) + shard_cost * len(candidate_run)
            option = (cost, len(candidate_run), candidate_run, load)
            if best is None or option[:2] < best[:2]:
                best = option
    if best is None or (best[3] > 2 * wanted_load and min_shards <= 1):
        return (), 0.0
    return tuple(sorted(best[2])), best[3]


def _prefixes(
    run: Sequence[int], loads: Mapping[int, float], wanted_load: float, min_shards: int
) -> list[tuple[tuple[int, ...], float]]:
    """Returns the prefixes of a run whose loads are just below and just above the wanted load."""
    load, candidate_runs = 0.0, []
    for number, shard in enumerate(run[:-1], start=1):
        if load + loads[shard] > wanted_load and number > min_shards:
            candidate_runs.append((tuple(run[: number - 1]), load))
            candidate_runs.append((tuple(run[:number]), load + loads[shard]))
            return [candidate_run for candidate_run in candidate_runs if candidate_run[0]]
        load += loads[shard]
    return [(tuple(run[:-1]), load)] if len(run) > 1 else [(tuple(run), loads[run[0]])]


def _around_hottest(
    run: Sequence[int], loads: Mapping[int, float], wanted_load: float
) -> list[tuple[tuple[int, ...], float]]:
    """Returns the shards around the busiest one, extended until they have the wanted load."""
    hottest = max(range(len(run)), key=lambda index: loads[run[index]])
    low = high = hottest
    load = loads[run[hottest]]
    while load < wanted_load:
        left = loads[run[low - 1]] if low > 0 else -1.0
        right = loads[run[high + 1]] if high + 1 < len(run) else -1.0
        step = max(left, right)
        if step < 0 or load + step > wanted_load * 1.25:
            break
        load += step
        low, high = (low - 1, high) if left >= right else (low, high + 1)
    return [(tuple(run[low : high + 1]), load)]
