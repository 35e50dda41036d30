"""Membership and ownership facts: sessions, log commands and log entries.

The log is read from the store and from peers, so its records are msgspec structs, which validate
on decoding.
"""

import msgspec

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
    "Session",
    "SessionId",
    "SetWatchers",
    "Succeed",
    "Transfer",
    "decode_entry",
    "encode_entry",
]


class SessionId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One incarnation of a node.

    Attributes:
        node: The node's name from its settings.
        incarnation: A number that no other start of the node uses.
    """

    node: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.node}#{self.incarnation}"


class Session(msgspec.Struct, frozen=True):
    """What the fleet knows of one session.

    Attributes:
        id: The session's identity.
        region: Region of the VM.
        domain: Failure domain of the VM.
        data_address: ``ip:port`` that serves requests.
        control_address: ``ip:port`` of the control HTTP server and the UDP socket.
        service: The service that the upstream beside the node belongs to.
        slots: Places for concurrent work at the upstream.
        watchers: Sessions that acknowledge this session's lease.
        lifetime: Identifies one life of the upstream, empty if the upstream does not say. What an
            upstream holds ends with its life.
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


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """A watcher's statement that it sealed a session after a full lease of silence."""

    watcher: SessionId
    silent_ms: int


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Shards that go to one session, each at its next epoch."""

    to: SessionId
    shards: tuple[int, ...]


class Join(msgspec.Struct, frozen=True, tag="join"):
    """Opens a session."""

    id: str
    session: Session


class SetWatchers(msgspec.Struct, frozen=True, tag="watchers"):
    """Replaces a session's watchers if its revision is still the expected one."""

    id: str
    session: SessionId
    expected: int
    watchers: tuple[SessionId, ...]


class Close(msgspec.Struct, frozen=True, tag="close"):
    """Ends a session that two of its watchers sealed and gives its shards away."""

    id: str
    session: SessionId
    evidence: tuple[Evidence, ...]
    grants: tuple[Grant, ...] = ()


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """Ends a session at its holder's request."""

    id: str
    session: SessionId


class Succeed(msgspec.Struct, frozen=True, tag="succeed"):
    """Ends a session whose address a newer process of the same node holds."""

    id: str
    old: SessionId
    new: SessionId
    control_address: str
    grants: tuple[Grant, ...] = ()


class Resume(msgspec.Struct, frozen=True, tag="resume"):
    """Puts a node's new session in the place of its older one.

    The shards stay where they are if the upstream still serves the same service: with their epochs
    if it lives on, at new epochs if it is another life of it.
    """

    id: str
    old: SessionId
    session: Session


class DeclareLost(msgspec.Struct, frozen=True, tag="lost"):
    """Ends a session at an operator's word."""

    id: str
    session: SessionId
    operator: str
    grants: tuple[Grant, ...] = ()


class Handover(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream returned for a range of keys that it released."""

    first: int
    last: int
    token: str


class Transfer(msgspec.Struct, frozen=True, tag="transfer"):
    """Moves shards that their owner has drained.

    The epochs tie the command to one period of ownership: a copy that reaches the log late must
    not move shards that have come back to the same owner, which serves them again. The handovers are
    what the upstream returned when it released the keys; the next one needs them to start warm.
    """

    id: str
    service: str
    source: SessionId
    target: SessionId
    shards: tuple[int, ...]
    epochs: tuple[int, ...]
    handovers: tuple[Handover, ...] = ()


class Assign(msgspec.Struct, frozen=True, tag="assign"):
    """Gives unowned shards an owner.

    The number of shards is part of the command, so that the fold depends on the log alone and not
    on the settings version that a node happens to have.
    """

    id: str
    service: str
    grants: tuple[Grant, ...]
    shards: int


Command = Join | SetWatchers | Close | Leave | Succeed | Resume | DeclareLost | Transfer | Assign


class Entry(msgspec.Struct, frozen=True):
    """One record of the fleet log.

    Attributes:
        version: Position in the log, from 1.
        parent: Digest of the entry before.
        id: Identifies the append attempt, so that a lost answer can be settled.
        commands: Applied in order.
    """

    version: int
    parent: bytes
    id: str
    commands: tuple[Command, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Entry)


def encode_entry(entry: Entry) -> bytes:
    """Returns the stored form of an entry."""
    return _ENCODER.encode(entry)


def decode_entry(data: bytes) -> Entry:
    """Returns the entry from its stored form.

    Raises:
        msgspec.DecodeError: The bytes are not a valid entry.
    """
    return _DECODER.decode(data)
