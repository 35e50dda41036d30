"""The placement policy: pure functions that choose the servers for shards.

`choose_successors` places the shards of closed sessions, `plan_moves` plans the moves of one owner,
and `decide_reservation` decides which moves a target accepts. None of them does I/O, reads a clock
or draws random numbers.
"""

import math
from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass

from ._drain_guard import Demand, PlannedDrain
from ._model import SessionId
from ._placement_model import (
    CHURN_FIRST,
    DEFAULT_LIMITS,
    MAX_PEERS_IN_SAMPLE,
    UNAVAILABLE_FIRST,
    ClosedSession,
    Move,
    MoveReason,
    OwnerView,
    PlacementLimits,
    Plan,
    ReservationReply,
    ReservationRequest,
    ServerLoad,
    ShardLoad,
    Weights,
)
from ._reserve import (
    MoveBudget,
    ReservationBook,
    decide_reservation,
    fill_capacity,
    is_kept_for_drains,
    is_overloaded,
    ready_capacity,
    sample_peers,
    trusted_load,
)
from ._successors import IDLE_LOAD_SHARE, choose_successors

__all__ = [
    "CHURN_FIRST",
    "DEFAULT_LIMITS",
    "MAX_PEERS_IN_SAMPLE",
    "UNAVAILABLE_FIRST",
    "ClosedSession",
    "Demand",
    "Move",
    "MoveBudget",
    "MoveReason",
    "OwnerView",
    "PlacementLimits",
    "Plan",
    "PlannedDrain",
    "ReservationBook",
    "ReservationReply",
    "ReservationRequest",
    "ServerLoad",
    "ShardLoad",
    "Weights",
    "choose_successors",
    "decide_reservation",
    "move_ms",
    "plan_moves",
    "sample_peers",
    "transfer_batches",
]

# A planned move makes a shard unavailable while its requests finish and the transfer is committed:
# about 50 ms for an idle shard, up to 100 ms for a shard that always has requests in flight.
IDLE_MOVE_MS = 50.0
BUSY_MOVE_EXTRA_MS = 50.0
AVERAGE_MOVE_MS = 75.0

# Cost of moving one average shard, in units of squared deviation from the mean utilisation; the
# weights multiply it. docs/notes/placement.md compares other values.
AVERAGE_MOVE_COST = 1.0

# The objectives are max/mean and p99/mean, so a high exponent makes the busiest servers count most.
IMBALANCE_EXPONENT = 8

# Exceeds every shard number, so that a bisection finds the last shard with a given load.
SHARD_NUMBER_LIMIT = 1 << 32


@dataclass(slots=True)
class _Target:
    server: ServerLoad
    load: float
    room: float


def move_ms(load: float) -> float:
    """Returns for how many milliseconds a planned move is expected to make a shard unavailable.

    Args:
        load: Busy slots of the shard; up to 1, the probability that the move has to wait for a
            request in flight.
    """
    return IDLE_MOVE_MS + BUSY_MOVE_EXTRA_MS * min(1.0, load)


def plan_moves(view: OwnerView, weights: Weights, limits: PlacementLimits = DEFAULT_LIMITS) -> Plan:
    """Plans moves for one owner.

    An owner that is leaving, or whose upstream has no capacity, moves all its shards. Any other
    owner moves shards as long as the reduction of the imbalance exceeds the cost of the move; an
    overloaded owner ignores the cost. A shard that a hot key makes larger than the difference
    between source and target never moves, because the target would become the busier server; the
    owner's smaller shards move instead.

    Args:
        view: The owner's own shard loads and a sample of its peers.
        weights: Weights of the service's settings.
        limits: Limits of the service's settings.

    Returns:
        A plan with the most useful moves first; each move still needs a reservation.
    """
    in_transit_load = sum(view.shards.get(shard, 0.0) for shard in view.in_transit)
    own_load = max(0.0, trusted_load(view.own) - in_transit_load)
    mean_utilisation = _mean_utilisation(view)
    if view.own.leaving or view.own.capacity <= 0:
        return _plan_drain(view, mean_utilisation, limits)
    if mean_utilisation <= 0:
        return Plan(detail="no load")
    return _plan_balance(view, own_load, mean_utilisation, weights, limits)


