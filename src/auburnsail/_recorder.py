"""Group commit of proposals to the fleet log. No I/O; time and randomness are passed in."""

import heapq
import random
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass

from . import _rules
from ._clock import NS_PER_MS
from ._digest import blake2s
from ._effects import Appended, NotWritten, StoreReply, StoreRequest, Superseded
from ._fleet import FleetState
from ._grants import GrantCandidate, LostShards, candidate_of, spread_shards
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
    SessionId,
    SetWatchers,
    Succeed,
    encode_entry,
)
from ._ranges import spread_ranges
from ._shards import NO_OWNER

__all__ = ["OwnerChoice", "Recorder", "rank_recorders"]

MAX_COMMANDS_PER_ENTRY = 2048
# Entries that only open or change sessions follow each other at this interval at least. When many
# nodes start at once, an entry then holds the commands of many of them.
GROUP_INTERVAL_MS = 150
RETRY_MIN_MS = 50
RETRY_MAX_MS = 1000
NO_SESSION = SessionId("", 0)

# Commands that open or change a session and assign no key to another one.
_GROUPED_COMMANDS = (Join, Resume, SetWatchers)

# Returns the grants by command id for shards that need new owners.
OwnerChoice = Callable[
    [Sequence[LostShards], Sequence[GrantCandidate]], dict[str, tuple[Grant, ...]]
]


def rank_recorders(fleet: FleetState, region: str, count: int) -> list[SessionId]:
    """Returns the sessions that are preferred as recorders, ranked by rendezvous hash.

    Args:
        fleet: State of the fleet.
        region: Region of the store; sessions elsewhere are used only if this region has none.
        count: Maximum number of sessions to return.
    """
    in_region = [
        session_id for session_id, row in fleet.sessions.items() if row.session.region == region
    ]
    return heapq.nlargest(count, in_region or list(fleet.sessions), key=_rendezvous_weight)


def _rendezvous_weight(session: SessionId) -> bytes:
    return blake2s(str(session).encode(), digest_size=8).digest()


@dataclass(slots=True)
class _Proposal:
    id: str
    commands: tuple[Command, ...]


@dataclass(slots=True)
class _Append:
    ticket: int
    entry: Entry
    data: bytes
    in_flight: bool
    may_be_written: bool
    retry_ns: int
    retries: int


class Recorder:
    """Collects proposals while an append is outstanding, then appends them as one entry.

    Args:
        rng: Source of randomness for append ids and the jitter of retries.
        choose_owners: Chooses new owners of shards.
    """

    def __init__(self, rng: random.Random, choose_owners: OwnerChoice = spread_shards) -> None:
        self._rng = rng
        self._choose_owners = choose_owners
        self._pending: dict[str, _Proposal] = {}
        self._outstanding: _Append | None = None
        self._ticket = 0
        self._next_append_ns = 0
        self._next_group_ns = 0
        self._refusals = 0

    @property
    def pending(self) -> int:
        """Number of proposals whose outcome is not known yet."""
        return len(self._pending)

    def propose(self, proposal_id: str, commands: tuple[Command, ...]) -> None:
        """Queues a proposal; a pending proposal with the same id is replaced."""
        self._pending[proposal_id] = _Proposal(proposal_id, commands)

    def tick(self, now_ns: int, fleet: FleetState) -> StoreRequest | None:
        """Returns the append to send to the store now, if any."""
        append = self._outstanding
        if append is not None:
            if append.in_flight or now_ns < append.retry_ns:
                return None
            append.in_flight = True
            return self._store_request(append)
        if not self._pending or now_ns < self._next_append_ns:
            return None
        if now_ns < self._next_group_ns and not self._has_urgent_command():
            return None
        self._next_group_ns = now_ns + GROUP_INTERVAL_MS * NS_PER_MS
        return self._start_append(fleet)

    def withdraw(self, proposal_id: str) -> bool:
        """Drops a proposal that no append contains yet; returns whether it was dropped."""
        if self._outstanding is not None:
            return False
        return self._pending.pop(proposal_id, None) is not None

    def _has_urgent_command(self) -> bool:
        return any(
            not isinstance(command, _GROUPED_COMMANDS)
            for proposal in self._pending.values()
            for command in proposal.commands
        )

    def on_reply(self, ticket: int, reply: StoreReply, now_ns: int) -> bytes | None:
        """Handles the store's reply to an append.

        Returns:
            The encoded entry if it is known to be in the log, or None. The caller applies the
            records of a `Superseded` reply, which ends the append through `on_applied`.
        """
        append = self._outstanding
        if append is None or append.ticket != ticket:
            return None
        append.in_flight = False
        if isinstance(reply, Appended):
            self._refusals = 0
            return append.data
        if isinstance(reply, NotWritten) and not append.may_be_written:
            self._outstanding = None
            self._refusals += 1
            self._next_append_ns = now_ns + self._backoff_ns(self._refusals)
        elif _rules.is_definite(reply) and not isinstance(reply, Superseded):
            self._outstanding = None
        else:
            # A refusal of this attempt does not show the outcome of an earlier one without a reply.
            append.may_be_written = True
            append.retries += 1
            append.retry_ns = now_ns + self._backoff_ns(append.retries)
        return None

    def on_applied(self, entry: Entry) -> bool:
        """Removes the proposals in an entry, and the outstanding append if its version is reached.

        Returns:
            Whether this recorder appended the entry.
        """
        for command in entry.commands:
            self._pending.pop(command.id, None)
        append = self._outstanding
        if append is None or append.entry.version > entry.version:
            return False
        is_own = append.entry.id == entry.id
        self._outstanding = None
        return is_own

    def on_restored(self, version: int) -> None:
        """Drops the outstanding append if the restored state has reached its version.

        Whether the entry was written is unknown then. Its proposals stay pending and are appended
        again; commands are idempotent, so a second copy has no effect.
        """
        if self._outstanding is not None and self._outstanding.entry.version <= version:
            self._outstanding = None

    def _backoff_ns(self, retries: int) -> int:
        limit_ms = min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** min(retries, 10))
        return int(limit_ms * self._rng.uniform(0.5, 1.0) * NS_PER_MS)

    def _start_append(self, fleet: FleetState) -> StoreRequest:
        commands: list[Command] = []
        for proposal in self._pending.values():
            if commands and len(commands) + len(proposal.commands) > MAX_COMMANDS_PER_ENTRY:
                break
            commands.extend(proposal.commands)
        resolved = resolve_grants(fleet, tuple(commands), self._choose_owners)
        append_id = f"{self._rng.getrandbits(64):016x}"
        entry = Entry(fleet.version + 1, fleet.digest, append_id, resolved)
        self._ticket += 1
        data = encode_entry(entry)
        self._outstanding = _Append(self._ticket, entry, data, True, False, 0, 0)
        return self._store_request(self._outstanding)

    def _store_request(self, append: _Append) -> StoreRequest:
        expected = _rules.append_condition(append.entry.version - 1)
        return StoreRequest(append.ticket, expected, append.entry.id, append.data)


