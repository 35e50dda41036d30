"""Follows the two versioned logs: what is held, what peers have, what to fetch. No I/O."""

from collections import deque
from dataclasses import dataclass

import msgspec

from ._clock import NS_PER_MS
from ._effects import FetchLog, LogName
from ._fleet import FleetState, Verdict
from ._model import Entry, decode_entry
from .exceptions import InvariantViolation

__all__ = ["FleetFollower", "LogFetcher", "SettingsFollower"]

RECENT_ENTRIES = 512
RECENT_BYTES = 1 << 20
FETCH_TIMEOUT_MS = 3000
FETCH_AGAIN_MS = 100


@dataclass(slots=True)
class LogFetcher:
    """Decides when and from whom to fetch one log.

    Attributes:
        log: Name of the log.
        newest: The newest version that anyone reported.
    """

    log: str
    newest: int = 0
    _source: str = ""
    _busy_until_ns: int = 0
    _next_ns: int = 0
    _asked: str | None = None

    def hint(self, version: int, address: str) -> None:
        """Notes that a peer has a version."""
        if version > self.newest:
            self.newest = version
            self._source = address

    def ask(self, address: str) -> None:
        """Makes the next fetch go to an address, empty for the store, whatever the peers have."""
        self._asked = address

    def due(self, have: int, now_ns: int) -> FetchLog | None:
        """Returns the fetch to start now, if any."""
        behind = self.newest > have
        if now_ns < max(self._busy_until_ns, self._next_ns) or not (
            behind or self._asked is not None
        ):
            return None
        address = self._source if self._asked is None else self._asked
        self._asked = None
        self._busy_until_ns = now_ns + FETCH_TIMEOUT_MS * NS_PER_MS
        return FetchLog(self.log, have, address)

    def done(self, address: str, succeeded: bool, have: int, now_ns: int) -> None:
        """Notes the end of a fetch; the store is asked next if a peer did not help."""
        self._busy_until_ns = 0
        self._next_ns = now_ns + FETCH_AGAIN_MS * NS_PER_MS if not succeeded else 0
        if address and not succeeded and self.newest > have:
            self._asked = ""
        if not address and succeeded and self.newest > have:
            # The store is the authority: a higher version reported by a peer does not exist.
            self.newest = have


class FleetFollower:
    """Applies entries of the fleet log in order and keeps the newest for peers.

    Args:
        fleet: The state that entries are applied to.
    """

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self._recent: deque[tuple[int, bytes]] = deque()
        self._bytes = 0
        self.fetcher = LogFetcher(LogName.FLEET)
        self.rejected = 0

    def after(self, version: int) -> list[bytes] | None:
        """Returns the entries after a version, or None if some are not kept."""
        if version >= self._fleet.version:
            return []
        if not self._recent or self._recent[0][0] > version + 1:
            return None
        return [data for number, data in self._recent if number > version]

    def offer(self, data: bytes, address: str) -> tuple[Entry, list[Verdict]] | None:
        """Applies an entry if it is the next one.

        Args:
            data: The encoded entry.
            address: The peer that sent it; empty for the store or this node's own append.

        Raises:
            InvariantViolation: The log holds two different entries at one version.
        """
        try:
            entry = decode_entry(data)
        except msgspec.DecodeError:
            self.rejected += 1
            return None
        if entry.version > self._fleet.version + 1:
            self.fetcher.hint(entry.version, address)
            return None
        if entry.version <= self._fleet.version:
            self._compare(entry.version, data)
            return None
        verdicts = self._fleet.apply(entry)
        self._keep(entry.version, data)
        return entry, verdicts

    def _compare(self, version: int, data: bytes) -> None:
        if not self._recent or version < self._recent[0][0]:
            return
        if self._recent[version - self._recent[0][0]][1] != data:
            raise InvariantViolation(f"two entries at version {version}", step="fleet.offer")

    def _keep(self, version: int, data: bytes) -> None:
        self._recent.append((version, data))
        self._bytes += len(data)
        while len(self._recent) > RECENT_ENTRIES or self._bytes > RECENT_BYTES:
            self._bytes -= len(self._recent.popleft()[1])


class SettingsFollower:
    """Keeps the newest settings record; versions only increase."""

    def __init__(self) -> None:
        self.fetcher = LogFetcher(LogName.SETTINGS)
        self.version = 0
        self.data = b""

    def offer(self, version: int, data: bytes) -> bool:
        """Takes a record over if it is newer; returns whether it is."""
        if version <= self.version:
            return False
        self.version = version
        self.data = data
        self.fetcher.hint(version, "")
        return True