def transfer_batches(
    moves: Sequence[Move], limits: PlacementLimits = DEFAULT_LIMITS
) -> list[tuple[Move, ...]]:
    """Splits the moves of a plan into transfers with one target each.

    Args:
        moves: Moves whose targets have reserved room.
        limits: `drain_batches` bounds the share of the moves that one transfer contains.
    """
    batch_size = max(1, -(-len(moves) // limits.drain_batches))
    by_target: dict[SessionId, list[Move]] = {}
    for move in moves:
        by_target.setdefault(move.target, []).append(move)
    return [
        tuple(target_moves[start : start + batch_size])
        for target_moves in by_target.values()
        for start in range(0, len(target_moves), batch_size)
    ]


def _mean_utilisation(view: OwnerView) -> float:
    servers = (view.own, *view.peers)
    capacity = sum(server.capacity for server in servers if not server.leaving)
    load = sum(trusted_load(server) for server in servers)
    return load / capacity if capacity > 0 else 0.0


def _plan_balance(
    view: OwnerView,
    own_load: float,
    mean_utilisation: float,
    weights: Weights,
    limits: PlacementLimits,
) -> Plan:
    immovable = view.in_transit | view.settling
    movable = sorted((load, shard) for shard, load in view.shards.items() if shard not in immovable)
    drain_only_targets, targets = [], []
    for target in _open_targets(view):
        target.room = fill_capacity(target.server, limits) * limits.max_utilisation - target.load
        (drain_only_targets if is_kept_for_drains(target.server, limits) else targets).append(
            target
        )
    moves: list[Move] = []
    while len(moves) < min(limits.moves_per_plan, view.moves_left):
        overloaded = is_overloaded(own_load, view.own.capacity, limits)
        cost_factor = 0.0 if overloaded else _cost_factor(view, weights)
        best = _best_move(view, own_load, mean_utilisation, movable, targets, weights, cost_factor)
        if best is None and overloaded:
            best = _best_move(
                view, own_load, mean_utilisation, movable, drain_only_targets, weights, cost_factor
            )
        if best is None:
            break
        index, target = best
        load, shard = movable.pop(index)
        filling = target.server.age_ms < limits.fill_delay_ms + limits.slow_start_ms
        reason = MoveReason.FILL if filling else MoveReason.BALANCE
        moves.append(Move(shard, load, target.server.session, reason))
        own_load -= load
        target.load += load
        target.room -= load
    detail = f"utilisation {own_load / view.own.capacity:.2f} after {len(moves)} moves"
    return Plan(tuple(moves), (), mean_utilisation, detail)


def _open_targets(view: OwnerView) -> list[_Target]:
    targets = []
    for server in view.peers:
        if server.leaving or server.capacity <= 0 or server.session == view.own.session:
            continue
        load = trusted_load(server) + server.reserved
        targets.append(_Target(server, load, server.capacity - load))
    return sorted(targets, key=lambda target: target.server.session)


def _best_move(
    view: OwnerView,
    own_load: float,
    mean_utilisation: float,
    movable: list[tuple[float, int]],
    targets: list[_Target],
    weights: Weights,
    cost_factor: float,
) -> tuple[int, _Target] | None:
    total = own_load + sum(target.load for target in targets)
    capacity = view.own.capacity + sum(target.server.capacity for target in targets)
    if own_load / view.own.capacity <= total / capacity:
        return None
    best_gain = 0.0
    best = None
    for target in targets:
        excess = own_load / view.own.capacity - target.load / target.server.capacity
        if excess <= 0:
            continue
        ideal_load = excess / (1 / view.own.capacity + 1 / target.server.capacity)
        max_load = min(ideal_load, target.room)
        # The gain grows up to the ideal load. A larger shard would make the target busier than the
        # source, and the target would decline it.
        index = bisect_left(movable, (max_load, SHARD_NUMBER_LIMIT)) - 1
        if index < 0:
            continue
        load = movable[index][0]
        cost = weights.churn + weights.unavailable * move_ms(load) / AVERAGE_MOVE_MS
        gain = (
            _imbalance_reduction(view, own_load, target, mean_utilisation, load)
            - cost_factor * cost
        )
        if gain > best_gain:
            best_gain = gain
            best = (index, target)
    return best


def _cost_factor(view: OwnerView, weights: Weights) -> float:
    """Returns the factor that converts the weighted cost of a move to units of imbalance."""
    if weights.imbalance <= 0:
        return math.inf
    return AVERAGE_MOVE_COST / weights.imbalance / max(1.0, view.shards_per_server)


def _imbalance_reduction(
    view: OwnerView, own_load: float, target: _Target, mean_utilisation: float, load: float
) -> float:
    """Returns by how much a move reduces the imbalance of its source and target."""
    own, peer = view.own.capacity, target.server.capacity
    before = own * _imbalance(own_load / own / mean_utilisation) + peer * _imbalance(
        target.load / peer / mean_utilisation
    )
    own_after = _imbalance((own_load - load) / own / mean_utilisation)
    peer_after = _imbalance((target.load + load) / peer / mean_utilisation)
    return (before - own * own_after - peer * peer_after) * 2 / (own + peer)


def _imbalance(utilisation: float) -> float:
    """Returns the imbalance of a server, from its utilisation in units of the mean.

    The divisor makes the imbalance equal to the squared deviation near the mean for any exponent.
    """
    return utilisation**IMBALANCE_EXPONENT * 2 / (IMBALANCE_EXPONENT * (IMBALANCE_EXPONENT - 1))


def _plan_drain(view: OwnerView, mean_utilisation: float, limits: PlacementLimits) -> Plan:
    """Plans a drain: moves all shards, largest first, to the targets with the most ready room.

    Shards that exceed the ready room of a cold target wait for the next plan, and no shard takes
    room that only another shard could use. Targets in the domain of another leaving server are used
    only if the other targets do not suffice: the whole domain may be about to leave, and the shards
    would move twice.
    """
    min_load = IDLE_LOAD_SHARE * view.own.capacity / max(1, len(view.shards))
    loads = {
        shard: max(load, min_load)
        for shard, load in view.shards.items()
        if shard not in view.in_transit
    }
    largest_first = sorted(loads, key=lambda shard: (-loads[shard], shard))
    targets = _open_targets(view)
    leaving_domains = {server.domain for server in view.peers if server.leaving}
    preferred = [target for target in targets if target.server.domain not in leaving_domains]
    planned_drain = _planned_drain(largest_first, loads, preferred, limits)
    if len(preferred) < len(targets) and not planned_drain.is_planned:
        planned_drain = _planned_drain(largest_first, loads, targets, limits)
    ready = {
        target.server.session: _drain_room(ready_capacity(target.server, limits), target, limits)
        for target in targets
    }
    moves = [
        Move(move.shard, loads[move.shard], move.target, MoveReason.DRAIN)
        for move in planned_drain.select(ready)
    ]
    moves.sort(key=lambda move: (move.load, move.shard))
    unplaced = tuple(sorted(demand.shard for demand in planned_drain.outstanding))
    detail = f"drain of {len(loads)} shards, {len(unplaced)} without room"
    return Plan(tuple(moves), unplaced, mean_utilisation, detail)


def _planned_drain(
    largest_first: list[int],
    loads: dict[int, float],
    targets: list[_Target],
    limits: PlacementLimits,
) -> PlannedDrain:
    sessions = frozenset(target.server.session for target in targets)
    room = {
        target.server.session: _drain_room(target.server.capacity, target, limits)
        for target in targets
    }
    return PlannedDrain([Demand(shard, loads[shard], sessions) for shard in largest_first], room)


def _drain_room(capacity: float, target: _Target, limits: PlacementLimits) -> float:
    return capacity * limits.max_drain_utilisation - target.load
