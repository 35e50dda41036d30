"""This node's copy of both logs and what has to be fetched to keep it new. No I/O."""

import random

from ._clock import NS_PER_MS
from ._effects import FetchLog
from ._fleet import FleetState, Verdict
from ._gossip import FleetFollower, LogFetcher, SettingsFollower
from ._model import Close, Entry, Join, Resume, SessionId, Transfer

__all__ = ["Replica", "closes_session", "sessions_concerned"]

POLL_STORE_MS = 30_000
POLL_STORE_FIRST_MS = 1000

Records = list[tuple[int, bytes]]
AppliedEntry = tuple[Entry, list[Verdict]]


class Replica:
    """The fleet log and the settings log as this node knows them.

    Args:
        fleet: State of the fleet that entries are applied to.
        rng: Source of randomness for the spread of polls.

    Attributes:
        polls_settings: Whether polls of the store ask for the settings, too.
    """

    def __init__(self, fleet: FleetState, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._entries = FleetFollower(fleet)
        self._settings = SettingsFollower()
        self._next_poll_ns = 0
        self._polled_ns = 0
        self.polls_settings = True

    @property
    def versions(self) -> tuple[int, int]:
        """Versions of the fleet log and the settings log that this node has."""
        return self._fleet.version, self._settings.version

    @property
    def is_newest(self) -> bool:
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
        """Returns entries of the fleet log, or None if they are not kept."""
        return self._entries.after(version)

    def settings_age_ns(self, now_ns: int) -> int:
        """Returns how long ago this node first heard of the newest version of the settings."""
        heard_ns = self._settings.fetcher.newest_ns
        return now_ns - heard_ns if heard_ns else 0

    def hint(self, fleet: int, settings: int, address: str, now_ns: int) -> None:
        """Notes the versions that a peer has."""
        if fleet > self._fleet.version:
            self._entries.fetcher.hint(fleet, address, now_ns)
        if settings > self._settings.version:
            self._settings.fetcher.hint(settings, address, now_ns)

    def ask_store(self) -> None:
        """Makes the next fetch of the fleet log go to the store."""
        self._entries.fetcher.ask("")

    def offer(self, data: bytes, address: str) -> AppliedEntry | None:
        """Applies an entry if it is the next one, see `FleetFollower.offer`."""
        return self._entries.offer(data, address)

    def finish_entries(self, records: Records | None, address: str, now_ns: int) -> None:
        """Ends a fetch of the fleet log whose entries were offered."""
        _finish(self._entries.fetcher, records, address, self._fleet.version, now_ns)

    def take_settings(self, records: Records | None, address: str, now_ns: int) -> bool:
        """Ends a fetch of the settings log; returns whether a newer version came."""
        changed = [self._settings.offer(version, data, now_ns) for version, data in records or ()]
        _finish(self._settings.fetcher, records, address, self._settings.version, now_ns)
        return any(changed)

    def poll_now(self) -> None:
        """Makes the next poll due at once."""
        self._next_poll_ns = 0

    def poll_due(self, now_ns: int, often: bool) -> bool:
        """Whether a poll is due.

        Args:
            now_ns: The current time in nanoseconds.
            often: Whether this node polls on behalf of all others.
        """
        every_ms = POLL_STORE_FIRST_MS if often else POLL_STORE_MS
        # A node that begins to poll for all others does not wait for its own, later turn.
        return now_ns >= min(self._next_poll_ns, self._polled_ns + every_ms * NS_PER_MS)

    def poll(self, now_ns: int, often: bool, address: str) -> None:
        """Asks for both logs, whatever peers reported.

        Args:
            now_ns: The current time in nanoseconds.
            often: Whether this node polls on behalf of all others.
            address: Whom to ask, empty for the store.
        """
        every_ms = POLL_STORE_FIRST_MS if often else POLL_STORE_MS
        spread = self._rng.uniform(0.75, 1.0)
        self._polled_ns = now_ns
        self._next_poll_ns = now_ns + int(every_ms * spread * NS_PER_MS)
        self._entries.fetcher.ask(address)
        if address or self.polls_settings:
            self._settings.fetcher.ask(address)

    def fetches(self, now_ns: int) -> list[FetchLog]:
        """Returns the fetches to start now."""
        fetchers = (self._entries.fetcher, self._settings.fetcher)
        due = (
            fetcher.due(have, now_ns) for fetcher, have in zip(fetchers, self.versions, strict=True)
        )
        return [fetch for fetch in due if fetch is not None]


def _finish(
    fetcher: LogFetcher, records: Records | None, address: str, have: int, now_ns: int
) -> None:
    succeeded = records is not None and (not address or bool(records) or fetcher.newest <= have)
    fetcher.done(address, succeeded, have, now_ns)


def sessions_concerned(verdicts: list[Verdict]) -> set[SessionId]:
    """Returns sessions that an entry opens or gives shards to."""
    concerned = set()
    for verdict in verdicts:
        concerned.update(grant.to for grant in getattr(verdict.command, "grants", ()))
        match verdict.command:
            case Transfer(target=target):
                concerned.add(target)
            case Join(session=session) | Resume(session=session):
                concerned.add(session.id)
    return concerned


def closes_session(verdicts: list[Verdict], session: SessionId | None) -> bool:
    """Whether an entry ended a session by seals."""
    return any(
        isinstance(verdict.command, Close)
        and verdict.applied
        and verdict.command.session == session
        for verdict in verdicts
    )
