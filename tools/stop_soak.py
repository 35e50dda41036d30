"""Soak of real processes under stops: no request that a node has passed on may lose its answer.

Callers keep connections to all nodes of a small fleet open and use them until the processes are
gone. Meanwhile nodes are stopped, suspended and started again, with signals that overlap, and the
settings change. Afterwards what the callers saw is compared with the ledgers of the upstreams.
"""

import random
import sys
import tempfile
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import click
import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from auburnsail._settings_log import decode_record
from auburnsail._store import HttpTableStore
from auburnsail._versioned_log import VersionedLog
from auburnsail.exceptions import OutcomeUnknownError, StoreUnavailableError
from standins.ledger import Execution, read_ledger
from tests.fleet import LocalFleet

from .stop_soak_callers import (
    ANSWER_TIMEOUT_S,
    NOT_RUN,
    Caller,
    Result,
    SentRequest,
    Target,
)
from .stop_soak_stops import START_TIMEOUT_S, STOP_TIMEOUT_S, NodeStops, StopLog

# Name, region, failure domain and service of each node; the keyed ones first, see `wait_ready`.
NODES = (
    ("node-0", "wien", "wien-1", "catalogue"),
    ("node-1", "wien", "wien-2", "catalogue"),
    ("node-2", "tirol", "tirol-1", "catalogue"),
    ("node-3", "wien", "wien-1", "pledge"),
    ("node-4", "tirol", "tirol-1", "pledge"),
)
KEYED_NODES = 3
SHARDS = 32
SLOTS = 32
# Pauses before the requests of one caller each, in seconds. The long ones last from before a stop
# until its end, so that the node closes an idle connection.
CALLER_PAUSES_S = ((0.0, 0.2), (0.0, 0.2), *((1.0, 6.0),) * 20)
SETTINGS_INTERVAL_S = (2.0, 4.0)
# A node may close a connection while a request is on its way, but not after this time.
MAX_CROSSING_MS = 200.0


@dataclass(slots=True)
class SoakResult:
    """Result of a run.

    Attributes:
        seed: Seed of the run.
        counts: Number of requests, signals and events by name.
        violations: One line for each violation.
        crossed: One line for each request that crossed the close of its connection, not passed on.
    """

    seed: int
    counts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    crossed: list[str] = field(default_factory=list)


def judge(
    requests: Iterable[SentRequest], executions: Iterable[Execution], log: StopLog, seed: int
) -> SoakResult:
    """Compares what callers saw with what upstreams executed.

    Args:
        requests: All requests of the callers.
        executions: The executions of all upstreams.
        log: The stops and suspensions of the nodes.
        seed: Seed of the run, for the messages.
    """
    result = SoakResult(seed, Counter(log.counts))
    runs: dict[str, list[Execution]] = {}
    for execution in executions:
        runs.setdefault(execution.request_id, []).append(execution)
    for request in requests:
        request_runs = runs.get(request.id, [])
        running_ms = log.running_ms(request.node, request.sent_ns, request.ended_ns)
        violations = _violations(request, request_runs, running_ms)
        result.counts["requests"] += 1
        result.counts[_count_name(request)] += 1
        for violation in violations:
            result.violations.append(_describe(seed, request, request_runs, log, violation))
        if request.result == Result.ENDED and not request_runs and not violations:
            result.counts["crossed"] += 1
            result.crossed.append(_describe(seed, request, request_runs, log, "crossed a close"))
            if request.sent_ns:
                longest_ms = max(result.counts["crossed-longest-ms"], round(running_ms))
                result.counts["crossed-longest-ms"] = longest_ms
    result.violations += [f"seed={seed} {finding}" for finding in log.findings]
    result.counts["violations"] = len(result.violations)
    return result


def _violations(request: SentRequest, runs: list[Execution], running_ms: float) -> list[str]:
    violations = []
    if request.method == "POST" and len(runs) > 1:
        violations.append(f"a POST ran {len(runs)} times")
    if request.outcome == NOT_RUN and runs:
        violations.append("a request that ran was reported as not run")
    match request.result:
        case Result.ENDED if request.sent_ns and runs:
            violations.append("the connection ended without an answer to a request passed on")
        case Result.ENDED if request.sent_ns and running_ms > MAX_CROSSING_MS:
            violations.append(f"the connection ended {running_ms:.0f} ms after the request")
        case Result.TIMED_OUT:
            violations.append(f"no answer within {ANSWER_TIMEOUT_S} s")
        case Result.ANSWERED if request.detail:
            violations.append("a wrong answer")
    return violations


def _count_name(request: SentRequest) -> str:
    match request.result:
        case Result.ANSWERED if request.status == 200:
            return "answers"
        case Result.ANSWERED:
            return f"refusals-{request.status}-{request.outcome or 'upstream'}"
        case Result.ENDED if not request.sent_ns:
            return "ended-while-sending"
        case _:
            return request.result.value


def _describe(
    seed: int, request: SentRequest, runs: list[Execution], log: StopLog, text: str
) -> str:
    sent = "not sent whole"
    if request.sent_ns:
        sent = f"sent {(request.ended_ns - request.sent_ns) / 1e6:.1f} ms before the end"
    seen = " ".join(filter(None, (request.result, str(request.status or ""), request.detail)))
    ran = ", ".join(f"{run.outcome} at {run.upstream}" for run in runs) or "no execution"
    return (
        f"seed={seed} {text}: id={request.id} {request.method} node={request.node} "
        f"seen=({seen}) {sent}, {log.describe_stop(request.node, request.ended_ns)}; {ran}"
    )


