"""Spreads notices of crashes among the nodes, also to those that start later."""

from collections.abc import Callable, Sequence

from ._data_path import DataPath
from ._effects import Effect
from ._fleet import CommandResult
from ._journal import Journal
from ._membership import Membership
from ._model import Join, Resume
from ._quarantine import CrashNotice

__all__ = ["CrashNotices"]


class CrashNotices:
    """Sends this node's crash notices and forwards those of others.

    Args:
        membership: Sends the notices.
        data_path: Counts the crashes.
        journal: Receives the crashes of the local upstream.
        run_effects: Carries out the effects of the membership.
    """

    def __init__(
        self,
        membership: Membership,
        data_path: DataPath,
        journal: Journal,
        run_effects: Callable[[list[Effect]], None],
    ) -> None:
        self._membership = membership
        self._data_path = data_path
        self._journal = journal
        self._run_effects = run_effects

    def on_crash(self, notice: CrashNotice) -> None:
        """Handles a crash of the local upstream."""
        facts = {"id": notice.id, "suspects": len(notice.fingerprints)}
        self._journal.record("crash", "the upstream crashed", **facts)
        self._run_effects(self._membership.forward_crash_notice(notice, ""))

    def on_notice(self, notice: CrashNotice, address: str) -> None:
        """Handles a notice that another node sent from an address."""
        if self._data_path.merge_crash(notice):
            self._run_effects(self._membership.forward_crash_notice(notice, address))

    def on_applied(self, results: Sequence[CommandResult]) -> None:
        """Tells the sessions that this node begins to watch what it knows of earlier crashes.

        Their processes have just started, and the notices were sent at the time of the crash.
        """
        own_id = self._membership.own_id
        for result in results:
            match result.command:
                case Join(session=session) | Resume(session=session) if (
                    result.applied and own_id in session.watchers
                ):
                    for notice in self._data_path.crash_notices():
                        self._run_effects(self._membership.send_crash_notice(notice, session.id))
