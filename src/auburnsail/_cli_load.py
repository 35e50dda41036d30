"""The auburnsail-load program: an open-loop load generator that sends requests to nodes."""

import secrets
import sys
from pathlib import Path

import click
import gevent
import msgspec
from gevent.pool import Pool

from ._clock import BootClock
from ._load_client import LoadClient
from ._load_report import LoadRecorder, LoadReport, RequestRecord, render
from ._load_schedule import (
    NS_PER_S,
    Arrivals,
    KeySampler,
    PlannedRequest,
    parse_request_kind,
    plan_requests,
)
from .exceptions import AuburnsailError

__all__ = ["LoadRun", "main"]

EXIT_OK = 0
EXIT_WRONG_CALLER = 1
EXIT_USAGE = 2
EXIT_TOO_SLOW = 3

MAX_NOT_SENT_SHARE = 0.01
MAX_START_LAG_P99_MS = 100.0
# Behind schedule, other greenlets run only once per this many requests.
REQUESTS_PER_YIELD = 8

EPILOG = """\b
A request is METHOD TARGET [WEIGHT [BODY_BYTES]]; {key} and {id} in the target are replaced by the
key and the request id. POST and PATCH count as not repeatable. No request is sent twice; only if a
node refuses the connection is the request sent to another node.

\b
Exit codes:
  0  the run is complete
  1  an answer named another caller's request
  2  invalid usage
  3  this machine was too slow for the rate: over 1% of the requests not sent, or the 99th
     percentile of the start lag over 100 ms; the measured latencies are not reliable
"""


class LoadRun:
    """Sends the requests of one load run at their intended times.

    Args:
        client: Sends the requests.
        recorder: Collects the results.
        deadline_ms: Deadline of each request in milliseconds after it is sent.
        run_id: Prefix of all request ids.
        log: Binary file for one JSON line per sent request, or None.
    """

    def __init__(
        self, client: LoadClient, recorder: LoadRecorder, deadline_ms: int, run_id: str, log=None
    ) -> None:
        self._client = client
        self._recorder = recorder
        self._deadline_ms = deadline_ms
        self._run_id = run_id
        self._log = log
        self._clock = BootClock()
        self._encoder = msgspec.json.Encoder()
        self._start_ns = 0
        self._error: BaseException | None = None

    def run(self, schedule, max_in_flight: int) -> LoadReport:
        """Sends the requests of a schedule and returns the report after the last one has ended.

        Args:
            schedule: The planned requests in the order of their intended starts.
            max_in_flight: Maximum number of requests in flight; a request that is due while so
                many are in flight is not sent.

        Raises:
            BaseException: An unexpected error while a request was sent; it ends the run.
        """
        pool = Pool(max_in_flight)
        self._start_ns = self._clock.now_ns()
        for position, planned in enumerate(schedule):
            ahead_ns = planned.start_ns - self._now_ns()
            if ahead_ns > 0:
                gevent.sleep(ahead_ns / NS_PER_S)
            elif position % REQUESTS_PER_YIELD == 0:
                gevent.sleep(0)
            if self._error is not None:
                raise self._error
            if pool.full():
                self._recorder.add_not_sent(planned)
                continue
            pool.spawn(self._send, planned).link_exception(self._store_error)
        pool.join()
        if self._error is not None:
            raise self._error
        return self._recorder.report(self._now_ns() / NS_PER_S)

    def _now_ns(self) -> int:
        return self._clock.now_ns() - self._start_ns

    def _store_error(self, greenlet: gevent.Greenlet) -> None:
        self._error = greenlet.exception

    def _send(self, planned: PlannedRequest) -> None:
        kind = planned.kind
        request_id = f"{self._run_id}-{planned.number}"
        path = kind.template.replace("{key}", planned.key).replace("{id}", request_id)
        sent_ns = self._now_ns()
        result = self._client.send(
            request_id,
            kind.method,
            path,
            bytes(kind.body_bytes),
            key=planned.key,
            deadline_ms=self._deadline_ms,
            now_s=sent_ns / NS_PER_S,
        )
        finished_ns = self._now_ns()
        self._recorder.add(planned, result, sent_ns, finished_ns)
        if self._log is not None:
            record = RequestRecord(
                request_id,
                kind.method,
                path,
                planned.key,
                kind.is_repeatable,
                self._start_ns + planned.start_ns,
                self._start_ns + sent_ns,
                self._start_ns + finished_ns,
                result.address,
                result.status,
                result.outcome,
            )
            self._log.write(self._encoder.encode(record) + b"\n")


