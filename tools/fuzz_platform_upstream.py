"""Upstream on the users' platform that reports to its node and answers oddly when asked to.

It reports every 0.9 s, holds the keys that the answers grant, and releases those that they no longer
list. A request whose head names a seed in `ODD_HEADER` gets an answer that is odd by that seed.
"""

import random
import time

import click
import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer

from auburnsail._pool import HttpPeer
from auburnsail._shards import contiguous_runs
from auburnsail.exceptions import AuburnsailError
from auburnsail.platform._desired_state import KEY_COUNT
from auburnsail.platform._header_names import DIALECT
from tools.fuzz import mutate_bytes

__all__ = ["ODD_HEADER", "OddUpstream", "build_report"]

ODD_HEADER = "x-fuzz-seed"
REPORT_INTERVAL_S = 0.9
REPORT_TIMEOUT_S = 0.8
BLOCK_BYTES = 65_536
SLOTS = 60
# Header lines that replace parts of an answer.
ODD_LINES = (
    f"{DIALECT.load}: nan",
    f"{DIALECT.load}: -1e999",
    f"{DIALECT.load}: {'9' * 5_000}",
    f"{DIALECT.instance}: {'i' * 9_000}",
    f"{DIALECT.not_run}: 1",
    "retry-after: 99999999999999999999",
    "retry-after: \u00b2",
    "content-length: 18446744073709551616",
    "content-length: 0",
    "content-encoding: gzip",
    "transfer-encoding: chunked",
    "connection: close, upgrade",
    "x: " + "y" * 70_000,
    ": none",
)
ODD_STATUS_LINES = ("HTTP/1.1 421 X", "HTTP/1.1 503 X", "HTTP/1.1 100 X", "HTTP/9.9 200", "200 OK")


def build_report(service: str, address: str, born_ms: int, sequence: int) -> dict:
    """Returns a report without holds."""
    return {
        "address": address,
        "info": {"service": service, "version": "v1", "zone": "a", "slots": SLOTS},
        "status": {"state": "ready", "sequence": sequence, "cold-remaining-ms": 0},
        "born": born_ms,
        "holds": [],
        "freed": [],
    }


class OddUpstream:
    """Server for the requests and sender of the reports.

    Args:
        instance: Instance id.
        service: Name of the service.
        listen: ``ip:port`` to listen on.
        node: ``ip:port`` for the reports.
    """

    def __init__(self, instance: str, service: str, listen: str, node: str) -> None:
        self._instance = instance
        self._service = service
        self._listen = listen
        self._node = HttpPeer(node)
        self._born_ms = int(time.time() * 1000)
        self._fences: dict[int, int] = {}
        self._held_until_s = 0.0

    def run(self) -> None:
        """Serves and reports until the process ends."""
        host, _, port = self._listen.rpartition(":")
        StreamServer((host, int(port)), self._handle).start()
        freed: list[list] = []
        sequence = 0
        while True:
            sequence += 1
            report = build_report(self._service, self._listen, self._born_ms, sequence)
            runs = self._runs(self._fences)
            report["holds"] = [[first, last, self._fences[first]] for first, last in runs]
            report["freed"] = freed
            sent_s = time.monotonic()
            try:
                body = msgspec.json.encode(report)
                target = f"/Instances.Heartbeat/{self._instance}"
                answer = self._node.fetch("POST", target, body, timeout_s=REPORT_TIMEOUT_S)
                freed = self._apply(msgspec.json.decode(answer.body), sent_s)
            except (AuburnsailError, msgspec.DecodeError) as error:
                click.echo(f"report failed: {error}")
            gevent.sleep(REPORT_INTERVAL_S)

    def _runs(self, keys) -> list[tuple[int, int]]:
        """Returns the ranges of adjacent keys with one fencing token."""
        fences = self._fences
        runs: list[list[int]] = []
        for first, last in contiguous_runs(sorted(keys)):
            start = first
            for key in range(first + 1, last + 1):
                if fences.get(key) != fences.get(start):
                    runs.append((start, key - 1))
                    start = key
            runs.append((start, last))
        return runs

    def _apply(self, answer: dict, sent_s: float) -> list[list]:
        """Holds the keys of a grant; returns the ranges to report as released."""
        if "holds" not in answer:
            return []
        granted = {
            key: fence
            for first, last, fence, _ in answer["holds"]
            for key in range(first, last + 1)
        }
        released = self._runs(key for key in self._fences if key not in granted)
        self._fences = granted
        self._held_until_s = sent_s + answer["hold-ms"] / 1000
        return [[first, last, f"token-{self._instance}"] for first, last in released]

    def _holds(self, key: str) -> bool:
        if not key:
            return True
        is_number = key.isascii() and key.isdecimal() and len(key) < 6
        return (
            is_number
            and min(int(key), KEY_COUNT) in self._fences
            and time.monotonic() < self._held_until_s
        )

    def _handle(self, sock: socket.socket, _address) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffered = b""
        try:
            while True:
                while (end := buffered.find(b"\r\n\r\n")) < 0:
                    if not (data := sock.recv(BLOCK_BYTES)):
                        return
                    buffered += data
                lines = buffered[:end].decode("latin-1").split("\r\n")[1:]
                pairs = (line.partition(":") for line in lines)
                fields = {name.lower(): value.strip() for name, _, value in pairs}
                buffered = buffered[end + 4 :]
                size = int(fields.get("content-length", 0))
                while len(buffered) < size:
                    if not (data := sock.recv(BLOCK_BYTES)):
                        return
                    buffered += data
                buffered = buffered[size:]
                sock.sendall(self._answer(fields))
        except OSError:
            # The node may close the connection at any time.
            return

    def _answer(self, fields: dict[str, str]) -> bytes:
        request_id = fields.get(DIALECT.request_id, "")
        expected = fields.get(DIALECT.expected_instance, self._instance)
        lines = ["HTTP/1.1 200 OK", f"{DIALECT.server_seal}: seal"]
        if expected != self._instance or not self._holds(fields.get(DIALECT.key, "")):
            lines = ["HTTP/1.1 421 Misdirected Request", f"{DIALECT.not_run}: 1"]
        lines += [
            f"{DIALECT.request_id}: {request_id}",
            f"{DIALECT.instance}: {self._instance}",
            f"{DIALECT.load}: 0.25",
            f"content-length: {len(request_id)}",
        ]
        if seed := fields.get(ODD_HEADER):
            return _odd_answer(random.Random(seed), lines, request_id.encode())
        return "\r\n".join([*lines, "", request_id]).encode()


def _odd_answer(rng: random.Random, lines: list[str], body: bytes) -> bytes:
    match rng.randrange(4):
        case 0:
            lines.insert(rng.randrange(1, len(lines) + 1), rng.choice(ODD_LINES))
        case 1:
            lines[rng.randrange(1, len(lines))] = rng.choice(ODD_LINES)
        case 2:
            lines[0] = rng.choice(ODD_STATUS_LINES)
        case _:
            return mutate_bytes(rng, "\r\n".join([*lines, "", ""]).encode() + body)
    return "\r\n".join([*lines, "", ""]).encode() + body


@click.command()
@click.option("--instance", required=True)
@click.option("--service", required=True)
@click.option("--listen", required=True, help="ip:port to listen on.")
@click.option("--node", required=True, help="ip:port for the reports.")
def main(instance: str, service: str, listen: str, node: str) -> None:
    """Runs the upstream."""
    OddUpstream(instance, service, listen, node).run()


if __name__ == "__main__":
    main()
