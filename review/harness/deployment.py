"""A small deployment on loopback addresses: nodes as processes, stand-ins in this process."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from . import http11
from .backend import Backend, Options
from .record import Record
from .store import Store

REPOSITORY = Path(__file__).resolve().parents[2]
METRICS_PORT = 9_464
PORTS = {
    "control": 8620,
    "inbound": 8624,
    "ready": 8625,
    "store": 8627,
    "app": 8628,
    "outbound": 8629,
}
INTERNAL_PORTS = (7600, 7615)
STORE_REGION = "nord"
# "One way, 1.4 ms between zones, 20 ms between regions."
ZONE_ROUND_TRIP_S = 0.0028
REGION_ROUND_TRIP_S = 0.04
START_TIMEOUT_S = 20.0
KEPT_ENVIRONMENT = ("PATH", "HOME", "JAVA_HOME", "LANG")


class CannotRunError(Exception):
    """Raised if a case could not run, which shows nothing about the rule."""


@dataclass
class Terms:
    """Figures of the deployment, as the platform's settings files and desired states state them."""

    heartbeat_ms: int = 870
    drain_ms: int = 2500
    stable_window_ms: int = 3000
    config_apply_ms: int = 2500
    grace_s: float = 6.0
    timeout_ms: int = 800
    deadline_ms: int = 1500
    hold_max_ms: int = 10_000


@dataclass
class Vm:
    """A machine: its addresses, its node process and its backend."""

    name: str
    ip: str
    zone: str
    service: str
    sharded: bool = False
    process: asyncio.subprocess.Process | None = None
    backend: Backend | None = None
    started_s: list[float] = field(default_factory=list)
    stopped_s: list[float] = field(default_factory=list)

    def address(self, role: str) -> str:
        """Returns one of its addresses."""
        return f"{self.ip}:{PORTS[role]}"


