"""Requests of the randomised runs: the shipped request path, fake upstreams, callers, a ledger."""

import random
from dataclasses import dataclass
from types import SimpleNamespace

from auburnsail import _data_path, _node
from auburnsail._clock import NS_PER_MS
from auburnsail._control import Announcement
from auburnsail._data_path import DataPath
from auburnsail._gate import RequestGate
from auburnsail._http_server import HttpServer, _Connection
from auburnsail._routing import Router
from auburnsail._settings import TreeSettings
from auburnsail._settings_log import tree_of
from auburnsail.exceptions import InvariantViolation, NotRunError
from tools.soak_ledger import Ledger
from tools.soak_net import FakeSocket, InsertionSet, Net
from tools.soak_nodes import (
    PLACES,
    SECRET,
    SERVICE,
    UNKEYED,
    FakeNode,
    GuaranteeError,
    Observer,
)
from tools.soak_patches import NetPeers

__all__ = ["Path"]

CALLERS = 5
CALLER_TIMEOUT_S = 2.0
SLOTS = 3
SERVICE_MS = (0.0, 5.0)
PRESSED_SERVICE_MS = (50.0, 150.0)
PRESSING_CALLERS = 16
PRESSING_PAUSE_MS = (1.0, 10.0)
DEADLINE_MS = 400
SWEEP_MS = 20
DRAIN_BOUND_MS = 2000
KEYS = 40
FAULTS = ("", "shed", "close", "late", "cut", "excess", "slow")
FAULT_WEIGHTS = (70, 8, 4, 6, 4, 4, 4)
SHED = b"HTTP/1.1 503 Busy\r\nauburnsail-not-run: 1\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n"


class _Clock:
    def __init__(self, net: Net, node: FakeNode) -> None:
        self._net = net
        self._node = node

    def now_ns(self) -> int:
        """See `Clock.now_ns`."""
        return self._node.now(self._net.sim.now_ns)


class _Server(HttpServer):
    """The shipped server without a listening socket."""

    def serve(self, sock: FakeSocket) -> None:
        """Serves one connection."""
        _Connection(sock, (), self).handle()

    def stop_accepting(self) -> None:
        """See `HttpServer.stop_accepting`."""

    def close(self) -> None:
        """Stops listening."""
        self.on_close()

    on_close = staticmethod(lambda: None)

    def _accept_queued(self) -> None:
        pass


@dataclass(eq=False)
class NodePath:
    """One node's request path.

    Attributes:
        stop: What `Node.stop` and its shutdown use of a node.
    """

    router: Router
    gate: RequestGate
    data: DataPath
    stop: SimpleNamespace
    is_stopped: bool = False


