"""Runs nodes as processes while another writer leaves odd entries, and reports what they break.

Odd entries are rows of the fleet log, checkpoints, announcements of the upstreams, datagrams with a
valid tag, and bytes at the data and control addresses. In between, nodes are killed and started
again, which makes them read the whole log. The seed determines the entries, but not their times.
"""

import base64
import contextlib
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

from auburnsail._checkpoint import CHECKPOINT_PREFIX
from auburnsail._messages import Codec, Versions
from tools.demo_fleet import fetch_json
from tools.fuzz import REQUEST_HEAD, mutate_bytes, mutate_value
from tools.processes import FLEET_SECRET, Processes, free_addresses

__all__ = ["FuzzedFleet", "run_fleet"]

NODES = 3
SHARDS = 8
KEYS = 24
SERVICE = "catalogue"
TREE = {"services": {SERVICE: {"keyed": True, "shards": SHARDS}}}
START_TIMEOUT_S = 20.0
# All shards must be served so long after the last odd entry.
RECOVERY_S = 20.0
POLL_INTERVAL_S = 0.1
PAUSE_S = (0.0, 0.1)
RESTART_SHARE = 0.02
LOG_KEY = "fleet/log/{:016d}"
SOCKET_TIMEOUT_S = 0.5
DEEP_ROW = b"\x91" * 200_000
# Texts of log lines that stand for an error which no part of the node expects.
ERROR_TEXTS = (b"unexpected error", b"Traceback", b"guarantee violated")


@dataclass(frozen=True, slots=True)
class _Vm:
    """Name and addresses of a node and its upstream."""

    name: str
    data: str
    control: str
    upstream: str


class FuzzedFleet:
    """Nodes, upstreams and a store, and the writer of odd entries.

    Args:
        processes: Starts the processes.
        folder: Directory for settings files and the output of the processes.
        rng: Source of the entries.

    Attributes:
        counts: Number of entries by kind, and of restarts.
    """

    def __init__(self, processes: Processes, folder: Path, rng: random.Random) -> None:
        self._processes = processes
        self._folder = folder
        self._rng = rng
        self._platform, *addresses = free_addresses(1 + 3 * NODES)
        self._vms = [_Vm(f"n{i}", *addresses[3 * i : 3 * i + 3]) for i in range(NODES)]
        self._codec = Codec(FLEET_SECRET, 1)
        self._last_foreign_position = 0
        self.counts: Counter[str] = Counter()

    def start(self) -> None:
        """Starts all processes and waits until all keys are served.

        Raises:
            TimeoutError: This took too long.
        """
        self._processes.start("platform", "standins.platform", "--listen", self._platform)
        _wait_for(lambda: bool(fetch_json(self._platform, "GET", "/admin/faults")))
        tree = self._processes.write_settings("tree", TREE)
        arguments = ("settings", "init", "--store", f"http://{self._platform}", tree)
        self._processes.start("settings", "auburnsail._cli_operator", *arguments)
        if self._processes.wait("settings", START_TIMEOUT_S) != 0:
            raise TimeoutError("`settings init` did not succeed in time")
        for vm in self._vms:
            self._start_node(vm)
            arguments = ["--name", vm.name, "--service", SERVICE, "--listen", vm.upstream]
            self._processes.start(
                f"{vm.name}-upstream", "standins.upstream", *arguments, "--node", vm.control
            )
        _wait_for(lambda: not self.unserved_keys())

    def write_entry(self) -> None:
        """Leaves one odd entry, or restarts a node."""
        vm = self._rng.choice(self._vms)
        if self._rng.random() < RESTART_SHARE:
            self.counts["restart"] += 1
            self._processes.send_signal(vm.name, signal.SIGKILL)
            self._processes.wait(vm.name)
            self._start_node(vm)
            return
        write = self._rng.choice(
            (
                self._write_row,
                self._write_checkpoint,
                self._announce,
                self._send_datagram,
                self._send_bytes,
            )
        )
        self.counts[write.__name__.removeprefix("_")] += 1
        # A node or the stand-in may refuse an entry or close the connection.
        with contextlib.suppress(OSError, msgspec.DecodeError):
            write(vm)

    def unserved_keys(self) -> list[str]:
        """Returns the pairs of node and key whose request does not get the right answer."""
        return [
            f"{vm.name} k{number}"
            for vm in self._vms
            for number in range(KEYS)
            if not self._is_served(vm, f"k{number}")
        ]

    def findings(self) -> list[str]:
        """Returns what is wrong after the last entry and the time for recovery."""
        with contextlib.suppress(TimeoutError):
            _wait_for(lambda: not self.unserved_keys(), RECOVERY_S)
        findings = [f"not served: {pair}" for pair in self.unserved_keys()]
        for vm in self._vms:
            for name in (vm.name, f"{vm.name}-upstream"):
                if not self._processes.is_running(name):
                    findings.append(f"the process {name} has ended")
            status = _status(vm)
            if status.get("fleet_version", 0) < self._last_foreign_position:
                findings.append(f"{vm.name} is before the row {self._last_foreign_position}")
            if status.get("violation"):
                findings.append(f"{vm.name}: {status['violation']}")
            output = (self._folder / f"{vm.name}.out").read_bytes()
            findings += [
                f"{vm.name}: {line.decode('utf-8', 'replace')[:300]}"
                for line in output.splitlines()
                if any(text in line for text in ERROR_TEXTS)
            ]
        return findings

    def _start_node(self, vm: _Vm) -> None:
        content = {
            "node": vm.name,
            "region": "a",
            "domain": f"a-{vm.name}",
            "data_address": vm.data,
            "control_address": vm.control,
            "store_url": f"http://{self._platform}",
            "objects_url": f"http://{self._platform}",
            "fleet_secret": FLEET_SECRET,
        }
        settings = self._processes.write_settings(vm.name, content)
        self._processes.start(vm.name, "auburnsail._cli_node", settings)

    def _write_row(self, vm: _Vm) -> None:
        rows = self._rows_after(self._last_foreign_position)
        if not rows:
            rows = self._rows_after(0)
        newest = max(rows, key=lambda row: row["key"])
        position = int(newest["key"].rpartition("/")[2]) + 1
        data = base64.b64decode(newest["value"])
        value = self._rng.choice((b"", b"\xc1", DEEP_ROW, data, mutate_bytes(self._rng, data)))
        key = LOG_KEY.format(position)
        put = {"key": key, "value": base64.b64encode(value).decode()}
        change = {"checks": [{"key": key, "version": 0}], "puts": [put]}
        with contextlib.suppress(msgspec.DecodeError):
            fetch_json(self._platform, "POST", "/table/commit", change)
        self._last_foreign_position = position

    def _rows_after(self, position: int) -> list[dict]:
        after = LOG_KEY.format(position)
        target = f"/table/rows?prefix=fleet/log/&after={after}&limit=1000"
        return fetch_json(self._platform, "GET", target)

    def _write_checkpoint(self, vm: _Vm) -> None:
        key = f"{CHECKPOINT_PREFIX}{self._rng.choice((1, 10**15)):016d}"
        body = self._rng.choice((b"", DEEP_ROW, self._rng.randbytes(100)))
        _send(self._platform, b"PUT /object?key=%b HTTP/1.1\r\n" % key.encode(), body)

    def _announce(self, vm: _Vm) -> None:
        announcement = {
            "service": SERVICE,
            "address": vm.upstream,
            "slots": 12,
            "connections": 100,
            "state": "ready",
            "checks_grants": True,
            "load": 0.25,
        }
        body = msgspec.json.encode(mutate_value(self._rng, announcement))
        if self._rng.random() < 0.4:
            body = mutate_bytes(self._rng, body)
        _send(vm.control, b"POST /v1/announce HTTP/1.1\r\n", body)

    def _send_datagram(self, vm: _Vm) -> None:
        body = mutate_bytes(self._rng, self._codec.encode(Versions(3, 4))[16:])
        host, _, port = vm.control.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(self._codec.sign(body)[:60_000], (host, int(port)))

    def _send_bytes(self, vm: _Vm) -> None:
        head = mutate_bytes(self._rng, REQUEST_HEAD) + b"\r\n"
        _send(self._rng.choice((vm.data, vm.control)), head, b"abc")

    def _is_served(self, vm: _Vm, key: str) -> bool:
        try:
            answer = fetch_json(vm.data, "GET", f"/{SERVICE}/{key}")
        except (OSError, msgspec.DecodeError):
            return False
        return "upstream" in answer


