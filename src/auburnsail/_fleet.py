"""State of the fleet, derived only from the entries of the fleet log. No I/O."""

from contextlib import ExitStack
from dataclasses import dataclass, field

import msgspec

from . import _rules
from ._digest import blake2s
from ._model import (
    Assign,
    Close,
    Command,
    DeclareLost,
    Entry,
    Grant,
    Join,
    Leave,
    Resume,
    Retire,
    Session,
    SessionId,
    SetWatchers,
    Succeed,
    Transfer,
    encode_entry,
)
from ._shards import NO_OWNER, ShardTable, contiguous_runs
from .exceptions import InvariantViolation

__all__ = ["CommandResult", "FleetState", "SessionRow"]

GENESIS_DIGEST = b""
# Ended sessions are remembered so that a delayed copy of a Join cannot reopen one. At the target
# fleet size this number covers about five days.
MAX_ENDED_SESSIONS = 8192


@dataclass(slots=True)
class SessionRow:
    """An open session and its owner index.

    Attributes:
        session: The session.
        index: The number that stands for the session in shard tables.
        revision: Version of the log that last replaced the session or its watchers.
        fence: Fencing token: version of the log that last assigned it a shard. It is higher than
            every epoch at which its shards had other owners, and never decreases while the
            session is open.
    """

    session: Session
    index: int
    revision: int
    fence: int = 0


@dataclass(slots=True)
class CommandResult:
    """Whether a command took effect, with the reason if it did not."""

    command: Command
    applied: bool
    reason: str = ""


_ENDING_COMMANDS = (Close, DeclareLost, Leave, Succeed)


