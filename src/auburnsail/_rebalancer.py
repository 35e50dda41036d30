"""Plans moves of this node's own shards and answers reservation requests of other owners.

Once per plan interval the node asks a sample of the servers of its service for their load, plans
with `plan_moves`, requests a reservation from each target and starts the accepted moves. There is
no central planner: only the owner of a shard may propose its transfer.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import msgspec

from . import _supervision
from ._checked_input import decode_msgpack
from ._clock import NS_PER_MS, Clock, Timers
from ._fleet import FleetState, SessionRow
from ._journal import Journal
from ._membership import Membership
from ._messages import Codec
from ._model import Session, SessionId
from ._moves import Mover
from ._placement import Move, MoveReason, OwnerView, Plan, Weights, plan_moves
from ._placement_model import (
    PlacementLimits,
    ReservationReply,
    ReservationRequest,
    ServerLoad,
    ShardLoad,
)
from ._pool import HttpPeer
from ._ranges import RangeOwner, RangePeer, plan_range_moves, should_plan_move
from ._reserve import MoveBudget, ReservationBook, decide_reservation, sample_peers
from ._sections import Placement
from ._sketch import ShardLoads
from .exceptions import AuburnsailError, InvalidInputError

__all__ = ["Rebalancer", "RebalancerContext"]

PLAN_CHECK_INTERVAL_MS = 250
LOAD_UPDATE_INTERVAL_MS = 1_000
PEER_TIMEOUT_S = 1.0
MS_PER_S = 1_000
# After a move the loads of owner and target are measured again before the next move.
RANGE_SETTLE_NS = 2_000 * NS_PER_MS


@dataclass(frozen=True, slots=True)
class RebalancerContext:
    """Dependencies of the rebalancer, provided by its node.

    Attributes:
        membership: Session and lease of the node.
        fleet: State of the fleet.
        mover: Transfers shards to other nodes.
        journal: Records decisions.
        codec: Signs and verifies messages between nodes.
        clock: Source of time.
        resolve_address: Returns the address to connect to for a peer's control address.
    """

    membership: Membership
    fleet: FleetState
    mover: Mover
    journal: Journal
    codec: Codec
    clock: Clock
    resolve_address: Callable[[str], str]


class Rebalancer:
    """Balances load between this node and a sample of its peers.

    Args:
        context: Dependencies that the node provides.
        loads: Load of the node's own shards.
        timers: Timers that run the load update and the planning.
        rng: Source of randomness for samples and timer jitter.
    """

    def __init__(
        self, context: RebalancerContext, loads: ShardLoads, timers: Timers, rng: random.Random
    ) -> None:
        self._context = context
        self._loads = loads
        self._rng = rng
        self._settings = Placement()
        self._limits = PlacementLimits()
        self._reservations = ReservationBook(self._limits)
        self._move_budget = MoveBudget(self._limits.moves_per_minute)
        self._first_seen_ns: dict[SessionId, int] = {}
        self._moved_at_ns: dict[int, int] = {}
        self._mean_utilisation = 0.0
        self._next_plan_ns = 0
        self._is_planning = False
        self._range_moved_ns = 0
        timers.subscribe("shard loads", LOAD_UPDATE_INTERVAL_MS, loads.tick)
        timers.subscribe("rebalance", PLAN_CHECK_INTERVAL_MS, self._tick)

    def apply_settings(self, settings: Placement) -> None:
        """Applies the placement settings of the node's service.

        Changed settings discard the reservations and refill the move budget.
        """
        if settings == self._settings:
            return
        self._settings = settings
        self._limits = PlacementLimits(
            moves_per_minute=settings.moves_per_minute,
            moves_per_plan=settings.max_moving_shards,
            slow_start_ms=settings.cold_fill_s * MS_PER_S,
            fill_delay_ms=settings.fill_delay_s * MS_PER_S,
        )
        self._reservations = ReservationBook(self._limits)
        self._move_budget = MoveBudget(settings.moves_per_minute)

    def own_load(self) -> ServerLoad | None:
        """Returns this node's load, or None if the node has no session."""
        row = self._own_row()
        if row is None:
            return None
        now_ns = self._context.clock.now_ns()
        return self._server_load(row, self._loads.total, self._reservations.reserved(now_ns))

    def on_load_request(self) -> bytes:
        """Returns the signed answer to a peer's request for this node's load."""
        return self._context.codec.sign(msgspec.msgpack.encode(self.own_load()))

    def on_reservation(self, body: bytes) -> bytes | None:
        """Decides on a peer's reservation request and records the shards that it accepts.

        Args:
            body: The signed request.

        Returns:
            The signed reply, or None if the signature of the request is invalid.
        """
        payload = self._context.codec.verify(body)
        if payload is None:
            return None
        request = decode_msgpack(payload, ReservationRequest, "reservation")
        reply = ReservationReply(detail="no session")
        row = self._own_row()
        if row is not None:
            now_ns = self._context.clock.now_ns()
            reserved = self._reservations.reserved(now_ns, request)
            own = self._server_load(row, self._loads.total, reserved)
            reply = decide_reservation(own, self._mean_utilisation, request, self._limits)
            self._reservations.reserve(request, reply, now_ns)
        return self._context.codec.sign(msgspec.msgpack.encode(reply))

    def _own_row(self) -> SessionRow | None:
        own_id = self._context.membership.own_id
        return self._context.fleet.sessions.get(own_id) if own_id else None

    def _server_load(self, row: SessionRow, load: float, reserved: float) -> ServerLoad:
        session = row.session
        return ServerLoad(
            session.id,
            session.region,
            session.domain,
            float(session.slots),
            load,
            reserved=reserved,
            leaving=bool(self._context.mover.drain_reason),
            age_ms=self._age_ms(session.id),
        )

    def _age_ms(self, session: SessionId) -> int:
        now_ns = self._context.clock.now_ns()
        return (now_ns - self._first_seen_ns.setdefault(session, now_ns)) // NS_PER_MS

    def _tick(self, now_ns: int) -> None:
        row = self._own_row()
        table = self._context.fleet.tables.get(row.session.service) if row else None
        if table is None or self._is_planning or now_ns < self._next_plan_ns:
            return
        jitter = self._rng.uniform(0.75, 1.25)
        self._next_plan_ns = now_ns + int(self._settings.plan_interval_ms * jitter * NS_PER_MS)
        if table.keys:
            self._tick_range_service(row, now_ns)
            return
        self._update_first_seen()
        if self._settings.moves_per_minute and not self._context.mover.drain_reason:
            self._is_planning = True
            _supervision.spawn("plan", self._run_plan, row)

    def _tick_range_service(self, row: SessionRow, now_ns: int) -> None:
        """Starts a plan for an ordered key space if this node is busy or a peer owns no keys."""
        mover, fleet = self._context.mover, self._context.fleet
        if (
            mover.drain_reason
            or mover.moving_shards
            or now_ns - self._range_moved_ns < RANGE_SETTLE_NS
        ):
            return
        service = row.session.service
        peers = [peer for peer in fleet.members_of(service) if peer is not row]
        owner = RangeOwner(row.session.slots, self._loads.total, self._owned_loads(row))
        peer_shard_counts = [fleet.shard_count(peer) for peer in peers]
        if peers and should_plan_move(owner, peer_shard_counts):
            self._is_planning = True
            sessions = [peer.session for peer in peers]
            _supervision.spawn("plan", self._run_range_plan, row, owner, sessions)

    def _owned_loads(self, row: SessionRow) -> dict[int, float]:
        owned = self._context.fleet.shards_of(row)
        self._loads.retain(owned)
        return {shard: self._loads.loads.get(shard, 0.0) for shard in owned}

    def _run_range_plan(self, row: SessionRow, owner: RangeOwner, members: list[Session]) -> None:
        fleet = self._context.fleet
        try:
            peers = []
            for load in self._fetch_peer_loads(members):
                peer = fleet.sessions.get(load.session)
                if peer is not None and not load.leaving:
                    slots, used_slots = int(load.capacity), load.load + load.reserved
                    peers.append(
                        RangePeer(load.session, slots, used_slots, fleet.shard_count(peer))
                    )
            moves = plan_range_moves(owner, peers)
        finally:
            self._is_planning = False
        if not moves or fleet.sessions.get(row.session.id) is not row:
            return
        now_ns = self._context.clock.now_ns()
        self._range_moved_ns = now_ns
        for move in moves:
            facts = {"target": str(move.target), "shards": len(move.shards), "load": move.load}
            self._context.journal.record("placement", move.reason, **facts)
            self._context.mover.move(row.session.service, list(move.shards), move.target, now_ns)

    def _update_first_seen(self) -> None:
        sessions = self._context.fleet.sessions
        for session in sessions:
            # Records the time at which a new session is first seen.
            self._age_ms(session)
        for session in [known for known in self._first_seen_ns if known not in sessions]:
            del self._first_seen_ns[session]

    def _run_plan(self, row: SessionRow) -> None:
        try:
            view = self._build_view(row)
            if view.peers:
                self._request_moves(row, view)
        finally:
            self._is_planning = False

    def _build_view(self, row: SessionRow) -> OwnerView:
        fleet, now_ns = self._context.fleet, self._context.clock.now_ns()
        service = row.session.service
        members = [other.session for other in fleet.members_of(service) if other is not row]
        peers = self._fetch_peer_loads(members)
        owned = fleet.shards_of(row)
        self._loads.retain(owned)
        settle_ns = self._limits.settle_ms * NS_PER_MS
        self._moved_at_ns = {
            shard: moved_ns
            for shard, moved_ns in self._moved_at_ns.items()
            if now_ns - moved_ns < settle_ns
        }
        return OwnerView(
            own=self._server_load(row, self._loads.total, self._reservations.reserved(now_ns)),
            shards={shard: self._loads.loads.get(shard, 0.0) for shard in owned},
            peers=peers,
            shards_per_server=len(fleet.tables[service]) / (len(members) + 1),
            in_transit=frozenset(self._context.mover.releasing(service)),
            settling=frozenset(self._moved_at_ns) & frozenset(owned),
            moves_left=self._move_budget.available(now_ns),
        )

    def _fetch_peer_loads(self, members: list[Session]) -> tuple[ServerLoad, ...]:
        by_id = {session.id: session for session in members}
        newest_first = sorted(by_id, key=self._age_ms)
        sample = sample_peers(newest_first, False, self._rng)[: self._settings.sampled_peers]
        greenlets = [gevent.spawn(self._fetch_load, by_id[session]) for session in sample]
        gevent.joinall(greenlets, timeout=PEER_TIMEOUT_S)
        return tuple(greenlet.value for greenlet in greenlets if greenlet.value is not None)

    def _fetch_load(self, session: Session) -> ServerLoad | None:
        payload = self._call_peer(session, "GET", "/v1/load", b"")
        try:
            load = decode_msgpack(payload, ServerLoad | None, "peer-load") if payload else None
        except InvalidInputError:
            return None
        if load is not None and load.session != session.id:
            # The address was reused by another node, which may run another service.
            facts = {"asked": str(session.id), "answered": str(load.session)}
            self._context.journal.record("placement", "another session answered", **facts)
            return None
        return load

    def _call_peer(self, session: Session, method: str, path: str, body: bytes) -> bytes | None:
        peer = HttpPeer(self._context.resolve_address(session.control_address))
        try:
            answer = peer.fetch(method, path, body, timeout_s=PEER_TIMEOUT_S)
        except AuburnsailError as error:
            self._context.journal.record("placement", "peer did not answer", error=str(error))
            return None
        finally:
            peer.drop_idle()
        return self._context.codec.verify(answer.body) if answer.status == 200 else None

    def _request_moves(self, row: SessionRow, view: OwnerView) -> None:
        settings = self._settings
        weights = Weights(
            settings.imbalance_weight, settings.churn_weight, settings.unavailable_time_weight
        )
        plan = plan_moves(view, weights, self._limits)
        self._mean_utilisation = plan.mean_utilisation
        by_target: dict[SessionId, list[Move]] = {}
        for move in plan.moves:
            by_target.setdefault(move.target, []).append(move)
        for target, moves in by_target.items():
            self._reserve_and_move(row, view, plan, target, moves)

    def _reserve_and_move(
        self, row: SessionRow, view: OwnerView, plan: Plan, target: SessionId, moves: list[Move]
    ) -> None:
        other = self._context.fleet.sessions.get(target)
        if other is None:
            return
        is_drain = moves[0].reason is MoveReason.DRAIN
        shards = tuple(ShardLoad(move.shard, move.load) for move in moves)
        request = ReservationRequest(
            row.session.id, view.own.load, view.own.capacity, shards, is_drain
        )
        body = self._context.codec.sign(msgspec.msgpack.encode(request))
        payload = self._call_peer(other.session, "POST", "/v1/reserve", body)
        if payload is None:
            return
        try:
            reply = decode_msgpack(payload, ReservationReply, "reservation")
        except InvalidInputError:
            return
        accepted = list(reply.accepted)
        self._context.journal.record(
            "placement",
            plan.detail or "planned",
            target=str(target),
            accepted=len(accepted),
            declined=reply.detail,
        )
        if accepted:
            now_ns = self._context.clock.now_ns()
            self._move_budget.spend(len(accepted))
            self._context.mover.move(row.session.service, accepted, target, now_ns)
            self._moved_at_ns.update(dict.fromkeys(accepted, now_ns))
