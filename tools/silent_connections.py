"""Experiment: all open connections between two sides go silent at once, while new ones work.

A relay stands between the node and its upstream. At the fault it stops forwarding on every
connection that is open and keeps them open; it still accepts and forwards new ones. The same load
is run against three rules for the pool.
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
BURST = 16
WARM_S = 0.5
AFTER_S = 4.0
DEADLINE_MS = 1000
PAUSE_S = 0.02
SEED = 11


class SilentRelay:
    """Forwards TCP connections until `fail` is called; connections of before are then silent."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._generation = 0
        self.open = 0
        self._server = StreamServer(("127.0.0.1", 0), self._handle)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def fail(self) -> int:
        """Makes all open connections silent and returns their number."""
        self._generation += 1
        return self.open

    def stop(self) -> None:
        """Stops accepting."""
        self._server.stop(timeout=0)

    def _handle(self, sock, _address) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        generation = self._generation
        self.open += 1
        try:
            with open_connection(self._target, timeout_s=None) as other:
                back = gevent.spawn(self._copy, other, sock, generation)
                self._copy(sock, other, generation)
                back.kill()
        finally:
            self.open -= 1

    def _copy(self, source, sink, generation: int) -> None:
        try:
            while data := source.recv(65536):
                if generation == self._generation:
                    sink.sendall(data)
        except OSError:
            return


@dataclass(slots=True)
class Count:
    """What callers of one kind of request saw after the fault."""

    requests: int = 0
    failed: int = 0
    last_failed_s: float = 0.0
    slowest_ms: float = 0.0


@dataclass(slots=True)
class Trial:
    """One rule under the fault."""

    connections: int = 0
    silent: int = 0
    counts: dict[str, Count] = field(default_factory=lambda: {"GET": Count(), "POST": Count()})


class _KeptPool(HttpPeer):
    """A pool that keeps older connections after a silent time-out."""

    def __init__(self, address: str, clock) -> None:
        super().__init__(address, clock, drops_stale_idle=False)


def _call(sock, method: str, number: int) -> tuple[int, str, str]:
    sock.sendall(
        f"{method} /catalogue/{number} HTTP/1.1\r\nhost: n\r\ncontent-length: 0\r\n"
        f"auburnsail-deadline-ms: {DEADLINE_MS}\r\n\r\n".encode()
    )
    data = b""
    while b"\r\n\r\n" not in data:
        if not (part := sock.recv(65536)):
            raise ConnectionError("the node closed the connection")
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += sock.recv(65536)
    return reason_of(data)


def run_trial(peer_type: type, post_share: float) -> Trial:
    """Runs the load through one fault.

    Args:
        peer_type: Pool of the node under test.
        post_share: Share of requests that may not be repeated.
    """
    # The upstream takes a moment, so that the warm-up opens many connections.
    upstream = FakeUpstream(lambda sock, run: gevent.sleep(0.005) or _OK)
    relay = SilentRelay(upstream.address)
    original = _peers.HttpPeer
    _peers.HttpPeer = peer_type
    node = PathNode("a", upstream, "catalogue")
    connect(node, owner=node)
    upstream.address = relay.address
    trial = Trial()
    start = time.monotonic()
    fault_s = 0.0

    def caller(index: int) -> None:
        rng = random.Random(SEED * 1000 + index)
        sock = open_connection(node.address, 10.0)
        while time.monotonic() - start < WARM_S + AFTER_S:
            method = "POST" if rng.random() < post_share else "GET"
            begun = time.monotonic()
            status, _, _ = _call(sock, method, index)
            ended = time.monotonic()
            if fault_s and begun >= fault_s:
                count = trial.counts[method]
                count.requests += 1
                count.slowest_ms = max(count.slowest_ms, (ended - begun) * 1000)
                if status != 200:
                    count.failed += 1
                    count.last_failed_s = ended - fault_s
            gevent.sleep(PAUSE_S * rng.random() * 2)
        sock.close()

    try:
        callers = [gevent.spawn(caller, index) for index in range(CALLERS)]
        gevent.sleep(WARM_S)
        # A burst leaves more idle connections than the load afterwards uses.
        burst = [gevent.spawn(_burst, node.address, index) for index in range(BURST)]
        gevent.joinall(burst, raise_error=True)
        trial.connections = relay.fail()
        fault_s = time.monotonic()
        gevent.joinall(callers, raise_error=True)
        trial.silent = node.application.counters.silent
    finally:
        _peers.HttpPeer = original
        node.stop()
        relay.stop()
        upstream.stop()
    return trial


_OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def _burst(address: str, index: int) -> None:
    with open_connection(address, 10.0) as sock:
        _call(sock, "GET", index)


@click.command()
def main() -> None:
    """Compares the rules and exits with 1 if the node's own rule misses its aim."""
    rules = {"drop suspects": HttpPeer, "keep the pool": _KeptPool}
    click.echo(
        f"{'rule':<16}{'load':<12}{'conn.':>6}{'silent':>8}{'kind':>6}{'requests':>10}"
        f"{'failed':>8}{'last failure s':>16}{'slowest ms':>12}"
    )
    missed = False
    for load, post_share in (("reads", 0.0), ("half writes", 0.5)):
        for rule, peer_type in rules.items():
            trial = run_trial(peer_type, post_share)
            for kind, count in trial.counts.items():
                if not count.requests:
                    continue
                click.echo(
                    f"{rule:<16}{load:<12}{trial.connections:>6}{trial.silent:>8}{kind:>6}"
                    f"{count.requests:>10}{count.failed:>8}{count.last_failed_s:>16.2f}"
                    f"{count.slowest_ms:>12.0f}"
                )
            if peer_type is HttpPeer:
                missed |= trial.counts["GET"].failed > trial.connections
                missed |= trial.counts["GET"].last_failed_s > DEADLINE_MS / 1000 + 0.1
    click.echo(f"silent-connections: {'failed' if missed else 'ok'}")
    sys.exit(missed)


if __name__ == "__main__":
    main()
