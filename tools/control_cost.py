"""Measures processor time, memory and traffic of nodes without load, idle and during restarts."""

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

MAX_CORE_SHARE = 0.021
MAX_RSS_MB = 32.0
MAX_BYTES_PER_S = 12_000
# An IPv4 header has 20 bytes and a UDP header 8.
DATAGRAM_HEADER_BYTES = 28
MEBIBYTE = 1 << 20

# Modules that a node imports, in this order. A module that several groups need is counted in the
# first of them.
IMPORT_GROUPS = (
    ("gevent core", "gevent gevent.socket"),
    ("structlog and click", "structlog click"),
    ("control: decision code", "auburnsail._membership auburnsail._moves"),
    ("data path and HTTP server", "auburnsail._pool auburnsail._forward auburnsail._http_server"),
    ("control: settings tree", "auburnsail._settings_log"),
    ("rest of the node", "auburnsail._cli_node"),
)
# The script replaces the package by an empty module, because the package re-exports everything.
IMPORT_SCRIPT = """
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
class Sample:
    """Cumulative counters and resident memory of a node at one time."""

    at_s: float
    cpu_s: float
    transferred_bytes: int
    rss_mb: float


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources that a node used over a period, without those of its upstream.

    Attributes:
        core_share: Processor time as a share of one core.
        bytes_per_s: Traffic in both directions, including the UDP and IP headers of datagrams.
        rss_mb: Resident memory at the end of the period.
    """

    core_share: float
    bytes_per_s: float
    rss_mb: float


def take_sample(member: Member) -> Sample:
    """Reads the counters of a node from the operating system and from its status."""
    process = psutil.Process(member.node.pid)
    status = member.get("/v1/status")
    datagrams = status["datagrams_sent"] + status["datagrams_received"]
    transferred_bytes = status["bytes_sent"] + status["bytes_received"] + status["http_bytes"]
    transferred_bytes += datagrams * DATAGRAM_HEADER_BYTES
    times = process.cpu_times()
    rss_mb = process.memory_info().rss / MEBIBYTE
    return Sample(time.monotonic(), times.user + times.system, transferred_bytes, rss_mb)


def measure_usage(members: list[Member], seconds: float) -> list[Usage]:
    """Returns the resources that each node uses over a period in seconds."""
    before = [take_sample(member) for member in members]
    gevent.sleep(seconds)
    after = [take_sample(member) for member in members]
    return [
        Usage(
            (end.cpu_s - start.cpu_s) / (end.at_s - start.at_s),
            (end.transferred_bytes - start.transferred_bytes) / (end.at_s - start.at_s),
            end.rss_mb,
        )
        for start, end in zip(before, after, strict=True)
    ]


def restart_in_turn(fleet: LocalFleet, restarted_nodes: list[str], interval_s: float) -> None:
    """Kills and restarts nodes in turn, one per interval, until its greenlet is killed."""
    while True:
        for name in restarted_nodes:
            fleet.kill(name)
            gevent.sleep(interval_s / 2)
            fleet.start(name)
            gevent.sleep(interval_s / 2)


def print_usage(label: str, usages: list[Usage]) -> bool:
    """Prints mean and maximum; returns whether processor time and traffic are within the bounds."""
    core_shares = [usage.core_share for usage in usages]
    byte_rates = [usage.bytes_per_s for usage in usages]
    rss_mb = [usage.rss_mb for usage in usages]
    click.echo(
        f"{label}: nodes={len(usages)}"
        f" core mean={mean(core_shares):.2%} max={max(core_shares):.2%} bound={MAX_CORE_SHARE:.1%};"
        f" bytes/s mean={mean(byte_rates):.0f} max={max(byte_rates):.0f} bound={MAX_BYTES_PER_S};"
        f" rss MB mean={mean(rss_mb):.1f} max={max(rss_mb):.1f} bound={MAX_RSS_MB:.0f}"
    )
    return max(core_shares) <= MAX_CORE_SHARE and max(byte_rates) <= MAX_BYTES_PER_S


def print_import_memory() -> None:
    """Prints the resident memory that each group of imports adds to a new interpreter."""
    groups = [f"{label}={names}" for label, names in IMPORT_GROUPS]
    command = [sys.executable, "-c", IMPORT_SCRIPT, *groups]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    for line in result.stdout.splitlines():
        label, _, kilobytes = line.rpartition(": ")
        click.echo(f"memory of imports, {label}: {int(kilobytes) / 1024:.1f} MB")


@click.command()
@click.option("--nodes", default=24, show_default=True)
@click.option(
    "--seconds", default=20.0, show_default=True, help="Length of each measurement in seconds."
)
@click.option(
    "--restart-every", default=10.0, show_default=True, help="Seconds between restarts of a node."
)
def main(nodes: int, seconds: float, restart_every: float) -> None:
    """Measures an idle fleet and one with restarts; exits with 1 if a bound is exceeded."""
    print_import_memory()
    fleet = start_fleet(nodes)
    try:
        gevent.sleep(3)
        members = list(fleet.members.values())
        is_within_bounds = print_usage("idle", measure_usage(members, seconds))
        restarted_nodes = [member.name for member in members[-4:]]
        # A fleet of the target size has 1,618 restarts and losses of nodes a day, one every 53 s.
        restarts = gevent.spawn(restart_in_turn, fleet, restarted_nodes, restart_every)
        gevent.sleep(restart_every / 2)
        usages = measure_usage(members[:-4], seconds)
        is_within_bounds = (
            print_usage(f"one restart every {restart_every:.0f} s", usages) and is_within_bounds
        )
        restarts.kill()
    finally:
        fleet.stop()
    is_over_memory = max(usage.rss_mb for usage in usages) > MAX_RSS_MB
    if is_over_memory:
        click.echo("memory: the whole process exceeds the bound; see the imports above")
    sys.exit(not is_within_bounds or is_over_memory)


if __name__ == "__main__":
    main()
