"""Entries and messages that another writer left: nested deeply, out of range, or not readable."""

import random
import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from auburnsail._adapter import LogSettings
from auburnsail._checkpoint import checkpoint_key, dump_fleet
from auburnsail._clock import BootClock
from auburnsail._effects import OutcomeUnknown, StoreRequest
from auburnsail._fleet import FleetState
from auburnsail._io import Callbacks, NodeIo, UdpSocket
from auburnsail._log_follower import FleetFollower
from auburnsail._messages import Codec
from auburnsail._model import Entry, Join, Session, SessionId, decode_entry, encode_entry
from auburnsail._pool import HttpPeer
from auburnsail._recorder import Recorder
from auburnsail._store import Row
from auburnsail._versioned_log import VersionedLog
from auburnsail.exceptions import NotRunError, OutcomeUnknownError, SettingsError
from auburnsail.platform._boot_file import load_boot_file
from auburnsail.platform._desired_state import RetryLimits, decode_desired_state
from auburnsail.platform._reports import ReportApplication
from tests.fake_table import FakeTable
from tests.test_platform_formats import DESIRED_STATE, REPORT, FakeControl
from tools.ports import reserve_port

DEEP = b"[" * 200_000
DEEP_MSGPACK = b"\x91" * 200_000
ODD_ADDRESSES = (
    "127.0.0.9:70000",
    "127.0.0.9:-1",
    "127.0.0.9:0",
    "127.0.0.9:",
    "127.0.0.9",
    ":",
    "",
    "300.1.1.1:80",
    "h" * 70_000 + ":80",
)
LOG_KEY = "fleet/log/{:016d}"


def entry_after(fleet: FleetState, name: str) -> Entry:
    """Returns the entry that opens a session of the node with this name."""
    session = Session(SessionId(name, 1), "r", "d", "10.0.0.1:1", "10.0.0.1:2", "s", 4)
    return Entry(fleet.version + 1, fleet.digest, name, (Join(name, session),))


def put_foreign(table: FakeTable, position: int, value: bytes) -> None:
    """Writes a row of the fleet log as another writer would."""
    key = LOG_KEY.format(position)
    table.rows[key] = Row(key, 1, value)


class OddReportTest(unittest.TestCase):
    """Reports of an upstream with fields that no upstream of this VM has."""

    def setUp(self):
        """Builds an application for the upstream at the address of the settings."""
        self.control = FakeControl()
        self.application = ReportApplication(self.control, "s1", lambda: "10.1.0.41:8")

    def status_of(self, body: bytes, instance: str = "i-1") -> str:
        """Sends a report and returns the status of the answer."""
        statuses: list[str] = []
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": f"/Instances.Heartbeat/{instance}",
            "wsgi.input": SimpleNamespace(read=lambda size: body[:size]),
        }
        self.application(environ, lambda status, headers: statuses.append(status))
        return statuses[0]

    def with_field(self, *path_and_value) -> bytes:
        """Returns an encoded report in which one field has another value."""
        *path, name, value = path_and_value
        report = parent = msgspec.json.decode(msgspec.json.encode(REPORT))
        for part in path:
            parent = parent[part]
        parent[name] = value
        return msgspec.json.encode(report)

    def test_odd_reports_are_refused(self):
        """Guards against an upstream that no request can reach, or that no message can describe.

        One report with a sequence number or a start time far too high made every later report of
        the real upstream look outdated, so the VM served nobody until it was restarted.
        """
        bodies = [self.with_field("address", address) for address in ODD_ADDRESSES]
        bodies.append(self.with_field("address", "127.0.0.9:8"))
        for number in (2**63, 2**64 - 1, -1):
            bodies.append(self.with_field("info", "slots", number))
            bodies.append(self.with_field("status", "sequence", number))
            bodies.append(self.with_field("status", "cold-remaining-ms", number))
            bodies.append(self.with_field("born", number))
            bodies.append(self.with_field("holds", [[0, 9, number]]))
            bodies.append(self.with_field("holds", [[0, number, 1]]))
            bodies.append(self.with_field("freed", [[number, 9, "x"]]))
        bodies.append(self.with_field("holds", [[9, 0, 1]]))
        huge = msgspec.json.encode(REPORT).replace(b'"sequence":4', b'"sequence":' + b"9" * 30)
        bodies += [huge, b'{"x":' + DEEP, DEEP, b'{"a":' * 100_000]
        for body in bodies:
            with self.subTest(body=body[:160]):
                self.assertEqual(self.status_of(body), "400 Bad Request")
        self.assertEqual(self.status_of(msgspec.json.encode(REPORT), "i" * 10_000)[:3], "400")
        self.assertEqual(self.control.reports, [])
        self.assertEqual(self.status_of(msgspec.json.encode(REPORT)), "200 OK")

    @settings(deadline=None, max_examples=200)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
            lambda inner: st.lists(inner) | st.dictionaries(st.sampled_from(list(REPORT)), inner),
        )
    )
    def test_no_report_raises(self, value):
        """Guards against a report that ends the greenlet that reads it."""
        body = msgspec.json.encode(value)
        self.assertIn(self.status_of(body)[:3], ("200", "400"))


