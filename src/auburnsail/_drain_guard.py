"""Feasibility guard: which moves of a drain may run before the rest of its plan is ready.

A ready move that takes room which only it could do without leaves another shard on a server that
has to leave. `PlannedDrain` always holds a target for every shard that is left. It lets a move run
early only if that remains so, and lets other moves take room only on the same condition.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ._model import SessionId

__all__ = ["Demand", "PlannedDrain", "ReadyMove", "plan_all"]


@dataclass(frozen=True, slots=True)
class Demand:
    """A shard that has to leave.

    Attributes:
        shard: The shard.
        load: Room that it needs.
        targets: Servers that may take it.
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
    """Places every shard, the most constrained and largest first, where most room is left.

    Args:
        outstanding: Shards that have to leave.
        room: Room of each server.

    Returns:
        A target for every shard, or None if this order finds no room for one of them.
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


# Plans that one selection makes anew when a shard does not go where the plan says; a bound on the
# processor time of a tick. Beyond it shards only go to their planned targets.
MAX_REPLANS_PER_SELECTION = 8


class PlannedDrain:
    """A drain with a plan for all its shards, of which ready moves run early.

    If there is no plan, because room was lost to something else, every ready move may run until
    there is one again: waiting would strand more.

    Args:
        outstanding: Shards that have to leave.
        room: Room that each server will have for them, whether or not it is ready now.
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
        """Returns the shards that have not moved."""
        return list(self._outstanding.values())

    @property
    def is_planned(self) -> bool:
        """Returns whether every shard that has not moved has a target."""
        return self._plan is not None

    def select(self, ready: Mapping[SessionId, float]) -> list[ReadyMove]:
        """Starts the moves that may run now.

        Args:
            ready: Room that each server offers now.
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
        """Returns whether the drain still has a plan if something else takes room of a target."""
        room = self._room.get(target, 0.0) - load
        if room < 0:
            return False
        if self._plan is not None and self._planned_load.get(target, 0.0) <= room:
            return True
        return plan_all(self._outstanding.values(), {**self._room, target: room}) is not None

    def set_room(self, target: SessionId, room: float) -> None:
        """Takes note of a target's room, and plans again if the plan does not fit any more."""
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
        """Returns whether the rest has a plan after a move, and adopts a new one if need be."""
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
        # `_start_move` takes the moved shard out of the plan again.
        self._set_plan({**plan, demand.shard: target})
        return True


def _target_with_most_room(
    demand: Demand, remaining_room: Mapping[SessionId, float]
) -> SessionId | None:
    fitting = [
        target for target in demand.targets if remaining_room.get(target, 0.0) >= demand.load
    ]
    return max(fitting, key=lambda target: (remaining_room[target], target), default=None)
