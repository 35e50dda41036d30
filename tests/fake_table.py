"""An in-memory table whose answers can be lost and whose writes can land late."""

import random

import gevent

from auburnsail._store import Committed, Conflict, Row, Transaction
from auburnsail.exceptions import OutcomeUnknownError, StoreUnavailableError


class FakeTable:
    """A `TableStore` with faults.

    Args:
        seed: Of the random choices.
        fault_share: Share of operations that fail in one of the possible ways.
    """

    def __init__(self, seed: int = 0, fault_share: float = 0.0) -> None:
        self._random = random.Random(seed)
        self._late: list[Transaction] = []
        self.fault_share = fault_share
        self.rows: dict[str, Row] = {}

    def read(self, key: str) -> Row | None:
        self._land_late()
        if self._fails():
            raise StoreUnavailableError("down", step="store.read")
        return self.rows.get(key)

    def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        self._land_late()
        if self._fails():
            raise StoreUnavailableError("down", step="store.scan")
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [self.rows[key] for key in keys[:limit]]

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        self._land_late()
        if not self._fails():
            return self._apply(transaction)
        match self._random.randrange(4):
            case 0:
                raise StoreUnavailableError("down", step="store.commit")
            case 1:
                self._apply(transaction)
            case 2:
                self._late.append(transaction)
        raise OutcomeUnknownError("answer lost", step="store.commit")

    def _fails(self) -> bool:
        return self._random.random() < self.fault_share

    def _land_late(self) -> None:
        # Lets other greenlets act between any two operations of one.
        for _ in range(self._random.randrange(3)):
            gevent.sleep(0)
        while self._late and self._random.random() < 0.3:
            self._apply(self._late.pop(self._random.randrange(len(self._late))))

    def _apply(self, transaction: Transaction) -> Committed | Conflict:
        for check in transaction.checks:
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                return Conflict(check.key)
        for put in transaction.puts:
            row = self.rows.get(put.key)
            self.rows[put.key] = Row(put.key, (row.version if row else 0) + 1, put.value)
        return Committed()
