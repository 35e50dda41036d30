"""Planners for the placement experiment: two baselines and the decision code of the package."""

from random import Random
from typing import Protocol

import numpy as np

from auburnsail._placement import (
    DEFAULT_LIMITS,
    ClosedSession,
    Move,
    MoveBudget,
    OwnerView,
    ReservationRequest,
    ServerLoad,
    ShardLoad,
    Weights,
    choose_successors,
    decide_reservation,
    plan_moves,
    sample_peers,
)
from tools.placement_simulation import Server, ServiceSimulation

__all__ = ["GreedyPlanner", "OwnerPlanner", "Planner", "RendezvousPlanner"]

PLAN_INTERVAL_S = 5
DRAIN_ATTEMPTS = 4
NS_PER_S = 1_000_000_000
GREEDY_MAX_OVER_MEAN = 1.10


class Planner(Protocol):
    """Reacts to the events of a simulation by moving shards."""

    def on_lost(self, servers: list[Server]) -> None:
        """Assigns the shards of lost servers to new owners."""

    def on_leaving(self, servers: list[Server]) -> None:
        """Moves all shards of leaving servers to other servers."""

    def on_joined(self, servers: list[Server]) -> None:
        """Moves shards to servers that have joined, now or in later ticks."""

    def tick(self) -> None:
        """Plans moves; called once a second."""


class RendezvousPlanner:
    """Baseline with rendezvous hashing, which assigns shards without regard to load.

    Args:
        simulation: The simulated service.
        seed: Seed of the scores that the servers have for the shards.
    """

    def __init__(self, simulation: ServiceSimulation, seed: int) -> None:
        self._simulation = simulation
        self._seed = seed
        self._scores: dict[int, np.ndarray] = {}

    def place(self) -> np.ndarray:
        """Returns the number of the owning server by shard, for the servers that are open now."""
        servers = self._simulation.open_servers
        scores = np.stack([self._score(server.number) for server in servers])
        numbers = np.array([server.number for server in servers])
        return numbers[scores.argmax(axis=0)]

    def on_lost(self, servers: list[Server]) -> None:
        """Assigns the shards of lost servers to the servers with the next highest score."""
        self._apply(self._simulation.reassign_lost)

    def on_leaving(self, servers: list[Server]) -> None:
        """Moves the shards of leaving servers to the servers with the next highest score."""
        self._apply(self._simulation.move)

    def on_joined(self, servers: list[Server]) -> None:
        """Moves shards to joined servers that have the highest score for them."""
        self._apply(self._simulation.move)

    def tick(self) -> None:
        """Does nothing, because the placement does not depend on load."""

    def _score(self, number: int) -> np.ndarray:
        if number not in self._scores:
            rng = np.random.default_rng([self._seed, 3, number])
            self._scores[number] = rng.random(self._simulation.case.shards)
        return self._scores[number]

    def _apply(self, transfer) -> None:
        target = self.place()
        changed = np.flatnonzero(target != self._simulation.owner)
        for number in np.unique(target[changed]):
            shards = changed[target[changed] == number]
            transfer(shards, self._simulation.servers[number])


class GreedyPlanner:
    """Baseline with a central planner that knows the reported loads of all servers and shards.

    Once a second, if the load of the busiest server exceeds `GREEDY_MAX_OVER_MEAN` times the mean,
    the planner moves the hottest shard of that server to the least loaded server.

    Args:
        simulation: The simulated service.
        only_fitting: Whether to move only shards that do not make the target busier than the
            source.
    """

    def __init__(self, simulation: ServiceSimulation, only_fitting: bool = False) -> None:
        self._simulation = simulation
        self._only_fitting = only_fitting

    def on_lost(self, servers: list[Server]) -> None:
        """Assigns the shards of lost servers to the least loaded servers."""
        for server in servers:
            self._move_all(server, self._simulation.reassign_lost)

    def on_leaving(self, servers: list[Server]) -> None:
        """Moves the shards of leaving servers to the least loaded servers."""
        for server in servers:
            self._move_all(server, self._simulation.move)

    def on_joined(self, servers: list[Server]) -> None:
        """Does nothing; the next ticks move shards to joined servers."""

    def tick(self) -> None:
        """Moves at most one shard."""
        loads = self._reported()
        most = max(loads, key=loads.get)
        least = min(loads, key=loads.get)
        if loads[most] <= GREEDY_MAX_OVER_MEAN * sum(loads.values()) / len(loads):
            return
        shards = self._simulation.owned(self._simulation.servers[most])
        if self._only_fitting:
            shards = shards[self._simulation.measured[shards] < loads[most] - loads[least]]
        if len(shards):
            hottest = shards[self._simulation.measured[shards].argmax()]
            self._simulation.move(hottest, self._simulation.servers[least])

    def _reported(self) -> dict[int, float]:
        simulation = self._simulation
        load_by_server = np.bincount(
            simulation.owner, simulation.measured, minlength=len(simulation.servers)
        )
        return {
            server.number: float(load_by_server[server.number]) * server.report_factor
            for server in simulation.open_servers
        }

    def _move_all(self, server: Server, transfer) -> None:
        loads = self._reported()
        shards = self._simulation.owned(server)
        for shard in shards[np.argsort(-self._simulation.measured[shards])]:
            least = min(loads, key=loads.get)
            transfer(shard, self._simulation.servers[least])
            loads[least] += float(self._simulation.measured[shard])


