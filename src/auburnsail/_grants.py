"""New owners for shards that a command frees or assigns, from what the fleet's state shows."""

from collections.abc import Sequence
from dataclasses import dataclass

from ._fleet import FleetState, SessionRow
from ._model import Grant, SessionId
from ._placement_model import ClosedSession, ServerLoad
from ._successors import choose_successors

__all__ = ["Candidate", "LostShards", "candidate_of", "spread_shards"]

# The log tells how many shards a session owns and not how busy they are. All shards together
# count as half of the service's slots, so that sessions with fewer shards are filled first.
ASSUMED_UTILISATION = 0.5


@dataclass(frozen=True, slots=True)
class LostShards:
    """Shards that need new owners.

    Attributes:
        command: Id of the command that frees or assigns them.
        session: The session that loses them, an empty name for none.
        domain: Its failure domain.
        shards: The shards.
    """

    command: str
    session: SessionId
    domain: str
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A session that can take shards."""

    session: SessionId
    region: str
    domain: str
    slots: int
    shards: int


def candidate_of(fleet: FleetState, row: SessionRow) -> Candidate:
    """Returns an open session as a candidate."""
    session = row.session
    shards = fleet.shard_count(row)
    return Candidate(session.id, session.region, session.domain, session.slots, shards)


def spread_shards(
    lost: Sequence[LostShards], candidates: Sequence[Candidate]
) -> dict[str, tuple[Grant, ...]]:
    """Gives shards to the sessions with the fewest shards per slot, outside failing domains.

    Args:
        lost: Shards to give away; each session at most once.
        candidates: Open sessions of the service that stay.

    Returns:
        The grants of each command; empty if there is no candidate.
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
