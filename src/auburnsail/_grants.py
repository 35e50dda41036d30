"""Chooses new owners for shards without one."""

import heapq
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ._model import Grant, SessionId

__all__ = ["Candidate", "spread_shards"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A session that can take shards."""

    session: SessionId
    slots: int
    shards: int


def spread_shards(
    lost: Mapping[str, Sequence[int]], candidates: Sequence[Candidate]
) -> dict[str, tuple[Grant, ...]]:
    """Gives each shard to the session with the fewest shards per slot.

    Args:
        lost: Shards to give away, by the id of the command that frees them.
        candidates: Open sessions of the service that stay.

    Returns:
        The grants of each command; empty if there is no candidate.
    """
    heap = [(item.shards / item.slots, item.session, item) for item in candidates if item.slots > 0]
    heapq.heapify(heap)
    grants: dict[str, tuple[Grant, ...]] = {}
    for command_id in sorted(lost):
        taken: dict[SessionId, list[int]] = {}
        for shard in lost[command_id] if heap else ():
            load, session, item = heap[0]
            heapq.heapreplace(heap, (load + 1 / item.slots, session, item))
            taken.setdefault(session, []).append(shard)
        grants[command_id] = tuple(Grant(to, tuple(taken[to])) for to in sorted(taken))
    return grants
