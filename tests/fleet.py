"""A small fleet of real processes on loopback, for tests."""

import os
import shutil
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

from auburnsail._pool import Answer, HttpPeer
from auburnsail.exceptions import AuburnsailError
from tools.ports import reserve_port

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 20.0
SHOWN_OUTPUT_LINES = 20
SECRET = "0123456789abcdef0123456789abcdef"


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
        quiet: Whether the output of the processes goes to files, which are kept and shown in the
            error if the fleet does not start.
        logs: Folder for these files, where they are always kept; None for a temporary one.

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
        self._quiet = quiet
        self._logs = logs
        self._services: dict[str, str] = {}
        self.upstream_options: list[str] = []
        self._processes: list[tuple[str, subprocess.Popen]] = []
        self._folder = Path(tempfile.mkdtemp(prefix="auburnsail-"))
        self._has_failed = False
        self._environ = dict(os.environ, PYTHONPATH=f"{ROOT / 'src'}:{ROOT}")
        self.members: dict[str, Member] = {}
        self.data_addresses: list[str] = []
        self.control_addresses: list[str] = []
        self.upstream_addresses: list[str] = []
        port = reserve_port()
        self.store_url = f"http://127.0.0.1:{port}"
        self.platform = HttpPeer(f"127.0.0.1:{port}")
        self._spawn("platform", "standins.platform", "--listen", f"127.0.0.1:{port}")
        try:
            self._wait_start(
                lambda: self._is_reachable(self.platform, "/admin/faults"), "platform start"
            )
            self._write_settings(tree)
        except BaseException:
            self.stop()
            raise

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
        data, control, upstream = (f"127.0.0.1:{reserve_port()}" for _ in range(3))
        path = self._folder / f"{name}.json"
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
        path = self._folder / f"{name}.json"
        member.processes = [self._spawn(name, "auburnsail._cli_node", str(path))]
        if self._services[name]:
            arguments = ["--name", name, "--service", self._services[name]]
            arguments += ["--listen", member.upstream, "--node", member.control]
            arguments += self.upstream_options
            process = self._spawn(f"{name}-upstream", "standins.upstream", *arguments)
            member.processes.append(process)

    def restart_node(self, name: str) -> None:
        """Starts the node of a member again, whose process has ended; its upstream keeps running."""
        path = self._folder / f"{name}.json"
        self.members[name].processes[0] = self._spawn(name, "auburnsail._cli_node", str(path))

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
            TimeoutError: The fleet did not reach this state in time; the message has the state and
                the last output of each process.
        """

        moved_at_version = 0

        def is_ready() -> bool:
            nonlocal moved_at_version
            states = {name: member.get("/v1/status") for name, member in self.members.items()}
            watchers = min(3, len(states) - 1)
            ready = all(
                state["may_serve"] and not state["moving"] and len(state["watchers"]) == watchers
                for state in states.values()
            )
            versions = {state["fleet_version"] for state in states.values()}
            owner_names = [name for name in states if states[name]["shards"]]
            version = max(versions)
            # States of different versions may show shards of a finished move at neither node.
            can_move = ready and len(versions) == 1 and version > moved_at_version
            if can_move and owner_names and len(owner_names) < owners:
                # A node that joined after the first assignment owns no shards; move some to it.
                moved_at_version = version
                newcomer = next(n for n in states if self._services[n] and not states[n]["shards"])
                source = max(owner_names, key=lambda name: states[name]["shards"])
                target = f"/v1/move?target={newcomer}&shards={states[source]['shards'] // 2}"
                HttpPeer(self.members[source].control).fetch("POST", target, timeout_s=2.0)
            return len(versions) == 1 and ready and len(owner_names) >= owners

        self._wait_start(is_ready, "fleet start")

    def request(self, address: str, method: str, target: str, request_id: str) -> Answer:
        """Sends a request to a node's data address and returns the answer."""
        headers = (("x-request-id", request_id),)
        return HttpPeer(address).fetch(method, target, timeout_s=5.0, headers=headers)

    def stop(self) -> None:
        """Kills all processes; removes the temporary folder unless the fleet failed to start."""
        for _, process in self._processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for _, process in self._processes:
            process.wait()
        if not self._has_failed:
            shutil.rmtree(self._folder)

    def _write_settings(self, tree: dict) -> None:
        """Writes the first settings version to the store.

        Raises:
            RuntimeError: The command failed; the message has its output.
        """
        path = self._folder / "tree.json"
        path.write_bytes(msgspec.json.encode(tree))
        arguments = ["settings", "init", "--store", self.store_url, str(path)]
        command = [sys.executable, "-m", "auburnsail._cli_operator", *arguments]
        result = subprocess.run(
            command, env=self._environ, cwd=ROOT, check=False, capture_output=True, text=True
        )
        if result.returncode:
            raise RuntimeError(f"settings init: {result.returncode}: {result.stderr}")

    def _spawn(self, name: str, module: str, *arguments: str) -> subprocess.Popen:
        command = [sys.executable, "-m", module, *arguments]
        with self._output_path(name).open("ab") as output:
            streams = {"stdout": output, "stderr": subprocess.STDOUT} if self._quiet else {}
            process = subprocess.Popen(command, env=self._environ, cwd=ROOT, **streams)
        self._processes.append((name, process))
        return process

    def _output_path(self, name: str) -> Path:
        return (self._logs or self._folder) / f"{name}.out"

    def _wait_start(self, condition: Callable[[], bool], event: str) -> None:
        """Waits as `wait_until` does; an error shows what the processes did and wrote."""
        try:
            wait_until(condition, event, START_TIMEOUT_S)
        except TimeoutError as error:
            self._has_failed = True
            raise TimeoutError(f"{error}\n{self._describe_processes()}") from error

    def _describe_processes(self) -> str:
        lines = [f"Output is kept in {self._folder}"]
        for name, process in self._processes:
            code = process.poll()
            lines.append(f"{name}: {'running' if code is None else f'ended with {code}'}")
            if name in self.members:
                lines.append(f"  status: {self._status_of(name)}")
            output = self._output_path(name).read_text(errors="replace").splitlines()
            lines += [f"  {line}" for line in output[-SHOWN_OUTPUT_LINES:]]
        return "\n".join(lines)

    def _status_of(self, name: str) -> str:
        try:
            return str(self.members[name].get("/v1/status"))
        except AuburnsailError as error:
            return str(error)

    def _is_reachable(self, peer: HttpPeer, target: str) -> bool:
        return peer.fetch("GET", target, timeout_s=1.0).status == 200
