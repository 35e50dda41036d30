"""Effects that the decision code requests, and the store's replies to them."""

from dataclasses import dataclass, field
from typing import ClassVar

from ._fleet import CommandResult
from ._model import Entry
from ._quarantine import CrashNotice

__all__ = [
    "Appended",
    "Applied",
    "CrashReported",
    "Effect",
    "FetchLog",
    "JournalNote",
    "LogName",
    "NotWritten",
    "OutcomeUnknown",
    "Post",
    "SaveCheckpoint",
    "Send",
    "SettingsChanged",
    "StoreReply",
    "StoreRequest",
    "Superseded",
]


class LogName:
    """Names of the two logs."""

    FLEET = "fleet"
    SETTINGS = "settings"


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram."""

    address: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Post:
    """Send a message over control HTTP because it is too large for a datagram."""

    address: str
    data: bytes


@dataclass(frozen=True, slots=True)
class StoreRequest:
    """Append to the fleet log if its version is the expected one; the reply carries the ticket."""

    ticket: int
    expected: int
    append_id: str
    data: bytes


@dataclass(frozen=True, slots=True)
class FetchLog:
    """Fetch records after a version from a peer, or from the store if no address is given.

    Attributes:
        log: Name of the log.
        after: The local version.
        address: The peer, empty for the store.
        reason: Why the fetch became due; written to the journal.
        newest: The newest version that a peer reported.
    """

    log: str
    after: int
    address: str
    reason: str = ""
    newest: int = 0


@dataclass(frozen=True, slots=True)
class Applied:
    """An entry was applied to the local state."""

    entry: Entry
    results: list[CommandResult]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """A newer settings version was received."""

    version: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SaveCheckpoint:
    """Write the fleet's state at its current version to the object store."""

    version: int


@dataclass(frozen=True, slots=True)
class CrashReported:
    """Another node reported a crash of an upstream."""

    notice: CrashNotice
    address: str


@dataclass(frozen=True, slots=True)
class JournalNote:
    """Write a decision and its reason to the journal."""

    kind: str
    reason: str
    facts: dict[str, object] = field(default_factory=dict)


Effect = (
    Send
    | Post
    | StoreRequest
    | FetchLog
    | Applied
    | SettingsChanged
    | SaveCheckpoint
    | CrashReported
    | JournalNote
)


@dataclass(frozen=True, slots=True)
class Appended:
    """The entry is in the log."""

    definite: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another entry has this version.

    Attributes:
        records: Positions and contents of the records after the expected version.
    """

    records: tuple[tuple[int, bytes], ...]
    definite: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The reply was lost: the entry may be in the log or may still be written."""

    definite: ClassVar[bool] = False


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The store rejected this attempt; an earlier attempt may still take effect."""

    definite: ClassVar[bool] = False


StoreReply = Appended | Superseded | OutcomeUnknown | NotWritten