class OddLogTest(unittest.TestCase):
    """Rows of the fleet log that are not entries of it."""

    def setUp(self):
        """Creates a log with one regular entry and two nodes that follow it."""
        self.table = FakeTable()
        self.log = VersionedLog(self.table, "fleet")
        self.nodes = [FleetState(), FleetState()]
        self.followers = [FleetFollower(fleet) for fleet in self.nodes]
        self.append("a")
        self.follow()

    def append(self, name: str) -> None:
        """Appends a regular entry."""
        fleet = self.nodes[0]
        self.log.append(fleet.version, name, encode_entry(entry_after(fleet, name)))

    def follow(self, number: int | None = None) -> None:
        """Lets the nodes, or one of them, read the log from the store."""
        for index, follower in enumerate(self.followers):
            if number in (None, index):
                for record in self.log.read_after(self.nodes[index].version):
                    follower.offer(record.data, "", record.version)

    def foreign_values(self) -> list[bytes]:
        """Returns values that are no entry at the next position."""
        fleet = self.nodes[0]
        other = Entry(10**15, fleet.digest, "x", ())
        wrong_position = msgspec.msgpack.encode((fleet.version + 1, "x", encode_entry(other)))
        return [b"", b"\xc1", DEEP_MSGPACK, b"{}", wrong_position, self.wrapped(b"\xc1")]

    def wrapped(self, data: bytes) -> bytes:
        """Returns a record at the next position with the given content."""
        record = {"version": self.nodes[0].version + 1, "id": "x", "data": data}
        return msgspec.msgpack.encode(record)

    def test_the_log_goes_past_a_foreign_row(self):
        """Guards against followers that stop for good, or differ, behind one unreadable row."""
        for value in self.foreign_values():
            with self.subTest(value=value[:40]):
                put_foreign(self.table, self.nodes[0].version + 1, value)
                self.follow()
                self.append(f"n{self.nodes[0].version}")
                self.follow()
                first, second = self.nodes
                self.assertEqual((first.version, first.digest), (second.version, second.digest))
        self.assertEqual(len(self.nodes[0].sessions), 1 + len(self.foreign_values()))

    def test_a_peer_passes_on_what_it_applied_in_place_of_a_foreign_row(self):
        """Guards against a node that can follow from the store but not from its peers."""
        put_foreign(self.table, 2, b"\xc1")
        self.follow(0)
        for data in self.followers[0].entries_after(1):
            self.followers[1].offer(data, "10.0.0.2:1")
        self.assertEqual(self.nodes[1].version, 2)
        self.assertEqual(self.nodes[1].digest, self.nodes[0].digest)
        self.follow()

    def test_a_foreign_row_from_a_peer_or_far_ahead_is_ignored(self):
        """Guards against a gap in the log, or a fetch without end, because of one row."""
        self.assertIsNone(self.followers[0].offer(b"\xc1", "10.0.0.2:1"))
        put_foreign(self.table, 10**15, b"\xc1")
        self.table.rows["fleet/log/x"] = Row("fleet/log/x", 1, b"")
        self.assertEqual(self.log.read_after(1), [])
        self.append("b")
        self.follow()
        self.assertEqual(self.nodes[0].version, 2)
        self.assertEqual(self.followers[0].fetcher.newest, 0)

    def test_the_log_goes_past_keys_that_name_no_position(self):
        """Guards against followers that never read on behind a key between two positions.

        A scan returns at most 1,000 rows. Each row has one log line, also if it is read again.
        """
        for count in (3, 1_100):
            for number in range(count):
                key = f"fleet/log/{self.nodes[0].version:016d}-{number:04d}"
                self.table.rows[key] = Row(key, 1, b"")
            with self.subTest(count=count), capture_logs() as lines:
                self.follow()
                for _ in range(2):
                    self.append(f"n{self.nodes[0].version}")
                    self.follow()
                self.assertEqual(self.nodes[0].version, self.nodes[1].version)
                self.assertEqual(len(lines), count)
        self.assertEqual(self.nodes[0].version, 5)

    def test_a_key_that_only_ends_in_a_position_takes_none(self):
        """Guards against nodes that go past a position which the next append still takes."""
        copy = self.table.rows[f"fleet/log/{1:016d}"].value
        for key in (f"fleet/log/{1:016d}/{2:016d}", f"fleet/log/x/{2:016d}"):
            self.table.rows[key] = Row(key, 1, copy)
        self.follow(0)
        self.assertEqual(self.nodes[0].version, 1)
        self.append("b")
        self.follow()
        self.assertEqual([len(node.sessions) for node in self.nodes], [2, 2])

    def test_a_copied_row_has_one_log_line(self):
        """Guards against rows that are passed over without a trace."""
        copy = self.table.rows[f"fleet/log/{1:016d}"].value
        for version in (2, 10**15):
            put_foreign(self.table, version, copy)
        with capture_logs() as lines:
            for _ in range(3):
                self.follow()
        self.assertEqual(self.nodes[0].version, 2)
        reasons = [line["reason"] for line in lines if line["source"] == "fleet-log"]
        self.assertEqual(len(reasons), 2, reasons)

    def test_a_record_without_an_entry_of_its_position_has_one_log_line(self):
        """Guards against rows that are passed over without a trace, and lines for each fetch."""
        other = encode_entry(Entry(10**15, self.nodes[0].digest, "x", ()))
        for data in (b"", other, b"\xc1"):
            with self.subTest(data=data), capture_logs() as lines:
                position = self.nodes[0].version + 1
                put_foreign(self.table, position, self.wrapped(data))
                records = self.log.read_after(position - 1) * 2
                for record in records:
                    self.followers[0].offer(record.data, "", record.version)
                self.assertEqual(self.nodes[0].version, position)
                self.assertEqual([line["event"] for line in lines], ["input not usable"])

    def test_a_recorder_gets_past_a_foreign_row(self):
        """Guards against a recorder that waits forever for its append at a taken position."""
        put_foreign(self.table, 2, DEEP_MSGPACK)
        fleet, replies = self.nodes[0], []
        callbacks = Callbacks(
            lambda ticket, reply: replies.append((ticket, reply)), *[lambda *_: None] * 4
        )
        io = NodeIo(self.table, None, fleet, *[None] * 2, callbacks, str, None, BootClock(), None)
        recorder = Recorder(random.Random(1))
        recorder.propose("b", entry_after(fleet, "b").commands)
        now_ns = 0
        for _ in range(5):
            now_ns += 10**10
            request = recorder.tick(now_ns, fleet)
            if request is None:
                break
            io._append(request)
            ticket, reply = replies.pop()
            data = recorder.on_reply(ticket, reply, now_ns)
            records = [(0, data)] if data else getattr(reply, "records", ())
            for position, record in records:
                applied = self.followers[0].offer(record, "", position)
                if applied is not None:
                    recorder.on_applied(applied[0])
        self.assertEqual((fleet.version, len(fleet.sessions), recorder.pending), (3, 2, 0))