@dataclass(slots=True)
class FleetState:
    """Open sessions and shard owners at one version of the log.

    Attributes:
        version: Version of the last entry applied.
        digest: Digest of the last entry applied.
        sessions: Open sessions by identity.
        by_index: Open sessions by owner index.
        by_node: Open sessions by node name.
        tables: Shard tables by keyed service.
        ended: Recently ended sessions, oldest first, each mapped to the session that replaced it at
            the same address, or None.
    """

    version: int = 0
    digest: bytes = GENESIS_DIGEST
    sessions: dict[SessionId, SessionRow] = field(default_factory=dict)
    by_index: dict[int, SessionRow] = field(default_factory=dict)
    by_node: dict[str, SessionRow] = field(default_factory=dict)
    tables: dict[str, ShardTable] = field(default_factory=dict)
    ended: dict[SessionId, SessionId | None] = field(default_factory=dict)

    def add_service(self, service: str, shards: int, keys: int = 0) -> None:
        """Creates the shard table of a keyed service if it does not exist, and sets its key space.

        Args:
            service: Name of the service.
            shards: Number of shards.
            keys: Size of an ordered key space, 0 if keys are hashed.
        """
        table = self.tables.setdefault(service, ShardTable(shards))
        table.keys = keys

    def contiguous_runs(self, row: SessionRow) -> list[tuple[int, int]]:
        """Returns the first and last shard of each contiguous run that a session owns, in order."""
        return list(contiguous_runs(self.shards_of(row)))

    def owner(self, service: str, shard: int) -> SessionRow | None:
        """Returns the owner of a shard, or None if it has none."""
        return self.by_index.get(self.tables[service].owner[shard])

    def successor(self, session_id: SessionId) -> SessionId | None:
        """Returns the latest session that replaced an ended one at its address, or None."""
        successor = self.ended.get(session_id)
        while successor is not None and successor in self.ended:
            successor = self.ended[successor]
        return successor

    def members_of(self, service: str) -> list[SessionRow]:
        """Returns the open sessions whose upstream serves a service and does not leave."""
        return [
            row
            for row in self.sessions.values()
            if row.session.service == service and not row.session.is_leaving
        ]

    def shards_of(self, row: SessionRow) -> list[int]:
        """Returns the shards that a session owns, in ascending order."""
        table = self.tables.get(row.session.service)
        return table.owned_by(row.index) if table else []

    def shard_count(self, row: SessionRow) -> int:
        """Returns the number of shards that a session owns."""
        table = self.tables.get(row.session.service)
        return table.count(row.index) if table else 0

    def epoch(self, service: str, shard: int) -> int:
        """Returns the log version that last changed the owner of a shard."""
        return self.tables[service].epoch[shard]

    def apply(self, entry: Entry) -> list[CommandResult]:
        """Applies the next entry.

        Args:
            entry: The direct successor of the last entry applied.

        Returns:
            One result per command, the same on every node.

        Raises:
            InvariantViolation: The version or the parent digest does not match.
        """
        if entry.version != self.version + 1 or entry.parent != self.digest:
            raise InvariantViolation(
                f"entry {entry.version} cannot be applied to fleet version {self.version}",
                step="fleet.apply",
            )
        results = []
        with ExitStack() as stack:
            if sum(isinstance(command, _ENDING_COMMANDS) for command in entry.commands) > 1:
                for table in self.tables.values():
                    stack.enter_context(table.grouped_by_owner())
            for command in entry.commands:
                reason = self._apply_command(command, entry.version)
                results.append(CommandResult(command, not reason, reason))
        self.version = entry.version
        self.digest = blake2s(encode_entry(entry), digest_size=16).digest()
        return results

    def _apply_command(self, command: Command, version: int) -> str:
        match command:
            case Join(session=session):
                return self._join(session, version)
            case SetWatchers(session=session_id, expected=expected, watchers=watchers):
                return self._set_watchers(session_id, expected, watchers, version)
            case Close(session=session_id, evidence=evidence, grants=grants):
                return self._close_sealed(session_id, evidence, grants, version)
            case Leave(session=session_id) | DeclareLost(session=session_id):
                grants = command.grants if isinstance(command, DeclareLost) else ()
                return self._end(session_id, grants, version)
            case Succeed():
                return self._succeed(command, version)
            case Resume(old=old, session=session):
                return self._resume(old, session, version)
            case Retire(node=node, lifetime=lifetime):
                return self._retire(node, lifetime)
            case Transfer():
                return self._transfer(command, version)
            case Assign():
                return self._assign(command, version)

    def _join(self, session: Session, version: int) -> str:
        if session.id in self.sessions:
            return "session is open already"
        if session.id in self.ended:
            return "session has ended"
        if session.id.node in self.by_node:
            return "an older session of this node is still open"
        index = next(i for i in range(NO_OWNER) if i not in self.by_index)
        row = SessionRow(session, index, version)
        self.sessions[session.id] = row
        self.by_node[session.id.node] = row
        self.by_index[index] = row
        return ""

    def _set_watchers(
        self, session_id: SessionId, expected: int, watchers: tuple[SessionId, ...], version: int
    ) -> str:
        row = self.sessions.get(session_id)
        if row is None:
            return "session is not open"
        if row.revision != expected:
            return "session has changed"
        row.session = msgspec.structs.replace(row.session, watchers=watchers)
        row.revision = version
        return ""

    def _close_sealed(self, session_id: SessionId, evidence, grants, version: int) -> str:
        row = self.sessions.get(session_id)
        if row is None:
            return "session is not open"
        sealers = {
            item.watcher
            for item in evidence
            if _rules.is_valid_evidence(item, row.session.watchers)
        }
        if not sealers or len(sealers) < _rules.seals_to_close(len(row.session.watchers)):
            return "too few of the session's watchers sealed it"
        return self._end(session_id, grants, version)

    def _succeed(self, command: Succeed, version: int) -> str:
        row = self.sessions.get(command.old)
        if row is None:
            return "session is not open"
        if row.session.control_address != command.control_address:
            return "successor holds another address"
        reason = self._end(command.old, command.grants, version)
        self.ended[command.old] = command.new
        return reason

    def _resume(self, old: SessionId, session: Session, version: int) -> str:
        row = self.sessions.get(old)
        if row is None:
            return "session is not open"
        if session.id in self.sessions or session.id in self.ended:
            return "the new session is known already"
        previous = row.session
        if previous.id.node != session.id.node:
            return "successor is another node"
        if previous.control_address != session.control_address:
            return "successor holds another address"
        if previous.is_leaving and previous.lifetime == session.lifetime:
            # The new process may not have known of the departure, which is final.
            session = msgspec.structs.replace(session, slots=0)
        del self.sessions[old]
        self._record_ended(old, session.id)
        row.session, row.revision = session, version
        self.sessions[session.id] = row
        table = self.tables.get(previous.service)
        is_same_service = previous.service == session.service
        is_same_lifetime = session.lifetime and session.lifetime == previous.lifetime
        if table is not None and not (is_same_lifetime and is_same_service):
            owner = row.index if is_same_service else NO_OWNER
            for shard in table.owned_by(row.index):
                table.assign(shard, owner, version)
            row.fence = version
        return ""

    def _retire(self, node: str, lifetime: str) -> str:
        row = self.by_node.get(node)
        if row is None or not lifetime or row.session.lifetime != lifetime:
            return "the node has no session of this lifetime"
        row.session = msgspec.structs.replace(row.session, slots=0)
        return ""

    def _record_ended(self, session_id: SessionId, successor: SessionId | None = None) -> None:
        self.ended[session_id] = successor
        while len(self.ended) > MAX_ENDED_SESSIONS:
            del self.ended[next(iter(self.ended))]

    def _end(self, session_id: SessionId, grants: tuple[Grant, ...], version: int) -> str:
        row = self.sessions.pop(session_id, None)
        if row is None:
            return "session is not open"
        del self.by_index[row.index]
        del self.by_node[session_id.node]
        self._record_ended(session_id)
        table = self.tables.get(row.session.service)
        if table is None:
            return ""
        for shard in table.owned_by(row.index):
            table.assign(shard, NO_OWNER, version)
        self._grant(row.session.service, grants, NO_OWNER, version)
        return ""

    def _transfer(self, command: Transfer, version: int) -> str:
        source = self.sessions.get(command.source)
        if source is None:
            return "source session is not open"
        table = self.tables.get(command.service)
        if table is None:
            return "service is not keyed"
        if command.target not in self.sessions:
            return "target session is not open"
        if len(command.epochs) != len(command.shards):
            return "epochs do not match the shards"
        kept = tuple(
            shard
            for shard, epoch in zip(command.shards, command.epochs, strict=True)
            if shard < len(table) and _rules.transfer_allowed(table, shard, source.index, epoch)
        )
        grants = (Grant(command.target, kept),)
        reason = self._grant(command.service, grants, source.index, version)
        skipped = len(command.shards) - len(kept)
        return reason or (f"{skipped} shards had another owner or epoch" if skipped else "")

    def _assign(self, command: Assign, version: int) -> str:
        table = self.tables.get(command.service)
        if command.shards < 1:
            return "service is not keyed"
        if table is None or (len(table) != command.shards and not any(table.epoch)):
            keys = table.keys if table is not None else 0
            self.tables[command.service] = table = ShardTable(command.shards)
            table.keys = keys
        elif len(table) != command.shards:
            return "number of shards differs"
        return self._grant(command.service, command.grants, NO_OWNER, version)

    def _grant(
        self, service: str, grants: tuple[Grant, ...], expected_owner: int, version: int
    ) -> str:
        table = self.tables.get(service)
        if table is None:
            return "service is not keyed"
        skipped = 0
        for grant in grants:
            target = self.sessions.get(grant.to)
            if target is not None and (
                target.session.service != service or target.session.is_leaving
            ):
                # The address of an ended session may since have passed to a VM of another service,
                # and the upstream of an open one may have said that it leaves.
                target = None
            for shard in grant.shards:
                if (
                    target is None
                    or not 0 <= shard < len(table)
                    or table.owner[shard] != expected_owner
                ):
                    skipped += 1
                    continue
                table.assign(shard, target.index, version)
                target.fence = version
        return f"{skipped} shards had another owner or no target of the service" if skipped else ""
