"""Puts a version of the settings in force in the parts of a node."""

from ._clock import NS_PER_MS
from ._effects import SettingsChanged
from ._holds import HoldTable
from ._node_control import NodeParts
from ._routing import Router
from ._settings import TreeSettings
from ._tree import effective
from .exceptions import SettingsError

__all__ = ["SettingsApplier"]


class SettingsApplier:
    """Hands settings to the parts that use them.

    Args:
        parts: The parts of the node.
        router: Decides where a request goes.
    """

    def __init__(self, parts: NodeParts, router: Router) -> None:
        self._parts = parts
        self._router = router

    def apply(self, changed: SettingsChanged) -> None:
        """Puts a version in force.

        An accepted version was checked before; one that this program cannot read leaves the last
        one in force and is reported.
        """
        parts = self._parts
        started_ns = parts.clock.now_ns()
        try:
            settings = parts.adapter.settings.decode(changed.version, changed.data)
        except SettingsError as error:
            parts.journal.record("settings", "not readable", error=str(error))
            return
        tree = settings.tree
        self._router.tree = tree
        parts.data_path.set_settings(settings)
        self._apply_sections(tree)
        parts.snapshots.on_settings(tree)
        for name, service in tree.services.items():
            if service.keyed:
                parts.fleet.add_service(name, service.shards, service.keys)
        self._add_holds(tree)
        now_ns = parts.clock.now_ns()
        parts.journal.record(
            "settings",
            "in force",
            version=changed.version,
            bytes=len(changed.data),
            known_ms=parts.membership.replica.settings_age_ns(started_ns) // NS_PER_MS,
            took_ms=(now_ns - started_ns) // NS_PER_MS,
        )

    def _add_holds(self, tree: TreeSettings) -> None:
        """Follows what the upstream holds, if its service is divided and reports grant keys."""
        parts = self._parts
        service = tree.services.get(parts.settings.service)
        if not parts.adapter.grants_by_report or service is None or not service.keys:
            return
        if parts.mover.holds is None:
            most_ms = parts.settings.max_hold_ms
            parts.mover.holds = HoldTable(service.shards, service.keys, most_ms)

    def _apply_sections(self, tree: TreeSettings) -> None:
        parts = self._parts
        announcement = parts.upstream.announcement
        service = announcement.service if announcement else next(iter(tree.services), "")
        if service not in tree.services:
            return
        values = effective(tree, service, parts.settings.region, parts.settings.domain)
        parts.upstream.lost_after_ms = values.upstream.lost_after_ms
        parts.upstream.stop_work_ms = values.drain.stop_work_ms
        parts.mover.hold_ms = values.drain.hold_ms
        parts.rebalancer.apply_settings(values.placement)
        store_region = values.fleet.store_region or parts.settings.store_region
        parts.membership.proposals.store_region = store_region