class UnexpectedErrorTest(unittest.TestCase):
    """Errors that no part of the program expects."""

    def test_an_append_always_has_a_reply(self):
        """Guards against a recorder that waits forever after an unexpected error of the store."""
        replies = []
        callbacks = Callbacks(lambda ticket, reply: replies.append(reply), *[lambda *_: None] * 4)
        table = mock.Mock(commit=mock.Mock(side_effect=OverflowError("odd")))
        io = NodeIo(table, None, FleetState(), *[None] * 2, callbacks, str, None, BootClock(), None)
        io.run(StoreRequest(1, 0, "x", b""))
        gevent.sleep(0.01)
        self.assertEqual(replies, [OutcomeUnknown()])

    def test_a_checkpoint_of_another_writer_is_passed_over(self):
        """Guards against a node that cannot start because of one odd object in the store."""
        fleet = FleetState()
        fleet.apply(entry_after(fleet, "a"))
        objects = {checkpoint_key(1): dump_fleet(fleet), checkpoint_key(10**15): DEEP_MSGPACK}
        store = SimpleNamespace(keys=lambda prefix: sorted(objects), get=objects.get)
        restored = FleetState()
        callbacks = Callbacks(*[lambda *_: None] * 5)
        io = NodeIo(
            FakeTable(), store, restored, *[None] * 2, callbacks, str, None, BootClock(), None
        )
        io._load_checkpoint()
        self.assertEqual(restored.version, 1)

    def test_a_deep_message_is_rejected(self):
        """Guards against a datagram that raises an error which is not a decoding error."""
        codec = Codec("secret", 1)
        self.assertIsNone(codec.decode(codec.sign(DEEP_MSGPACK)))
        self.assertEqual(codec.rejected["format"], 1)