class OwnerPlanner:
    """Decision code of the package: each owner plans its own moves with a sample of its peers.

    Args:
        simulation: The simulated service.
        weights: Placement weights of a deployment.
        seed: Seed of the samples.
    """

    def __init__(self, simulation: ServiceSimulation, weights: Weights, seed: int) -> None:
        self._simulation = simulation
        self._weights = weights
        self._rng = Random(seed)
        self._budgets: dict[int, MoveBudget] = {}

    def on_lost(self, servers: list[Server]) -> None:
        """Assigns the shards of lost servers to the successors that a recorder would choose."""
        self._grant(servers, self._simulation.reassign_lost)

    def on_leaving(self, servers: list[Server]) -> None:
        """Drains leaving servers.

        Shards for which no target has room get successors as after a loss.
        """
        for server in servers:
            for _ in range(DRAIN_ATTEMPTS):
                self._plan(server)
            if len(self._simulation.owned(server)):
                self._grant([server], self._simulation.move)

    def on_joined(self, servers: list[Server]) -> None:
        """Does nothing; the next plans of the owners move shards to joined servers."""

    def tick(self) -> None:
        """Plans for each owner every `PLAN_INTERVAL_S`; the owners' plans are staggered."""
        for server in self._simulation.open_servers:
            if (self._simulation.now_s + server.number) % PLAN_INTERVAL_S == 0:
                self._plan(server)

    def _sample(self, server: Server) -> list[ServerLoad]:
        peers = {
            row.session: row
            for row in self._simulation.announced()
            if row.session != server.session
        }
        newest_first = sorted(peers, key=lambda session: (peers[session].age_ms, session))
        drawn = sample_peers(newest_first, server.leaving, self._rng)
        return [peers[session] for session in drawn]

    def _plan(self, server: Server) -> None:
        simulation = self._simulation
        now_ns = int(simulation.now_s * NS_PER_S)
        budget = self._budgets.setdefault(
            server.number, MoveBudget(DEFAULT_LIMITS.moves_per_minute)
        )
        shards = simulation.owned(server)
        settled_before_s = simulation.now_s - DEFAULT_LIMITS.settle_ms / 1000
        view = OwnerView(
            own=simulation.state(server),
            shards={int(shard): float(simulation.measured[shard]) for shard in shards},
            peers=tuple(self._sample(server)),
            shards_per_server=simulation.case.shards / len(simulation.open_servers),
            settling=frozenset(shards[simulation.moved_s[shards] > settled_before_s].tolist()),
            moves_left=budget.available(now_ns),
        )
        plan = plan_moves(view, self._weights)
        moved = self._execute_moves(server, view, plan.moves, plan.mean_utilisation)
        if not server.leaving:
            budget.spend(moved)

    def _execute_moves(
        self, server: Server, view: OwnerView, moves: tuple[Move, ...], mean: float
    ) -> int:
        by_session = {item.session: item for item in self._simulation.servers}
        moved = 0
        for session in dict.fromkeys(move.target for move in moves):
            target = by_session[session]
            request = ReservationRequest(
                source=server.session,
                source_load=self._simulation.measured_load(server),
                source_capacity=server.capacity,
                shards=tuple(
                    ShardLoad(move.shard, move.load) for move in moves if move.target == session
                ),
                drain=view.own.leaving,
            )
            reply = decide_reservation(self._simulation.state(target), mean, request)
            if reply.accepted:
                self._simulation.move(list(reply.accepted), target)
                moved += len(reply.accepted)
        return moved

    def _grant(self, servers: list[Server], transfer) -> None:
        """Grants the shards of each session as one recorder unaware of the other grants would."""
        simulation = self._simulation
        announced = simulation.announced()
        by_session = {item.session: item for item in simulation.servers}
        closed_sessions = [ClosedSession(server.session, server.domain, ()) for server in servers]
        for server in servers:
            shards = simulation.owned(server)
            load = float(simulation.measured[shards].sum())
            item = ClosedSession(server.session, server.domain, tuple(shards.tolist()), load)
            others = [other for other in closed_sessions if other.session != server.session]
            for grant in choose_successors([item, *others], announced)[server.session]:
                transfer(list(grant.shards), by_session[grant.to])
