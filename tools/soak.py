"""Randomised simulations of the shipped code with fault injection and checks of all guarantees.

``make soak SEED=n DURATION_S=s`` runs simulations with different sub-seeds for the given time.
``make soak SUB_SEED=n`` repeats a single one of them.
"""

import hashlib
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import click

from auburnsail._clock import NS_PER_MS
from auburnsail._model import Entry
from auburnsail.exceptions import InvariantViolation
from tools.soak_fleet import FleetSimulation
from tools.soak_fleet_log import new_fleet_state
from tools.soak_net import FakeNetwork
from tools.soak_nodes import FAULT_WEIGHTS, KEYED_SERVICE, SHARDS, GuaranteeError
from tools.soak_patches import patched_request_path
from tools.soak_requests import RequestSimulation
from tools.soak_settings import Operators
from tools.soak_watchers import WatcherFaults

__all__ = ["RunResult", "run_seed"]

NODES = 7
UNKEYED_NODES = 2
# Durations of the phases of a run, in their order.
SETTLE_MS = 4000
FAULTS_MS = 15_000
RECOVERY_MS = 9000
EXTRA_LOAD_MS = 500
MAX_SHUTDOWN_MS = 4000
# Weights of the fleet's faults, in the order of FAULTS; the sub-seed selects one of the lists.
FAULT_PROFILES = (
    FAULT_WEIGHTS,
    # Restarts and partitions: watchers lose their state, lease holders reach only some watchers.
    (2, 6, 8, 3, 0, 1, 0),
    # Planned moves during partitions, and delayed copies of their proposals.
    (3, 4, 1, 2, 1, 10, 8),
)
MOVES_PROFILE_INDEX = 2
# Some runs have further faults, by the remainder of the sub-seed divided by `RUN_KINDS`.
RUN_KINDS = 8
# Upstreams that write answers once more, and another writer in the store.
ODD_RUN_INDEX = 7
# Series of faults of a session's watchers, more pauses between the last check of a request and its
# first byte, and further callers of a few keys.
OWNERSHIP_RUN_INDICES = (0, 1, 6)
OWNERSHIP_PAUSE_PROBABILITY = 0.015
STOP_PROBABILITY = 0.08
SILENCE_PROBABILITY = 0.08
FOREIGN_ROW_PROBABILITY = 0.2
TRACE_LINES = 25
# Violated guarantee by the step that an `InvariantViolation` of the program names.
STEP_GUARANTEES = {
    "membership.apply": "P1",
    "moves.applied": "P1",
    "fleet.offer": "P2",
    "fleet.apply": "P2",
    "forward.send": "P5",
    "forward.answer": "P4",
}


