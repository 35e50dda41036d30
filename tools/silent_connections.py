"""Experiment: all open connections to an upstream go silent at once, while new ones work.

A relay forwards the connections between the node and its upstream. At the fault it stops forwarding
on all open connections without closing them; it still accepts and forwards new ones. The same load
is run with two rules for the connection pool: after a silent timeout, connections that were last
used before the silent exchange began are closed, or they are kept.
"""

import random
import sys
import time
from dataclasses import dataclass, field

import click
import gevent
from gevent import socket
from gevent.server import StreamServer

from auburnsail import _peers
from auburnsail._pool import HttpPeer
from tests.path_fakes import FakeUpstream, PathNode, connect, open_connection, reason_of

CALLERS = 16
BURST_REQUESTS = 16
WARM_UP_S = 0.5
AFTER_FAULT_S = 4.0
DEADLINE_MS = 1000
MEAN_PAUSE_S = 0.02
SEED = 11


class SilentRelay:
    """Forwards TCP connections; `silence_connections` makes all open ones silent.

    Args:
        target: Address to which connections are forwarded.

    Attributes:
        address: Address on which the relay listens.
        open_connections: Number of connections that the relay forwards or keeps open.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._generation = 0
        self.open_connections = 0
        self._server = StreamServer(("127.0.0.1", 0), self._handle)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def silence_connections(self) -> int:
        """Stops forwarding on all open connections and returns their number."""
        self._generation += 1
        return self.open_connections

    def stop(self) -> None:
        """Stops accepting connections."""
        self._server.stop(timeout=0)

    def _handle(self, sock, _address) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        generation = self._generation
        self.open_connections += 1
        try:
            with open_connection(self._target, timeout_s=None) as target_sock:
                backward_copy = gevent.spawn(self._copy, target_sock, sock, generation)
                self._copy(sock, target_sock, generation)
                backward_copy.kill()
        finally:
            self.open_connections -= 1

    def _copy(self, source_sock, target_sock, generation: int) -> None:
        try:
            while data := source_sock.recv(65536):
                if generation == self._generation:
                    target_sock.sendall(data)
        except OSError:
            return


@dataclass(slots=True)
class RequestStats:
    """Results of the requests with one method that started after the fault.

    Attributes:
        requests: Number of requests.
        failed: Number of requests with another status than 200.
        last_failed_s: Seconds from the fault to the end of the last failed request.
        slowest_ms: Longest duration of a request.
    """

    requests: int = 0
    failed: int = 0
    last_failed_s: float = 0.0
    slowest_ms: float = 0.0


@dataclass(slots=True)
class TrialResult:
    """Result of one rule under one load.

    Attributes:
        connections: Number of connections that were open at the fault.
        silent_timeouts: Number of exchanges that the node ended because the upstream was silent.
        stats_by_method: Results of the requests by method.
    """

    connections: int = 0
    silent_timeouts: int = 0
    stats_by_method: dict[str, RequestStats] = field(
        default_factory=lambda: {"GET": RequestStats(), "POST": RequestStats()}
    )


class _KeepingPool(HttpPeer):
    """A pool that keeps its idle connections after a silent timeout."""

    def __init__(self, address: str, clock, *, link=None) -> None:
        super().__init__(address, clock, drops_stale_idle=False, link=link)


def _send_request(sock, method: str, number: int) -> tuple[int, str, str]:
    sock.sendall(
        f"{method} /catalogue/{number} HTTP/1.1\r\nhost: n\r\ncontent-length: 0\r\n"
        f"auburnsail-deadline-ms: {DEADLINE_MS}\r\n\r\n".encode()
    )
    data = b""
    while b"\r\n\r\n" not in data:
        if not (chunk := sock.recv(65536)):
            raise ConnectionError("the node closed the connection")
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += sock.recv(65536)
    return reason_of(data)


def run_trial(peer_type: type, post_share: float) -> TrialResult:
    """Runs the load, injects the fault and returns what callers observed.

    Args:
        peer_type: Class of the connection pools of the node.
        post_share: Share of POST requests, which must not be repeated; all others are GET requests.
    """
    # A service time of 5 ms makes requests overlap, so that the warm-up opens many connections.
    upstream = FakeUpstream(lambda sock, run: gevent.sleep(0.005) or _OK_ANSWER)
    relay = SilentRelay(upstream.address)
    original = _peers.HttpPeer
    _peers.HttpPeer = peer_type
    node = PathNode("a", upstream, "catalogue")
    connect(node, owner=node)
    upstream.address = relay.address
    result = TrialResult()
    trial_start_s = time.monotonic()
    fault_s = 0.0

    def caller(index: int) -> None:
        rng = random.Random(SEED * 1000 + index)
        sock = open_connection(node.address, 10.0)
        while time.monotonic() - trial_start_s < WARM_UP_S + AFTER_FAULT_S:
            method = "POST" if rng.random() < post_share else "GET"
            start_s = time.monotonic()
            status, _, _ = _send_request(sock, method, index)
            end_s = time.monotonic()
            if fault_s and start_s >= fault_s:
                stats = result.stats_by_method[method]
                stats.requests += 1
                stats.slowest_ms = max(stats.slowest_ms, (end_s - start_s) * 1000)
                if status != 200:
                    stats.failed += 1
                    stats.last_failed_s = end_s - fault_s
            gevent.sleep(MEAN_PAUSE_S * rng.random() * 2)
        sock.close()

    try:
        callers = [gevent.spawn(caller, index) for index in range(CALLERS)]
        gevent.sleep(WARM_UP_S)
        # A burst leaves more idle connections than the load afterwards uses.
        burst_requests = [
            gevent.spawn(_burst, node.address, index) for index in range(BURST_REQUESTS)
        ]
        gevent.joinall(burst_requests, raise_error=True)
        result.connections = relay.silence_connections()
        fault_s = time.monotonic()
        gevent.joinall(callers, raise_error=True)
        result.silent_timeouts = node.application.counters.silent
    finally:
        _peers.HttpPeer = original
        node.stop()
        relay.stop()
        upstream.stop()
    return result


_OK_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def _burst(address: str, index: int) -> None:
    with open_connection(address, 10.0) as sock:
        _send_request(sock, "GET", index)


@click.command()
def main() -> None:
    """Compares the rules; exits with 1 if the rule of the node misses its bounds.

    At most one GET request per open connection may fail, and none of them later after the fault
    than the deadline plus 100 ms.
    """
    rules = {"drop stale idle": HttpPeer, "keep the pool": _KeepingPool}
    click.echo(
        f"{'rule':<16}{'load':<12}{'conn.':>6}{'silent':>8}{'kind':>6}{'requests':>10}"
        f"{'failed':>8}{'last failure s':>16}{'slowest ms':>12}"
    )
    is_bound_missed = False
    for load, post_share in (("reads", 0.0), ("half writes", 0.5)):
        for rule, peer_type in rules.items():
            result = run_trial(peer_type, post_share)
            for method, stats in result.stats_by_method.items():
                if not stats.requests:
                    continue
                click.echo(
                    f"{rule:<16}{load:<12}{result.connections:>6}{result.silent_timeouts:>8}"
                    f"{method:>6}{stats.requests:>10}{stats.failed:>8}{stats.last_failed_s:>16.2f}"
                    f"{stats.slowest_ms:>12.0f}"
                )
            if peer_type is HttpPeer:
                is_bound_missed |= result.stats_by_method["GET"].failed > result.connections
                is_bound_missed |= (
                    result.stats_by_method["GET"].last_failed_s > DEADLINE_MS / 1000 + 0.1
                )
    click.echo(f"silent-connections: {'failed' if is_bound_missed else 'ok'}")
    sys.exit(is_bound_missed)


if __name__ == "__main__":
    main()
