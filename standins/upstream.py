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
from .grants import EpochFence, FencedGrant, is_expired, parse_grant
from .ledger import (
    CANCELLED,
    COMPLETED,
    CRASHED,
    DEADLINE,
    DEFAULT_MAX_KEPT_EXECUTIONS,
    LAPSED,
    Execution,
    Ledger,
    now_ns,
)
from .repeats import AnswerRepeater
from .reports import DelayedReports
from .server import CONNECTION_ENVIRON_KEY, Connection, UpstreamServer
from .upstream_model import Counters, Faults, Options

BLOCK_BYTES = 64 * 1024
CRASH_EXIT_CODE = 70
LATE_WORK_AFTER_S = 2.0
DRAIN_REFUSE_AFTER_S = 3.0
DOWNLOAD_PATH = re.compile(r"/download/(\d+)$")
SLOW_PATH = re.compile(r"/slow/(\d+)$")
MEBIBYTE = 1 << 20
NOT_RUN_HEADER = ("auburnsail-not-run", "1")
STATUS_LINES = {
    200: "200 OK",
    404: "404 Not Found",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}


class Upstream:
    """WSGI application of the upstream stand-in.

    Args:
        options: Properties of the upstream.
        ledger: Ledger in which each execution is recorded.

    Attributes:
        faults: Faults that are injected now.
        counters: Counters since the start.
        reports: Source of the reported load and health.
        server: The server that runs the application; set before the first request.
    """

    def __init__(self, options: Options, ledger: Ledger) -> None:
        self._options = options
        self._ledger = ledger
        self._epoch_fence = EpochFence()
        self._random = random.Random(options.name)
        self._started_s = time.monotonic()
        self._drain_started_s: float | None = None
        self._running = 0
        self.faults = Faults()
        self.counters = Counters()
        self.reports = DelayedReports(options.slots)
        self.server: UpstreamServer | None = None

    @property
    def state(self) -> str:
        """State of the upstream, ``ready`` or ``draining``."""
        return "ready" if self._drain_started_s is None else "draining"

    @property
    def running(self) -> int:
        """Number of requests that are running."""
        return self._running

    @property
    def draining_s(self) -> float:
        """Seconds since the drain began; 0 if it has not."""
        drain_started_s = self._drain_started_s
        return 0.0 if drain_started_s is None else time.monotonic() - drain_started_s

    def begin_drain(self) -> None:
        """Starts the drain: the state becomes ``draining``; requests are refused after 3 s."""
        if self._drain_started_s is None:
            self._drain_started_s = time.monotonic()

    def announcement(self, address: str) -> dict:
        """Returns the announcement for the local node.

        Args:
            address: ``ip:port`` of the upstream.
        """
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
        """Handles one request."""
        path = environ["PATH_INFO"]
        if path.startswith("/admin/") or path in ("/load", "/health"):
            status, content = self._serve_admin(path, environ)
            return _respond(start_response, status, msgspec.json.encode(content))
        connection = environ[CONNECTION_ENVIRON_KEY]
        grant, reason = self._read_grant(environ)
        bytes_in = _discard_body(environ)
        deadline_ms = float(environ.get("HTTP_AUBURNSAIL_DEADLINE_MS", "inf"))
        reason = reason or self._refusal_reason(connection, grant, deadline_ms)
        if reason:
            return self._respond_refused(reason, environ, start_response)
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
        slow_match = SLOW_PATH.search(path)
        service_time_s = self._service_time_s(
            slow_match[1] if slow_match else environ.get("HTTP_STANDIN_SERVICE_MS")
        )
        if "HTTP_STANDIN_CRASH" in environ or (
            self.faults.crash_path and self.faults.crash_path in path
        ):
            gevent.sleep(service_time_s / 2)
            self._ledger.end(execution, CRASHED)
            os._exit(CRASH_EXIT_CODE)
        return self._run(
            execution, grant, connection, service_time_s, deadline_ms / 1000, start_response
        )

    def _run(self, execution, grant, connection, service_time_s, deadline_s, start_response):
        """Runs a request for its service time; the slot is in use until the response is written."""
        outcome = CANCELLED
        try:
            if connection.wait_closed(min(service_time_s, deadline_s)):
                raise ConnectionResetError(errno.ECONNRESET, "the caller cancelled the request")
            if deadline_s < service_time_s:
                outcome = DEADLINE
            elif self._options.stop_at_expiry and grant and is_expired(grant, now_ns()):
                outcome = LAPSED
            if outcome != CANCELLED:
                self.server.block_if_silent(connection)
                status = 504 if outcome == DEADLINE else 503
                yield from _respond(start_response, status, outcome.encode())
                return
            download_match = DOWNLOAD_PATH.search(execution.path)
            blocks = (
                _download_blocks(int(download_match[1]) * MEBIBYTE)
                if download_match
                else [self._encode_body(execution)]
            )
            size = int(download_match[1]) * MEBIBYTE if download_match else len(blocks[0])
            if not download_match:
                # The work is complete, even if the short response cannot be delivered.
                outcome = COMPLETED
            self.server.block_if_silent(connection)
            start_response(
                STATUS_LINES[200], _response_headers(execution, self._options.name, size)
            )
            if execution.method != "HEAD":
                for block in blocks:
                    execution.bytes_out += len(block)
                    yield block
            outcome = COMPLETED
        finally:
            self._running -= 1
            self._ledger.end(execution, outcome)
            increment(self.counters.outcomes, outcome)

    def _encode_body(self, execution: Execution) -> bytes:
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

    def _refusal_reason(
        self, connection: Connection, grant: FencedGrant | None, deadline_ms: float
    ) -> str:
        """Returns the reason why a request is not run, or an empty string."""
        if not self.server.admit_work(connection, self._options.connections):
            return "connections-full"
        if self.draining_s > LATE_WORK_AFTER_S:
            self.counters.late_work += 1
        if self.draining_s > DRAIN_REFUSE_AFTER_S:
            return "draining"
        if self.faults.shed_share and self._random.random() < self.faults.shed_share:
            return "shed"
        if deadline_ms <= 0:
            return "deadline-passed"
        if self._running >= self._options.slots:
            return "slots-full"
        return self._epoch_fence.check(grant, now_ns()) if grant else ""

    def _respond_refused(self, reason: str, environ: dict, start_response) -> list[bytes]:
        increment(self.counters.refused, reason)
        status = self.faults.shed_status if reason in ("shed", "slots-full") else 503
        body = msgspec.json.encode({"reason": reason, "upstream": self._options.name})
        request_id = ("x-request-id", environ.get("HTTP_X_REQUEST_ID", ""))
        return _respond(start_response, status, body, [NOT_RUN_HEADER, request_id])

    def _service_time_s(self, override_ms: str | None) -> float:
        """Returns the service time of the next request in seconds.

        Args:
            override_ms: Service time that the request asks for, or None for the configured one.
        """
        service_ms = self._options.service_ms if override_ms is None else float(override_ms)
        if self._options.spread == "exponential" and override_ms is None:
            service_ms = self._random.expovariate(1 / service_ms)
        warm_share = (time.monotonic() - self._started_s) / (self._options.cold_start_s or 1e-9)
        factor = 1 + (self._options.cold_factor - 1) * max(0.0, 1 - warm_share)
        return service_ms * factor / self.faults.speed / 1000

    def _serve_admin(self, path: str, environ: dict) -> tuple[int, object]:
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
                return 200, self._counters_report()
            case "/load":
                load = self.reports.load(faults.load_lag_ms, faults.load_factor)
                return 200, {"load": load, "slots": self._options.slots}
            case "/health":
                is_up = self.reports.is_healthy(faults.health_lag_ms, faults.health)
                return (200 if is_up else 503), {"healthy": is_up, "state": self.state}
        return 404, {"reason": "no such path"}

    def _counters_report(self) -> dict:
        return msgspec.structs.asdict(self.counters) | {
            "executions": self._ledger.count,
            "running": self._running,
            "slots": self._options.slots,
            "connections": self._options.connections,
            "working_connections": self.server.working_connections,
            "most_connections": self.server.most_working_connections,
            "state": self.state,
        }

    def _set_faults(self, faults: Faults) -> None:
        if faults.silence:
            self.server.silence_accepted_connections()
        if faults.freeze_ms:
            # Delayed so that the response is sent first. Unlike gevent.sleep, time.sleep blocks the
            # whole process.
            gevent.spawn_later(0.02, time.sleep, faults.freeze_ms / 1000)
        self.faults = msgspec.structs.replace(faults, silence=False, freeze_ms=0.0)


