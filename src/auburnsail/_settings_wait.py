"""Waits at the source of the settings for newer ones, on behalf of all nodes."""

from collections.abc import Callable

import gevent

from ._adapter import SettingsSource
from ._clock import Clock
from ._membership import Membership
from .exceptions import AuburnsailError

__all__ = ["SettingsWait"]

WAIT_AGAIN_S = 0.2

Records = list[tuple[int, bytes]]


class SettingsWait:
    """Keeps one long call open at the nodes that poll for all others, or hear from nobody.

    Args:
        source: Where accepted settings are kept.
        membership: The node's part in the fleet.
        clock: Source of time.
        on_records: Receives newer records.
        on_failure: Receives errors of the source.
    """

    def __init__(
        self,
        source: SettingsSource,
        membership: Membership,
        clock: Clock,
        on_records: Callable[[Records], None],
        on_failure: Callable[[AuburnsailError], None],
    ) -> None:
        self._source = source
        self._membership = membership
        self._clock = clock
        self._on_records = on_records
        self._on_failure = on_failure

    def run(self) -> None:
        """Waits for ever."""
        while True:
            records = self._wait() if self._is_wanted() else None
            if records:
                self._on_records(records)
            elif records is None:
                gevent.sleep(WAIT_AGAIN_S)

    def _is_wanted(self) -> bool:
        membership, now_ns = self._membership, self._clock.now_ns()
        own_id = membership.own_id
        if own_id is None or not membership.may_serve(now_ns):
            return True
        return membership.recording.polls(own_id, now_ns)

    def _wait(self) -> Records | None:
        try:
            return self._source.wait_after(self._membership.replica.settings_version)
        except AuburnsailError as error:
            self._on_failure(error)
            return None
