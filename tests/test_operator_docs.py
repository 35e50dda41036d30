"""Runs the commands in docs/operators/settings.md as printed on the platform stand-in."""

import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from auburnsail import effective, parse_tree
from auburnsail._pool import HttpPeer
from auburnsail._settings_rules import parse_tree_strictly
from tests.fleet import ROOT, wait_until
from tools.ports import reserve_port

PAGE = ROOT / "docs" / "operators" / "settings.md"
CONSOLE_BLOCK = re.compile(r"^```console\n(.*?)^```$", re.DOTALL | re.MULTILINE)
TIMESTAMP = re.compile(r"\d{4}-\d\d-\d\dT[\d:]{8}\+00:00")
STORE_IN_PAGE = "http://127.0.0.1:7000"


class PageTest(unittest.TestCase):
    """The operator page on settings."""

    maxDiff = None

    def setUp(self):
        """Starts the store and puts a wrapper of the auburnsail program on the PATH."""
        folder = tempfile.TemporaryDirectory(prefix="auburnsail-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "examples").symlink_to(ROOT / "examples")
        program = self.folder / "auburnsail"
        program.write_text(f'#!/bin/sh\nexec {sys.executable} -m auburnsail._cli_operator "$@"\n')
        program.chmod(0o755)
        path = f"{self.folder}:{os.environ['PATH']}"
        self.environ = dict(os.environ, PYTHONPATH=f"{ROOT / 'src'}:{ROOT}", PATH=path)
        address = f"127.0.0.1:{reserve_port()}"
        command = [sys.executable, "-m", "standins.platform", "--listen", address]
        platform = subprocess.Popen(command, env=self.environ, cwd=ROOT)
        self.addCleanup(platform.wait)
        self.addCleanup(platform.kill)
        peer = HttpPeer(address)
        wait_until(
            lambda: peer.fetch("GET", "/admin/faults", timeout_s=1.0).status == 200, "platform"
        )
        self.addCleanup(peer.drop_idle)
        self.store = f"http://{address}"

    def test_commands_print_the_output_on_the_page(self):
        """Guards against commands on the page that fail or print other output than shown."""
        page = PAGE.read_text(encoding="utf-8")
        shown = "".join(CONSOLE_BLOCK.findall(page))
        commands = [line[2:] for line in shown.splitlines() if line.startswith("$ ")]
        self.assertGreater(len(commands), 20)
        script = "".join(
            f"cat <<'END'\n$ {command}\nEND\n" f"{command.replace(STORE_IN_PAGE, self.store)}\n"
            for command in commands
        )
        result = subprocess.run(
            ["sh", "-c", f"exec 2>&1\n{script}"],
            env=self.environ,
            cwd=self.folder,
            capture_output=True,
            text=True,
        )
        printed = TIMESTAMP.sub("2030-01-01T00:00:00+00:00", result.stdout)
        self.assertEqual(printed, shown)

    def test_unavailable_store_has_its_own_exit_code(self):
        """Guards against an unavailable store that scripts cannot distinguish from a refusal."""
        command = ["auburnsail", "settings", "show", "--timeout-s", "0.1"]
        environ = dict(self.environ, AUBURNSAIL_STORE=f"http://127.0.0.1:{reserve_port()}")
        result = subprocess.run(command, env=environ, capture_output=True, check=False)
        self.assertEqual(result.returncode, 3)


class ExampleTest(unittest.TestCase):
    """The example settings trees."""

    def test_examples_are_valid_and_match_the_deployments(self):
        """Guards against examples that a fleet refuses or that contradict the design page."""
        expected = {
            "ampelkorb": ("catalogue", "wien", 12, 100, "unavailable_time_weight"),
            "sahel": ("portal", "nord", 6, 130, "churn_weight"),
        }
        for name, (keyed, region, slots, connections, heaviest) in expected.items():
            text = (ROOT / "examples" / f"{name}.jsonc").read_text(encoding="utf-8")
            tree = parse_tree_strictly(text, name)
            self.assertEqual(parse_tree(text, name), tree)
            settings = effective(tree, keyed, region, f"{region}-1")
            self.assertEqual(len(tree.regions), 3)
            self.assertEqual({len(domains) for domains in tree.regions.values()}, {2})
            self.assertEqual([s for s, value in tree.services.items() if value.keyed], [keyed])
            self.assertEqual(
                (settings.upstream.slots, settings.upstream.connections), (slots, connections)
            )
            weights = {
                name: getattr(settings.placement, name)
                for name in ("imbalance_weight", "churn_weight", "unavailable_time_weight")
            }
            self.assertEqual(max(weights, key=weights.get), heaviest)
