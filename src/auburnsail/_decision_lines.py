"""Log lines on what a node believes: one for each decision of its journal."""

import structlog

from ._fleet import FleetState
from ._journal import JournalItem
from ._replica import Replica

__all__ = ["DecisionLogger"]

# Decisions that are only kept in the journal: several a second on every node of a large fleet.
UNLOGGED_KINDS = frozenset({"watchers", "SetWatchers"})
# Fields of every line, which facts may not replace.
RESERVED_FIELDS = frozenset({"kind", "reason", "map_version", "settings_version", "event"})


class DecisionLogger:
    """Writes a line for each decision.

    Args:
        node: Name of the node.
        fleet: State of the fleet.
    """

    def __init__(self, node: str, fleet: FleetState) -> None:
        self._log = structlog.get_logger(node=node)
        self._fleet = fleet
        self.replica: Replica | None = None

    def write(self, item: JournalItem) -> None:
        """Writes the line of a decision."""
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
