"""Order of the announcements of a local upstream, which may arrive late. No I/O."""

from ._clock import NS_PER_MS
from ._control import Announcement
from ._departures import Departures

__all__ = ["ANNOUNCEMENT_TIMEOUT_MS", "ReportOrder"]

# Upstreams announce themselves every second; the loss of two announcements must not move keys.
ANNOUNCEMENT_TIMEOUT_MS = 2000
# A report that is late is a few reports behind the latest one, never this many.
MAX_REPORTS_BEHIND = 1_000
# Reports arrive seconds late, so only the newest lifetimes matter.
MAX_SUPERSEDED = 16


class ReportOrder:
    """Tells announcements that are news from those that are outdated.

    Args:
        departures: Lifetimes that leave; none of them replaces one that came after it.

    Attributes:
        logged_born_ms: Start in Unix milliseconds of the lifetime that the fleet log names; before
            the first announcement, those of earlier lifetimes are outdated.
    """

    def __init__(self, departures: Departures) -> None:
        self._departures = departures
        self._latest: Announcement | None = None
        self._rejected: Announcement | None = None
        self._superseded: list[str] = []
        self._has_ended = False
        self._accepted_ns = 0
        self.logged_born_ms = 0

    @property
    def latest(self) -> Announcement | None:
        """The latest announcement, None before the first one."""
        return self._latest

    @property
    def accepted_ns(self) -> int:
        """When the latest announcement arrived, in nanoseconds."""
        return self._accepted_ns

    def accept(self, announcement: Announcement, now_ns: int) -> None:
        """Makes an announcement the latest one."""
        if self._latest is not None and self._latest.lifetime != announcement.lifetime:
            self._superseded = [*self._superseded, self._latest.lifetime][-MAX_SUPERSEDED:]
        self._latest, self._accepted_ns = announcement, now_ns
        self._rejected, self._has_ended = None, False

    def end_lifetime(self) -> None:
        """Records that the process of the latest announcement has ended."""
        self._has_ended = True

    def is_outdated(self, announcement: Announcement, now_ns: int) -> bool:
        """Returns whether an announcement is older than the latest one."""
        latest = self._latest
        if not announcement.born_ms:
            return False
        if latest is None:
            if announcement.born_ms >= self.logged_born_ms:
                return False
        elif announcement.lifetime == latest.lifetime:
            if latest.sequence - announcement.sequence < MAX_REPORTS_BEHIND:
                return announcement.sequence <= latest.sequence
        elif (
            announcement.lifetime in self._superseded and announcement.lifetime in self._departures
        ):
            return True
        elif announcement.born_ms >= latest.born_ms:
            return False
        return not self._replaces_later(announcement, now_ns)

    def _replaces_later(self, announcement: Announcement, now_ns: int) -> bool:
        """Returns whether reports that look far too old come from the upstream that runs now.

        The time of day may have jumped back between the starts of two lifetimes, or another writer
        sent a report with a start time or a number far too high. A late report comes once, and
        while it comes the latest lifetime still reports.
        """
        previous, self._rejected = self._rejected, announcement
        is_silent = now_ns - self._accepted_ns > ANNOUNCEMENT_TIMEOUT_MS * NS_PER_MS
        return (
            (is_silent or self._has_ended)
            and previous is not None
            and previous.lifetime == announcement.lifetime
            and previous.sequence < announcement.sequence
        )
