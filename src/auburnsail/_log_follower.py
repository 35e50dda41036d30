"""Replication of the fleet log and the settings log by fetches from peers and store. No I/O."""

from collections import deque
from dataclasses import dataclass, field

from ._checked_input import reject
from ._clock import NS_PER_MS
from ._effects import FetchLog, LogName
from ._fleet import CommandResult, FleetState
from ._model import Entry, decode_entry, encode_entry
from .exceptions import InvalidInputError, InvariantViolation

__all__ = ["FleetFollower", "LogFetcher", "SettingsFollower"]

MAX_RECENT_ENTRIES = 512
MAX_RECENT_BYTES = 1 << 20
# A fetch without a reply no longer counts as outstanding after this time.
FETCH_TIMEOUT_MS = 3000
# Another source is queried after this time, well within the time limits for changes.
SECOND_SOURCE_DELAY_MS = 600
MAX_SOURCES = 3
FETCH_RETRY_DELAY_MS = 100
SOURCE = "fleet-entry"


@dataclass(slots=True)
class LogFetcher:
    """Decides when and from which source to fetch one log.

    An unresponsive peer must not delay the log, so another source is queried while the first fetch
    is still outstanding.

    Attributes:
        log: Name of the log.
        newest: The newest version that any peer reported.
        newest_ns: Time of the first report of that version in nanoseconds.
    """

    log: str
    newest: int = 0
    newest_ns: int = 0
    _sources: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_SOURCES))
    _outstanding: dict[str, int] = field(default_factory=dict)
    _next_fetch_ns: int = 0
    _requested_source: str | None = None

    def record_version(self, version: int, address: str, now_ns: int = 0) -> None:
        """Records that the peer at an address has a version."""
        if version > self.newest:
            self.newest, self.newest_ns = version, now_ns
            # A fetch of this version from a peer that reported an older one would return nothing.
            self._sources.clear()
        if version == self.newest and address not in self._sources:
            self._sources.appendleft(address)

    def request_from(self, address: str) -> None:
        """Requests a fetch from a peer, or the store if empty, even without a newer version."""
        self._requested_source = address

    def due(self, local_version: int, now_ns: int) -> FetchLog | None:
        """Returns the fetch to start now, which then counts as outstanding, or None."""
        behind = self.newest > local_version
        if now_ns < self._next_fetch_ns or not (behind or self._requested_source is not None):
            return None
        oldest_ns = now_ns - FETCH_TIMEOUT_MS * NS_PER_MS
        self._outstanding = {
            address: started_ns
            for address, started_ns in self._outstanding.items()
            if started_ns > oldest_ns
        }
        last_request_ns = max(self._outstanding.values(), default=0)
        if self._outstanding and now_ns - last_request_ns < SECOND_SOURCE_DELAY_MS * NS_PER_MS:
            return None
        reason = "another source is silent" if self._outstanding else "a peer has more"
        if self._requested_source is not None:
            reason = "a source was named"
        address = self._choose_source()
        if address is None:
            return None
        self._outstanding[address] = now_ns
        return FetchLog(self.log, local_version, address, reason, self.newest)

    def finish(self, address: str, succeeded: bool, local_version: int, now_ns: int) -> None:
        """Records the end of a fetch; the store is queried next if the fetch from a peer failed."""
        self._outstanding.pop(address, None)
        if succeeded:
            self._next_fetch_ns = 0
        else:
            self._next_fetch_ns = now_ns + FETCH_RETRY_DELAY_MS * NS_PER_MS
            if address in self._sources:
                self._sources.remove(address)
        if address and not succeeded and self.newest > local_version:
            self._requested_source = ""
        if not address and succeeded and self.newest > local_version:
            # The store is authoritative: a higher version that a peer reported does not exist.
            self.newest = local_version

    def _choose_source(self) -> str | None:
        """Returns a source without an outstanding fetch, empty for the store, or None."""
        requested, self._requested_source = self._requested_source, None
        candidates = [requested] if requested is not None else []
        candidates += [*self._sources, ""]
        return next((address for address in candidates if address not in self._outstanding), None)


