"""Long-polls the source of the settings for newer versions, on behalf of all nodes.

The store may refuse the requests of a third of the nodes, including those that poll, while
operators still change settings. More nodes than that third therefore poll, and the other nodes
receive new versions from them.
"""

from collections.abc import Callable

import gevent

from ._adapter import SettingsSource
from ._clock import NS_PER_MS, Clock
from ._fleet import FleetState
from ._membership import Membership
from ._model import SessionId
from ._recorder import rank_recorders
from .exceptions import AuburnsailError

__all__ = ["SettingsLongPoll"]

RETRY_DELAY_S = 0.2
# While the store refuses this node, other nodes poll, and each attempt is one call.
MAX_RETRY_DELAY_S = 1.0
# Number of nodes that poll the source. In a fleet of up to 18 nodes no third contains all of them;
# in a larger fleet a random third does with a probability of at most about one in half a million.
# Every polling node costs the source one request per poll and per change.
LONG_POLLING_NODES = 12
# A node that has settings but no lease polls after this time; most have a lease before.
NO_LEASE_GRACE_MS = 1_800

Records = list[tuple[int, bytes]]


class SettingsLongPoll:
    """Keeps one long-poll request open at the source of the settings, if this node has to.

    A node polls if it is one of those that poll for the fleet, or if it has no session or no valid
    lease and may thus receive nothing from other nodes.

    Args:
        source: Source of the accepted settings.
        membership: Membership of the node in the fleet.
        fleet: Replicated state of the fleet.
        clock: Source of time.
        on_records: Called with newer records.
        on_failure: Called with each error of the source.
    """

    def __init__(
        self,
        source: SettingsSource,
        membership: Membership,
        fleet: FleetState,
        clock: Clock,
        on_records: Callable[[Records], None],
        on_failure: Callable[[AuburnsailError], None],
    ) -> None:
        self._source = source
        self._membership = membership
        self._fleet = fleet
        self._polling_sessions: tuple[int, frozenset[SessionId]] = (-1, frozenset())
        self._clock = clock
        self._on_records = on_records
        self._on_failure = on_failure
        self._no_lease_since_ns: int | None = None

    def run(self) -> None:
        """Polls until the greenlet is killed; replaces the periodic polls of the replica."""
        self._membership.replica.polls_settings = False
        delay_s = RETRY_DELAY_S
        while True:
            if not self._should_poll():
                gevent.sleep(RETRY_DELAY_S)
                continue
            records = self._poll()
            if records is None:
                gevent.sleep(delay_s)
                delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
                continue
            delay_s = RETRY_DELAY_S
            if records:
                self._on_records(records)

    def _should_poll(self) -> bool:
        membership, now_ns = self._membership, self._clock.now_ns()
        own_id = membership.own_id
        if own_id is None or not membership.may_serve(now_ns):
            if self._no_lease_since_ns is None:
                self._no_lease_since_ns = now_ns
            grace_ns = NO_LEASE_GRACE_MS * NS_PER_MS if membership.replica.settings_version else 0
            return now_ns - self._no_lease_since_ns >= grace_ns
        self._no_lease_since_ns = None
        if self._polling_sessions[0] != self._fleet.version:
            ranked = rank_recorders(self._fleet, "", LONG_POLLING_NODES)
            self._polling_sessions = (self._fleet.version, frozenset(ranked))
        return own_id in self._polling_sessions[1]

    def _poll(self) -> Records | None:
        try:
            return self._source.wait_after(self._membership.replica.settings_version)
        except AuburnsailError as error:
            self._on_failure(error)
            return None
