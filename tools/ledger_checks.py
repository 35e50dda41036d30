"""Checks of the guarantees on the ledgers of upstreams and on the log of a load run.

Each check returns its findings as a list of sentences. An empty list means that the records show no
violation of the guarantee.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from auburnsail._load_report import RequestRecord
from standins.grants import FencedGrant, is_expired, parse_grant
from standins.ledger import COMPLETED, RUNNING, Execution

NEVER_NS = 1 << 62
# Outcomes that assure the caller that the request was not run and will not be.
NOT_RUN_PREFIXES = ("not-run/", "refused/", "no-connection", "not-sent")
UNKNOWN_PREFIXES = ("unknown/", "no-answer", "upstream-5")


@dataclass(frozen=True, slots=True)
class GrantedExecution:
    """An execution of a request that carried a grant.

    Attributes:
        execution: Record of the ledger.
        grant: Grant of the request.
        end_ns: Latest time at which the execution could have had an effect.
    """

    execution: Execution
    grant: FencedGrant
    end_ns: int


def granted_executions(
    executions: Iterable[Execution], killed_ns: dict[str, int]
) -> dict[tuple[str, int], list[GrantedExecution]]:
    """Returns the executions with a grant by service and shard, in the order of their starts.

    Args:
        executions: Records of all upstreams.
        killed_ns: Time at which an upstream was killed, by name; its running executions ended then.
    """
    shards: dict[tuple[str, int], list[GrantedExecution]] = defaultdict(list)
    for execution in executions:
        if execution.grant:
            grant = parse_grant(execution.grant)
            end_ns = _end_ns(execution, grant, killed_ns)
            shards[grant.service, grant.shard].append(GrantedExecution(execution, grant, end_ns))
    for runs in shards.values():
        runs.sort(key=lambda run: run.execution.started_ns)
    return shards


def _end_ns(execution: Execution, grant: FencedGrant, killed_ns: dict[str, int]) -> int:
    if execution.outcome == RUNNING:
        return killed_ns.get(execution.upstream, NEVER_NS)
    if execution.outcome == COMPLETED:
        return execution.finished_ns
    # A cancelled execution has no effect after its grant has expired, even if the process was
    # frozen at that time and detected the expiry later.
    return min(execution.finished_ns, grant.expires_ns)


def double_ownership(shards: dict[tuple[str, int], list[GrantedExecution]]) -> list[str]:
    """Reports shards that two upstreams served at the same time.

    There are three cases: executions at two upstreams under the same epoch, an execution that
    starts after one under a newer epoch, and executions at two upstreams that overlap.
    """
    return [finding for runs in shards.values() for finding in _double_ownership_of_shard(runs)]


def _double_ownership_of_shard(runs: list[GrantedExecution]) -> Iterator[str]:
    owners: dict[int, str] = {}
    latest_end: dict[str, GrantedExecution] = {}
    highest_epoch = 0
    for run in runs:
        upstream, epoch = run.execution.upstream, run.grant.epoch
        if owners.setdefault(epoch, upstream) != upstream:
            yield f"{_describe(run)} and {owners[epoch]} both ran under this epoch"
        if epoch < highest_epoch:
            yield f"{_describe(run)} started after epoch {highest_epoch} had started"
        highest_epoch = max(highest_epoch, epoch)
        for other, latest in latest_end.items():
            if other != upstream and latest.end_ns > run.execution.started_ns:
                overlap_ms = (latest.end_ns - run.execution.started_ns) / 1e6
                yield f"{_describe(run)} overlaps {_describe(latest)} by {overlap_ms:.1f} ms"
        if upstream not in latest_end or latest_end[upstream].end_ns < run.end_ns:
            latest_end[upstream] = run


def started_after_expiry(shards: dict[tuple[str, int], list[GrantedExecution]]) -> list[str]:
    """Reports executions that started after their grant had expired."""
    return [
        f"{_describe(run)} started under an expired grant"
        for runs in shards.values()
        for run in runs
        if is_expired(run.grant, run.execution.started_ns)
    ]


def early_successors(
    shards: dict[tuple[str, int], list[GrantedExecution]], lost: set[str]
) -> list[str]:
    """Reports executions that started while a grant of a lost owner was still valid.

    An owner that transfers its shards may do so before its grants expire. The shards of a lost
    owner must not run elsewhere until its grants have expired.

    Args:
        shards: Executions by shard.
        lost: Upstreams whose shards were reassigned without a transfer by their owner.
    """
    findings = []
    for runs in shards.values():
        expires = dict.fromkeys(lost, 0)
        for run in runs:
            upstream = run.execution.upstream
            for other, expires_ns in expires.items():
                if other != upstream and expires_ns > run.execution.started_ns:
                    findings.append(f"{_describe(run)} started under a valid grant of {other}")
            if upstream in lost:
                expires[upstream] = max(expires[upstream], run.grant.expires_ns)
    return findings


def executions_by_id(executions: Iterable[Execution]) -> dict[str, list[Execution]]:
    """Returns the executions by request id."""
    by_id: dict[str, list[Execution]] = defaultdict(list)
    for execution in executions:
        by_id[execution.request_id].append(execution)
    return by_id


def repeated_executions(
    records: Iterable[RequestRecord], by_id: dict[str, list[Execution]]
) -> list[str]:
    """Reports non-repeatable requests that were executed more than once."""
    return [
        f"{record.request_id} ran {len(by_id[record.request_id])} times"
        for record in records
        if not record.is_repeatable and len(by_id.get(record.request_id, ())) > 1
    ]


def executed_despite_refusal(
    records: Iterable[RequestRecord], by_id: dict[str, list[Execution]]
) -> list[str]:
    """Reports executed requests whose outcome assured the caller that they were not run."""
    return [
        f"{record.request_id} ({record.outcome}) ran at {by_id[record.request_id][0].upstream}"
        for record in records
        if record.outcome.startswith(NOT_RUN_PREFIXES) and record.request_id in by_id
    ]


def answered_without_execution(
    records: Iterable[RequestRecord], by_id: dict[str, list[Execution]]
) -> list[str]:
    """Reports requests with a successful answer of which no execution was completed."""
    return [
        f"{record.request_id} was answered and did not complete anywhere"
        for record in records
        if record.outcome == "ok"
        and not any(run.outcome == COMPLETED for run in by_id.get(record.request_id, ()))
    ]


def executions_started_after_drain(
    executions: Iterable[Execution], upstream: str, since_ns: int, bound_ms: int
) -> list[str]:
    """Reports executions that a draining upstream started later than the bound allows.

    Args:
        executions: Records of all upstreams.
        upstream: Name of the draining upstream.
        since_ns: Start of the drain.
        bound_ms: Time after the start of the drain during which executions may start.
    """
    limit_ns = since_ns + bound_ms * 1_000_000
    return [
        f"{run.request_id} started at {upstream} {(run.started_ns - since_ns) / 1e9:.2f} s "
        "after the drain began"
        for run in executions
        if run.upstream == upstream and run.started_ns > limit_ns
    ]


def cut_off_requests(
    records: Iterable[RequestRecord],
    by_id: dict[str, list[Execution]],
    upstream: str,
    node: str,
    since_ns: int,
) -> list[str]:
    """Reports requests that a drain cut off: they ended after its start without definite outcome.

    Args:
        records: Log of the load run.
        by_id: Executions of each request.
        upstream: Name of the drained upstream.
        node: Data address of the upstream's node.
        since_ns: Start of the drain.
    """
    findings = []
    for record in records:
        if record.finished_ns < since_ns or not record.outcome.startswith(UNKNOWN_PREFIXES):
            continue
        runs = by_id.get(record.request_id, ())
        if record.target == node or any(run.upstream == upstream for run in runs):
            findings.append(f"{record.request_id} got {record.outcome}")
    return findings


def recovery_times_s(
    shards: dict[tuple[str, int], list[GrantedExecution]], upstream: str, lost_ns: int
) -> list[float]:
    """Returns the recovery times of a lost upstream's shards in seconds, in ascending order.

    The recovery time of a shard ends with the first completed execution at another upstream; it is
    infinite if there is none. It includes the time until the next request and is an upper bound.

    Args:
        shards: Executions by shard.
        upstream: The lost upstream.
        lost_ns: Time at which it was lost.
    """
    delays = []
    for runs in shards.values():
        before = [run for run in runs if run.execution.started_ns < lost_ns]
        if not before or before[-1].execution.upstream != upstream:
            continue
        served = [
            run.execution.finished_ns
            for run in runs
            if run.execution.started_ns >= lost_ns
            and run.execution.upstream != upstream
            and run.execution.outcome == COMPLETED
        ]
        delays.append((min(served) - lost_ns) / 1e9 if served else float("inf"))
    return sorted(delays)


def _describe(run: GrantedExecution) -> str:
    grant = run.grant
    location = f"{grant.service}/{grant.shard} epoch {grant.epoch}"
    return f"{run.execution.request_id} at {run.execution.upstream} ({location})"
