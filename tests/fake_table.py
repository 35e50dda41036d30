"""In-memory table store that loses responses and applies writes late."""

import random

import gevent

from auburnsail._store import Committed, Conflict, Row, Transaction
from auburnsail.exceptions import OutcomeUnknownError, StoreUnavailableError


class FakeTable:
    """A `TableStore` that injects faults.

    Args:
        seed: Seed of the random choices.
        fault_share: Share of operations that fail. A failed commit is applied at once, applied
            later or not applied.

    Attributes:
        fault_share: Share of operations that fail from now on.
        rows: Rows by key.
    """

    def __init__(self, seed: int = 0, fault_share: float = 0.0) -> None:
        self._random = random.Random(seed)
        self._delayed: list[Transaction] = []
        self.fault_share = fault_share
        self.rows: dict[str, Row] = {}

    def read(self, key: str) -> Row | None:
        self._apply_delayed()
        if self._draw_failure():
            raise StoreUnavailableError("store is down", step="store.read")
        return self.rows.get(key)

    def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        self._apply_delayed()
        if self._draw_failure():
            raise StoreUnavailableError("store is down", step="store.scan")
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [self.rows[key] for key in keys[:limit]]

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        self._apply_delayed()
        if not self._draw_failure():
            return self._apply(transaction)
        match self._random.randrange(4):
            case 0:
                raise StoreUnavailableError("store is down", step="store.commit")
            case 1:
                self._apply(transaction)
            case 2:
                self._delayed.append(transaction)
        raise OutcomeUnknownError("reply lost", step="store.commit")

    def _draw_failure(self) -> bool:
        return self._random.random() < self.fault_share

    def _apply_delayed(self) -> None:
        # Yields to other greenlets, so that their operations interleave.
        for _ in range(self._random.randrange(3)):
            gevent.sleep(0)
        while self._delayed and self._random.random() < 0.3:
            self._apply(self._delayed.pop(self._random.randrange(len(self._delayed))))

    def _apply(self, transaction: Transaction) -> Committed | Conflict:
        for check in transaction.checks:
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                return Conflict(check.key)
        for put in transaction.puts:
            row = self.rows.get(put.key)
            self.rows[put.key] = Row(put.key, (row.version if row else 0) + 1, put.value)
        return Committed()