def increment(counts: dict[str, int], name: str) -> None:
    """Increments a counter by one."""
    counts[name] = counts.get(name, 0) + 1


def _discard_body(environ: dict) -> int:
    stream = environ["wsgi.input"]
    size = 0
    while block := stream.read(BLOCK_BYTES):
        size += len(block)
    return size


def _response_headers(execution: Execution, name: str, size: int) -> list[tuple[str, str]]:
    return [
        ("x-request-id", execution.request_id),
        ("x-upstream", name),
        ("content-length", str(size)),
    ]


def _respond(start_response, status: int, body: bytes, extra=()) -> list[bytes]:
    start_response(STATUS_LINES[status], [("content-length", str(len(body))), *extra])
    return [body]


def _download_blocks(size: int):
    block = bytes(range(256)) * (BLOCK_BYTES // 256)
    for _ in range(size // BLOCK_BYTES):
        yield block


def drain_and_exit(upstream: Upstream, server: UpstreamServer) -> None:
    """Drains the upstream and exits when no request is running."""
    upstream.begin_drain()
    while upstream.draining_s < DRAIN_REFUSE_AFTER_S or upstream.running:
        gevent.sleep(0.05)
    server.stop(timeout=1)
    os._exit(0)


@click.command()
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--listen", required=True, help="ip:port to listen on.")
@click.option("--node", default="", help="Control address of the local node.")
@click.option(
    "--slots", default=12, show_default=True, help="Maximum number of concurrent requests."
)
@click.option(
    "--connections", default=100, show_default=True, help="Maximum connections with work."
)
@click.option("--connect-ms", default=1.0, show_default=True, help="Set-up time of a connection.")
@click.option("--service-ms", default=1.0, show_default=True, help="Service time of a request.")
@click.option("--spread", type=click.Choice(["fixed", "exponential"]), default="fixed")
@click.option(
    "--grants",
    type=click.Choice(["required", "optional", "ignored"]),
    default="optional",
    show_default=True,
    help="Require a grant, check it only if present, or ignore it.",
)
@click.option(
    "--stop-at-expiry", is_flag=True, help="Fail requests whose grant expires while they run."
)
@click.option("--cold-start-s", default=0.0, help="Warm-up time after the start.")
@click.option(
    "--cold-factor", default=4.0, help="Factor of the service time at the start; it falls to 1."
)
@click.option("--ledger", type=click.Path(path_type=Path), help="Ledger file, kept after a crash.")
@click.option(
    "--ledger-limit", default=DEFAULT_MAX_KEPT_EXECUTIONS, help="Maximum executions kept in memory."
)
def main(
    listen: str, node: str, connect_ms: float, ledger: Path | None, ledger_limit: int, **values
) -> None:
    """Runs an upstream stand-in."""
    host, _, port = listen.rpartition(":")
    upstream = Upstream(Options(**values), Ledger(ledger, ledger_limit))
    server = UpstreamServer((host, int(port)), upstream, connect_ms)
    upstream.server = server
    AnswerRepeater(server, lambda: upstream.faults, upstream.counters, random.Random(listen))
    server.start()
    gevent.signal_handler(signal.SIGTERM, drain_and_exit, upstream, server)
    gevent.spawn(
        upstream.reports.sample_forever, lambda: (upstream.running, upstream.state == "ready")
    )
    if node:
        announce_forever(node, lambda: upstream.announcement(listen))
    server.serve_forever()


if __name__ == "__main__":
    main()
