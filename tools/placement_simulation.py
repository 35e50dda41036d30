"""Tick-based simulation of one keyed service: servers, shards, skewed keys and the cost of moves.

The simulation has no placement policy: planners move shards with `ServiceSimulation.move` and
`ServiceSimulation.reassign_lost`.
"""

from dataclasses import dataclass, field

import numpy as np

from auburnsail._model import SessionId
from auburnsail._placement import ServerLoad, move_ms

__all__ = ["HOT_KEYS", "TICK_S", "Case", "Metrics", "Server", "ServiceSimulation"]

TICK_S = 1.0
HOT_KEYS = 57
LOSS_UNAVAILABLE_S = 0.8
REQUESTS_PER_SLOT_PER_S = 50.0
INITIAL_CAPACITY_SHARE = 0.3
SLOW_START_S = 60.0
MEASURE_HALF_LIFE_S = 20.0
ANNOUNCE_INTERVAL_S = 5.0
UNOWNED = -1


@dataclass(frozen=True)
class Case:
    """Size and load of one deployment.

    Attributes:
        name: Name in the table.
        domains: Failure domains, as pairs of region and domain.
        per_domain: Number of servers in each domain.
        slots: Slots of each server.
        shards: Number of shards of the service.
        keys: Number of keys in use.
        zipf: Exponent of the Zipf distribution of requests over keys.
        hot_change_s: Interval at which the hottest keys are replaced.
        utilisation: Load divided by capacity of the whole fleet at the start.
    """

    name: str
    domains: tuple[tuple[str, str], ...]
    per_domain: int
    slots: float
    shards: int = 4096
    keys: int = 100_000
    zipf: float = 1.0
    hot_change_s: int = 300
    utilisation: float = 0.6

    @property
    def servers(self) -> int:
        """Number of servers at the start."""
        return len(self.domains) * self.per_domain


@dataclass
class Server:
    """One server; each restart increments its incarnation.

    Attributes:
        number: Position in `ServiceSimulation.servers`.
        region: Region of the server.
        domain: Failure domain of the server.
        capacity: Slots of the server.
        incarnation: Number of the current session.
        open: Whether the server has a session.
        leaving: Whether the server moves its shards away before its session ends.
        opened_s: Start of the current session; long before the start for an initial server.
        report_factor: Reported load divided by real load.
    """

    number: int
    region: str
    domain: str
    capacity: float
    incarnation: int = 1
    open: bool = True
    leaving: bool = False
    opened_s: float = -1e6
    report_factor: float = 1.0

    @property
    def session(self) -> SessionId:
        """Id of the current session."""
        return SessionId(f"n{self.number:04}", self.incarnation)


@dataclass
class Metrics:
    """Time series of one planner, with one value per tick.

    Attributes:
        max_over_mean: Load of the busiest server divided by the mean load.
        p99: 99th percentile of the servers' loads divided by the mean load.
        moved: Shards moved so far.
        unavailable: Unavailable key-seconds so far.
        overload: Share of the load that exceeds the servers' ready capacity.
    """

    max_over_mean: list[float] = field(default_factory=list)
    p99: list[float] = field(default_factory=list)
    moved: list[int] = field(default_factory=list)
    unavailable: list[float] = field(default_factory=list)
    overload: list[float] = field(default_factory=list)


