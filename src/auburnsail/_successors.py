"""Choice of new owners for the shards of closed sessions."""

from collections import Counter, defaultdict
from collections.abc import Sequence

import xxhash

from ._model import Grant, SessionId
from ._placement_model import MAX_PEERS_IN_SAMPLE, ClosedSession, ServerLoad, ShardLoad
from ._reserve import ready_capacity, trusted_load

__all__ = ["choose_successors"]

# Recorders that do not see each other's grants would all choose the least loaded server. Sampling
# four servers per shard by hash spreads the shards and still finds a server with spare capacity.
CANDIDATES_PER_SHARD = 4

# A failure domain counts as failing if at least this many and at least half of its sessions closed.
MIN_CLOSED_IN_FAILING_DOMAIN = 2

# All shards together have at least this share of the fleet's capacity as load, so that an idle
# fleet spreads them by capacity.
IDLE_LOAD_SHARE = 0.001


def choose_successors(
    closed: Sequence[ClosedSession], servers: Sequence[ServerLoad]
) -> dict[SessionId, tuple[Grant, ...]]:
    """Chooses new owners for the shards of closed sessions of one service.

    Each shard goes to the server with the lowest projected utilisation. Servers in failing domains
    are used only if there are no others. The result is a function of the arguments, so recorders
    with the same view choose the same grants.

    Args:
        closed: Sessions that end together.
        servers: Servers of the service; leaving and closed ones are ignored.

    Returns:
        Grants by closed session, with every shard of the session exactly once. If no server is
        usable, they are empty and the shards stay unowned.
    """
    ended = {item.session for item in closed}
    servers = [
        server
        for server in servers
        if server.session not in ended and not server.leaving and server.capacity > 0
    ]
    candidates = _outside_failing_domains(closed, servers)
    grants: dict[SessionId, tuple[Grant, ...]] = {item.session: () for item in closed}
    if not candidates:
        return grants
    min_load = _min_shard_load(closed, candidates)
    projected = {server.session: trusted_load(server) + server.reserved for server in candidates}
    capacity = {server.session: ready_capacity(server) for server in candidates}
    for item in sorted(closed, key=lambda item: item.session):
        granted: defaultdict[SessionId, list[int]] = defaultdict(list)
        for shard in _heaviest_first(item, min_load):
            sample = _sample_servers(candidates, item.session, shard.shard)
            best = min(
                sample,
                key=lambda server: (
                    (projected[server.session] + shard.load) / capacity[server.session],
                    server.session,
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
    closed_by_domain = Counter(item.domain for item in closed)
    open_by_domain = Counter(server.domain for server in servers)
    failing = {
        domain
        for domain, count in closed_by_domain.items()
        if count >= MIN_CLOSED_IN_FAILING_DOMAIN and count >= open_by_domain[domain]
    }
    servers = sorted(servers, key=lambda server: server.session)
    return [server for server in servers if server.domain not in failing] or servers


def _min_shard_load(closed: Sequence[ClosedSession], servers: list[ServerLoad]) -> float:
    shards = sum(len(item.shards) for item in closed)
    return IDLE_LOAD_SHARE * sum(server.capacity for server in servers) / max(1, shards)


def _heaviest_first(item: ClosedSession, min_load: float) -> list[ShardLoad]:
    known_load = sum(item.shard_loads.get(shard, 0.0) for shard in item.shards)
    unknown_count = sum(shard not in item.shard_loads for shard in item.shards)
    share = max(0.0, item.load - known_load) / max(1, unknown_count)
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
