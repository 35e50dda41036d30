"""New owners for the shards of closed sessions."""

from collections import Counter, defaultdict
from collections.abc import Sequence

import xxhash

from ._model import Grant, SessionId
from ._placement_model import MAX_PEERS_IN_SAMPLE, ClosedSession, ServerLoad, ShardLoad
from ._reserve import ready_capacity, trusted_load

__all__ = ["choose_successors"]

# Appenders that do not see each other's grants would all choose the least loaded server. Four
# candidates per shard, drawn by hash, spread the shards and still find a server with room.
CANDIDATES_PER_SHARD = 4

# A domain counts as failing once this many of its sessions, and at least half, are closed.
MIN_CLOSED_IN_FAILING_DOMAIN = 2

# Shards without a known load together weigh this share of the fleet's capacity, so that an idle
# fleet spreads them by capacity.
IDLE_LOAD_SHARE = 0.001


def choose_successors(
    closed: Sequence[ClosedSession], servers: Sequence[ServerLoad]
) -> dict[SessionId, tuple[Grant, ...]]:
    """Chooses new owners for the shards of closed sessions of one service.

    Shards go to the server that is least utilised after the grants so far. Servers in a failing
    domain are avoided as long as there are others. The result depends on the arguments only, so
    every appender that has the same view reaches the same grants.

    Args:
        closed: The sessions that are ended together.
        servers: Servers of the service; leaving and closed ones are ignored.

    Returns:
        Grants by closed session. They contain every shard of the session exactly once, unless no
        server is open: then they are empty and the shards stay unowned.
    """
    ended = {item.session for item in closed}
    servers = [s for s in servers if s.session not in ended and not s.leaving and s.capacity > 0]
    candidates = _outside_failing_domains(closed, servers)
    grants: dict[SessionId, tuple[Grant, ...]] = {item.session: () for item in closed}
    if not candidates:
        return grants
    min_load = _min_shard_load(closed, candidates)
    projected = {s.session: trusted_load(s) + s.reserved for s in candidates}
    capacity = {s.session: ready_capacity(s) for s in candidates}
    for item in sorted(closed, key=lambda item: item.session):
        granted: defaultdict[SessionId, list[int]] = defaultdict(list)
        for shard in _heaviest_first(item, min_load):
            sample = _sample_servers(candidates, item.session, shard.shard)
            best = min(
                sample,
                key=lambda s: (
                    (projected[s.session] + shard.load) / capacity[s.session],
                    s.session,
                ),
            )
            projected[best.session] += shard.load
            granted[best.session].append(shard.shard)
        grants[item.session] = tuple(
            Grant(target, tuple(sorted(shards))) for target, shards in sorted(granted.items())
        )
    return grants


def _outside_failing_domains(
    closed: Sequence[ClosedSession], servers: list[ServerLoad]
) -> list[ServerLoad]:
    closed_sessions = Counter(item.domain for item in closed)
    open_servers = Counter(server.domain for server in servers)
    failing = {
        domain
        for domain, count in closed_sessions.items()
        if count >= MIN_CLOSED_IN_FAILING_DOMAIN and count >= open_servers[domain]
    }
    servers = sorted(servers, key=lambda server: server.session)
    return [server for server in servers if server.domain not in failing] or servers


def _min_shard_load(closed: Sequence[ClosedSession], servers: list[ServerLoad]) -> float:
    shards = sum(len(item.shards) for item in closed)
    return IDLE_LOAD_SHARE * sum(server.capacity for server in servers) / max(1, shards)


def _heaviest_first(item: ClosedSession, min_load: float) -> list[ShardLoad]:
    known_load = sum(item.shard_loads.get(shard, 0.0) for shard in item.shards)
    unknown = sum(shard not in item.shard_loads for shard in item.shards)
    share = max(0.0, item.load - known_load) / max(1, unknown)
    loads = [
        ShardLoad(shard, max(min_load, item.shard_loads.get(shard, share))) for shard in item.shards
    ]
    return sorted(loads, key=lambda shard: (-shard.load, shard.shard))


def _sample_servers(servers: list[ServerLoad], session: SessionId, shard: int) -> list[ServerLoad]:
    if len(servers) <= MAX_PEERS_IN_SAMPLE:
        return servers
    name = f"{session}/{shard}".encode()
    drawn = (
        xxhash.xxh64_intdigest(name, seed=number) % len(servers)
        for number in range(CANDIDATES_PER_SHARD)
    )
    return [servers[index] for index in drawn]
