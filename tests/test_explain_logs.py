"""Commands that find the log lines about a request id or a key."""

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from auburnsail._cli_operator import main
from auburnsail._decision_facts import command_facts
from auburnsail._fleet import FleetState
from auburnsail._model import Assign, Entry, Grant, Join, Session, SessionId, Transfer

LINES = [
    {"ts": 2.0, "node": "n2", "event": "request failed", "id": "a1", "hop": True, "reason": "x"},
    {"ts": 1.0, "node": "n1", "event": "request failed", "id": "a1.c2", "outcome": "not-run"},
    {"ts": 1.5, "node": "n1", "event": "request failed", "id": "a12", "outcome": "not-run"},
    {
        "ts": 3.0,
        "event": "decision",
        "kind": "Transfer",
        "reason": "applied",
        "service": "s",
        "version": 9,
        "owners": [[16, 31, "n2#1"]],
    },
    {
        "ts": 2.5,
        "event": "decision",
        "kind": "Assign",
        "reason": "applied",
        "service": "s",
        "version": 4,
        "owners": [[0, 63, "n1#1"]],
    },
]


class ExplainTest(unittest.TestCase):
    """explain-request and key-history on the log lines of several nodes."""

    def setUp(self):
        """Writes a log whose lines have a collector's prefix, with two malformed lines before."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "log"
        text = "".join(f"2.0 host-1 {json.dumps(line)}\n" for line in LINES)
        self.path.write_text("no line\n{broken\n" + text)

    def run_command(self, *arguments: str):
        """Runs a command of the auburnsail program on the log."""
        return CliRunner().invoke(main, [*arguments, str(self.path)])

    def test_request_and_its_calls_are_ordered_by_time(self):
        """Guards against output that omits a call of the request or includes another request."""
        result = self.run_command("explain-request", "a1")
        self.assertEqual(result.exit_code, 0, result.output)
        first, second = result.output.splitlines()
        self.assertIn("id=a1.c2", first)
        self.assertIn("upstream's node", second)
        found = json.loads(self.run_command("explain-request", "a1", "--json").output)
        self.assertEqual([line["id"] for line in found], ["a1.c2", "a1"])

    def test_unknown_request_id_exits_with_1(self):
        """Guards against exit code 0 without a matching line, which scripts take for success."""
        self.assertEqual(self.run_command("explain-request", "zz").exit_code, 1)

    def test_key_owners_are_ordered_by_version(self):
        """Guards against owners in order of the log instead of the order of versions."""
        lines = self.run_command("key-history", "s", "20").output.splitlines()
        self.assertIn("version 4: Assign to n1#1", lines[0])
        self.assertIn("version 9: Transfer to n2#1", lines[1])
        self.assertEqual(len(self.run_command("key-history", "s", "40").output.splitlines()), 1)

    def test_command_facts_contain_the_moved_keys(self):
        """Guards against log lines about assignments and transfers without the range of keys."""
        fleet = FleetState()
        fleet.add_service("s", 8, 64)
        ids = [SessionId(f"n{number}", 1) for number in range(2)]
        joins = [Join(str(i), Session(i, "r", "d", "a:1", f"{i}:2", "s", 4)) for i in ids]
        assign = Assign("x", "s", (Grant(ids[0], tuple(range(8))),), 8)
        move = Transfer("t", "s", ids[0], ids[1], (2, 3), (1, 1))
        fleet.apply(Entry(1, b"", "e", (*joins, assign, move)))
        self.assertEqual(command_facts(assign, fleet)["owners"], [[0, 63, "n0#1"]])
        self.assertEqual(command_facts(move, fleet)["owners"], [[16, 31, "n1#1"]])


if __name__ == "__main__":
    unittest.main()
