"""This node's own session: join, choice of watchers, leave and rejoin. No I/O."""

import random
from collections import Counter
from dataclasses import dataclass
from enum import Enum

import msgspec

from . import _rules
from ._clock import NS_PER_MS
from ._effects import Note
from ._fleet import FleetState
from ._lease import LeaseHolder
from ._model import Command, Join, Leave, Resume, Session, SessionId, SetWatchers, Succeed
from ._settings import NodeSettings

__all__ = ["NodeFacts", "OwnSession", "Phase", "choose_watchers"]

WATCHERS = 3
WATCHER_SILENT_MS = 500
CHECK_WATCHERS_MS = 100
# The search for better watchers reads all sessions, so it becomes rare while nothing changes.
IMPROVE_MIN_MS = 1000
IMPROVE_MAX_MS = 30_000
REJOIN_DELAY_MS = 200
# New watchers must answer before they are proposed: while the outcome is open the lease needs
# both sets, so a proposal of watchers that do not answer would interrupt service.
PROBE_WAIT_MS = 300
AVOID_MS = 5000
DUTY_SLACK = 2
GIVE_WAY = 0.25


@dataclass(frozen=True, slots=True)
class NodeFacts:
    """What a node knows of itself from its settings."""

    node: str
    region: str
    domain: str
    data_address: str
    control_address: str
    store_region: str = ""
    peers: tuple[str, ...] = ()

    @classmethod
    def of(cls, settings: NodeSettings) -> "NodeFacts":
        """Returns what the settings say."""
        return cls(
            node=settings.node,
            region=settings.region,
            domain=settings.domain,
            data_address=settings.data_address,
            control_address=settings.control_address,
            store_region=settings.store_region,
            peers=settings.peers,
        )


@dataclass(frozen=True, slots=True)
class Presence:
    """What the session states of the upstream beside the node.

    Attributes:
        service: The upstream's service, empty for a node that only routes.
        slots: Places for concurrent work.
        lifetime: Identifies one life of the upstream, empty if it does not say.
    """

    service: str = ""
    slots: int = 0
    lifetime: str = ""


class Phase(Enum):
    """Stages of a session."""

    IDLE = "idle"
    JOINING = "joining"
    OPEN = "open"
    LEAVING = "leaving"


def choose_watchers(
    fleet: FleetState,
    session: Session,
    keep: tuple[SessionId, ...],
    avoid: set[SessionId],
    rng: random.Random,
) -> tuple[SessionId, ...]:
    """Chooses one watcher in the domain, one in the region's other domains, one elsewhere.

    Args:
        fleet: State of the fleet.
        session: The session that needs watchers.
        keep: Present watchers, preferred where they fit.
        avoid: Sessions that must not be chosen.
        rng: Source of randomness.
    """
    roles: list[list[SessionId]] = [[], [], []]
    duties: Counter[SessionId] = Counter()
    for session_id, row in fleet.sessions.items():
        if session_id == session.id:
            continue
        duties.update(row.session.watchers)
        if session_id.node != session.id.node and session_id not in avoid:
            roles[_role(session, row.session)].append(session_id)
    chosen: list[SessionId] = []
    for members in roles:
        fitting = [watcher for watcher in keep if watcher in members]
        if members:
            chosen.append(_choose(members, fitting, duties, rng))
    everyone = [member for members in roles for member in members if member not in chosen]
    chosen += [watcher for watcher in keep if watcher in everyone][: WATCHERS - len(chosen)]
    while len(chosen) < WATCHERS and not set(everyone) <= set(chosen):
        others = [member for member in everyone if member not in chosen]
        chosen.append(_choose(others, [], duties, rng))
    return tuple(chosen[:WATCHERS])


def _choose(
    members: list[SessionId], kept: list[SessionId], duties: Counter[SessionId], rng: random.Random
) -> SessionId:
    """Chooses the one of two random members that watches fewer sessions.

    Uneven duties show in the busiest node's processor time and bytes; a present watcher gives way
    only if it has clearly more to watch, and then not always, since many sessions decide at once.
    """
    drawn = min(rng.choices(members, k=2), key=lambda member: duties[member])
    if not kept:
        return drawn
    is_busier = duties[kept[0]] - duties[drawn] > DUTY_SLACK
    return drawn if is_busier and rng.random() < GIVE_WAY else kept[0]


def _role(session: Session, other: Session) -> int:
    if other.region != session.region:
        return 2
    return 0 if other.domain == session.domain else 1


