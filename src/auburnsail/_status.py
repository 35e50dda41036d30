"""Status reports of a node: its session, lease and logs, and the owner of a key."""

from ._clock import NS_PER_MS
from ._fleet import FleetState
from ._membership import Membership
from ._shards import shard_of

__all__ = ["explain_owner", "membership_status"]

# The lease of a session without watchers never expires; reports show a finite time.
MAX_REPORTED_LEASE_NS = 1_000_000_000


def membership_status(membership: Membership, fleet: FleetState, now_ns: int) -> dict:
    """Returns the state of the session, the lease and the logs.

    Args:
        membership: The node's fleet membership.
        fleet: State of the fleet.
        now_ns: The current time in nanoseconds.
    """
    row = fleet.sessions.get(membership.own_id) if membership.own_id else None
    lease = membership.session.lease
    lease_left_ns = min(membership.expires_ns(), now_ns + MAX_REPORTED_LEASE_NS) - now_ns
    return {
        "session": str(membership.own_id),
        "phase": membership.session.phase.value,
        "service": row.session.service if row else "",
        "fleet_version": fleet.version,
        "settings_version": membership.replica.settings_version,
        "sessions": [str(session_id) for session_id in fleet.sessions],
        "watchers": [str(watcher) for watcher in lease.watchers] if lease else [],
        "lease_left_ms": lease_left_ns / NS_PER_MS,
        "shards": fleet.shard_count(row) if row else 0,
    }


def explain_owner(membership: Membership, fleet: FleetState, service: str, key: str) -> dict:
    """Returns the shard and the owner of a key.

    Args:
        membership: The node's fleet membership.
        fleet: State of the fleet.
        service: Service of the key.
        key: The key to look up.
    """
    table = fleet.tables.get(service)
    if table is None:
        return {"service": service, "reason": "the service has no shards"}
    shard = shard_of(key, len(table))
    row = fleet.owner(service, shard)
    return {
        "service": service,
        "shard": shard,
        "epoch": fleet.epoch(service, shard),
        "owner": str(row.session.id) if row else "",
        "owner_address": row.session.data_address if row else "",
        "fleet_version": fleet.version,
        "served_here": row is not None and row.session.id == membership.own_id,
    }
