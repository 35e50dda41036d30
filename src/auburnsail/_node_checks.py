"""Periodic checks of a node: missing state at start, link state and its own settings file."""

from collections.abc import Callable

import structlog

from ._clock import NS_PER_MS, Timers
from ._node_control import NodeParts
from .exceptions import AuburnsailError

__all__ = ["NodeChecks"]

WAITING_LOG_MS = 5_000
RELOAD_CHECK_MS = 5_000
# A full link must be detected within half of the requests' latency objective of 0.2 s.
LINK_CHECK_MS = 100


class NodeChecks:
    """Logs what a starting node lacks, records link state changes and reloads its own settings.

    Args:
        parts: The components of the node.
        timers: Schedules the checks.
        fleet_loaded: Returns whether the node has read the fleet log.
    """

    def __init__(self, parts: NodeParts, timers: Timers, fleet_loaded: Callable[[], bool]) -> None:
        self._parts = parts
        self._fleet_loaded = fleet_loaded
        self._log = structlog.get_logger(node=parts.settings.node)
        self._started_ns = parts.clock.now_ns()
        timers.subscribe("waiting", WAITING_LOG_MS, self._report_waiting)
        timers.subscribe("link", LINK_CHECK_MS, self._record_link_state)
        # The settings file may change without a SIGHUP.
        timers.subscribe("reload", RELOAD_CHECK_MS, lambda now_ns: self.reload("check"))

    def reload(self, cause: str) -> None:
        """Reads the process's own settings again and logs what changed.

        Args:
            cause: ``signal`` or ``check``; a signal is logged even if nothing changed.
        """
        try:
            changed = self._parts.adapter.reload()
        except AuburnsailError as error:
            self._log.error("reload", cause=cause, error=str(error))
            return
        if changed or cause == "signal":
            self._log.info("reload", cause=cause, changed=changed)

    def _report_waiting(self, now_ns: int) -> None:
        has_fleet = self._fleet_loaded()
        if has_fleet and self._parts.membership.replica.settings_version:
            return
        if now_ns - self._started_ns > WAITING_LOG_MS * NS_PER_MS:
            self._log.warning(
                "waiting for the store or a known peer",
                missing="settings" if has_fleet else "fleet log",
                store=self._parts.settings.store_url,
                peers=list(self._parts.settings.peers),
            )

    def _record_link_state(self, now_ns: int) -> None:
        if change := self._parts.link.state_change(now_ns):
            self._parts.journal.record("link", change, **self._parts.link.stats())
