"""A short run of whole nodes of the platform beside odd entries; `make fuzz` runs longer ones."""

import base64
import random
import tempfile
import unittest
from collections import Counter
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import gevent
import msgspec
from gevent.server import StreamServer
from structlog.testing import capture_logs

from auburnsail._versioned_log import LogRecord, VersionedLog
from auburnsail.platform._store import PlatformStore, PlatformTable
from tools.fuzz_platform import PlatformFleet, run_platform
from tools.fuzz_platform_entries import EntryWriter
from tools.fuzz_platform_load import PlatformLoad, judge
from tools.fuzz_platform_logs import ExpectedLines, Line, NodeLogs, line_of
from tools.fuzz_platform_store import OddStore
from tools.ports import LOOPBACK, reserve_port

SEED = 1
NODES = 3
REQUESTS_PER_S = 60.0
DURATION_S = 4.0
RECORD_SHARE = 0.3
ROW = b"\xc1 a row"
LINE = line_of("fleet-log", ROW)


class Folder(unittest.TestCase):
    """Base class with a directory for the output of nodes."""

    def setUp(self):
        """Creates the directory."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.logs = NodeLogs(self.folder)

    def write_lines(self, node: str, *events: dict) -> None:
        """Writes the output of a node."""
        lines = [msgspec.json.encode(event) + b"\n" for event in events]
        (self.folder / f"{node}.out").write_bytes(b"".join(lines))


class LinesTest(Folder):
    """Which lines the entries must leave."""

    def findings(self, lines: list[int], counted: int, **expected) -> list[str]:
        """Returns the findings for a row with so many lines at each node.

        Args:
            lines: Number of lines by node.
            counted: Number of inputs that n0, the only node that is not killed, counted.
            **expected: Fields of `ExpectedLines` that differ from those of one row.
        """
        refused = {}
        for number, count in enumerate(lines):
            source, size, excerpt = LINE
            event = {"event": "input not usable", "source": source, "size": size}
            self.write_lines(f"n{number}", *[event | {"excerpt": excerpt}] * count)
            refused[f"n{number}"] = self.logs.refused(f"n{number}")
        fields = {"entries": [("a row", {LINE})], "rows": Counter({LINE: 1})} | expected
        return ExpectedLines(**fields).findings(refused, {"n0": counted})

    def test_a_missing_or_repeated_line_is_found(self):
        """Guards against a run that cannot fail."""
        cases = {
            "a row without a line": self.findings([0, 0], 0),
            "a dropped line": self.findings([0, 1], 1),
            "two lines for a row": self.findings([2, 1], 2),
            "no gauges": self.findings([1, 1], -1),
            "a report without a line": self.findings([1, 1], 1, reports=Counter(n1=1)),
        }
        for name, findings in cases.items():
            with self.subTest(name):
                self.assertGreater(len(findings), 0)

    def test_what_nodes_may_do_is_no_finding(self):
        """Guards against findings that no node can avoid, which would hide the others."""
        self.assertEqual(self.findings([1, 0], 1), [])
        self.assertEqual(self.findings([0, 1], 0), [])
        self.assertEqual(self.findings([1, 3], 1), [])


class LateLinesTest(Folder):
    """Lines that nodes write while the checker reads."""

    def findings(self, inputs: int, lines: int) -> list[str]:
        """Returns the findings for a node that refuses inputs until its log is read.

        Args:
            inputs: Number of refused inputs. The node counts the first one before its gauges are
                read, and one more at each read of its log.
            lines: Number of log lines that it writes for them, in the same order.
        """
        source, size, excerpt = LINE
        event = {"event": "input not usable", "source": source, "size": size, "excerpt": excerpt}
        counted = 1

        def refused(node: str) -> Counter:
            nonlocal counted
            if node == "n0":
                counted = min(counted + 1, inputs)
            self.write_lines(node, *[event] * min(counted, lines))
            return self.logs.refused(node)

        def gauges(vm: SimpleNamespace) -> dict[str, float]:
            return {"inputs_rejected": float(counted), "unexpected_errors": 0.0}

        logs = SimpleNamespace(refused=refused, dropped=lambda node: 0)
        vms = [SimpleNamespace(name="n0"), SimpleNamespace(name="n1")]
        fleet = SimpleNamespace(vms=vms, gauges=gauges, logs=logs)
        writer = EntryWriter(fleet, SEED, RECORD_SHARE)
        writer._expected = ExpectedLines(rows=Counter({LINE: inputs}))
        return writer.findings()

    def test_a_line_written_between_two_reads_is_no_finding(self):
        """Guards against a finding about a node that refuses an input after its gauges were read.

        A node goes on reading rows while the checker reads first the gauges and then the logs.
        """
        self.assertEqual(self.findings(inputs=4, lines=4), [])

    def test_a_line_that_is_never_written_is_found(self):
        """Guards against reads that are repeated until a dropped line no longer shows."""
        self.assertEqual(self.findings(4, 3), ["n0: 4 unusable inputs, 3 log lines"])


class ShownRowsTest(Folder):
    """Rows that the store showed with another content."""

    def findings(self, row: bytes, shown: bytes, logged: list[Line]) -> list[str]:
        """Returns the findings for a row at the first position of the fleet log.

        Args:
            row: The row.
            shown: Content of the row in an odd answer.
            logged: Lines of the only node that read the row from the store.
        """
        fields = ("source", "size", "excerpt")
        events = [
            {"event": "input not usable"} | dict(zip(fields, line, strict=True)) for line in logged
        ]
        self.write_lines("n0", *events)
        self.write_lines("n1")
        gauges = {"inputs_rejected": float(len(logged)), "unexpected_errors": 0.0}
        entry = {"key": "log/0000000000000001", "value": base64.b64encode(b"entry").decode()}
        fleet = SimpleNamespace(
            vms=[SimpleNamespace(name="n0"), SimpleNamespace(name="n1")],
            store="",
            gauges=lambda vm: gauges,
            logs=self.logs,
            call=lambda *request: (200, msgspec.json.encode({"rows": [entry]})),
            put=lambda *item, expected: True,
        )
        writer = EntryWriter(fleet, SEED, RECORD_SHARE)
        writer._odd_row = lambda rng, position: (row, line_of("fleet-log", row))
        writer._write_log_row(random.Random(SEED))
        texts = [base64.b64encode(value).decode() for value in (shown, row)]
        changed = [["log/0000000000000002", *texts]]
        writer.record_odd_answers({"changed-rows": changed})
        return writer.findings()

    def test_the_line_of_the_shown_content_stands_for_the_row(self):
        """Guards against a finding about a row that no node could see.

        The only node that read the position from the store was shown another content; the others
        received an entry without commands from it.
        """
        shown = b"\xc1 another content"
        self.assertEqual(self.findings(ROW, shown, [line_of("fleet-log", shown)]), [])
        record = msgspec.msgpack.encode(LogRecord(2, "id", b"\xc1"))
        self.assertEqual(self.findings(ROW, record, [line_of("fleet-entry", b"\xc1")]), [])

    def test_a_row_without_any_line_is_found(self):
        """Guards against a check that odd answers of the store switch off."""
        other = line_of("fleet-log", b"\xc1 a third content")
        for logged in ([], [other]):
            with self.subTest(logged):
                self.assertIn("without a log line", " ".join(self.findings(ROW, b"x", logged)))


class OddStoreTest(unittest.TestCase):
    """What the store records of its odd answers."""

    def test_a_row_that_is_shown_without_its_value_is_recorded(self):
        """Guards against a finding for the line of an answer that leaves the value of a row out."""
        store = OddStore((LOOPBACK, 0), random.Random(SEED))
        self.addCleanup(store.stop)
        log = VersionedLog(PlatformTable(PlatformStore(store.address)), "fleet")
        store.put("fleet", f"log/{1:016d}", ROW)
        shown = dict(store.rows["fleet", f"log/{1:016d}"])
        del shown["value"]
        body = msgspec.json.encode({"rows": [shown]})
        with mock.patch.object(store, "_answer", return_value=(200, body)), capture_logs() as lines:
            log.read_after(0)
        store._record_changed_rows("rows-get", body)
        ((_, *texts),) = store.changed_rows
        recorded = [line_of("fleet-log", base64.b64decode(text)) for text in texts]
        logged = [(line["source"], line["size"], line["excerpt"]) for line in lines]
        self.assertEqual(logged, [line_of("fleet-log", b"")])
        self.assertEqual(Counter(recorded), Counter([*logged, LINE]))

    def test_a_row_without_a_current_one_allows_one_line(self):
        """Guards against lines that are allowed although no answer showed such a row."""
        store = OddStore((LOOPBACK, 0), random.Random(SEED))
        self.addCleanup(store.stop)
        rows = [{"table": "fleet", "key": "log/x", "value": value} for value in ("wQ==", None, 1)]
        store._record_changed_rows("rows-get", msgspec.json.encode({"rows": rows}))
        values = [(shown, current) for _, shown, current in store.changed_rows]
        self.assertEqual(values, [("wQ==", None), (None, None), (None, None)])


class ProcessesTest(Folder):
    """What is found at the processes."""

    def test_an_ended_or_silent_process_and_an_error_line_are_found(self):
        """Guards against a run that does not see that a node has gone."""
        processes = SimpleNamespace(is_running=lambda name: name != "n1")
        fleet = PlatformFleet(processes, self.folder, SEED, NODES)
        for vm in fleet.vms:
            self.write_lines(vm.name, {"event": "node started"})
        self.write_lines("n2", {"event": "unexpected error"})
        fleet.status = lambda vm: {} if vm.name == "n0" else {"violation": ""}
        findings = fleet.findings()
        self.assertEqual([finding[:2] for finding in findings], ["th", "n0", "n2"], findings)
        fleet.status = lambda vm: {"violation": "two entries" * (vm.name == "n0")}
        self.assertIn("n0: two entries", fleet.findings())


class LoadTest(unittest.TestCase):
    """What callers must not see."""

    def test_a_missing_answer_is_found(self):
        """Guards against a run that does not see that requests are lost."""
        ends = {b"": "no answer", b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nr-1": "cut"}
        ends[b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nr-x"] = "wrong answer"
        for answer, outcome in ends.items():
            server = StreamServer(
                (LOOPBACK, reserve_port()),
                lambda sock, address, answer=answer: (sock.recv(4_096), sock.sendall(answer)),
            )
            server.start()
            load = PlatformLoad([f"{LOOPBACK}:{server.server_port}"], random.Random(1), 100.0)
            task = gevent.spawn(load.run)
            gevent.sleep(0.2)
            load.stop()
            task.join()
            server.stop()
            with self.subTest(outcome):
                self.assertGreater(load.counts[outcome], 0)
                self.assertIn(outcome, " ".join(load.findings))

    def test_only_odd_answers_may_be_cut(self):
        """Guards against a cut or changed answer to a regular request that passes."""
        self.assertEqual([judge(text, is_odd=True) for text in ("cut", "503")], ["", ""])
        self.assertEqual(judge("no answer", is_odd=True), "no answer")
        self.assertEqual(judge("cut", is_odd=False), "cut")


class WholeRunTest(Folder):
    """Nodes, upstreams and the store as processes."""

    def test_nodes_go_on_beside_odd_entries(self):
        """Guards against odd entries that end a process, lose a request or leave no log line."""
        counts, findings = run_platform(
            SEED, DURATION_S, NODES, REQUESTS_PER_S, RECORD_SHARE, self.folder
        )
        self.assertEqual(findings, [])
        for name in ("log rows", "other rows", "objects", "reports", "datagrams", "bytes", "200"):
            self.assertGreater(counts[name], 0, name)


if __name__ == "__main__":
    unittest.main()
