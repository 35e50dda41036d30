"""The rules that protect ownership, each one constant or one small function.

Modules that apply a rule look it up here at the time of use, so that a randomised run can replace
one rule and show that a violation follows.
"""

from ._clock import NS_PER_MS
from ._model import Evidence, SessionId
from ._shards import ShardTable

__all__ = [
    "LEASE_MS",
    "TICK_MS",
    "acks_to_hold",
    "append_condition",
    "gives_up_on_outcome",
    "is_definite",
    "is_same_watcher",
    "is_valid_evidence",
    "is_watcher",
    "lease_end_ns",
    "lease_start_ns",
    "may_ack_after_seal",
    "required_watcher_sets",
    "seals_to_close",
    "set_lease_ms",
    "silence_before_seal_ns",
    "transfer_allowed",
]

LEASE_MS = 600
TICK_MS = 50
# Clocks of two nodes may run apart by 0.1 %.
MAX_CLOCK_DRIFT_FACTOR = 1.001
SEALS_TO_CLOSE = 2


def set_lease_ms(lease_ms: int) -> None:
    """Sets the length of a lease, at the start of a node and for the whole fleet alike."""
    global LEASE_MS
    LEASE_MS = lease_ms


def silence_before_seal_ns() -> int:
    """Returns how long a watcher hears nothing before it may seal: a lease, drift and one tick."""
    return int((LEASE_MS * MAX_CLOCK_DRIFT_FACTOR + TICK_MS) * NS_PER_MS)


def lease_end_ns(start_ns: int) -> int:
    """Returns the end of a lease that starts at an echoed send time."""
    return start_ns + LEASE_MS * NS_PER_MS


def lease_start_ns(echo_ns: int, arrival_ns: int) -> int:
    """Returns when a lease starts: at the echoed send time, not when the answer arrived."""
    return echo_ns


def seals_to_close(watchers: int) -> int:
    """Returns how many watchers must have sealed a session before it may be closed."""
    return min(SEALS_TO_CLOSE, watchers)


def acks_to_hold(watchers: int) -> int:
    """Returns how many watchers must acknowledge a lease.

    Any set of this size shares a watcher with any set that may close the session.
    """
    return watchers - min(SEALS_TO_CLOSE, watchers) + 1 if watchers else 0


def is_valid_evidence(evidence: Evidence, watchers: tuple[SessionId, ...]) -> bool:
    """Whether a seal counts: by a watcher of that incarnation, after the full silence."""
    named = is_watcher(evidence.watcher, watchers)
    return named and evidence.silent_ms * NS_PER_MS >= silence_before_seal_ns() - NS_PER_MS


def is_watcher(session: SessionId, watchers: tuple[SessionId, ...]) -> bool:
    """Whether a session is one of the watchers."""
    return any(is_same_watcher(named, session) for named in watchers)


def is_same_watcher(named: SessionId, actual: SessionId) -> bool:
    """Whether a session is the watcher that a holder named.

    A restarted watcher is another incarnation: it does not remember what it has sealed.
    """
    return named == actual


def may_ack_after_seal() -> bool:
    """Whether a watcher may acknowledge a session that it sealed; a seal is final."""
    return False


def required_watcher_sets(
    current: tuple[SessionId, ...], proposed: tuple[SessionId, ...] | None
) -> list[tuple[SessionId, ...]]:
    """Returns the watcher sets that must all hold the lease.

    Until it is known whether a change of watchers took effect, both sets must.
    """
    return [current] if proposed is None else [current, proposed]


def is_definite(reply: object) -> bool:
    """Whether a store reply settles an append; a lost answer settles nothing."""
    return bool(getattr(reply, "definite", False))


def gives_up_on_outcome(waited_ns: int) -> bool:
    """Whether a proposer may take a command for not applied before the log settles it."""
    return False


def append_condition(version: int) -> int:
    """Returns the head version that an append on top of a version requires."""
    return version


def transfer_allowed(table: ShardTable, shard: int, source: int, epoch: int) -> bool:
    """Whether a shard still has the owner and the epoch that a transfer names."""
    return table.owner[shard] == source and table.epoch[shard] == epoch