class ServiceSimulation:
    """State of the simulated service.

    Args:
        case: Size and load of the deployment.
        seed: Seed of keys, noise and hot keys; two simulations with one seed have the same load.

    Attributes:
        case: Size and load of the deployment.
        now_s: Virtual time in seconds.
        metrics: Metrics of all ticks so far.
        servers: All servers, also closed ones, by their number.
        keys_of_shard: Number of keys in each shard.
        owner: Number of the owning server of each shard, or `UNOWNED`.
        moved_s: Virtual time at which each shard got its owner.
        loads: Real load of each shard in slots.
        measured: Load of each shard in slots as nodes measure it: noisy and smoothed.
    """

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.now_s = 0.0
        self.metrics = Metrics()
        self.servers = [
            Server(number, *case.domains[number // case.per_domain], case.slots)
            for number in range(case.servers)
        ]
        self._keys_rng = np.random.default_rng([seed, 1])
        self._noise_rng = np.random.default_rng([seed, 2])
        self._key_shard = self._keys_rng.integers(0, case.shards, case.keys)
        self._weights = 1.0 / np.arange(1, case.keys + 1) ** case.zipf
        self._weights *= case.utilisation * case.servers * case.slots / self._weights.sum()
        self._key_rank = self._keys_rng.permutation(case.keys)
        self.keys_of_shard = np.bincount(self._key_shard, minlength=case.shards)
        self.owner = np.full(case.shards, UNOWNED)
        self.moved_s = np.full(case.shards, -1e6)
        self._moved = 0
        self._unavailable = 0.0
        self._change_loads()
        self.measured = self.loads.copy()
        self._announced: dict[int, ServerLoad] = {}

    @property
    def open_servers(self) -> list[Server]:
        """Servers that may own shards."""
        return [server for server in self.servers if server.open and not server.leaving]

    def owned(self, server: Server) -> np.ndarray:
        """Returns the shards of a server."""
        return np.flatnonzero(self.owner == server.number)

    def measured_load(self, server: Server) -> float:
        """Returns the load of a server in slots, as its node measures it now."""
        return float(self.measured[self.owner == server.number].sum())

    def state(self, server: Server) -> ServerLoad:
        """Returns the current load and state of a server, as its own node knows them."""
        load = self.measured_load(server)
        return ServerLoad(
            session=server.session,
            region=server.region,
            domain=server.domain,
            capacity=server.capacity,
            load=load,
            reported=load * server.report_factor,
            leaving=server.leaving,
            age_ms=int((self.now_s - server.opened_s) * 1000),
        )

    def announced(self) -> list[ServerLoad]:
        """Returns the last announcement of every open server, up to 5 s old."""
        rows = []
        for server in self.servers:
            row = self._announced.get(server.number)
            if not server.open:
                continue
            if row is None or row.session != server.session or row.leaving != server.leaving:
                row = self._announced[server.number] = self.state(server)
            rows.append(row)
        return rows

    def join(self, server: Server) -> None:
        """Opens a new session of a server."""
        server.open, server.leaving = True, False
        server.incarnation += 1
        server.opened_s = self.now_s

    def add_server(self, domain: tuple[str, str]) -> Server:
        """Adds a closed server that has not been part of the fleet before."""
        server = Server(len(self.servers), *domain, self.case.slots, open=False)
        self.servers.append(server)
        return server

    def move(self, shards, target: Server) -> None:
        """Moves shards to one target; counts their unavailable time during drain and commit."""
        shards = np.atleast_1d(np.asarray(shards, dtype=int))
        assert target.open and not target.leaving, "target must be open"
        for shard in shards:
            assert self.owner[shard] != target.number, "shard is at its target already"
            duration_s = move_ms(float(self.loads[shard])) / 1000
            self._unavailable += float(self.keys_of_shard[shard]) * duration_s
        self._assign(shards, target)

    def reassign_lost(self, shards, target: Server) -> None:
        """Assigns shards of a lost server to a target.

        Their unavailable time covers the detection of the loss and the commit.
        """
        shards = np.atleast_1d(np.asarray(shards, dtype=int))
        assert target.open and not target.leaving, "target must be open"
        self._unavailable += float(self.keys_of_shard[shards].sum()) * LOSS_UNAVAILABLE_S
        self._assign(shards, target)

    def tick(self) -> None:
        """Records the metrics, then advances the time by one tick and updates the load."""
        self._record()
        self.now_s += TICK_S
        if self.now_s % self.case.hot_change_s == 0:
            self._replace_hot_keys()
        decay_factor = 0.5 ** (TICK_S / MEASURE_HALF_LIFE_S)
        requests = self._noise_rng.poisson(self.loads * REQUESTS_PER_SLOT_PER_S * TICK_S)
        sample = requests / (REQUESTS_PER_SLOT_PER_S * TICK_S)
        self.measured = self.measured * decay_factor + sample * (1 - decay_factor)
        if self.now_s % ANNOUNCE_INTERVAL_S == 0:
            self._announced.clear()

    def _assign(self, shards: np.ndarray, target: Server) -> None:
        self.owner[shards] = target.number
        self.moved_s[shards] = self.now_s
        self._moved += len(shards)

    def _replace_hot_keys(self) -> None:
        """Swaps the popularity ranks of the hottest keys with those of randomly drawn keys."""
        hot = np.argsort(self._key_rank)[:HOT_KEYS]
        others = self._keys_rng.choice(self.case.keys, HOT_KEYS, replace=False)
        for key, other in zip(hot, others, strict=True):
            ranks = self._key_rank
            ranks[key], ranks[other] = ranks[other], ranks[key]
        self._change_loads()

    def _change_loads(self) -> None:
        self.loads = np.bincount(
            self._key_shard, self._weights[self._key_rank], minlength=self.case.shards
        )

    def _record(self) -> None:
        assert (self.owner != UNOWNED).all(), "every shard has an owner"
        servers = self.open_servers
        load_by_server = np.bincount(self.owner, self.loads, minlength=len(self.servers))
        loads = np.array([load_by_server[server.number] for server in servers])
        assert abs(loads.sum() - self.loads.sum()) < 1e-6, "only open servers own shards"
        ages = np.array([self.now_s - server.opened_s for server in servers])
        ready = np.minimum(
            1.0, INITIAL_CAPACITY_SHARE + (1 - INITIAL_CAPACITY_SHARE) * ages / SLOW_START_S
        )
        excess = np.maximum(0, loads - self.case.slots * ready).sum()
        metrics = self.metrics
        metrics.max_over_mean.append(loads.max() / loads.mean())
        metrics.p99.append(np.percentile(loads, 99) / loads.mean())
        metrics.overload.append(excess / loads.sum())
        metrics.moved.append(self._moved)
        metrics.unavailable.append(self._unavailable)
