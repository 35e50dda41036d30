"""Measures what control costs a node: processor time, memory and bytes, idle and churning."""

import subprocess
import sys
import time
from dataclasses import dataclass
from statistics import mean

import click
import gevent
import psutil

from tests.fleet import ROOT, LocalFleet, Member
from tools.recovery import start_fleet

CORE_SHARE_BOUND = 0.021
MEMORY_BOUND_MB = 32.0
BYTES_PER_S_BOUND = 12_000
# An IPv4 header has 20 bytes and a UDP header 8.
DATAGRAM_HEADER_BYTES = 28
MB = 1 << 20

# What a node imports, in this order; each line adds what the lines before did not import.
IMPORT_GROUPS = (
    ("gevent core", "gevent gevent.socket"),
    ("structlog and click", "structlog click"),
    ("control: decision code", "auburnsail._membership auburnsail._moves"),
    ("data path and HTTP server", "auburnsail._pool auburnsail._forward auburnsail._http_server"),
    ("control: settings tree", "auburnsail._settings_log"),
    ("rest of the node", "auburnsail._cli_node"),
)
# The package itself re-exports everything, so an empty one stands in for it.
MEASURE_IMPORTS = """
import importlib, re, sys, types
def rss():
    return int(re.search(r"VmRSS:\\s+(\\d+)", open("/proc/self/status").read())[1])
package = types.ModuleType("auburnsail")
package.__path__ = ["src/auburnsail"]
sys.modules["auburnsail"] = package
print("interpreter", rss(), sep=": ")
import auburnsail._lazy
for group in sys.argv[1:]:
    label, _, names = group.partition("=")
    before = rss()
    for name in names.split():
        importlib.import_module(name)
    print(label, rss() - before, sep=": ")
print("sum", rss(), sep=": ")
"""


@dataclass(frozen=True, slots=True)
class Reading:
    """Counters of one node at one moment."""

    at_s: float
    cpu_s: float
    bytes_moved: int
    rss_mb: float


@dataclass(frozen=True, slots=True)
class Cost:
    """What one node used over a period."""

    core_share: float
    bytes_per_s: float
    rss_mb: float


def read(member: Member) -> Reading:
    """Reads a node's counters from /proc and from the node itself."""
    process = psutil.Process(member.node.pid)
    status = member.get("/v1/status")
    datagrams = status["datagrams_sent"] + status["datagrams_received"]
    moved = status["bytes_sent"] + status["bytes_received"] + status["http_bytes"]
    moved += datagrams * DATAGRAM_HEADER_BYTES
    times = process.cpu_times()
    rss_mb = process.memory_info().rss / MB
    return Reading(time.monotonic(), times.user + times.system, moved, rss_mb)


def measure(members: list[Member], seconds: float) -> list[Cost]:
    """Returns each node's cost over a period."""
    before = [read(member) for member in members]
    gevent.sleep(seconds)
    after = [read(member) for member in members]
    return [
        Cost(
            (end.cpu_s - start.cpu_s) / (end.at_s - start.at_s),
            (end.bytes_moved - start.bytes_moved) / (end.at_s - start.at_s),
            end.rss_mb,
        )
        for start, end in zip(before, after, strict=True)
    ]


def churn(fleet: LocalFleet, victims: list[str], every_s: float) -> None:
    """Kills and restarts nodes in turn until it is stopped."""
    while True:
        for name in victims:
            fleet.kill(name)
            gevent.sleep(every_s / 2)
            fleet.start(name)
            gevent.sleep(every_s / 2)


def report(label: str, costs: list[Cost]) -> bool:
    """Prints mean and maximum; returns whether processor time and bytes keep the bounds."""
    shares = [cost.core_share for cost in costs]
    rates = [cost.bytes_per_s for cost in costs]
    rss = [cost.rss_mb for cost in costs]
    click.echo(
        f"{label}: nodes={len(costs)}"
        f" core mean={mean(shares):.2%} max={max(shares):.2%} bound={CORE_SHARE_BOUND:.1%};"
        f" bytes/s mean={mean(rates):.0f} max={max(rates):.0f} bound={BYTES_PER_S_BOUND};"
        f" rss MB mean={mean(rss):.1f} max={max(rss):.1f} bound={MEMORY_BOUND_MB:.0f}"
    )
    return max(shares) <= CORE_SHARE_BOUND and max(rates) <= BYTES_PER_S_BOUND


def report_imports() -> None:
    """Prints the resident memory that groups of imports add."""
    groups = [f"{label}={names}" for label, names in IMPORT_GROUPS]
    command = [sys.executable, "-c", MEASURE_IMPORTS, *groups]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    for line in result.stdout.splitlines():
        label, _, kilobytes = line.rpartition(": ")
        click.echo(f"memory of imports, {label}: {int(kilobytes) / 1024:.1f} MB")


@click.command()
@click.option("--nodes", default=24, show_default=True)
@click.option("--seconds", default=20.0, show_default=True, help="Length of each measurement.")
@click.option(
    "--restart-every", default=10.0, show_default=True, help="Seconds between restarts of a node."
)
def main(nodes: int, seconds: float, restart_every: float) -> None:
    """Measures an idle and a churning fleet; exits with 1 if a bound is broken."""
    report_imports()
    fleet = start_fleet(nodes)
    try:
        gevent.sleep(3)
        members = list(fleet.members.values())
        kept = report("idle", measure(members, seconds))
        victims = [member.name for member in members[-4:]]
        # The whole fleet at target size has 1,618 restarts and losses a day, one every 53 s.
        job = gevent.spawn(churn, fleet, victims, restart_every)
        gevent.sleep(restart_every / 2)
        costs = measure(members[:-4], seconds)
        kept = report(f"one restart every {restart_every:.0f} s", costs) and kept
        job.kill()
    finally:
        fleet.stop()
    over = max(cost.rss_mb for cost in costs) > MEMORY_BOUND_MB
    if over:
        click.echo("memory: the whole process is over the bound; see the imports above")
    sys.exit(not kept or over)


if __name__ == "__main__":
    main()
