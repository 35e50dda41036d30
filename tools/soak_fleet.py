"""Simulates the decision code of a fleet with virtual time, a fake network and a fake store.

Ownership is checked after every event. All randomness comes from the seed, so runs can be repeated.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable

from auburnsail import _effects as effects
from auburnsail._clock import NS_PER_MS
from auburnsail._identity import NodeIdentity
from auburnsail._membership import Membership
from auburnsail._messages import Codec, Propose
from auburnsail._model import Entry, Transfer, decode_entry
from auburnsail._moves import GateDecision, Mover
from auburnsail._rules import TICK_MS
from tools.soak_fleet_log import FleetLog, new_fleet_state
from tools.soak_nodes import (
    FAULT_WEIGHTS,
    FAULTS,
    KEYED_SERVICE,
    MAX_CLOCK_DRIFT,
    NODE_LOCATIONS,
    RECENT_TRANSFERS,
    SECRET,
    SHARDS,
    UNKEYED_SERVICE,
    DoubleOwnershipError,
    FakeNode,
    GuaranteeError,
    NodeObserver,
)
from tools.soak_settings import SettingsTable

__all__ = ["FleetSimulation"]

TRACE_EVENTS = 40


class FleetSimulation:
    """A fleet whose nodes run the shipped decision code in virtual time.

    Args:
        seed: Seed of all random choices.
        nodes: Number of nodes.
        loss: Share of datagrams that are lost.
        unkeyed: Number of nodes, those with the highest numbers, that serve the unkeyed service.
    """

    def __init__(self, seed: int, nodes: int = 6, loss: float = 0.01, unkeyed: int = 0) -> None:
        self.rng = random.Random(seed)
        self.now_ns = 10**9
        self.loss = loss
        self.store_down = False
        self.lost_answer_share = 0.0  # Share of appends to the store whose reply is lost.
        self.cut_links: set[tuple[int, int]] = set()  # Pairs of sender and receiver.
        self.fleet_log = FleetLog()
        self.nodes: dict[int, FakeNode] = {}
        self.event_counts: Counter = Counter()  # Journal notes, commands and others by kind.
        self.fault_counts: Counter = Counter()  # Injected faults by kind.
        self.steps = 0
        self.trace: deque[tuple[int, str]] = deque(maxlen=TRACE_EVENTS)
        self.fault_weights = FAULT_WEIGHTS
        self.checks: list[Callable[[], None]] = []  # Called after every event.
        self.observer = NodeObserver()
        self.store_changed_ns = 0  # Last start or end of a store outage.
        self.last_fault_end_ns = 0  # End of the latest fault.
        self._keyed_nodes = nodes - unkeyed
        self.table = SettingsTable(self)
        self.transfers: list[Transfer] = []  # Transfers in the fleet log, oldest first.
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        for number in range(nodes):
            self.start_node(number)

    def start_node(self, number: int) -> None:
        """Starts a node, or starts a killed node again at the same address."""
        region, domain = NODE_LOCATIONS[number % len(NODE_LOCATIONS)]
        address = f"10.0.0.{number}:1"
        identity = NodeIdentity(f"n{number}", region, domain, address, address, "a")
        rng = random.Random(self.rng.getrandbits(64))
        fleet = new_fleet_state()
        membership = Membership(identity, fleet, Codec(SECRET, rng.getrandbits(48)), rng)
        membership.session.set_upstream(self.service_of(number), 4)
        drift = self.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        node = FakeNode(number, drift, membership, fleet, Mover(membership, fleet))
        node.running_since_ns = self.now_ns
        self._record_fault(0)
        self.nodes[number] = node
        self.observer.on_start(node)
        self.call_later(self.rng.uniform(0, TICK_MS), lambda: self._tick(node))

    def service_of(self, number: int) -> str:
        """Returns the service that a node's upstream serves."""
        return KEYED_SERVICE if number < self._keyed_nodes else UNKEYED_SERVICE

    def _record_fault(self, milliseconds: float) -> None:
        end_ns = self.now_ns + int(milliseconds * NS_PER_MS)
        self.last_fault_end_ns = max(self.last_fault_end_ns, end_ns)

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay."""
        self._sequence += 1
        when_ns = self.now_ns + int(delay_ms * NS_PER_MS)
        heapq.heappush(self._events, (when_ns, self._sequence, action))

    def run(self, milliseconds: float) -> None:
        """Advances the virtual time and runs all checks after every event."""
        end_ns = self.now_ns + int(milliseconds * NS_PER_MS)
        while self._events and self._events[0][0] <= end_ns:
            self.now_ns, _, action = heapq.heappop(self._events)
            action()
            self.steps += 1
            self.check_single_owner()
            for check in self.checks:
                check()
        self.now_ns = end_ns

    def check_single_owner(self) -> None:
        """Raises `DoubleOwnershipError` if two nodes would serve the same shard."""
        serving: dict[int, int] = {}
        for node in self.nodes.values():
            if node.paused or node.dead or not self._may_serve(node):
                continue
            moving = frozenset(node.mover.releasing(KEYED_SERVICE))
            state = (node.fleet.version, moving, node.membership.own_id)
            if node.served_cache[0] != state:
                shards = [shard for shard in range(SHARDS) if self.would_admit(node, shard)]
                node.served_cache = (state, shards)
            for shard in node.served_cache[1]:
                if serving.setdefault(shard, node.number) != node.number:
                    raise DoubleOwnershipError(f"shard {shard}: n{serving[shard]}, n{node.number}")

    def _may_serve(self, node: FakeNode) -> bool:
        # Restores the flag of an expired lease: the check must not make the node detect the expiry.
        membership = node.membership
        lapsed = membership._lapsed
        may_serve = membership.may_serve(node.now(self.now_ns))
        membership._lapsed = lapsed
        return may_serve

    def would_admit(self, node: FakeNode, shard: int) -> bool:
        """Returns whether a node would admit a request for a shard."""
        decision = node.mover.admit(KEYED_SERVICE, shard, node.now(self.now_ns))
        if decision is GateDecision.RUN:
            node.mover.release(KEYED_SERVICE, shard)
        return decision is GateDecision.RUN

    def count_served_shards(self) -> int:
        """Returns the number of shards that at least one running node serves."""
        live = [n for n in self.nodes.values() if not n.paused and not n.dead]
        return sum(any(self.would_admit(node, shard) for node in live) for shard in range(SHARDS))

    def kill_node(self, number: int) -> None:
        """Kills the process of a node."""
        self.add_trace_event(f"n{number} killed")
        self.nodes[number].dead = True
        self._record_fault(0)
        self.observer.on_kill(self.nodes[number])

    def add_trace_event(self, text: str) -> None:
        """Appends an event at the current time to the trace."""
        self.trace.append((self.now_ns, text))

    def pause_node(self, number: int, milliseconds: float) -> None:
        """Suspends a node; messages that arrive meanwhile are queued."""
        node = self.nodes[number]
        if node.paused or node.dead:
            return
        self._record_fault(milliseconds)
        # Suspends either the node's process only or the whole VM, which includes the upstream.
        node.is_vm_frozen = self.rng.random() < 0.5
        self.add_trace_event(f"n{number} paused for {milliseconds:.0f} ms")
        node.paused = True
        self.call_later(milliseconds, lambda: self._resume(node))

    def _resume(self, node: FakeNode) -> None:
        node.paused = node.is_vm_frozen = False
        node.running_since_ns = self.now_ns
        if not node.dead:
            self.add_trace_event(f"n{node.number} resumed")
            self.observer.on_resume(node)

    def cut_link(self, sender: int, receiver: int, milliseconds: float) -> None:
        """Drops every datagram from one node to another for the given time."""
        self.add_trace_event(f"cut n{sender} -> n{receiver} for {milliseconds:.0f} ms")
        self._record_fault(milliseconds)
        self.cut_links.add((sender, receiver))
        self.call_later(milliseconds, lambda: self.cut_links.discard((sender, receiver)))

    def inject_fault(self) -> None:
        """Injects a random fault or planned move; in one of five calls, two of them at once."""
        kind = self._inject_one_fault()
        if self.rng.random() < 0.2:
            self._inject_one_fault(kind if self.rng.random() < 0.5 else "")
            self.fault_counts["double"] += 1

    def _inject_one_fault(self, kind: str = "") -> str:
        rng = self.rng
        node_number, other_number = rng.randrange(len(self.nodes)), rng.randrange(len(self.nodes))
        kind = kind or rng.choices(FAULTS, self.fault_weights)[0]
        self.fault_counts[kind] += 1
        match kind:
            case "pause":
                self.pause_node(node_number, rng.uniform(100, 2500) if rng.random() < 0.9 else 8000)
            case "cut":
                self.cut_link(node_number, other_number, rng.uniform(200, 3000))
            case "kill":
                self.kill_node(node_number)
                self.start_node(node_number)
            case "isolate":
                self._isolate(node_number)
            case "store":
                self.set_store_outage(not self.store_down)
            case "move":
                self._move_shards(self.nodes[node_number], self.nodes[other_number])
            case "late-copy":
                self.repeat_transfer(self.nodes[node_number], other_number)
        return kind

    def _isolate(self, isolated: int) -> None:
        side, milliseconds = self.rng.choice(("out", "in", "both")), self.rng.uniform(500, 2500)
        for number in self.nodes:
            if side != "in":
                self.cut_link(isolated, number, milliseconds)
            if side != "out":
                self.cut_link(number, isolated, milliseconds)

    def repeat_transfer(self, sender: FakeNode, recorder: int) -> None:
        """Delivers a recent proposal of a transfer again, like a copy with a long network delay."""
        if self.transfers:
            command = self.rng.choice(self.transfers[-RECENT_TRANSFERS:])
            message = Propose(command.id, f"10.0.0.{sender.number}:1", (command,))
            self._send(sender, recorder, sender.membership._codec.encode(message))

    def write_foreign_row(self, rng: random.Random) -> None:
        """Leaves a row at the end of the fleet log that is no entry, unless the store is down."""
        if self.store_down:
            return
        self.fleet_log.append_foreign_row(rng)
        self.fault_counts["foreign-row"] += 1
        self.add_trace_event(f"log {len(self.fleet_log)}: row of another writer")

    def set_store_outage(self, is_down: bool) -> None:
        """Starts or ends a store outage."""
        self.add_trace_event("store down" if is_down else "store up")
        self.store_down = is_down
        self.store_changed_ns = self.now_ns
        self._record_fault(0)

    def _move_shards(self, node: FakeNode, receiver: FakeNode) -> None:
        if self.service_of(receiver.number) != KEYED_SERVICE or receiver is node:
            return
        target = receiver.membership.own_id
        row = node.fleet.sessions.get(node.membership.own_id)
        if row is not None and target is not None and not node.paused:
            shards = node.fleet.shards_of(row)[:3]
            node.mover.move(KEYED_SERVICE, shards, target, node.now(self.now_ns))

    def _tick(self, node: FakeNode) -> None:
        if node.dead:
            return
        if not node.paused:
            now_ns = node.now(self.now_ns)
            queue, node.queued_steps = node.queued_steps, []
            for step in queue:
                self._perform_effects(node, step(now_ns))
            node.mover.tick(now_ns)
            self._perform_effects(node, node.membership.tick(now_ns))
        self.call_later(TICK_MS * self.rng.uniform(0.98, 1.05), lambda: self._tick(node))

    def _deliver(self, node: FakeNode, step: Callable[[int], list]) -> None:
        if node.dead:
            return
        if node.paused:
            node.queued_steps.append(step)
        else:
            self._perform_effects(node, step(node.now(self.now_ns)))

    def _perform_effects(self, node: FakeNode, requested_effects: list) -> None:
        for effect in requested_effects:
            match effect:
                case effects.Send(address=peer, data=data) | effects.Post(address=peer, data=data):
                    self._send(node, int(peer.split(":")[0].split(".")[3]), data)
                case effects.StoreRequest():
                    self._append(node, effect)
                case effects.FetchLog():
                    delay_ms = self.rng.uniform(2, 60)
                    self.call_later(delay_ms, lambda fetch=effect: self._fetch(node, fetch))
                case effects.Applied(entry=entry, results=results):
                    self._check_applied(node, entry)
                    self.observer.on_applied(node)
                    node.mover.on_applied(results)
                case effects.SettingsChanged(version=version, data=data):
                    self._check_settings(node, version, data)
                case effects.JournalNote(kind=kind):
                    self.event_counts[kind] += 1

    def _send(self, node: FakeNode, target: int, data: bytes) -> None:
        if (node.number, target) in self.cut_links or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < 0.01 else 1
        source = f"10.0.0.{node.number}:1"
        receiver = self.nodes[target]

        def arrive() -> None:
            self._deliver(receiver, lambda now: receiver.membership.on_datagram(data, source, now))

        for _ in range(copies):
            is_slow = self.rng.random() < 0.01
            self.call_later(
                self.rng.uniform(200, 2000) if is_slow else self.rng.uniform(0.2, 25), arrive
            )

    def _append(self, node: FakeNode, request: effects.StoreRequest) -> None:
        if self.store_down:
            self._reply(node, request, effects.NotWritten())
            return
        is_lost = self.rng.random() < self.lost_answer_share
        # If the reply is lost, the write may take effect up to three seconds later.
        delay_ms = self.rng.uniform(2, 3000) if is_lost else self.rng.uniform(2, 15)

        def write() -> None:
            if len(self.fleet_log) == request.expected:
                self.fleet_log.append(request.data)
                self._record_commands(request.data)
                self.fault_counts["lost-write"] += is_lost
                reply: effects.StoreReply = effects.Appended()
            elif self.fleet_log.entry(request.expected + 1).id == request.append_id:
                reply = effects.Appended()
            else:
                reply = effects.Superseded(tuple(self.fleet_log.rows_after(request.expected)))
            if not is_lost:
                self._reply(node, request, reply)

        self.call_later(delay_ms, write)
        if is_lost:
            self._reply(node, request, effects.OutcomeUnknown(), 100)

    def _reply(self, node: FakeNode, request, reply, after_ms: float = 3) -> None:
        def step(now_ns: int) -> list:
            return node.membership.on_store_reply(request.ticket, reply, now_ns)

        self.call_later(after_ms, lambda: self._deliver(node, step))

    def _fetch(self, node: FakeNode, fetch: effects.FetchLog) -> None:
        records = self._read_log(node.number, fetch)

        def step(now_ns: int) -> list:
            return node.membership.on_records(fetch.log, records, fetch.address, now_ns)

        # A delayed reply can arrive after a newer reply from another peer.
        late_ms = self.rng.uniform(1000, 6000) if self.rng.random() < 0.02 else 0
        self.call_later(late_ms, lambda: self._deliver(node, step))

    def _read_log(self, asker: int, fetch: effects.FetchLog) -> list[tuple[int, bytes]] | None:
        is_fleet = fetch.log == effects.LogName.FLEET
        if not fetch.address:
            self.event_counts["store-fetch"] += not is_fleet
            if self.store_down:
                return None
            if is_fleet:
                return self.fleet_log.rows_after(fetch.after)
            return self.table.records_after(fetch.after)
        peer = self.nodes[int(fetch.address.split(":")[0].split(".")[3])]
        links = {(asker, peer.number), (peer.number, asker)}
        if peer.dead or peer.paused or links & self.cut_links:
            return None
        replica = peer.membership.replica
        if is_fleet:
            entries = replica.entries_after(fetch.after)
            return None if entries is None else [(0, data) for data in entries]
        newest = (replica.settings_version, replica.settings_data)
        return [newest] if newest[0] > fetch.after else []

    def _check_applied(self, node: FakeNode, entry: Entry) -> None:
        if entry != self.fleet_log.entry(entry.version):
            detail = f"n{node.number} applied entry {entry.version}, which differs from the store's"
            raise GuaranteeError("P2", detail)

    def _check_settings(self, node: FakeNode, version: int, data: bytes) -> None:
        self.add_trace_event(f"n{node.number} settings {version}")
        if (version, data) not in self.table.records_after(version - 1):
            detail = f"n{node.number} applied settings version {version}, which was not accepted"
            raise GuaranteeError("P8", detail)
        if version <= node.settings[0]:
            detail = f"n{node.number} replaced settings version {node.settings[0]} by {version}"
            raise GuaranteeError("P8", detail)
        node.settings = (version, data)
        self.observer.on_settings(node, version, data)

    def _record_commands(self, data: bytes) -> None:
        for command in decode_entry(data).commands:
            self.event_counts[type(command).__name__] += 1
            self.add_trace_event(f"log {len(self.fleet_log)}: {command.id}")
            if isinstance(command, Transfer):
                self.transfers.append(command)
