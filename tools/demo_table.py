"""Table of the demonstration: one row for each measure, with its bound and verdict."""

from collections import Counter
from dataclasses import dataclass, field
from statistics import median

from auburnsail._load_report import RequestRecord
from standins.ledger import Execution, now_ns

from . import ledger_checks as checks

RECOVERY_TARGET_S = 1.0
MAX_START_AFTER_DRAIN_MS = 2000
MAX_SHOWN_FINDINGS = 5
NS_PER_S = 1_000_000_000


@dataclass(slots=True)
class Events:
    """Faults that were injected into the fleet, with their results.

    Times are nanoseconds of CLOCK_BOOTTIME; 0 for a fault that was not injected.

    Attributes:
        killed: Name of the killed VM.
        killed_ns: When it was killed.
        frozen: Name of the paused VM.
        frozen_ns: When it was paused.
        resumed_ns: When it was resumed.
        store_down_ns: When the store became unavailable.
        store_up_ns: When the store became available again.
        drained: Name of the drained VM.
        drained_data_address: Data address of its node.
        drained_ns: When its upstream announced the drain.
        session_ended_after_s: Seconds from the announcement until its session had ended; None if
            the session did not end.
        exit_code: Exit code of its node after SIGTERM; None if the node did not exit in time.
        violations: Violations of guarantees that nodes reported.
    """

    killed: str = ""
    killed_ns: int = 0
    frozen: str = ""
    frozen_ns: int = 0
    resumed_ns: int = 0
    store_down_ns: int = 0
    store_up_ns: int = 0
    drained: str = ""
    drained_data_address: str = ""
    drained_ns: int = 0
    session_ended_after_s: float | None = None
    exit_code: int | None = None
    violations: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    Attributes:
        measure: What was measured.
        value: The measured value with its unit.
        bound: The required value, or an empty string.
        verdict: ``ok``, ``BROKEN`` for a guarantee, ``missed`` for a target, or empty.
        findings: One sentence for each violation of the bound.
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
    upstream_counters: dict[str, dict],
) -> list[Row]:
    """Returns the rows of the table.

    Args:
        events: Faults that were injected into the fleet.
        records: Request log of the load run.
        executions: Executions in the ledgers of all upstreams.
        upstream_counters: Counters of the upstreams that still run, by VM name.
    """
    shards = checks.granted_executions(executions, {events.killed: events.killed_ns})
    by_id = checks.executions_by_id(executions)
    rows = _outcome_rows(records)
    rows += _recovery_rows(events, shards)
    rows += _store_outage_rows(events, records)
    rows += _execution_rows(records, by_id)
    rows += _ownership_rows(events, shards)
    rows += _drain_rows(events, records, executions, by_id)
    rows.append(_slots_row(upstream_counters))
    rows.append(_guarantee_row("violations that nodes reported", events.violations, 1))
    return rows


def _outcome_rows(records: list[RequestRecord]) -> list[Row]:
    outcomes = Counter(record.outcome for record in records)
    ok = outcomes.pop("ok", 0)
    success_ratio = f"{ok / max(len(records), 1):.2%}"
    rows = [
        Row("requests", str(len(records))),
        Row("answered with success", f"{ok} ({success_ratio})"),
    ]
    rows += [Row(f"  {outcome}", str(count)) for outcome, count in outcomes.most_common()]
    return rows


def _recovery_rows(events: Events, shards: dict) -> list[Row]:
    rows = []
    for fault, upstream, fault_ns in (
        ("killed", events.killed, events.killed_ns),
        ("frozen", events.frozen, events.frozen_ns),
    ):
        times_s = checks.recovery_times_s(shards, upstream, fault_ns)
        measure = f"shards of the {fault} VM served again after"
        if not times_s:
            rows.append(Row(measure, "not measured", "", "BROKEN"))
            continue
        worst_s = times_s[-1]
        value = f"{median(times_s):.2f} s median, {worst_s:.2f} s worst of {len(times_s)}"
        verdict = "ok" if worst_s <= RECOVERY_TARGET_S else "missed"
        rows.append(Row(measure, value, f"{RECOVERY_TARGET_S:.0f} s", verdict))
    return rows


def _store_outage_rows(events: Events, records: list[RequestRecord]) -> list[Row]:
    outage_records = [
        record
        for record in records
        if events.store_down_ns <= record.intended_ns < events.store_up_ns
    ]
    ok = sum(record.outcome == "ok" for record in outage_records)
    seconds = (events.store_up_ns - events.store_down_ns) / NS_PER_S
    value = f"{ok / max(len(outage_records), 1):.2%} of {len(outage_records)} in {seconds:.1f} s"
    return [Row("success while the store was unavailable", value)]


