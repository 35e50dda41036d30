"""Messages between nodes: msgpack with an authentication tag and a replay window."""

from collections import Counter, OrderedDict
from dataclasses import dataclass

import msgspec

from ._digest import blake2s, same_digest
from ._model import Command, SessionId
from ._quarantine import CrashNotice

__all__ = [
    "Ack",
    "Codec",
    "Message",
    "ProposalQueued",
    "Propose",
    "Push",
    "Renewal",
    "SealNotice",
    "SilenceQuery",
    "SilenceReport",
    "Versions",
]

TAG_BYTES = 16
REPLAY_WINDOW_BITS = 64
MAX_SENDERS = 8192


class Renewal(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A holder asks a watcher to acknowledge its lease."""

    holder: SessionId
    watcher: SessionId
    sent_ns: int
    fleet: int
    settings: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A watcher's reply to a renewal; it echoes the send time on the holder's clock."""

    holder: SessionId
    watcher: SessionId
    echo_ns: int
    sealed: bool
    fleet: int
    settings: int


class SilenceQuery(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A watcher asks another watcher how long a holder has been silent."""

    holder: SessionId
    asker: SessionId


class SilenceReport(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Silence of a holder in ms; -1 if the sender does not watch it or has sealed it."""

    holder: SessionId
    watcher: SessionId
    silent_ms: int


class SealNotice(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The sender has sealed a session."""

    holder: SessionId
    watcher: SessionId
    silent_ms: int


class Propose(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Commands for the recorder to append in one entry."""

    id: str
    reply_to: str
    commands: tuple[Command, ...]


class ProposalQueued(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The recorder has queued a proposal."""

    id: str


class Push(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A new entry of the fleet log."""

    entry: bytes


class Versions(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The sender's versions of the fleet log and the settings log."""

    fleet: int
    settings: int


Message = (
    Renewal
    | Ack
    | SilenceQuery
    | SilenceReport
    | SealNotice
    | Propose
    | ProposalQueued
    | Push
    | Versions
    | CrashNotice
)


class _Packet(msgspec.Struct, frozen=True, array_like=True):
    sender: int
    counter: int
    message: Message


@dataclass(slots=True)
class _ReplayWindow:
    newest: int
    seen_bits: int

    def admit(self, counter: int) -> bool:
        ahead = counter - self.newest
        if ahead > 0:
            self.seen_bits = ((self.seen_bits << min(ahead, REPLAY_WINDOW_BITS)) | 1) & (
                (1 << REPLAY_WINDOW_BITS) - 1
            )
            self.newest = counter
            return True
        bit = 1 << -ahead
        if -ahead >= REPLAY_WINDOW_BITS or self.seen_bits & bit:
            return False
        self.seen_bits |= bit
        return True


class Codec:
    """Encodes, authenticates and decodes messages.

    Args:
        secret: The fleet's shared secret.
        sender: A number that no other process start of any node uses.

    Attributes:
        rejected: Number of rejected messages by cause: ``tag``, ``format`` or ``replay``.
    """

    def __init__(self, secret: str, sender: int) -> None:
        self._key = blake2s(secret.encode()).digest()
        self._sender = sender
        self._counter = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_Packet)
        self._windows: OrderedDict[int, _ReplayWindow] = OrderedDict()
        self.rejected: Counter[str] = Counter()

    def encode(self, message: Message) -> bytes:
        """Returns a message as a datagram with its authentication tag."""
        self._counter += 1
        body = self._encoder.encode(_Packet(self._sender, self._counter, message))
        return self._tag(body) + body

    def decode(self, data: bytes) -> Message | None:
        """Returns the message, or None for a rejected datagram, which is counted by cause."""
        body = data[TAG_BYTES:]
        if not body or not same_digest(self._tag(body), data[:TAG_BYTES]):
            self.rejected["tag"] += 1
            return None
        try:
            packet = self._decoder.decode(body)
        # Deeply nested data raises RecursionError.
        except (msgspec.MsgspecError, RecursionError):
            self.rejected["format"] += 1
            return None
        if not self._admit(packet.sender, packet.counter):
            self.rejected["replay"] += 1
            return None
        return packet.message

    def sign(self, body: bytes) -> bytes:
        """Returns a control HTTP body with its authentication tag."""
        return self._tag(body) + body

    def verify(self, data: bytes) -> bytes | None:
        """Returns a control HTTP body without its tag, or None if the tag is invalid."""
        body = data[TAG_BYTES:]
        if not same_digest(self._tag(body), data[:TAG_BYTES]):
            self.rejected["tag"] += 1
            return None
        return body

    def _tag(self, body: bytes) -> bytes:
        return blake2s(body, key=self._key, digest_size=TAG_BYTES).digest()

    def _admit(self, sender: int, counter: int) -> bool:
        window = self._windows.get(sender)
        if window is None:
            while len(self._windows) >= MAX_SENDERS:
                self._windows.popitem(last=False)
            self._windows[sender] = _ReplayWindow(counter, 1)
            return True
        self._windows.move_to_end(sender)
        return window.admit(counter)
