"""Starts the processes of a fleet on loopback and ends them by their process ids."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec

from .ports import LOOPBACK, reserve_port

ROOT = Path(__file__).parent.parent
EXIT_TIMEOUT_S = 5.0
FLEET_SECRET = "0123456789abcdef0123456789abcdef"


def free_addresses(count: int) -> list[str]:
    """Returns loopback addresses that are reserved for this process and free for TCP and UDP."""
    return [f"{LOOPBACK}:{reserve_port()}" for _ in range(count)]


class Processes:
    """Context manager that starts Python modules as processes and kills them on exit.

    Args:
        folder: Directory for settings files and the output of each process.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._environ = dict(os.environ, PYTHONPATH=f"{ROOT / 'src'}:{ROOT}")
        self._processes: dict[str, subprocess.Popen] = {}

    def __enter__(self) -> "Processes":
        return self

    def __exit__(self, *error) -> None:
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()

    def start(self, name: str, module: str, *arguments: str) -> subprocess.Popen:
        """Starts a module as a process; appends its output to ``<name>.out`` in the folder."""
        with (self._folder / f"{name}.out").open("ab") as output:
            command = [sys.executable, "-m", module, *arguments]
            process = subprocess.Popen(
                command, env=self._environ, cwd=ROOT, stdout=output, stderr=subprocess.STDOUT
            )
        self._processes[name] = process
        return process

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Sends a signal to one process."""
        self._processes[name].send_signal(signal_number)

    def is_running(self, name: str) -> bool:
        """Returns whether a process is running."""
        return self._processes[name].poll() is None

    def wait(self, name: str, timeout_s: float = EXIT_TIMEOUT_S) -> int | None:
        """Waits for a process to end; returns its exit code, or None after the timeout."""
        try:
            return self._processes[name].wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def write_settings(self, name: str, content: dict) -> str:
        """Writes a JSON settings file to the folder and returns its path."""
        path = self._folder / f"{name}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(content), indent=2))
        return str(path)
