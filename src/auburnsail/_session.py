"""The node's own session: joining, choosing watchers, leaving and rejoining. No I/O."""

import random
from dataclasses import dataclass
from enum import Enum

import msgspec

from . import _rules
from ._clock import NS_PER_MS
from ._effects import JournalNote
from ._fleet import FleetState
from ._identity import NodeIdentity
from ._lease import LeaseHolder
from ._model import (
    Command,
    Join,
    Leave,
    Resume,
    Retire,
    Session,
    SessionId,
    SetWatchers,
    Succeed,
)
from ._watcher_choice import WATCHER_COUNT, choose_watchers

__all__ = ["OwnSession", "Phase"]

WATCHER_SILENT_MS = 500
WATCHER_CHECK_INTERVAL_MS = 100
# A search for better watchers reads all sessions; its interval doubles while it changes nothing.
IMPROVEMENT_SEARCH_MIN_MS = 1000
IMPROVEMENT_SEARCH_MAX_MS = 30_000
REJOIN_DELAY_MS = 200
# New watchers must acknowledge before they are proposed: until the outcome is known, the lease
# needs both watcher sets, so proposing unresponsive watchers would interrupt service.
PROBE_TIMEOUT_MS = 300
UNRESPONSIVE_EXCLUSION_MS = 5000


@dataclass(frozen=True, slots=True)
class UpstreamDescription:
    """The local upstream as the session describes it to the fleet.

    Attributes:
        service: The upstream's service, empty for a node that only routes.
        slots: Number of requests that the upstream runs concurrently; 0 if it has a lifetime and
            leaves.
        lifetime: Identifies one run of the upstream process, empty if the upstream reports none.
    """

    service: str = ""
    slots: int = 0
    lifetime: str = ""


class Phase(Enum):
    """Phases of a session."""

    IDLE = "idle"
    JOINING = "joining"
    OPEN = "open"
    LEAVING = "leaving"


