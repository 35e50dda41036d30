"""Which sessions this node's session watches, as the fleet log says. No I/O."""

from . import _rules
from ._fleet import FleetState
from ._model import SessionId
from ._watch import Watcher

__all__ = ["WatchAssignments"]


class WatchAssignments:
    """Keeps the watcher in step with the log.

    Args:
        fleet: State of the fleet.

    Attributes:
        watcher: The watcher of the node's open session, None without one.
    """

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self.watcher: Watcher | None = None

    def set_own_session(self, own_id: SessionId | None, now_ns: int) -> None:
        """Follows the node's own session; another session is another watcher."""
        if own_id is None:
            self.watcher = None
        elif self.watcher is None or self.watcher.session != own_id:
            self.watcher = Watcher(own_id)
            for holder in self._fleet.sessions:
                self.update_holder(holder, now_ns)

    def update_holder(self, holder: SessionId, now_ns: int) -> None:
        """Follows the watchers that a holder names."""
        row = self._fleet.sessions.get(holder)
        if self.watcher is None or row is None:
            return
        watchers, own_id = row.session.watchers, self.watcher.session
        if _rules.is_watcher(own_id, watchers):
            self.watcher.name(holder, len(watchers) - 1, now_ns)
        elif watch_id := next((w for w in watchers if self._fleet.successor(w) == own_id), None):
            self.watcher.name(holder, len(watchers) - 1, now_ns, watch_id)
        else:
            self.watcher.forget(holder)

    def update_all(self, now_ns: int) -> None:
        """Follows the whole state after it was replaced."""
        for holder in self.watcher.holders if self.watcher is not None else ():
            if holder not in self._fleet.sessions:
                self.watcher.forget(holder)
        for holder in self._fleet.sessions:
            self.update_holder(holder, now_ns)

    def forget(self, ended: SessionId) -> None:
        """Drops a session that has ended."""
        if self.watcher is not None:
            self.watcher.forget(ended)

    def others(self, holder: SessionId) -> list[SessionId]:
        """Returns the sessions that watch a holder besides this one, heirs in place of ended ones."""
        row = self._fleet.sessions[holder]
        watch_id = self.watcher.watch_id(holder)
        others = [self._fleet.successor(w) or w for w in row.session.watchers if w != watch_id]
        return [watcher for watcher in others if watcher != self.watcher.session]
