"""The decision code of one node beside an upstream that takes its keys from answers to reports."""

import random

import msgspec

from auburnsail._clock import NS_PER_MS, ManualClock
from auburnsail._control import Announcement
from auburnsail._fleet import FleetState
from auburnsail._holds import HeldRange, HoldGrant, HoldTable
from auburnsail._identity import NodeIdentity
from auburnsail._journal import Journal
from auburnsail._local_upstream import LocalUpstream
from auburnsail._model import Assign, Command, Entry, Grant, Handover, Join, Session, SessionId
from auburnsail._moves import Mover
from auburnsail._node_control import MAX_DEPARTURE_WAIT_MS
from auburnsail._session import OwnSession
from auburnsail._shards import NO_OWNER, contiguous_runs

SERVICE = "s"
SHARDS = 8
KEYS = 64
KEYS_PER_SHARD = KEYS // SHARDS
TICK_MS = 50
LEASE_MS = 4_000
STOP_WORK_MS = 2_000
REPORT_INTERVAL_MS = 870


def session(node: str, incarnation: int = 1, **fields: object) -> Session:
    """Returns a session of the service; fields replace the defaults."""
    values = {"service": SERVICE, "slots": 4, "lifetime": f"i-{node}@1000"} | fields
    return Session(
        SessionId(node, incarnation), "wien", "wien-1", f"{node}:1", f"{node}:2", **values
    )


class FakeProposals:
    """Appends proposals to the log after a delay; no other proposal comes before them."""

    def __init__(self, node: "SimulatedNode") -> None:
        self._node = node
        self._pending: list[tuple[int, tuple[Command, ...]]] = []
        self._logged: set[str] = set()
        self.append_ms = 10

    def propose(self, commands: tuple[Command, ...]) -> None:
        """Queues commands for one entry."""
        due_ns = self._node.clock.now_ns() + self.append_ms * NS_PER_MS
        self._pending.append((due_ns, commands))

    def is_in_log(self, command_id: str) -> bool:
        """Returns whether an entry contains a command."""
        return command_id in self._logged

    def repeat_pending(self) -> None:
        """Makes all pending commands due, as after an outage of the store."""
        self._pending = [(0, commands) for _, commands in self._pending]

    def apply_due(self) -> None:
        """Applies the entries whose delay has passed."""
        now_ns = self._node.clock.now_ns()
        due = [commands for due_ns, commands in self._pending if due_ns <= now_ns]
        self._pending = [item for item in self._pending if item[0] > now_ns]
        for commands in due:
            self._logged.update(command.id for command in commands)
            self._node.apply(*commands)


class FakeMembership:
    """A node whose lease is renewed at every moment."""

    def __init__(self, node: "SimulatedNode", own_session: OwnSession) -> None:
        self._node = node
        self.session = own_session
        self.proposals = FakeProposals(node)

    @property
    def own_id(self) -> SessionId | None:
        """Id of the open session."""
        return self.session.id

    def expires_ns(self) -> int:
        """Returns when the lease ends."""
        return self._node.clock.now_ns() + LEASE_MS * NS_PER_MS if self.own_id else 0

    def may_serve(self, now_ns: int) -> bool:
        """Returns whether the node has a lease."""
        return now_ns < self.expires_ns()


