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
    left = dict(room)
    plan = {}
    for demand in sorted(outstanding, key=lambda item: (len(item.targets), -item.load, item.shard)):
        target = _roomiest(demand, left)
        if target is None:
            return None
        left[target] -= demand.load
        plan[demand.shard] = target
    return plan


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
        self._plan = plan_all(outstanding, room)

    @property
    def outstanding(self) -> list[Demand]:
        """Returns the shards that have not moved."""
        return list(self._outstanding.values())

    def select(self, ready: Mapping[SessionId, float]) -> list[ReadyMove]:
        """Starts the moves that may run now.

        Args:
            ready: Room that each server offers now.
        """
        left = dict(ready)
        moves = []
        for demand in self.outstanding:
            target = self._start(demand, left)
            if target is not None:
                left[target] -= demand.load
                moves.append(ReadyMove(demand.shard, target))
        return moves

    def allows(self, load: float, target: SessionId) -> bool:
        """Returns whether the drain still has a plan if something else takes room of a target."""
        return self._plan_without(self._outstanding, load, target) is not None

    def change_room(self, target: SessionId, room: float) -> None:
        """Takes note of a target's room, and plans again if the plan does not fit any more."""
        self._room[target] = room
        if self._plan is None or self._planned_load(target) > room:
            self._plan = plan_all(self._outstanding.values(), self._room)

    def _start(self, demand: Demand, left: Mapping[SessionId, float]) -> SessionId | None:
        target = _roomiest(demand, left)
        if target is None:
            return None
        rest = {shard: item for shard, item in self._outstanding.items() if shard != demand.shard}
        plan = self._plan_without(rest, demand.load, target)
        if plan is None and self._plan is not None:
            target = self._plan[demand.shard]
            if left.get(target, 0.0) < demand.load:
                return None
            plan = {shard: self._plan[shard] for shard in rest}
        self._outstanding = rest
        self._plan = plan
        self._room[target] -= demand.load
        return target

    def _plan_without(
        self, outstanding: Mapping[int, Demand], load: float, target: SessionId
    ) -> dict[int, SessionId] | None:
        """Returns a plan for the shards that leaves out room of one target."""
        room = {**self._room, target: self._room.get(target, 0.0) - load}
        if room[target] < 0:
            return None
        if self._plan is not None:
            planned = (
                outstanding[shard].load
                for shard, planned_target in self._plan.items()
                if planned_target == target and shard in outstanding
            )
            if sum(planned) <= room[target]:
                return {shard: self._plan[shard] for shard in outstanding}
        return plan_all(outstanding.values(), room)

    def _planned_load(self, target: SessionId) -> float:
        plan = self._plan or {}
        return sum(
            self._outstanding[shard].load for shard, planned in plan.items() if planned == target
        )


def _roomiest(demand: Demand, left: Mapping[SessionId, float]) -> SessionId | None:
    fitting = [target for target in demand.targets if left.get(target, 0.0) >= demand.load]
    return max(fitting, key=lambda target: (left[target], target), default=None)