class FleetFollower:
    """Applies entries of the fleet log in order and keeps the newest ones for peers to fetch.

    Args:
        fleet: The state that entries are applied to.

    Attributes:
        fetcher: Decides when to fetch the log.
        rejected: Number of entries that could not be decoded, including those passed over.
    """

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self._recent: deque[tuple[int, bytes]] = deque()
        self._recent_bytes = 0
        self.fetcher = LogFetcher(LogName.FLEET)
        self.rejected = 0

    def entries_after(self, version: int) -> list[bytes] | None:
        """Returns the entries after a version, or None if some of them are no longer kept."""
        if version >= self._fleet.version:
            return []
        if not self._recent or self._recent[0][0] > version + 1:
            return None
        return [data for number, data in self._recent if number > version]

    def offer(
        self, data: bytes, address: str, position: int = 0
    ) -> tuple[Entry, list[CommandResult]] | None:
        """Applies an entry if it directly follows the local version.

        Another writer may have taken the next position of the log with data that is no entry of
        this position. No entry can then be appended there, so all nodes apply an entry without
        commands in its place. Peers receive that entry from this node.

        Args:
            data: The encoded entry, empty for a row that is no record of the log.
            address: The peer that sent it; empty for the store or this node's own append.
            position: Position in the store's log at which the data was found, 0 if unknown.

        Returns:
            The entry and the results of its commands, or None if it was not applied.

        Raises:
            InvariantViolation: The log holds two different entries at one version.
        """
        entry = self._decode(data, position)
        if entry is None:
            return None
        if not entry.id:
            data = encode_entry(entry)
        if entry.version > self._fleet.version + 1:
            self.fetcher.record_version(entry.version, address)
            return None
        if entry.version <= self._fleet.version:
            self._check_same_entry(entry.version, data)
            return None
        results = self._fleet.apply(entry)
        self._retain(entry.version, data)
        return entry, results

    def _decode(self, data: bytes, position: int) -> Entry | None:
        if self._has_passed_over(position):
            return None
        try:
            entry = decode_entry(data) if data else None
        except InvalidInputError:
            entry = None
        if entry is not None and position in (0, entry.version):
            return entry
        self.rejected += 1
        if position != self._fleet.version + 1:
            return None
        if entry is not None:
            reject(SOURCE, f"the entry of version {entry.version} is at position {position}", data)
        return Entry(position, self._fleet.digest, "", ())

    def _has_passed_over(self, position: int) -> bool:
        """Whether a row of another writer was passed over at a position, as far as that is kept."""
        if not self._recent or not self._recent[0][0] <= position <= self._recent[-1][0]:
            return False
        return not decode_entry(self._recent[position - self._recent[0][0]][1]).id

    def _check_same_entry(self, version: int, data: bytes) -> None:
        if not self._recent or version < self._recent[0][0]:
            return
        if self._recent[version - self._recent[0][0]][1] != data:
            raise InvariantViolation(
                f"two different entries at version {version} of the fleet log", step="fleet.offer"
            )

    def _retain(self, version: int, data: bytes) -> None:
        self._recent.append((version, data))
        self._recent_bytes += len(data)
        while len(self._recent) > MAX_RECENT_ENTRIES or self._recent_bytes > MAX_RECENT_BYTES:
            self._recent_bytes -= len(self._recent.popleft()[1])


class SettingsFollower:
    """Keeps the newest settings record; the version never decreases.

    Attributes:
        fetcher: Decides when to fetch the log.
        version: Version of the record, 0 before the first one.
        data: The encoded record.
    """

    def __init__(self) -> None:
        self.fetcher = LogFetcher(LogName.SETTINGS)
        self.version = 0
        self.data = b""

    def offer(self, version: int, data: bytes, now_ns: int = 0) -> bool:
        """Stores a record if it is newer; returns whether it was stored."""
        if version <= self.version:
            return False
        self.version = version
        self.data = data
        self.fetcher.record_version(version, "", now_ns)
        return True