class Deployment:
    """Starts and ends the machines of a case."""

    def __init__(self, terms: Terms | None = None) -> None:
        self.terms = terms or Terms()
        self.record = Record()
        self.zones: dict[str, str] = {}
        self.vms: dict[str, Vm] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="auburnsail-review-")
        self._network = _free_network()
        self._next_host = 1
        self.store = Store()
        self._attempts = 0
        self._run_id = f"{random.getrandbits(32):08x}"

    def _ip(self) -> str:
        self._next_host += 1
        return f"{self._network}.{self._next_host}"

    def add_vm(
        self, name: str, service: str, zone: str, region: str, *, sharded: bool = False
    ) -> Vm:
        """Adds a machine without starting anything on it."""
        self.zones[zone] = region
        vm = self.vms[name] = Vm(name, self._ip(), zone, service, sharded)
        return vm

    def config(self, version: int, routes: list[dict], sharded: set[str]) -> dict:
        """Returns a desired state with the given routes."""
        services = sorted({route["service"] for route in routes})
        resources = [
            {
                "resource-type": "routes",
                "metadata": {"name": route["name"]},
                "spec": {
                    "host": route["host"],
                    "path-prefix": route["prefix"],
                    "kind": route["kind"],
                    "timeout-ms": self.terms.timeout_ms,
                    "target-latency-ms": 400,
                    "priority": 1,
                    "service": route["service"],
                    "max-attempts": 2,
                },
            }
            for route in routes
        ]
        for service in services:
            spec = {"health-path": "/health", "max-connections": 130, "protocol": "h1"}
            spec["tls"] = False
            if service in sharded:
                spec |= {"sharded": True, "warmup-s": 3.0, "grants": "heartbeat"}
            resources.append(
                {"resource-type": "services", "metadata": {"name": service}, "spec": spec}
            )
        limits = {
            "max-header-bytes": 16_384,
            "max-body-bytes": 67_108_864,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        }
        resources.append({"resource-type": "limits", "metadata": {}, "spec": limits})
        return {"version": version, "base-version": version - 1, "resources": resources}

    def _settings(self, vm: Vm, *, bootstrap: bool) -> dict:
        terms = self.terms
        return {
            "node-name": vm.name,
            "role": "node",
            "machine-class": "sidecar",
            "serves": ["sidecar"],
            "ip": vm.ip,
            "zone": vm.zone,
            "region": self.zones[vm.zone],
            "zones": self.zones,
            "listen": {
                role: vm.address(role) for role in ("inbound", "outbound", "ready", "control")
            },
            "internal-ports": list(INTERNAL_PORTS),
            "seeds": [],
            "bootstrap": bootstrap,
            "counts-as-loss": False,
            "limits": {
                "cpu-share": 0.86,
                "cores": 1,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "static",
            "entry": "static",
            "heartbeat-ms": terms.heartbeat_ms,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "own", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": [
                "seed-lag-s=3",
                "reuse-after-s=2",
                f"stable-window-ms={terms.stable_window_ms}",
                "ack-ms=4000",
                "sync-s=4",
                f"drain-ms={terms.drain_ms}",
                f"grace-s={terms.grace_s:g}",
                "loss-slack-ms=200",
                f"config-apply-ms={terms.config_apply_ms}",
                "rollback-slack-ms=250",
                "max-skew-ms=5000",
                "retry-budget-ratio=0.2",
                "budget-window-s=10",
                "budget-slack=62",
                "recovery-s=15",
                f"hold-max-ms={terms.hold_max_ms}",
                "thaw-ms=300",
            ],
            "grants": "heartbeat",
            "app-addr": vm.address("app"),
            "service": vm.service,
            "platform": {
                "address": vm.address("store"),
                "form": "table",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "tx-ms": 4.0,
                "part-writes-per-s": 250,
                "row-bytes": 65536,
                "across": True,
                "history-s": 20,
                "blob-bytes": 8388608,
                "blob-ms": 25.0,
                "blob-mb-per-s": 80.0,
            },
        }

    async def start_node(self, vm: Vm, *, bootstrap: bool = False) -> None:
        """Starts the node process of a machine with the command of the deploy file."""
        if not vm.started_s:
            is_near = self.zones[vm.zone] == STORE_REGION
            round_trip_s = ZONE_ROUND_TRIP_S if is_near else REGION_ROUND_TRIP_S
            await self.store.listen(vm.address("store"), round_trip_s)
        folder = Path(self._folder.name)
        settings_path = folder / f"{vm.name}.json"
        settings_path.write_text(json.dumps(self._settings(vm, bootstrap=bootstrap)))
        environment = {k: os.environ[k] for k in KEPT_ENVIRONMENT if k in os.environ}
        environment |= {
            "AUBURNSAIL_CONFIG": str(settings_path),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = open(folder / f"{vm.name}.log", "ab")
        with log:
            vm.process = await asyncio.create_subprocess_exec(
                "python3", "deploy/node.py", cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        vm.started_s.append(self.record.add("node starts", vm=vm.name, pid=vm.process.pid))

    def log_lines(self, vm: Vm) -> list[str]:
        """Returns what the node of a machine wrote."""
        path = Path(self._folder.name) / f"{vm.name}.log"
        return path.read_text().splitlines() if path.exists() else []

    def signal_node(self, vm: Vm, number: signal.Signals) -> None:
        """Sends a signal to the node process of a machine."""
        self.record.add("signal", vm=vm.name, signal=number.name)
        vm.process.send_signal(number)

    async def start_backend(self, vm: Vm, *, reports: bool = True, **options: object) -> Backend:
        """Starts a new lifetime of the backend of a machine."""
        name = f"i-{vm.name}-{random.getrandbits(16):04x}"
        vm.backend = Backend(
            name,
            Options(
                service=vm.service,
                address=vm.address("app"),
                control=vm.address("control"),
                zone=vm.zone,
                heartbeat_ms=self.terms.heartbeat_ms,
                sharded=vm.sharded,
                **options,
            ),
            self.record,
        )
        await vm.backend.start(reports=reports)
        return vm.backend

    async def is_ready(self, vm: Vm) -> bool:
        """Asks the node of a machine whether it is ready, as the platform does each second."""
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            answer = await http11.exchange(vm.address("ready"), "GET", "/readiness", timeout_s=1.0)
            return answer is not None and answer.status == 200
        return False

    async def wait_ready(self, *vms: Vm) -> None:
        """Waits until the nodes of machines are ready."""
        end_s = time.monotonic() + START_TIMEOUT_S
        for vm in vms:
            while not await self.is_ready(vm):
                if time.monotonic() > end_s:
                    raise CannotRunError(f"{vm.name} is not ready: {self.log_lines(vm)[-3:]}")
                await asyncio.sleep(0.05)
        self.record.add("ready", vms=[vm.name for vm in vms])

    async def request(
        self,
        vm: Vm,
        target: str,
        host: str,
        *,
        method: str = "GET",
        key: int | None = None,
        deadline_ms: int | None = None,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> tuple[str, int]:
        """Sends a client's request to the node of its machine; returns its id and the status.

        The status is 0 if there was no whole answer.
        """
        self._attempts += 1
        attempt = f"{self._run_id}{self._attempts:08x}"
        deadline_ms = deadline_ms or self.terms.deadline_ms
        fields = {
            "Host": host,
            "X-Auburnsail-Attempt-Id": attempt,
            "X-Auburnsail-Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            fields["X-Auburnsail-Shard-Key"] = str(key)
        self.record.add(
            "request sent", id=attempt, vm=vm.name, method=method, target=target, key=key
        )
        status, reason = 0, ""
        try:
            answer = await http11.exchange(
                vm.address("outbound"),
                method,
                target,
                fields | (headers or {}),
                body,
                timeout_s=deadline_ms / 1000,
            )
            if answer is not None:
                status, reason = answer.status, answer.headers.get("auburnsail-reason", "")
        except (OSError, EOFError, TimeoutError) as error:
            reason = repr(error)
        self.record.add("request answered", id=attempt, status=status, reason=reason)
        return attempt, status

    async def wait_served(self, vm: Vm, target: str, host: str, *, key: int | None = None) -> None:
        """Sends requests until one is served."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            _, status = await self.request(vm, target, host, key=key)
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise CannotRunError(f"{target} is not served: {self.log_lines(vm)[-3:]}")

    async def close(self) -> None:
        """Ends all processes that the case started."""
        for vm in self.vms.values():
            if vm.backend is not None:
                vm.backend.stop_reports()
            if vm.process is not None and vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
        self.record.end_holds()
        self._folder.cleanup()


def _free_network() -> str:
    """Returns the first three numbers of a loopback network whose ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        ports = (*PORTS.values(), METRICS_PORT, INTERNAL_PORTS[0])
        if all(_is_free(f"{network}.{host}", port) for host in (2, 3) for port in ports):
            return network
    raise CannotRunError("no free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe, contextlib.suppress(OSError):
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, port))
        return True
    return False
