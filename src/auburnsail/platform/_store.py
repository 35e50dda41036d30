"""Clients of the platform's store, which has tables of rows and an object store."""

from typing import Any
from urllib.parse import quote

import msgspec

from .._checked_input import decode_json
from .._pool import HttpPeer
from .._store import Committed, Conflict, Row, Transaction
from ..exceptions import (
    AuburnsailError,
    InvalidInputError,
    NotRunError,
    OutcomeUnknownError,
    StoreUnavailableError,
)

__all__ = ["PlatformObjects", "PlatformStore", "PlatformTable", "TableChanges"]

# A slow store responds within 0.3 s. After this timeout a call is retried on a new connection.
CALL_TIMEOUT_S = 1.5
# Added to the requested wait, so that the store can respond when the wait ends.
CHANGE_WAIT_MARGIN_S = 1.5
# Separates the name of the table from the rest in the router's row keys.
KEY_SEPARATOR = "/"
REFUSED_STATUSES = frozenset({429, 503})


class _Row(msgspec.Struct, frozen=True):
    """A row on the wire.

    Attributes:
        table: Name of the table.
        key: Key within the table.
        value: Content.
        ver: Version of the whole store at which the row was written, not a count of its writes.
        deleted: Whether the row was deleted; set in change feeds only.
    """

    table: str
    key: str
    value: bytes = b""
    ver: int = 0
    deleted: bool = False


class _Rows(msgspec.Struct, frozen=True, rename="kebab"):
    rows: tuple[_Row, ...] = ()
    has_more: bool = False
    ver: int = 0


class _ExpectedVersion(msgspec.Struct, frozen=True):
    table: str
    part: str
    key: str
    ver: int


class _Put(msgspec.Struct, frozen=True):
    table: str
    part: str
    key: str
    value: bytes


class _Transaction(msgspec.Struct, frozen=True, rename="kebab"):
    """A transaction on the wire.

    Attributes:
        expected_revision: Version that each of these rows must have; 0 if it must not exist.
        puts: Rows to write.
        remove: Rows to delete.
    """

    expected_revision: tuple[_ExpectedVersion, ...]
    puts: tuple[_Put, ...]
    remove: tuple[()] = ()


class _ObjectNames(msgspec.Struct, frozen=True, rename="kebab"):
    names: tuple[str, ...] = ()
    has_more: bool = False


class TableChanges(msgspec.Struct, frozen=True):
    """Changes of a table since a version of the store.

    Attributes:
        rows: Rows that were written; deleted rows are left out.
        version: Version of the store from which to wait for the next changes.
        is_gap: Whether the store no longer has all changes, so that the rows must be read instead.
    """

    rows: tuple[Row, ...]
    version: int
    is_gap: bool = False


