"""Writes odd entries to the store and the nodes of a fleet on the users' platform."""

from __future__ import annotations

import base64
import contextlib
import random
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent import socket
from structlog.testing import capture_logs

from auburnsail._checked_input import Count
from auburnsail._checkpoint import CHECKPOINT_PREFIX
from auburnsail._messages import Codec, Versions
from auburnsail._versioned_log import LogRecord
from auburnsail.exceptions import SettingsError
from auburnsail.platform._boot_file import FLEET_SECRET
from auburnsail.platform._desired_state import RetryLimits, decode_desired_state
from tools.fuzz import REQUEST_HEAD, mutate_bytes, mutate_value
from tools.fuzz_platform_load import HOST, TIMEOUT_MS
from tools.fuzz_platform_logs import ExpectedLines, Line, line_of
from tools.fuzz_platform_upstream import build_report

if TYPE_CHECKING:
    from tools.fuzz_platform import PlatformFleet, Vm

__all__ = ["SETTINGS_BOUND_S", "EntryWriter"]

PAUSE_S = (0.0, 0.2)
# A node that starts reads all rows, and its log lets 400 lines through at once.
MAX_ROWS = 300
# Between an odd desired state and the regular one that replaces it.
SETTINGS_PAUSE_S = (0.3, 1.5)
# A settings change is in force everywhere so long after its acceptance or the last outage (P8).
SETTINGS_BOUND_S = 7.0
LOG_INTERVAL_S = 0.5
# Bounds the reads of the logs while nodes still refuse inputs.
MAX_LOG_READS = 50
LOG_KEY = "log/{:016d}"
FAR_POSITION = 10**15
DEEP_ROW = b"\x91" * 200_000
SOCKET_TIMEOUT_S = 0.5
MAX_DATAGRAM_BYTES = 60_000
LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 1_000_000,
    "header-timeout-ms": 3_000,
    "idle-timeout-ms": 60_000,
}
FLEET_LOG = "fleet-log"
FLEET_ENTRY = "fleet-entry"


