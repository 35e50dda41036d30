"""Plans moves for this node's own shards and answers the plans of others.

Every interval the node asks a sample of the servers of its service for their load, plans with
`plan_moves`, asks each target for room and hands the accepted moves to the mover. There is no
central planner: only the owner of a shard may propose to transfer it.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import msgspec

from ._clock import NS_PER_MS, Clock, Timers
from ._fleet import FleetState, SessionRow
from ._journal import Journal
from ._membership import Membership
from ._messages import Codec
from ._model import Session, SessionId
from ._moves import Mover
from ._placement import Move, MoveReason, OwnerView, Plan, Weights, plan_moves
from ._placement_model import (
    Limits,
    ReservationReply,
    ReservationRequest,
    ServerLoad,
    ShardLoad,
)
from ._pool import HttpPeer
from ._ranges import RangeOwner, RangePeer, plan_range_move, should_plan_move
from ._reserve import MoveBudget, ReservationBook, decide_reservation, sample_peers
from ._sections import Placement
from ._sketch import ShardLoads
from .exceptions import AuburnsailError

__all__ = ["Rebalancer", "Surroundings"]

CHECK_MS = 250
FOLD_MS = 1_000
ASK_TIMEOUT_S = 1.0
MS_PER_S = 1_000
# After a move the loads of owner and target are measured anew before the next one.
RANGE_SETTLE_NS = 2_000 * NS_PER_MS


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What the rebalancer uses of its node.

    Attributes:
        membership: The node's part in the fleet.
        fleet: State of the fleet.
        mover: Carries out moves.
        journal: Records decisions.
        codec: Seals what nodes tell each other.
        clock: Source of time.
        reach: Returns where to connect for the address of a peer.
    """

    membership: Membership
    fleet: FleetState
    mover: Mover
    journal: Journal
    codec: Codec
    clock: Clock
    reach: Callable[[str], str]