def _execution_rows(records: list[RequestRecord], by_id: dict) -> list[Row]:
    non_repeatable = [record for record in records if not record.is_repeatable]
    max_executions = max(
        (len(by_id.get(record.request_id, ())) for record in non_repeatable), default=0
    )
    repeated = checks.repeated_executions(records, by_id)
    wrong_caller = [record.request_id for record in records if record.outcome == "wrong-caller"]
    wrong_caller += [record.request_id for record in records if record.outcome == "unnamed"]
    return [
        Row(
            "executions per non-repeatable request, most",
            f"{max_executions} of {len(non_repeatable)} requests",
            "1",
            "ok" if non_repeatable and not repeated else "BROKEN",
            tuple(repeated),
        ),
        _guarantee_row("answers to the wrong caller", wrong_caller, len(records)),
        _guarantee_row(
            "executed despite a not-run outcome", checks.executed_despite_refusal(records, by_id), 1
        ),
        _guarantee_row(
            "answered without a completed execution",
            checks.answered_without_execution(records, by_id),
            1,
        ),
    ]


def _ownership_rows(events: Events, shards: dict) -> list[Row]:
    lost = {events.killed, events.frozen}
    early_starts = checks.early_successors(shards, lost)
    return [
        _guarantee_row("double ownership", checks.double_ownership(shards), len(shards)),
        _guarantee_row(
            "started under an expired grant", checks.started_after_expiry(shards), len(shards)
        ),
        _guarantee_row("started while a lost owner's grant was valid", early_starts, len(shards)),
    ]


def _drain_rows(
    events: Events, records: list[RequestRecord], executions: list[Execution], by_id: dict
) -> list[Row]:
    upstream, since_ns = events.drained, events.drained_ns
    measured = int(since_ns > 0 and any(run.upstream == upstream for run in executions))
    late_starts = checks.executions_started_after_drain(
        executions, upstream, since_ns, MAX_START_AFTER_DRAIN_MS
    )
    cut_off = checks.cut_off_requests(
        records, by_id, upstream, events.drained_data_address, since_ns
    )
    ended_after_s = events.session_ended_after_s
    value = (
        "not at all"
        if ended_after_s is None
        else f"{ended_after_s:.1f} s, exit code {events.exit_code}"
    )
    return [
        _guarantee_row("requests cut off by the drain", cut_off, measured),
        _guarantee_row("requests started over 2 s after the drain began", late_starts, measured),
        Row(
            "drained node had left after",
            value,
            "",
            "ok" if ended_after_s is not None and events.exit_code == 0 else "BROKEN",
        ),
    ]


def _slots_row(upstream_counters: dict[str, dict]) -> Row:
    refusals = [
        f"{upstream}: {reason} {count} times"
        for upstream, counts in upstream_counters.items()
        for reason, count in counts["refused"].items()
        if reason in ("slots-full", "connections-full")
    ]
    max_running = max((counts["most_running"] for counts in upstream_counters.values()), default=0)
    slots = max((counts["slots"] for counts in upstream_counters.values()), default=0)
    verdict = "missed" if refusals else "ok"
    return Row(
        "slots in use at one upstream, most",
        f"{max_running} of {slots}",
        "",
        verdict,
        tuple(refusals),
    )


def _guarantee_row(measure: str, findings: list[str], measured: int) -> Row:
    """Returns a row that is broken by any finding, and also if nothing was measured.

    Without the second rule a run without load would show that all guarantees held.
    """
    if not measured:
        return Row(measure, "not measured", "0", "BROKEN")
    verdict = "BROKEN" if findings else "ok"
    return Row(measure, str(len(findings)), "0", verdict, tuple(findings))


def render(rows: list[Row]) -> str:
    """Returns the table as text, with the first findings of each row below it."""
    lines = [f"{'measure':<48}{'value':<40}{'bound':<7}verdict", "-" * 102]
    for row in rows:
        lines.append(f"{row.measure:<48}{row.value:<40}{row.bound:<7}{row.verdict}".rstrip())
        lines += [f"      {finding}" for finding in row.findings[:MAX_SHOWN_FINDINGS]]
    return "\n".join(lines)


def has_broken_guarantee(rows: list[Row]) -> bool:
    """Returns whether a guarantee was broken or not measured."""
    return any(row.verdict == "BROKEN" for row in rows)


def has_missed_target(rows: list[Row]) -> bool:
    """Returns whether a target was missed."""
    return any(row.verdict == "missed" for row in rows)


def elapsed_s(since_ns: int) -> float:
    """Returns the seconds since a time of CLOCK_BOOTTIME in nanoseconds."""
    return (now_ns() - since_ns) / NS_PER_S
