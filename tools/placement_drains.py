"""Compares policies that order the moves of drains whose shards compete for room.

Usage: ``python -m tools.placement_drains [--runs N]``

Two servers drain at once. Some of their shards may go to any server, others only to servers of
their region. Room becomes ready over time, because servers warm up, and meanwhile other owners make
balance moves. Shards that have not moved at the deadline are stranded. In every run all shards fit
at the start.

A guard lets a ready move run early if the remaining shards still fit: because the total demand of
each group of shards with the same targets does not exceed the group's room ("totals"), or because
a plan exists that gives each remaining shard one target ("planned"). A guard wins only if, at every
tightness, it strands no more load than "whole plan" and "no guard", its shards wait less than with
"whole plan", and they wait at most 5% longer than with "no guard" where "no guard" strands no load.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

import click

from auburnsail._drain_guard import Demand, PlannedDrain, ReadyMove, plan_all
from auburnsail._model import SessionId

__all__ = ["main"]

REGIONS = 3
SERVERS_PER_REGION = 4
DRAINING_SERVERS = 2
SHARDS_PER_DRAIN = 30
REGIONAL_SHARE = 0.5
# Less than the room of a server, so that every shard fits on some server.
MAX_SHARD_LOAD_SLOTS = 4.0
TICK_S = 0.25
DEADLINE_S = 30.0
MAX_RAMP_S = 20.0
BALANCE_MOVE_PROBABILITY = 0.3
# Ratios of the room in every region to the demand for it.
TIGHTNESS = (1.05, 1.2, 1.5, 2.0)
MAX_WAIT_FACTOR = 1.05
ROUNDING_TOLERANCE = 1e-9

Room = dict[SessionId, float]


@dataclass
class Fleet:
    """Targets with their room, and the shards that have to leave.

    Attributes:
        room: Room in slots that each server will have.
        ramp_s: Time until the whole room of each server is ready.
        outstanding: Shards that have not moved, most constrained and largest first.
        taken: Room in slots of each server that has been used.
    """

    room: Room
    ramp_s: dict[SessionId, float]
    outstanding: list[Demand]
    taken: Room = field(default_factory=dict)

    def ready(self, now_s: float) -> Room:
        """Returns the room of each target that is ready at a time."""
        return {
            target: min(1.0, now_s / self.ramp_s[target]) * (room + self.taken.get(target, 0.0))
            - self.taken.get(target, 0.0)
            for target, room in self.room.items()
        }

    def take(self, target: SessionId, load: float) -> None:
        """Uses room of a target; a negative load frees room."""
        self.room[target] -= load
        self.taken[target] = self.taken.get(target, 0.0) + load


@dataclass
class Outcome:
    """Totals over the runs of one policy at one tightness.

    Attributes:
        stranded: Load that had not moved at the deadline.
        demand: Load of all shards that had to leave.
        wait_s: Time until each shard moved, weighted with its load.
        incomplete: Number of runs with stranded shards.
        drained_s: Duration of each run.
    """

    stranded: float = 0.0
    demand: float = 0.0
    wait_s: float = 0.0
    incomplete: int = 0
    drained_s: list[float] = field(default_factory=list)


class NoGuard:
    """Policy that runs every move whose target is ready."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def select(self, ready: Room) -> list[ReadyMove]:
        """Returns the moves to ready targets."""
        moves = []
        for demand in self._fleet.outstanding:
            for target in sorted(demand.targets, key=lambda item: (-ready[item], item)):
                if ready[target] >= demand.load and self._try_start(demand, target):
                    ready[target] -= demand.load
                    moves.append(ReadyMove(demand.shard, target))
                    break
        return moves

    def allows(self, load: float, target: SessionId) -> bool:
        """Returns True: every balance move may use room."""
        return True

    def _try_start(self, demand: Demand, target: SessionId) -> bool:
        return True


