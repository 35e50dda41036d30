"""Records of the settings log and read access to its versions."""

import heapq
from collections.abc import Iterator

import msgspec

from ._checked_input import decode_msgpack
from ._digest import blake2s
from ._edits import Edit, format_path
from ._settings import TreeSettings
from ._store import TableStore
from ._store_retry import RetrySchedule, until_definite
from ._tree import parse_tree
from ._versioned_log import LogRecord, VersionedLog
from .exceptions import InvalidInputError, RefusedError, SettingsError

__all__ = [
    "SETTINGS_LOG",
    "SettingsHistory",
    "SettingsRecord",
    "decode_record",
    "decode_tree",
    "record_digest",
]

SETTINGS_LOG = "settings"
DIGEST_BYTES = 16
MAX_EDITS = 10_000


class SettingsRecord(msgspec.Struct, frozen=True):
    """One accepted change and the whole tree after it.

    Attributes:
        parent: Digest of the previous record, empty for the first version.
        proposal: Id of the proposal, empty for the first version.
        title: Purpose of the change.
        authors: Operators who wrote the proposal.
        reviewers: Operators who approved it.
        accepted_by: Operator who accepted it.
        accepted_at: UTC time of the acceptance in ISO 8601 format.
        edits: The changed values.
        origins: Version that last changed each value that was ever stated, by path.
        text: The complete tree after the change, JSON with comments.
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


def record_digest(data: bytes) -> bytes:
    """Returns the digest of an encoded record, which the next record stores as its parent."""
    return blake2s(data, digest_size=DIGEST_BYTES).digest()


def decode_record(version: int, data: bytes) -> SettingsRecord:
    """Decodes a record of the settings log.

    Args:
        version: Version of the record, for error messages.
        data: The record's data as stored.

    Raises:
        SettingsError: The record is not valid.
    """
    try:
        return decode_msgpack(data, SettingsRecord, "settings-log")
    except InvalidInputError as error:
        raise SettingsError(
            f"version {version} is not a settings record: {error}", step="settings.decode"
        ) from error


def decode_tree(version: int, data: bytes) -> TreeSettings:
    """Decodes the settings tree of a record as nodes do, ignoring unknown names.

    Args:
        version: Version of the record, for error messages.
        data: The record's data as stored.

    Raises:
        SettingsError: The record or its tree is not valid.
    """
    text = decode_record(version, data).text
    return parse_tree(text, f"settings version {version}", ignore_unknown=True)


class SettingsHistory:
    """Reads the accepted versions of the settings.

    Args:
        store: Table that holds the settings log.
        retries: Limits the attempts of each store operation.
    """

    def __init__(self, store: TableStore, retries: RetrySchedule) -> None:
        self._log = VersionedLog(store, SETTINGS_LOG)
        self._retries = retries

    def head(self) -> int:
        """Returns the number of the version in force, 0 before the first version."""
        return until_definite(self._log.head, self._retries)

    def log_record(self, version: int) -> LogRecord:
        """Returns the encoded record of a version.

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
        """Returns the decoded record of a version.

        Raises:
            RefusedError: There is no such version.
        """
        return decode_record(version, self.log_record(version).data)

    def newest_edits(self, prefix: str, limit: int) -> Iterator[tuple[int, SettingsRecord, Edit]]:
        """Yields the newest edits at or below a path with their version and record, newest first.

        A record's ``origins`` name the version that last changed each value, so this reads at most
        two records per edit instead of the whole log.

        Args:
            prefix: Path in the document, empty for the whole document.
            limit: Maximum number of edits.
        """
        head = self.head()
        origins = self.record(head).origins
        pending = [
            (-version, path) for path, version in origins.items() if _is_at_or_below(path, prefix)
        ]
        heapq.heapify(pending)
        records: dict[int, SettingsRecord] = {}
        for _ in range(min(limit, MAX_EDITS)):
            if not pending:
                return
            negated_version, path = heapq.heappop(pending)
            version = -negated_version
            for needed_version in (version, version - 1):
                if needed_version and needed_version not in records:
                    records[needed_version] = self.record(needed_version)
            edit = next(item for item in records[version].edits if format_path(item.path) == path)
            yield version, records[version], edit
            earlier_version = records[version - 1].origins.get(path) if version > 1 else None
            if earlier_version:
                heapq.heappush(pending, (-earlier_version, path))

    def records_after(self, version: int) -> list[tuple[int, SettingsRecord]]:
        """Returns the number and the record of every version after the given one, oldest first."""
        found: list[tuple[int, SettingsRecord]] = []
        while True:
            after = found[-1][0] if found else version
            records = until_definite(lambda after=after: self._log.read_after(after), self._retries)
            if not records:
                return found
            found += [
                (record.version, decode_record(record.version, record.data)) for record in records
            ]


def _is_at_or_below(path: str, prefix: str) -> bool:
    return not prefix or f"{path}.".startswith(f"{prefix}.")
