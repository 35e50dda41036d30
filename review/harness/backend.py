"""Stand-in for an application backend: runs requests, sends liveness reports and holds keys."""

import asyncio
import contextlib
import json
import secrets
import time
from dataclasses import dataclass, field

from . import http11
from .record import Record

REPORT_TIMEOUT_S = 1.0
RELEASE_REPORT_DELAY_S = 0.1
KEYS = 65_536


@dataclass
class Hold:
    """A range of keys that a backend holds."""

    first: int
    last: int
    fence: int

    def __contains__(self, key: int) -> bool:
        return self.first <= key <= self.last


@dataclass
class Options:
    """Properties of a backend.

    Attributes:
        service: Its service.
        address: ``ip:port`` on which it serves requests.
        control: Address of the node beside it, for liveness reports.
        zone: Its zone.
        heartbeat_ms: Interval of its reports.
        slots: Requests that it runs at once; others wait.
        work_ms: Time that a request takes.
        sharded: Whether it runs only requests whose key it holds.
        crashing_target: A request with this target crashes it, empty for none.
    """

    service: str
    address: str
    control: str
    zone: str
    heartbeat_ms: int
    slots: int = 6
    work_ms: float = 20.0
    sharded: bool = False
    crashing_target: str = ""


@dataclass
class Backend:
    """One lifetime of a backend.

    Attributes:
        name: Its instance id.
        state: State that it reports.
        late_reports: Liveness reports with these sequence numbers arrive so many seconds late.
    """

    name: str
    options: Options
    record: Record
    state: str = "ready"
    late_reports: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.held: list[Hold] = []
        self.held_until_s = 0.0
        self.has_crashed = False
        self._freed: list[tuple[int, int, str]] = []
        self._highest_fences: list[Hold] = []
        self._working: dict[int, int] = {}
        self._slots = asyncio.Semaphore(self.options.slots)
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._connections: set[asyncio.StreamWriter] = set()
        self._expiry: asyncio.TimerHandle | None = None

    # Serving

    async def start(self, *, reports: bool = True) -> None:
        """Starts to serve, and to report unless told otherwise."""
        host, _, port = self.options.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=http11.MAX_LINE_BYTES
        )
        self.record.add("backend starts", backend=self.name, service=self.options.service)
        if reports:
            self.start_reports()

    def start_reports(self) -> None:
        """Starts the periodic liveness reports."""
        self._tasks.append(asyncio.create_task(self._report_forever()))

    def stop_reports(self) -> None:
        """Ends the periodic liveness reports."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()

    async def exit(self) -> None:
        """Ends the process of the backend: its listener and connections close."""
        self.record.add("backend exits", backend=self.name)
        self.stop_reports()
        self._drop_holds("exit")
        self._server.close()
        for writer in tuple(self._connections):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while (request := await http11.read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, request: http11.Message) -> bytes:
        attempt = request.headers.get("x-auburnsail-attempt-id", "")
        echo = {"X-Auburnsail-Attempt-Id": attempt}
        not_run = {"X-Auburnsail-Not-Executed": "1", "X-Auburnsail-Instance-Id": self.name}
        self.record.add("request reaches backend", backend=self.name, id=attempt)
        expected = request.headers.get("x-auburnsail-expect-instance")
        if expected is not None and expected != self.name:
            self.record.add("backend refuses", backend=self.name, id=attempt, why="instance")
            return http11.encode_answer("421 Misdirected Request", echo | not_run)
        key = int(request.headers.get("x-auburnsail-shard-key", "-1"))
        if self.options.sharded and not self.holds(key):
            self.record.add("backend refuses", backend=self.name, id=attempt, why="key", key=key)
            return http11.encode_answer("421 Misdirected Request", echo | not_run)
        deadline_ms = request.headers.get("x-auburnsail-deadline-ms")
        received_s = time.monotonic()
        async with self._slots:
            waited_ms = (time.monotonic() - received_s) * 1000
            if deadline_ms is not None and waited_ms >= float(deadline_ms):
                return http11.encode_answer("503 Service Unavailable", echo | not_run)
            self.record.add(
                "backend runs", backend=self.name, id=attempt, key=key, target=request.target
            )
            if request.target == self.options.crashing_target:
                self.record.add("backend crashes", backend=self.name, id=attempt)
                await self.exit()
                self.has_crashed = True
                raise ConnectionAbortedError
            self._working[key] = self._working.get(key, 0) + 1
            try:
                await asyncio.sleep(self.options.work_ms / 1000)
            finally:
                self._working[key] -= 1
                if not self._working[key]:
                    del self._working[key]
        self.record.add("backend answers", backend=self.name, id=attempt)
        seal = echo | {"X-Auburnsail-Server-Seal": f"{self.name}.{attempt}"}
        load = f"{len(self._working)},0,{self.options.slots}"
        body = f"{attempt} from {self.name}".encode()
        return http11.encode_answer("200 OK", seal | {"X-Auburnsail-Server-Load": load}, body)

    # Keys

    def holds(self, key: int) -> bool:
        """Returns whether the backend holds a key now."""
        return time.monotonic() < self.held_until_s and any(key in row for row in self.held)

    def _accept_grant(self, rows: list[list], hold_ms: float, sent_s: float) -> None:
        granted = [Hold(first, last, fence) for first, last, fence, _ in rows]
        accepted = [row for row in granted if not self._has_higher_fence(row)]
        released = _subtract(self.held, accepted)
        for row in released:
            self._freed.append((row.first, row.last, secrets.token_hex(8)))
        self.held = accepted
        self.held_until_s = sent_s + hold_ms / 1000
        self._highest_fences = [
            *accepted,
            *(row for row in _subtract(self._highest_fences, accepted)),
        ]
        if self._expiry is not None:
            self._expiry.cancel()
        delay_s = max(0.0, self.held_until_s - time.monotonic())
        self._expiry = asyncio.get_running_loop().call_later(delay_s, self._drop_holds, "expired")
        self._record_holds("granted" if accepted else "none granted")

    def _has_higher_fence(self, row: Hold) -> bool:
        return any(
            seen.fence > row.fence and seen.first <= row.last and row.first <= seen.last
            for seen in self._highest_fences
        )

    def _drop_holds(self, why: str) -> None:
        if self.held:
            self.held = []
            self._record_holds(why)

    def _record_holds(self, why: str) -> None:
        keys = sum(row.last - row.first + 1 for row in self.held)
        rows = [(row.first, row.last, row.fence) for row in self.held[:4]]
        self.record.add("holds", backend=self.name, keys=keys, rows=rows, why=why)
        self.record.set_holds(self.name, [(row.first, row.last) for row in self.held])

    # Liveness reports

    def report_body(self) -> dict:
        """Returns the next report; each has a higher sequence number."""
        self.sequence += 1
        options = self.options
        body = {
            "address": options.address,
            "born": self.born_ms,
            "info": {
                "service": options.service,
                "version": "v1",
                "zone": options.zone,
                "slots": options.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "cold-remaining-ms": 0},
        }
        if options.sharded:
            working = [Hold(key, key, 0) for key in self._working if not self.holds(key)]
            body["holds"] = [[row.first, row.last, row.fence] for row in (*self.held, *working)]
            body["freed"] = list(self._freed)
        return body

    async def send_report(self) -> bool:
        """Sends a report and applies the grant in its answer; returns whether it was acknowledged."""
        body, sent_s = self.report_body(), time.monotonic()
        sequence, freed = self.sequence, len(self._freed)
        delay_s = self.late_reports.get(sequence, 0.0)
        self.record.add(
            "report sent", backend=self.name, sequence=sequence, state=self.state, late_s=delay_s
        )
        if delay_s:
            # The sender takes the report for lost after a second; its bytes arrive later.
            self.record.keep(asyncio.create_task(self._deliver_late(body, delay_s)))
            await asyncio.sleep(REPORT_TIMEOUT_S)
            return False
        try:
            answer = await self._post(f"/Instances.Heartbeat/{self.name}", body)
        except (OSError, EOFError, TimeoutError) as error:
            self.record.add(
                "report failed", backend=self.name, sequence=sequence, error=repr(error)
            )
            return False
        if answer is None or not 200 <= answer.status < 300:
            return False
        self.record.add("report acknowledged", backend=self.name, sequence=sequence)
        del self._freed[:freed]
        grant = json.loads(answer.body or b"{}")
        if self.options.sharded and "holds" in grant:
            self._accept_grant(grant["holds"], grant["hold-ms"], sent_s)
        return True

    async def deregister(self) -> bool:
        """Says that the backend leaves; returns whether that was acknowledged."""
        self.record.add("deregistration sent", backend=self.name)
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            body = {"born": self.born_ms}
            answer = await self._post(f"/Instances.Deregister/{self.name}", body)
            if answer is not None and 200 <= answer.status < 300:
                self.record.add("deregistration acknowledged", backend=self.name)
                return True
        return False

    async def _post(self, target: str, body: dict) -> http11.Message | None:
        return await http11.exchange(
            self.options.control,
            "POST",
            target,
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
            timeout_s=REPORT_TIMEOUT_S,
        )

    async def _deliver_late(self, body: dict, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        sequence = body["status"]["sequence"]
        self.record.add("late report arrives", backend=self.name, sequence=sequence)
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            await self._post(f"/Instances.Heartbeat/{self.name}", body)

    async def _report_forever(self) -> None:
        while True:
            await self.send_report()
            has_freed = bool(self._freed)
            delay_s = RELEASE_REPORT_DELAY_S if has_freed else self.options.heartbeat_ms / 1000
            await asyncio.sleep(delay_s)


def _subtract(rows: list[Hold], removed: list[Hold]) -> list[Hold]:
    """Returns the parts of key ranges that no removed range contains."""
    remaining = list(rows)
    for cut in removed:
        parts = []
        for row in remaining:
            if cut.last < row.first or row.last < cut.first:
                parts.append(row)
                continue
            if row.first < cut.first:
                parts.append(Hold(row.first, cut.first - 1, row.fence))
            if cut.last < row.last:
                parts.append(Hold(cut.last + 1, row.last, row.fence))
        remaining = parts
    return remaining
