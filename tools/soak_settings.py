"""Settings of the soak simulation: a faulty table store, operators, and checks of P2 and P8."""

import random
from typing import TYPE_CHECKING

from auburnsail._clock import NS_PER_MS
from auburnsail._proposals import Proposal
from auburnsail._settings_changes import SettingsChanges
from auburnsail._settings_conflicts import SettingsConflictError
from auburnsail._settings_log import SETTINGS_LOG
from auburnsail._store import Committed, Conflict, Row, Transaction
from auburnsail._store_retry import RetrySchedule
from auburnsail._versioned_log import VersionedLog
from auburnsail.exceptions import (
    ConflictError,
    OutcomeUnknownError,
    RefusedError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from tools.soak_fleet import FleetSimulation
    from tools.soak_nodes import FakeNode

__all__ = ["Operators", "SettingsTable"]

# A running node must receive an accepted settings version within this time (P8).
MAX_PROPAGATION_MS = 7000
INITIAL_SETTINGS = """{
  "queue": {"max_wait_ms": 10},
  "services": {"catalogue": {"keyed": true, "shards": 32}, "pledge": {}}
}
"""
# An operator gives up a proposal after these errors.
FINAL_ERRORS = (ConflictError, SettingsConflictError, RefusedError)
# After these errors the outcome is unknown, and the operator repeats the command.
RETRIED_ERRORS = (OutcomeUnknownError, StoreUnavailableError)


class SettingsTable:
    """A `TableStore` whose replies can be lost and whose writes can be delayed.

    Args:
        sim: The fleet of the run.

    Attributes:
        rows: Rows by key.
        rng: Source of the faults.
        lost_answer_share: Share of commits whose reply is lost.
        before_commit: Called at the start of every commit.
    """

    def __init__(self, sim: "FleetSimulation") -> None:
        self._sim = sim
        self.rows: dict[str, Row] = {}
        self.rng = random.Random(0)
        self.lost_answer_share = 0.0
        self.before_commit = lambda: None

    def records_after(self, version: int) -> list[tuple[int, bytes]]:
        """Returns version and content of the settings accepted after a version, without faults."""
        log = VersionedLog(_RowReader(self.rows), SETTINGS_LOG)
        return [(record.version, record.data) for record in log.read_after(version)]

    def read(self, key: str) -> Row | None:
        """Implements `TableStore.read`."""
        self._fail_if_down("store.read")
        return self.rows.get(key)

    def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Implements `TableStore.scan`."""
        self._fail_if_down("store.scan")
        return _RowReader(self.rows).scan(prefix, after, limit)

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Implements `TableStore.commit`."""
        self.before_commit()
        self._fail_if_down("store.commit")
        if self.rng.random() >= self.lost_answer_share:
            return self._apply(transaction)
        self._sim.fault_counts["lost-settings-write"] += 1
        if self.rng.random() < 0.5:
            self._apply(transaction)
        else:
            self._sim.call_later(self.rng.uniform(1, 2000), lambda: self._apply(transaction))
        raise OutcomeUnknownError("answer lost", step="store.commit")

    def _fail_if_down(self, step: str) -> None:
        if self._sim.store_down:
            raise StoreUnavailableError("down", step=step)

    def _apply(self, transaction: Transaction) -> Committed | Conflict:
        for check in transaction.checks:
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                return Conflict(check.key)
        for put in transaction.puts:
            row = self.rows.get(put.key)
            self.rows[put.key] = Row(put.key, (row.version if row else 0) + 1, put.value)
        return Committed()


class _RowReader:
    """Reads rows without injected faults."""

    def __init__(self, rows: dict[str, Row]) -> None:
        self._rows = rows

    def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Implements `TableStore.scan`."""
        keys = sorted(key for key in self._rows if key.startswith(prefix) and key > after)
        return [self._rows[key] for key in keys[:limit]]


class Operators:
    """Two operators who propose and accept conflicting changes concurrently.

    Args:
        sim: The fleet of the run.
        guarantee_error: Error that is raised for a violated guarantee.
    """

    def __init__(self, sim: "FleetSimulation", guarantee_error: type[AssertionError]) -> None:
        self._sim = sim
        self._guarantee_error = guarantee_error
        self._rng = sim.table.rng = random.Random(sim.rng.getrandbits(64))
        self._accepted: dict[int, tuple[int, bytes]] = {}
        self._reported_proposals: dict[int, str] = {}
        self._open_proposals: list[str] = []
        self._max_wait_ms = 10
        self._nesting_depth = 0
        self._changes_by("ann").initialise(INITIAL_SETTINGS, "soak")
        sim.table.before_commit = self._interleave_accept
        sim.checks.append(self.check_versions)
        self._schedule_next()

    @property
    def versions(self) -> int:
        """Number of accepted versions."""
        return len(self._accepted)

    def check_versions(self) -> None:
        """Checks P2 and P8: accepted versions never change and reach every node in time.

        Raises:
            AssertionError: A guarantee was violated; the type is `guarantee_error`.
        """
        sim = self._sim
        head = sim.table.rows["settings/head"].version
        for version in range(len(self._accepted) + 1, head + 1):
            row = sim.table.rows.get(_record_key(version))
            if row is None:
                raise self._guarantee_error("P2", f"settings version {version} has no record")
            self._accepted[version] = (sim.now_ns, row.value)
        if sim.steps % 16 == 0:
            for version, (_, value) in self._accepted.items():
                if sim.table.rows[_record_key(version)].value != value:
                    raise self._guarantee_error(
                        "P2", f"accepted settings version {version} was replaced"
                    )
        for node in sim.nodes.values():
            self._check_propagation(node, head)

    def _check_propagation(self, node: "FakeNode", head: int) -> None:
        sim = self._sim
        if node.dead or node.paused or sim.store_down or node.settings[0] >= head:
            return
        oldest_missing = max(1, node.settings[0] + 1)
        since_ns = max(
            self._accepted[oldest_missing][0], node.running_since_ns, sim.store_changed_ns
        )
        if sim.now_ns - since_ns > MAX_PROPAGATION_MS * NS_PER_MS:
            detail = (
                f"n{node.number} has settings version {node.settings[0]}, but {head} was accepted"
            )
            raise self._guarantee_error("P8", detail)

    def _changes_by(self, operator: str) -> SettingsChanges:
        # No retries inside a command: the operator repeats it later, so that other events can
        # happen between the attempts.
        retries = RetrySchedule(0.0, lambda: 0.0, lambda _: None)
        return SettingsChanges(
            self._sim.table, operator, retries, lambda: "2030-01-01T00:00:00+00:00"
        )

    def _schedule_next(self) -> None:
        self._sim.call_later(self._rng.uniform(100, 1500), self._issue_commands)

    def _issue_commands(self) -> None:
        if len(self._open_proposals) < 3:
            self._run_command(self._propose)
        for proposal_id in list(self._open_proposals):
            if self._rng.random() < 0.7:
                self._accept(proposal_id)
        self._schedule_next()

    def _interleave_accept(self) -> None:
        # Another operator accepts a change between the reads and the write of a command.
        if self._open_proposals and not self._nesting_depth and self._rng.random() < 0.3:
            self._nesting_depth = 1
            self._sim.fault_counts["interleaved-accept"] += 1
            self._accept(self._rng.choice(self._open_proposals))
            self._nesting_depth = 0

    def _propose(self) -> None:
        ann, bob = self._changes_by("ann"), self._changes_by("bob")
        head = ann.history.head()
        self._max_wait_ms += 1
        text = INITIAL_SETTINGS.replace('"max_wait_ms": 10', f'"max_wait_ms": {self._max_wait_ms}')
        proposal = ann.propose("a change", text, "soak", head)
        bob.review(proposal.id, "approve", "")
        self._open_proposals.append(proposal.id)

    def _accept(self, proposal_id: str) -> None:
        def accept() -> None:
            proposal = self._changes_by(self._rng.choice(("ann", "bob"))).accept(proposal_id)
            if proposal.state == "accepted":
                self._record_accepted(proposal)

        self._run_command(accept, proposal_id)

    def _run_command(self, command, proposal_id: str = "") -> None:
        try:
            command()
        except RETRIED_ERRORS:
            self._sim.event_counts["settings-unsettled"] += 1
        except FINAL_ERRORS:
            self._sim.event_counts["settings-refused"] += 1
            if proposal_id in self._open_proposals:
                self._open_proposals.remove(proposal_id)

    def _record_accepted(self, proposal: Proposal) -> None:
        """Records that a change was reported to an operator as accepted."""
        if proposal.id in self._open_proposals:
            self._open_proposals.remove(proposal.id)
        if self._reported_proposals.setdefault(proposal.version, proposal.id) != proposal.id:
            detail = f"two changes were reported as accepted version {proposal.version}"
            raise self._guarantee_error("P2", detail)
        self._sim.event_counts["settings-accepted"] += 1
        self._sim.add_trace_event(f"settings {proposal.version} accepted")


def _record_key(version: int) -> str:
    return f"{SETTINGS_LOG}/log/{version:016d}"
