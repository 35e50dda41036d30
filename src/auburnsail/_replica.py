"""A node's copy of the fleet log and the settings log, and the fetches that update it. No I/O."""

import random

from ._clock import NS_PER_MS
from ._effects import FetchLog
from ._fleet import CommandResult, FleetState
from ._log_follower import FleetFollower, LogFetcher, SettingsFollower
from ._model import Close, Entry, Join, Resume, SessionId, Transfer

__all__ = ["Replica", "affected_sessions", "closes_session"]

# Peers state their versions in each renewal and each acknowledgement, so a poll only guards against
# a fault of that exchange.
POLL_INTERVAL_MS = 120_000
# Interval of the nodes that poll for the whole fleet, and of a node that has found no entry yet and
# so knows no peer.
FREQUENT_POLL_INTERVAL_MS = 1_000
# Interval of a node that peers may not notify of new versions.
DETACHED_POLL_INTERVAL_MS = 2_000

Records = list[tuple[int, bytes]]
AppliedEntry = tuple[Entry, list[CommandResult]]


class Replica:
    """The local copy of the fleet log and the settings log.

    Args:
        fleet: State of the fleet that entries are applied to.
        rng: Source of randomness for the jitter of polls.

    Attributes:
        polls_settings: Whether polls of the store also fetch the settings.
    """

    def __init__(self, fleet: FleetState, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._entries = FleetFollower(fleet)
        self._settings = SettingsFollower()
        self._last_poll_ns: int | None = None
        self._poll_jitter = 1.0
        self.polls_settings = True

    @property
    def versions(self) -> tuple[int, int]:
        """Local versions of the fleet log and the settings log."""
        return self._fleet.version, self._settings.version

    @property
    def is_up_to_date(self) -> bool:
        """Whether no peer has reported a newer fleet version."""
        return self._entries.fetcher.newest <= self._fleet.version

    @property
    def settings_version(self) -> int:
        """Version of the newest settings record."""
        return self._settings.version

    @property
    def settings_data(self) -> bytes:
        """The newest settings record."""
        return self._settings.data

    def entries_after(self, version: int) -> list[bytes] | None:
        """Returns the fleet log's entries after a version, or None if some are no longer kept."""
        return self._entries.entries_after(version)

    def settings_age_ns(self, now_ns: int) -> int:
        """Returns the time in nanoseconds since the newest settings version was first reported."""
        reported_ns = self._settings.fetcher.newest_ns
        return now_ns - reported_ns if reported_ns else 0

    def record_versions(self, fleet: int, settings: int, address: str, now_ns: int) -> None:
        """Records the versions that a peer has."""
        if fleet > self._fleet.version:
            self._entries.fetcher.record_version(fleet, address, now_ns)
        if settings > self._settings.version:
            self._settings.fetcher.record_version(settings, address, now_ns)

    def request_store_fetch(self) -> None:
        """Requests a fetch of the fleet log from the store."""
        self._entries.fetcher.request_from("")

    def offer(self, data: bytes, address: str, position: int = 0) -> AppliedEntry | None:
        """Applies an entry if it directly follows the local version; see `FleetFollower.offer`."""
        return self._entries.offer(data, address, position)

    def finish_entries_fetch(self, records: Records | None, address: str, now_ns: int) -> None:
        """Completes a fetch of the fleet log; the caller has passed its entries to `offer`."""
        _finish_fetch(self._entries.fetcher, records, address, self._fleet.version, now_ns)

    def finish_settings_fetch(self, records: Records | None, address: str, now_ns: int) -> bool:
        """Completes a fetch of the settings log; returns whether it contained a newer version."""
        changed = [self._settings.offer(version, data, now_ns) for version, data in records or ()]
        _finish_fetch(self._settings.fetcher, records, address, self._settings.version, now_ns)
        return any(changed)

    def poll_now(self) -> None:
        """Makes the next poll due immediately."""
        self._last_poll_ns = None

    def poll_due(self, now_ns: int, *, for_fleet: bool = False, is_detached: bool = False) -> bool:
        """Returns whether a poll is due.

        Args:
            now_ns: The current time in nanoseconds.
            for_fleet: Whether this node polls for the whole fleet.
            is_detached: Whether peers may not notify this node of new versions.
        """
        if self._last_poll_ns is None:
            return True
        interval_ms = self._poll_interval_ms(for_fleet, is_detached)
        interval_ns = interval_ms * self._poll_jitter * NS_PER_MS
        return now_ns - self._last_poll_ns >= interval_ns

    def poll(self, now_ns: int, address: str) -> None:
        """Requests a fetch of both logs, even if no peer reported a newer version.

        Args:
            now_ns: The current time in nanoseconds.
            address: Address of the peer to query, empty for the store.
        """
        self._last_poll_ns = now_ns
        self._poll_jitter = self._rng.uniform(0.75, 1.0)
        self._entries.fetcher.request_from(address)
        if address or self.polls_settings:
            self._settings.fetcher.request_from(address)

    def due_fetches(self, now_ns: int) -> list[FetchLog]:
        """Returns the fetches to start now."""
        fetchers = (self._entries.fetcher, self._settings.fetcher)
        due = (
            fetcher.due(local_version, now_ns)
            for fetcher, local_version in zip(fetchers, self.versions, strict=True)
        )
        return [fetch for fetch in due if fetch is not None]

    def _poll_interval_ms(self, for_fleet: bool, is_detached: bool) -> int:
        if for_fleet or not self._fleet.version:
            return FREQUENT_POLL_INTERVAL_MS
        return DETACHED_POLL_INTERVAL_MS if is_detached else POLL_INTERVAL_MS


def _finish_fetch(
    fetcher: LogFetcher, records: Records | None, address: str, local_version: int, now_ns: int
) -> None:
    succeeded = records is not None and (
        not address or bool(records) or fetcher.newest <= local_version
    )
    fetcher.finish(address, succeeded, local_version, now_ns)


def affected_sessions(results: list[CommandResult]) -> set[SessionId]:
    """Returns the sessions that an entry opens or grants shards to."""
    affected = set()
    for result in results:
        affected.update(grant.to for grant in getattr(result.command, "grants", ()))
        match result.command:
            case Transfer(target=target):
                affected.add(target)
            case Join(session=session) | Resume(session=session):
                affected.add(session.id)
    return affected


def closes_session(results: list[CommandResult], session: SessionId | None) -> bool:
    """Returns whether an entry applied a `Close` command to a session."""
    return any(
        isinstance(result.command, Close) and result.applied and result.command.session == session
        for result in results
    )
