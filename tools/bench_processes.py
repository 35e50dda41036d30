"""Processes that `tools.bench` starts: a minimal upstream and a load generator."""

import contextlib
import sys
import time

import click
import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer

from auburnsail._pool import HttpPeer
from auburnsail.exceptions import AuburnsailError

ANNOUNCE_INTERVAL_S = 1.0
BLOCK_BYTES = 64 * 1024
SMALL_BODY_BYTES = 128


class LoadResult(msgspec.Struct):
    """Result of one load generator.

    Attributes:
        requests: Number of requests that were answered with status 200 and a whole body.
        errors: Number of other requests.
        latencies_us: Latency of each answered request in microseconds.
        cpu_s: Processor time of the load generator in seconds.
        wall_s: Duration of the run in seconds.
    """

    requests: int
    errors: int
    latencies_us: list[int]
    cpu_s: float
    wall_s: float


def _make_handler(name: str, large_bytes: int):
    small_body = name.encode().ljust(SMALL_BODY_BYTES)
    small_answer = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: %d\r\n\r\n" % (
        len(small_body)
    )
    small_answer += small_body
    large_head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % large_bytes
    block = b"x" * BLOCK_BYTES

    def handle(sock, _address) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffered = b""
        while True:
            while (end := buffered.find(b"\r\n\r\n")) < 0:
                data = sock.recv(BLOCK_BYTES)
                if not data:
                    return
                buffered += data
            head, buffered = buffered[:end], buffered[end + 4 :]
            if b"/large" not in head.split(b"\r\n", 1)[0]:
                sock.sendall(small_answer)
                continue
            sock.sendall(large_head)
            for _ in range(large_bytes // BLOCK_BYTES):
                sock.sendall(block)

    return handle


@click.group()
def main() -> None:
    """Runs one process of the benchmark."""


@main.command()
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--listen", required=True)
@click.option("--node", required=True)
@click.option("--large-bytes", default=64 << 20)
def upstream(name: str, service: str, listen: str, node: str, large_bytes: int) -> None:
    """Answers every request without delay, with a large body if the path has /large."""
    host, _, port = listen.rpartition(":")
    StreamServer((host, int(port)), _make_handler(name, large_bytes)).start()
    peer = HttpPeer(node)
    body = msgspec.json.encode({"service": service, "address": listen, "slots": 1000})
    while True:
        with contextlib.suppress(AuburnsailError):
            peer.fetch("POST", "/v1/announce", body, timeout_s=1.0)
        gevent.sleep(ANNOUNCE_INTERVAL_S)


class _LoadGenerator:
    def __init__(self, address: str, target: str, seconds: float, interval_s: float) -> None:
        host, _, port = address.rpartition(":")
        self._endpoint = (host, int(port))
        self._end_s = time.perf_counter() + seconds
        self._interval_s = interval_s
        self._request = (
            f"GET {target} HTTP/1.1\r\nhost: {address}\r\nuser-agent: bench\r\naccept: */*\r\n"
            "x-request-id: 0123456789abcdef\r\ncookie: session=0123456789abcdef\r\n"
            "accept-language: de\r\n\r\n"
        ).encode()
        self.latencies_us: list[int] = []
        self.errors = 0

    def run(self) -> None:
        """Sends requests one after another on one connection until the run ends."""
        sock = socket.create_connection(self._endpoint)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        due_s = time.perf_counter()
        while (start_s := time.perf_counter()) < self._end_s:
            if self._interval_s:
                due_s += self._interval_s
                if due_s > start_s:
                    gevent.sleep(due_s - start_s)
                    start_s = time.perf_counter()
            sock.sendall(self._request)
            if not self._read_answer(sock):
                self.errors += 1
                sock.close()
                sock = socket.create_connection(self._endpoint)
                continue
            self.latencies_us.append(int((time.perf_counter() - start_s) * 1e6))

    def _read_answer(self, sock) -> bool:
        data = sock.recv(BLOCK_BYTES)
        while data and (end := data.find(b"\r\n\r\n")) < 0:
            chunk = sock.recv(BLOCK_BYTES)
            if not chunk:
                return False
            data += chunk
        if not data.startswith(b"HTTP/1.1 200"):
            return False
        head = data[:end].lower()
        length = int(head.split(b"content-length:", 1)[1].split(b"\r\n", 1)[0])
        remaining_bytes = length - (len(data) - end - 4)
        while remaining_bytes > 0:
            data = sock.recv(BLOCK_BYTES * 4)
            if not data:
                return False
            remaining_bytes -= len(data)
        return remaining_bytes == 0


@main.command()
@click.argument("address")
@click.argument("target")
@click.option("--seconds", default=3.0)
@click.option("--connections", default=4)
@click.option(
    "--rate", default=0.0, help="Requests per second of all connections together; 0 for no limit."
)
def load(address: str, target: str, seconds: float, connections: int, rate: float) -> None:
    """Sends the same request repeatedly on several keep-alive connections."""
    interval_s = connections / rate if rate else 0.0
    start_s = time.perf_counter()
    generator = _LoadGenerator(address, target, seconds, interval_s)
    gevent.joinall([gevent.spawn(generator.run) for _ in range(connections)])
    wall_s = time.perf_counter() - start_s
    latencies = generator.latencies_us
    result = LoadResult(len(latencies), generator.errors, latencies, time.process_time(), wall_s)
    sys.stdout.buffer.write(msgspec.json.encode(result))


if __name__ == "__main__":
    main()
