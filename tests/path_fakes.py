"""Test doubles for the request path: scripted upstreams, and nodes without membership."""

import unittest
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.server import StreamServer

from auburnsail._dialect import DEFAULT_DIALECT
from auburnsail._fleet import FleetState
from auburnsail._forward import ProxyApplication
from auburnsail._hop import HopSigner
from auburnsail._http_server import HttpServer
from auburnsail._link_sender import LinkSender
from auburnsail._model import Assign, Entry, Grant, Join, Session, SessionId
from auburnsail._routing import Router
from auburnsail._settings import ServiceSettings, TreeSettings

SECRET = "0123456789abcdef0123456789abcdef"
SHARDS = 8
TREE = TreeSettings(
    {"catalogue": ServiceSettings(keyed=True, shards=SHARDS), "pledge": ServiceSettings()}
)
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
SHED = b"HTTP/1.1 503 Busy\r\nauburnsail-not-run: 1\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n"


@dataclass(slots=True)
class Run:
    """A request that reached a fake upstream."""

    head: str
    body: bytes


Script = Callable[[socket.socket, Run], bytes | None]


class FakeUpstream:
    """HTTP upstream whose script returns the answer to each request, or None to close.

    Attributes:
        script: Called with the connection and the request.
        runs: Requests in order of arrival.
        connections: Number of accepted connections.
        closed_by_peer: Number of connections that the node closed during a request.
        address: ``ip:port`` of the upstream.
    """

    def __init__(self, script: Script = lambda sock, run: OK) -> None:
        self.script = script
        self.runs: list[Run] = []
        self.connections = 0
        self.closed_by_peer = 0
        self._server = StreamServer(("127.0.0.1", 0), self._handle)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        """Stops listening for connections."""
        self._server.stop(timeout=0)

    def _handle(self, sock, _address) -> None:
        self.connections += 1
        buffered = b""
        while True:
            try:
                while (end := buffered.find(b"\r\n\r\n")) < 0:
                    if not (data := sock.recv(65536)):
                        return
                    buffered += data
                run = Run(buffered[:end].decode("latin-1"), b"")
                self.runs.append(run)
                run.body, buffered = _read_body(sock, run.head, buffered[end + 4 :])
                answer = self.script(sock, run)
                if answer is None:
                    return
                sock.sendall(answer)
            except OSError:
                self.closed_by_peer += 1
                return


def _read_body(sock, head: str, data: bytes) -> tuple[bytes, bytes]:
    if "content-length: " in head:
        length = int(head.split("content-length: ")[1].split("\r\n")[0])
        while len(data) < length:
            data += _receive_more(sock)
        return data[:length], data[length:]
    body = b""
    while "transfer-encoding: chunked" in head:
        while b"\r\n" not in data:
            data += _receive_more(sock)
        line, _, data = data.partition(b"\r\n")
        size = int(line, 16)
        while len(data) < size + 2:
            data += _receive_more(sock)
        body, data = body + data[:size], data[size + 2 :]
        if size == 0:
            break
    return body, data


def _receive_more(sock) -> bytes:
    if not (data := sock.recv(65536)):
        raise OSError("the peer closed the connection inside the body")
    return data


class FakeGate:
    """Implements `Gate`: allows what the fleet's state allows while `has_lease` is set."""

    def __init__(self, fleet: FleetState, own_id: SessionId) -> None:
        self._fleet = fleet
        self._own_id = own_id
        self.has_lease = True
        self.in_flight = 0

    def admit(self, service: str, shard: int, deadline_ns: int) -> str:
        """Counts the request as in flight and returns an empty string, or why it is not allowed."""
        if not self.has_lease:
            return "no-lease"
        self.in_flight += 1
        return ""

    def refuse_waiting(self, reason: str) -> None:
        """Does nothing, because no request waits here."""

    def confirm(self, service: str, shard: int, epoch: int) -> str:
        """Returns an empty string, or why this node no longer owns the shard."""
        if not self.has_lease:
            return "no-lease"
        if shard < 0:
            return ""
        row = self._fleet.owner(service, shard)
        is_own = row is not None and row.session.id == self._own_id
        return "" if is_own and self._fleet.epoch(service, shard) == epoch else "not-owner"

    def release(self, service: str, shard: int) -> None:
        """Counts the request as finished."""
        self.in_flight -= 1

    def expires_ns(self) -> int:
        """Returns a constant lease expiry, which tests find in the grant header."""
        return 1


