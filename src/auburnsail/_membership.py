"""Coordinates the lease, watcher, recorder and log replication of one node. No I/O.

Time, datagrams and replies are passed in, effects are returned; simulations run this same code.
"""

import random

from . import _rules
from ._checkpoint import CHECKPOINT_INTERVAL_ENTRIES
from ._clock import NS_PER_MS
from ._effects import (
    Applied,
    CrashReported,
    Effect,
    LogName,
    SaveCheckpoint,
    SettingsChanged,
    StoreReply,
    Superseded,
)
from ._fleet import CommandResult, FleetState
from ._grants import spread_shards
from ._identity import NodeIdentity
from ._messages import (
    Ack,
    Codec,
    Message,
    ProposalQueued,
    Propose,
    Push,
    Renewal,
    SealNotice,
    SilenceQuery,
    SilenceReport,
    Versions,
)
from ._model import (
    Close,
    DeclareLost,
    Evidence,
    Join,
    Leave,
    Resume,
    SessionId,
    SetWatchers,
    Succeed,
)
from ._outbox import MAX_ENTRY_BYTES, Outbox
from ._pauses import PauseDetector
from ._proposal_router import ProposalRouter
from ._quarantine import CrashNotice
from ._recorder import OwnerChoice
from ._replica import Replica, affected_sessions, closes_session
from ._session import OwnSession
from ._watch_assignments import WatchAssignments
from ._watcher import QueryWatchers, Seal, Watcher
from .exceptions import InvariantViolation

__all__ = ["Membership"]

CLOSE_RETRY_MS = 1000


