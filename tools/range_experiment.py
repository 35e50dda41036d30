"""Compares weights of moved shards in plans for an ordered key space under changing hot ranges.

A fleet of owners with different speeds serves a skewed load. Every few seconds another stretch of
adjacent keys gets a third of it. Each owner measures its shards with a delay, asks a random sample
of peers for their loads and plans with `plan_range_moves`, as a node does. Prints one table.
"""

import random
from dataclasses import dataclass

import click

from auburnsail import _ranges
from auburnsail._model import SessionId
from auburnsail._ranges import RangeOwner, RangePeer, plan_range_moves

SHARDS = 4_096
STEP_S = 0.25
PLAN_STEPS = 3
SETTLE_STEPS = 8
SAMPLED_PEERS = 8
SLOTS = 7
SPEEDS = (0.7, 0.7, 1.6)
SPELL_S = 5.0
PAUSE_S = 0.3
SMOOTHING = 0.3
HOT_SHARE = 0.36
UTILISATION = 0.45
SKEW = 0.43


@dataclass(slots=True)
class Outcome:
    """What one run cost its callers and its upstreams.

    Attributes:
        moved_share: Shards that changed hands, as a share of all, per minute.
        moves: Moves per minute.
        excess_share: Load above the slots of its owner, as a share of all load.
        paused_share: Load of shards while they moved, as a share of all load.
    """

    moved_share: float = 0.0
    moves: float = 0.0
    excess_share: float = 0.0
    paused_share: float = 0.0


class Fleet:
    """Owners of an ordered key space with a load that changes.

    Args:
        owners: Number of owners.
        rng: Source of randomness.
        hot_shards: Number of adjacent shards that are busy at a time.
    """

    def __init__(self, owners: int, rng: random.Random, hot_shards: int) -> None:
        self._rng = rng
        self._hot_shards = hot_shards
        self._sessions = [SessionId(f"n{number}", 1) for number in range(owners)]
        self._capacity = [SLOTS * SPEEDS[number % len(SPEEDS)] for number in range(owners)]
        self._owner = [shard * owners // SHARDS for shard in range(SHARDS)]
        self._total = UTILISATION * sum(self._capacity)
        weights = [(rank + 1) ** -SKEW for rank in range(SHARDS)]
        rng.shuffle(weights)
        scale = (1 - HOT_SHARE) * self._total / sum(weights)
        self._base = [weight * scale for weight in weights]
        self._measured = list(self._base)
        self._settled_step = [0] * owners

    def run(self, seconds: float) -> Outcome:
        """Runs the fleet for a time and returns the mean costs."""
        outcome, steps = Outcome(), int(seconds / STEP_S)
        hot: range = range(0)
        for step in range(steps):
            if step % int(SPELL_S / STEP_S) == 0:
                first = self._rng.randrange(SHARDS - self._hot_shards)
                hot = range(first, first + self._hot_shards)
            loads = list(self._base)
            for shard in hot:
                loads[shard] += HOT_SHARE * self._total / len(hot)
            self._measure(loads)
            outcome.excess_share += self._excess(loads) / self._total / steps
            for owner in range(len(self._sessions)):
                if (step + owner) % PLAN_STEPS == 0 and step >= self._settled_step[owner]:
                    self._plan(owner, step, loads, outcome)
        minutes = seconds / 60
        outcome.moved_share /= minutes
        outcome.moves /= minutes
        outcome.paused_share /= self._total * seconds
        return outcome

    def _measure(self, loads: list[float]) -> None:
        self._measured = [
            old + SMOOTHING * (new - old) for old, new in zip(self._measured, loads, strict=True)
        ]

    def _excess(self, loads: list[float]) -> float:
        by_owner = [0.0] * len(self._sessions)
        for shard, owner in enumerate(self._owner):
            by_owner[owner] += loads[shard]
        return sum(max(0.0, a - b) for a, b in zip(by_owner, self._capacity, strict=True))

    def _plan(self, owner: int, step: int, loads: list[float], outcome: Outcome) -> None:
        owned = {s: self._measured[s] for s, other in enumerate(self._owner) if other == owner}
        view = RangeOwner(int(self._capacity[owner]), sum(owned.values()), owned)
        if view.load < _ranges.BUSY_UTILISATION * view.slots:
            return
        others = [number for number in range(len(self._sessions)) if number != owner]
        sample = self._rng.sample(others, min(SAMPLED_PEERS, len(others)))
        for move in plan_range_moves(view, [self._peer(number) for number in sample]):
            target = self._sessions.index(move.target)
            for shard in move.shards:
                self._owner[shard] = target
                outcome.paused_share += loads[shard] * PAUSE_S
            outcome.moves += 1
            outcome.moved_share += len(move.shards) / SHARDS
            self._settled_step[owner] = step + SETTLE_STEPS

    def _peer(self, number: int) -> RangePeer:
        shards = [s for s, owner in enumerate(self._owner) if owner == number]
        load = sum(self._measured[shard] for shard in shards)
        return RangePeer(self._sessions[number], int(self._capacity[number]), load, len(shards))


@click.command()
@click.option("--owners", default="18,115", show_default=True, help="Fleet sizes, with commas.")
@click.option("--weights", default="0,0.25,0.5,1,2", show_default=True, help="Weights to compare.")
@click.option("--seconds", default=40.0, show_default=True, help="Simulated time of each run.")
@click.option("--seed", default=1, show_default=True, help="Seed of load and samples.")
def main(owners: str, weights: str, seconds: float, seed: int) -> None:
    """Prints the costs of each weight, for busy stretches of 4 and 13 shards."""
    rows = []
    for count in (int(text) for text in owners.split(",")):
        for hot_shards in (4, 13):
            for weight in (float(text) for text in weights.split(",")):
                _ranges.MOVED_SHARDS_WEIGHT = weight
                fleet = Fleet(count, random.Random(seed), hot_shards)
                rows.append((count, hot_shards, weight, fleet.run(seconds)))
    click.echo("owners  hot shards  weight  moved of all/min  moves/min  excess load  paused load")
    for count, hot_shards, weight, found in rows:
        click.echo(
            f"{count:6}  {hot_shards:10}  {weight:6}  {found.moved_share:16.2f}"
            f"  {found.moves:9.0f}  {found.excess_share:11.1%}  {found.paused_share:11.1%}"
        )


if __name__ == "__main__":
    main()
