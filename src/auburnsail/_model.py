"""Sessions, and the commands and entries of the fleet log.

Entries arrive from the store and from peers. They are msgspec structs, which validate on decoding.
"""

import msgspec

from ._checked_input import decode_msgpack

__all__ = [
    "Assign",
    "Close",
    "Command",
    "DeclareLost",
    "Entry",
    "Evidence",
    "Grant",
    "Handover",
    "Join",
    "Leave",
    "Resume",
    "Retire",
    "Session",
    "SessionId",
    "SetWatchers",
    "Succeed",
    "Transfer",
    "decode_entry",
    "encode_entry",
]


class SessionId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identity of one incarnation of a node.

    Attributes:
        node: Name of the node from its settings.
        incarnation: A number that is unique among the starts of the node.
    """

    node: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.node}#{self.incarnation}"


class Session(msgspec.Struct, frozen=True):
    """A node's membership of the fleet, as the fleet log records it.

    Attributes:
        id: The session's identity.
        region: Region of the VM.
        domain: Failure domain of the VM.
        data_address: ``ip:port`` that serves requests.
        control_address: ``ip:port`` of the control HTTP server and the UDP socket.
        service: Service of the local upstream, empty if the node only routes.
        slots: Number of requests that the upstream serves concurrently, 0 if it leaves.
        watchers: Sessions that acknowledge this session's lease.
        lifetime: Identifies the running process of the upstream, empty if the upstream reports
            none. An upstream's holds end with its process.
    """

    id: SessionId
    region: str
    domain: str
    data_address: str
    control_address: str
    service: str
    slots: int
    watchers: tuple[SessionId, ...] = ()
    lifetime: str = ""

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream has said that it leaves: it gets no new requests and no shards."""
        return bool(self.lifetime) and not self.slots


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """A watcher's statement that it sealed a session that was silent for longer than a lease."""

    watcher: SessionId
    silent_ms: int


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Shards assigned to one session, each at a new epoch."""

    to: SessionId
    shards: tuple[int, ...]


class Join(msgspec.Struct, frozen=True, tag="join"):
    """Opens a session."""

    id: str
    session: Session


class SetWatchers(msgspec.Struct, frozen=True, tag="watchers"):
    """Replaces a session's watchers, provided that the session has the expected revision."""

    id: str
    session: SessionId
    expected: int
    watchers: tuple[SessionId, ...]


class Close(msgspec.Struct, frozen=True, tag="close"):
    """Ends a session that a quorum of its watchers sealed, and reassigns its shards."""

    id: str
    session: SessionId
    evidence: tuple[Evidence, ...]
    grants: tuple[Grant, ...] = ()


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """Ends a session at its holder's request."""

    id: str
    session: SessionId


class Succeed(msgspec.Struct, frozen=True, tag="succeed"):
    """Ends a session whose control address a newer process of the same node holds."""

    id: str
    old: SessionId
    new: SessionId
    control_address: str
    grants: tuple[Grant, ...] = ()


class Resume(msgspec.Struct, frozen=True, tag="resume"):
    """Replaces a node's session by a newer one.

    If the upstream serves the same service, the new session keeps the shards: at the same epochs if
    the upstream process is the same, at new epochs if it has restarted. Otherwise the shards become
    unowned.
    """

    id: str
    old: SessionId
    session: Session


class Retire(msgspec.Struct, frozen=True, tag="retire"):
    """Records that the upstream of a node has said that it leaves.

    It names the lifetime and not the session, so that it takes effect also if a new process of the
    node has replaced the session meanwhile.
    """

    id: str
    node: str
    lifetime: str


class DeclareLost(msgspec.Struct, frozen=True, tag="lost"):
    """Ends a session that an operator declared lost."""

    id: str
    session: SessionId
    operator: str
    grants: tuple[Grant, ...] = ()


class Handover(msgspec.Struct, frozen=True, array_like=True):
    """The token that an upstream returned when it released a range of keys."""

    first: int
    last: int
    token: str


class Transfer(msgspec.Struct, frozen=True, tag="transfer"):
    """Moves shards that their owner has drained to another session.

    The epochs bind the command to one period of ownership: a delayed copy must not move shards that
    have since returned to the same owner and are being served again. The handovers let the next
    upstream start with a warm cache.
    """

    id: str
    service: str
    source: SessionId
    target: SessionId
    shards: tuple[int, ...]
    epochs: tuple[int, ...]
    handovers: tuple[Handover, ...] = ()


class Assign(msgspec.Struct, frozen=True, tag="assign"):
    """Assigns owners to unowned shards.

    The command contains the number of shards so that the resulting state depends on the log only,
    not on the settings version of the node that applies it.
    """

    id: str
    service: str
    grants: tuple[Grant, ...]
    shards: int


Command = (
    Join | SetWatchers | Close | Leave | Succeed | Resume | Retire | DeclareLost | Transfer | Assign
)


class Entry(msgspec.Struct, frozen=True):
    """One record of the fleet log.

    Attributes:
        version: Position in the log, from 1.
        parent: Digest of the previous entry.
        id: Identifies the append attempt; after a lost reply, reading the log shows whether this
            attempt succeeded.
        commands: Commands in the order in which they apply.
    """

    version: int
    parent: bytes
    id: str
    commands: tuple[Command, ...]


_ENCODER = msgspec.msgpack.Encoder()


def encode_entry(entry: Entry) -> bytes:
    """Returns an entry as MessagePack bytes."""
    return _ENCODER.encode(entry)


def decode_entry(data: bytes) -> Entry:
    """Returns the entry that `encode_entry` encoded.

    Raises:
        InvalidInputError: The bytes are not a valid entry.
    """
    return decode_msgpack(data, Entry, "fleet-entry")
