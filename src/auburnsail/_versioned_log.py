"""A versioned, write-once log in the table store with conditional appends."""

import msgspec

from ._store import Check, Committed, Put, TableStore, Transaction
from .exceptions import ConflictError

__all__ = ["LogRecord", "VersionedLog"]


class LogRecord(msgspec.Struct, frozen=True):
    """One stored record.

    Attributes:
        version: Position in the log, from 1.
        id: Id of the append; all attempts to append the record share it.
        data: Content of the record.
    """

    version: int
    id: str
    data: bytes


class VersionedLog:
    """A log whose records are written once and in order.

    The write of a record is conditional on its row not existing, so only one of several concurrent
    appends succeeds. Each append also writes the row ``<name>/head`` once, so the version of that
    row equals the log's version on a store that counts row versions from 1.

    Args:
        store: The table store that holds the log.
        name: Prefix of the log's rows.
    """

    def __init__(self, store: TableStore, name: str) -> None:
        self._store = store
        self._name = name

    def head(self) -> int:
        """Returns the version of the newest record, 0 for an empty log."""
        row = self._store.read(f"{self._name}/head")
        return row.version if row else 0

    def read_after(self, version: int) -> list[LogRecord]:
        """Returns records that follow a version, as many as one scan returns; empty at the end."""
        rows = self._store.scan(f"{self._name}/log/", self._record_key(version))
        return [msgspec.msgpack.decode(row.value, type=LogRecord) for row in rows]

    def read(self, version: int) -> LogRecord | None:
        """Returns one record, or None if it does not exist."""
        row = self._store.read(self._record_key(version))
        return msgspec.msgpack.decode(row.value, type=LogRecord) if row else None

    def append(
        self, expected: int, append_id: str, data: bytes, checks: tuple[Check, ...] = ()
    ) -> int:
        """Appends a record if the log's version is still the expected one.

        Args:
            expected: Version that the record follows; the caller has read that version.
            append_id: Id of the append, the same for every attempt to append this record.
            data: Content of the record.
            checks: Further conditions; a condition that has failed once must never hold again.

        Returns:
            The version of the record.

        Raises:
            ConflictError: Another record has this version, or a further condition does not hold.
            StoreUnavailableError: The record was not written by this call.
            OutcomeUnknownError: The record may have been written; repeat the call with the same
                arguments until the outcome is definite.
        """
        version = expected + 1
        record = msgspec.msgpack.encode(LogRecord(version, append_id, data))
        transaction = Transaction(
            (Check(self._record_key(version), 0), *checks),
            (
                Put(f"{self._name}/head", append_id.encode()),
                Put(self._record_key(version), record),
            ),
        )
        if isinstance(self._store.commit(transaction), Committed):
            return version
        existing = self.read(version)
        if existing is not None and existing.id == append_id:
            return version
        raise ConflictError(f"version {version} was taken", step="log.append", peer=self._name)

    def _record_key(self, version: int) -> str:
        return f"{self._name}/log/{version:016d}"
