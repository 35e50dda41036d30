"""Settings of the randomised runs: a table with faults, operators, and the checks of P2 and P8."""

import random
from typing import TYPE_CHECKING

from auburnsail._changes import SettingsChanges
from auburnsail._clock import NS_PER_MS
from auburnsail._conflicts import SettingsConflictError
from auburnsail._log import VersionedLog
from auburnsail._proposals import Proposal
from auburnsail._settings_log import SETTINGS_LOG
from auburnsail._settle import RetrySchedule
from auburnsail._store import Committed, Conflict, Row, Transaction
from auburnsail.exceptions import (
    ConflictError,
    OutcomeUnknownError,
    RefusedError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from tools.soak_nodes import FakeNode
    from tools.soak_world import Sim

__all__ = ["Operators", "SettingsTable"]

IN_FORCE_MS = 7000
TREE = """{
  "queue": {"max_wait_ms": 10},
  "services": {"catalogue": {"keyed": true, "shards": 32}, "pledge": {}}
}
"""
NO_NEW_COMMAND = (ConflictError, SettingsConflictError, RefusedError)
UNSETTLED = (OutcomeUnknownError, StoreUnavailableError)


class SettingsTable:
    """A `TableStore` whose answers can be lost and whose writes can land late.

    Args:
        sim: The run that it belongs to.
    """

    def __init__(self, sim: "Sim") -> None:
        self._sim = sim
        self.rows: dict[str, Row] = {}
        self.rng = random.Random(0)
        self.lost_answers = 0.0
        self.interleave = lambda: None

    def records_after(self, version: int) -> list[tuple[int, bytes]]:
        """Returns the accepted settings versions after one, without faults."""
        log = VersionedLog(_Plain(self.rows), SETTINGS_LOG)
        return [(record.version, record.data) for record in log.read_after(version)]

    def read(self, key: str) -> Row | None:
        """See `TableStore.read`."""
        self._fail_if_down("store.read")
        return self.rows.get(key)

    def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """See `TableStore.scan`."""
        self._fail_if_down("store.scan")
        return _Plain(self.rows).scan(prefix, after, limit)

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """See `TableStore.commit`."""
        self.interleave()
        self._fail_if_down("store.commit")
        if self.rng.random() >= self.lost_answers:
            return self._apply(transaction)
        self._sim.faults["lost-settings-write"] += 1
        if self.rng.random() < 0.5:
            self._apply(transaction)
        else:
            self._sim.at(self.rng.uniform(1, 2000), lambda: self._apply(transaction))
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


class _Plain:
    """Reads rows without faults."""

    def __init__(self, rows: dict[str, Row]) -> None:
        self._rows = rows

    def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """See `TableStore.scan`."""
        keys = sorted(key for key in self._rows if key.startswith(prefix) and key > after)
        return [self._rows[key] for key in keys[:limit]]


class Operators:
    """Operators who accept conflicting changes at nearly the same moment.

    Args:
        sim: The run.
        guarantee_error: Raised for a violation.
    """

    def __init__(self, sim: "Sim", guarantee_error: type[AssertionError]) -> None:
        self._sim = sim
        self._error = guarantee_error
        self._rng = sim.table.rng = random.Random(sim.rng.getrandbits(64))
        self._seen: dict[int, tuple[int, bytes]] = {}
        self._reported: dict[int, str] = {}
        self._open: list[str] = []
        self._value = 10
        self._depth = 0
        self._changes("ann").initialise(TREE, "soak")
        sim.table.interleave = self._interleave
        sim.checks.append(self.check)
        self._schedule()

    @property
    def versions(self) -> int:
        """Number of accepted versions."""
        return len(self._seen)

    def check(self) -> None:
        """Raises if an accepted version changed, or is not in force in time."""
        sim = self._sim
        head = sim.table.rows["settings/head"].version
        for version in range(len(self._seen) + 1, head + 1):
            row = sim.table.rows.get(_key(version))
            if row is None:
                raise self._error("P2", f"settings version {version} has no record of its own")
            self._seen[version] = (sim.now_ns, row.value)
        if sim.steps % 16 == 0:
            for version, (_, value) in self._seen.items():
                if sim.table.rows[_key(version)].value != value:
                    raise self._error("P2", f"accepted settings version {version} was replaced")
        for node in sim.nodes.values():
            self._check_in_force(node, head)

    def _check_in_force(self, node: "FakeNode", head: int) -> None:
        sim = self._sim
        if node.dead or node.paused or sim.store_down or node.settings[0] >= head:
            return
        missing = max(1, node.settings[0] + 1)
        since_ns = max(self._seen[missing][0], node.restless_ns, sim.store_restless_ns)
        if sim.now_ns - since_ns > IN_FORCE_MS * NS_PER_MS:
            detail = f"n{node.number} has version {node.settings[0]}, {head} was accepted"
            raise self._error("P8", detail)

    def _changes(self, name: str) -> SettingsChanges:
        # One attempt for each command: the operator repeats it later, with other events between.
        retries = RetrySchedule(0.0, lambda: 0.0, lambda _: None)
        return SettingsChanges(self._sim.table, name, retries, lambda: "2030-01-01T00:00:00+00:00")

    def _schedule(self) -> None:
        self._sim.at(self._rng.uniform(100, 1500), self._act)

    def _act(self) -> None:
        if len(self._open) < 3:
            self._attempt(self._propose)
        for proposal_id in list(self._open):
            if self._rng.random() < 0.7:
                self._accept(proposal_id)
        self._schedule()

    def _interleave(self) -> None:
        # Lets another operator act between the reads and the write of a command.
        if self._open and not self._depth and self._rng.random() < 0.3:
            self._depth = 1
            self._sim.faults["interleaved-accept"] += 1
            self._accept(self._rng.choice(self._open))
            self._depth = 0

    def _propose(self) -> None:
        ann, bob = self._changes("ann"), self._changes("bob")
        head = ann.history.head()
        self._value += 1
        text = TREE.replace('"max_wait_ms": 10', f'"max_wait_ms": {self._value}')
        proposal = ann.propose("a change", text, "soak", head)
        bob.review(proposal.id, "approve", "")
        self._open.append(proposal.id)

    def _accept(self, proposal_id: str) -> None:
        def accept() -> None:
            proposal = self._changes(self._rng.choice(("ann", "bob"))).accept(proposal_id)
            if proposal.state == "accepted":
                self._report(proposal)

        self._attempt(accept, proposal_id)

    def _attempt(self, command, proposal_id: str = "") -> None:
        try:
            command()
        except UNSETTLED:
            self._sim.notes["settings-unsettled"] += 1
        except NO_NEW_COMMAND:
            self._sim.notes["settings-refused"] += 1
            if proposal_id in self._open:
                self._open.remove(proposal_id)

    def _report(self, proposal: Proposal) -> None:
        """Notes that an operator was told that a change was accepted."""
        if proposal.id in self._open:
            self._open.remove(proposal.id)
        if self._reported.setdefault(proposal.version, proposal.id) != proposal.id:
            detail = f"two changes were reported as accepted version {proposal.version}"
            raise self._error("P2", detail)
        self._sim.notes["settings-accepted"] += 1
        self._sim.note(f"settings {proposal.version} accepted")


def _key(version: int) -> str:
    return f"{SETTINGS_LOG}/log/{version:016d}"
