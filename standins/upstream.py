"""Stand-in for an upstream that runs requests and keeps a ledger of every execution.

docs/standins.md describes its protocol, its faults and its ledger.
"""

import errno
import itertools
import os
import random
import re
import signal
import time
from pathlib import Path

import click
import gevent
import msgspec

from .announce import announce_forever
from .grants import FencedGrant, GrantBook, is_expired, parse_grant
from .ledger import (
    CANCELLED,
    COMPLETED,
    CRASHED,
    DEADLINE,
    DEFAULT_LIMIT,
    LAPSED,
    Execution,
    Ledger,
    now_ns,
)
from .reports import LaggingReports
from .server import ENVIRON_KEY, Connection, UpstreamServer
from .upstream_model import Counters, Faults, Options

BLOCK_BYTES = 64 * 1024
CRASH_STATUS = 70
DRAIN_BOUND_S = 2.0
DRAIN_REFUSE_AFTER_S = 3.0
DOWNLOAD = re.compile(r"/download/(\d+)$")
SLOW = re.compile(r"/slow/(\d+)$")
MEGABYTE = 1 << 20
NOT_RUN = ("auburnsail-not-run", "1")
STATUS_LINES = {
    200: "200 OK",
    404: "404 Not Found",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}


class Upstream:
    """WSGI application of the stand-in.

    Args:
        options: Properties of the upstream.
        ledger: Receives every execution.
    """

    def __init__(self, options: Options, ledger: Ledger) -> None:
        self._options = options
        self._ledger = ledger
        self._book = GrantBook()
        self._random = random.Random(options.name)
        self._started = time.monotonic()
        self._draining_since: float | None = None
        self._running = 0
        self.faults = Faults()
        self.counters = Counters()
        self.reports = LaggingReports(options.slots)
        self.server: UpstreamServer | None = None

    @property
    def state(self) -> str:
        """``ready`` or ``draining``."""
        return "ready" if self._draining_since is None else "draining"

    @property
    def running(self) -> int:
        """Number of requests that run now."""
        return self._running

    @property
    def draining_s(self) -> float:
        """Seconds since the drain began, 0 before it."""
        since = self._draining_since
        return 0.0 if since is None else time.monotonic() - since

    def begin_drain(self) -> None:
        """Announces that the upstream leaves; work is refused after three seconds."""
        if self._draining_since is None:
            self._draining_since = time.monotonic()

    def announcement(self, address: str) -> dict:
        """Returns what the upstream says of itself to the node beside it."""
        options = self._options
        return {
            "service": options.service,
            "address": address,
            "slots": options.slots,
            "connections": options.connections,
            "state": self.state,
            "checks_grants": options.grants != "ignored",
            "load": self.reports.load(self.faults.load_lag_ms, self.faults.load_factor),
        }

    def __call__(self, environ, start_response):
        """Serves one request."""
        path = environ["PATH_INFO"]
        if path.startswith("/admin/") or path in ("/load", "/health"):
            status, content = self._administer(path, environ)
            return _answer(start_response, status, msgspec.json.encode(content))
        connection = environ[ENVIRON_KEY]
        grant, reason = self._read_grant(environ)
        bytes_in = _read_body(environ)
        deadline_ms = float(environ.get("HTTP_AUBURNSAIL_DEADLINE_MS", "inf"))
        reason = reason or self._refusal(connection, grant, deadline_ms)
        if reason:
            return self._refuse(reason, start_response)
        execution = Execution(
            number=0,
            upstream=self._options.name,
            request_id=environ.get("HTTP_X_REQUEST_ID", ""),
            method=environ["REQUEST_METHOD"],
            path=path,
            grant=environ.get("HTTP_AUBURNSAIL_GRANT", ""),
            started_ns=now_ns(),
            bytes_in=bytes_in,
        )
        self._ledger.begin(execution)
        self._running += 1
        self.counters.most_running = max(self.counters.most_running, self._running)
        slow = SLOW.search(path)
        seconds = self._seconds(slow[1] if slow else environ.get("HTTP_STANDIN_SERVICE_MS"))
        if "HTTP_STANDIN_CRASH" in environ or (
            self.faults.crash_path and self.faults.crash_path in path
        ):
            gevent.sleep(seconds / 2)
            self._ledger.end(execution, CRASHED)
            os._exit(CRASH_STATUS)
        return self._run(execution, grant, connection, seconds, deadline_ms / 1000, start_response)

    def _run(self, execution, grant, connection, seconds, deadline_s, start_response):
        """Runs a request for some time; the slot is held until the answer has been passed on."""
        outcome = CANCELLED
        try:
            if connection.wait_closed(min(seconds, deadline_s)):
                raise ConnectionResetError(errno.ECONNRESET, "the caller cancelled the request")
            if deadline_s < seconds:
                outcome = DEADLINE
            elif self._options.stop_at_expiry and grant and is_expired(grant, now_ns()):
                outcome = LAPSED
            if outcome != CANCELLED:
                self.server.keep_silent(connection)
                status = 504 if outcome == DEADLINE else 503
                yield from _answer(start_response, status, outcome.encode())
                return
            found = DOWNLOAD.search(execution.path)
            blocks = _blocks(int(found[1]) * MEGABYTE) if found else [self._body(execution)]
            size = int(found[1]) * MEGABYTE if found else len(blocks[0])
            if not found:
                # The work is done here; what becomes of a short answer does not change that.
                outcome = COMPLETED
            self.server.keep_silent(connection)
            start_response(STATUS_LINES[200], _fields(execution, self._options.name, size))
            if execution.method != "HEAD":
                for block in blocks:
                    execution.bytes_out += len(block)
                    yield block
            outcome = COMPLETED
        finally:
            self._running -= 1
            self._ledger.end(execution, outcome)
            count(self.counters.outcomes, outcome)

    def _body(self, execution: Execution) -> bytes:
        return msgspec.json.encode(
            {
                "upstream": self._options.name,
                "request": execution.request_id,
                "bytes": execution.bytes_in,
                "execution": execution.number,
            }
        )

    def _read_grant(self, environ: dict) -> tuple[FencedGrant | None, str]:
        text = environ.get("HTTP_AUBURNSAIL_GRANT")
        if self._options.grants == "ignored":
            return None, ""
        if text is None:
            return None, "grant-missing" if self._options.grants == "required" else ""
        try:
            return parse_grant(text), ""
        except ValueError:
            return None, "grant-malformed"

    def _refusal(
        self, connection: Connection, grant: FencedGrant | None, deadline_ms: float
    ) -> str:
        """Returns why a request is not run, or an empty string."""
        if not self.server.admit_work(connection, self._options.connections):
            return "connections-full"
        if self.draining_s > DRAIN_BOUND_S:
            self.counters.late_work += 1
        if self.draining_s > DRAIN_REFUSE_AFTER_S:
            return "draining"
        if self.faults.shed_share and self._random.random() < self.faults.shed_share:
            return "shed"
        if deadline_ms <= 0:
            return "deadline-passed"
        if self._running >= self._options.slots:
            return "slots-full"
        return self._book.refusal(grant, now_ns()) if grant else ""

    def _refuse(self, reason: str, start_response) -> list[bytes]:
        count(self.counters.refused, reason)
        status = self.faults.shed_status if reason in ("shed", "slots-full") else 503
        body = msgspec.json.encode({"reason": reason, "upstream": self._options.name})
        return _answer(start_response, status, body, [NOT_RUN])

    def _seconds(self, override_ms: str | None) -> float:
        """Returns how long a request takes now."""
        milliseconds = self._options.service_ms if override_ms is None else float(override_ms)
        if self._options.spread == "exponential" and override_ms is None:
            milliseconds = self._random.expovariate(1 / milliseconds)
        warm = (time.monotonic() - self._started) / (self._options.cold_start_s or 1e-9)
        factor = 1 + (self._options.cold_factor - 1) * max(0.0, 1 - warm)
        return milliseconds * factor / self.faults.speed / 1000

    def _administer(self, path: str, environ: dict) -> tuple[int, object]:
        content = environ["wsgi.input"].read()
        faults = self.faults
        match path:
            case "/admin/ledger":
                after = int(environ["QUERY_STRING"].removeprefix("after=") or 0)
                return 200, list(itertools.islice(self._ledger.executions, after, None))
            case "/admin/faults":
                if content:
                    self._set_faults(msgspec.json.decode(content, type=Faults))
                return 200, self.faults
            case "/admin/drain":
                self.begin_drain()
                return 200, {"state": self.state}
            case "/admin/counters":
                return 200, self._counted()
            case "/load":
                load = self.reports.load(faults.load_lag_ms, faults.load_factor)
                return 200, {"load": load, "slots": self._options.slots}
            case "/health":
                is_up = self.reports.is_healthy(faults.health_lag_ms, faults.health)
                return (200 if is_up else 503), {"healthy": is_up, "state": self.state}
        return 404, {"reason": "no such path"}

    def _counted(self) -> dict:
        return msgspec.structs.asdict(self.counters) | {
            "executions": self._ledger.count,
            "running": self._running,
            "slots": self._options.slots,
            "connections": self._options.connections,
            "working_connections": self.server.working,
            "most_connections": self.server.most_working,
            "state": self.state,
        }

    def _set_faults(self, faults: Faults) -> None:
        if faults.silence:
            self.server.silence_accepted()
        if faults.freeze_ms:
            # The answer leaves first. The sleep is that of the process and not that of gevent.
            gevent.spawn_later(0.02, time.sleep, faults.freeze_ms / 1000)
        self.faults = msgspec.structs.replace(faults, silence=False, freeze_ms=0.0)