class Path(Observer):
    """Request paths, upstreams and callers of a run.

    Args:
        net: The run's connections.
    """

    def __init__(self, net: Net) -> None:
        self._net = net
        self._sim = net.sim
        self._rng = random.Random(net.sim.rng.getrandbits(64))
        self._paths: dict[int, NodePath] = {}
        self._number = 0
        self.ledger = Ledger()
        self.stops = 0
        self._service_ms = SERVICE_MS
        for node in self._sim.nodes.values():
            self.on_start(node)
        for _ in range(CALLERS):
            net.spawn(None, self._call_forever)

    def on_start(self, node: FakeNode) -> None:
        """See `Observer.on_start`."""
        sim, number, clock = self._sim, node.number, _Clock(self._net, node)
        address, upstream = f"10.0.0.{number}:1", f"10.1.0.{number}:1"
        router = Router(node.fleet, TreeSettings({}))
        gate = RequestGate(node.mover, node.membership, clock)
        region, domain = PLACES[number % len(PLACES)]
        settings = SimpleNamespace(
            node=f"n{number}",
            fleet_secret=SECRET * 2,
            data_address=address,
            region=region,
            domain=domain,
            reach=str,
            link_mbps=0.0,
        )
        own_server, _data_path.HttpServer = _data_path.HttpServer, _Server
        try:
            data = DataPath(
                settings,
                router,
                lambda: upstream,
                gate,
                clock,
                _raise,
                on_crash=lambda notice: None,
                on_failed_attempt=lambda: None,
            )
        finally:
            _data_path.HttpServer = own_server
        application = data._application
        application._jitter = random.Random(self._rng.getrandbits(64)).random
        data._chooser._rng = random.Random(self._rng.getrandbits(64))
        application._peers._peers = NetPeers(self._net, node, clock)
        data.set_upstream(Announcement(sim.service_of(number), upstream, SLOTS, 4 * SLOTS))
        stop = SimpleNamespace(_mover=node.mover, _data_path=data, _clock=clock)
        path = self._paths[number] = NodePath(router, gate, data, stop)
        server = data._servers[0]
        server.connections = InsertionSet()
        application._active_requests._active_requests = InsertionSet()
        self._net.listeners[address] = (node, False, server.serve)
        server.on_close = lambda: self._net.listeners.pop(address)
        self._net.listeners[upstream] = (node, True, lambda sock: self._upstream(node, sock))

        def sweep() -> None:
            if node.dead or path.is_stopped:
                return
            if not node.paused:
                application.sweep(clock.now_ns())
                data.tick(clock.now_ns())
            sim.at(SWEEP_MS, sweep)

        sim.at(SWEEP_MS, sweep)

    def on_kill(self, node: FakeNode) -> None:
        """See `Observer.on_kill`."""
        if not self._paths[node.number].is_stopped:
            node.stopping_ns = 0
        self._net.end_node(node)

    def on_resume(self, node: FakeNode) -> None:
        """See `Observer.on_resume`."""
        self._net.release(node)

    def on_applied(self, node: FakeNode) -> None:
        """See `Observer.on_applied`."""
        self._paths[node.number].router.own_id = node.membership.own_id

    def on_settings(self, node: FakeNode, version: int, data: bytes) -> None:
        """See `Observer.on_settings`."""
        tree = tree_of(version, data)
        path = self._paths[node.number]
        path.router.tree = tree
        path.data.set_tree(tree)

    def press(self) -> None:
        """Keeps the upstreams of the unkeyed service busy, so that a drain has work to wait for."""
        self._service_ms = PRESSED_SERVICE_MS
        for _ in range(PRESSING_CALLERS):
            self._net.spawn(None, lambda: self._call_forever((UNKEYED,), PRESSING_PAUSE_MS))

    def stop(self, node: FakeNode, then_start: bool) -> None:
        """Shuts a node down as SIGTERM does."""
        if node.stopping_ns or node.dead:
            return
        self._sim.note(f"n{node.number} is told to stop")
        node.stopping_ns = self._sim.now_ns
        path = self._paths[node.number]
        path.stop._stopped = SimpleNamespace(set=lambda: self._stopped(node, path, then_start))
        # What `Node.stop` does, without its log.
        path.data.announce_close()
        node.mover.drain("stop signal", stopping=True)
        self._net.spawn(node, lambda: _node.Node._stop_after_drain(path.stop))

    def _stopped(self, node: FakeNode, path: NodePath, then_start: bool) -> None:
        self._sim.note(f"n{node.number} stopped")
        path.is_stopped = True
        self.stops += 1
        # The process ends; what it has handed to the operating system still arrives.
        self._sim.at(0, lambda: self._end(node, then_start))

    def _end(self, node: FakeNode, then_start: bool) -> None:
        if self._sim.nodes[node.number] is not node or node.dead:
            return
        node.dead = True
        self._net.end_node(node)
        if then_start:
            self._sim.start(node.number)

    # Upstreams.

    def _upstream(self, node: FakeNode, sock: FakeSocket) -> None:
        buffered = b""
        try:
            while True:
                while (end := buffered.find(b"\r\n\r\n")) < 0:
                    if not (data := sock.recv(65536)):
                        return
                    buffered += data
                fields = _fields(buffered[:end])
                buffered = buffered[end + 4 :]
                length = int(fields.get("content-length", "0"))
                while len(buffered) < length:
                    if not (data := sock.recv(65536)):
                        return
                    buffered += data
                buffered = buffered[length:]
                if not self._answer(node, sock, fields):
                    return
        except OSError:
            return
        finally:
            sock.close()

    def _answer(self, node: FakeNode, sock: FakeSocket, fields: dict[str, str]) -> bool:
        weights = (1, 0, 0, 0, 0, 0, 1) if self._net.is_calm else FAULT_WEIGHTS
        fault = self._rng.choices(FAULTS, weights)[0]
        grant = fields.get("auburnsail-grant", "")
        # The upstream reads the boot clock of the same VM.
        is_expired = grant and int(grant.split(";")[3]) <= node.now(self._sim.now_ns)
        if fault == "shed" or is_expired:
            self._sim.notes["fenced"] += bool(is_expired)
            sock.sendall(SHED)
            return True
        self._check_leaving(node)
        self.ledger.on_run(fields["x-attempt"], fields["method"], grant)
        body = fields["x-attempt"].encode() + b";"
        body += b"." * self._rng.choice((0, 10, 1000, 70_000))
        answer = b"HTTP/1.1 200 OK\r\nx-size: %d\r\ncontent-length: %d\r\n\r\n"
        answer = answer % (len(body), len(body)) + body
        self._net.sleep(self._rng.uniform(*self._service_ms))
        match fault:
            case "close":
                return False
            case "late":
                self._net.sleep(self._rng.uniform(300, 700))
            case "slow":
                self._net.sleep(50)
            case "cut":
                sock.sendall(answer[:-1])
                return False
            case "excess":
                sock.sendall(answer + answer)
                return False
        sock.sendall(answer)
        return True

    def _check_leaving(self, node: FakeNode) -> None:
        if not node.stopping_ns:
            return
        since_ns = max(node.stopping_ns, self._sim.restless_ns)
        if self._sim.now_ns - since_ns > DRAIN_BOUND_MS * NS_PER_MS:
            raise GuaranteeError("P6", f"n{node.number} got new work while leaving")

    # Callers.

    def _call_forever(
        self,
        services: tuple[str, ...] = (SERVICE, SERVICE, UNKEYED),
        pause_ms: tuple[float, float] = (10, 150),
    ) -> None:
        while True:
            self._net.sleep(self._rng.uniform(*pause_ms))
            self._number += 1
            self._call(self._number, self._rng.choice(services))

    def _call(self, number: int, service: str) -> None:
        method = self._rng.choice(("GET", "POST", "POST"))
        target = f"/{service}/k{self._rng.randrange(KEYS)}"
        for attempt in range(3):
            node = self._sim.nodes[self._rng.randrange(len(self._sim.nodes))]
            outcome = self._attempt(node, method, target, f"{number}.{attempt}")
            if outcome not in ("not-run", "refused-connection"):
                return
            self._net.sleep(self._rng.uniform(20, 300))

    def _attempt(self, node: FakeNode, method: str, target: str, attempt: str) -> str:
        try:
            sock = self._net.connect(f"10.0.0.{node.number}:1", None, 1.0)
        except NotRunError:
            return "refused-connection"
        lines = [f"{method} {target} HTTP/1.1", "host: a", "connection: close"]
        lines += [f"x-attempt: {attempt}", f"auburnsail-deadline-ms: {DEADLINE_MS}"]
        body = b"b" * 10 if method == "POST" else b""
        data = "\r\n".join([*lines, f"content-length: {len(body)}", "", ""]).encode() + body
        answer = b""
        path = self._paths[node.number]
        try:
            sock.settimeout(CALLER_TIMEOUT_S)
            sock.sendall(data)
            while part := sock.recv(65536):
                answer += part
        except OSError:
            pass
        finally:
            sock.close()
        is_cut = sock.was_cut and path.is_stopped and node.stopping_ns > 0
        return self._judge(attempt, answer, is_cut)

    def _judge(self, attempt: str, answer: bytes, is_cut: bool) -> str:
        head, found, body = answer.partition(b"\r\n\r\n")
        fields = _fields(head) if found else {}
        if not found or len(body) != int(fields.get("content-length", "0")):
            if is_cut:
                raise GuaranteeError("P7", f"a shutdown cut off {attempt}")
            self.ledger.outcomes["broken"] += 1
            return "broken"
        outcome = fields.get("auburnsail-outcome", "")
        if outcome:
            if fields.get("auburnsail-reason") == "internal":
                raise GuaranteeError("program", f"a node failed inside: {body!r}")
            self.ledger.on_told(attempt, outcome)
        elif fields["status"] == "200":
            self.ledger.on_response(attempt, body, int(fields["x-size"]))
        return outcome


def _fields(head: bytes) -> dict[str, str]:
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines)
    words = first.split(" ")
    return {name.lower(): value for name, value in fields.items()} | {
        "method": words[0],
        "status": words[1],
    }


def _raise(error: InvariantViolation) -> None:
    raise error
