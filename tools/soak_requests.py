"""Simulates the requests of a soak run: shipped request path and callers.

What the upstreams execute and what the callers receive is recorded in a ledger, which checks it.
"""

import random
from dataclasses import dataclass
from types import SimpleNamespace
from unittest import mock

from auburnsail import _data_path, _node
from auburnsail._control import Announcement
from auburnsail._data_path import DataPath
from auburnsail._dialect import DEFAULT_DIALECT
from auburnsail._gate import RequestGate
from auburnsail._http_server import HttpServer, _Connection
from auburnsail._routing import Router
from auburnsail._settings import TreeSettings
from auburnsail._settings_log import decode_tree
from auburnsail.exceptions import InvariantViolation, NotRunError
from tools.ordered_set import OrderedSet
from tools.soak_ledger import CheckedLedger
from tools.soak_net import FakeNetwork, FakeSocket
from tools.soak_nodes import (
    KEYED_SERVICE,
    NODE_LOCATIONS,
    SECRET,
    UNKEYED_SERVICE,
    FakeNode,
    GuaranteeError,
    NodeObserver,
)
from tools.soak_patches import FakePeers
from tools.soak_upstreams import DIALECT_WITH_IDS, Upstreams, parse_head

__all__ = ["RequestSimulation"]

CALLERS = 5
CALLER_TIMEOUT_S = 2.0
SLOTS = 3
BUSY_SERVICE_MS = (50.0, 150.0)
PAUSE_MS = (10.0, 150.0)
SERVICES = (KEYED_SERVICE, KEYED_SERVICE, UNKEYED_SERVICE)
# A request that its upstream refused is sent again only if another upstream may run it.
SERVICES_WITH_RETRIES = (KEYED_SERVICE, UNKEYED_SERVICE)
EXTRA_CALLERS = 16
EXTRA_CALLER_PAUSE_MS = (1.0, 10.0)
DEADLINE_MS = 400
SWEEP_INTERVAL_MS = 20
KEYS = 40
# Further callers of a few keys, so that a new owner runs requests soon after a takeover.
BUSY_KEY_CALLERS = 5
BUSY_KEYS = 3


class _Clock:
    def __init__(self, net: FakeNetwork, node: FakeNode) -> None:
        self._net = net
        self._node = node

    def now_ns(self) -> int:
        """Implements `Clock.now_ns`."""
        return self._node.now(self._net.sim.now_ns)


class _Server(HttpServer):
    """The shipped server without a listening socket; connections come from the fake network."""

    def serve(self, sock: FakeSocket) -> None:
        """Serves the requests of one connection until it ends."""
        _Connection(sock, (), self).handle()

    def stop_accepting(self) -> None:
        """Does nothing: the fake network has no listening socket."""

    def close(self) -> None:
        """Removes the server's address from the fake network."""
        self.on_close()

    on_close = staticmethod(lambda: None)

    def _accept_queued(self) -> None:
        pass


@dataclass(eq=False)
class NodeRequestPath:
    """Request path of one node.

    Attributes:
        node_stub: Stands in for a `Node`; has the attributes that its shutdown uses.
        is_stopped: Whether the node has completed its shutdown.
    """

    router: Router
    gate: RequestGate
    data_path: DataPath
    node_stub: SimpleNamespace
    is_stopped: bool = False


