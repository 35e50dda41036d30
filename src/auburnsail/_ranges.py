"""Placement of ordered key spaces: owners keep few runs of adjacent shards. Pure functions.

An upstream is told all its keys with every report, so its ranges must stay few. Busy keys lie close
to each other, so a busy run is cut where its load is halved and not where its length is.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ._grants import Candidate, Lost
from ._model import Grant, SessionId
from ._shards import runs_of

__all__ = [
    "RangeMove",
    "RangeOwner",
    "RangePeer",
    "plan_range_move",
    "spread_ranges",
    "wants_to_plan",
]

# An owner below this share of its slots serves well enough that no move is worth its pause.
BUSY_UTILISATION = 0.6
# An owner moves load only if it is this much busier than the target, so that noise moves nothing.
MIN_DIFFERENCE = 0.25
# Part that is moved of the load that would make owner and target equal; the measured loads are a
# little old, and a whole one could swap their places.
MOVED_SHARE = 0.8
# An owner with more runs than this gives away whole runs only; a report's answer has 4 KiB.
MAX_RUNS = 40


@dataclass(frozen=True, slots=True)
class RangeOwner:
    """The owner that plans.

    Attributes:
        slots: Slots of its upstream.
        load: Slots that its requests would keep busy, refused ones included.
        shards: Load by shard that it owns and is not releasing.
    """

    slots: int
    load: float
    shards: Mapping[int, float]


@dataclass(frozen=True, slots=True)
class RangePeer:
    """Another owner as it stated itself.

    Attributes:
        session: Its session.
        slots: Slots of its upstream.
        load: Its load, with what it is about to receive.
        shards: Shards that it owns.
    """

    session: SessionId
    slots: int
    load: float
    shards: int


@dataclass(frozen=True, slots=True)
class RangeMove:
    """Adjacent shards that should move, with the reason."""

    shards: tuple[int, ...]
    target: SessionId
    load: float
    reason: str


def spread_ranges(
    lost: Sequence[Lost], candidates: Sequence[Candidate]
) -> dict[str, tuple[Grant, ...]]:
    """Gives shards away in runs, so that each candidate has shards in proportion to its slots.

    Args:
        lost: Shards to give away, each with the command that frees or assigns them.
        candidates: Open sessions of the service that stay.

    Returns:
        The grants of each command; empty if there is no candidate.
    """
    usable = sorted((c for c in candidates if c.slots > 0), key=lambda c: c.session)
    if not usable:
        return {item.command: () for item in lost}
    total = sum(len(item.shards) for item in lost) + sum(c.shards for c in usable)
    slots = sum(c.slots for c in usable)
    room = {c.session: max(0.0, total * c.slots / slots - c.shards) for c in usable}
    grants = {}
    for item in lost:
        given: dict[SessionId, list[int]] = {}
        for shard in sorted(item.shards):
            target = max(room, key=lambda s: (room[s] > 0 and s in given, room[s]))
            given.setdefault(target, []).append(shard)
            room[target] -= 1
        grants[item.command] = tuple(Grant(s, tuple(shards)) for s, shards in given.items())
    return grants


def wants_to_plan(owner: RangeOwner, peer_shards: Sequence[int]) -> bool:
    """Whether it is worth asking the peers for their load.

    Args:
        owner: The owner that would plan.
        peer_shards: How many shards each peer owns.
    """
    if owner.load >= BUSY_UTILISATION * owner.slots:
        return True
    return 0 in peer_shards and len(owner.shards) >= max(peer_shards)


def plan_range_move(owner: RangeOwner, peers: Sequence[RangePeer]) -> RangeMove | None:
    """Returns the one move that relieves an owner most, or None if none is worth its pause.

    Load pattern: a stretch of keys becomes busy within a second, or a new upstream has no keys.

    Args:
        owner: The owner that plans.
        peers: Other owners of the service.
    """
    if not peers or not owner.slots or not owner.shards:
        return None
    target = min(peers, key=lambda peer: (peer.load / max(1, peer.slots), peer.session))
    own, other = owner.load / owner.slots, target.load / max(1, target.slots)
    if own < BUSY_UTILISATION or own - other < MIN_DIFFERENCE:
        return _fill_empty(owner, peers)
    wanted = MOVED_SHARE * (own - other) * owner.slots * target.slots / (owner.slots + target.slots)
    shards, load = _cut(owner.shards, wanted)
    if not shards:
        return None
    return RangeMove(shards, target.session, load, "busier than the target")


def _fill_empty(owner: RangeOwner, peers: Sequence[RangePeer]) -> RangeMove | None:
    """Gives a new peer without shards its share, from the owner with the most shards only."""
    empty = [peer for peer in peers if peer.shards == 0 and peer.slots > 0]
    if not empty or len(owner.shards) < max(peer.shards for peer in peers):
        return None
    wanted = owner.load / 2
    shards, load = _cut(owner.shards, wanted, fewest=len(owner.shards) // 4)
    return RangeMove(shards, empty[0].session, load, "the target owns nothing") if shards else None


def _cut(
    loads: Mapping[int, float], wanted: float, fewest: int = 1
) -> tuple[tuple[int, ...], float]:
    """Returns adjacent shards, at the end of a run, whose load comes closest to the wanted one."""
    best: tuple[float, int, tuple[int, ...], float] | None = None
    runs = list(runs_of(loads))
    for first, last in runs:
        run = range(first, last + 1)
        whole = sum(loads[shard] for shard in run)
        pieces = [(tuple(run), whole)]
        if len(runs) < MAX_RUNS:
            pieces = [*_ends(run, loads, wanted, fewest), *_ends(run[::-1], loads, wanted, fewest)]
            pieces += _hot_middle(run, loads, wanted)
        for piece, load in pieces:
            if load <= 0 and fewest <= 1:
                continue
            option = (abs(load - wanted), len(piece), piece, load)
            if best is None or option[:2] < best[:2]:
                best = option
    if best is None or (best[3] > 2 * wanted and fewest <= 1):
        return (), 0.0
    return tuple(sorted(best[2])), best[3]


def _ends(
    run: Sequence[int], loads: Mapping[int, float], wanted: float, fewest: int
) -> list[tuple[tuple[int, ...], float]]:
    """Returns the beginnings of a run just below and just above the wanted load."""
    load, pieces = 0.0, []
    for number, shard in enumerate(run[:-1], start=1):
        if load + loads[shard] > wanted and number > fewest:
            pieces.append((tuple(run[: number - 1]), load))
            pieces.append((tuple(run[:number]), load + loads[shard]))
            return [piece for piece in pieces if piece[0]]
        load += loads[shard]
    return [(tuple(run[:-1]), load)] if len(run) > 1 else [(tuple(run), loads[run[0]])]


def _hot_middle(
    run: Sequence[int], loads: Mapping[int, float], wanted: float
) -> list[tuple[tuple[int, ...], float]]:
    """Returns the stretch around the busiest shard, grown until it has the wanted load."""
    hottest = max(range(len(run)), key=lambda index: loads[run[index]])
    low = high = hottest
    load = loads[run[hottest]]
    while load < wanted:
        left = loads[run[low - 1]] if low > 0 else -1.0
        right = loads[run[high + 1]] if high + 1 < len(run) else -1.0
        step = max(left, right)
        if step < 0 or load + step > wanted * 1.25:
            break
        load += step
        low, high = (low - 1, high) if left >= right else (low, high + 1)
    return [(tuple(run[low : high + 1]), load)]