@dataclass
class RunResult:
    """Result of one run.

    Attributes:
        sub_seed: Seed of the run.
        guarantee: Id of the violated guarantee, empty if all held.
        detail: Description of the violation.
        found_by: ``program`` if an invariant check of the shipped code found the violation,
            ``ledger`` if a check of the simulation did.
        steps: Number of simulated events.
        faults: Faults by kind.
        counts: Number of takeovers, moves, refusals and other events.
        trace: The last events.
        digest: Hash of the course of the run; equal runs have equal digests.
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


class SoakRun:
    """One simulation: start, faults, recovery, then the shutdown of two nodes under load.

    Args:
        sub_seed: Seed of all random choices.
    """

    def __init__(self, sub_seed: int) -> None:
        self._sub_seed = sub_seed
        self.sim = FleetSimulation(sub_seed, NODES, unkeyed=UNKEYED_NODES)
        self.sim.fault_weights = FAULT_PROFILES[sub_seed % len(FAULT_PROFILES)]
        self._operators = Operators(self.sim, GuaranteeError)
        self.sim.lost_answer_share = 0.2
        self.sim.table.lost_answer_share = 0.1
        self._net = FakeNetwork(self.sim)
        self._is_odd = sub_seed % RUN_KINDS == ODD_RUN_INDEX
        self._odd_rng = random.Random(f"odd {sub_seed}")
        self._tests_ownership = sub_seed % RUN_KINDS in OWNERSHIP_RUN_INDICES
        watcher_rng = random.Random(f"watchers {sub_seed}")
        self._watcher_faults = WatcherFaults(self.sim, watcher_rng, NODES - UNKEYED_NODES)
        if self._tests_ownership:
            self._net.request_pause_probability = OWNERSHIP_PAUSE_PROBABILITY
        self.requests: RequestSimulation | None = None

    def run(self) -> RunResult:
        """Runs until the end or the first violation."""
        result = RunResult(self._sub_seed)
        with patched_request_path(self._net):
            try:
                self.requests = RequestSimulation(
                    self._net,
                    repeats_answers=self._is_odd,
                    has_busy_keys=self._tests_ownership,
                )
                self.sim.observer = self.requests
                self._run_phases()
            except GuaranteeError as error:
                result.guarantee, result.detail = error.guarantee, str(error)
                result.found_by = "ledger"
            except InvariantViolation as error:
                result.guarantee, result.detail = STEP_GUARANTEES.get(error.step, "P?"), str(error)
                result.found_by = "program"
        self._fill_result(result)
        return result

    def _run_phases(self) -> None:
        sim, net = self.sim, self._net
        sim.run(SETTLE_MS)
        net.is_fault_free = False
        end_ns = sim.now_ns + FAULTS_MS * NS_PER_MS
        while sim.now_ns < end_ns:
            sim.inject_fault()
            if self._sub_seed % len(FAULT_PROFILES) == MOVES_PROFILE_INDEX:
                self._return_last_transfer()
            if sim.rng.random() < STOP_PROBABILITY:
                sim.fault_counts["stop"] += 1
                self.requests.stop_node(sim.nodes[sim.rng.randrange(NODES)], restart=True)
            if sim.rng.random() < SILENCE_PROBABILITY:
                sim.fault_counts["silent-connections"] += 1
                net.silence_connections()
            if self._is_odd and self._odd_rng.random() < FOREIGN_ROW_PROBABILITY:
                sim.write_foreign_row(self._odd_rng)
            if self._tests_ownership:
                self._watcher_faults.inject()
            sim.run(sim.rng.uniform(50, 800))
        net.is_fault_free = True
        self._watcher_faults.end()
        sim.set_store_outage(False)
        sim.lost_answer_share = sim.table.lost_answer_share = sim.loss = 0.0
        sim.run(RECOVERY_MS)
        self._check_convergence()
        self.requests.add_unkeyed_load()
        sim.run(EXTRA_LOAD_MS)
        for number in (sim.rng.randrange(NODES - UNKEYED_NODES), NODES - 1):
            self.requests.stop_node(sim.nodes[number], restart=False)
        sim.run(MAX_SHUTDOWN_MS)
        for node in sim.nodes.values():
            if node.stop_requested_ns and not node.dead:
                # When a shutdown exceeds its time limit, the requests in flight are cut off.
                guarantee = "P7" if node.mover.finished else "P6"
                detail = f"n{node.number} has not completed its shutdown after {MAX_SHUTDOWN_MS} ms"
                raise GuaranteeError(guarantee, detail)

    def _return_last_transfer(self) -> None:
        """Moves the shards of the last transfer back to the previous owner.

        A delayed copy of that transfer then names their current owner again.
        """
        sim = self.sim
        for node in sim.nodes.values() if sim.transfers else ():
            last = sim.transfers[-1]
            if node.membership.own_id == last.target and not node.paused:
                node.mover.move(KEYED_SERVICE, list(last.shards), last.source, node.now(sim.now_ns))

    def _check_convergence(self) -> None:
        """Checks that all nodes have the state of the fleet log (P2) and all shards are served.

        Raises:
            GuaranteeError: A node differs, or a shard is not served.
        """
        sim = self.sim
        expected = new_fleet_state()
        for version in range(1, len(sim.fleet_log) + 1):
            entry = sim.fleet_log.entry(version)
            assert isinstance(entry, Entry)
            expected.apply(entry)
        for node in sim.nodes.values():
            if node.paused:
                continue
            fleet = node.fleet
            if any(fleet.version < position for position in sim.fleet_log.foreign_positions):
                detail = f"n{node.number} has version {fleet.version}, before a foreign row"
                raise GuaranteeError("P2", detail)
            has_converged = (
                fleet.digest == expected.digest or len(sim.fleet_log) - fleet.version <= 1
            )
            if not has_converged or any(
                fleet.version == expected.version
                and fleet.epoch(KEYED_SERVICE, shard) != expected.epoch(KEYED_SERVICE, shard)
                for shard in range(SHARDS)
            ):
                detail = f"n{node.number} has version {fleet.version}, the log {len(sim.fleet_log)}"
                raise GuaranteeError("P2", detail)
        if sim.count_served_shards() < SHARDS:
            raise GuaranteeError(
                "service", f"{sim.count_served_shards()} of {SHARDS} shards are served"
            )

    def _fill_result(self, result: RunResult) -> None:
        sim, ledger = self.sim, self.requests.ledger
        result.steps = sim.steps
        result.faults = sim.fault_counts
        result.counts = Counter(
            takeovers=sim.event_counts["Close"] + sim.event_counts["Succeed"],
            moves=sim.event_counts["Transfer"],
            stops=self.requests.completed_stops,
            fenced=sim.event_counts["fenced"],
            settings=self._operators.versions,
            settings_refused=sim.event_counts["settings-refused"],
            responses=ledger.outcome_counts["response"],
            not_run=ledger.outcome_counts["not-run"],
            unknown=ledger.outcome_counts["unknown"],
            refused=ledger.outcome_counts["refused"],
            broken=ledger.outcome_counts["broken"],
        )
        result.trace = [f"{ns / 1e9:9.3f} s  {text}" for ns, text in sim.trace][-TRACE_LINES:]
        digest_input = (
            sim.steps,
            sim.now_ns,
            sorted(ledger.executions_by_attempt.items()),
            result.trace,
        )
        result.digest = hashlib.blake2s(repr(digest_input).encode(), digest_size=8).hexdigest()


def run_seed(sub_seed: int) -> RunResult:
    """Runs the simulation of one sub-seed and returns its result."""
    return SoakRun(sub_seed).run()


def _format_counts(counter: Counter) -> str:
    return " ".join(f"{name}={counter[name]}" for name in sorted(counter))


def _report_failure(seed: int, result: RunResult) -> None:
    click.echo("last events:")
    for line in result.trace:
        click.echo(f"  {line}")
    click.echo(f"violation of {result.guarantee} found by the {result.found_by}: {result.detail}")
    click.echo(f"repeat alone: make soak SUB_SEED={result.sub_seed}")
    click.echo(f"soak: FAILED seed={seed} sub_seed={result.sub_seed} steps={result.steps}")


@click.command()
@click.option("--seed", default=1, help="Seed of the sub-seeds.")
@click.option(
    "--duration-s", default=60.0, help="Total wall time in seconds; the last run is completed."
)
@click.option("--sub-seed", default=None, type=int, help="Run only this sub-seed.")
def main(seed: int, duration_s: float, sub_seed: int | None) -> None:
    """Runs sub-seeds until the time has passed; stops with exit code 1 at the first violation."""
    sub_seed_rng = random.Random(seed)
    end_s = time.monotonic() + duration_s
    runs = steps = 0
    faults: Counter = Counter()
    counts: Counter = Counter()
    while not runs or (sub_seed is None and time.monotonic() < end_s):
        run_sub_seed = sub_seed_rng.getrandbits(32) if sub_seed is None else sub_seed
        result = run_seed(run_sub_seed)
        if result.guarantee:
            _report_failure(seed, result)
            sys.exit(1)
        runs += 1
        steps += result.steps
        faults.update(result.faults)
        counts.update(result.counts)
    single_run = "" if sub_seed is None else f" sub_seed={sub_seed} digest={result.digest}"
    click.echo(f"faults: {_format_counts(faults)}")
    click.echo(
        f"soak: ok seed={seed}{single_run} runs={runs} steps={steps} {_format_counts(counts)}"
    )


if __name__ == "__main__":
    main()