class SimulatedUpstream:
    """Holds keys as the latest answer says, and releases what an answer leaves out."""

    def __init__(self, clock: ManualClock, born_ms: int = 1000) -> None:
        self._clock = clock
        self._born_ms = born_ms
        self._fence = 0
        self._held: set[int] = set()
        self._held_until_ns = 0
        self._freed: list[Handover] = []
        self.state = "ready"
        self.sequence = 0

    def holds(self, shard: int) -> bool:
        """Returns whether it holds a shard now."""
        return shard in self._held and self._clock.now_ns() < self._held_until_ns

    def report(self) -> Announcement:
        """Returns its next report."""
        self.sequence += 1
        held = sorted(shard for shard in self._held if self.holds(shard))
        return Announcement(
            SERVICE,
            "127.0.0.1:1",
            4,
            state=self.state,
            instance="i-n",
            born_ms=self._born_ms,
            sequence=self.sequence,
            holds=tuple(
                HeldRange(first * KEYS_PER_SHARD, (last + 1) * KEYS_PER_SHARD - 1, self._fence)
                for first, last in contiguous_runs(held)
            ),
            freed=tuple(self._freed),
        )

    def on_answer(self, grant: HoldGrant) -> None:
        """Takes the keys that the answer to a report grants."""
        self._freed = []
        if not grant.hold_ms:
            return
        granted = {
            shard
            for row in grant.rows
            for shard in range(row.first // KEYS_PER_SHARD, (row.last + 1) // KEYS_PER_SHARD)
        }
        for shard in sorted(shard for shard in self._held - granted if self.holds(shard)):
            first = shard * KEYS_PER_SHARD
            self._freed.append(Handover(first, first + KEYS_PER_SHARD - 1, f"token-{shard}"))
        self._fence = max((row.fence for row in grant.rows), default=self._fence)
        self._held = granted
        self._held_until_ns = self._clock.now_ns() + grant.hold_ms * NS_PER_MS


class SimulatedNode:
    """A node "n", its upstream, and a log to which other sessions can be added.

    Keys without an owner are assigned as soon as another session of the service is open, as the
    recorder does.

    Args:
        keyed: Whether the service has keys.
        append_ms: Time until a proposal of the node is in the log.
    """

    def __init__(self, *, keyed: bool = True, append_ms: int = 10) -> None:
        self.clock = ManualClock(10**12)
        self.fleet = FleetState()
        self.simulated_upstream = SimulatedUpstream(self.clock)
        self._keyed = keyed
        self._append_ms = append_ms
        self._sent_since_ns: int | None = None
        self.start_process()
        if keyed:
            self.fleet.add_service(SERVICE, SHARDS, KEYS)

    def start_process(self) -> None:
        """Starts a new process of the node, which knows the log only."""
        identity = NodeIdentity("n", "wien", "wien-1", "n:1", "n:2")
        own_session = OwnSession(identity, random.Random(self.fleet.version))
        self.membership = FakeMembership(self, own_session)
        self.membership.proposals.append_ms = self._append_ms
        self.mover = Mover(self.membership, self.fleet)
        self.mover.unkeyed_needs_lease = False
        if self._keyed:
            self.mover.holds = HoldTable(SHARDS, KEYS, LEASE_MS)
        self.upstream = LocalUpstream(
            self.membership, self.mover, self.fleet, Journal(self.clock), self.clock
        )
        self.upstream.stop_work_ms = STOP_WORK_MS

    @property
    def own_row(self):
        """Row of the node's session in the log."""
        return self.fleet.by_node["n"]

    def apply(self, *commands: Command) -> None:
        """Appends an entry to the log and applies it."""
        version = self.fleet.version + 1
        results = self.fleet.apply(Entry(version, self.fleet.digest, f"e{version}", commands))
        self.membership.session.on_applied(
            {command.id for command in commands}, self.fleet, self.clock.now_ns()
        )
        self.mover.on_applied(results)

    def open_with_all_keys(self) -> None:
        """Runs until the node's session is open, owns all keys, and the upstream holds them."""
        self.receive(self.simulated_upstream.report())
        self.run(1_000)
        if self._keyed:
            grant = Grant(self.own_row.session.id, tuple(range(SHARDS)))
            self.apply(Assign("all", SERVICE, (grant,), SHARDS))
        self.receive(self.simulated_upstream.report())

    def add_session(self, node: str, **fields: object) -> Session:
        """Opens a session of another node."""
        other = session(node, **fields)
        self.apply(Join(f"join:{node}", other))
        return other

    def receive(self, report: Announcement, *, answered: bool = True) -> None:
        """Handles a report; the upstream gets the answer unless it is lost."""
        grant = HoldGrant()
        if self.upstream.on_announcement(report):
            grant = self.upstream.grant_holds()
        if answered:
            self.simulated_upstream.on_answer(grant)

    def acknowledge_departure(self) -> None:
        """Runs until the answer to a report of a departure is sent, as `NodeControl` waits."""
        end_ns = self.clock.now_ns() + MAX_DEPARTURE_WAIT_MS * NS_PER_MS
        while not self.upstream.is_departure_recorded() and self.clock.now_ns() < end_ns:
            self.tick()

    def tick(self) -> None:
        """Runs one tick, in the order of the timers of a node."""
        self.clock.advance_ms(TICK_MS)
        now_ns = self.clock.now_ns()
        self.mover.tick(now_ns)
        if commands := self.membership.session.tick(now_ns, self.fleet):
            self.membership.proposals.propose(commands)
        self.upstream.update_session(now_ns)
        self.membership.proposals.apply_due()
        self._assign_unowned()

    def run(self, duration_ms: int, *, reports: bool = False) -> None:
        """Runs for a time; checks on each tick that no other session owns a held key.

        Args:
            duration_ms: How long to run.
            reports: Whether the upstream reports at its interval.
        """
        end_ns = self.clock.now_ns() + duration_ms * NS_PER_MS
        next_report_ns = self.clock.now_ns()
        while self.clock.now_ns() < end_ns:
            if reports and self.clock.now_ns() >= next_report_ns:
                next_report_ns += REPORT_INTERVAL_MS * NS_PER_MS
                self.receive(self.simulated_upstream.report())
            self.tick()
            self.check_owners()

    def check_owners(self) -> None:
        """Raises AssertionError if another session owns a key that the upstream holds."""
        if not self._keyed:
            return
        for shard in range(SHARDS):
            row = self.fleet.owner(SERVICE, shard)
            is_elsewhere = row is not None and row.session.id.node != "n"
            if is_elsewhere and self.simulated_upstream.holds(shard):
                raise AssertionError(f"{row.session.id} owns shard {shard}, which is held")

    def owned(self) -> list[int]:
        """Returns the shards that the node's session owns."""
        row = self.own_row
        return list(self.fleet.shards_of(row)) if row.session.service else []

    def may_be_used(self) -> bool:
        """Returns whether a request would be sent to the upstream."""
        return self.upstream.address() is not None

    def is_member(self) -> bool:
        """Returns whether other nodes would send requests without a key to the node."""
        return self.own_row in self.fleet.members_of(SERVICE)

    def _assign_unowned(self) -> None:
        table = self.fleet.tables.get(SERVICE)
        others = [
            row.session
            for row in self.fleet.sessions.values()
            if row.session.service == SERVICE and row.session.slots
        ]
        if table is None or not table.count(NO_OWNER) or not others or not any(table.epoch):
            return
        grant = Grant(others[0].id, tuple(table.owned_by(NO_OWNER)))
        self.apply(Assign("assign", SERVICE, (grant,), SHARDS))


def with_state(report: Announcement, state: str) -> Announcement:
    """Returns a report with another state."""
    return msgspec.structs.replace(report, state=state)