def resolve_grants(
    fleet: FleetState, commands: tuple[Command, ...], choose_owners: OwnerChoice
) -> tuple[Command, ...]:
    """Returns the commands with new owners filled in for the shards that they release or assign."""
    with ExitStack() as stack:
        if len(commands) > 1:
            for table in fleet.tables.values():
                stack.enter_context(table.grouped_by_owner())
        return _resolve(fleet, commands, choose_owners)


def _resolve(
    fleet: FleetState, commands: tuple[Command, ...], choose_owners: OwnerChoice
) -> tuple[Command, ...]:
    ending_sessions = {_ended_session(command) for command in commands}
    lost_by_service: dict[str, dict[SessionId, LostShards]] = {}
    for command in commands:
        ended = _ended_session(command)
        row = fleet.sessions.get(ended) if ended else None
        if isinstance(command, Assign) and not command.grants and command.service in fleet.tables:
            unowned = tuple(fleet.tables[command.service].owned_by(NO_OWNER))
            item = LostShards(command.id, NO_SESSION, "", unowned)
            lost_by_service.setdefault(command.service, {})[NO_SESSION] = item
        elif row is not None and not isinstance(command, Leave) and not command.grants:
            shards = tuple(fleet.shards_of(row))
            item = LostShards(command.id, ended, row.session.domain, shards)
            lost_by_service.setdefault(row.session.service, {}).setdefault(ended, item)
    grants: dict[str, tuple[Grant, ...]] = {}
    for service, items in lost_by_service.items():
        candidates = [
            candidate_of(fleet, row)
            for row in fleet.members_of(service)
            if row.session.id not in ending_sessions
        ]
        table = fleet.tables.get(service)
        choose = spread_ranges if table is not None and table.keys else choose_owners
        grants.update(choose(list(items.values()), candidates))
    return tuple(_with_grants(command, grants.get(command.id)) for command in commands)


def _ended_session(command: Command) -> SessionId | None:
    match command:
        case Close(session=session) | Leave(session=session) | DeclareLost(session=session):
            return session
        case Succeed(old=session):
            return session
    return None


def _with_grants(command: Command, grants: tuple[Grant, ...] | None) -> Command:
    if not grants:
        return command
    match command:
        case Close():
            return Close(command.id, command.session, command.evidence, grants)
        case Succeed():
            old, new, address = command.old, command.new, command.control_address
            return Succeed(command.id, old, new, address, grants)
        case DeclareLost():
            return DeclareLost(command.id, command.session, command.operator, grants)
        case Assign():
            return Assign(command.id, command.service, grants, command.shards)
    return command
