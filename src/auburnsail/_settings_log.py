"""Records of the settings log."""

import heapq
from collections.abc import Iterator

import msgspec

from ._digest import blake2s
from ._edits import Edit, path_text
from ._settings import TreeSettings
from ._store import TableStore
from ._store_retry import RetrySchedule, until_definite
from ._tree import parse_tree
from ._versioned_log import LogRecord, VersionedLog
from .exceptions import RefusedError, SettingsError

__all__ = [
    "SETTINGS_LOG",
    "SettingsHistory",
    "SettingsRecord",
    "decode_settings",
    "digest_of",
    "tree_of",
]

SETTINGS_LOG = "settings"
DIGEST_BYTES = 16
MOST_EDITS = 10_000


class SettingsRecord(msgspec.Struct, frozen=True):
    """One accepted change and the whole tree after it.

    Attributes:
        parent: Digest of the record before, empty for the first.
        proposal: Id of the proposal, empty for the first version.
        title: What the change is for.
        authors: Who wrote the proposal.
        reviewers: Who approved it.
        accepted_by: Who accepted it.
        accepted_at: Time of the acceptance in UTC, ISO 8601.
        edits: Values that the change touched.
        origins: Version that last touched each value that was ever stated, by path.
        text: The tree, JSON with comments.
    """

    parent: bytes
    proposal: str
    title: str
    authors: tuple[str, ...]
    reviewers: tuple[str, ...]
    accepted_by: str
    accepted_at: str
    edits: tuple[Edit, ...]
    origins: dict[str, int]
    text: str


def digest_of(data: bytes) -> bytes:
    """Returns the digest by which a record names the encoded record before it."""
    return blake2s(data, digest_size=DIGEST_BYTES).digest()


def decode_settings(version: int, data: bytes) -> SettingsRecord:
    """Returns the content of a record of the settings log.

    Args:
        version: Version of the record, named in errors.
        data: The record's data as stored.

    Raises:
        SettingsError: The record is not valid.
    """
    try:
        return msgspec.msgpack.decode(data, type=SettingsRecord)
    except msgspec.DecodeError as error:
        raise SettingsError(
            f"version {version} is not a settings record: {error}", step="settings.decode"
        ) from error


def tree_of(version: int, data: bytes) -> TreeSettings:
    """Returns the tree that a record puts into force, as a node reads it.

    Args:
        version: Version of the record, named in errors.
        data: The record's data as stored.

    Raises:
        SettingsError: The record or its tree is not valid.
    """
    text = decode_settings(version, data).text
    return parse_tree(text, f"settings version {version}", ignore_unknown=True)


class SettingsHistory:
    """Reads the accepted versions.

    Args:
        store: The table.
        patience: Bounds repeated attempts.
    """

    def __init__(self, store: TableStore, retries: RetrySchedule) -> None:
        self._log = VersionedLog(store, SETTINGS_LOG)
        self._retries = retries

    def head(self) -> int:
        """Returns the version in force, 0 before the first."""
        return until_definite(self._log.head, self._retries)

    def log_record(self, version: int) -> LogRecord:
        """Returns a stored record.

        Raises:
            RefusedError: There is no such version.
        """
        record = until_definite(lambda: self._log.read(version), self._retries)
        if record is None:
            detail = f"there is no version {version}"
            if version == 0:
                detail = "there are no settings; run `auburnsail settings init`"
            raise RefusedError(detail, step="settings.read")
        return record

    def record(self, version: int) -> SettingsRecord:
        """Returns an accepted version.

        Raises:
            RefusedError: There is no such version.
        """
        return decode_settings(version, self.log_record(version).data)

    def edits_of(self, prefix: str, limit: int) -> Iterator[tuple[int, SettingsRecord, Edit]]:
        """Yields the newest edits at or below a path, the newest first.

        Each record names the version that touched a value last, so that this reads two records
        per edit and not the whole log.

        Args:
            prefix: Path in the document, empty for all.
            limit: Number of edits.
        """
        head = self.head()
        origins = self.record(head).origins
        pending = [(-v, path) for path, v in origins.items() if _is_below(path, prefix)]
        heapq.heapify(pending)
        cache: dict[int, SettingsRecord] = {}
        for _ in range(min(limit, MOST_EDITS)):
            if not pending:
                return
            negative, path = heapq.heappop(pending)
            version = -negative
            for wanted in (version, version - 1):
                if wanted and wanted not in cache:
                    cache[wanted] = self.record(wanted)
            edit = next(e for e in cache[version].edits if path_text(e.path) == path)
            yield version, cache[version], edit
            earlier = cache[version - 1].origins.get(path) if version > 1 else None
            if earlier:
                heapq.heappush(pending, (-earlier, path))

    def records_after(self, version: int) -> list[tuple[int, SettingsRecord]]:
        """Returns all versions that follow one."""
        found: list[tuple[int, SettingsRecord]] = []
        while True:
            after = found[-1][0] if found else version
            records = until_definite(lambda after=after: self._log.read_after(after), self._retries)
            if not records:
                return found
            found += [
                (record.version, decode_settings(record.version, record.data)) for record in records
            ]


def _is_below(path: str, prefix: str) -> bool:
    return not prefix or f"{path}.".startswith(f"{prefix}.")
