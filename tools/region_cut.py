"""Cuts the link between two regions under load and reports the outcomes that callers got.

Exit code 0: every guarantee held; 1: a guarantee was broken or no request was executed; 2: the
fleet did not start.
"""

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import click
import msgspec

from auburnsail._load_report import RequestRecord
from standins.ledger import now_ns
from standins.link_model import Conditions

from . import ledger_checks as checks
from .demo_fleet import REGIONS, DemoFleet, FleetError, link_name
from .processes import Processes

REQUEST_MIX = ("GET /catalogue/{key} 6", "POST /catalogue/{key} 2", "POST /pledge/{id} 2")
NORMAL_CONDITIONS = Conditions(delay_ms=20, bytes_per_s=500_000_000)
CUT_CONDITIONS = Conditions(cut=True)
BEFORE_CUT_S = 5
CUT_S = 10
AFTER_CUT_S = 5
FIRST_CUT_PHASE_S = 1.0
NS_PER_S = 1_000_000_000


def start_load(fleet: DemoFleet, processes: Processes, folder: Path, rate: float) -> None:
    """Starts one load generator per region, which sends requests to the nodes of its region.

    Args:
        fleet: The fleet.
        processes: Starts the load generators.
        folder: Directory for the request logs, one ``<region>.log`` for each region.
        rate: Requests per second of all regions together.
    """
    for region in REGIONS:
        arguments = [vm.data_address for vm in fleet.vms if vm.region == region]
        for request in REQUEST_MIX:
            arguments += ["--request", request]
        arguments += ["--rate", str(rate / len(REGIONS)), "--deadline-ms", "1000"]
        arguments += ["--duration", str(BEFORE_CUT_S + CUT_S + AFTER_CUT_S), "--zipf", "0.5"]
        arguments += ["--log", str(folder / f"{region}.log"), "--run-id", region]
        processes.start(f"load-{region}", "auburnsail._cli_load", *arguments)


def read_log(path: Path) -> list[RequestRecord]:
    """Returns the records of a request log."""
    decoder = msgspec.json.Decoder(RequestRecord)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]


def summarize(records: list[RequestRecord]) -> str:
    """Returns the success rate, the number of requests and the most frequent other outcomes."""
    outcomes = Counter(record.outcome for record in records)
    total, ok = outcomes.total(), outcomes.pop("ok", 0)
    others = ", ".join(f"{name} {count}" for name, count in outcomes.most_common(4))
    return f"{ok / max(total, 1):8.2%} of {total:<6} {others}"


def print_report(fleet: DemoFleet, folder: Path, cut_ns: int, restored_ns: int) -> bool:
    """Prints the outcomes by phase and region, and the violations of guarantees.

    Args:
        fleet: The fleet.
        folder: Directory of the request logs.
        cut_ns: When the link was cut, in nanoseconds of CLOCK_BOOTTIME.
        restored_ns: When the link was restored.

    Returns:
        Whether requests were executed and no guarantee was broken.
    """
    logs = {region: read_log(folder / f"{region}.log") for region in REGIONS}
    phases = (
        ("before", 0, cut_ns),
        ("first second of the cut", cut_ns, cut_ns + int(FIRST_CUT_PHASE_S * NS_PER_S)),
        ("rest of the cut", cut_ns + int(FIRST_CUT_PHASE_S * NS_PER_S), restored_ns),
        ("after", restored_ns, 1 << 62),
    )
    for phase, start_ns, end_ns in phases:
        for region, records in logs.items():
            phase_records = [
                record for record in records if start_ns <= record.intended_ns < end_ns
            ]
            click.echo(f"{phase:<26}{region:<12}{summarize(phase_records)}")
    records = [record for region_records in logs.values() for record in region_records]
    executions = fleet.executions()
    shards = checks.granted_executions(executions, {})
    by_id = checks.executions_by_id(executions)
    findings = [
        *checks.double_ownership(shards),
        *checks.started_after_expiry(shards),
        *checks.repeated_executions(records, by_id),
        *checks.executed_despite_refusal(records, by_id),
    ]
    click.echo(f"guarantees: {len(findings)} findings in {len(executions)} executions")
    for finding in findings[:5]:
        click.echo(f"  {finding}")
    return not findings and bool(executions)


@click.command()
@click.option(
    "--rate", default=300.0, show_default=True, help="Requests per second of all regions together."
)
@click.option(
    "--between", nargs=2, type=click.Choice(REGIONS), default=("wien", "tirol"), show_default=True
)
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="Directory in which all files of the run are kept.",
)
def main(rate: float, between: tuple[str, str], keep: Path | None) -> None:
    """Cuts the link between two regions for ten seconds under load."""
    link_conditions = {
        link_name(a, b): NORMAL_CONDITIONS for a in REGIONS for b in REGIONS if a < b
    }
    with tempfile.TemporaryDirectory(prefix="auburnsail-cut-") as temporary_folder:
        folder = keep or Path(temporary_folder)
        folder.mkdir(parents=True, exist_ok=True)
        with Processes(folder) as processes:
            fleet = DemoFleet(processes, folder, link_conditions)
            try:
                fleet.start()
            except FleetError as error:
                click.echo(f"region-cut: {error}", err=True)
                sys.exit(2)
            start_load(fleet, processes, folder, rate)
            time.sleep(BEFORE_CUT_S)
            cut_ns = now_ns()
            fleet.change_link(link_name(*between), CUT_CONDITIONS)
            time.sleep(CUT_S)
            fleet.change_link(link_name(*between), NORMAL_CONDITIONS)
            restored_ns = now_ns()
            for region in REGIONS:
                processes.wait(f"load-{region}", AFTER_CUT_S + 10)
            is_ok = print_report(fleet, folder, cut_ns, restored_ns)
            for link, sides in fleet.link_traffic().items():
                traffic = [sides[side]["traffic"] for side in ("forward", "back")]
                stream = sum(side["stream_bytes"] for side in traffic)
                datagram = sum(side["datagram_bytes"] for side in traffic)
                click.echo(f"{link:<26}{stream} stream bytes, {datagram} datagram bytes")
    sys.exit(0 if is_ok else 1)


if __name__ == "__main__":
    main()