class OwnSession:
    """State machine that proposes changes to the node's own session.

    Args:
        identity: Name, location and addresses of the node.
        rng: Source of randomness.
    """

    def __init__(self, identity: NodeIdentity, rng: random.Random) -> None:
        self._identity = identity
        self._rng = rng
        self._phase = Phase.IDLE
        self._id: SessionId | None = None
        self._lease: LeaseHolder | None = None
        self._desired_upstream: UpstreamDescription | None = None
        self._stopping = False
        self._leave_requested = False
        self._is_replacement_due = False
        self._retirement: tuple[SessionId, str] | None = None
        self._next_join_ns = 0
        self._revision = 0
        self._proposed_ns = 0
        self._probe: tuple[tuple[SessionId, ...], int] | None = None
        self._excluded_until: dict[SessionId, int] = {}
        self._next_check_ns = 0
        self._next_improvement_ns = 0
        self._improvement_interval_ms = IMPROVEMENT_SEARCH_MIN_MS
        self.notes: list[JournalNote] = []

    @property
    def phase(self) -> Phase:
        """The current phase of the session."""
        return self._phase

    @property
    def id(self) -> SessionId | None:
        """Id of the open session, or None."""
        return self._id if self._phase in (Phase.OPEN, Phase.LEAVING) else None

    @property
    def is_replacement_due(self) -> bool:
        """Whether the open session is to be replaced; other sessions may then get its shards."""
        return self._is_replacement_due

    @property
    def lease(self) -> LeaseHolder | None:
        """The lease of the open session, or None."""
        return self._lease

    def set_upstream(self, service: str, slots: int, lifetime: str = "") -> None:
        """Sets the local upstream; an empty service means that the node only routes.

        A lifetime without slots leaves; the log then records this.
        """
        self._desired_upstream = UpstreamDescription(service, slots, lifetime)

    def service_differs(self, fleet: FleetState) -> bool:
        """Returns whether the open session has another service than the local upstream."""
        row = fleet.sessions.get(self._id) if self._phase is Phase.OPEN else None
        return row is not None and row.session.service != self._desired_upstream.service

    def set_replacement_due(self, is_due: bool = True) -> None:
        """Requests that a new session for the local upstream replaces the open one.

        Args:
            is_due: False cancels a replacement that has not started.
        """
        self._is_replacement_due = is_due

    def leave(self, stopping: bool) -> None:
        """Requests the end of the session, which the caller has drained, at the next tick.

        If the upstream has a lifetime and the node is not stopping, a new session replaces it.

        Args:
            stopping: Whether the node stays out of the fleet instead of joining again.
        """
        self._leave_requested = True
        self._stopping = self._stopping or stopping

    def earlier(self, fleet: FleetState) -> Session | None:
        """Returns the session that an earlier process of the node left open, None if none is."""
        if self._phase not in (Phase.IDLE, Phase.JOINING):
            return None
        row = fleet.by_node.get(self._identity.node)
        return row.session if row is not None else None

    def tick(self, now_ns: int, fleet: FleetState) -> tuple[Command, ...]:
        """Returns the commands to propose together now; empty if there are none."""
        match self._phase:
            case Phase.IDLE if (
                self._desired_upstream and not self._stopping and now_ns >= self._next_join_ns
            ):
                return self._join(now_ns, fleet)
            case Phase.OPEN if (
                self._leave_requested and not self._stopping and self._has_lifetime(fleet)
            ):
                self._leave_requested = False
                return self._join(now_ns, fleet)
            case Phase.OPEN if self._leave_requested:
                self._phase = Phase.LEAVING
                self._leave_requested = False
                return (Leave(f"leave:{self._id}", self._id),)
            case Phase.OPEN if self._is_retirement_due(fleet):
                lifetime = self._desired_upstream.lifetime
                self._retirement = (self._id, lifetime)
                return (Retire(f"retire:{self._id}:{lifetime}", self._id.node, lifetime),)
            case Phase.OPEN if self._is_replacement_due and now_ns >= self._next_join_ns:
                self._is_replacement_due = False
                return self._join(now_ns, fleet)
            case Phase.OPEN:
                return self._check_watchers(now_ns, fleet)
        return ()

    def on_applied(self, command_ids: set[str], fleet: FleetState, now_ns: int) -> None:
        """Updates the session after an entry was applied to the fleet's state.

        Args:
            command_ids: Ids of the entry's commands.
            fleet: State after the entry.
            now_ns: The current time in nanoseconds.
        """
        row = fleet.sessions.get(self._id) if self._id else None
        if self._phase is Phase.JOINING:
            if row is not None:
                self._on_opened(row.session, row.revision, now_ns)
            elif f"join:{self._id}" in command_ids:
                self.notes.append(JournalNote("join", "not applied", {"session": str(self._id)}))
                self._on_closed(now_ns)
        elif self._phase in (Phase.OPEN, Phase.LEAVING):
            if row is None:
                self.notes.append(JournalNote("session", "ended", {"session": str(self._id)}))
                self._on_closed(now_ns)
            elif row.revision != self._revision:
                self._revision = row.revision
                self._lease.confirm_watchers(row.session.watchers, now_ns)

    def _is_retirement_due(self, fleet: FleetState) -> bool:
        upstream, row = self._desired_upstream, fleet.sessions.get(self._id)
        if upstream is None or not upstream.lifetime or upstream.slots or row is None:
            return False
        is_same = row.session.lifetime == upstream.lifetime
        is_proposed = self._retirement == (self._id, upstream.lifetime)
        return is_same and not row.session.is_leaving and not is_proposed

    def _has_lifetime(self, fleet: FleetState) -> bool:
        row = fleet.sessions.get(self._id)
        return row is not None and bool(row.session.lifetime)

    def _join(self, now_ns: int, fleet: FleetState) -> tuple[Command, ...]:
        identity = self._identity
        self._next_join_ns = now_ns + REJOIN_DELAY_MS * NS_PER_MS
        own_id = SessionId(identity.node, self._rng.getrandbits(48))
        upstream = self._desired_upstream
        session = Session(
            id=own_id,
            region=identity.region,
            domain=identity.domain,
            data_address=identity.data_address,
            control_address=identity.control_address,
            service=upstream.service,
            slots=upstream.slots,
            lifetime=upstream.lifetime,
        )
        watchers = choose_watchers(fleet, session, (), set(), self._rng)
        session = msgspec.structs.replace(session, watchers=watchers)
        commands: tuple[Command, ...] = (Join(f"join:{own_id}", session),)
        old = fleet.by_node.get(identity.node)
        if old is not None:
            if old.session.control_address != identity.control_address:
                reason = "another address holds an open session of this name"
                self.notes.append(JournalNote("join", reason, {"session": str(old.session.id)}))
                self._next_join_ns = now_ns + IMPROVEMENT_SEARCH_MIN_MS * NS_PER_MS
                return ()
            old_id = old.session.id
            if upstream.lifetime or old.session.lifetime:
                # The lifetime identifies the keys that the upstream holds, so no shard has to move.
                self._begin_join(own_id)
                return (Resume(f"join:{own_id}", old_id, session),)
            succeed = Succeed(f"succeed:{old_id}", old_id, own_id, identity.control_address)
            commands = (succeed, *commands)
        self._begin_join(own_id)
        return commands

    def _begin_join(self, own_id: SessionId) -> None:
        self._id = own_id
        self._phase = Phase.JOINING
        self._lease = None
        self._probe = None

    def _on_opened(self, session: Session, revision: int, now_ns: int) -> None:
        self._phase = Phase.OPEN
        self._revision = revision
        self._leave_requested = self._stopping
        self._lease = LeaseHolder(session.id, session.watchers, now_ns)
        facts = {"session": str(session.id), "watchers": [str(w) for w in session.watchers]}
        self.notes.append(JournalNote("session", "opened", facts))

    def _on_closed(self, now_ns: int) -> None:
        self._phase = Phase.IDLE
        self._lease = None
        self._probe = None
        self._id = None
        self._next_join_ns = now_ns + REJOIN_DELAY_MS * NS_PER_MS

    def _check_watchers(self, now_ns: int, fleet: FleetState) -> tuple[Command, ...]:
        lease = self._lease
        if lease.proposed_watchers is not None:
            if _rules.gives_up_on_outcome(now_ns - self._proposed_ns):
                lease.confirm_watchers(lease.watchers, now_ns)
            return ()
        if self._probe is not None:
            return self._check_probe(now_ns)
        if now_ns >= self._next_check_ns:
            self._next_check_ns = now_ns + WATCHER_CHECK_INTERVAL_MS * NS_PER_MS
            self._start_probe(now_ns, fleet)
        return ()

    def _start_probe(self, now_ns: int, fleet: FleetState) -> None:
        lease = self._lease
        ended = {w for w in lease.watchers if w not in fleet.sessions}
        silent_watchers = lease.silent_watchers(now_ns, WATCHER_SILENT_MS) | lease.sealed_by
        missing = len(lease.watchers) < min(WATCHER_COUNT, len(fleet.sessions) - 1)
        if not ended and not silent_watchers and not missing:
            if now_ns < self._next_improvement_ns:
                return
            jitter = self._rng.uniform(1.0, 2.0)
            self._next_improvement_ns = now_ns + int(
                jitter * self._improvement_interval_ms * NS_PER_MS
            )
            self._improvement_interval_ms = min(
                IMPROVEMENT_SEARCH_MAX_MS, 2 * self._improvement_interval_ms
            )
        self._excluded_until = {w: end for w, end in self._excluded_until.items() if end > now_ns}
        excluded = ended | silent_watchers | set(self._excluded_until)
        session = fleet.sessions[self._id].session
        chosen = choose_watchers(fleet, session, lease.watchers, excluded, self._rng)
        if len(chosen) < WATCHER_COUNT:
            # An unresponsive watcher is kept while its session is open: it is better than none.
            unresponsive = tuple(w for w in lease.watchers if w in excluded and w not in ended)
            chosen = (chosen + unresponsive)[:WATCHER_COUNT]
        if set(chosen) == set(lease.watchers):
            return
        reason = "watchers gone or silent" if ended or silent_watchers else "more or better spread"
        facts = {"watchers": [str(w) for w in chosen]}
        self.notes.append(JournalNote("watchers", reason, facts))
        self._probe = (chosen, now_ns)
        self._improvement_interval_ms = IMPROVEMENT_SEARCH_MIN_MS
        lease.probe_candidates(chosen)

    def _check_probe(self, now_ns: int) -> tuple[Command, ...]:
        lease = self._lease
        chosen, since_ns = self._probe
        new = [w for w in chosen if w not in lease.watchers]
        unresponsive = [w for w in new if not lease.has_acknowledged(w, since_ns)]
        if unresponsive:
            if now_ns - since_ns > PROBE_TIMEOUT_MS * NS_PER_MS:
                self._probe = None
                lease.probe_candidates(())
                until_ns = now_ns + UNRESPONSIVE_EXCLUSION_MS * NS_PER_MS
                self._excluded_until.update(dict.fromkeys(unresponsive, until_ns))
            return ()
        self._probe = None
        lease.propose_watchers(chosen, now_ns)
        self._proposed_ns = now_ns
        command_id = f"watchers:{self._id}:{self._revision}"
        return (SetWatchers(command_id, self._id, self._revision, chosen),)