class RequestSimulation(NodeObserver):
    """Request paths, upstreams and callers of a run.

    Args:
        net: Fake network of the run.
        repeats_answers: Whether upstreams write some answers once more; requests then have ids that
            the nodes know.
        has_busy_keys: Whether there are further callers that send requests for a few keys only.

    Attributes:
        ledger: Records executions and the outcomes that callers receive.
        completed_stops: Number of nodes that have completed a shutdown.
    """

    def __init__(
        self, net: FakeNetwork, *, repeats_answers: bool = False, has_busy_keys: bool = False
    ) -> None:
        self._net = net
        self._sim = net.sim
        self._rng = random.Random(net.sim.rng.getrandbits(64))
        self._request_paths: dict[int, NodeRequestPath] = {}
        self._last_request_number = 0
        self.ledger = CheckedLedger()
        self.completed_stops = 0
        copy_rng = random.Random(net.sim.rng.getrandbits(64)) if repeats_answers else None
        self._dialect = DIALECT_WITH_IDS if repeats_answers else DEFAULT_DIALECT
        self._upstreams = Upstreams(net, self._rng, self.ledger, copy_rng)
        for node in self._sim.nodes.values():
            self.on_start(node)
        services = SERVICES_WITH_RETRIES if repeats_answers else SERVICES
        for _ in range(CALLERS):
            net.spawn(None, lambda: self._call_forever(services, PAUSE_MS))
        for _ in range(BUSY_KEY_CALLERS if has_busy_keys else 0):
            net.spawn(None, lambda: self._call_forever((KEYED_SERVICE,), PAUSE_MS, BUSY_KEYS))

    def on_start(self, node: FakeNode) -> None:
        """Implements `NodeObserver.on_start`."""
        sim, number, clock = self._sim, node.number, _Clock(self._net, node)
        address, upstream = f"10.0.0.{number}:1", f"10.1.0.{number}:1"
        router = Router(node.fleet, TreeSettings({}))
        gate = RequestGate(node.mover, node.membership, clock)
        region, domain = NODE_LOCATIONS[number % len(NODE_LOCATIONS)]
        settings = SimpleNamespace(
            node=f"n{number}",
            fleet_secret=SECRET * 2,
            data_address=address,
            region=region,
            domain=domain,
            resolve_address=str,
            link_mbps=0.0,
        )
        with mock.patch.multiple(_data_path, HttpServer=_Server, DEFAULT_DIALECT=self._dialect):
            data_path = DataPath(
                settings,
                router,
                lambda: upstream,
                gate,
                clock,
                _raise_violation,
                on_crash=lambda notice: None,
                on_failed_attempt=lambda: None,
            )
        application = data_path._application
        application._jitter = random.Random(self._rng.getrandbits(64)).random
        data_path._chooser._rng = random.Random(self._rng.getrandbits(64))
        application._peers._peers = FakePeers(self._net, node, clock)
        data_path.set_upstream(Announcement(sim.service_of(number), upstream, SLOTS, 4 * SLOTS))
        node_stub = SimpleNamespace(_mover=node.mover, _data_path=data_path, _clock=clock)
        request_path = self._request_paths[number] = NodeRequestPath(
            router, gate, data_path, node_stub
        )
        server = data_path._servers[0]
        server.connections = OrderedSet()
        application._active_requests._active_requests = OrderedSet()
        self._net.listeners[address] = (node, False, server.serve)
        server.on_close = lambda: self._net.listeners.pop(address)
        self._net.listeners[upstream] = (node, True, lambda sock: self._upstreams.serve(node, sock))

        def sweep() -> None:
            if node.dead or request_path.is_stopped:
                return
            if not node.paused:
                application.sweep(clock.now_ns())
                data_path.tick(clock.now_ns())
            sim.call_later(SWEEP_INTERVAL_MS, sweep)

        sim.call_later(SWEEP_INTERVAL_MS, sweep)

    def on_kill(self, node: FakeNode) -> None:
        """Implements `NodeObserver.on_kill`."""
        if not self._request_paths[node.number].is_stopped:
            node.stop_requested_ns = 0
        self._net.end_node(node)

    def on_resume(self, node: FakeNode) -> None:
        """Implements `NodeObserver.on_resume`."""
        self._net.resume_node(node)

    def on_applied(self, node: FakeNode) -> None:
        """Implements `NodeObserver.on_applied`."""
        self._request_paths[node.number].router.own_id = node.membership.own_id

    def on_settings(self, node: FakeNode, version: int, data: bytes) -> None:
        """Implements `NodeObserver.on_settings`."""
        tree = decode_tree(version, data)
        request_path = self._request_paths[node.number]
        request_path.router.tree = tree
        request_path.data_path.set_tree(tree)

    def add_unkeyed_load(self) -> None:
        """Adds load to the unkeyed service, so that a drain finds requests in flight."""
        self._upstreams.service_ms = BUSY_SERVICE_MS
        for _ in range(EXTRA_CALLERS):
            self._net.spawn(
                None, lambda: self._call_forever((UNKEYED_SERVICE,), EXTRA_CALLER_PAUSE_MS)
            )

    def stop_node(self, node: FakeNode, restart: bool) -> None:
        """Shuts a node down as SIGTERM does.

        Args:
            node: The node; nothing happens if it is dead or already shutting down.
            restart: Whether the node is started again after its process has ended.
        """
        if node.stop_requested_ns or node.dead:
            return
        self._sim.add_trace_event(f"n{node.number} begins to shut down")
        node.stop_requested_ns = self._sim.now_ns
        request_path = self._request_paths[node.number]
        request_path.node_stub._stopped = SimpleNamespace(
            set=lambda: self._on_stopped(node, request_path, restart)
        )
        # The same steps as in `Node.stop`, without its log entry.
        request_path.data_path.announce_close()
        node.mover.drain("stop signal", stopping=True)
        self._net.spawn(node, lambda: _node.Node._stop_after_drain(request_path.node_stub))

    def _on_stopped(self, node: FakeNode, request_path: NodeRequestPath, restart: bool) -> None:
        self._sim.add_trace_event(f"n{node.number} stopped")
        request_path.is_stopped = True
        self.completed_stops += 1
        # Bytes that the process has passed to the operating system still arrive after it ends.
        self._sim.call_later(0, lambda: self._end_process(node, restart))

    def _end_process(self, node: FakeNode, restart: bool) -> None:
        if self._sim.nodes[node.number] is not node or node.dead:
            return
        node.dead = True
        self._net.end_node(node)
        if restart:
            self._sim.start_node(node.number)

    # Callers.

    def _call_forever(
        self, services: tuple[str, ...], pause_ms: tuple[float, float], keys: int = KEYS
    ) -> None:
        while True:
            self._net.sleep(self._rng.uniform(*pause_ms))
            self._last_request_number += 1
            self._call(self._last_request_number, self._rng.choice(services), keys)

    def _call(self, number: int, service: str, keys: int) -> None:
        method = self._rng.choice(("GET", "POST", "POST"))
        target = f"/{service}/k{self._rng.randrange(keys)}"
        for attempt in range(3):
            node = self._sim.nodes[self._rng.randrange(len(self._sim.nodes))]
            outcome = self._send_attempt(node, method, target, f"{number}.{attempt}")
            if outcome not in ("not-run", "refused-connection"):
                return
            self._net.sleep(self._rng.uniform(20, 300))

    def _send_attempt(self, node: FakeNode, method: str, target: str, attempt_id: str) -> str:
        try:
            sock = self._net.connect(f"10.0.0.{node.number}:1", None, 1.0)
        except NotRunError:
            return "refused-connection"
        lines = [f"{method} {target} HTTP/1.1", "host: a", "connection: close"]
        lines += [f"x-attempt: {attempt_id}", f"auburnsail-deadline-ms: {DEADLINE_MS}"]
        body = b"b" * 10 if method == "POST" else b""
        data = "\r\n".join([*lines, f"content-length: {len(body)}", "", ""]).encode() + body
        answer = b""
        request_path = self._request_paths[node.number]
        try:
            sock.settimeout(CALLER_TIMEOUT_S)
            sock.sendall(data)
            while received := sock.recv(65536):
                answer += received
        except OSError:
            pass
        finally:
            sock.close()
        is_cut_by_shutdown = sock.was_cut and request_path.is_stopped and node.stop_requested_ns > 0
        return self._check_answer(attempt_id, answer, is_cut_by_shutdown)

    def _check_answer(self, attempt_id: str, answer: bytes, is_cut_by_shutdown: bool) -> str:
        head, separator, body = answer.partition(b"\r\n\r\n")
        fields = parse_head(head) if separator else {}
        if not separator or len(body) != int(fields.get("content-length", "0")):
            if is_cut_by_shutdown:
                raise GuaranteeError("P7", f"a shutdown cut off request {attempt_id}")
            self.ledger.outcome_counts["broken"] += 1
            return "broken"
        outcome = fields.get("auburnsail-outcome", "")
        if outcome:
            if fields.get("auburnsail-reason") == "internal":
                raise GuaranteeError("program", f"a node had an internal error: {body!r}")
            self.ledger.record_reported_outcome(attempt_id, outcome)
        elif fields["status"] == "200":
            self.ledger.record_response(attempt_id, body, int(fields["x-size"]))
        return outcome


def _raise_violation(error: InvariantViolation) -> None:
    raise error
