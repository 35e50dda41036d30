"""A versioned, write-once log in the table store with conditional appends."""

import msgspec

from ._checked_input import decode_msgpack, reject
from ._store import Check, Committed, Put, Row, TableStore, Transaction
from .exceptions import ConflictError, InvalidInputError

__all__ = ["LogRecord", "PositionTakenError", "VersionedLog"]


POSITION_DIGITS = 16
# Unusable rows that are remembered, so that each has one log line.
MAX_REJECTED_ROWS = 5_000


class LogRecord(msgspec.Struct, frozen=True):
    """One stored record.

    Attributes:
        version: Position in the log, from 1.
        id: Id of the append; all attempts to append the record share it. Empty for a row that
            another writer left at this position.
        data: Content of the record, empty for a row of another writer.
    """

    version: int
    id: str
    data: bytes


class PositionTakenError(ConflictError):
    """Another record has the position of an append.

    Args:
        record: The other record, or None if it is not known.
    """

    def __init__(self, record: LogRecord | None, *, version: int, name: str) -> None:
        super().__init__(f"version {version} was taken", step="log.append", peer=name)
        self.record = record


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
        self._rejected_rows: dict[str, int] = {}

    def head(self) -> int:
        """Returns the version of the newest record, 0 for an empty log."""
        row = self._store.read(f"{self._name}/head")
        return row.version if row else 0

    def read_after(self, version: int) -> list[LogRecord]:
        """Returns records that follow a version, as many as one scan returns; empty at the end.

        The records are contiguous. A row that is not a record of this log is returned with an empty
        id if it takes the next position, and ends the result otherwise. Rows whose key names no
        position are passed over.
        """
        records: list[LogRecord] = []
        for row, position in self._rows_after(version):
            record = self._to_record(row, position)
            expected = records[-1].version + 1 if records else version + 1
            # Records may start later than expected, since old ones are removed.
            if position != expected and (records or not record.id):
                break
            records.append(record)
        return records

    def read(self, version: int) -> LogRecord | None:
        """Returns one record, or None if it does not exist."""
        row = self._store.read(self._record_key(version))
        return self._to_record(row, version) if row else None

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
            PositionTakenError: Another record has this version, or a further condition does not
                hold.
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
        result = self._store.commit(transaction)
        if isinstance(result, Committed):
            return version
        stated = (row for row in result.rows if row.key == self._record_key(version))
        row = next(stated, None)
        existing = self._to_record(row, version) if row is not None else self.read(version)
        if existing is not None and existing.id == append_id:
            return version
        raise PositionTakenError(existing, version=version, name=self._name)

    def _rows_after(self, version: int) -> list[tuple[Row, int]]:
        """Returns the rows of the first scan that finds records, each with its position."""
        after = self._record_key(version)
        while rows := self._store.scan(f"{self._name}/log/", after):
            positions = [(row, self._position(row)) for row in rows]
            if found := [item for item in positions if item[1]]:
                return found
            after = rows[-1].key
        return []

    def _position(self, row: Row) -> int:
        """Returns the position that a row's key names, 0 for none."""
        position = row.key.removeprefix(f"{self._name}/log/")
        if len(position) == POSITION_DIGITS and position.isascii() and position.isdecimal():
            return int(position)
        self._reject(row, f"the key {row.key!r} names no position")
        return 0

    def _to_record(self, row: Row, position: int) -> LogRecord:
        """Decodes a row; the result has an empty id if the row is no record of its position."""
        foreign = LogRecord(position, "", b"")
        if self._rejected_rows.get(row.key) == row.version:
            return foreign
        try:
            record = decode_msgpack(row.value, LogRecord, f"{self._name}-log")
        except InvalidInputError:
            self._remember(row)
            return foreign
        if record.version != position or not record.id or not record.data:
            self._reject(row, f"the row is no record of position {position}")
            return foreign
        return record

    def _reject(self, row: Row, detail: str) -> None:
        if self._rejected_rows.get(row.key) != row.version:
            self._remember(row)
            reject(f"{self._name}-log", detail, row.value)

    def _remember(self, row: Row) -> None:
        if len(self._rejected_rows) >= MAX_REJECTED_ROWS:
            self._rejected_rows.clear()
        self._rejected_rows[row.key] = row.version

    def _record_key(self, version: int) -> str:
        return f"{self._name}/log/{version:0{POSITION_DIGITS}d}"
