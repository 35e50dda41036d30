"""Group commit of proposals into the fleet log. No I/O; time and randomness are passed in."""

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
from ._grants import Candidate, LostShards, candidate_of, spread_shards
from ._model import (
    Assign,
    Close,
    Command,
    DeclareLost,
    Entry,
    Grant,
    Leave,
    SessionId,
    Succeed,
    encode_entry,
)
from ._ranges import spread_ranges
from ._shards import NO_OWNER

__all__ = ["Recorder", "SuccessorChoice", "rank_recorders"]

MAX_COMMANDS_PER_ENTRY = 2048
RETRY_MIN_MS = 50
RETRY_MAX_MS = 1000
NOBODY = SessionId("", 0)

SuccessorChoice = Callable[
    [Sequence[LostShards], Sequence[Candidate]], dict[str, tuple[Grant, ...]]
]


def rank_recorders(fleet: FleetState, region: str, count: int) -> list[SessionId]:
    """Returns the sessions that record first, by rendezvous hash.

    Args:
        fleet: State of the fleet.
        region: Region of the store; sessions elsewhere are used only if it has none.
        count: How many to return.
    """
    near = [s for s, row in fleet.sessions.items() if row.session.region == region]
    return heapq.nlargest(count, near or list(fleet.sessions), key=_weight)


def _weight(session: SessionId) -> bytes:
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
    """Collects proposals while an append is outstanding and appends them as one entry.

    Args:
        rng: Source of randomness for ids and the spread of retries.
        successors: Chooses new owners.
    """

    def __init__(self, rng: random.Random, successors: SuccessorChoice = spread_shards) -> None:
        self._rng = rng
        self._successors = successors
        self._pending: dict[str, _Proposal] = {}
        self._outstanding: _Append | None = None
        self._ticket = 0
        self._not_before_ns = 0
        self._refusals = 0

    @property
    def pending(self) -> int:
        """Number of proposals whose outcome is open."""
        return len(self._pending)

    def propose(self, proposal_id: str, commands: tuple[Command, ...]) -> None:
        """Takes a proposal; one that is pending already is replaced."""
        self._pending[proposal_id] = _Proposal(proposal_id, commands)

    def tick(self, now_ns: int, fleet: FleetState) -> StoreRequest | None:
        """Returns the append to make now, if any."""
        append = self._outstanding
        if append is not None:
            if append.in_flight or now_ns < append.retry_ns:
                return None
            append.in_flight = True
            return self._request(append)
        if not self._pending or now_ns < self._not_before_ns:
            return None
        return self._start(fleet)

    def on_reply(self, ticket: int, reply: StoreReply, now_ns: int) -> bytes | None:
        """Handles the store's reply.

        Returns:
            The entry if it is known to be in the log. Records of a `Superseded` reply are for the
            caller to apply, which settles the append through `on_applied`.
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
            self._not_before_ns = now_ns + self._backoff_ns(self._refusals)
        elif _rules.is_definite(reply) and not isinstance(reply, Superseded):
            self._outstanding = None
        else:
            # A refusal of this attempt does not settle an earlier one whose answer was lost.
            append.may_be_written = True
            append.retries += 1
            append.retry_ns = now_ns + self._backoff_ns(append.retries)
        return None

    def on_applied(self, entry: Entry) -> bool:
        """Settles proposals and the outstanding append; returns whether the entry is its own."""
        for command in entry.commands:
            self._pending.pop(command.id, None)
        append = self._outstanding
        if append is None or append.entry.version > entry.version:
            return False
        own = append.entry.id == entry.id
        self._outstanding = None
        return own

    def on_restored(self, version: int) -> None:
        """Settles the outstanding append if the state has moved past its place.

        Whether it was written is not known then; its proposals stay pending, and a second copy of
        a command has no effect.
        """
        if self._outstanding is not None and self._outstanding.entry.version <= version:
            self._outstanding = None

    def _backoff_ns(self, retries: int) -> int:
        limit_ms = min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** min(retries, 10))
        return int(limit_ms * self._rng.uniform(0.5, 1.0) * NS_PER_MS)

    def _start(self, fleet: FleetState) -> StoreRequest:
        commands: list[Command] = []
        for proposal in self._pending.values():
            if commands and len(commands) + len(proposal.commands) > MAX_COMMANDS_PER_ENTRY:
                break
            commands.extend(proposal.commands)
        resolved = resolve_grants(fleet, tuple(commands), self._successors)
        append_id = f"{self._rng.getrandbits(64):016x}"
        entry = Entry(fleet.version + 1, fleet.digest, append_id, resolved)
        self._ticket += 1
        data = encode_entry(entry)
        self._outstanding = _Append(self._ticket, entry, data, True, False, 0, 0)
        return self._request(self._outstanding)

    def _request(self, append: _Append) -> StoreRequest:
        expected = _rules.append_condition(append.entry.version - 1)
        return StoreRequest(append.ticket, expected, append.entry.id, append.data)


def resolve_grants(
    fleet: FleetState, commands: tuple[Command, ...], successors: SuccessorChoice
) -> tuple[Command, ...]:
    """Fills in the new owners of shards that the commands free or assign."""
    with ExitStack() as stack:
        if len(commands) > 1:
            for table in fleet.tables.values():
                stack.enter_context(table.grouped_by_owner())
        return _resolve(fleet, commands, successors)


def _resolve(
    fleet: FleetState, commands: tuple[Command, ...], successors: SuccessorChoice
) -> tuple[Command, ...]:
    ending = {_ends(command) for command in commands}
    lost: dict[str, dict[SessionId, LostShards]] = {}
    for command in commands:
        ended = _ends(command)
        row = fleet.sessions.get(ended) if ended else None
        if isinstance(command, Assign) and not command.grants and command.service in fleet.tables:
            unowned = tuple(fleet.tables[command.service].owned_by(NO_OWNER))
            item = LostShards(command.id, NOBODY, "", unowned)
            lost.setdefault(command.service, {})[NOBODY] = item
        elif row is not None and not isinstance(command, Leave) and not command.grants:
            shards = tuple(fleet.shards_of(row))
            item = LostShards(command.id, ended, row.session.domain, shards)
            lost.setdefault(row.session.service, {}).setdefault(ended, item)
    grants: dict[str, tuple[Grant, ...]] = {}
    for service, items in lost.items():
        candidates = [
            candidate_of(fleet, row)
            for session_id, row in fleet.sessions.items()
            if row.session.service == service and session_id not in ending
        ]
        table = fleet.tables.get(service)
        choose = spread_ranges if table is not None and table.keys else successors
        grants.update(choose(list(items.values()), candidates))
    return tuple(_with_grants(command, grants.get(command.id)) for command in commands)


def _ends(command: Command) -> SessionId | None:
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