class Rebalancer:
    """Balances load between this node and a sample of its peers.

    Args:
        around: The node's parts.
        loads: Load of the node's own shards.
        timers: Calls the rebalancer.
        rng: Source of randomness.
    """

    def __init__(
        self, around: Surroundings, loads: ShardLoads, timers: Timers, rng: random.Random
    ) -> None:
        self._around = around
        self._loads = loads
        self._rng = rng
        self._settings = Placement()
        self._limits = Limits()
        self._book = ReservationBook(self._limits)
        self._budget = MoveBudget(self._limits.moves_per_minute)
        self._first_seen_ns: dict[SessionId, int] = {}
        self._moved_ns: dict[int, int] = {}
        self._mean_utilisation = 0.0
        self._next_plan_ns = 0
        self._is_planning = False
        self._range_moved_ns = 0
        timers.subscribe("shard loads", FOLD_MS, loads.tick)
        timers.subscribe("rebalance", CHECK_MS, self._tick)

    def set_limits(self, settings: Placement) -> None:
        """Puts the settings of the node's service in force."""
        if settings == self._settings:
            return
        self._settings = settings
        self._limits = Limits(
            moves_per_minute=settings.moves_per_minute,
            moves_per_plan=settings.max_moving_shards,
            slow_start_ms=settings.cold_fill_s * MS_PER_S,
            fill_delay_ms=settings.fill_delay_s * MS_PER_S,
        )
        self._book = ReservationBook(self._limits)
        self._budget = MoveBudget(settings.moves_per_minute)

    def own_load(self) -> ServerLoad | None:
        """Returns this node's load, or None without a session."""
        row = self._own_row()
        if row is None:
            return None
        now_ns = self._around.clock.now_ns()
        return self._server_load(row, self._loads.total, self._book.reserved(now_ns))

    def on_load_request(self) -> bytes:
        """Answers another node that asks for this node's load."""
        return self._around.codec.seal(msgspec.msgpack.encode(self.own_load()))

    def on_reservation(self, body: bytes) -> bytes | None:
        """Answers another node that asks for room; None if the request is not the fleet's."""
        content = self._around.codec.unseal(body)
        if content is None:
            return None
        request = msgspec.msgpack.decode(content, type=ReservationRequest)
        reply = ReservationReply(detail="no session")
        row = self._own_row()
        if row is not None:
            now_ns = self._around.clock.now_ns()
            reserved = self._book.reserved(now_ns, request)
            own = self._server_load(row, self._loads.total, reserved)
            reply = decide_reservation(own, self._mean_utilisation, request, self._limits)
            self._book.reserve(request, reply, now_ns)
        return self._around.codec.seal(msgspec.msgpack.encode(reply))

    def _own_row(self) -> SessionRow | None:
        own_id = self._around.membership.own_id
        return self._around.fleet.sessions.get(own_id) if own_id else None

    def _server_load(self, row: SessionRow, load: float, reserved: float) -> ServerLoad:
        session = row.session
        return ServerLoad(
            session.id,
            session.region,
            session.domain,
            float(session.slots),
            load,
            reserved=reserved,
            leaving=bool(self._around.mover.draining),
            age_ms=self._age_ms(session.id),
        )

    def _age_ms(self, session: SessionId) -> int:
        now_ns = self._around.clock.now_ns()
        return (now_ns - self._first_seen_ns.setdefault(session, now_ns)) // NS_PER_MS

    def _tick(self, now_ns: int) -> None:
        row = self._own_row()
        table = self._around.fleet.tables.get(row.session.service) if row else None
        if table is None or self._is_planning or now_ns < self._next_plan_ns:
            return
        spread = self._rng.uniform(0.75, 1.25)
        self._next_plan_ns = now_ns + int(self._settings.plan_interval_ms * spread * NS_PER_MS)
        if table.keys:
            self._tick_ranges(row, now_ns)
            return
        self._forget_closed()
        if self._settings.moves_per_minute and not self._around.mover.draining:
            self._is_planning = True
            gevent.spawn(self._plan, row)

    def _tick_ranges(self, row: SessionRow, now_ns: int) -> None:
        """Plans one move of an ordered key space if this node is busy or a peer has no keys."""
        mover, fleet = self._around.mover, self._around.fleet
        if mover.draining or mover.moving or now_ns - self._range_moved_ns < RANGE_SETTLE_NS:
            return
        service = row.session.service
        peers = [
            o for o in fleet.sessions.values() if o.session.service == service and o is not row
        ]
        owner = RangeOwner(row.session.slots, self._loads.total, self._owned_loads(row))
        counts = [fleet.shard_count(peer) for peer in peers]
        if peers and should_plan_move(owner, counts):
            self._is_planning = True
            gevent.spawn(self._plan_ranges, row, owner, [peer.session for peer in peers])

    def _owned_loads(self, row: SessionRow) -> dict[int, float]:
        owned = self._around.fleet.shards_of(row)
        self._loads.retain(owned)
        return {shard: self._loads.loads.get(shard, 0.0) for shard in owned}

    def _plan_ranges(self, row: SessionRow, owner: RangeOwner, members: list[Session]) -> None:
        fleet = self._around.fleet
        try:
            peers = []
            for load in self._ask_peers(members):
                peer = fleet.sessions.get(load.session)
                if peer is not None and not load.leaving:
                    slots, busy = int(load.capacity), load.load + load.reserved
                    peers.append(RangePeer(load.session, slots, busy, fleet.shard_count(peer)))
            move = plan_range_move(owner, peers)
        finally:
            self._is_planning = False
        if move is None or fleet.sessions.get(row.session.id) is not row:
            return
        now_ns = self._around.clock.now_ns()
        self._range_moved_ns = now_ns
        facts = {"target": str(move.target), "shards": len(move.shards), "load": move.load}
        self._around.journal.record("placement", move.reason, **facts)
        self._around.mover.move(row.session.service, list(move.shards), move.target, now_ns)

    def _forget_closed(self) -> None:
        sessions = self._around.fleet.sessions
        for session in sessions:
            self._age_ms(session)
        for session in [s for s in self._first_seen_ns if s not in sessions]:
            del self._first_seen_ns[session]

    def _plan(self, row: SessionRow) -> None:
        try:
            view = self._view(row)
            if view.peers:
                self._carry_out(row, view)
        finally:
            self._is_planning = False

    def _view(self, row: SessionRow) -> OwnerView:
        fleet, now_ns = self._around.fleet, self._around.clock.now_ns()
        service = row.session.service
        members = [
            other.session
            for other in fleet.sessions.values()
            if other.session.service == service and other is not row
        ]
        peers = self._ask_peers(members)
        owned = fleet.shards_of(row)
        self._loads.retain(owned)
        settle_ns = self._limits.settle_ms * NS_PER_MS
        self._moved_ns = {s: at for s, at in self._moved_ns.items() if now_ns - at < settle_ns}
        return OwnerView(
            own=self._server_load(row, self._loads.total, self._book.reserved(now_ns)),
            shards={shard: self._loads.loads.get(shard, 0.0) for shard in owned},
            peers=peers,
            fair_shards=len(fleet.tables[service]) / (len(members) + 1),
            in_transit=frozenset(self._around.mover.releasing(service)),
            settling=frozenset(self._moved_ns) & frozenset(owned),
            moves_left=self._budget.available(now_ns),
        )

    def _ask_peers(self, members: list[Session]) -> tuple[ServerLoad, ...]:
        by_id = {session.id: session for session in members}
        newest_first = sorted(by_id, key=self._age_ms)
        sample = sample_peers(newest_first, False, self._rng)[: self._settings.sampled_peers]
        asked = [gevent.spawn(self._ask_load, by_id[session]) for session in sample]
        gevent.joinall(asked, timeout=ASK_TIMEOUT_S)
        return tuple(greenlet.value for greenlet in asked if greenlet.value is not None)

    def _ask_load(self, session: Session) -> ServerLoad | None:
        content = self._exchange(session, "GET", "/v1/load", b"")
        load = msgspec.msgpack.decode(content, type=ServerLoad | None) if content else None
        if load is not None and load.session != session.id:
            # Another node has the address by now, perhaps of another service.
            facts = {"asked": str(session.id), "answered": str(load.session)}
            self._around.journal.record("placement", "another session answered", **facts)
            return None
        return load

    def _exchange(self, session: Session, method: str, path: str, body: bytes) -> bytes | None:
        peer = HttpPeer(self._around.reach(session.control_address))
        try:
            answer = peer.fetch(method, path, body, timeout_s=ASK_TIMEOUT_S)
        except AuburnsailError as error:
            self._around.journal.record("placement", "peer did not answer", error=str(error))
            return None
        finally:
            peer.drop_idle()
        return self._around.codec.unseal(answer.body) if answer.status == 200 else None

    def _carry_out(self, row: SessionRow, view: OwnerView) -> None:
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
            self._move(row, view, plan, target, moves)

    def _move(
        self, row: SessionRow, view: OwnerView, plan: Plan, target: SessionId, moves: list[Move]
    ) -> None:
        other = self._around.fleet.sessions.get(target)
        if other is None:
            return
        is_drain = moves[0].reason is MoveReason.DRAIN
        shards = tuple(ShardLoad(move.shard, move.load) for move in moves)
        request = ReservationRequest(
            row.session.id, view.own.load, view.own.capacity, shards, is_drain
        )
        body = self._around.codec.seal(msgspec.msgpack.encode(request))
        content = self._exchange(other.session, "POST", "/v1/reserve", body)
        if content is None:
            return
        reply = msgspec.msgpack.decode(content, type=ReservationReply)
        accepted = list(reply.accepted)
        self._around.journal.record(
            "placement",
            plan.detail or "planned",
            target=str(target),
            accepted=len(accepted),
            declined=reply.detail,
        )
        if accepted:
            now_ns = self._around.clock.now_ns()
            self._budget.spend(len(accepted))
            self._around.mover.move(row.session.service, accepted, target, now_ns)
            self._moved_ns.update(dict.fromkeys(accepted, now_ns))