class WholePlan(NoGuard):
    """Policy that runs all moves at once or none."""

    def select(self, ready: Room) -> list[ReadyMove]:
        """Returns all moves if every target is ready, otherwise no move."""
        plan = plan_all(self._fleet.outstanding, ready) or {}
        return [ReadyMove(shard, target) for shard, target in plan.items()]


class GroupTotalsGuard(NoGuard):
    """Policy that compares total demand and room per group of shards with the same targets."""

    def select(self, ready: Room) -> list[ReadyMove]:
        """Returns the moves after which the demand of each group still fits its room."""
        self._demand, self._room = _demand_and_room(self._fleet.outstanding, self._fleet.room)
        return super().select(ready)

    def allows(self, load: float, target: SessionId) -> bool:
        """Returns whether the demand of each group still fits its room after a balance move."""
        demand, room = _demand_and_room(self._fleet.outstanding, self._fleet.room)
        return all(demand[group] <= room[group] - load for group in room if target in group)

    def _try_start(self, demand: Demand, target: SessionId) -> bool:
        groups = [group for group in self._room if target in group]
        for group in groups:
            inside = demand.targets <= group
            if (
                not inside
                and self._demand[group] > self._room[group] - demand.load + ROUNDING_TOLERANCE
            ):
                return False
        for group in self._room:
            self._demand[group] -= demand.load if demand.targets <= group else 0.0
            self._room[group] -= demand.load if target in group else 0.0
        return True


