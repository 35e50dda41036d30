"""Starts a small fleet of real processes on loopback for tests."""

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
from gevent import socket

from auburnsail._pool import Answer, HttpPeer
from auburnsail.exceptions import AuburnsailError

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 20.0
SECRET = "0123456789abcdef0123456789abcdef"


def free_port() -> int:
    """Returns a port that was free on loopback a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def wait_until(condition: Callable[[], bool], what: str, timeout_s: float = START_TIMEOUT_S):
    """Polls a condition until it holds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            if condition():
                return
        except AuburnsailError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{what} did not happen within {timeout_s} s")


class LocalFleet:
    """A platform stand-in, nodes and upstreams as processes of their own."""

    def __init__(self, tree: dict) -> None:
        self._processes: list[subprocess.Popen] = []
        self._folder = tempfile.TemporaryDirectory(prefix="auburnsail-")
        self._environ = dict(os.environ, PYTHONPATH=f"{ROOT / 'src'}:{ROOT}")
        self.data_addresses: list[str] = []
        self.control_addresses: list[str] = []
        self.upstream_addresses: list[str] = []
        port = free_port()
        self.store_url = f"http://127.0.0.1:{port}"
        self.platform = HttpPeer(f"127.0.0.1:{port}")
        self._spawn("standins.platform", "--listen", f"127.0.0.1:{port}")
        wait_until(lambda: self._ok(self.platform, "/admin/faults"), "platform start")
        path = Path(self._folder.name) / "tree.json"
        path.write_bytes(msgspec.json.encode(tree))
        arguments = ["settings", "init", "--store", self.store_url, str(path)]
        command = [sys.executable, "-m", "auburnsail._cli_operator", *arguments]
        subprocess.run(command, env=self._environ, cwd=ROOT, check=True, capture_output=True)

    def add_node(self, name: str, region: str, domain: str, service: str) -> None:
        """Starts a node and the upstream beside it."""
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
        }
        path.write_bytes(msgspec.json.encode(content))
        self._spawn("auburnsail._cli_node", str(path))
        arguments = ["--name", name, "--service", service, "--listen", upstream, "--node", control]
        self._spawn("standins.upstream", *arguments)
        self.data_addresses.append(data)
        self.control_addresses.append(control)
        self.upstream_addresses.append(upstream)

    def request(self, address: str, method: str, target: str, request_id: str) -> Answer:
        """Sends a request to a node."""
        headers = (("x-request-id", request_id),)
        return HttpPeer(address).fetch(method, target, timeout_s=5.0, headers=headers)

    def stop(self) -> None:
        """Ends all processes."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()
        self._folder.cleanup()

    def _spawn(self, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        self._processes.append(subprocess.Popen(command, env=self._environ, cwd=ROOT))

    def _ok(self, peer: HttpPeer, target: str) -> bool:
        return peer.fetch("GET", target, timeout_s=1.0).status == 200
