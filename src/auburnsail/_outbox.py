"""Collects the effects of one step of the decision code."""

from collections.abc import Iterable

from ._effects import Effect, JournalNote, Post, Send
from ._fleet import FleetState
from ._messages import Codec, Message
from ._model import SessionId

__all__ = ["MAX_ENTRY_BYTES", "Outbox"]

# Larger entries are announced by version only. The datagram limit adds room for the tag, sender
# and counter.
MAX_ENTRY_BYTES = 1200
MAX_DATAGRAM_BYTES = MAX_ENTRY_BYTES + 64


class Outbox:
    """Collects effects in order.

    Args:
        fleet: State of the fleet, for the addresses of sessions.
        codec: Encodes and authenticates messages.
    """

    def __init__(self, fleet: FleetState, codec: Codec) -> None:
        self._fleet = fleet
        self._codec = codec
        self._effects: list[Effect] = []

    def add(self, *effects: Effect) -> None:
        """Adds effects."""
        self._effects.extend(effects)

    def note(self, kind: str, reason: str, **facts: object) -> None:
        """Adds a decision and its reason for the journal."""
        self._effects.append(JournalNote(kind, reason, facts))

    def send(self, address: str, message: Message) -> None:
        """Sends a message to an address, over control HTTP if it exceeds the datagram limit."""
        data = self._codec.encode(message)
        is_small = len(data) <= MAX_DATAGRAM_BYTES
        self._effects.append(Send(address, data) if is_small else Post(address, data))

    def send_to(self, sessions: Iterable[SessionId], message: Message, exclude: str = "") -> None:
        """Sends a message to those of the sessions that are open.

        Args:
            sessions: Ids of the receivers.
            message: The message to send.
            exclude: Control address that receives no copy.
        """
        for session_id in sessions:
            row = self._fleet.sessions.get(session_id)
            if row is not None and row.session.control_address != exclude:
                self.send(row.session.control_address, message)

    def drain(self) -> list[Effect]:
        """Returns and clears the effects."""
        effects, self._effects = self._effects, []
        return effects
