"""Cuts the link between two regions under load and reports what callers saw.

Exit code 0: every guarantee held; 1: one broke; 2: the fleet did not start.
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

MIX = ("GET /catalogue/{key} 6", "POST /catalogue/{key} 2", "POST /pledge/{id} 2")
NORMAL = Conditions(delay_ms=20, bytes_per_s=500_000_000)
CUT = Conditions(cut=True)
BEFORE_S = 5
CUT_S = 10
AFTER_S = 5
SETTLE_S = 1.0
NS_PER_S = 1_000_000_000


def run_load(fleet: DemoFleet, processes: Processes, folder: Path, rate: float) -> None:
    """Starts one load process per region, which asks the nodes of its region."""
    for region in REGIONS:
        arguments = [vm.data for vm in fleet.vms if vm.region == region]
        for kind in MIX:
            arguments += ["--request", kind]
        arguments += ["--rate", str(rate / len(REGIONS)), "--deadline-ms", "1000"]
        arguments += ["--duration", str(BEFORE_S + CUT_S + AFTER_S), "--zipf", "0.5"]
        arguments += ["--log", str(folder / f"{region}.log"), "--run-id", region]
        processes.start(f"load-{region}", "auburnsail._cli_load", *arguments)


def read_log(path: Path) -> list[RequestRecord]:
    """Returns the records of a load run."""
    decoder = msgspec.json.Decoder(RequestRecord)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]


def summary(records: list[RequestRecord]) -> str:
    """Returns the share of successes and the other outcomes."""
    outcomes = Counter(record.outcome for record in records)
    total, ok = outcomes.total(), outcomes.pop("ok", 0)
    others = ", ".join(f"{name} {count}" for name, count in outcomes.most_common(4))
    return f"{ok / max(total, 1):8.2%} of {total:<6} {others}"


def report(fleet: DemoFleet, folder: Path, cut_ns: int, healed_ns: int) -> bool:
    """Prints the outcome of the run; returns whether no guarantee broke."""
    logs = {region: read_log(folder / f"{region}.log") for region in REGIONS}
    phases = (
        ("before", 0, cut_ns),
        ("first second of the cut", cut_ns, cut_ns + int(SETTLE_S * NS_PER_S)),
        ("rest of the cut", cut_ns + int(SETTLE_S * NS_PER_S), healed_ns),
        ("after", healed_ns, 1 << 62),
    )
    for phase, start_ns, end_ns in phases:
        for region, records in logs.items():
            part = [record for record in records if start_ns <= record.intended_ns < end_ns]
            click.echo(f"{phase:<26}{region:<12}{summary(part)}")
    records = [record for log in logs.values() for record in log]
    executions = fleet.ledgers()
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
@click.option("--rate", default=300.0, show_default=True, help="Requests per second in all.")
@click.option(
    "--between", nargs=2, type=click.Choice(REGIONS), default=("wien", "tirol"), show_default=True
)
@click.option("--keep", type=click.Path(path_type=Path), help="Folder that keeps all files.")
def main(rate: float, between: tuple[str, str], keep: Path | None) -> None:
    """Cuts one link between regions for ten seconds under load."""
    links = {link_name(a, b): NORMAL for a in REGIONS for b in REGIONS if a < b}
    with tempfile.TemporaryDirectory(prefix="auburnsail-cut-") as name:
        folder = keep or Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        with Processes(folder) as processes:
            fleet = DemoFleet(processes, folder, links)
            try:
                fleet.start()
            except FleetError as error:
                click.echo(f"region-cut: {error}", err=True)
                sys.exit(2)
            run_load(fleet, processes, folder, rate)
            time.sleep(BEFORE_S)
            cut_ns = now_ns()
            fleet.change_link(link_name(*between), CUT)
            time.sleep(CUT_S)
            fleet.change_link(link_name(*between), NORMAL)
            healed_ns = now_ns()
            for region in REGIONS:
                processes.wait(f"load-{region}", AFTER_S + 10)
            held = report(fleet, folder, cut_ns, healed_ns)
            for link, sides in fleet.link_traffic().items():
                traffic = [sides[side]["traffic"] for side in ("forward", "back")]
                stream = sum(side["stream_bytes"] for side in traffic)
                datagram = sum(side["datagram_bytes"] for side in traffic)
                click.echo(f"{link:<26}{stream} stream bytes, {datagram} datagram bytes")
    sys.exit(0 if held else 1)


if __name__ == "__main__":
    main()
