"""Drives lease, watch, recorder and gossip of one node. No I/O.

Time, datagrams and store replies are passed in; what is to be done comes back as effects. The
randomised runs drive this very code.
"""

import random

from . import _rules
from ._checkpoint import CHECKPOINT_EVERY
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
from ._fleet import FleetState, Verdict
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
from ._quarantine import CrashNotice
from ._recorder import SuccessorChoice
from ._recording import Recording
from ._replica import Replica, closes_session, sessions_concerned
from ._session import NodeFacts, OwnSession
from ._watch import QueryWatchers, Seal, Watcher
from ._watch_assignments import WatchAssignments
from .exceptions import InvariantViolation

__all__ = ["Membership"]

PAUSE_MS = 300
CLOSE_AGAIN_MS = 1000


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
        self._outbox = Outbox(fleet, codec)
        self._session = OwnSession(facts, rng)
        self._duty = WatchAssignments(fleet)
        self._recording = Recording(
            facts.control_address, facts.store_region, fleet, self._outbox, rng, successors
        )
        self._replica = Replica(fleet, rng)
        self._last_tick_ns: int | None = None
        self._close_ns: dict[SessionId, int] = {}
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
    def replica(self) -> Replica:
        """This node's copy of both logs."""
        return self._replica

    @property
    def recording(self) -> Recording:
        """This node's proposals and those that it records."""
        return self._recording

    @property
    def _watcher(self) -> Watcher | None:
        return self._duty.watcher

    def expires_ns(self) -> int:
        """Returns the end of the lease, 0 without a session."""
        lease = self._session.lease
        return lease.expires_ns if lease is not None and self.own_id is not None else 0

    def may_serve(self, now_ns: int) -> bool:
        """Whether the lease holds and, after a lapse, the log is as new as any peer reported."""
        if now_ns >= self.expires_ns():
            self._lapsed = True
            return False
        if self._lapsed and not self._replica.is_newest:
            return False
        self._lapsed = False
        return True

    def tick(self, now_ns: int) -> list[Effect]:
        """Does what is due. The caller has drained its socket before."""
        self._notice_pause(now_ns)
        self.may_serve(now_ns)
        commands = self._session.tick(now_ns, self._fleet)
        if commands:
            self._recording.propose(commands)
        self._renew(now_ns)
        self._watch(now_ns)
        self._recording.tick(self.own_id, now_ns)
        self._fetch(now_ns)
        return self._drain()

    def on_datagram(self, data: bytes, address: str, now_ns: int) -> list[Effect]:
        """Handles a datagram, or the same bytes that came over control HTTP."""
        message = self._codec.decode(data)
        if message is not None:
            self._on_message(message, address, now_ns)
        return self._drain()

    def push_crash(self, notice: CrashNotice, source: str) -> list[Effect]:
        """Passes the notice of a crash on to the node's edges.

        Args:
            notice: A notice that this node has not passed on before.
            source: Address that it came from, empty for this node's own.
        """
        self._push(notice, source)
        return self._drain()

    def on_store_reply(self, ticket: int, reply: StoreReply, now_ns: int) -> list[Effect]:
        """Handles the reply to a `StoreRequest`."""
        data = self._recording.on_store_reply(ticket, reply, now_ns)
        if data is not None:
            self._offer(data, "", now_ns, push=True)
        if isinstance(reply, Superseded):
            for record in reply.records:
                self._offer(record, "", now_ns, push=True)
        self._recording.record(now_ns)
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
            self._replica.finish_entries(records, address, now_ns)
            changed = self._fleet.version > before
        else:
            changed = self._replica.take_settings(records, address, now_ns)
            if changed:
                version = self._replica.versions[1]
                self._outbox.add(SettingsChanged(version, self._replica.settings_data))
        if changed:
            self._push(Versions(*self._replica.versions), address)
        self._fetch(now_ns)
        return self._drain()

    def on_restored(self, now_ns: int) -> None:
        """Follows the state after it was replaced from a checkpoint."""
        self._recording.on_restored(now_ns)
        self._session.on_applied(set(), self._fleet, now_ns)
        self._duty.set_own_session(self.own_id, now_ns)
        self._duty.update_all(now_ns)

    def _drain(self) -> list[Effect]:
        notes, self._session.notes = self._session.notes, []
        return [*self._outbox.drain(), *notes]

    def _notice_pause(self, now_ns: int) -> None:
        last_ns = self._last_tick_ns
        self._last_tick_ns = now_ns
        if last_ns is not None and now_ns - last_ns > PAUSE_MS * NS_PER_MS:
            self._outbox.note("pause", "no tick for a while", ms=(now_ns - last_ns) // NS_PER_MS)
            if self._session.lease is not None:
                self._session.lease.restart_silence_timers(now_ns)

    # Lease and watch.

    def _renew(self, now_ns: int) -> None:
        lease = self._session.lease
        if lease is None or self.own_id is None:
            return
        for watcher in lease.due_renewals(now_ns):
            message = Renewal(lease.session, watcher, now_ns, *self._replica.versions)
            self._outbox.send_to((watcher,), message)

    def _watch(self, now_ns: int) -> None:
        if self._watcher is None:
            return
        own_id = self._watcher.session
        for action in self._watcher.tick(now_ns):
            watch_id, others = self._watcher.watch_id(action.holder), self._duty.others(
                action.holder
            )
            match action:
                case QueryWatchers(holder=holder):
                    self._outbox.send_to(others, Query(holder, own_id))
                case Seal(holder=holder, silent_ms=silent_ms, is_new=is_new):
                    if is_new:
                        facts = {"session": str(holder), "silent_ms": silent_ms}
                        self._outbox.note("seal", "full silence", **facts)
                    self._outbox.send_to(others, SealNotice(holder, watch_id, silent_ms))
                    self._recording.suspect(holder, now_ns)
        for holder in self._watcher.holders:
            if self._watcher.has_sealed(holder):
                self._close_sealed(holder, now_ns)

    def _close_sealed(self, holder: SessionId, now_ns: int) -> None:
        row = self._fleet.sessions.get(holder)
        if row is None or now_ns < self._close_ns.get(holder, 0):
            return
        evidence = self._watcher.evidence(holder, row.session.watchers)
        if len(evidence) < max(1, _rules.seals_to_close(len(row.session.watchers))):
            return
        self._close_ns[holder] = now_ns + CLOSE_AGAIN_MS * NS_PER_MS
        self._outbox.note("close", "enough seals", session=str(holder), seals=len(evidence))
        self._recording.propose((Close(f"close:{holder}:{row.revision}", holder, evidence),))

    def _on_message(self, message: Message, address: str, now_ns: int) -> None:
        match message:
            case Renewal():
                self._replica.hint(message.fleet, message.settings, address, now_ns)
                self._on_renewal(message, address, now_ns)
            case Ack():
                self._replica.hint(message.fleet, message.settings, address, now_ns)
                self._on_ack(message, now_ns)
            case Versions():
                self._replica.hint(message.fleet, message.settings, address, now_ns)
                self._fetch(now_ns)
            case Push(entry=entry):
                self._offer(entry, address, now_ns, push=True)
                self._fetch(now_ns)
            case Propose():
                self._recording.on_propose(message, self.own_id, now_ns)
            case Taken(id=proposal_id):
                self._recording.on_taken(proposal_id, now_ns)
            case CrashNotice():
                self._outbox.add(CrashReported(message, address))
            case Query() | Heard() | SealNotice() if self._watcher is not None:
                self._on_watcher(message, address, now_ns)

    def _on_watcher(self, message: Query | Heard | SealNotice, address: str, now_ns: int) -> None:
        holder = message.holder
        match message:
            case Query():
                silent_ms = self._watcher.on_query(holder, now_ns)
                self._outbox.send(address, Heard(holder, self._watcher.session, silent_ms))
            case Heard(watcher=watcher, silent_ms=silent_ms):
                self._watcher.on_query_reply(holder, watcher, silent_ms)
            case SealNotice(watcher=watcher, silent_ms=silent_ms):
                if holder in self._fleet.sessions:
                    self._watcher.on_seal(holder, Evidence(watcher, silent_ms))
                    self._recording.suspect(holder, now_ns)
                    self._close_sealed(holder, now_ns)
                    self._recording.send(self.own_id, now_ns)
                    self._recording.record(now_ns)

    def _on_renewal(self, message: Renewal, address: str, now_ns: int) -> None:
        watcher = self._watcher
        if watcher is None:
            return
        if not _rules.is_same_watcher(message.watcher, watcher.session):
            if message.watcher == watcher.watch_id(message.holder):
                watcher.on_unacknowledged_renewal(message.holder, now_ns)
            return
        is_open = message.holder in self._fleet.sessions
        may_be_open = is_open or message.fleet > self._fleet.version
        may_be_open = may_be_open and message.holder not in self._fleet.ended
        acknowledged = may_be_open and watcher.on_renewal(message.holder, now_ns)
        ids = (message.holder, message.watcher)
        versions = self._replica.versions
        self._outbox.send(address, Ack(*ids, message.sent_ns, not acknowledged, *versions))

    def _on_ack(self, message: Ack, now_ns: int) -> None:
        lease = self._session.lease
        if lease is None or message.holder != lease.session:
            return
        if message.sealed and message.watcher not in lease.sealed_by:
            self._outbox.note("lease", "sealed by a watcher", watcher=str(message.watcher))
            self._replica.ask_store()
        lease.on_ack(message.watcher, message.echo_ns, message.sealed, now_ns)

    # Logs.

    def _offer(self, data: bytes, address: str, now_ns: int, *, push: bool) -> None:
        applied = self._replica.offer(data, address)
        if applied is None:
            return
        entry, verdicts = applied
        own_id, held_until_ns = self.own_id, self.expires_ns()
        for verdict in verdicts:
            self._follow(verdict, now_ns)
        is_own = self._recording.on_applied(entry)
        self._session.on_applied({command.id for command in entry.commands}, self._fleet, now_ns)
        self._duty.set_own_session(self.own_id, now_ns)
        self._outbox.add(Applied(entry, verdicts))
        small = len(data) <= MAX_ENTRY_BYTES
        message: Message = Push(data) if small else Versions(*self._replica.versions)
        if push:
            self._push(message, address)
        if is_own:
            self._outbox.send_to(sorted(sessions_concerned(verdicts) - {self.own_id}), message)
            if entry.version % CHECKPOINT_EVERY == 0:
                self._outbox.add(SaveCheckpoint(entry.version))
        if now_ns < held_until_ns and closes_session(verdicts, own_id):
            raise InvariantViolation("closed while the lease held", step="membership.apply")

    def _follow(self, verdict: Verdict, now_ns: int) -> None:
        if not verdict.applied:
            return
        match verdict.command:
            case Join(session=session):
                self._recording.on_join(now_ns)
                self._duty.update_holder(session.id, now_ns)
            case SetWatchers(session=session_id):
                self._duty.update_holder(session_id, now_ns)
            case Resume(old=old, session=session):
                self._recording.on_join(now_ns)
                self._forget(old)
                self._duty.update_holder(session.id, now_ns)
            case (
                Close(session=ended)
                | Leave(session=ended)
                | DeclareLost(session=ended)
                | Succeed(old=ended)
            ):
                self._forget(ended)

    def _forget(self, ended: SessionId) -> None:
        self._close_ns.pop(ended, None)
        self._duty.forget(ended)

    def _push(self, message: Message, source: str) -> None:
        lease = self._session.lease
        edges = set(lease.watchers) if lease is not None else set()
        if self._watcher is not None:
            edges.update(self._watcher.holders)
        self._outbox.send_to(sorted(edges), message, but=source)

    def _fetch(self, now_ns: int) -> None:
        # A node whose lease has lapsed may hear from nobody what it missed.
        often = self._lapsed or self._recording.polls(self.own_id, now_ns) or self.own_id is None
        if self._replica.poll_due(now_ns, often):
            self._replica.poll(now_ns, often, self._poll_address())
        self._outbox.add(*self._replica.fetches(now_ns))

    def _poll_address(self) -> str:
        # Nobody notifies a node without a session of new versions; while the store is down only
        # a peer that it knows from its settings can help.
        if self.own_id is not None or not self._facts.peers:
            return ""
        return self._rng.choice(("", *self._facts.peers))
