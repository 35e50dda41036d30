"""Runs nodes of the users' platform while another writer leaves odd entries; reports what breaks.

Odd entries are rows of every table of the store, objects, answers to the calls of the store, reports
of the upstreams, answers of the upstreams, datagrams with a valid tag, and bytes at every address of
a node. Callers send requests meanwhile; one node without callers is killed and started again. The
seed determines the entries, but not their times.
"""

import random
import re
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import click
import gevent
import msgspec

from auburnsail._pool import HttpPeer
from auburnsail.exceptions import AuburnsailError
from auburnsail.platform._boot_file import METRICS_PORT
from auburnsail.platform._header_names import DIALECT
from tools.fuzz_platform_entries import SETTINGS_BOUND_S, EntryWriter
from tools.fuzz_platform_load import HOST, TIMEOUT_MS, PlatformLoad
from tools.fuzz_platform_logs import NodeLogs
from tools.fuzz_platform_store import REGULAR_HEADER
from tools.ports import reserve_host
from tools.processes import Processes, free_addresses

__all__ = ["PlatformFleet", "run_platform"]

ZONES = ("a", "b", "c")
START_TIMEOUT_S = 30.0
# All keys must be served, and all rows of the fleet log read, so long after the last odd entry.
RECOVERY_S = 20.0
POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 2.0
CHECKED_KEYS = range(0, 65_536, 2_048)
ODD_ANSWER_SHARE = 0.1
RESTART_INTERVAL_S = (3.0, 8.0)


