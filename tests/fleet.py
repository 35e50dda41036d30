"""A small fleet of real processes on loopback, for tests."""

import contextlib
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import gevent
import msgspec
from gevent import socket

from auburnsail._pool import Answer, HttpPeer
from auburnsail.exceptions import AuburnsailError

ROOT = Path(__file__).parent.parent
PORT_RANGE = (10_000, 32_000)
PORTS = (12_000, 32_000)
START_TIMEOUT_S = 20.0
SECRET = "0123456789abcdef0123456789abcdef"


_allocated_ports: set[int] = set()


def free_port() -> int:
    """Returns a free loopback port that was not returned before.

    The port lies below the system's ephemeral range: an outgoing connection could occupy a port of
    that range before the process that is to listen on it has started.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _allocated_ports:
            _allocated_ports.add(port)
            return port


def wait_until(
    condition: Callable[[], bool],
    event: str,
    timeout_s: float = START_TIMEOUT_S,
    interval_s: float = 0.05,
) -> None:
    """Polls a condition until it is true; an `AuburnsailError` counts as false.

    Args:
        condition: The condition.
        event: What the condition stands for, as it appears in the error message.
        timeout_s: Maximum wait in seconds.
        interval_s: Time between two checks in seconds.

    Raises:
        TimeoutError: The condition was not true in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return
        except AuburnsailError:
            pass
        gevent.sleep(interval_s)
    raise TimeoutError(f"{event}: the condition was not met within {timeout_s} s")


@dataclass(slots=True)
class Member:
    """A node and its local upstream.

    Attributes:
        name: Name of the node.
        data: Data address of the node.
        control: Control address of the node.
        upstream: Address of the upstream.
        processes: The node's process, followed by the upstream's if there is one.
    """

    name: str
    data: str
    control: str
    upstream: str
    processes: list[subprocess.Popen] = field(default_factory=list)

    @property
    def node(self) -> subprocess.Popen:
        """The process of the node."""
        return self.processes[0]

    def signal(self, number: int) -> None:
        """Sends a signal to the processes of the node and its upstream."""
        for process in self.processes:
            process.send_signal(number)

    def get(self, target: str) -> dict | list:
        """Sends a GET request to the node's control address and returns the decoded answer."""
        answer = HttpPeer(self.control).fetch("GET", target, timeout_s=2.0)
        return msgspec.json.decode(answer.body)


