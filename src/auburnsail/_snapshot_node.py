"""Connects the snapshots of a node with its fleet state and settings."""

import os
from collections import Counter
from collections.abc import Callable

from ._clock import Clock, Timers
from ._fleet import FleetState
from ._model import SessionId
from ._sections import Logging
from ._settings import NodeSettings, TreeSettings
from ._shards import NO_OWNER
from ._snapshot import FleetView, Measurements, NodeProcess
from ._snapshot_writer import SnapshotWriter
from ._store import ObjectStore
from ._tree import effective

__all__ = ["NodeSnapshots"]

# Maximum delay of a snapshot; requests during the delay count in the interval that has ended.
CHECK_INTERVAL_MS = 250


class NodeSnapshots:
    """Measurements of a node and the writer of their snapshots.

    Args:
        settings: The node's own settings.
        fleet: Replicated state of the fleet, updated as log entries are applied.
        own_id: Returns the id of the node's session, or None without a session.
        clock: Source of elapsed time.
        timers: Timers that trigger the writer.
        objects: Object store for the snapshots.
    """

    def __init__(
        self,
        settings: NodeSettings,
        fleet: FleetState,
        own_id: Callable[[], SessionId | None],
        clock: Clock,
        timers: Timers,
        objects: ObjectStore,
    ) -> None:
        self._fleet = fleet
        self._is_enabled = settings.snapshots
        self._own_id = own_id
        self._process = NodeProcess(
            settings.node, settings.region, settings.domain, os.urandom(4).hex()
        )
        self._interval_s = Logging().snapshot_interval_s
        self._open_sessions: dict[str, int] = {}
        self._open_sessions_version = -1
        self.measurements = Measurements(self._process, clock)
        self._writer = SnapshotWriter(
            self.measurements, objects, self._view, lambda: self._interval_s, clock
        )
        if settings.snapshots:
            timers.subscribe("snapshots", CHECK_INTERVAL_MS, self._writer.tick)

    def status(self) -> dict:
        """Returns the number of pending snapshots and of discarded ones for the status report."""
        return {"snapshots_kept": self._writer.pending, "snapshots_dropped": self._writer.dropped}

    def on_settings(self, tree: TreeSettings) -> None:
        """Sets the interval to the shortest of all services, as a snapshot covers all of them."""
        process = self._process
        self._interval_s = min(
            (
                effective(tree, service, process.region, process.domain).logging.snapshot_interval_s
                for service in tree.services
            ),
            default=Logging().snapshot_interval_s,
        )

    def finish(self) -> None:
        """Writes the last snapshot and all pending ones, if snapshots are enabled."""
        if self._is_enabled:
            self._writer.finish()

    def _view(self) -> FleetView:
        fleet = self._fleet
        if self._open_sessions_version != fleet.version:
            self._open_sessions_version = fleet.version
            sessions = (row.session for row in fleet.sessions.values())
            self._open_sessions = Counter(
                f"{session.region}/{session.domain}" for session in sessions
            )
        own_id = self._own_id()
        row = fleet.sessions.get(own_id) if own_id is not None else None
        return FleetView(
            fleet.version,
            self._open_sessions,
            {service: table.count(NO_OWNER) for service, table in fleet.tables.items()},
            row.session.service if row else "",
            row.session.slots if row else 0,
        )