class PathNode:
    """HTTP server and request path of a node, without membership.

    Args:
        name: Name of the node.
        upstream: The node's upstream, or None for a node without one.
        service: Service of the session that `connect` adds.
        link: Sender on the VM's link, or None for no pacing.
        options: Further arguments of `ProxyApplication`.
    """

    def __init__(
        self,
        name: str,
        upstream: FakeUpstream | None,
        service: str,
        link: LinkSender | None = None,
        **options,
    ) -> None:
        self.fleet = FleetState()
        self.fleet.add_service("catalogue", SHARDS)
        self.router = Router(self.fleet, TREE)
        self.router.own_id = SessionId(name, 1)
        self.upstream = upstream
        self.gate = FakeGate(self.fleet, self.router.own_id)
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.application = ProxyApplication(
            self.router,
            lambda: self.upstream and self.upstream.address,
            self.gate,
            signer=HopSigner(SECRET),
            own_address=self.address,
            link=link,
            **options,
        )
        dialect = options.get("dialect", DEFAULT_DIALECT)
        self.server = HttpServer(listener, self.application, link=link, dialect=dialect)
        self.server.start()
        self.session = Session(
            self.router.own_id, "wien", "wien-1", self.address, self.address, service, 4
        )

    def apply_commands(self, *commands) -> None:
        """Applies commands to the fleet's state as the next log entry."""
        fleet = self.fleet
        fleet.apply(Entry(fleet.version + 1, fleet.digest, str(fleet.version), commands))

    def stop(self) -> None:
        """Closes all connections and stops listening."""
        self.server.kill()
        self.application.close()


def connect(*nodes: PathNode, owner: PathNode, others: tuple[PathNode, ...] = ()) -> None:
    """Adds sessions of nodes, or of `others` instead, to their fleet state and assigns all shards.

    Args:
        nodes: Nodes whose state changes.
        owner: Owner of all shards.
        others: Nodes whose sessions are added; those of `nodes` if empty.
    """
    joins = [Join(node.session.id.node, node.session) for node in others or nodes]
    grant = Grant(owner.session.id, tuple(range(SHARDS)))
    for node in nodes:
        node.apply_commands(*joins, Assign("all", "catalogue", (grant,), SHARDS))


def exchange(address: str, data: bytes, timeout_s: float = 5.0) -> bytes:
    """Sends bytes and returns all bytes received until the connection ends.

    Raises:
        ConnectionResetError: The connection was reset.
    """
    with open_connection(address, timeout_s) as sock:
        sock.sendall(data)
        parts = []
        while part := sock.recv(65536):
            parts.append(part)
        return b"".join(parts)


def open_connection(address: str, timeout_s: float = 5.0) -> socket.socket:
    """Returns a new connection to an address."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=timeout_s)


def request(
    method: str = "GET", target: str = "/catalogue/k1", *lines: str, body: bytes = b""
) -> bytes:
    """Returns an encoded request with "connection: close"."""
    fields = ["host: node", "connection: close", *lines]
    if body:
        fields.append(f"content-length: {len(body)}")
    return "\r\n".join([f"{method} {target} HTTP/1.1", *fields, "", ""]).encode() + body


def reason_of(answer: bytes) -> tuple[int, str, str]:
    """Returns status, outcome and reason of an answer; empty strings without these headers."""
    head = answer.partition(b"\r\n\r\n")[0].decode("latin-1")
    status, *lines = head.split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines)
    return (
        int(status.split()[1]),
        fields.get("auburnsail-outcome", ""),
        fields.get("auburnsail-reason", ""),
    )


def wait_for(condition: Callable[[], bool], timeout_s: float = 2.0) -> bool:
    """Polls a condition and returns whether it became true before the time-out."""
    with gevent.Timeout(timeout_s, False):
        while not condition():
            gevent.sleep(0.005)
        return True
    return False


class PathTestCase(unittest.TestCase):
    """Base of tests of two nodes: `owner` owns all keys and `other` forwards requests to it."""

    def setUp(self):
        self.upstream = FakeUpstream()
        self.other_upstream = FakeUpstream()
        self.owner = PathNode("a", self.upstream, "catalogue")
        self.other = PathNode("b", self.other_upstream, "catalogue")
        connect(self.owner, self.other, owner=self.owner)
        for component in (self.upstream, self.other_upstream, self.owner, self.other):
            self.addCleanup(component.stop)

    def entry_nodes(self):
        """Yields the nodes at which a request can enter, the owner first, with `runs` cleared."""
        for node in (self.owner, self.other):
            self.upstream.runs.clear()
            yield node