@dataclass(frozen=True, slots=True)
class Vm:
    """Name, service and addresses of a node and its upstream."""

    name: str
    zone: str
    service: str
    host: str
    inbound: str
    outbound: str
    ready: str
    report: str
    upstream: str
    control: str

    @property
    def metrics(self) -> str:
        """Address of the metrics."""
        return f"{self.host}:{METRICS_PORT}"

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses on which the node listens."""
        return (self.inbound, self.outbound, self.ready, self.report, self.control, self.metrics)


class PlatformFleet:
    """Nodes, upstreams and the store.

    Args:
        processes: Starts the processes.
        folder: Directory for settings files and the output of the processes.
        seed: Seed of the store's odd answers.
        node_count: Number of nodes; every third one serves the service without keys.

    Attributes:
        vms: The VMs; the last one has no callers.
        store: Address of the store.
    """

    def __init__(self, processes: Processes, folder: Path, seed: int, node_count: int) -> None:
        self._processes = processes
        self._seed = seed
        self.logs = NodeLogs(folder)
        (self.store,) = free_addresses(1)
        self.vms = [self._plan_vm(number) for number in range(node_count)]
        self._peers: dict[str, HttpPeer] = {}

    def start(self, settings: bytes) -> None:
        """Starts all processes and waits until all keys are served.

        Args:
            settings: The desired state.

        Raises:
            TimeoutError: This took too long.
        """
        arguments = ("--listen", self.store, "--seed", str(self._seed))
        self._processes.start("store", "tools.fuzz_platform_store", *arguments)
        wait_for(lambda: self.set_odd_answers(0.0) is not None, START_TIMEOUT_S)
        self.put("op", "config", settings)
        for vm in self.vms:
            self.start_node(vm)
            arguments = ("--instance", f"{vm.name}-up", "--service", vm.service)
            arguments += ("--listen", vm.upstream, "--node", vm.report)
            self._processes.start(f"{vm.name}-up", "tools.fuzz_platform_upstream", *arguments)
        wait_for(lambda: not self.unserved(), START_TIMEOUT_S)

    def start_node(self, vm: Vm) -> None:
        """Starts the process of a node."""
        content = {
            "node-name": vm.name,
            "ip": vm.host,
            "zone": vm.zone,
            "region": "r",
            "zones": dict.fromkeys(ZONES, "r"),
            "listen": {
                "inbound": vm.inbound,
                "outbound": vm.outbound,
                "ready": vm.ready,
                "control": vm.report,
            },
            "internal-ports": [int(vm.control.rpartition(":")[2]), 0],
            "service": vm.service,
            "platform": {"address": self.store, "form": "table"},
            "bounds": ["retry-budget-ratio=0.2", "budget-slack=56", "hold-max-ms=10000"],
            "app-addr": vm.upstream,
        }
        path = self._processes.write_settings(vm.name, content)
        self._processes.start(vm.name, "deploy.node", "--settings", path)

    def restart_node(self, vm: Vm) -> None:
        """Kills a node and starts it again."""
        self._processes.send_signal(vm.name, signal.SIGKILL)
        self._processes.wait(vm.name)
        self.start_node(vm)

    def call(self, address: str, method: str, target: str, body: bytes = b"") -> tuple[int, bytes]:
        """Makes a call and returns status and body, or 0 and the error if there is no answer."""
        peer = self._peers.setdefault(address, HttpPeer(address))
        try:
            headers = ((REGULAR_HEADER, "1"),)
            answer = peer.fetch(method, target, body, timeout_s=CALL_TIMEOUT_S, headers=headers)
        except AuburnsailError as error:
            return 0, str(error).encode()
        return answer.status, answer.body

    def put(self, table: str, key: str, value: bytes, expected: int | None = None) -> bool:
        """Writes a row; returns whether it was written.

        Args:
            table: Name of the table.
            key: Key within the table.
            value: Content.
            expected: Version that the row must have, 0 for none; any if None.
        """
        row = {"table": table, "part": "", "key": key}
        checks = [] if expected is None else [row | {"ver": expected}]
        change = {"expected-revision": checks, "puts": [row | {"value": value}], "remove": []}
        status, _ = self.call(self.store, "POST", "/rows-tx", msgspec.json.encode(change))
        return status == 200

    def set_odd_answers(self, share: float) -> dict | None:
        """Sets the share of odd answers of the store; returns what it recorded of them.

        This is None if the store does not answer.
        """
        body = msgspec.json.encode({"share": share})
        status, answer = self.call(self.store, "POST", "/admin/odd", body)
        return msgspec.json.decode(answer) if status == 200 else None

    def status(self, vm: Vm) -> dict:
        """Returns the status of a node, empty if it does not answer."""
        status, body = self.call(vm.control, "GET", "/v1/status")
        return msgspec.json.decode(body) if status == 200 else {}

    def gauges(self, vm: Vm) -> dict[str, float]:
        """Returns the gauges of a node, empty if it does not answer."""
        status, body = self.call(vm.metrics, "GET", "/metrics")
        rows = re.findall(r"^auburnsail_(\w+) (\S+)$", body.decode(), re.MULTILINE)
        return {name: float(value) for name, value in rows} if status == 200 else {}

    def unserved(self, path: str = "") -> list[str]:
        """Returns the requests by node that are not answered with 200.

        Args:
            path: Path of one request through each node; by default one for each of some keys.
        """
        fields = {"Host": HOST, DIALECT.request_id: "check", DIALECT.deadline_ms: TIMEOUT_MS}
        requests = [(path, {})] if path else [("/u/", {})]
        requests += [] if path else [("/k/", {DIALECT.key: key}) for key in CHECKED_KEYS]

        def check(vm: Vm) -> list[str]:
            peer = self._peers.setdefault(vm.outbound, HttpPeer(vm.outbound))
            outcomes = (
                (target, extra, PlatformLoad.exchange(peer, "GET", target, fields | extra))
                for target, extra in requests
            )
            return [
                f"{vm.name} {target} {[*extra.values()]}: {outcome}"
                for target, extra, outcome in outcomes
                if outcome != "200"
            ]

        checks = [gevent.spawn(check, vm) for vm in self.vms]
        return [line for greenlet in checks for line in greenlet.get()]

    def findings(self) -> list[str]:
        """Returns what is wrong with the processes."""
        names = ["store", *(name for vm in self.vms for name in (vm.name, f"{vm.name}-up"))]
        ended = [name for name in names if not self._processes.is_running(name)]
        findings = [f"the process {name} has ended" for name in ended]
        for vm in self.vms:
            status = self.status(vm)
            if status.get("violation", not status):
                findings.append(f"{vm.name}: {status.get('violation', 'no answer to a status')}")
            findings += self.logs.errors(vm.name)
        return findings

    def close(self) -> None:
        """Closes the connections to the processes."""
        for peer in self._peers.values():
            peer.drop_idle()

    @staticmethod
    def _plan_vm(number: int) -> Vm:
        host = reserve_host(METRICS_PORT)
        *addresses, control = free_addresses(6)
        control = f"{host}:{control.rpartition(':')[2]}"
        service = "s2" if number % 3 == 1 else "s1"
        return Vm(f"n{number}", ZONES[number % 3], service, host, *addresses, control)


def wait_for(condition: Callable[[], bool], timeout_s: float) -> float:
    """Waits until a condition is true; returns the time in seconds that it took.

    Raises:
        TimeoutError: It was not true in time.
    """
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_s > timeout_s:
            raise TimeoutError(f"a condition was not met within {timeout_s} s")
        gevent.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_s


def run_platform(
    seed: int, duration_s: float, node_count: int, rate: float, record_share: float, folder: Path
) -> tuple[Counter[str], list[str]]:
    """Starts a fleet, writes odd entries for a time and returns their numbers and the findings.

    Args:
        seed: Seed of the entries.
        duration_s: Time to write entries in seconds; start and recovery come on top.
        node_count: Number of nodes.
        rate: Requests per second.
        record_share: See `EntryWriter`.
        folder: Directory for settings files and the output of the processes.

    Raises:
        TimeoutError: The fleet did not start.
    """
    with Processes(folder) as processes:
        fleet = PlatformFleet(processes, folder, seed, node_count)
        writer = EntryWriter(fleet, seed, record_share)
        fleet.start(writer.settings())
        callers = [vm.outbound for vm in fleet.vms[:-1]]
        load = PlatformLoad(callers, random.Random(f"load-{seed}"), rate)
        tasks = [gevent.spawn(load.run), *writer.start(duration_s)]
        tasks.append(gevent.spawn(_restart, fleet, random.Random(f"restart-{seed}"), writer.counts))
        fleet.set_odd_answers(ODD_ANSWER_SHARE)
        started_s = time.monotonic()
        gevent.sleep(duration_s)
        gevent.killall(tasks[1:])
        writer.record_odd_answers(fleet.set_odd_answers(0.0) or {})
        findings = _recover(fleet, writer)
        load.stop()
        elapsed_s = time.monotonic() - started_s
        writer.counts.update(load.counts)
        writer.counts["requests/s"] = round(load.counts["requests"] / elapsed_s)
        findings += load.findings + fleet.findings() + writer.findings()
        fleet.close()
        return writer.counts, findings


def _restart(fleet: PlatformFleet, rng: random.Random, counts: Counter[str]) -> None:
    while True:
        gevent.sleep(rng.uniform(*RESTART_INTERVAL_S))
        fleet.restart_node(fleet.vms[-1])
        counts["restarts"] += 1


def _recover(fleet: PlatformFleet, writer: EntryWriter) -> list[str]:
    """Changes the settings and returns what is not in force or not served in time."""
    findings = []
    path = writer.change_settings()
    try:
        took_s = wait_for(lambda: not fleet.unserved(path), SETTINGS_BOUND_S)
        writer.counts["last settings change in force after ms"] = round(took_s * 1000)
    except TimeoutError:
        findings += [f"settings not in force: {line}" for line in fleet.unserved(path)]
    try:
        wait_for(lambda: not fleet.unserved(), RECOVERY_S)
    except TimeoutError:
        findings += [f"not served: {line}" for line in fleet.unserved()]
    try:
        wait_for(lambda: not writer.behind(), RECOVERY_S)
    except TimeoutError:
        findings += writer.behind()
    return findings


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the entries.")
@click.option("--duration-s", default=20.0, show_default=True, help="Time to write entries.")
@click.option("--nodes", default=3, show_default=True, help="Number of nodes.")
@click.option("--rate", default=100.0, show_default=True, help="Requests per second.")
@click.option(
    "--record-share",
    default=0.3,
    show_default=True,
    help="Share of the odd rows of the fleet log that are records of their position.",
)
@click.option("--output", type=click.Path(path_type=Path), help="Directory to keep the output in.")
def main(
    seed: int,
    duration_s: float,
    nodes: int,
    rate: float,
    record_share: float,
    output: Path | None,
) -> None:
    """Writes odd entries to a fleet for a time; exits with 1 if a node did not go on."""
    with tempfile.TemporaryDirectory(prefix="auburnsail-fuzz-") as name:
        folder = output or Path(name)
        folder.mkdir(exist_ok=True)
        counts, findings = run_platform(seed, duration_s, nodes, rate, record_share, folder)
    for name, count in sorted(counts.items()):
        click.echo(f"{name}: {count}")
    for finding in findings:
        click.echo(finding)
    click.echo(f"platform: {nodes} nodes, seed {seed}, {len(findings)} findings")
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
