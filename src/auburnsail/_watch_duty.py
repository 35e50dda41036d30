"""Which sessions this node's session watches, as the fleet log says. No I/O."""

from . import _rules
from ._fleet import FleetState
from ._model import SessionId
from ._watch import Watcher

__all__ = ["WatchDuty"]


class WatchDuty:
    """Keeps the watcher in step with the log.

    Args:
        fleet: State of the fleet.

    Attributes:
        watcher: The watcher of the node's open session, None without one.
    """

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self.watcher: Watcher | None = None

    def follow_own(self, own_id: SessionId | None, now_ns: int) -> None:
        """Follows the node's own session; another session is another watcher."""
        if own_id is None:
            self.watcher = None
        elif self.watcher is None or self.watcher.session != own_id:
            self.watcher = Watcher(own_id)
            for holder in self._fleet.sessions:
                self.follow(holder, now_ns)

    def follow(self, holder: SessionId, now_ns: int) -> None:
        """Follows the watchers that a holder names."""
        row = self._fleet.sessions.get(holder)
        if self.watcher is None or row is None:
            return
        watchers, own_id = row.session.watchers, self.watcher.session
        if _rules.counts_as_watcher(own_id, watchers):
            self.watcher.name(holder, len(watchers) - 1, now_ns)
        elif seat := next((w for w in watchers if self._fleet.heir(w) == own_id), None):
            self.watcher.name(holder, len(watchers) - 1, now_ns, seat)
        else:
            self.watcher.forget(holder)

    def follow_all(self, now_ns: int) -> None:
        """Follows the whole state after it was replaced."""
        for holder in self.watcher.holders if self.watcher is not None else ():
            if holder not in self._fleet.sessions:
                self.watcher.forget(holder)
        for holder in self._fleet.sessions:
            self.follow(holder, now_ns)

    def forget(self, ended: SessionId) -> None:
        """Drops a session that has ended."""
        if self.watcher is not None:
            self.watcher.forget(ended)

    def others(self, holder: SessionId) -> list[SessionId]:
        """Returns the sessions that watch a holder besides this one, heirs in place of ended ones."""
        row = self._fleet.sessions[holder]
        seat = self.watcher.seat(holder)
        others = [self._fleet.heir(w) or w for w in row.session.watchers if w != seat]
        return [watcher for watcher in others if watcher != self.watcher.session]