class EntryWriter:
    """Writes entries of each kind in a greenlet of its own, with its own source.

    Args:
        fleet: The fleet.
        seed: Seed of the entries.
        record_share: Share of the odd rows of the fleet log that are records of their position,
            whose content is no entry of it.

    Attributes:
        counts: Number of entries by kind.
    """

    def __init__(self, fleet: PlatformFleet, seed: int, record_share: float) -> None:
        self._fleet = fleet
        self._seed = seed
        self._record_share = record_share
        self._version = 0
        self._codec = Codec(FLEET_SECRET, 1)
        self._expected = ExpectedLines()
        self._last_foreign_position = 0
        self._foreign: set[bytes] = set()
        self._entries: list[bytes] = []
        self._row_lines: dict[str, set[Line]] = {}
        self.counts: Counter[str] = Counter()

    def start(self, duration_s: float) -> list[gevent.Greenlet]:
        """Starts to write entries; returns the greenlets, which run until they are killed.

        Args:
            duration_s: Time until then, over which the rows are spread.
        """
        row_pause_s = (0.0, max(PAUSE_S[1], 2 * duration_s / MAX_ROWS))
        rows: dict[str, Callable[[random.Random], None]] = {
            "log rows": self._write_log_row,
            "other rows": self._write_other_row,
        }
        writes: dict[str, Callable[[random.Random], None]] = {
            "objects": self._write_object,
            "reports": self._send_report,
            "datagrams": self._send_datagram,
            "bytes": self._send_bytes,
        }
        tasks = [gevent.spawn(self._write_forever, *item, row_pause_s) for item in rows.items()]
        tasks += [gevent.spawn(self._write_forever, *item, PAUSE_S) for item in writes.items()]
        write = self._write_settings
        return [*tasks, gevent.spawn(self._write_forever, "settings", write, SETTINGS_PAUSE_S)]

    def settings(self) -> bytes:
        """Returns the next regular desired state, with a route for a path that no other has."""
        return msgspec.json.encode(self._next_settings())

    def change_settings(self) -> str:
        """Writes the next regular desired state; returns the path that only it has a route for."""
        settings = self.settings()
        self._fleet.put("op", "config", settings)
        return f"/v{self._version}/"

    def record_odd_answers(self, recorded: dict) -> None:
        """Adds what the store recorded of its odd answers.

        They may show a row as another one, or with another content. A node that reads a position
        of the fleet log from such an answer logs the content that it was shown, and passes on an
        entry without commands, so that no other node may see the row itself.
        """
        self.counts.update(recorded.get("counts", {}))
        for key, shown, current in recorded.get("changed-rows", ()):
            for value in (shown, current):
                if value is not None:
                    with contextlib.suppress(ValueError):
                        self._expected.rows[line_of(FLEET_LOG, base64.b64decode(value))] += 1
            if shown is not None:
                self._row_lines.get(key, set()).update(_lines_of_row(shown))

    def behind(self) -> list[str]:
        """Returns the nodes that have not read the last odd row of the fleet log."""
        versions = {vm: self._fleet.gauges(vm).get("fleet_version", 0) for vm in self._fleet.vms}
        position = self._last_foreign_position
        return [
            f"{vm.name} is at {version}, row {position} is not read"
            for vm, version in versions.items()
            if version < position
        ]

    def findings(self) -> list[str]:
        """Returns what is wrong with the log lines of the entries."""
        fleet, findings = self._fleet, []
        for vm in fleet.vms:
            errors = fleet.gauges(vm).get("unexpected_errors")
            if errors != 0:
                findings.append(f"{vm.name}: unexpected errors {errors}")
        refused, counted = self._refused_inputs()
        self.counts["expected lines"] = len(self._expected.entries)
        self.counts["dropped lines"] = sum(fleet.logs.dropped(vm.name) for vm in fleet.vms)
        return findings + self._expected.findings(refused, counted)

    def _refused_inputs(self) -> tuple[dict[str, Counter[Line]], dict[str, int]]:
        """Returns the refused inputs by node, as logged and as counted.

        A node may refuse an input between the read of its gauges and that of its log, so both are
        read again until no number has changed meanwhile.
        """
        fleet, counted = self._fleet, self._counted_inputs()
        for _ in range(MAX_LOG_READS):
            refused = {vm.name: fleet.logs.refused(vm.name) for vm in fleet.vms}
            before, counted = counted, self._counted_inputs()
            if counted == before:
                break
        return refused, counted

    def _counted_inputs(self) -> dict[str, int]:
        """Returns the number of refused inputs of each node that is not killed."""
        gauges = {vm.name: self._fleet.gauges(vm) for vm in self._fleet.vms[:-1]}
        return {name: int(values.get("inputs_rejected", -1)) for name, values in gauges.items()}

    def _write_forever(
        self, name: str, write: Callable[[random.Random], None], pause_s: tuple[float, float]
    ) -> None:
        rng = random.Random(f"{name}-{self._seed}")
        while True:
            gevent.sleep(rng.uniform(*pause_s))
            write(rng)
            self.counts[name] += 1

    def _next_settings(self) -> dict:
        self._version += 1
        route = {"host": HOST, "timeout-ms": TIMEOUT_MS, "target-latency-ms": 400}
        routes = {
            "/k/": {"kind": "safe", "service": "s1", "max-attempts": 2},
            "/p/": {"kind": "unsafe", "service": "s1"},
            "/u/": {"kind": "safe", "weighted-split": [{"service": "s2", "weight": 10}]},
            f"/v{self._version}/": {"kind": "safe", "service": "s2"},
        }
        resources = [
            ("routes", prefix, route | {"path-prefix": prefix} | spec)
            for prefix, spec in routes.items()
        ]
        resources += [
            ("services", "s1", {"max-connections": 200, "sharded": True}),
            ("services", "s2", {"max-connections": 200}),
            ("limits", "", LIMITS),
        ]
        return {
            "version": self._version,
            "resources": [
                {"resource-type": kind, "metadata": {"name": name}, "spec": spec}
                for kind, name, spec in resources
            ],
        }

    def _write_settings(self, rng: random.Random) -> None:
        """Writes an odd desired state, and a regular one after a pause."""
        settings = self._next_settings()
        data = msgspec.json.encode(mutate_value(rng, settings))
        if rng.random() < 0.4:
            data = mutate_bytes(rng, data)
        if rng.random() < 0.1:
            data = msgspec.json.encode(settings | {"version": rng.randrange(self._version)})
        version = _version_of(data)
        lines: set[Line] = set()
        with capture_logs() as events:
            try:
                decode_desired_state(data, RetryLimits(0.2, 56))
            except SettingsError:
                lines = {(e["source"], e["size"], e["excerpt"]) for e in events}
        is_newer = version is None or version >= self._version
        self._version = max(self._version, version or 0)
        is_written = self._fleet.put("op", "config", data)
        gevent.sleep(rng.uniform(*SETTINGS_PAUSE_S))
        if is_written and lines and is_newer:
            self._wait_for_line(lines)
            self._expected.entries.append((f"desired state {data[:200]!r}", lines))
        self.change_settings()

    def _wait_for_line(self, lines: set[Line]) -> None:
        """Waits until a node has logged one of some lines, at most for the bound of P8."""
        with gevent.Timeout(SETTINGS_BOUND_S, False):
            while not any(
                lines & self._fleet.logs.refused(vm.name).keys() for vm in self._fleet.vms
            ):
                gevent.sleep(LOG_INTERVAL_S)

    def _write_log_row(self, rng: random.Random) -> None:
        """Takes the next position of the fleet log."""
        rows = self._log_rows(max(0, self._last_foreign_position - 1))
        if not rows:
            return
        position = max(rows) + 1
        self._entries += [data for data in rows.values() if data not in self._foreign]
        value, line = self._odd_row(rng, position)
        self._expected.rows[line] += 1
        key = LOG_KEY.format(position)
        if self._fleet.put("fleet", key, value, expected=0):
            self._last_foreign_position = position
            self._foreign.add(value)
            self._row_lines[key] = {line}
            text = f"row {position} {len(value)} bytes {value[:60]!r}"
            self._expected.entries.append((text, self._row_lines[key]))

    def _odd_row(self, rng: random.Random, position: int) -> tuple[bytes, Line]:
        """Returns a row that is no entry of a position, and the line that stands for it."""
        if rng.random() < self._record_share:
            # A record of its position, whose content is no entry of that position.
            data = msgspec.msgpack.decode(rng.choice(self._entries), type=LogRecord).data
            odd_data = (b"\xc1%d" % position, b"\x91" * (200_000 + position), b"", data, data)
            data = rng.choice(odd_data)
            record = LogRecord(position, f"odd-{position}", data)
            value = msgspec.msgpack.encode(record)
            return value, line_of(FLEET_ENTRY, data) if data else line_of(FLEET_LOG, value)
        entry = rng.choice(self._entries)
        deep = b"\x91" * (200_000 + position)
        odd_values = (b"", b"\xc1%d" % position, deep, rng.randbytes(50), mutate_bytes(rng, entry))
        value = rng.choice((*odd_values, entry))
        return value, line_of(FLEET_LOG, value)

    def _log_rows(self, after: int) -> dict[int, bytes]:
        target = f"/rows-get?table=fleet&part=&from={LOG_KEY.format(after)}&target=log/~&limit=500"
        _, body = self._fleet.call(self._fleet.store, "GET", target)
        try:
            rows = msgspec.json.decode(body)["rows"]
            keys = {row["key"]: base64.b64decode(row["value"]) for row in rows}
        except (msgspec.DecodeError, ValueError, KeyError, TypeError):
            return {}
        positions = {key[4:]: value for key, value in keys.items() if len(str(key)) == 20}
        return {
            int(name): value
            for name, value in positions.items()
            if name.isdecimal() and int(name) < FAR_POSITION
        }

    def _write_other_row(self, rng: random.Random) -> None:
        """Writes a row that no node expects, or one whose content no node reads."""
        between = f"{LOG_KEY.format(self._last_foreign_position)}x"
        far = LOG_KEY.format(FAR_POSITION)
        inside = f"log/x/{self._last_foreign_position + 1:016d}"
        key = rng.choice((between, inside, far, "log/x", "log/", "head", "\u00e9", "k" * 200))
        value = rng.choice((b"", DEEP_ROW, rng.randbytes(100)))
        self._expected.rows[line_of(FLEET_LOG, value)] += 1
        self._fleet.put(rng.choice(("fleet", "op", "other")), key, value)

    def _write_object(self, rng: random.Random) -> None:
        name = f"{CHECKPOINT_PREFIX}{rng.choice((1, 2, FAR_POSITION)):016d}".replace("/", ".")
        name = rng.choice((name, name, f"{CHECKPOINT_PREFIX}x".replace("/", ".")))
        body = rng.choice((b"", DEEP_ROW, rng.randbytes(100)))
        self._fleet.call(self._fleet.store, "PUT", f"/blob-put/{name}", body)

    def _send_report(self, rng: random.Random) -> None:
        vm = rng.choice(self._fleet.vms)
        report = build_report(vm.service, vm.upstream, 1_700_000_000_000, rng.randrange(1_000))
        report["holds"], report["freed"] = [[0, 4_095, 7]], [[4_096, 8_191, "5c0e"]]
        body = msgspec.json.encode(mutate_value(rng, report))
        if rng.random() < 0.4:
            body = mutate_bytes(rng, body)
        instance = rng.choice((f"{vm.name}-up", "other", "", "i" * 5_000, "%00%ff"))
        path = rng.choice(("Heartbeat", "Heartbeat", "Heartbeat", "Deregister"))
        if path == "Deregister" and instance == f"{vm.name}-up":
            instance = "another"
        # The run may end before the answer.
        self._expected.unanswered[vm.name] += 1
        status, _ = self._fleet.call(vm.report, "POST", f"/Instances.{path}/{instance}", body)
        self.counts[f"reports answered {status}"] += 1
        self._expected.reports[vm.name] += status == 400
        self._expected.unanswered[vm.name] -= status != 0

    def _send_datagram(self, rng: random.Random) -> None:
        vm = rng.choice(self._fleet.vms)
        body = mutate_bytes(rng, self._codec.encode(Versions(3, 4))[16:])
        host, _, port = vm.control.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(self._codec.sign(body)[:MAX_DATAGRAM_BYTES], (host, int(port)))

    def _send_bytes(self, rng: random.Random) -> None:
        host, _, port = rng.choice(_all_addresses(self._fleet.vms, rng)).rpartition(":")
        data = mutate_bytes(rng, REQUEST_HEAD) + b"\r\n\r\nabc"
        try:
            with socket.create_connection((host, int(port)), timeout=SOCKET_TIMEOUT_S) as sock:
                sock.sendall(data)
                sock.recv(4_096)
        except OSError:
            # A node may refuse the bytes by closing the connection, or wait for more.
            return


def _all_addresses(vms: list[Vm], rng: random.Random) -> tuple[str, ...]:
    return rng.choice(vms).addresses


def _lines_of_row(value: str) -> set[Line]:
    """Returns the lines of which a row leaves one if its value, in base64, is no entry."""
    try:
        data = base64.b64decode(value)
    except ValueError:
        return set()
    lines = {line_of(FLEET_LOG, data)}
    with contextlib.suppress(msgspec.MsgspecError, ValueError, RecursionError):
        lines.add(line_of(FLEET_ENTRY, msgspec.msgpack.decode(data, type=LogRecord).data))
    return lines


def _version_of(data: bytes) -> int | None:
    """Returns the version that a desired state states, None if no node can read it."""

    class _Stated(msgspec.Struct):
        version: Count

    try:
        return msgspec.json.decode(data, type=_Stated).version
    except (msgspec.MsgspecError, ValueError, RecursionError, OverflowError):
        return None
