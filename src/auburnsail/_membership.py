"""Drives lease, watch, recorder and gossip of one node. No I/O.

Time, datagrams and store replies are passed in; what is to be done comes back as effects. The
randomised runs drive this very code.
"""

import random

from . import _rules
from ._clock import NS_PER_MS
from ._effects import (
    Applied,
    Effect,
    FetchLog,
    LogName,
    Note,
    Post,
    SaveCheckpoint,
    Send,
    SettingsChanged,
    StoreReply,
    Superseded,
)
from ._fleet import FleetState, Verdict
from ._gossip import FleetFollower, LogFetcher, SettingsFollower
from ._grants import spread_shards
from ._messages import (
    Ack,
    Codec,
    Heard,
    Message,
    Propose,
    Push,
    Query,
    Renewal,
    SealNotice,
    Taken,
    Versions,
)
from ._model import (
    Assign,
    Close,
    Command,
    DeclareLost,
    Evidence,
    Join,
    Leave,
    SessionId,
    SetWatchers,
    Succeed,
    Transfer,
)
from ._proposer import DIRECT_ATTEMPT, Proposer
from ._recorder import Recorder, SuccessorChoice, rank_recorders
from ._session import NodeFacts, OwnSession
from ._shards import NO_OWNER
from ._watch import Ask, Seal, Watcher
from .exceptions import InvariantViolation

__all__ = ["Membership"]

MAX_DATAGRAM_BYTES = 1200
PAUSE_MS = 300
CLOSE_AGAIN_MS = 1000
# Shards that never had an owner wait for more sessions to join, up to a limit.
ASSIGN_DELAY_MS = 1000
ASSIGN_LIMIT_MS = 5000
CHECKPOINT_EVERY = 512
POLL_STORE_MS = 30_000
POLL_STORE_FIRST_MS = 1000
RECORDERS_ASKED = 2


