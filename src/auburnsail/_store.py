"""Interfaces of the platform's table and object stores, and their HTTP clients."""

from typing import Protocol
from urllib.parse import quote, urlsplit

import msgspec

from ._pool import HttpPeer
from .exceptions import AuburnsailError, NotRunError, OutcomeUnknownError, StoreUnavailableError

__all__ = [
    "Check",
    "Committed",
    "Conflict",
    "HttpObjectStore",
    "HttpTableStore",
    "ObjectStore",
    "Put",
    "Row",
    "TableStore",
    "Transaction",
]

STORE_TIMEOUT_S = 2.0


class Check(msgspec.Struct, frozen=True):
    """Precondition that a row has a version; version 0 means that it does not exist."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True):
    """A write of one row."""

    key: str
    value: bytes


class Transaction(msgspec.Struct, frozen=True):
    """Writes that are applied atomically if all checks hold."""

    checks: tuple[Check, ...]
    puts: tuple[Put, ...]


class Row(msgspec.Struct, frozen=True):
    """A stored row; its version starts at 1 and increases by 1 with every write."""

    key: str
    version: int
    value: bytes


class Committed(msgspec.Struct, frozen=True):
    """Result of a transaction that was applied."""


class Conflict(msgspec.Struct, frozen=True):
    """Result of a transaction that was not applied because a check did not hold.

    Attributes:
        detail: What did not hold.
        rows: Present rows that the checks named, if the store states them.
    """

    detail: str = ""
    rows: tuple[Row, ...] = ()


class TableStore(Protocol):
    """A table with conditional, atomic writes.

    Any method raises StoreUnavailableError if the store cannot be reached or refuses the request.
    """

    def read(self, key: str) -> Row | None:
        """Returns a row, or None if it does not exist."""

    def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Returns up to `limit` rows in key order whose key has a prefix and sorts after a key."""

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Applies a transaction.

        Raises:
            StoreUnavailableError: The transaction was not applied.
            OutcomeUnknownError: The transaction may or may not have been applied.
        """


class ObjectStore(Protocol):
    """A store of objects, which are written and read as a whole.

    Any method raises StoreUnavailableError if the store cannot be reached or refuses the request.
    """

    def put(self, key: str, data: bytes) -> None:
        """Writes an object, replacing an existing one.

        Raises:
            StoreUnavailableError: The object was not written.
            OutcomeUnknownError: The object may or may not have been written.
        """

    def get(self, key: str) -> bytes | None:
        """Returns an object, or None if it does not exist."""

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys that start with a prefix, sorted."""


class _HttpStore:
    def __init__(self, url: str, timeout_s: float = STORE_TIMEOUT_S) -> None:
        parts = urlsplit(url)
        self._peer = HttpPeer(f"{parts.hostname}:{parts.port}")
        self._timeout_s = timeout_s

    def _call(self, step: str, method: str, target: str, body: bytes = b"") -> tuple[int, bytes]:
        try:
            answer = self._peer.fetch(method, target, body, timeout_s=self._timeout_s)
        except NotRunError as error:
            raise StoreUnavailableError(error.detail, step=step, peer=self._peer.address) from error
        if answer.status in (429, 503):
            raise StoreUnavailableError(
                f"status {answer.status}", step=step, peer=self._peer.address
            )
        return answer.status, answer.body

    def _read(self, step: str, target: str) -> tuple[int, bytes]:
        try:
            return self._call(step, "GET", target)
        except OutcomeUnknownError as error:
            # Reads have no effect, so a lost answer only means that the store is unavailable.
            raise StoreUnavailableError(error.detail, step=step, peer=error.peer) from error

    def _unexpected_status(self, step: str, status: int) -> AuburnsailError:
        return AuburnsailError(f"unexpected status {status}", step=step, peer=self._peer.address)


class HttpTableStore(_HttpStore):
    """Client of the platform's table service.

    Args:
        url: Base URL of the service.
        timeout_s: Timeout of a request in seconds.
    """

    def read(self, key: str) -> Row | None:
        """Implements `TableStore.read`."""
        status, body = self._read("store.read", f"/table/row?key={quote(key, safe='')}")
        if status == 404:
            return None
        if status != 200:
            raise self._unexpected_status("store.read", status)
        return msgspec.json.decode(body, type=Row)

    def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Implements `TableStore.scan`."""
        query = f"prefix={quote(prefix, safe='')}&after={quote(after, safe='')}&limit={limit}"
        status, body = self._read("store.scan", f"/table/rows?{query}")
        if status != 200:
            raise self._unexpected_status("store.scan", status)
        return msgspec.json.decode(body, type=list[Row])

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Implements `TableStore.commit`."""
        body = msgspec.json.encode(transaction)
        status, answer_body = self._call("store.commit", "POST", "/table/commit", body)
        if status == 200:
            return Committed()
        if status == 409:
            return Conflict(answer_body.decode(errors="replace"))
        raise self._unexpected_status("store.commit", status)


class HttpObjectStore(_HttpStore):
    """Client of the platform's object store.

    Args:
        url: Base URL of the service.
        timeout_s: Timeout of a request in seconds.
    """

    def put(self, key: str, data: bytes) -> None:
        """Implements `ObjectStore.put`."""
        status, _ = self._call("objects.put", "PUT", _object_target(key), data)
        if status not in (200, 201, 204):
            raise self._unexpected_status("objects.put", status)

    def get(self, key: str) -> bytes | None:
        """Implements `ObjectStore.get`."""
        status, body = self._read("objects.get", _object_target(key))
        if status == 404:
            return None
        if status != 200:
            raise self._unexpected_status("objects.get", status)
        return body

    def keys(self, prefix: str) -> list[str]:
        """Implements `ObjectStore.keys`."""
        status, body = self._read("objects.keys", f"/objects?prefix={quote(prefix, safe='')}")
        if status != 200:
            raise self._unexpected_status("objects.keys", status)
        return msgspec.json.decode(body, type=list[str])


def _object_target(key: str) -> str:
    return f"/object?key={quote(key, safe='')}"
