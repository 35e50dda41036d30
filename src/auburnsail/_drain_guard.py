"""Feasibility guard of drains: decides which moves may run before all targets are ready.

A shard that can go to several targets must not take the room that another shard depends on, or that
shard stays on the server that has to leave. `PlannedDrain` keeps a plan with a target for every
remaining shard. A move may run early, and another owner may use room, only if such a plan still
exists afterwards.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ._model import SessionId

__all__ = ["Demand", "PlannedDrain", "ReadyMove", "plan_all"]


@dataclass(frozen=True, slots=True)
class Demand:
    """A shard that has to leave.

    Attributes:
        shard: Number of the shard.
        load: Room in slots that the shard needs.
        targets: Sessions that may take the shard.
    """

    shard: int
    load: float
    targets: frozenset[SessionId]


@dataclass(frozen=True, slots=True)
class ReadyMove:
    """A move that may run now."""

    shard: int
    target: SessionId


def plan_all(
    outstanding: Iterable[Demand], room: Mapping[SessionId, float]
) -> dict[int, SessionId] | None:
    """Assigns every shard to its target with most room, most constrained and largest shards first.

    Args:
        outstanding: Shards that have to leave.
        room: Room in slots of each server.

    Returns:
        A target by shard, or None if no target has room for a shard. The search is greedy and can
        miss a plan.
    """
    remaining_room = dict(room)
    plan = {}
    for demand in sorted(outstanding, key=lambda item: (len(item.targets), -item.load, item.shard)):
        target = _target_with_most_room(demand, remaining_room)
        if target is None:
            return None
        remaining_room[target] -= demand.load
        plan[demand.shard] = target
    return plan


# Bounds the processor time of a tick: one selection replaces the plan at most this many times,
# when a shard goes to another target than planned. After that, shards go only to their planned
# targets.
MAX_REPLANS_PER_SELECTION = 8


class PlannedDrain:
    """A drain with a plan for all its shards, whose ready moves may run early.

    If no plan exists, because other moves took room, every ready move may run until there is a plan
    again: waiting would leave more shards without a target.

    Args:
        outstanding: Shards that have to leave.
        room: Room in slots that each server will have for the shards, ready now or later.
    """

    def __init__(self, outstanding: Sequence[Demand], room: Mapping[SessionId, float]) -> None:
        self._outstanding = {demand.shard: demand for demand in outstanding}
        self._room = dict(room)
        self._plan: dict[int, SessionId] | None = None
        self._planned_load: dict[SessionId, float] = {}
        self._replans_left = 0
        self._set_plan(plan_all(outstanding, room))

    @property
    def outstanding(self) -> list[Demand]:
        """Shards that have not moved."""
        return list(self._outstanding.values())

    @property
    def is_planned(self) -> bool:
        """Whether every shard that has not moved has a target."""
        return self._plan is not None

    def select(self, ready: Mapping[SessionId, float]) -> list[ReadyMove]:
        """Returns the moves that may run now, and counts them as started.

        Args:
            ready: Room in slots that each server has ready now.
        """
        self._replans_left = MAX_REPLANS_PER_SELECTION
        remaining_room = dict(ready)
        moves = []
        for demand in self.outstanding:
            target = self._start_move(demand, remaining_room)
            if target is not None:
                remaining_room[target] -= demand.load
                moves.append(ReadyMove(demand.shard, target))
        return moves

    def allows(self, load: float, target: SessionId) -> bool:
        """Returns whether the drain still has a plan if another move puts load on a target."""
        room = self._room.get(target, 0.0) - load
        if room < 0:
            return False
        if self._plan is not None and self._planned_load.get(target, 0.0) <= room:
            return True
        return plan_all(self._outstanding.values(), {**self._room, target: room}) is not None

    def set_room(self, target: SessionId, room: float) -> None:
        """Sets the room of a target in slots; makes a new plan if the present one does not fit."""
        self._room[target] = room
        if self._plan is None or self._planned_load.get(target, 0.0) > room:
            self._set_plan(plan_all(self._outstanding.values(), self._room))

    def _set_plan(self, plan: dict[int, SessionId] | None) -> None:
        self._plan = plan
        self._planned_load = {}
        for shard, target in (plan or {}).items():
            load = self._outstanding[shard].load
            self._planned_load[target] = self._planned_load.get(target, 0.0) + load

    def _start_move(
        self, demand: Demand, remaining_room: Mapping[SessionId, float]
    ) -> SessionId | None:
        target = _target_with_most_room(demand, remaining_room)
        if target is None:
            return None
        if self._plan is not None and not self._keeps_plan(demand, target):
            target = self._plan[demand.shard]
            if remaining_room.get(target, 0.0) < demand.load:
                return None
        self._room[target] -= demand.load
        del self._outstanding[demand.shard]
        if self._plan is not None:
            self._planned_load[self._plan.pop(demand.shard)] -= demand.load
        return target

    def _keeps_plan(self, demand: Demand, target: SessionId) -> bool:
        """Returns whether the other shards have a plan after a move; replaces it if needed."""
        already_planned = demand.load if self._plan[demand.shard] == target else 0.0
        room = self._room.get(target, 0.0) - demand.load
        if self._planned_load.get(target, 0.0) - already_planned <= room:
            return True
        if self._replans_left == 0:
            return False
        self._replans_left -= 1
        rest = [item for item in self._outstanding.values() if item.shard != demand.shard]
        plan = plan_all(rest, {**self._room, target: room})
        if plan is None:
            return False
        # `_start_move` removes the moved shard from the plan.
        self._set_plan({**plan, demand.shard: target})
        return True


def _target_with_most_room(
    demand: Demand, remaining_room: Mapping[SessionId, float]
) -> SessionId | None:
    fitting = [
        target for target in demand.targets if remaining_room.get(target, 0.0) >= demand.load
    ]
    return max(fitting, key=lambda target: (remaining_room[target], target), default=None)
