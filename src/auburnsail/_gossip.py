"""Follows the two versioned logs: what is held, what peers have, what to fetch. No I/O."""

from collections import deque
from dataclasses import dataclass, field

import msgspec

from ._clock import NS_PER_MS
from ._effects import FetchLog, LogName
from ._fleet import FleetState, Verdict
from ._model import Entry, decode_entry
from .exceptions import InvariantViolation

__all__ = ["FleetFollower", "LogFetcher", "SettingsFollower"]

RECENT_ENTRIES = 512
RECENT_BYTES = 1 << 20
# A fetch without an answer for this long is given up.
FETCH_TIMEOUT_MS = 3000
# Another source is asked after this time, well within the bounds on changes.
OTHER_SOURCE_MS = 600
SOURCES_KEPT = 3
FETCH_AGAIN_MS = 100


@dataclass(slots=True)
class LogFetcher:
    """Decides when and from whom to fetch one log.

    A peer that does not answer must not hold the log back, so another source is asked while the
    answer of the first one is out.

    Attributes:
        log: Name of the log.
        newest: The newest version that anyone reported.
        newest_ns: When it was reported first.
    """

    log: str
    newest: int = 0
    newest_ns: int = 0
    _sources: deque[str] = field(default_factory=lambda: deque(maxlen=SOURCES_KEPT))
    _outstanding: dict[str, int] = field(default_factory=dict)
    _next_ns: int = 0
    _asked: str | None = None

    def hint(self, version: int, address: str, now_ns: int = 0) -> None:
        """Notes that a peer has a version."""
        if version > self.newest:
            self.newest, self.newest_ns = version, now_ns
        if version == self.newest and address not in self._sources:
            self._sources.appendleft(address)

    def ask(self, address: str) -> None:
        """Makes the next fetch go to an address, empty for the store, whatever the peers have."""
        self._asked = address

    def due(self, have: int, now_ns: int) -> FetchLog | None:
        """Returns the fetch to start now, if any."""
        behind = self.newest > have
        if now_ns < self._next_ns or not (behind or self._asked is not None):
            return None
        limit_ns = now_ns - FETCH_TIMEOUT_MS * NS_PER_MS
        self._outstanding = {a: t for a, t in self._outstanding.items() if t > limit_ns}
        asked_ns = max(self._outstanding.values(), default=0)
        if self._outstanding and now_ns - asked_ns < OTHER_SOURCE_MS * NS_PER_MS:
            return None
        why = "another source is silent" if self._outstanding else "a peer has more"
        if self._asked is not None:
            why = "a source was named"
        address = self._choose()
        if address is None:
            return None
        self._outstanding[address] = now_ns
        return FetchLog(self.log, have, address, why, self.newest)

    def done(self, address: str, succeeded: bool, have: int, now_ns: int) -> None:
        """Notes the end of a fetch; the store is asked next if a peer did not help."""
        self._outstanding.pop(address, None)
        if succeeded:
            self._next_ns = 0
        else:
            self._next_ns = now_ns + FETCH_AGAIN_MS * NS_PER_MS
            if address in self._sources:
                self._sources.remove(address)
        if address and not succeeded and self.newest > have:
            self._asked = ""
        if not address and succeeded and self.newest > have:
            # The store is the authority: a higher version reported by a peer does not exist.
            self.newest = have

    def _choose(self) -> str | None:
        """Returns the next source that owes no answer, empty for the store, None if all do."""
        asked, self._asked = self._asked, None
        candidates = [asked] if asked is not None else []
        candidates += [*self._sources, ""]
        return next((a for a in candidates if a not in self._outstanding), None)


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

    def offer(self, version: int, data: bytes, now_ns: int = 0) -> bool:
        """Takes a record over if it is newer; returns whether it is."""
        if version <= self.version:
            return False
        self.version = version
        self.data = data
        self.fetcher.hint(version, "", now_ns)
        return True