def run_seed(seed: int, duration_s: float, logs: Path | None = None) -> SoakResult:
    """Runs the soak of one seed.

    Args:
        seed: Seed of the signals, their times and the requests.
        duration_s: Time in seconds in which stops begin.
        logs: Folder for the output of the processes, None to discard it.

    Raises:
        TimeoutError: The fleet did not start.
    """
    with tempfile.TemporaryDirectory(prefix="auburnsail-") as folder:
        fleet = LocalFleet(_tree(0), quiet=True, logs=logs)
        try:
            ledgers = []
            for name, region, domain, service in NODES:
                ledgers.append(Path(folder) / name)
                options = ["--ledger", str(ledgers[-1]), "--slots", str(SLOTS)]
                fleet.upstream_options = options
                fleet.add_node(name, region, domain, service)
            fleet.wait_ready(owners=KEYED_NODES)
            requests, log = _run_load(fleet, seed, duration_s)
        finally:
            fleet.stop()
        executions = [execution for path in ledgers for execution in read_ledger(path)]
    return judge(requests, executions, log, seed)


def _run_load(fleet: LocalFleet, seed: int, duration_s: float) -> tuple[list[SentRequest], StopLog]:
    requests: list[SentRequest] = []
    log = StopLog()
    # Each service keeps a node that does not stop.
    services = [service for *_, service in NODES]
    may_stop = {name: BoundedSemaphore(services.count(name) - 1) for name in services}
    targets, callers, stops = [], [], []
    for name, _, _, service in NODES:
        target = Target(name, fleet.members[name].data)
        targets.append(target)
        callers += [
            Caller(target, number, f"{seed}-{name}-{number}", pause_s, requests)
            for number, pause_s in enumerate(CALLER_PAUSES_S)
        ]
        stops.append(NodeStops(fleet, target, f"{seed}-{name}", may_stop[service], log))
    caller_greenlets = [gevent.spawn(caller.run) for caller in callers]
    stop_greenlets = [gevent.spawn(stop.run) for stop in stops]
    settings = gevent.spawn(_change_settings, fleet, random.Random(seed), log.counts)
    gevent.sleep(duration_s)
    settings.kill()
    for stop in stops:
        stop.stopping = True
    gevent.joinall(stop_greenlets, timeout=4 * (STOP_TIMEOUT_S + START_TIMEOUT_S))
    for caller in callers:
        caller.stopping = True
    for target in targets:
        target.send_burst(0, 1)
    greenlets = [*stop_greenlets, *caller_greenlets]
    gevent.joinall(greenlets, timeout=2 * ANSWER_TIMEOUT_S)
    unfinished = [greenlet for greenlet in (*greenlets, settings) if not greenlet.successful()]
    log.findings += [f"unfinished: {greenlet!r} {greenlet.exception!r}" for greenlet in unfinished]
    gevent.killall(greenlets)
    return requests, log


def _tree(expiry_s: int) -> dict:
    pledge = {"quarantine": {"expiry_s": expiry_s}} if expiry_s else {}
    return {"services": {"catalogue": {"keyed": True, "shards": SHARDS}, "pledge": pledge}}


def _change_settings(fleet: LocalFleet, rng: random.Random, counts: Counter[str]) -> None:
    log = VersionedLog(HttpTableStore(fleet.store_url), "settings")
    record = decode_record(1, log.read(1).data)
    version = 1
    while True:
        gevent.sleep(rng.uniform(*SETTINGS_INTERVAL_S))
        text = msgspec.json.encode(_tree(expiry_s=10 + version)).decode()
        data = msgspec.msgpack.encode(msgspec.structs.replace(record, text=text))
        try:
            log.append(version, f"change-{version}", data)
        except (StoreUnavailableError, OutcomeUnknownError):
            # The next turn repeats the call with the same data.
            counts["settings-repeated"] += 1
            continue
        version += 1
        counts["settings"] += 1


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option(
    "--duration-s", default=60.0, show_default=True, help="Time of each seed in which stops begin."
)
@click.option("--seeds", default=1, show_default=True, help="Number of seeds, from the first on.")
@click.option("--show-crossed", is_flag=True, help="Print requests that crossed a close, too.")
@click.option(
    "--logs", type=click.Path(path_type=Path), help="Folder for the output of the processes."
)
def main(seed: int, duration_s: float, seeds: int, show_crossed: bool, logs: Path | None) -> None:
    """Runs seeds one after the other; exits with 1 if there was a violation."""
    violations = 0
    for current_seed in range(seed, seed + seeds):
        seed_logs = None if logs is None else logs / str(current_seed)
        if seed_logs is not None:
            seed_logs.mkdir(parents=True, exist_ok=True)
        result = run_seed(current_seed, duration_s, seed_logs)
        for line in result.violations + (result.crossed if show_crossed else []):
            click.echo(line)
        counts = " ".join(f"{name}={result.counts[name]}" for name in sorted(result.counts))
        verdict = "FAILED" if result.violations else "ok"
        click.echo(f"stop-soak: {verdict} seed={current_seed} duration_s={duration_s:g} {counts}")
        violations += len(result.violations)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
