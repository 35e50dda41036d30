"""Decides when shards without an owner are assigned. No I/O."""

from ._clock import NS_PER_MS
from ._fleet import FleetState
from ._model import Assign
from ._shards import NO_OWNER

__all__ = ["Assigner"]

# Shards that never had an owner are assigned once no session has joined for the delay, at the
# latest after the maximum delay.
ASSIGN_DELAY_MS = 1000
MAX_ASSIGN_DELAY_MS = 5000


class Assigner:
    """Schedules assignments; only the first-ranked recorder uses it."""

    def __init__(self) -> None:
        self._last_join_ns = 0
        self._unowned_since_ns: int | None = None

    def on_join(self, now_ns: int) -> None:
        """Restarts the delay after a session joined."""
        self._last_join_ns = now_ns

    def due(self, fleet: FleetState, now_ns: int) -> list[Assign]:
        """Returns the assignments to append now; the recorder fills in the owners."""
        unowned = {
            service: table
            for service, table in fleet.tables.items()
            if table.count(NO_OWNER) and len(table)
        }
        if not unowned:
            self._unowned_since_ns = None
            return []
        if self._unowned_since_ns is None:
            self._unowned_since_ns = now_ns
        services = {
            row.session.service for row in fleet.sessions.values() if not row.session.is_leaving
        }
        joins_settled = now_ns - self._last_join_ns >= ASSIGN_DELAY_MS * NS_PER_MS
        is_overdue = now_ns - self._unowned_since_ns >= MAX_ASSIGN_DELAY_MS * NS_PER_MS
        return [
            Assign(f"assign:{service}", service, (), len(table))
            for service, table in unowned.items()
            if service in services and (joins_settled or is_overdue or any(table.epoch))
        ]
