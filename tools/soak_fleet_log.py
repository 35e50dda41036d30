"""The fleet log in the fake store of a soak run, with rows that another writer left."""

import random

from auburnsail._fleet import FleetState
from auburnsail._model import Entry, decode_entry, encode_entry
from tools.soak_nodes import KEYED_SERVICE, SHARDS

__all__ = ["FleetLog", "new_fleet_state"]

DEEP_ROW = b"\x91" * 200_000
# An entry of a position that no run reaches.
FAR_POSITION = 10**15


def new_fleet_state() -> FleetState:
    """Returns the state of a fleet without sessions."""
    fleet = FleetState()
    fleet.add_service(KEYED_SERVICE, SHARDS)
    return fleet


class FleetLog(list[bytes]):
    """Encoded rows, oldest first; a row is empty if it is no record of the log.

    Attributes:
        foreign_positions: Positions of the rows that another writer left, from 1.
    """

    def __init__(self) -> None:
        super().__init__()
        self._entries: list[Entry] = []
        self._expected_fleet = new_fleet_state()
        self.foreign_positions: list[int] = []

    def rows_after(self, position: int) -> list[tuple[int, bytes]]:
        """Returns positions and contents of the rows that follow a position."""
        return list(enumerate(self[position:], position + 1))

    def entry(self, position: int) -> Entry | None:
        """Returns the entry that nodes must apply at a position, or None if there is no row.

        This is the stored entry; for a row of another writer it is an entry without commands.
        """
        while len(self._entries) < min(position, len(self)):
            next_position = len(self._entries) + 1
            if next_position in self.foreign_positions:
                entry = Entry(next_position, self._digest_before(next_position), "", ())
            else:
                entry = decode_entry(self[next_position - 1])
            self._entries.append(entry)
        return self._entries[position - 1] if position <= len(self) else None

    def append_foreign_row(self, rng: random.Random) -> None:
        """Appends a row that is no entry of its position, as another writer would.

        Args:
            rng: Source of the choice of the row.
        """
        other_position = Entry(FAR_POSITION, "", "x", ())
        self.append(rng.choice((b"", b"\xc1", b"{}", DEEP_ROW, encode_entry(other_position))))
        self.foreign_positions.append(len(self))

    def _digest_before(self, position: int) -> str:
        fleet = self._expected_fleet
        for entry in self._entries[fleet.version : position - 1]:
            fleet.apply(entry)
        return fleet.digest
