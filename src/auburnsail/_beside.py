"""The upstream beside a node: what it announces, and what follows when it leaves or is lost."""

import gevent

from ._clock import NS_PER_MS, Clock
from ._control import Announcement
from ._fleet import FleetState
from ._journal import Journal
from ._membership import Membership
from ._moves import Mover
from ._sockets import accepts

__all__ = ["UpstreamBeside"]

# Upstreams announce themselves every second; two lost announcements are no reason to move.
ANNOUNCE_SLACK_MS = 2000
# A node joins without an upstream if none has announced itself for this long after the start.
ROUTE_ONLY_AFTER_MS = 2000
PROBE_EVERY_MS = 100


class UpstreamBeside:
    """Keeps the node's session in step with its upstream.

    Args:
        membership: This node's part in the fleet.
        mover: Moves shards away.
        fleet: State of the fleet.
        journal: Receives decisions.
        clock: Source of time.
    """

    def __init__(
        self,
        membership: Membership,
        mover: Mover,
        fleet: FleetState,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self._session = membership.session
        self._mover = mover
        self._fleet = fleet
        self._journal = journal
        self._clock = clock
        self._announcement: Announcement | None = None
        self._announced_ns = 0
        self._started_ns = clock.now_ns()
        self._refuses = False
        self._next_probe_ns = 0
        self.lost_after_ms = 1000

    @property
    def announcement(self) -> Announcement | None:
        """What the upstream announced last, None if it is lost."""
        return self._announcement

    def address(self) -> str | None:
        """Returns the upstream's address, or None without an upstream."""
        return self._announcement.address if self._announcement else None

    def announce(self, announcement: Announcement) -> bool:
        """Takes an announcement; an upstream that refused connections has to accept one first.

        Returns:
            Whether the announcement counts.
        """
        if self._refuses and not accepts(announcement.address):
            return False
        self._refuses = False
        self._announcement = announcement
        self._announced_ns = self._clock.now_ns()
        if announcement.state == "draining":
            self._mover.drain("upstream announced a drain", stopping=False)
        return True

    def on_failed_attempt(self) -> None:
        """Checks soon whether the upstream still accepts connections."""
        now_ns = self._clock.now_ns()
        if self._announcement is not None and now_ns >= self._next_probe_ns:
            self._next_probe_ns = now_ns + PROBE_EVERY_MS * NS_PER_MS
            gevent.spawn(self._probe, self._announcement.address)

    def follow(self, now_ns: int) -> None:
        """States what the session should be, and drains one that states something else."""
        announcement = self._announcement
        limit_ns = (ANNOUNCE_SLACK_MS + self.lost_after_ms) * NS_PER_MS
        if announcement is not None and now_ns - self._announced_ns > limit_ns:
            self._lose("upstream does not announce itself")
            announcement = None
        if announcement is not None and announcement.state != "draining":
            self._session.want(announcement.service, announcement.slots)
        elif now_ns - self._started_ns > ROUTE_ONLY_AFTER_MS * NS_PER_MS:
            self._session.want("", 0)
        if self._session.differs(self._fleet):
            self._mover.drain("the upstream changed or is lost", stopping=False)

    def _probe(self, address: str) -> None:
        if not accepts(address) and address == self.address():
            self._refuses = True
            self._lose("upstream refuses connections")

    def _lose(self, reason: str) -> None:
        self._announcement = None
        self._journal.record("upstream", reason)
