"""Safety rules of ownership, each a constant or a small function.

Callers look a rule up in this module each time they apply it, so that mutation tests can replace a
rule and check that a violation is detected.
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
# The clock rates of two nodes differ by at most 0.1 %.
MAX_CLOCK_DRIFT_FACTOR = 1.001
SEALS_TO_CLOSE = 2


def set_lease_ms(lease_ms: int) -> None:
    """Sets the duration of a lease; called once at start, with the same value on every node."""
    global LEASE_MS
    LEASE_MS = lease_ms


def silence_before_seal_ns() -> int:
    """Returns the silence after which a watcher may seal: a lease, clock drift and one tick."""
    return int((LEASE_MS * MAX_CLOCK_DRIFT_FACTOR + TICK_MS) * NS_PER_MS)


def lease_end_ns(start_ns: int) -> int:
    """Returns when a lease that starts at a given time expires."""
    return start_ns + LEASE_MS * NS_PER_MS


def lease_start_ns(echo_ns: int, arrival_ns: int) -> int:
    """Returns when a lease starts: when the renewal was sent, not when its answer arrived."""
    return echo_ns


def seals_to_close(watchers: int) -> int:
    """Returns how many watchers must seal a session before it may be closed."""
    return min(SEALS_TO_CLOSE, watchers)


def acks_to_hold(watchers: int) -> int:
    """Returns how many watchers must acknowledge a lease.

    Quorum intersection: any such set shares a watcher with any set that may close the session.
    """
    return watchers - min(SEALS_TO_CLOSE, watchers) + 1 if watchers else 0


def is_valid_evidence(evidence: Evidence, watchers: tuple[SessionId, ...]) -> bool:
    """Returns whether a seal comes from a current watcher and followed the required silence."""
    named = is_watcher(evidence.watcher, watchers)
    # `silent_ms` is rounded down, so up to 1 ms of the silence is missing.
    return named and evidence.silent_ms * NS_PER_MS >= silence_before_seal_ns() - NS_PER_MS


def is_watcher(session: SessionId, watchers: tuple[SessionId, ...]) -> bool:
    """Returns whether a session is in a set of watchers."""
    return any(is_same_watcher(named, session) for named in watchers)


def is_same_watcher(named: SessionId, actual: SessionId) -> bool:
    """Returns whether a session is the watcher that the log names.

    A restarted watcher is another incarnation and does not count: it has lost the record of which
    sessions it sealed.
    """
    return named == actual


def may_ack_after_seal() -> bool:
    """Returns whether a watcher may acknowledge a session that it sealed. A seal is final."""
    return False


def required_watcher_sets(
    current: tuple[SessionId, ...], proposed: tuple[SessionId, ...] | None
) -> list[tuple[SessionId, ...]]:
    """Returns the watcher sets that must each acknowledge the lease with a quorum.

    While the outcome of a change of watchers is unknown, both the old and the new set must.
    """
    return [current] if proposed is None else [current, proposed]


def is_definite(reply: object) -> bool:
    """Returns whether a store reply shows the outcome of an append; a lost reply shows nothing."""
    return bool(getattr(reply, "definite", False))


def gives_up_on_outcome(waited_ns: int) -> bool:
    """Returns whether a proposer may treat a command without a known outcome as not applied."""
    return False


def append_condition(version: int) -> int:
    """Returns the head version that the store must have for an append after `version`."""
    return version


def transfer_allowed(table: ShardTable, shard: int, source: int, epoch: int) -> bool:
    """Returns whether a shard still has the owner and the epoch that a transfer names."""
    return table.owner[shard] == source and table.epoch[shard] == epoch
