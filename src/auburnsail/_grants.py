"""Choice of new owners for shards when only the fleet log is known and not the loads."""

from collections.abc import Sequence
from dataclasses import dataclass

from ._fleet import FleetState, SessionRow
from ._model import Grant, SessionId
from ._placement_model import ClosedSession, ServerLoad
from ._successors import choose_successors

__all__ = ["GrantCandidate", "LostShards", "candidate_of", "spread_shards"]

# The log shows how many shards a session owns but not their load. Assuming that all shards together
# use half of the service's slots gives shards first to sessions that own few.
ASSUMED_UTILISATION = 0.5


@dataclass(frozen=True, slots=True)
class LostShards:
    """Shards that need new owners.

    Attributes:
        command: Id of the command that frees or assigns the shards.
        session: The session that loses the shards; its node name is empty if there is none.
        domain: Failure domain of that session.
        shards: Shard numbers.
    """

    command: str
    session: SessionId
    domain: str
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class GrantCandidate:
    """A session that can receive shards; `shards` is the number that it owns."""

    session: SessionId
    region: str
    domain: str
    slots: int
    shards: int


def candidate_of(fleet: FleetState, row: SessionRow) -> GrantCandidate:
    """Returns the candidate that represents an open session."""
    session = row.session
    shards = fleet.shard_count(row)
    return GrantCandidate(session.id, session.region, session.domain, session.slots, shards)


def spread_shards(
    lost: Sequence[LostShards], candidates: Sequence[GrantCandidate]
) -> dict[str, tuple[Grant, ...]]:
    """Assigns shards to sessions with few shards per slot, outside failing domains if possible.

    Args:
        lost: Shards to assign; each session occurs at most once.
        candidates: Open sessions of the service that are not about to end.

    Returns:
        The grants by command id; empty grants if there is no usable candidate.
    """
    shards = sum(len(item.shards) for item in lost) + sum(item.shards for item in candidates)
    slots = sum(item.slots for item in candidates)
    load = ASSUMED_UTILISATION * slots / max(1, shards)
    closed = [
        ClosedSession(item.session, item.domain, item.shards, load * len(item.shards))
        for item in lost
    ]
    servers = [
        ServerLoad(item.session, item.region, item.domain, item.slots, load * item.shards)
        for item in candidates
    ]
    grants = choose_successors(closed, servers)
    return {item.command: grants[item.session] for item in lost}
