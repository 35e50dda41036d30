"""Applies accepted settings to the components of a running node."""

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
    """Applies a version of the settings to the components that use it.

    Args:
        parts: Components of the node.
        router: Selects the destination of requests.
    """

    def __init__(self, parts: NodeParts, router: Router) -> None:
        self._parts = parts
        self._router = router

    def apply(self, change: SettingsChanged) -> None:
        """Puts a version in force and records it in the journal.

        Versions are validated before they are accepted. If this program cannot read one anyway, the
        previous version remains in force and the error is recorded in the journal.

        Args:
            change: Version and encoded record of the settings.
        """
        parts = self._parts
        started_ns = parts.clock.now_ns()
        try:
            settings = parts.adapter.settings_source.decode(change.version, change.data)
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
        self._create_hold_table(tree)
        now_ns = parts.clock.now_ns()
        parts.journal.record(
            "settings",
            "in force",
            version=change.version,
            bytes=len(change.data),
            known_ms=parts.membership.replica.settings_age_ns(started_ns) // NS_PER_MS,
            took_ms=(now_ns - started_ns) // NS_PER_MS,
        )

    def _create_hold_table(self, tree: TreeSettings) -> None:
        """Creates the table of keys that the upstream holds, unless it exists.

        It is needed only if reports grant keys and the service has an ordered key space.
        """
        parts = self._parts
        service = tree.services.get(parts.settings.service)
        if not parts.adapter.grants_by_report or service is None or not service.keys:
            return
        if parts.mover.holds is None:
            max_hold_ms = parts.settings.max_hold_ms
            parts.mover.holds = HoldTable(service.shards, service.keys, max_hold_ms)

    def _apply_sections(self, tree: TreeSettings) -> None:
        parts = self._parts
        announcement = parts.upstream.announcement
        service = announcement.service if announcement else next(iter(tree.services), "")
        if service not in tree.services:
            return
        values = effective(tree, service, parts.settings.region, parts.settings.domain)
        parts.upstream.lost_after_ms = values.upstream.lost_after_ms
        parts.upstream.stop_work_ms = values.drain.stop_work_ms
        parts.mover.transfer_wait_ms = values.drain.hold_ms
        parts.rebalancer.apply_settings(values.placement)
        store_region = values.fleet.store_region or parts.settings.store_region
        parts.membership.proposals.store_region = store_region
