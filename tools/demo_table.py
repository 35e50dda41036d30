"""Evaluates the demonstration: one row for each measure, each with its bound and verdict."""

from collections import Counter
from dataclasses import dataclass, field
from statistics import median

from auburnsail._load_report import RequestRecord
from standins.ledger import Execution, now_ns

from . import ledger_checks as checks

RESTORE_TARGET_S = 1.0
DRAIN_BOUND_MS = 2000
SHOWN_FINDINGS = 5
NS_PER_S = 1_000_000_000


@dataclass(slots=True)
class Events:
    """What was done to the fleet, in nanoseconds of CLOCK_BOOTTIME.

    Attributes:
        killed: Name of the killed VM.
        killed_ns: When it was killed.
        frozen: Name of the frozen VM.
        frozen_ns: When it was frozen.
        resumed_ns: When it was resumed.
        store_down_ns: When the store went away.
        store_up_ns: When it came back.
        drained: Name of the drained VM.
        drained_node: Data address of its node.
        drained_ns: When its upstream began to leave.
        left_after_s: Seconds until its session had ended, None if it did not.
        stop_status: Exit code of its node after SIGTERM, None if it did not end.
        violations: What nodes reported of themselves.
    """

    killed: str = ""
    killed_ns: int = 0
    frozen: str = ""
    frozen_ns: int = 0
    resumed_ns: int = 0
    store_down_ns: int = 0
    store_up_ns: int = 0
    drained: str = ""
    drained_node: str = ""
    drained_ns: int = 0
    left_after_s: float | None = None
    stop_status: int | None = None
    violations: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    Attributes:
        measure: What was measured.
        value: The figure.
        bound: What it has to be, or an empty string.
        verdict: ``ok``, ``BROKEN`` for a guarantee, ``missed`` for a target, or empty.
        findings: Sentences on what broke it.
    """

    measure: str
    value: str
    bound: str = ""
    verdict: str = ""
    findings: tuple[str, ...] = ()


def evaluate(
    events: Events,
    records: list[RequestRecord],
    executions: list[Execution],
    counters: dict[str, dict],
) -> list[Row]:
    """Returns the rows of the table.

    Args:
        events: What was done to the fleet.
        records: Log of the load run.
        executions: Ledgers of all upstreams.
        counters: Counters of the upstreams that still run.
    """
    shards = checks.granted_executions(executions, {events.killed: events.killed_ns})
    by_id = checks.executions_by_id(executions)
    rows = _outcome_rows(records)
    rows += _restored_rows(events, shards)
    rows += _phase_rows(events, records)
    rows += _request_rows(records, by_id)
    rows += _ownership_rows(events, shards)
    rows += _drain_rows(events, records, executions, by_id)
    rows.append(_limits_row(counters))
    rows.append(_guarantee("violations that nodes reported", events.violations, 1))
    return rows


def _outcome_rows(records: list[RequestRecord]) -> list[Row]:
    outcomes = Counter(record.outcome for record in records)
    ok = outcomes.pop("ok", 0)
    share = f"{ok / max(len(records), 1):.2%}"
    rows = [Row("requests", str(len(records))), Row("answered with success", f"{ok} ({share})")]
    rows += [Row(f"  {outcome}", str(count)) for outcome, count in outcomes.most_common()]
    return rows


def _restored_rows(events: Events, shards: dict) -> list[Row]:
    rows = []
    for what, name, lost_ns in (
        ("killed", events.killed, events.killed_ns),
        ("frozen", events.frozen, events.frozen_ns),
    ):
        delays = checks.recovery_times_s(shards, name, lost_ns)
        measure = f"shards of the {what} VM served again after"
        if not delays:
            rows.append(Row(measure, "not measured", "", "BROKEN"))
            continue
        worst = delays[-1]
        value = f"{median(delays):.2f} s median, {worst:.2f} s worst of {len(delays)}"
        verdict = "ok" if worst <= RESTORE_TARGET_S else "missed"
        rows.append(Row(measure, value, f"{RESTORE_TARGET_S:.0f} s", verdict))
    return rows


def _phase_rows(events: Events, records: list[RequestRecord]) -> list[Row]:
    during = [
        record
        for record in records
        if events.store_down_ns <= record.intended_ns < events.store_up_ns
    ]
    ok = sum(record.outcome == "ok" for record in during)
    seconds = (events.store_up_ns - events.store_down_ns) / NS_PER_S
    value = f"{ok / max(len(during), 1):.2%} of {len(during)} in {seconds:.1f} s"
    return [Row("success while the store was away", value)]


def _request_rows(records: list[RequestRecord], by_id: dict) -> list[Row]:
    non_repeatable = [record for record in records if not record.is_repeatable]
    most = max((len(by_id.get(record.request_id, ())) for record in non_repeatable), default=0)
    repeated = checks.repeated_executions(records, by_id)
    wrong = [record.request_id for record in records if record.outcome == "wrong-caller"]
    wrong += [record.request_id for record in records if record.outcome == "unnamed"]
    return [
        Row(
            "executions per non-repeatable request, most",
            f"{most} of {len(non_repeatable)} requests",
            "1",
            "ok" if non_repeatable and not repeated else "BROKEN",
            tuple(repeated),
        ),
        _guarantee("answers to the wrong caller", wrong, len(records)),
        _guarantee(
            "said not to be run, yet run", checks.executed_despite_refusal(records, by_id), 1
        ),
        _guarantee(
            "answered, yet completed nowhere", checks.answered_without_execution(records, by_id), 1
        ),
    ]


def _ownership_rows(events: Events, shards: dict) -> list[Row]:
    lost = {events.killed, events.frozen}
    early = checks.early_successors(shards, lost)
    return [
        _guarantee("double ownership", checks.double_ownership(shards), len(shards)),
        _guarantee(
            "started under an expired grant", checks.started_after_expiry(shards), len(shards)
        ),
        _guarantee("started while a lost owner's grant was valid", early, len(shards)),
    ]


def _drain_rows(
    events: Events, records: list[RequestRecord], executions: list[Execution], by_id: dict
) -> list[Row]:
    name, since_ns = events.drained, events.drained_ns
    measured = int(since_ns > 0 and any(run.upstream == name for run in executions))
    late = checks.work_started_after_drain(executions, name, since_ns, DRAIN_BOUND_MS)
    cut = checks.cut_off_requests(records, by_id, name, events.drained_node, since_ns)
    left = events.left_after_s
    value = "not at all" if left is None else f"{left:.1f} s, exit code {events.stop_status}"
    return [
        _guarantee("requests cut off by the drain", cut, measured),
        _guarantee("work begun over 2 s after the drain began", late, measured),
        Row(
            "drained node had left after",
            value,
            "",
            "ok" if left is not None and events.stop_status == 0 else "BROKEN",
        ),
    ]


def _limits_row(counters: dict[str, dict]) -> Row:
    full = [
        f"{name}: {reason} {count} times"
        for name, counted in counters.items()
        for reason, count in counted["refused"].items()
        if reason in ("slots-full", "connections-full")
    ]
    most = max((counted["most_running"] for counted in counters.values()), default=0)
    slots = max((counted["slots"] for counted in counters.values()), default=0)
    verdict = "missed" if full else "ok"
    return Row("slots in use at one upstream, most", f"{most} of {slots}", "", verdict, tuple(full))


def _guarantee(measure: str, findings: list[str], measured: int) -> Row:
    """Returns a row that is broken by any finding, and also if nothing was measured."""
    if not measured:
        return Row(measure, "not measured", "0", "BROKEN")
    verdict = "BROKEN" if findings else "ok"
    return Row(measure, str(len(findings)), "0", verdict, tuple(findings))


def render(rows: list[Row]) -> str:
    """Returns the table as text, with the first findings below broken rows."""
    lines = [f"{'measure':<48}{'value':<40}{'bound':<7}verdict", "-" * 102]
    for row in rows:
        lines.append(f"{row.measure:<48}{row.value:<40}{row.bound:<7}{row.verdict}".rstrip())
        lines += [f"      {finding}" for finding in row.findings[:SHOWN_FINDINGS]]
    return "\n".join(lines)


def is_broken(rows: list[Row]) -> bool:
    """Returns whether a guarantee broke."""
    return any(row.verdict == "BROKEN" for row in rows)


def is_missed(rows: list[Row]) -> bool:
    """Returns whether a target was missed."""
    return any(row.verdict == "missed" for row in rows)


def elapsed_s(since_ns: int) -> float:
    """Returns the seconds since a time of CLOCK_BOOTTIME."""
    return (now_ns() - since_ns) / NS_PER_S
