"""Choice of the watchers of a session. No I/O."""

import random
from collections import Counter

from ._fleet import FleetState
from ._model import Session, SessionId

__all__ = ["WATCHER_COUNT", "choose_watchers"]

WATCHER_COUNT = 3
MAX_WATCH_COUNT_DIFFERENCE = 2
REPLACEMENT_PROBABILITY = 0.25


def choose_watchers(
    fleet: FleetState,
    session: Session,
    current: tuple[SessionId, ...],
    excluded: set[SessionId],
    rng: random.Random,
) -> tuple[SessionId, ...]:
    """Returns one watcher in the domain, one in the region's other domains and one elsewhere.

    Candidates of the other groups fill an empty group; a small fleet has fewer than three watchers.

    Args:
        fleet: State of the fleet.
        session: The session that needs watchers.
        current: Current watchers, preferred where possible.
        excluded: Sessions that must not be chosen.
        rng: Source of randomness.
    """
    candidates_by_distance: list[list[SessionId]] = [[], [], []]
    watch_counts: Counter[SessionId] = Counter()
    for session_id, row in fleet.sessions.items():
        if session_id == session.id:
            continue
        watch_counts.update(row.session.watchers)
        if session_id.node != session.id.node and session_id not in excluded:
            candidates_by_distance[_distance(session, row.session)].append(session_id)
    chosen: list[SessionId] = []
    for candidates in candidates_by_distance:
        kept = [watcher for watcher in current if watcher in candidates]
        if candidates:
            chosen.append(_choose(candidates, kept, watch_counts, rng))
    remaining = [
        candidate
        for candidates in candidates_by_distance
        for candidate in candidates
        if candidate not in chosen
    ]
    chosen += [watcher for watcher in current if watcher in remaining][
        : WATCHER_COUNT - len(chosen)
    ]
    while len(chosen) < WATCHER_COUNT and not set(remaining) <= set(chosen):
        others = [candidate for candidate in remaining if candidate not in chosen]
        chosen.append(_choose(others, [], watch_counts, rng))
    return tuple(chosen[:WATCHER_COUNT])


def _choose(
    candidates: list[SessionId],
    kept: list[SessionId],
    watch_counts: Counter[SessionId],
    rng: random.Random,
) -> SessionId:
    """Chooses the one of two random candidates that watches fewer sessions.

    An uneven distribution raises the processor time and traffic of the busiest node. A current
    watcher is replaced only if it watches clearly more sessions, and then only with
    `REPLACEMENT_PROBABILITY`, because many sessions decide at the same time.
    """
    sampled = min(rng.choices(candidates, k=2), key=lambda candidate: watch_counts[candidate])
    if not kept:
        return sampled
    is_busier = watch_counts[kept[0]] - watch_counts[sampled] > MAX_WATCH_COUNT_DIFFERENCE
    return sampled if is_busier and rng.random() < REPLACEMENT_PROBABILITY else kept[0]


def _distance(session: Session, other: Session) -> int:
    if other.region != session.region:
        return 2
    return 0 if other.domain == session.domain else 1
