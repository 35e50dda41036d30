"""Commands that show or change the state of a fleet, run on a local fleet."""

import os
import subprocess
import sys
import tempfile
import unittest

import msgspec

from auburnsail._fleet_view import push_record
from auburnsail._settings_changes import SettingsChanges
from auburnsail._store import HttpTableStore
from auburnsail._store_retry import RetrySchedule
from tests.fleet import ROOT, SECRET, LocalFleet, wait_until
from tools.ports import reserve_port

TREE = {"services": {"catalogue": {"keyed": True, "shards": 8}, "pledge": {}}}
EXIT_REFUSED, EXIT_INVALID_INPUT, EXIT_UNAVAILABLE = 1, 2, 3


class FleetCase(unittest.TestCase):
    """Base class with one fleet per test class.

    Attributes:
        nodes: Names of the nodes to start.
    """

    nodes: tuple[str, ...] = ()

    @classmethod
    def setUpClass(cls):
        """Starts the fleet and its nodes."""
        cls.fleet = LocalFleet(TREE, quiet=True)
        cls.addClassCleanup(cls.fleet.stop)
        for name in cls.nodes:
            cls.fleet.add_node(name, "wien", f"{name}-domain", "catalogue")
        if cls.nodes:
            cls.fleet.wait_ready(len(cls.nodes))

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs a command of the auburnsail program on the fleet."""
        environ = dict(
            os.environ,
            PYTHONPATH=f"{ROOT / 'src'}:{ROOT}",
            AUBURNSAIL_STORE=self.fleet.store_url,
            AUBURNSAIL_OPERATOR="ann",
        )
        command = [sys.executable, "-m", "auburnsail._cli_operator", *arguments]
        return subprocess.run(command, env=environ, capture_output=True, text=True, check=False)

    def run_json_command(self, *arguments: str) -> dict:
        """Returns the decoded output of a command with ``--json``."""
        return msgspec.json.decode(self.run_command(*arguments, "--json").stdout)


class StatusTest(FleetCase):
    """Commands on two serving nodes."""

    nodes = ("wien-a", "wien-b")

    def test_status_shows_owners_and_versions(self):
        """Guards against a status that omits sessions, shards or the versions of a node."""
        content = self.run_json_command("status")
        self.assertEqual(content["settings_version"], 1)
        self.assertEqual(content["unowned_shards"], {"catalogue": 0})
        self.assertEqual([row["shards"] for row in content["sessions"]], [4, 4])
        for name in ("settings_version", "fleet_version"):
            self.assertEqual({row[name] for row in content["sessions"]}, {content[name]})
        self.assertIn("wien-a#", self.run_command("status").stdout)
        node = self.fleet.members["wien-b"].control
        self.assertTrue(
            self.run_json_command("status", "--node", node)["session"].startswith("wien-b#")
        )
        self.assertIn("Join", self.run_command("journal", "--node", node).stdout)

    def test_explain_key_names_the_serving_owner(self):
        """Guards against naming an owner other than the node that serves requests for the key."""
        content = self.run_json_command("explain-key", "basket-1", "--service", "catalogue")
        answer = self.fleet.request(content["address"], "GET", "/catalogue/basket-1", "r")
        owner = msgspec.json.decode(answer.body)["upstream"]
        self.assertEqual(content["owner"].split("#")[0], owner)
        self.assertTrue(content["owner_says"]["served_here"])
        wrong = self.run_command("explain-key", "k", "--service", "pledge")
        self.assertEqual(wrong.returncode, EXIT_INVALID_INPUT)
        self.assertIn("known: catalogue", wrong.stderr)

    def test_declare_lost_refuses_a_node_that_answers(self):
        """Guards against ending the session of a node that still serves.

        Its shards could get another owner while it serves requests for them.
        """
        refused = self.run_command("declare-lost", "wien-a")
        self.assertEqual(refused.returncode, EXIT_REFUSED)
        self.assertIn("still answers", refused.stderr)
        self.assertEqual(self.run_command("declare-lost", "nobody").returncode, EXIT_REFUSED)
        self.assertEqual(len(self.run_json_command("status")["sessions"]), 2)

    def test_error_names_the_unreachable_node(self):
        """Guards against an error message without the address that did not answer."""
        address = f"127.0.0.1:{reserve_port()}"
        result = self.run_command("status", "--node", address)
        self.assertEqual(result.returncode, EXIT_UNAVAILABLE)
        self.assertIn(address, result.stderr)


class DeclareLostTest(FleetCase):
    """A node without watchers, whose session only an operator can end."""

    nodes = ("wien-a",)

    def test_session_of_a_lost_node_ends_once(self):
        """Guards against a declaration that does not end the session or that succeeds twice."""
        self.fleet.kill("wien-a")
        wait_until(
            lambda: "refused" in self.run_json_command("status")["sessions"][0]["state"], "silence"
        )
        declared = self.run_command("declare-lost", "wien-a")
        self.assertEqual((declared.returncode, declared.stderr), (0, ""))
        content = self.run_json_command("status")
        self.assertEqual((content["sessions"], content["unowned_shards"]), ([], {"catalogue": 8}))
        self.assertEqual(self.run_command("declare-lost", "wien-a").returncode, EXIT_REFUSED)


class PushTest(FleetCase):
    """A settings record that is pushed to a node directly."""

    nodes = ("wien-a",)

    def test_pushed_record_is_accepted_with_the_secret_only(self):
        """Guards against a node that ignores pushed settings or accepts them unauthenticated."""
        member = self.fleet.members["wien-a"]
        changes = SettingsChanges(HttpTableStore(self.fleet.store_url), "ann", RetrySchedule(5.0))
        data = changes.history.log_record(1).data
        for secret, error, version in (("w" * 32, "status 403", 1), (SECRET, None, 2)):
            answers = push_record([member.control], 2, data, secret)
            self.assertEqual([answer.error for answer in answers], [error] if error else [])
            self.assertEqual(member.get("/v1/status")["settings_version"], version)
        proposal = self.run_command(
            *("settings", "propose", "--id", "p", "--title", "t", "--set", "queue.max_wait_ms=9")
        )
        self.assertEqual((proposal.returncode, proposal.stderr), (0, ""))
        self.run_command("settings", "review", "p", "--approve", "--as", "bob")
        with tempfile.NamedTemporaryFile("w") as file:
            file.write(SECRET)
            file.flush()
            accepted = self.run_json_command("settings", "accept", "p", "--secret-file", file.name)
        self.assertEqual((accepted["version"], accepted["pushed_to"]), (2, [member.control]))
        self.assertEqual(accepted["not_pushed"], [])
