"""Nodes' decision code under fake time, network and store; ownership is checked at every step."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from auburnsail import _effects as effects
from auburnsail._clock import NS_PER_MS
from auburnsail._fleet import FleetState
from auburnsail._membership import Membership
from auburnsail._messages import Codec
from auburnsail._model import Entry, decode_entry
from auburnsail._moves import Admission, Mover
from auburnsail._rules import TICK_MS
from auburnsail._session import NodeFacts

SERVICE = "catalogue"
SHARDS = 32
SECRET = "0123456789abcdef"
PLACES = [(region, f"{region}-{domain}") for region in "abc" for domain in (1, 2)]


class DoubleOwnershipError(AssertionError):
    """Two nodes would serve one shard at the same moment."""


@dataclass
class FakeNode:
    """One node with a clock of its own."""

    number: int
    drift: float
    membership: Membership
    fleet: FleetState
    mover: Mover
    paused: bool = False
    dead: bool = False
    queue: list[Callable[[int], list]] = field(default_factory=list)
    cached: tuple[tuple | None, list[int]] = (None, [])

    def now(self, true_ns: int) -> int:
        """Returns the node's own time."""
        return int(true_ns * (1 + self.drift)) + self.number * 1_000_000_007


class Sim:
    """A fleet of decision code.

    Args:
        seed: Decides everything.
        nodes: Number of nodes.
        loss: Share of datagrams lost.
    """

    def __init__(self, seed: int, nodes: int = 6, loss: float = 0.01) -> None:
        self.rng = random.Random(seed)
        self.now_ns = 10**9
        self.loss = loss
        self.store_down = False
        self.lost_answers = 0.0
        self.cuts: set[tuple[int, int]] = set()
        self.log: list[bytes] = []
        self.nodes: dict[int, FakeNode] = {}
        self.notes: Counter = Counter()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self.started = 0
        for number in range(nodes):
            self.start(number)

    def start(self, number: int) -> None:
        """Starts a node, again at the same address if it was killed."""
        region, domain = PLACES[number % len(PLACES)]
        address = f"10.0.0.{number}:1"
        facts = NodeFacts(f"n{number}", region, domain, address, address, "a")
        rng = random.Random(self.rng.getrandbits(64))
        self.started += 1
        fleet = FleetState()
        fleet.add_service(SERVICE, SHARDS)
        membership = Membership(facts, fleet, Codec(SECRET, rng.getrandbits(48)), rng)
        membership.session.want(SERVICE, 4)
        drift = self.rng.uniform(-0.0005, 0.0005)
        node = FakeNode(number, drift, membership, fleet, Mover(membership, fleet))
        self.nodes[number] = node
        self.at(self.rng.uniform(0, TICK_MS), lambda: self._tick(node))

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Runs an action later."""
        self._sequence += 1
        when_ns = self.now_ns + int(delay_ms * NS_PER_MS)
        heapq.heappush(self._events, (when_ns, self._sequence, action))

    def run(self, milliseconds: float) -> None:
        """Runs for a time and checks ownership after every event."""
        end_ns = self.now_ns + int(milliseconds * NS_PER_MS)
        while self._events and self._events[0][0] <= end_ns:
            self.now_ns, _, action = heapq.heappop(self._events)
            action()
            self.check()
        self.now_ns = end_ns

    def check(self) -> None:
        """Raises if two nodes would serve one shard."""
        serving: dict[int, int] = {}
        for node in self.nodes.values():
            if node.paused or node.dead or not node.membership.may_serve(node.now(self.now_ns)):
                continue
            state = (node.fleet.version, node.mover.moving, node.membership.own_id)
            if node.cached[0] != state:
                shards = [shard for shard in range(SHARDS) if self.serves(node, shard)]
                node.cached = (state, shards)
            for shard in node.cached[1]:
                if serving.setdefault(shard, node.number) != node.number:
                    raise DoubleOwnershipError(f"{shard}: {serving[shard]} and {node.number}")

    def serves(self, node: FakeNode, shard: int) -> bool:
        """Whether a node would admit a request for a shard."""
        admission = node.mover.admit(SERVICE, shard, node.now(self.now_ns))
        if admission is Admission.RUN:
            node.mover.leave(SERVICE, shard)
        return admission is Admission.RUN

    def served(self) -> int:
        """Returns how many shards are served."""
        live = [n for n in self.nodes.values() if not n.paused and not n.dead]
        return sum(any(self.serves(node, shard) for node in live) for shard in range(SHARDS))

    def kill(self, number: int) -> None:
        """Ends a node."""
        self.nodes[number].dead = True

    def pause(self, number: int, milliseconds: float) -> None:
        """Freezes a node; what arrives meanwhile waits."""
        node = self.nodes[number]
        node.paused = True
        self.at(milliseconds, lambda: setattr(node, "paused", False))

    def cut(self, one: int, other: int, milliseconds: float) -> None:
        """Loses every datagram from one node to another."""
        self.cuts.add((one, other))
        self.at(milliseconds, lambda: self.cuts.discard((one, other)))

    def fault(self) -> None:
        """Causes one random fault or planned move."""
        rng = self.rng
        one, other = rng.randrange(len(self.nodes)), rng.randrange(len(self.nodes))
        match rng.choices(("pause", "cut", "kill", "store", "move"), (5, 8, 2, 1, 4))[0]:
            case "pause":
                self.pause(one, rng.uniform(100, 2500))
            case "cut":
                self.cut(one, other, rng.uniform(200, 3000))
            case "kill":
                self.kill(one)
                self.start(one)
            case "store":
                self.store_down = not self.store_down
            case "move":
                self._move(self.nodes[one], self.nodes[other])

    def _move(self, node: FakeNode, other: FakeNode) -> None:
        target = other.membership.own_id
        row = node.fleet.sessions.get(node.membership.own_id)
        if row is not None and target is not None and not node.paused:
            shards = node.fleet.shards_of(row)[:3]
            node.mover.move(SERVICE, shards, target, node.now(self.now_ns))

    def _tick(self, node: FakeNode) -> None:
        if node.dead:
            return
        if not node.paused:
            now_ns = node.now(self.now_ns)
            queue, node.queue = node.queue, []
            for step in queue:
                self._run(node, step(now_ns))
            node.mover.tick(now_ns)
            self._run(node, node.membership.tick(now_ns))
        self.at(TICK_MS * self.rng.uniform(0.98, 1.05), lambda: self._tick(node))

    def _deliver(self, node: FakeNode, step: Callable[[int], list]) -> None:
        if node.dead:
            return
        if node.paused:
            node.queue.append(step)
        else:
            self._run(node, step(node.now(self.now_ns)))

    def _run(self, node: FakeNode, todo: list) -> None:
        for effect in todo:
            match effect:
                case effects.Send(address=address, data=data) | effects.Post(
                    address=address, data=data
                ):
                    self._send(node, int(address.split(":")[0].split(".")[3]), data)
                case effects.StoreRequest():
                    self._append(node, effect)
                case effects.FetchLog():
                    self.at(self.rng.uniform(2, 60), lambda fetch=effect: self._fetch(node, fetch))
                case effects.Applied(verdicts=verdicts):
                    node.mover.on_applied(verdicts)
                case effects.Note(kind=kind):
                    self.notes[kind] += 1

    def _send(self, node: FakeNode, target: int, data: bytes) -> None:
        if (node.number, target) in self.cuts or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < 0.01 else 1
        source = f"10.0.0.{node.number}:1"
        receiver = self.nodes[target]

        def arrive() -> None:
            self._deliver(receiver, lambda now: receiver.membership.on_datagram(data, source, now))

        for _ in range(copies):
            slow = self.rng.random() < 0.01
            self.at(self.rng.uniform(200, 2000) if slow else self.rng.uniform(0.2, 25), arrive)

    def _append(self, node: FakeNode, request: effects.StoreRequest) -> None:
        if self.store_down:
            self._reply(node, request, effects.NotWritten())
            return
        is_lost = self.rng.random() < self.lost_answers
        # The answer of a late write is always lost; the write may take effect seconds later.
        delay_ms = self.rng.uniform(2, 3000) if is_lost else self.rng.uniform(2, 15)

        def write() -> None:
            entries = [decode_entry(data) for data in self.log]
            if len(self.log) == request.expected:
                self.log.append(request.data)
                reply: effects.StoreReply = effects.Appended()
            elif self._is_own(entries, request):
                reply = effects.Appended()
            else:
                reply = effects.Superseded(tuple(self.log[request.expected :]))
            if not is_lost:
                self._reply(node, request, reply)

        self.at(delay_ms, write)
        if is_lost:
            self._reply(node, request, effects.Unsettled(), 100)

    def _is_own(self, entries: list[Entry], request: effects.StoreRequest) -> bool:
        return entries[request.expected].id == request.append_id

    def _reply(self, node: FakeNode, request, reply, after_ms: float = 3) -> None:
        def step(now_ns: int) -> list:
            return node.membership.on_store_reply(request.ticket, reply, now_ns)

        self.at(after_ms, lambda: self._deliver(node, step))

    def _fetch(self, node: FakeNode, fetch: effects.FetchLog) -> None:
        records = self._records(fetch)

        def step(now_ns: int) -> list:
            return node.membership.on_records(fetch.log, records, fetch.address, now_ns)

        self._deliver(node, step)

    def _records(self, fetch: effects.FetchLog) -> list[tuple[int, bytes]] | None:
        if fetch.log != effects.LogName.FLEET:
            return []
        if not fetch.address:
            found = None if self.store_down else self.log[fetch.after :]
        else:
            peer = self.nodes[int(fetch.address.split(":")[0].split(".")[3])]
            is_up = not (peer.dead or peer.paused)
            found = peer.membership.replica.entries_after(fetch.after) if is_up else None
        return None if found is None else [(0, data) for data in found]
