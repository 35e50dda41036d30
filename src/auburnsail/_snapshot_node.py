"""Wires the snapshots of a node to its fleet state and settings."""

import os
from collections import Counter
from collections.abc import Callable

from ._clock import Clock, Timers
from ._fleet import FleetState
from ._model import SessionId
from ._sections import Logging
from ._settings import NodeSettings, TreeSettings
from ._shards import NO_OWNER
from ._snapshot import Measurements, Place, View
from ._snapshot_writer import SnapshotWriter
from ._store import ObjectStore
from ._tree import effective

__all__ = ["NodeSnapshots"]

# A cut is late by at most this; the requests of that time count in the interval before.
CHECK_MS = 250


class NodeSnapshots:
    """The measurements of a node and their way to the object store.

    Args:
        settings: The node's own settings.
        fleet: State of the fleet; changes as entries are applied.
        own_id: Returns the node's session, or None.
        clock: Source of elapsed time.
        timers: Calls the writer.
        objects: Where snapshots go.
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
        self._writes = settings.snapshots
        self._own_id = own_id
        self._place = Place(settings.node, settings.region, settings.domain, os.urandom(4).hex())
        self._interval_s = Logging().snapshot_interval_s
        self._nodes: dict[str, int] = {}
        self._nodes_version = -1
        self.measurements = Measurements(self._place, clock)
        self._writer = SnapshotWriter(
            self.measurements, objects, self._view, lambda: self._interval_s, clock
        )
        if settings.snapshots:
            timers.subscribe("snapshots", CHECK_MS, self._writer.tick)

    def status(self) -> dict:
        """Returns how many snapshots wait for the store and how many were given up."""
        return {"snapshots_kept": self._writer.kept, "snapshots_dropped": self._writer.dropped}

    def on_settings(self, tree: TreeSettings) -> None:
        """Follows the interval in force; a snapshot holds all services, so the shortest counts."""
        place = self._place
        self._interval_s = min(
            (
                effective(tree, service, place.region, place.domain).logging.snapshot_interval_s
                for service in tree.services
            ),
            default=Logging().snapshot_interval_s,
        )

    def finish(self) -> None:
        """See `SnapshotWriter.finish`."""
        if self._writes:
            self._writer.finish()

    def _view(self) -> View:
        fleet = self._fleet
        if self._nodes_version != fleet.version:
            self._nodes_version = fleet.version
            sessions = (row.session for row in fleet.sessions.values())
            self._nodes = Counter(f"{session.region}/{session.domain}" for session in sessions)
        own_id = self._own_id()
        row = fleet.sessions.get(own_id) if own_id is not None else None
        return View(
            fleet.version,
            self._nodes,
            {service: table.count(NO_OWNER) for service, table in fleet.tables.items()},
            row.session.service if row else "",
            row.session.slots if row else 0,
        )