def exit_code(report: LoadReport) -> int:
    """Returns the exit code of the program for a report."""
    if report.wrong_caller:
        return EXIT_WRONG_CALLER
    not_sent = report.outcomes.get("not-sent", 0)
    is_late = report.start_lag.p99_ms > MAX_START_LAG_P99_MS
    if is_late or not_sent > report.requests * MAX_NOT_SENT_SHARE:
        return EXIT_TOO_SLOW
    return EXIT_OK


@click.command(epilog=EPILOG)
@click.argument("targets", nargs=-1, required=True, metavar="IP:PORT...")
@click.option(
    "--request",
    "requests",
    multiple=True,
    default=("GET /catalogue/{key}",),
    show_default=True,
    help="A kind of request in the mix; may be given several times.",
)
@click.option(
    "--rate",
    type=click.FloatRange(min=0.01),
    default=100.0,
    show_default=True,
    help="Requests per second.",
)
@click.option(
    "--duration",
    type=click.FloatRange(min=0.1),
    default=10.0,
    show_default=True,
    help="Length of the schedule in seconds.",
)
@click.option(
    "--arrivals",
    type=click.Choice(["poisson", "fixed"]),
    default="poisson",
    show_default=True,
    help="Distribution of the gaps between requests.",
)
@click.option(
    "--keys", type=click.IntRange(min=1), default=10_000, show_default=True, help="Number of keys."
)
@click.option(
    "--zipf",
    type=click.FloatRange(min=0.0),
    default=1.0,
    show_default=True,
    help="Exponent of the key distribution; 0 makes all keys equally likely.",
)
@click.option(
    "--hot-keys",
    type=click.IntRange(min=1),
    default=57,
    show_default=True,
    help="Number of hottest keys that are exchanged for others at each change.",
)
@click.option(
    "--hot-change-s",
    type=click.FloatRange(min=0.0),
    default=0.0,
    show_default=True,
    help="Seconds between changes of the hottest keys; 0 for no changes.",
)
@click.option(
    "--groups",
    type=click.IntRange(min=1),
    default=16,
    show_default=True,
    help="Key groups in the time series of availability.",
)
@click.option(
    "--deadline-ms",
    type=click.IntRange(min=1),
    default=2000,
    show_default=True,
    help="Deadline of each request in milliseconds.",
)
@click.option(
    "--max-in-flight",
    type=click.IntRange(min=1),
    default=2000,
    show_default=True,
    help="Maximum number of requests in flight; further requests are counted as not sent.",
)
@click.option(
    "--follow-owner",
    is_flag=True,
    help="Send the next request for a key to the node named as its owner.",
)
@click.option(
    "--avoid-s",
    type=click.FloatRange(min=0.0),
    default=1.0,
    show_default=True,
    help="Seconds during which a node that did not answer is avoided.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of the schedule.")
@click.option("--run-id", default="", help="Prefix of the request ids; random by default.")
@click.option(
    "--log", type=click.Path(path_type=Path), help="File to write one JSON line per request to."
)
@click.option(
    "--output", type=click.Path(path_type=Path), help="File to write the report to, as JSON."
)
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
@click.version_option(package_name="auburnsail")
def main(targets: tuple[str, ...], requests: tuple[str, ...], **options) -> None:
    """Sends requests to nodes at a fixed average rate, even if the nodes do not keep up.

    Latencies are measured from the intended start of each request, so that a stall is included in
    the latencies of all requests that were due during it.
    """
    log = options["log"].open("wb") if options["log"] else None
    try:
        kinds = tuple(parse_request_kind(text) for text in requests)
        is_poisson = options["arrivals"] == "poisson"
        arrivals = Arrivals(options["rate"], options["duration"], is_poisson)
        keys = KeySampler(
            options["keys"], options["zipf"], options["hot_keys"], options["hot_change_s"]
        )
        client = LoadClient(targets, options["follow_owner"], options["avoid_s"])
        recorder = LoadRecorder(options["keys"], options["groups"])
        run_id = options["run_id"] or secrets.token_hex(6)
        run = LoadRun(client, recorder, options["deadline_ms"], run_id, log)
        schedule = plan_requests(arrivals, kinds, keys, options["seed"])
        report = run.run(schedule, options["max_in_flight"])
    except AuburnsailError as error:
        click.echo(f"auburnsail-load: {error}", err=True)
        sys.exit(EXIT_USAGE)
    finally:
        if log is not None:
            log.close()
    content = msgspec.json.format(msgspec.json.encode(report), indent=1)
    if options["output"]:
        options["output"].write_bytes(content)
    click.echo(content.decode() if options["as_json"] else render(report))
    sys.exit(exit_code(report))


if __name__ == "__main__":
    main()
