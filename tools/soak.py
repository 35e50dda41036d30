"""Randomised runs of the shipped decision code with all guarantees checked at every step.

``make soak SEED=n DURATION_S=s`` runs sub-seeds one after another for a time; each of them can be
repeated alone with ``make soak SUB_SEED=n``.
"""

import hashlib
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import click

from auburnsail._clock import NS_PER_MS
from auburnsail._fleet import FleetState
from auburnsail._model import Entry
from auburnsail.exceptions import InvariantViolation
from tools.soak_net import Net
from tools.soak_nodes import FAULT_WEIGHTS, SERVICE, SHARDS, GuaranteeError
from tools.soak_patches import installed
from tools.soak_path import Path
from tools.soak_settings import Operators
from tools.soak_world import Sim

__all__ = ["Result", "run_seed"]

NODES = 7
UNKEYED_NODES = 2
SETTLE_MS = 4000
FAULTS_MS = 15_000
QUIET_MS = 9000
PRESS_MS = 500
LEAVE_MS = 4000
# Weights of the world's faults; a sub-seed takes one of the lists.
PROFILES = (
    FAULT_WEIGHTS,
    # Restarts and partitions: watchers that forget, holders that are heard by some.
    (2, 6, 8, 3, 0, 1, 0),
    # Planned moves under partitions and late copies of them.
    (3, 4, 1, 2, 1, 10, 8),
)
MOVES_PROFILE = 2
STOP_SHARE = 0.08
SILENCE_SHARE = 0.08
TRACE_LINES = 25
# Guarantee that a violation found inside the program concerns, by the step it names.
STEPS = {
    "membership.apply": "P1",
    "moves.applied": "P1",
    "fleet.offer": "P2",
    "fleet.apply": "P2",
    "forward.send": "P5",
    "forward.answer": "P4",
}


@dataclass
class Result:
    """What happened in one run.

    Attributes:
        sub_seed: The run's seed.
        guarantee: Id of the violated guarantee, empty if there is none.
        detail: What was seen.
        found_by: Whether the program itself or a ledger found the violation.
        steps: Number of events.
        faults: Faults by kind.
        counts: Takeovers, moves, refusals and other events.
        trace: The last events.
        digest: The same for two equal runs.
    """

    sub_seed: int
    guarantee: str = ""
    detail: str = ""
    found_by: str = ""
    steps: int = 0
    faults: Counter = field(default_factory=Counter)
    counts: Counter = field(default_factory=Counter)
    trace: list[str] = field(default_factory=list)
    digest: str = ""