class OwnSession:
    """Decides what the node proposes for its own session.

    Args:
        facts: The node's settings.
        rng: Source of randomness.
    """

    def __init__(self, facts: NodeFacts, rng: random.Random) -> None:
        self._facts = facts
        self._rng = rng
        self._phase = Phase.IDLE
        self._id: SessionId | None = None
        self._lease: LeaseHolder | None = None
        self._wanted: Presence | None = None
        self._stopping = False
        self._may_leave = False
        self._replaces = False
        self._next_ns = 0
        self._revision = 0
        self._proposed_ns = 0
        self._probe: tuple[tuple[SessionId, ...], int] | None = None
        self._avoid_until: dict[SessionId, int] = {}
        self._next_check_ns = 0
        self._next_improve_ns = 0
        self._improve_ms = IMPROVE_MIN_MS
        self.notes: list[Note] = []

    @property
    def phase(self) -> Phase:
        """The session's stage."""
        return self._phase

    @property
    def id(self) -> SessionId | None:
        """The open session, or None."""
        return self._id if self._phase in (Phase.OPEN, Phase.LEAVING) else None

    @property
    def is_replacing(self) -> bool:
        """Whether the open session is about to be replaced, after which others may own its shards."""
        return self._replaces

    @property
    def lease(self) -> LeaseHolder | None:
        """The lease of the open session, or None."""
        return self._lease

    def want(self, service: str, slots: int, lifetime: str = "") -> None:
        """States the upstream beside this node; an empty service means that the node only routes."""
        self._wanted = Presence(service, slots, lifetime)

    def differs(self, fleet: FleetState) -> bool:
        """Whether the open session states another service than the wanted one."""
        row = fleet.sessions.get(self._id) if self._phase is Phase.OPEN else None
        return row is not None and row.session.service != self._wanted.service

    def replace(self, replaces: bool = True) -> None:
        """Puts a new session in the place of the open one, for the wanted upstream.

        Args:
            replaces: False if the open one fits again, before it was replaced.
        """
        self._replaces = replaces

    def leave(self, stopping: bool) -> None:
        """Ends the session; the caller has moved its shards and ended its requests.

        Args:
            stopping: Whether to stay away instead of joining again.
        """
        self._may_leave = True
        self._stopping = self._stopping or stopping

    def tick(self, now_ns: int, fleet: FleetState) -> tuple[Command, ...]:
        """Returns commands to propose together now, if any."""
        match self._phase:
            case Phase.IDLE if self._wanted and not self._stopping and now_ns >= self._next_ns:
                return self._join(now_ns, fleet)
            case Phase.OPEN if (
                self._may_leave and not self._stopping and self._says_lifetime(fleet)
            ):
                self._may_leave = False
                return self._join(now_ns, fleet)
            case Phase.OPEN if self._may_leave:
                self._phase = Phase.LEAVING
                self._may_leave = False
                return (Leave(f"leave:{self._id}", self._id),)
            case Phase.OPEN if self._replaces and now_ns >= self._next_ns:
                self._replaces = False
                return self._join(now_ns, fleet)
            case Phase.OPEN:
                return self._check_watchers(now_ns, fleet)
        return ()

    def on_applied(self, ids: set[str], fleet: FleetState, now_ns: int) -> None:
        """Follows the log."""
        row = fleet.sessions.get(self._id) if self._id else None
        if self._phase is Phase.JOINING:
            if row is not None:
                self._open(row.session, row.revision, now_ns)
            elif f"join:{self._id}" in ids:
                self.notes.append(Note("join", "not applied", {"session": str(self._id)}))
                self._close(now_ns)
        elif self._phase in (Phase.OPEN, Phase.LEAVING):
            if row is None:
                self.notes.append(Note("session", "ended", {"session": str(self._id)}))
                self._close(now_ns)
            elif row.revision != self._revision:
                self._revision = row.revision
                self._lease.confirm_watchers(row.session.watchers, now_ns)

    def _says_lifetime(self, fleet: FleetState) -> bool:
        row = fleet.sessions.get(self._id)
        return row is not None and bool(row.session.lifetime)

    def _join(self, now_ns: int, fleet: FleetState) -> tuple[Command, ...]:
        facts = self._facts
        self._next_ns = now_ns + REJOIN_DELAY_MS * NS_PER_MS
        own_id = SessionId(facts.node, self._rng.getrandbits(48))
        wanted = self._wanted
        session = Session(
            id=own_id,
            region=facts.region,
            domain=facts.domain,
            data_address=facts.data_address,
            control_address=facts.control_address,
            service=wanted.service,
            slots=wanted.slots,
            lifetime=wanted.lifetime,
        )
        watchers = choose_watchers(fleet, session, (), set(), self._rng)
        session = msgspec.structs.replace(session, watchers=watchers)
        commands: tuple[Command, ...] = (Join(f"join:{own_id}", session),)
        old = fleet.by_node.get(facts.node)
        if old is not None:
            if old.session.control_address != facts.control_address:
                reason = "another address holds an open session of this name"
                self.notes.append(Note("join", reason, {"session": str(old.session.id)}))
                self._next_ns = now_ns + IMPROVE_MIN_MS * NS_PER_MS
                return ()
            old_id = old.session.id
            if wanted.lifetime or old.session.lifetime:
                # What an upstream holds is known by its lifetime, so no shard has to move.
                self._open_joining(own_id)
                return (Resume(f"join:{own_id}", old_id, session),)
            succeed = Succeed(f"succeed:{old_id}", old_id, own_id, facts.control_address)
            commands = (succeed, *commands)
        self._open_joining(own_id)
        return commands

    def _open_joining(self, own_id: SessionId) -> None:
        self._id = own_id
        self._phase = Phase.JOINING
        self._lease = None
        self._probe = None

    def _open(self, session: Session, revision: int, now_ns: int) -> None:
        self._phase = Phase.OPEN
        self._revision = revision
        self._may_leave = self._stopping
        self._lease = LeaseHolder(session.id, session.watchers, now_ns)
        facts = {"session": str(session.id), "watchers": [str(w) for w in session.watchers]}
        self.notes.append(Note("session", "opened", facts))

    def _close(self, now_ns: int) -> None:
        self._phase = Phase.IDLE
        self._lease = None
        self._probe = None
        self._id = None
        self._next_ns = now_ns + REJOIN_DELAY_MS * NS_PER_MS

    def _check_watchers(self, now_ns: int, fleet: FleetState) -> tuple[Command, ...]:
        lease = self._lease
        if lease.proposed is not None:
            if _rules.gives_up_on_outcome(now_ns - self._proposed_ns):
                lease.confirm_watchers(lease.watchers, now_ns)
            return ()
        if self._probe is not None:
            return self._check_probe(now_ns)
        if now_ns >= self._next_check_ns:
            self._next_check_ns = now_ns + CHECK_WATCHERS_MS * NS_PER_MS
            self._start_probe(now_ns, fleet)
        return ()

    def _start_probe(self, now_ns: int, fleet: FleetState) -> None:
        lease = self._lease
        gone = {w for w in lease.watchers if w not in fleet.sessions}
        silent_watchers = lease.silent_watchers(now_ns, WATCHER_SILENT_MS) | lease.sealed_by
        missing = len(lease.watchers) < min(WATCHERS, len(fleet.sessions) - 1)
        if not gone and not silent_watchers and not missing:
            if now_ns < self._next_improve_ns:
                return
            spread = self._rng.uniform(1.0, 2.0)
            self._next_improve_ns = now_ns + int(spread * self._improve_ms * NS_PER_MS)
            self._improve_ms = min(IMPROVE_MAX_MS, 2 * self._improve_ms)
        self._avoid_until = {w: end for w, end in self._avoid_until.items() if end > now_ns}
        avoid = gone | silent_watchers | set(self._avoid_until)
        session = fleet.sessions[self._id].session
        chosen = choose_watchers(fleet, session, lease.watchers, avoid, self._rng)
        if len(chosen) < WATCHERS:
            # A silent watcher is better than none until the log says that it is gone.
            unheard = tuple(w for w in lease.watchers if w in avoid and w not in gone)
            chosen = (chosen + unheard)[:WATCHERS]
        if set(chosen) == set(lease.watchers):
            return
        reason = "watchers gone or silent" if gone or silent_watchers else "more or better spread"
        facts = {"watchers": [str(w) for w in chosen]}
        self.notes.append(Note("watchers", reason, facts))
        self._probe = (chosen, now_ns)
        self._improve_ms = IMPROVE_MIN_MS
        lease.probe_candidates(chosen)

    def _check_probe(self, now_ns: int) -> tuple[Command, ...]:
        lease = self._lease
        chosen, since_ns = self._probe
        new = [w for w in chosen if w not in lease.watchers]
        unheard = [w for w in new if not lease.acknowledged(w, since_ns)]
        if unheard:
            if now_ns - since_ns > PROBE_WAIT_MS * NS_PER_MS:
                self._probe = None
                lease.probe_candidates(())
                until_ns = now_ns + AVOID_MS * NS_PER_MS
                self._avoid_until.update(dict.fromkeys(unheard, until_ns))
            return ()
        self._probe = None
        lease.propose(chosen, now_ns)
        self._proposed_ns = now_ns
        command_id = f"watchers:{self._id}:{self._revision}"
        return (SetWatchers(command_id, self._id, self._revision, chosen),)