def run_fleet(seed: int, duration_s: float) -> tuple[Counter[str], list[str]]:
    """Starts a fleet, writes odd entries for a time and returns their numbers and the findings.

    Args:
        seed: Seed of the entries.
        duration_s: Time to write entries in seconds; start and recovery come on top.

    Raises:
        TimeoutError: The fleet did not start.
    """
    rng = random.Random(seed)
    with (
        tempfile.TemporaryDirectory(prefix="auburnsail-fuzz-") as name,
        Processes(Path(name)) as processes,
    ):
        fleet = FuzzedFleet(processes, Path(name), rng)
        fleet.start()
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            fleet.write_entry()
            time.sleep(rng.uniform(*PAUSE_S))
        return fleet.counts, fleet.findings()


def _status(vm: _Vm) -> dict:
    try:
        return fetch_json(vm.control, "GET", "/v1/status")
    except OSError:
        return {}


def _send(address: str, request_line: bytes, body: bytes) -> None:
    """Sends a request, or odd bytes, and reads the beginning of an answer."""
    host, _, port = address.rpartition(":")
    head = request_line + b"host: a\r\ncontent-length: %d\r\n\r\n" % len(body)
    with socket.create_connection((host, int(port)), timeout=SOCKET_TIMEOUT_S) as sock:
        sock.sendall(head + body)
        sock.recv(4096)


def _wait_for(condition: Callable[[], bool], timeout_s: float = START_TIMEOUT_S) -> None:
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError):
            if condition():
                return
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"a condition was not met within {timeout_s} s")


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the entries.")
@click.option("--duration-s", default=20.0, show_default=True, help="Time to write entries.")
def main(seed: int, duration_s: float) -> None:
    """Writes odd entries to a fleet for a time; exits with 1 if a node did not go on."""
    counts, findings = run_fleet(seed, duration_s)
    for name, count in sorted(counts.items()):
        click.echo(f"{name}: {count}")
    for finding in findings:
        click.echo(finding)
    click.echo(f"nodes: {counts.total()} entries from seed {seed}, {len(findings)} findings")
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