class LocalFleet:
    """A fleet of separate processes: a platform stand-in, nodes and upstreams.

    Args:
        tree: Settings tree of the first settings version.
        quiet: Whether the output of the processes is discarded.
        logs: Folder that gets one file with the output of each process, instead of `quiet`.

    Attributes:
        upstream_options: Further command-line options of upstreams that start from now on.
        members: Members by the name of their node.
        data_addresses: Data addresses of the nodes in the order of `add_node` calls.
        control_addresses: Control addresses of the nodes in the same order.
        upstream_addresses: Addresses of the upstreams in the same order.
        store_url: URL of the platform stand-in.
        platform: The platform stand-in's HTTP interface.
    """

    def __init__(self, tree: dict, *, quiet: bool = False, logs: Path | None = None) -> None:
        self._logs = logs
        self._output = {"stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL} if quiet else {}
        self._services: dict[str, str] = {}
        self.upstream_options: list[str] = []
        self._processes: list[subprocess.Popen] = []
        self._folder = tempfile.TemporaryDirectory(prefix="auburnsail-")
        self._environ = dict(os.environ, PYTHONPATH=f"{ROOT / 'src'}:{ROOT}")
        self.members: dict[str, Member] = {}
        self.data_addresses: list[str] = []
        self.control_addresses: list[str] = []
        self.upstream_addresses: list[str] = []
        port = free_port()
        self.store_url = f"http://127.0.0.1:{port}"
        self.platform = HttpPeer(f"127.0.0.1:{port}")
        self._spawn("standins.platform", "--listen", f"127.0.0.1:{port}")
        wait_until(lambda: self._is_reachable(self.platform, "/admin/faults"), "platform start")
        path = Path(self._folder.name) / "tree.json"
        path.write_bytes(msgspec.json.encode(tree))
        arguments = ["settings", "init", "--store", self.store_url, str(path)]
        command = [sys.executable, "-m", "auburnsail._cli_operator", *arguments]
        subprocess.run(command, env=self._environ, cwd=ROOT, check=True, capture_output=True)

    def add_node(
        self, name: str, region: str, domain: str, service: str, **settings: object
    ) -> Member:
        """Starts a node and its local upstream.

        Args:
            name: Name of the node.
            region: Region of the node.
            domain: Failure domain of the node.
            service: Service of the upstream, empty for a node without an upstream.
            settings: Further settings of the node.

        Returns:
            The node and its upstream, which are still starting.
        """
        data, control, upstream = (f"127.0.0.1:{free_port()}" for _ in range(3))
        path = Path(self._folder.name) / f"{name}.json"
        content = {
            "node": name,
            "region": region,
            "domain": domain,
            "data_address": data,
            "control_address": control,
            "store_url": self.store_url,
            "objects_url": self.store_url,
            "fleet_secret": SECRET,
            **settings,
        }
        path.write_bytes(msgspec.json.encode(content))
        self.members[name] = Member(name, data, control, upstream)
        self._services[name] = service
        self.start(name)
        self.data_addresses.append(data)
        self.control_addresses.append(control)
        self.upstream_addresses.append(upstream)
        return self.members[name]

    def start(self, name: str) -> None:
        """Starts or restarts the processes of a member."""
        member = self.members[name]
        path = Path(self._folder.name) / f"{name}.json"
        member.processes = [self._spawn("auburnsail._cli_node", str(path))]
        if self._services[name]:
            arguments = ["--name", name, "--service", self._services[name]]
            arguments += ["--listen", member.upstream, "--node", member.control]
            arguments += self.upstream_options
            member.processes.append(self._spawn("standins.upstream", *arguments))

    def restart_node(self, name: str) -> None:
        """Starts the node of a member again, whose process has ended; its upstream keeps running."""
        path = Path(self._folder.name) / f"{name}.json"
        self.members[name].processes[0] = self._spawn("auburnsail._cli_node", str(path))

    def kill(self, name: str) -> None:
        """Kills the processes of a node and its upstream and waits until they have exited."""
        member = self.members[name]
        member.signal(signal.SIGKILL)
        for process in member.processes:
            process.wait()

    def set_faults(self, **faults: object) -> None:
        """Sets the faults that the platform stand-in injects; no arguments clear all faults."""
        body = msgspec.json.encode(faults)
        self.platform.fetch("POST", "/admin/faults", body, timeout_s=2.0)

    def wait_ready(self, owners: int) -> None:
        """Waits until every member may serve and at least the given number of members own shards.

        If too few do, half of the shards of the largest owner move to a member without any.

        Raises:
            TimeoutError: The fleet did not reach this state in time.
        """

        def is_ready() -> bool:
            states = {name: member.get("/v1/status") for name, member in self.members.items()}
            watchers = min(3, len(states) - 1)
            ready = all(
                state["may_serve"] and not state["moving"] and len(state["watchers"]) == watchers
                for state in states.values()
            )
            versions = {state["fleet_version"] for state in states.values()}
            owner_names = [name for name in states if states[name]["shards"]]
            if ready and owner_names and len(owner_names) < owners:
                # A node that joined after the first assignment owns no shards; move some to it.
                newcomer = next(n for n in states if self._services[n] and not states[n]["shards"])
                source = max(owner_names, key=lambda name: states[name]["shards"])
                target = f"/v1/move?target={newcomer}&shards={states[source]['shards'] // 2}"
                HttpPeer(self.members[source].control).fetch("POST", target, timeout_s=2.0)
            return len(versions) == 1 and ready and len(owner_names) >= owners

        wait_until(is_ready, "fleet start")

    def request(self, address: str, method: str, target: str, request_id: str) -> Answer:
        """Sends a request to a node's data address and returns the answer."""
        headers = (("x-request-id", request_id),)
        return HttpPeer(address).fetch(method, target, timeout_s=5.0, headers=headers)

    def stop(self) -> None:
        """Kills all processes and removes the temporary folder."""
        for process in self._processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes:
            process.wait()
        self._folder.cleanup()

    def _spawn(self, module: str, *arguments: str) -> subprocess.Popen:
        command = [sys.executable, "-m", module, *arguments]
        with contextlib.ExitStack() as stack:
            output = self._output
            if self._logs is not None:
                path = self._logs / f"{len(self._processes):03d}-{module}.log"
                output = {
                    "stdout": stack.enter_context(path.open("wb")),
                    "stderr": subprocess.STDOUT,
                }
            process = subprocess.Popen(command, env=self._environ, cwd=ROOT, **output)
        self._processes.append(process)
        return process

    def _is_reachable(self, peer: HttpPeer, target: str) -> bool:
        return peer.fetch("GET", target, timeout_s=1.0).status == 200