class Run:
    """One run.

    Args:
        sub_seed: Decides everything.
    """

    def __init__(self, sub_seed: int) -> None:
        self._sub_seed = sub_seed
        self.sim = Sim(sub_seed, NODES, unkeyed=UNKEYED_NODES)
        self.sim.fault_weights = PROFILES[sub_seed % len(PROFILES)]
        self._operators = Operators(self.sim, GuaranteeError)
        self.sim.lost_answers = 0.2
        self.sim.table.lost_answers = 0.1
        self._net = Net(self.sim)
        self.path: Path | None = None

    def run(self) -> Result:
        """Runs to the end or to the first violation."""
        result = Result(self._sub_seed)
        with installed(self._net):
            try:
                self.path = self.sim.observer = Path(self._net)
                self._run_phases()
            except GuaranteeError as error:
                result.guarantee, result.detail = error.guarantee, str(error)
                result.found_by = "ledger"
            except InvariantViolation as error:
                result.guarantee, result.detail = STEPS.get(error.step, "P?"), str(error)
                result.found_by = "program"
        self._fill(result)
        return result

    def _run_phases(self) -> None:
        sim, net = self.sim, self._net
        sim.run(SETTLE_MS)
        net.is_calm = False
        end_ns = sim.now_ns + FAULTS_MS * NS_PER_MS
        while sim.now_ns < end_ns:
            sim.fault()
            if self._sub_seed % len(PROFILES) == MOVES_PROFILE:
                self._move_back()
            if sim.rng.random() < STOP_SHARE:
                sim.faults["stop"] += 1
                self.path.stop(sim.nodes[sim.rng.randrange(NODES)], then_start=True)
            if sim.rng.random() < SILENCE_SHARE:
                sim.faults["silent-connections"] += 1
                net.silence()
            sim.run(sim.rng.uniform(50, 800))
        net.is_calm = True
        sim.set_store(False)
        sim.lost_answers = sim.table.lost_answers = sim.loss = 0.0
        sim.run(QUIET_MS)
        self._check_quiet()
        self.path.press()
        sim.run(PRESS_MS)
        for number in (sim.rng.randrange(NODES - UNKEYED_NODES), NODES - 1):
            self.path.stop(sim.nodes[number], then_start=False)
        sim.run(LEAVE_MS)
        for node in sim.nodes.values():
            if node.stopping_ns and not node.dead:
                # The time limit of a shutdown cuts off what is then in flight.
                guarantee = "P7" if node.mover.finished else "P6"
                detail = f"n{node.number} has not ended its shutdown after {LEAVE_MS} ms"
                raise GuaranteeError(guarantee, detail)

    def _move_back(self) -> None:
        """Returns the shards of the last transfer, so that a late copy of it names their owner."""
        sim = self.sim
        for node in sim.nodes.values() if sim.transfers else ():
            last = sim.transfers[-1]
            if node.membership.own_id == last.target and not node.paused:
                node.mover.move(SERVICE, list(last.shards), last.source, node.now(sim.now_ns))

    def _check_quiet(self) -> None:
        """Compares every node with a fold of what the store holds (P2)."""
        sim = self.sim
        referee = FleetState()
        referee.add_service(SERVICE, SHARDS)
        for version in range(1, len(sim.log) + 1):
            entry = sim.entry(version)
            assert isinstance(entry, Entry)
            referee.apply(entry)
        for node in sim.nodes.values():
            if node.paused:
                continue
            fleet = node.fleet
            same = fleet.digest == referee.digest or len(sim.log) - fleet.version <= 1
            if not same or any(
                fleet.version == referee.version
                and fleet.epoch(SERVICE, shard) != referee.epoch(SERVICE, shard)
                for shard in range(SHARDS)
            ):
                detail = f"n{node.number} has version {fleet.version}, the log {len(sim.log)}"
                raise GuaranteeError("P2", detail)
        if sim.served() < SHARDS:
            raise GuaranteeError("service", f"{sim.served()} of {SHARDS} shards are served")

    def _fill(self, result: Result) -> None:
        sim, ledger = self.sim, self.path.ledger
        result.steps = sim.steps
        result.faults = sim.faults
        result.counts = Counter(
            takeovers=sim.notes["Close"] + sim.notes["Succeed"],
            moves=sim.notes["Transfer"],
            stops=self.path.stops,
            fenced=sim.notes["fenced"],
            settings=self._operators.versions,
            settings_refused=sim.notes["settings-refused"],
            responses=ledger.outcomes["response"],
            not_run=ledger.outcomes["not-run"],
            unknown=ledger.outcomes["unknown"],
            refused=ledger.outcomes["refused"],
            broken=ledger.outcomes["broken"],
        )
        result.trace = [f"{ns / 1e9:9.3f} s  {text}" for ns, text in sim.trace][-TRACE_LINES:]
        facts = (sim.steps, sim.now_ns, sorted(ledger.attempts.items()), result.trace)
        result.digest = hashlib.blake2s(repr(facts).encode(), digest_size=8).hexdigest()


def run_seed(sub_seed: int) -> Result:
    """Runs one sub-seed."""
    return Run(sub_seed).run()


def _counts(counter: Counter) -> str:
    return " ".join(f"{name}={counter[name]}" for name in sorted(counter))


def _report_failure(seed: int, result: Result) -> None:
    click.echo("last events:")
    for line in result.trace:
        click.echo(f"  {line}")
    click.echo(f"violation of {result.guarantee} found by the {result.found_by}: {result.detail}")
    click.echo(f"repeat alone: make soak SUB_SEED={result.sub_seed}")
    click.echo(f"soak: FAILED seed={seed} sub_seed={result.sub_seed} steps={result.steps}")


@click.command()
@click.option("--seed", default=1, help="Decides the sub-seeds.")
@click.option("--duration-s", default=60.0, help="Wall time of all runs.")
@click.option("--sub-seed", default=None, type=int, help="Runs this sub-seed alone.")
def main(seed: int, duration_s: float, sub_seed: int | None) -> None:
    """Runs sub-seeds until the time is over; exit code 1 at the first violation."""
    sub_seeds = random.Random(seed)
    end_s = time.monotonic() + duration_s
    runs = steps = 0
    faults: Counter = Counter()
    counts: Counter = Counter()
    while not runs or (sub_seed is None and time.monotonic() < end_s):
        chosen = sub_seeds.getrandbits(32) if sub_seed is None else sub_seed
        result = run_seed(chosen)
        if result.guarantee:
            _report_failure(seed, result)
            sys.exit(1)
        runs += 1
        steps += result.steps
        faults.update(result.faults)
        counts.update(result.counts)
    alone = "" if sub_seed is None else f" sub_seed={sub_seed} digest={result.digest}"
    click.echo(f"faults: {_counts(faults)}")
    click.echo(f"soak: ok seed={seed}{alone} runs={runs} steps={steps} {_counts(counts)}")


if __name__ == "__main__":
    main()