class OddAddressTest(unittest.TestCase):
    """Addresses from a log that another writer can reach."""

    def test_no_address_raises_an_unexpected_error(self):
        """Guards against a node that fails in each renewal because one address is odd."""
        own = f"127.0.0.1:{reserve_port()}"
        link = SimpleNamespace(record_sent=lambda size: None)
        udp = UdpSocket(own, lambda data, address: None, str, link)
        try:
            for address in ODD_ADDRESSES:
                with self.subTest(address=address[:40]):
                    udp.send(address, b"x")
                    with self.assertRaises((NotRunError, OutcomeUnknownError)):
                        HttpPeer(address).fetch("GET", "/", timeout_s=0.2)
        finally:
            udp.close()
        self.assertEqual(udp.traffic.send_errors, len(ODD_ADDRESSES))


class OddSettingsTest(unittest.TestCase):
    """Desired states, settings records and settings files that cannot be read."""

    def test_odd_desired_states_are_settings_errors(self):
        """Guards against a poll of the settings that ends for good."""
        encoded = msgspec.json.encode(DESIRED_STATE)
        odd = [DEEP, b'{"version":1,"resources":' + DEEP, b"\xff", b""]
        odd.append(encoded.replace(b'"version":7', b'"version":' + b"9" * 30))
        odd.append(encoded.replace(b'"timeout-ms":1000', b'"timeout-ms":18446744073709551615'))
        for data in odd:
            with self.subTest(data=data[:60]), self.assertRaises(SettingsError):
                decode_desired_state(data, RetryLimits(0.2, 56))

    def test_an_odd_record_of_the_settings_log_is_a_settings_error(self):
        """Guards against an error that the node does not expect from a settings record."""
        with self.assertRaises(SettingsError):
            LogSettings(FakeTable()).decode(1, DEEP_MSGPACK)

    def test_an_odd_settings_file_is_a_settings_error(self):
        """Guards against a reload that ends the process or an error without the file's name."""
        path = mock.Mock(read_bytes=lambda: DEEP)
        with self.assertRaises(SettingsError):
            load_boot_file(path)

    def test_deep_entries_are_decoding_errors(self):
        """Guards against an entry of a push that raises an error which is not a ValueError."""
        with self.assertRaises(ValueError):
            decode_entry(DEEP_MSGPACK)


if __name__ == "__main__":
    unittest.main()
