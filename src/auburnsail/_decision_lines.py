"""Logs the decisions of a node's journal."""

import structlog

from ._fleet import FleetState
from ._journal import JournalItem
from ._replica import Replica

__all__ = ["DecisionLogger"]

# Decisions that occur several times a second on every node of a large fleet are not logged.
UNLOGGED_KINDS = frozenset({"watchers", "SetWatchers"})
# Fields of every line; a decision's details must not overwrite them.
RESERVED_FIELDS = frozenset({"kind", "reason", "map_version", "settings_version", "event"})


class DecisionLogger:
    """Logs each decision with the versions of both logs.

    Args:
        node: Name of the node.
        fleet: State of the fleet.

    Attributes:
        replica: Source of the settings version; None until the node has set it.
    """

    def __init__(self, node: str, fleet: FleetState) -> None:
        self._log = structlog.get_logger(node=node)
        self._fleet = fleet
        self.replica: Replica | None = None

    def write(self, item: JournalItem) -> None:
        """Logs a decision unless its kind is in `UNLOGGED_KINDS`."""
        if item.kind in UNLOGGED_KINDS:
            return
        facts = {name: value for name, value in item.facts.items() if name not in RESERVED_FIELDS}
        self._log.info(
            "decision",
            kind=item.kind,
            reason=item.reason,
            map_version=self._fleet.version,
            settings_version=self.replica.settings_version if self.replica is not None else 0,
            **facts,
        )