def count(counts: dict[str, int], name: str) -> None:
    """Adds one to a named count."""
    counts[name] = counts.get(name, 0) + 1


def _read_body(environ: dict) -> int:
    stream = environ["wsgi.input"]
    size = 0
    while block := stream.read(BLOCK_BYTES):
        size += len(block)
    return size


def _fields(execution: Execution, name: str, size: int) -> list[tuple[str, str]]:
    return [
        ("x-request-id", execution.request_id),
        ("x-upstream", name),
        ("content-length", str(size)),
    ]


def _answer(start_response, status: int, body: bytes, extra=()) -> list[bytes]:
    start_response(STATUS_LINES[status], [("content-length", str(len(body))), *extra])
    return [body]


def _blocks(size: int):
    block = bytes(range(256)) * (BLOCK_BYTES // 256)
    for _ in range(size // BLOCK_BYTES):
        yield block


def leave(upstream: Upstream, server: UpstreamServer) -> None:
    """Drains the upstream and ends the process when nothing runs any more."""
    upstream.begin_drain()
    while upstream.draining_s < DRAIN_REFUSE_AFTER_S or upstream.running:
        gevent.sleep(0.05)
    server.stop(timeout=1)
    os._exit(0)


@click.command()
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--listen", required=True, help="ip:port to listen on.")
@click.option("--node", default="", help="Control address of the node beside the upstream.")
@click.option("--slots", default=12, show_default=True, help="Requests that run at one time.")
@click.option("--connections", default=100, show_default=True, help="Connections with work.")
@click.option("--connect-ms", default=1.0, show_default=True, help="Cost of a new connection.")
@click.option("--service-ms", default=1.0, show_default=True, help="Time that a request takes.")
@click.option("--spread", type=click.Choice(["fixed", "exponential"]), default="fixed")
@click.option(
    "--grants",
    type=click.Choice(["required", "optional", "ignored"]),
    default="optional",
    show_default=True,
    help="Whether a request needs a grant, one that comes is checked, or none is looked at.",
)
@click.option("--stop-at-expiry", is_flag=True, help="Work does not outlast its grant.")
@click.option("--cold-start-s", default=0.0, help="Time until a new upstream has full speed.")
@click.option("--cold-factor", default=4.0, help="How much slower the first request is.")
@click.option("--ledger", type=click.Path(path_type=Path), help="File that outlives a crash.")
@click.option("--ledger-limit", default=DEFAULT_LIMIT, help="Executions kept in memory.")
def main(
    listen: str, node: str, connect_ms: float, ledger: Path | None, ledger_limit: int, **values
) -> None:
    """Runs an upstream stand-in."""
    host, _, port = listen.rpartition(":")
    upstream = Upstream(Options(**values), Ledger(ledger, ledger_limit))
    server = UpstreamServer((host, int(port)), upstream, connect_ms)
    upstream.server = server
    server.start()
    gevent.signal_handler(signal.SIGTERM, leave, upstream, server)
    gevent.spawn(
        upstream.reports.sample_forever, lambda: (upstream.running, upstream.state == "ready")
    )
    if node:
        announce_forever(node, lambda: upstream.announcement(listen))
    server.serve_forever()


if __name__ == "__main__":
    main()