class Membership:
    """One node's part in the fleet.

    Args:
        facts: The node's settings.
        fleet: State of the fleet, changed only by this object.
        codec: Encodes and checks datagrams.
        rng: Source of randomness.
        successors: Chooses new owners of shards.
    """

    def __init__(
        self,
        facts: NodeFacts,
        fleet: FleetState,
        codec: Codec,
        rng: random.Random,
        successors: SuccessorChoice = spread_shards,
    ) -> None:
        self._facts = facts
        self._fleet = fleet
        self._codec = codec
        self._rng = rng
        self._out: list[Effect] = []
        self._session = OwnSession(facts, rng)
        self._watcher: Watcher | None = None
        self._proposer = Proposer()
        self._recorder = Recorder(rng, successors)
        self._follower = FleetFollower(fleet)
        self._settings = SettingsFollower()
        self._recorders: tuple[int, list[SessionId]] = (-1, [])
        self._last_tick_ns: int | None = None
        self._next_poll_ns = 0
        self._close_ns: dict[SessionId, int] = {}
        self._last_join_ns = 0
        self._unowned_since_ns: int | None = None
        self._lapsed = False

    @property
    def own_id(self) -> SessionId | None:
        """This node's open session, or None."""
        return self._session.id

    @property
    def session(self) -> OwnSession:
        """This node's own session."""
        return self._session

    @property
    def settings_version(self) -> int:
        """The newest settings version that this node has."""
        return self._settings.version

    @property
    def settings_data(self) -> bytes:
        """The newest settings record that this node has."""
        return self._settings.data

    @property
    def open_proposals(self) -> int:
        """Number of proposals that this node records and whose outcome is open."""
        return self._recorder.pending

    def expires_ns(self) -> int:
        """Returns the end of the lease, 0 without a session."""
        lease = self._session.lease
        return lease.expires_ns if lease is not None and self.own_id is not None else 0

    def may_serve(self, now_ns: int) -> bool:
        """Whether the lease holds and the known log is as new as any that watchers reported."""
        if now_ns >= self.expires_ns():
            self._lapsed = self._session.lease is not None
            return False
        if self._lapsed and self._follower.fetcher.newest > self._fleet.version:
            return False
        self._lapsed = False
        return True

    def is_settled(self, proposal_id: str) -> bool:
        """Whether the log has settled a proposal of this node."""
        return not self._proposer.is_open(proposal_id)

    def entries_after(self, version: int) -> list[bytes] | None:
        """Returns entries for a peer, or None if they are not kept."""
        return self._follower.after(version)

    def want(self, service: str, slots: int) -> None:
        """States the service of the upstream beside this node, empty for none."""
        self._session.want(service, slots)

    def leave(self, stopping: bool) -> None:
        """Ends the own session, see `OwnSession.leave`."""
        self._session.leave(stopping)

    def propose(self, *commands: Command) -> str:
        """Proposes commands to be appended together; returns the proposal's id."""
        return self._proposer.propose(commands)

    def tick(self, now_ns: int) -> list[Effect]:
        """Does what is due. The caller has drained its socket before."""
        self._notice_pause(now_ns)
        commands = self._session.tick(now_ns, self._fleet)
        if commands:
            self._proposer.propose(commands)
        self._renew(now_ns)
        self._watch(now_ns)
        self._assign(now_ns)
        self._send_proposals(now_ns)
        self._record(now_ns)
        self._fetch(now_ns)
        return self._drain()

    def on_datagram(self, data: bytes, address: str, now_ns: int) -> list[Effect]:
        """Handles a datagram, or the same bytes that came over control HTTP."""
        message = self._codec.decode(data)
        if message is not None:
            self._on_message(message, address, now_ns)
        return self._drain()

    def on_store_reply(self, ticket: int, reply: StoreReply, now_ns: int) -> list[Effect]:
        """Handles the reply to a `StoreRequest`."""
        data = self._recorder.on_reply(ticket, reply, now_ns)
        if data is not None:
            self._offer(data, "", now_ns, push=True)
        if isinstance(reply, Superseded):
            for record in reply.records:
                self._offer(record, "", now_ns, push=True)
        self._record(now_ns)
        return self._drain()

    def on_records(
        self, log: str, records: list[tuple[int, bytes]] | None, address: str, now_ns: int
    ) -> list[Effect]:
        """Handles the result of a `FetchLog`.

        Args:
            log: Name of the log.
            records: Versions and contents in order, or None for a failed fetch.
            address: The peer that was asked; empty for the store.
            now_ns: The current time in nanoseconds.
        """
        if log == LogName.FLEET:
            before = self._fleet.version
            for _, data in records or ():
                self._offer(data, address, now_ns, push=False)
            self._finish(self._follower.fetcher, records, address, self._fleet.version, now_ns)
            if self._fleet.version > before:
                self._push(Versions(self._fleet.version, self._settings.version), address)
        else:
            changed = [self._settings.offer(version, data) for version, data in records or ()]
            version = self._settings.version
            self._finish(self._settings.fetcher, records, address, version, now_ns)
            if any(changed):
                self._out.append(SettingsChanged(version, self._settings.data))
                self._push(Versions(self._fleet.version, version), address)
        self._fetch(now_ns)
        return self._drain()

    def on_restored(self, now_ns: int) -> None:
        """Follows the state after it was replaced from a checkpoint."""
        self._last_join_ns = now_ns
        self._recorder.on_restored(self._fleet.version)
        self._session.on_applied(set(), self._fleet, now_ns)
        self._follow_own()
        for holder in self._fleet.sessions:
            self._follow_watchers(holder, now_ns)

    def _drain(self) -> list[Effect]:
        if self._session.notes:
            self._out.extend(self._session.notes)
            self._session.notes = []
        out, self._out = self._out, []
        return out

    def _note(self, kind: str, reason: str, **facts: object) -> None:
        self._out.append(Note(kind, reason, facts))

    def _notice_pause(self, now_ns: int) -> None:
        last_ns = self._last_tick_ns
        self._last_tick_ns = now_ns
        if last_ns is not None and now_ns - last_ns > PAUSE_MS * NS_PER_MS:
            self._note("pause", "no tick for a while", ms=(now_ns - last_ns) // NS_PER_MS)
            if self._session.lease is not None:
                self._session.lease.forgive(now_ns)

    # Lease and watch.

    def _renew(self, now_ns: int) -> None:
        lease = self._session.lease
        if lease is None or self.own_id is None:
            return
        for watcher in lease.due(now_ns):
            versions = (self._fleet.version, self._settings.version)
            self._send_to(watcher, Renewal(lease.session, watcher, now_ns, *versions))

    def _watch(self, now_ns: int) -> None:
        if self._watcher is None:
            return
        for action in self._watcher.tick(now_ns):
            row = self._fleet.sessions.get(action.holder)
            others = [w for w in row.session.watchers if w != self._watcher.session] if row else []
            match action:
                case Ask(holder=holder):
                    message: Message = Query(holder, self._watcher.session)
                case Seal(holder=holder, silent_ms=silent_ms):
                    message = SealNotice(holder, self._watcher.session, silent_ms)
                    self._note("seal", "full silence", session=str(holder), silent_ms=silent_ms)
            for other in others:
                self._send_to(other, message)
        for holder in self._watcher.holders:
            if self._watcher.has_sealed(holder):
                self._close_sealed(holder, now_ns)

    def _close_sealed(self, holder: SessionId, now_ns: int) -> None:
        row = self._fleet.sessions.get(holder)
        if row is None or now_ns < self._close_ns.get(holder, 0):
            return
        evidence = self._watcher.evidence(holder, row.session.watchers)
        if len(evidence) < max(1, _rules.votes_to_close(len(row.session.watchers))):
            return
        self._close_ns[holder] = now_ns + CLOSE_AGAIN_MS * NS_PER_MS
        self._note("close", "enough seals", session=str(holder), seals=len(evidence))
        self.propose(Close(f"close:{holder}:{row.revision}", holder, evidence))

    def _on_message(self, message: Message, address: str, now_ns: int) -> None:
        match message:
            case Renewal():
                self._note_versions(message, address)
                self._on_renewal(message, address, now_ns)
            case Ack():
                self._note_versions(message, address)
                self._on_ack(message, now_ns)
            case Versions():
                self._note_versions(message, address)
                self._fetch(now_ns)
            case Query(holder=holder) if self._watcher is not None:
                silent_ms = self._watcher.on_query(holder, now_ns)
                self._send(address, Heard(holder, self._watcher.session, silent_ms))
            case Heard(holder=holder, watcher=watcher, silent_ms=silent_ms):
                if self._watcher is not None:
                    self._watcher.on_heard(holder, watcher, silent_ms)
            case SealNotice(holder=holder, watcher=watcher, silent_ms=silent_ms):
                if self._watcher is not None and holder in self._fleet.sessions:
                    self._watcher.on_seal(holder, Evidence(watcher, silent_ms))
                    self._close_sealed(holder, now_ns)
                    self._send_proposals(now_ns)
                    self._record(now_ns)
            case Propose(id=proposal_id, reply_to=reply_to, commands=commands):
                if commands:
                    self._recorder.propose(proposal_id, commands)
                    self._send(reply_to, Taken(proposal_id))
                    self._record(now_ns)
            case Taken(id=proposal_id):
                self._proposer.on_taken(proposal_id, now_ns)
            case Push(entry=entry):
                self._offer(entry, address, now_ns, push=True)
                self._fetch(now_ns)

    def _on_renewal(self, message: Renewal, address: str, now_ns: int) -> None:
        watcher = self._watcher
        if watcher is None or message.watcher != watcher.session:
            return
        is_open = message.holder in self._fleet.sessions
        may_be_open = is_open or message.fleet > self._fleet.version
        may_be_open = may_be_open and message.holder not in self._fleet.ended
        acknowledged = may_be_open and watcher.on_renewal(message.holder, now_ns)
        versions = (self._fleet.version, self._settings.version)
        ids = (message.holder, watcher.session)
        self._send(address, Ack(*ids, message.sent_ns, not acknowledged, *versions))

    def _on_ack(self, message: Ack, now_ns: int) -> None:
        lease = self._session.lease
        if lease is None or message.holder != lease.session:
            return
        if message.sealed and message.watcher not in lease.sealed_by:
            self._note("lease", "sealed by a watcher", watcher=str(message.watcher))
            self._follower.fetcher.ask("")
        lease.on_ack(message.watcher, message.echo_ns, message.sealed, now_ns)

    def _note_versions(self, message: Renewal | Ack | Versions, address: str) -> None:
        if message.fleet > self._fleet.version:
            self._follower.fetcher.hint(message.fleet, address)
        if message.settings > self._settings.version:
            self._settings.fetcher.hint(message.settings, address)

    # Proposals.

    def _ranked(self) -> list[SessionId]:
        if self._recorders[0] != self._fleet.version:
            ranked = rank_recorders(self._fleet, self._facts.store_region, RECORDERS_ASKED)
            self._recorders = (self._fleet.version, ranked)
        return self._recorders[1]

    def _send_proposals(self, now_ns: int) -> None:
        for proposal in self._proposer.due(now_ns):
            ranked = self._ranked()
            is_direct = proposal.attempt >= min(DIRECT_ATTEMPT, len(ranked))
            if is_direct or ranked[proposal.attempt] == self.own_id:
                self._recorder.propose(proposal.id, proposal.commands)
                self._proposer.on_taken(proposal.id, now_ns)
                continue
            message = Propose(proposal.id, self._facts.control_address, proposal.commands)
            self._send_to(ranked[proposal.attempt], message)

    def _record(self, now_ns: int) -> None:
        request = self._recorder.tick(now_ns, self._fleet)
        if request is not None:
            self._out.append(request)

    def _assign(self, now_ns: int) -> None:
        ranked = self._ranked()
        if not ranked or ranked[0] != self.own_id:
            return
        services = {row.session.service for row in self._fleet.sessions.values()}
        unowned = {s: t for s, t in self._fleet.tables.items() if t.count(NO_OWNER) and len(t)}
        if not unowned:
            self._unowned_since_ns = None
            return
        if self._unowned_since_ns is None:
            self._unowned_since_ns = now_ns
        settled = now_ns - self._last_join_ns >= ASSIGN_DELAY_MS * NS_PER_MS
        late = now_ns - self._unowned_since_ns >= ASSIGN_LIMIT_MS * NS_PER_MS
        for service, table in unowned.items():
            if service in services and (settled or late or any(table.epoch)):
                command_id = f"assign:{service}"
                self._recorder.propose(command_id, (Assign(command_id, service, (), len(table)),))

    # Logs.

    def _offer(self, data: bytes, address: str, now_ns: int, *, push: bool) -> None:
        applied = self._follower.offer(data, address)
        if applied is None:
            return
        entry, verdicts = applied
        held_until_ns = self.expires_ns()
        for verdict in verdicts:
            self._follow(verdict, now_ns)
        ids = {command.id for command in entry.commands}
        self._proposer.on_applied(ids)
        is_own = self._recorder.on_applied(entry)
        self._check_own_end(verdicts, held_until_ns, now_ns)
        self._session.on_applied(ids, self._fleet, now_ns)
        self._follow_own()
        self._out.append(Applied(entry, verdicts))
        if push:
            self._push(self._pushed(data), address)
        if is_own:
            for target in self._new_owners(verdicts):
                self._send_to(target, self._pushed(data))
            if entry.version % CHECKPOINT_EVERY == 0:
                self._out.append(SaveCheckpoint(entry.version))

    def _pushed(self, data: bytes) -> Message:
        if len(data) <= MAX_DATAGRAM_BYTES:
            return Push(data)
        return Versions(self._fleet.version, self._settings.version)

    def _follow(self, verdict: Verdict, now_ns: int) -> None:
        command = verdict.command
        if not verdict.applied and not isinstance(command, Transfer | Assign | Close):
            return
        match command:
            case Join(session=session):
                self._last_join_ns = now_ns
                self._follow_watchers(session.id, now_ns)
            case SetWatchers(session=session_id):
                self._follow_watchers(session_id, now_ns)
            case Close() | Leave() | DeclareLost() | Succeed():
                ended = command.old if isinstance(command, Succeed) else command.session
                self._close_ns.pop(ended, None)
                if self._watcher is not None and ended not in self._fleet.sessions:
                    self._watcher.forget(ended)

    def _follow_watchers(self, holder: SessionId, now_ns: int) -> None:
        row = self._fleet.sessions.get(holder)
        if self._watcher is None or row is None:
            return
        if _rules.counts_as_watcher(self._watcher.session, row.session.watchers):
            self._watcher.name(holder, len(row.session.watchers) - 1, now_ns)
        else:
            self._watcher.forget(holder)

    def _follow_own(self) -> None:
        own_id = self.own_id
        if own_id is None:
            self._watcher = None
        elif self._watcher is None or self._watcher.session != own_id:
            self._watcher = Watcher(own_id)

    def _check_own_end(self, verdicts: list[Verdict], held_until_ns: int, now_ns: int) -> None:
        for verdict in verdicts:
            command = verdict.command
            if (
                isinstance(command, Close)
                and verdict.applied
                and command.session == self.own_id
                and now_ns < held_until_ns
            ):
                raise InvariantViolation("closed while the lease held", step="membership.apply")

    def _new_owners(self, verdicts: list[Verdict]) -> set[SessionId]:
        owners = set()
        for verdict in verdicts:
            owners.update(grant.to for grant in getattr(verdict.command, "grants", ()))
            if isinstance(verdict.command, Transfer):
                owners.add(verdict.command.target)
            if isinstance(verdict.command, Join):
                owners.add(verdict.command.session.id)
        owners.discard(self.own_id)
        return owners

    def _push(self, message: Message, source: str) -> None:
        lease = self._session.lease
        edges = set(lease.watchers) if lease is not None else set()
        if self._watcher is not None:
            edges.update(self._watcher.holders)
        for edge in sorted(edges):
            row = self._fleet.sessions.get(edge)
            if row is not None and row.session.control_address != source:
                self._send(row.session.control_address, message)

    def _finish(
        self,
        fetcher: LogFetcher,
        records: list[tuple[int, bytes]] | None,
        address: str,
        have: int,
        now_ns: int,
    ) -> None:
        succeeded = bool(records) or (
            records is not None and (not address or fetcher.newest <= have)
        )
        fetcher.done(address, succeeded, have, now_ns)

    def _fetch(self, now_ns: int) -> None:
        fetchers = (self._follower.fetcher, self._settings.fetcher)
        if now_ns >= self._next_poll_ns:
            is_first = self.own_id is None or self.own_id in self._ranked()
            every_ms = POLL_STORE_FIRST_MS if is_first else POLL_STORE_MS
            spread = self._rng.uniform(0.75, 1.0)
            self._next_poll_ns = now_ns + int(every_ms * spread * NS_PER_MS)
            for fetcher in fetchers:
                fetcher.ask(self._poll_address())
        versions = (self._fleet.version, self._settings.version)
        for fetcher, have in zip(fetchers, versions, strict=True):
            fetch: FetchLog | None = fetcher.due(have, now_ns)
            if fetch is not None:
                self._out.append(fetch)

    def _poll_address(self) -> str:
        # A node that is in no one's watch set hears of new versions from nobody; while the store
        # is down only a peer that it knows from its settings can help.
        if self.own_id is not None:
            return ""
        return self._rng.choice(("", *self._facts.peers))

    # Sending.

    def _send_to(self, session_id: SessionId, message: Message) -> None:
        row = self._fleet.sessions.get(session_id)
        if row is not None:
            self._send(row.session.control_address, message)

    def _send(self, address: str, message: Message) -> None:
        data = self._codec.encode(message)
        small = len(data) <= MAX_DATAGRAM_BYTES + 64
        self._out.append(Send(address, data) if small else Post(address, data))