class PlatformStore:
    """HTTP client of the store, which counts its calls.

    Args:
        address: ``ip:port`` of the store.

    Attributes:
        calls: Number of calls by step.
    """

    def __init__(self, address: str) -> None:
        self._peer = HttpPeer(address)
        self.calls: dict[str, int] = {}

    def call(
        self,
        step: str,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> tuple[int, bytes]:
        """Makes one call and returns status and body of the answer.

        Args:
            step: Name of the call in counters and errors.
            method: HTTP method.
            target: Path and query.
            body: Body of the request.
            timeout_s: Timeout in seconds.
            headers: Additional headers.

        Raises:
            StoreUnavailableError: The call was refused and has no effect.
            OutcomeUnknownError: The call may have taken effect or may do so later.
        """
        self.calls[step] = self.calls.get(step, 0) + 1
        try:
            answer = self._peer.fetch(method, target, body, timeout_s=timeout_s, headers=headers)
        except NotRunError as error:
            raise StoreUnavailableError(error.detail, step=step, peer=error.peer) from error
        if answer.status in REFUSED_STATUSES:
            detail = f"status {answer.status}"
            raise StoreUnavailableError(detail, step=step, peer=self._peer.address)
        return answer.status, answer.body

    def read(self, step: str, target: str, timeout_s: float = CALL_TIMEOUT_S) -> tuple[int, bytes]:
        """Makes a read-only call and returns status and body of the answer.

        Raises:
            StoreUnavailableError: The call failed. A lost answer is no different from a refusal,
                since the call has no effect.
        """
        try:
            return self.call(step, "GET", target, timeout_s=timeout_s)
        except OutcomeUnknownError as error:
            raise StoreUnavailableError(error.detail, step=step, peer=error.peer) from error

    def decode(self, step: str, body: bytes, model: type) -> Any:
        """Decodes the answer to a read-only call.

        Raises:
            StoreUnavailableError: The answer cannot be decoded.
        """
        try:
            return decode_json(body, model, "store-answer")
        except InvalidInputError as error:
            raise StoreUnavailableError(error.detail, step=step, peer=self._peer.address) from error

    def unexpected_status(self, step: str, status: int) -> AuburnsailError:
        """Returns the error for a status that the store's documentation does not list."""
        return AuburnsailError(f"unexpected status {status}", step=step, peer=self._peer.address)


class PlatformTable:
    """Table store on the platform's store; implements `TableStore`.

    Args:
        store: Client of the store.
    """

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    def read(self, key: str) -> Row | None:
        """Implements `TableStore.read`."""
        rows = self._read_range(key, f"{key}\0", 1).rows
        return _to_row(rows[0]) if rows else None

    def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Implements `TableStore.scan`."""
        start, end = (f"{after}\0" if after else prefix), f"{prefix}\x7f"
        rows: list[Row] = []
        while len(rows) < limit:
            answer = self._read_range(start, end, limit - len(rows))
            rows += [_to_row(row) for row in answer.rows]
            if not answer.has_more or not answer.rows:
                break
            start = f"{rows[-1].key}\0"
        return rows

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Implements `TableStore.commit`."""
        checks = [(check, *_split_key(check.key)) for check in transaction.checks]
        puts = [(put, *_split_key(put.key)) for put in transaction.puts]
        body = msgspec.json.encode(
            _Transaction(
                tuple(
                    _ExpectedVersion(table, "", key, check.version) for check, table, key in checks
                ),
                tuple(_Put(table, "", key, put.value) for put, table, key in puts),
            )
        )
        status, answer = self._store.call("store.commit", "POST", "/rows-tx", body)
        if status == 200:
            return Committed()
        if status == 412:
            return Conflict("a check does not hold", self._present_rows(answer))
        raise self._store.unexpected_status("store.commit", status)

    def _present_rows(self, answer: bytes) -> tuple[Row, ...]:
        """Returns the rows in the answer to a conflicting transaction, none if it has no others."""
        try:
            rows = self._store.decode("store.commit", answer, _Rows).rows
        except StoreUnavailableError:
            # The transaction was not applied in any case; the caller reads the rows instead.
            return ()
        return tuple(_to_row(row) for row in rows if row.ver)

    def wait_for_changes(self, table: str, after: int, wait_ms: int) -> TableChanges:
        """Waits until a table changes or the wait ends.

        Args:
            table: Name of the table.
            after: Version of the store; only later changes are returned.
            wait_ms: Maximum wait in milliseconds.

        Raises:
            StoreUnavailableError: The store did not respond or refused the call.
        """
        target = f"/rows-feed?table={quote(table, safe='')}&after={after}&wait-ms={wait_ms}"
        timeout_s = wait_ms / 1000 + CHANGE_WAIT_MARGIN_S
        status, body = self._store.read("store.feed", target, timeout_s)
        if status == 410:
            return TableChanges((), 0, is_gap=True)
        if status != 200:
            raise self._store.unexpected_status("store.feed", status)
        answer = self._store.decode("store.feed", body, _Rows)
        return TableChanges(
            tuple(_to_row(row) for row in answer.rows if not row.deleted), answer.ver
        )

    def read_with_store_version(self, key: str) -> tuple[Row | None, int]:
        """Returns a row or None, and the version of the store at which it was read."""
        answer = self._read_range(key, f"{key}\0", 1)
        return (_to_row(answer.rows[0]) if answer.rows else None), answer.ver

    def _read_range(self, start: str, end: str, limit: int) -> _Rows:
        table, start_key = _split_key(start)
        _, end_key = _split_key(end)
        # The store's parameter "target" is the end of the key range.
        target = f"/rows-get?table={quote(table, safe='')}&part=&from={quote(start_key, safe='')}"
        target += f"&target={quote(end_key, safe='')}&limit={limit}"
        status, body = self._store.read("store.read", target)
        if status != 200:
            raise self._store.unexpected_status("store.read", status)
        return self._store.decode("store.read", body, _Rows)


class PlatformObjects:
    """Object store on the platform's store; implements `ObjectStore`.

    Args:
        store: Client of the store.
    """

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    def put(self, key: str, data: bytes) -> None:
        """Implements `ObjectStore.put`."""
        status, _ = self._store.call("objects.put", "PUT", f"/blob-put/{_object_name(key)}", data)
        if status not in (200, 201, 204):
            raise self._store.unexpected_status("objects.put", status)

    def get(self, key: str) -> bytes | None:
        """Implements `ObjectStore.get`."""
        status, body = self._store.read("objects.get", f"/blob-get/{_object_name(key)}")
        if status == 404:
            return None
        if status != 200:
            raise self._store.unexpected_status("objects.get", status)
        return body

    def keys(self, prefix: str) -> list[str]:
        """Implements `ObjectStore.keys`."""
        names: list[str] = []
        after = ""
        while True:
            target = f"/blob-list?path-prefix={_object_name(prefix)}&after={quote(after, safe='')}"
            status, body = self._store.read("objects.keys", target)
            if status != 200:
                raise self._store.unexpected_status("objects.keys", status)
            answer = self._store.decode("objects.keys", body, _ObjectNames)
            names += answer.names
            if not answer.has_more or not answer.names:
                return [name.replace(".", KEY_SEPARATOR) for name in names]
            after = answer.names[-1]


def _split_key(key: str) -> tuple[str, str]:
    """Splits a row key of the router into table and key within the table."""
    table, _, rest = key.partition(KEY_SEPARATOR)
    return table, rest


def _to_row(wire_row: _Row) -> Row:
    return Row(f"{wire_row.table}{KEY_SEPARATOR}{wire_row.key}", wire_row.ver, wire_row.value)


def _object_name(key: str) -> str:
    return quote(key.replace(KEY_SEPARATOR, "."), safe="")
