"""The placement policy: pure functions that decide where shards go.

`choose_successors` places the shards of closed sessions, `plan_moves` plans for one owner, and
`decide_reservation` is the target's side of a planned move. None of them does I/O or reads a clock.
"""

from collections.abc import Sequence

from ._model import Grant, SessionId
from ._placement_model import (
    CHURN_FIRST,
    DEFAULT_LIMITS,
    MAX_PEERS_IN_SAMPLE,
    UNAVAILABLE_FIRST,
    ClosedSession,
    Limits,
    Move,
    MoveReason,
    OwnerView,
    PlacementSettings,
    Plan,
    ReservationReply,
    ReservationRequest,
    ServerLoad,
    ShardLoad,
    Weights,
)

__all__ = [
    "CHURN_FIRST",
    "DEFAULT_LIMITS",
    "MAX_PEERS_IN_SAMPLE",
    "UNAVAILABLE_FIRST",
    "ClosedSession",
    "Limits",
    "Move",
    "MoveReason",
    "OwnerView",
    "PlacementSettings",
    "Plan",
    "ReservationReply",
    "ReservationRequest",
    "ServerLoad",
    "ShardLoad",
    "Weights",
    "choose_successors",
    "decide_reservation",
    "plan_moves",
]


def choose_successors(
    closed: Sequence[ClosedSession], servers: Sequence[ServerLoad]
) -> dict[SessionId, tuple[Grant, ...]]:
    """Chooses new owners for the shards of closed sessions."""
    raise NotImplementedError


def plan_moves(view: OwnerView, weights: Weights, limits: Limits = DEFAULT_LIMITS) -> Plan:
    """Plans moves for one owner."""
    raise NotImplementedError


def decide_reservation(
    target: ServerLoad,
    mean_utilisation: float,
    request: ReservationRequest,
    limits: Limits = DEFAULT_LIMITS,
) -> ReservationReply:
    """Decides whether a target takes shards."""
    raise NotImplementedError