class PlanGuard(NoGuard):
    """Policy of the package: `PlannedDrain`."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self._drain = PlannedDrain(fleet.outstanding, fleet.room)

    def select(self, ready: Room) -> list[ReadyMove]:
        """Returns the moves after which a plan for the other shards exists."""
        for target, room in self._fleet.room.items():
            self._drain.set_room(target, room)
        return self._drain.select(ready)

    def allows(self, load: float, target: SessionId) -> bool:
        """Returns whether a plan still exists after a balance move."""
        return self._drain.allows(load, target)


POLICIES: dict[str, type[NoGuard]] = {
    "whole plan": WholePlan,
    "no guard": NoGuard,
    "guard, totals": GroupTotalsGuard,
    "guard, planned": PlanGuard,
}


def _demand_and_room(
    outstanding: Iterable[Demand], room: Mapping[SessionId, float]
) -> tuple[dict[frozenset[SessionId], float], dict[frozenset[SessionId], float]]:
    demands = list(outstanding)
    groups = dict.fromkeys(item.targets for item in demands)
    demand = {g: sum(item.load for item in demands if item.targets <= g) for g in groups}
    return demand, {g: sum(room[target] for target in g) for g in groups}


def _draw_load(rng: Random) -> float:
    return min(MAX_SHARD_LOAD_SLOTS, rng.paretovariate(2.0))


def _make_fleet(rng: Random, tightness: float) -> Fleet:
    """Returns a random fleet in which all leaving shards fit once all room is ready."""
    while True:
        fleet = _draw_fleet(rng, tightness)
        if plan_all(fleet.outstanding, fleet.room) is not None:
            return fleet


def _draw_fleet(rng: Random, tightness: float) -> Fleet:
    regions = [
        [SessionId(f"r{region}-{number}", 1) for number in range(SERVERS_PER_REGION)]
        for region in range(REGIONS)
    ]
    all_targets = frozenset(target for region in regions for target in region)
    outstanding = []
    for shard in range(DRAINING_SERVERS * SHARDS_PER_DRAIN):
        regional = rng.random() < REGIONAL_SHARE
        targets = frozenset(regions[shard % DRAINING_SERVERS]) if regional else all_targets
        outstanding.append(Demand(shard, _draw_load(rng), targets))
    outstanding.sort(key=lambda item: (len(item.targets), -item.load, item.shard))
    unrestricted = sum(item.load for item in outstanding if item.targets == all_targets)
    room = {}
    for region in regions:
        needed = sum(item.load for item in outstanding if item.targets == frozenset(region))
        for target in region:
            room[target] = tightness * (needed + unrestricted / REGIONS) / len(region)
    ramps = {target: rng.uniform(0.1, MAX_RAMP_S) for target in room}
    return Fleet(room, ramps, outstanding)


def _make_balance_move(fleet: Fleet, rng: Random, policy: NoGuard, now_s: float) -> None:
    """Makes a balance move of an owner that is not draining, if its target has room."""
    if rng.random() >= BALANCE_MOVE_PROBABILITY:
        return
    source, target = rng.sample(sorted(fleet.room), 2)
    load = _draw_load(rng)
    if fleet.ready(now_s)[target] >= load and policy.allows(load, target):
        fleet.take(target, load)
        fleet.take(source, -load)


def _simulate(seed: int, tightness: float, policy_type: type[NoGuard], outcome: Outcome) -> None:
    fleet = _make_fleet(Random(seed), tightness)
    rng = Random(seed + 1)
    policy = policy_type(fleet)
    outcome.demand += sum(item.load for item in fleet.outstanding)
    now_s = 0.0
    while fleet.outstanding and now_s < DEADLINE_S:
        now_s += TICK_S
        _make_balance_move(fleet, rng, policy, now_s)
        waiting = {item.shard: item for item in fleet.outstanding}
        for move in policy.select(fleet.ready(now_s)):
            demand = waiting.pop(move.shard)
            assert move.target in demand.targets, "target may not take this shard"
            fleet.take(move.target, demand.load)
            assert fleet.ready(now_s)[move.target] > -ROUNDING_TOLERANCE, "target is overfilled"
            outcome.wait_s += demand.load * now_s
        fleet.outstanding = [item for item in fleet.outstanding if item.shard in waiting]
    remaining_load = sum(item.load for item in fleet.outstanding)
    outcome.stranded += remaining_load
    outcome.wait_s += remaining_load * DEADLINE_S
    outcome.incomplete += bool(fleet.outstanding)
    outcome.drained_s.append(now_s)


def _wins(results: dict[tuple[float, str], Outcome], name: str) -> bool:
    for tightness in TIGHTNESS:
        guard = results[tightness, name]
        whole_plan, no_guard = results[tightness, "whole plan"], results[tightness, "no guard"]
        if (
            guard.stranded > min(whole_plan.stranded, no_guard.stranded)
            or guard.wait_s >= whole_plan.wait_s
        ):
            return False
        if no_guard.stranded == 0 and guard.wait_s > no_guard.wait_s * MAX_WAIT_FACTOR:
            return False
    return True


@click.command()
@click.option("--runs", default=200, show_default=True, help="Runs per policy and tightness.")
@click.option("--first-seed", default=0, show_default=True)
def main(runs: int, first_seed: int) -> None:
    """Prints one table and, for each guard, whether it wins."""
    results = {}
    click.echo(
        f"{'room/demand':<13}{'policy':<17}{'incomplete %':>13}{'stranded %':>12}"
        f"{'mean wait s':>13}{'median drain s':>16}"
    )
    for tightness in TIGHTNESS:
        for name, policy_type in POLICIES.items():
            outcome = results[tightness, name] = Outcome()
            for number in range(runs):
                _simulate(2 * (first_seed + number), tightness, policy_type, outcome)
            click.echo(
                f"{tightness:<13}{name:<17}{outcome.incomplete / runs * 100:>13.1f}"
                f"{outcome.stranded / outcome.demand * 100:>12.2f}"
                f"{outcome.wait_s / outcome.demand:>13.2f}"
                f"{sorted(outcome.drained_s)[runs // 2]:>16.2f}"
            )
    for name in ("guard, totals", "guard, planned"):
        click.echo(f"{name} wins: {'yes' if _wins(results, name) else 'no'}")


if __name__ == "__main__":
    main()