class Membership:
    """The fleet membership of one node.

    Args:
        identity: Name, location and addresses of the node.
        fleet: State of the fleet; only this object changes it.
        codec: Encodes and authenticates datagrams.
        rng: Source of randomness.
        choose_owners: Chooses new owners of shards.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        fleet: FleetState,
        codec: Codec,
        rng: random.Random,
        choose_owners: OwnerChoice = spread_shards,
    ) -> None:
        self._identity = identity
        self._fleet = fleet
        self._codec = codec
        self._rng = rng
        self._outbox = Outbox(fleet, codec)
        self._session = OwnSession(identity, rng)
        self._watch_assignments = WatchAssignments(fleet)
        self._proposals = ProposalRouter(
            identity.control_address, identity.store_region, fleet, self._outbox, rng, choose_owners
        )
        self._replica = Replica(fleet, rng)
        self._pauses = PauseDetector()
        self._next_close_ns: dict[SessionId, int] = {}
        self._lapsed = False

    @property
    def own_id(self) -> SessionId | None:
        """Id of this node's open session, or None."""
        return self._session.id

    @property
    def session(self) -> OwnSession:
        """The session state machine of this node."""
        return self._session

    @property
    def replica(self) -> Replica:
        """This node's copy of the fleet log and the settings log."""
        return self._replica

    @property
    def proposals(self) -> ProposalRouter:
        """Submits this node's proposals and, on the recorder, appends those of all nodes."""
        return self._proposals

    @property
    def _watcher(self) -> Watcher | None:
        return self._watch_assignments.watcher

    def expires_ns(self) -> int:
        """Returns when the lease expires, in nanoseconds of the clock; 0 without a session."""
        lease = self._session.lease
        return lease.expires_ns if lease is not None and self.own_id is not None else 0

    def may_serve(self, now_ns: int) -> bool:
        """Returns whether the lease is valid and, after a lapse, no peer has a newer fleet log."""
        if now_ns >= self.expires_ns():
            self._lapsed = True
            return False
        if self._lapsed and not self._replica.is_up_to_date:
            return False
        self._lapsed = False
        return True

    def tick(self, now_ns: int) -> list[Effect]:
        """Runs periodic work; the caller handles all received datagrams first."""
        self._detect_pause(now_ns)
        self.may_serve(now_ns)
        commands = self._session.tick(now_ns, self._fleet)
        if commands:
            self._proposals.propose(commands)
        self._send_renewals(now_ns)
        self._run_watcher(now_ns)
        self._proposals.tick(self.own_id, now_ns)
        self._start_fetches(now_ns)
        return self._collect_effects()

    def on_datagram(self, data: bytes, address: str, now_ns: int) -> list[Effect]:
        """Handles a message that arrived as a datagram or over control HTTP."""
        if (message := self._codec.decode(data)) is not None:
            self._on_message(message, address, now_ns)
        return self._collect_effects()

    def forward_crash_notice(self, notice: CrashNotice, source: str) -> list[Effect]:
        """Forwards a crash notice to this node's watchers and to the sessions that it watches.

        Args:
            notice: A notice that this node has not forwarded before.
            source: Address of the sender, empty if this node created the notice.
        """
        self._forward(notice, source)
        return self._collect_effects()

    def send_crash_notice(self, notice: CrashNotice, receiver: SessionId) -> list[Effect]:
        """Sends a crash notice to one session."""
        self._outbox.send_to((receiver,), notice)
        return self._collect_effects()

    def on_store_reply(self, ticket: int, reply: StoreReply, now_ns: int) -> list[Effect]:
        """Handles the reply to a `StoreRequest`."""
        data = self._proposals.on_store_reply(ticket, reply, now_ns)
        if data is not None:
            self._apply_entry(data, "", now_ns, push=True)
        if isinstance(reply, Superseded):
            for position, data in reply.records:
                self._apply_entry(data, "", now_ns, push=True, position=position)
            self._proposals.hand_over(self.own_id, now_ns)
        self._proposals.start_append(now_ns)
        return self._collect_effects()

    def on_records(
        self, log: str, records: list[tuple[int, bytes]] | None, address: str, now_ns: int
    ) -> list[Effect]:
        """Handles the result of a `FetchLog`.

        Args:
            log: Name of the log.
            records: Versions and contents in order, or None if the fetch failed.
            address: Address of the peer that was queried; empty for the store.
            now_ns: The current time in nanoseconds.
        """
        if log == LogName.FLEET:
            before = self._fleet.version
            for position, data in records or ():
                known = 0 if address else position
                self._apply_entry(data, address, now_ns, push=False, position=known)
            self._replica.finish_entries_fetch(records, address, now_ns)
            changed = self._fleet.version > before
        else:
            changed = self._replica.finish_settings_fetch(records, address, now_ns)
            if changed:
                version = self._replica.versions[1]
                self._outbox.add(SettingsChanged(version, self._replica.settings_data))
        if changed:
            self._forward(Versions(*self._replica.versions), address)
        self._start_fetches(now_ns)
        return self._collect_effects()

    def on_restored(self, now_ns: int) -> None:
        """Updates derived state after the fleet's state was restored from a checkpoint."""
        self._proposals.on_restored(now_ns)
        self._session.on_applied(set(), self._fleet, now_ns)
        self._watch_assignments.set_own_session(self.own_id, now_ns)
        self._watch_assignments.update_all(now_ns)

    def _collect_effects(self) -> list[Effect]:
        notes, self._session.notes = self._session.notes, []
        return [*self._outbox.drain(), *notes]

    def _detect_pause(self, now_ns: int) -> None:
        if pause_ms := self._pauses.tick(now_ns):
            self._outbox.note("pause", "no tick for a while", ms=pause_ms)
            if self._session.lease is not None:
                self._session.lease.restart_silence_timers(now_ns)

    def _send_renewals(self, now_ns: int) -> None:
        lease = self._session.lease
        if lease is None or self.own_id is None:
            return
        for watcher in lease.due_renewals(now_ns):
            message = Renewal(lease.session, watcher, now_ns, *self._replica.versions)
            self._outbox.send_to((watcher,), message)

    def _run_watcher(self, now_ns: int) -> None:
        if self._watcher is None:
            return
        for action in self._watcher.tick(now_ns):
            sealing_id = self._watcher.sealing_id(action.holder)
            others = self._watch_assignments.other_watchers(action.holder)
            match action:
                case QueryWatchers(holder=holder):
                    self._outbox.send_to(others, SilenceQuery(holder, self._watcher.session))
                case Seal(holder=holder, silent_ms=silent_ms, is_new=is_new):
                    if is_new:
                        facts = {"session": str(holder), "silent_ms": silent_ms}
                        self._outbox.note("seal", "full silence", **facts)
                    self._outbox.send_to(others, SealNotice(holder, sealing_id, silent_ms))
                    self._proposals.mark_suspect(holder, now_ns)
        for holder in self._watcher.holders:
            if self._watcher.has_sealed(holder):
                self._propose_close(holder, now_ns)

    def _propose_close(self, holder: SessionId, now_ns: int) -> None:
        row = self._fleet.sessions.get(holder)
        if row is None or now_ns < self._next_close_ns.get(holder, 0):
            return
        evidence = self._watcher.evidence(holder, row.session.watchers)
        if len(evidence) < max(1, _rules.seals_to_close(len(row.session.watchers))):
            return
        self._next_close_ns[holder] = now_ns + CLOSE_RETRY_MS * NS_PER_MS
        self._outbox.note("close", "enough seals", session=str(holder), seals=len(evidence))
        self._proposals.propose((Close(f"close:{holder}:{row.revision}", holder, evidence),))

    def _on_message(self, message: Message, address: str, now_ns: int) -> None:
        match message:
            case Renewal():
                self._replica.record_versions(message.fleet, message.settings, address, now_ns)
                self._on_renewal(message, address, now_ns)
            case Ack():
                self._replica.record_versions(message.fleet, message.settings, address, now_ns)
                self._on_ack(message, now_ns)
            case Versions():
                self._replica.record_versions(message.fleet, message.settings, address, now_ns)
                self._start_fetches(now_ns)
            case Push(entry=entry):
                self._apply_entry(entry, address, now_ns, push=True)
                self._start_fetches(now_ns)
            case Propose():
                self._proposals.on_propose(message, self.own_id, now_ns)
            case ProposalQueued(id=proposal_id):
                self._proposals.on_queued(proposal_id, now_ns)
            case CrashNotice():
                self._outbox.add(CrashReported(message, address))
            case SilenceQuery() | SilenceReport() | SealNotice() if self._watcher is not None:
                self._on_watcher_message(message, address, now_ns)

    def _on_watcher_message(
        self, message: SilenceQuery | SilenceReport | SealNotice, address: str, now_ns: int
    ) -> None:
        holder = message.holder
        match message:
            case SilenceQuery():
                silent_ms = self._watcher.on_query(holder, now_ns)
                self._outbox.send(address, SilenceReport(holder, self._watcher.session, silent_ms))
            case SilenceReport(watcher=watcher, silent_ms=silent_ms):
                self._watcher.on_query_reply(holder, watcher, silent_ms)
            case SealNotice(watcher=watcher, silent_ms=silent_ms):
                if holder in self._fleet.sessions:
                    self._watcher.on_seal(holder, Evidence(watcher, silent_ms))
                    self._proposals.mark_suspect(holder, now_ns)
                    self._propose_close(holder, now_ns)
                    self._proposals.send_due_proposals(self.own_id, now_ns)
                    self._proposals.start_append(now_ns)

    def _on_renewal(self, message: Renewal, address: str, now_ns: int) -> None:
        watcher = self._watcher
        if watcher is None:
            return
        if not _rules.is_same_watcher(message.watcher, watcher.session):
            if message.watcher == watcher.sealing_id(message.holder):
                watcher.on_unacknowledged_renewal(message.holder, now_ns)
            return
        is_open = message.holder in self._fleet.sessions
        may_be_open = is_open or message.fleet > self._fleet.version
        may_be_open = may_be_open and message.holder not in self._fleet.ended
        acknowledged = may_be_open and watcher.on_renewal(message.holder, now_ns)
        ids, versions = (message.holder, message.watcher), self._replica.versions
        self._outbox.send(address, Ack(*ids, message.sent_ns, not acknowledged, *versions))

    def _on_ack(self, message: Ack, now_ns: int) -> None:
        lease = self._session.lease
        if lease is None or message.holder != lease.session:
            return
        if message.sealed and message.watcher not in lease.sealed_by:
            self._outbox.note("lease", "sealed by a watcher", watcher=str(message.watcher))
            self._replica.request_store_fetch()
        lease.on_ack(message.watcher, message.echo_ns, message.sealed, now_ns)

    def _apply_entry(
        self, data: bytes, address: str, now_ns: int, *, push: bool, position: int = 0
    ) -> None:
        applied = self._replica.offer(data, address, position)
        if applied is None:
            return
        entry, results = applied
        own_id, lease_end_ns = self.own_id, self.expires_ns()
        for result in results:
            self._on_command_result(result, now_ns)
        is_own = self._proposals.on_applied(entry)
        self._session.on_applied({command.id for command in entry.commands}, self._fleet, now_ns)
        self._watch_assignments.set_own_session(self.own_id, now_ns)
        self._outbox.add(Applied(entry, results))
        can_push = entry.id and len(data) <= MAX_ENTRY_BYTES
        message: Message = Push(data) if can_push else Versions(*self._replica.versions)
        if push:
            self._forward(message, address)
        if is_own:
            self._outbox.send_to(sorted(affected_sessions(results) - {self.own_id}), message)
            if entry.version % CHECKPOINT_INTERVAL_ENTRIES == 0:
                self._outbox.add(SaveCheckpoint(entry.version))
        if now_ns < lease_end_ns and closes_session(results, own_id):
            raise InvariantViolation(
                "session closed while its lease was valid", step="membership.apply"
            )

    def _on_command_result(self, result: CommandResult, now_ns: int) -> None:
        if not result.applied:
            return
        match result.command:
            case Join(session=session):
                self._proposals.on_join(now_ns)
                self._watch_assignments.update_holder(session.id, now_ns)
            case SetWatchers(session=session_id):
                self._watch_assignments.update_holder(session_id, now_ns)
            case Resume(old=old, session=session):
                self._proposals.on_join(now_ns)
                self._drop_session(old)
                self._watch_assignments.update_holder(session.id, now_ns)
            case (
                Close(session=ended)
                | Leave(session=ended)
                | DeclareLost(session=ended)
                | Succeed(old=ended)
            ):
                self._drop_session(ended)

    def _drop_session(self, ended: SessionId) -> None:
        self._next_close_ns.pop(ended, None)
        self._watch_assignments.remove_session(ended)

    def _forward(self, message: Message, source: str) -> None:
        lease = self._session.lease
        neighbours = set(lease.watchers) if lease is not None else set()
        if self._watcher is not None:
            neighbours.update(self._watcher.holders)
        self._outbox.send_to(sorted(neighbours), message, exclude=source)

    def _start_fetches(self, now_ns: int) -> None:
        # After its lease lapses, a node may not be notified of the versions that it missed.
        is_detached = self._lapsed or self.own_id is None
        for_fleet = self._proposals.polls(self.own_id, now_ns)
        if self._replica.poll_due(now_ns, for_fleet=for_fleet, is_detached=is_detached):
            # A node without a session is not notified of new versions.
            is_notified = self.own_id is not None
            address = "" if is_notified else self._identity.random_source(self._rng)
            self._replica.poll(now_ns, address)
        self._outbox.add(*self._replica.due_fetches(now_ns))
