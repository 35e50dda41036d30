"""Assignment of holders to this node's watcher, derived from the fleet log. No I/O."""

from . import _rules
from ._fleet import FleetState
from ._model import SessionId
from ._watcher import Watcher

__all__ = ["WatchAssignments"]


class WatchAssignments:
    """Updates the watcher when sessions or their watchers change in the log.

    Args:
        fleet: State of the fleet.

    Attributes:
        watcher: The watcher of the node's open session, None if no session is open.
    """

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self.watcher: Watcher | None = None

    def set_own_session(self, own_id: SessionId | None, now_ns: int) -> None:
        """Sets the node's own session; a different session gets a new watcher."""
        if own_id is None:
            self.watcher = None
        elif self.watcher is None or self.watcher.session != own_id:
            self.watcher = Watcher(own_id)
            for holder in self._fleet.sessions:
                self.update_holder(holder, now_ns)

    def update_holder(self, holder: SessionId, now_ns: int) -> None:
        """Adds, updates or removes a holder according to its watchers in the log."""
        row = self._fleet.sessions.get(holder)
        if self.watcher is None or row is None:
            return
        watchers, own_id = row.session.watchers, self.watcher.session
        if _rules.is_watcher(own_id, watchers):
            self.watcher.add_holder(holder, len(watchers) - 1, now_ns)
        elif replaced := next((w for w in watchers if self._fleet.successor(w) == own_id), None):
            self.watcher.add_holder(holder, len(watchers) - 1, now_ns, replaced)
        else:
            self.watcher.remove_holder(holder)

    def update_all(self, now_ns: int) -> None:
        """Updates all holders after the fleet state was replaced."""
        for holder in self.watcher.holders if self.watcher is not None else ():
            if holder not in self._fleet.sessions:
                self.watcher.remove_holder(holder)
        for holder in self._fleet.sessions:
            self.update_holder(holder, now_ns)

    def remove_session(self, ended: SessionId) -> None:
        """Removes a session that has ended."""
        if self.watcher is not None:
            self.watcher.remove_holder(ended)

    def other_watchers(self, holder: SessionId) -> list[SessionId]:
        """Returns a holder's other watchers; ended sessions are replaced by their successors."""
        row = self._fleet.sessions[holder]
        sealing_id = self.watcher.sealing_id(holder)
        others = [self._fleet.successor(w) or w for w in row.session.watchers if w != sealing_id]
        return [watcher for watcher in others if watcher != self.watcher.session]
