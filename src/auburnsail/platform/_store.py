"""Clients of the platform's store: rows in tables, and objects."""

from urllib.parse import quote

import msgspec

from .._pool import HttpPeer
from .._store import Committed, Conflict, Row, Transaction
from ..exceptions import (
    AuburnsailError,
    NotRunError,
    OutcomeUnknownError,
    StoreUnavailableError,
)

__all__ = ["Feed", "PlatformObjects", "PlatformStore", "PlatformTable"]

# A slow store answers within 0.3 s; one that is silent is asked again on a new connection.
CALL_TIMEOUT_S = 1.5
# Longer than the wait that a feed was asked for.
FEED_MARGIN_S = 1.5
# The product's keys begin with the name of their table.
SEPARATOR = "/"
REFUSED_STATUSES = frozenset({429, 503})


class _Row(msgspec.Struct, frozen=True):
    """A row on the wire.

    Attributes:
        table: Its table.
        key: Its key within the table.
        value: Its content.
        ver: Version of the whole store at which it was written, not a count of its writes.
        deleted: Whether it was dropped; only in feeds.
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


class _Expected(msgspec.Struct, frozen=True):
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
        expected_revision: Rows with the version that each must have, 0 for none.
        puts: Rows to write.
        remove: Rows to drop.
    """

    expected_revision: tuple[_Expected, ...]
    puts: tuple[_Put, ...]
    remove: tuple[()] = ()


class _Names(msgspec.Struct, frozen=True, rename="kebab"):
    names: tuple[str, ...] = ()
    has_more: bool = False


class Feed(msgspec.Struct, frozen=True):
    """Rows that changed, and where the feed goes on."""

    rows: tuple[Row, ...]
    version: int
    is_gap: bool = False


class PlatformStore:
    """Calls of the store; counts them.

    Args:
        address: ``ip:port`` of the store.
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
        """Makes one call.

        Raises:
            StoreUnavailableError: It was refused without an effect.
            OutcomeUnknownError: It may have taken effect, now or later.
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
        """Makes a call without effect; a lost answer only means that the store is unavailable."""
        try:
            return self.call(step, "GET", target, timeout_s=timeout_s)
        except OutcomeUnknownError as error:
            raise StoreUnavailableError(error.detail, step=step, peer=error.peer) from error

    def unexpected(self, step: str, status: int) -> AuburnsailError:
        """Returns the error for a status that the page does not name."""
        return AuburnsailError(f"unexpected status {status}", step=step, peer=self._peer.address)


class PlatformTable:
    """Rows of the platform's store; see `TableStore`.

    Args:
        store: Makes the calls.
    """

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    def read(self, key: str) -> Row | None:
        """See `TableStore.read`."""
        rows = self._range(key, f"{key}\0", 1).rows
        return _row(rows[0]) if rows else None

    def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """See `TableStore.scan`."""
        start, end = (f"{after}\0" if after else prefix), f"{prefix}\x7f"
        found: list[Row] = []
        while len(found) < limit:
            answer = self._range(start, end, limit - len(found))
            found += [_row(row) for row in answer.rows]
            if not answer.has_more or not answer.rows:
                break
            start = f"{found[-1].key}\0"
        return found

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """See `TableStore.commit`."""
        checks = [(check, *_place(check.key)) for check in transaction.checks]
        puts = [(put, *_place(put.key)) for put in transaction.puts]
        body = msgspec.json.encode(
            _Transaction(
                tuple(_Expected(table, "", key, check.version) for check, table, key in checks),
                tuple(_Put(table, "", key, put.value) for put, table, key in puts),
            )
        )
        status, answer = self._store.call("store.commit", "POST", "/rows-tx", body)
        if status == 200:
            return Committed()
        if status == 412:
            return Conflict(answer.decode(errors="replace"))
        raise self._store.unexpected("store.commit", status)

    def feed(self, table: str, after: int, wait_ms: int) -> Feed:
        """Waits for changes of a table.

        Args:
            table: Name of the table.
            after: Version of the store up to which the changes are known.
            wait_ms: Longest wait.
        """
        target = f"/rows-feed?table={quote(table, safe='')}&after={after}&wait-ms={wait_ms}"
        timeout_s = wait_ms / 1000 + FEED_MARGIN_S
        status, body = self._store.read("store.feed", target, timeout_s)
        if status == 410:
            return Feed((), 0, is_gap=True)
        if status != 200:
            raise self._store.unexpected("store.feed", status)
        answer = msgspec.json.decode(body, type=_Rows)
        return Feed(tuple(_row(row) for row in answer.rows if not row.deleted), answer.ver)

    def newest(self, key: str) -> tuple[Row | None, int]:
        """Returns a row and the version of the store at which it was read."""
        answer = self._range(key, f"{key}\0", 1)
        return (_row(answer.rows[0]) if answer.rows else None), answer.ver

    def _range(self, start: str, end: str, limit: int) -> _Rows:
        table, first = _place(start)
        _, last = _place(end)
        # What the page calls "target" is the end of the range of keys.
        target = f"/rows-get?table={quote(table, safe='')}&part=&from={quote(first, safe='')}"
        target += f"&target={quote(last, safe='')}&limit={limit}"
        status, body = self._store.read("store.read", target)
        if status != 200:
            raise self._store.unexpected("store.read", status)
        return msgspec.json.decode(body, type=_Rows)


class PlatformObjects:
    """Objects of the platform's store; see `ObjectStore`.

    Args:
        store: Makes the calls.
    """

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    def put(self, key: str, data: bytes) -> None:
        """See `ObjectStore.put`."""
        status, _ = self._store.call("objects.put", "PUT", f"/blob-put/{_name(key)}", data)
        if status not in (200, 201, 204):
            raise self._store.unexpected("objects.put", status)

    def get(self, key: str) -> bytes | None:
        """See `ObjectStore.get`."""
        status, body = self._store.read("objects.get", f"/blob-get/{_name(key)}")
        if status == 404:
            return None
        if status != 200:
            raise self._store.unexpected("objects.get", status)
        return body

    def keys(self, prefix: str) -> list[str]:
        """See `ObjectStore.keys`."""
        names: list[str] = []
        after = ""
        while True:
            target = f"/blob-list?path-prefix={_name(prefix)}&after={quote(after, safe='')}"
            status, body = self._store.read("objects.keys", target)
            if status != 200:
                raise self._store.unexpected("objects.keys", status)
            answer = msgspec.json.decode(body, type=_Names)
            names += answer.names
            if not answer.has_more or not answer.names:
                return [name.replace(".", SEPARATOR) for name in names]
            after = answer.names[-1]


def _place(key: str) -> tuple[str, str]:
    """Returns table and key of a row of the product."""
    table, _, rest = key.partition(SEPARATOR)
    return table, rest


def _row(row: _Row) -> Row:
    return Row(f"{row.table}{SEPARATOR}{row.key}", row.ver, row.value)


def _name(key: str) -> str:
    return quote(key.replace(SEPARATOR, "."), safe="")
