"""Signals to a node whose process has only just started."""

import signal
import subprocess
import sys
import time
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 10.0


def ignores_sighup(pid: int) -> bool:
    """Returns whether a process ignores SIGHUP."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("SigIgn:"):
            return bool(int(line.split()[1], 16) >> (signal.SIGHUP - 1) & 1)
    return False


def built_in_program() -> list[str]:
    """Returns the command of `auburnsail-node` as its installed script runs it."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    module, _, function = project["scripts"]["auburnsail-node"].partition(":")
    return [
        sys.executable,
        "-c",
        f"import sys; from {module} import {function}; sys.exit({function}())",
    ]


class StartSignalsTest(unittest.TestCase):
    """The programs that run a node: that of the users' platform and the built-in one."""

    def test_a_sighup_during_the_imports_does_not_end_the_process(self):
        """Guards against a settings change that ends a node which is still starting."""
        for program in ([sys.executable, "deploy/node.py"], built_in_program()):
            with self.subTest(program=program):
                self.send_sighup([*program, "--version"])

    def send_sighup(self, command: list[str]) -> None:
        """Starts a program, sends SIGHUP as soon as it is ignored and checks the exit code."""
        with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as process:
            end_s = time.monotonic() + START_TIMEOUT_S
            while not ignores_sighup(process.pid) and time.monotonic() < end_s:
                self.assertIsNone(process.poll(), "the process ended before it ignored SIGHUP")
            process.send_signal(signal.SIGHUP)
            output, _ = process.communicate(timeout=START_TIMEOUT_S)
        self.assertEqual(process.returncode, 0, output)


if __name__ == "__main__":
    unittest.main()
