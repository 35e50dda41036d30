"""Benchmark of the request path: direct to the upstream, over one node and over two nodes.

Each path is measured with small answers and with answers of 64 MB. The processor time of a process
is read from the operating system before and after a run and divided by the requests answered in
between, so it includes the timers of the node.
"""

import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec
import psutil

from auburnsail._pool import HttpPeer
from tests.fleet import ROOT, SECRET, wait_until
from tools.bench_processes import LoadResult
from tools.ports import reserve_port

LARGE_BODY_BYTES = 64 << 20
SHARDS = 64
MAX_HOP_CPU_US = 300
RSS_INTERVAL_S = 0.02
BOTTLENECK_CPU_SHARE = 0.85
# Rate of each load generator while the latency is measured.
PACED_RATE_PER_S = 200


class Bench:
    """A platform stand-in, two nodes named ``a`` and ``b``, and their upstreams.

    Args:
        folder: Directory for settings files and the output of the processes.

    Attributes:
        data_addresses: Data address of each node.
        upstream_addresses: Address of each node's local upstream.
    """

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)
        self._environ = dict(os.environ, PYTHONPATH=f"{ROOT / 'src'}:{ROOT}")
        self._processes: dict[str, subprocess.Popen] = {}
        self.data_addresses: dict[str, str] = {}
        self.upstream_addresses: dict[str, str] = {}
        self._store_address = f"127.0.0.1:{reserve_port()}"

    def start(self) -> None:
        """Starts all processes and waits until both nodes answer requests for many keys."""
        self._spawn("platform", "standins.platform", "--listen", self._store_address)
        platform = HttpPeer(self._store_address)
        wait_until(
            lambda: platform.fetch("GET", "/admin/faults", timeout_s=1).status == 200,
            "platform start",
        )
        tree = self._folder / "tree.json"
        services = {"catalogue": {"keyed": True, "shards": SHARDS}}
        tree.write_bytes(msgspec.json.encode({"services": services}))
        command = ["-m", "auburnsail._cli_operator", "settings", "init"]
        subprocess.run(
            [sys.executable, *command, "--store", f"http://{self._store_address}", str(tree)],
            env=self._environ,
            cwd=ROOT,
            check=True,
            capture_output=True,
        )
        for name in ("a", "b"):
            self._start_node(name)
        for address in self.data_addresses.values():
            for number in range(SHARDS):
                wait_until(lambda a=address, n=number: self.owner_name(a, n) != "", "first answer")

    def stop(self) -> None:
        """Kills the processes that this benchmark started."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()

    def owner_name(self, address: str, number: int) -> str:
        """Returns the name of the upstream that answers for a key; empty without an answer."""
        answer = HttpPeer(address).fetch("GET", f"/catalogue/key-{number}", timeout_s=2)
        return answer.body.decode().strip() if answer.status == 200 else ""

    def find_owned_key(self, name: str) -> str:
        """Returns a key whose owner is the given node."""
        address = self.data_addresses["a"]
        return next(f"key-{n}" for n in range(1000) if self.owner_name(address, n) == name)

    def process(self, name: str) -> psutil.Process:
        """Returns a process, such as ``node a`` or ``upstream b``."""
        return psutil.Process(self._processes[name].pid)

    def _start_node(self, name: str) -> None:
        data, control, upstream = (f"127.0.0.1:{reserve_port()}" for _ in range(3))
        path = self._folder / f"{name}.json"
        settings = {
            "node": name,
            "region": "wien",
            "domain": f"wien-{name}",
            "data_address": data,
            "control_address": control,
            "store_url": f"http://{self._store_address}",
            "objects_url": f"http://{self._store_address}",
            "fleet_secret": SECRET,
        }
        path.write_bytes(msgspec.json.encode(settings))
        self._spawn(f"node {name}", "auburnsail._cli_node", str(path))
        arguments = ["--name", name, "--service", "catalogue"]
        arguments += ["--listen", upstream, "--node", control]
        self._spawn(f"upstream {name}", "tools.bench_processes", "upstream", *arguments)
        self.data_addresses[name] = data
        self.upstream_addresses[name] = upstream

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        log = (self._folder / "log.txt").open("ab")
        self._processes[name] = subprocess.Popen(
            command, env=self._environ, cwd=ROOT, stdout=log, stderr=log
        )


@dataclass(slots=True)
class RunResult:
    """Results of one run.

    Attributes:
        requests: Number of requests that were answered with a whole body.
        errors: Number of other requests.
        wall_s: Duration of the longest load generator.
        latencies_us: Latency of each answered request.
        cpu_s: Processor time of each measured process.
        client_cpu_share: Highest processor time of a load generator, as a share of one core.
        peak_rss_mb: Highest resident memory of each measured process.
    """

    requests: int
    errors: int
    wall_s: float
    latencies_us: list[int]
    cpu_s: dict[str, float]
    client_cpu_share: float
    peak_rss_mb: dict[str, float]

    def cpu_us(self, name: str) -> float:
        """Returns the processor time of a process per request in microseconds."""
        return self.cpu_s[name] / max(1, self.requests) * 1e6

    def latency_us(self, fraction: float) -> int:
        """Returns the latency in microseconds that a fraction of the requests did not exceed."""
        ordered = sorted(self.latencies_us)
        return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] if ordered else 0

    def bottlenecks(self) -> str:
        """Returns the processes that used most of one core, which therefore limited the rate."""
        cpu_shares = {name: cpu_s / self.wall_s for name, cpu_s in self.cpu_s.items()}
        cpu_shares["load generators"] = self.client_cpu_share
        busiest = [f"{n} {v:.0%}" for n, v in cpu_shares.items() if v >= BOTTLENECK_CPU_SHARE]
        return ", ".join(busiest) or "none above " + f"{BOTTLENECK_CPU_SHARE:.0%}"


def measure(
    bench: Bench,
    address: str,
    target: str,
    names: list[str],
    *,
    clients: int,
    connections: int,
    seconds: float,
    rate: float = 0.0,
) -> RunResult:
    """Runs load generators and measures processes at the same time.

    Args:
        bench: The processes of the benchmark.
        address: Address that receives the requests.
        target: Request target.
        names: Names of the processes to measure.
        clients: Number of load generators.
        connections: Number of connections of each load generator.
        seconds: Length of the run.
        rate: Requests per second of each load generator; 0 for no limit.
    """
    command = [sys.executable, "-m", "tools.bench_processes", "load", address, target]
    command += ["--seconds", str(seconds), "--connections", str(connections), "--rate", str(rate)]
    environ = dict(os.environ, PYTHONPATH=f"{ROOT / 'src'}:{ROOT}")
    processes = {name: bench.process(name) for name in names}
    before = {name: _cpu_s(process) for name, process in processes.items()}
    peak_rss_mb = dict.fromkeys(names, 0.0)
    generators = [
        subprocess.Popen(command, env=environ, cwd=ROOT, stdout=subprocess.PIPE)
        for _ in range(clients)
    ]
    watch_s = seconds + 0.5
    end = time.monotonic() + watch_s
    while time.monotonic() < end:
        for name, process in processes.items():
            peak_rss_mb[name] = max(peak_rss_mb[name], process.memory_info().rss / (1 << 20))
        time.sleep(RSS_INTERVAL_S)
    results = [msgspec.json.decode(p.communicate()[0], type=LoadResult) for p in generators]
    cpu_s = {name: _cpu_s(process) - before[name] for name, process in processes.items()}
    return RunResult(
        sum(result.requests for result in results),
        sum(result.errors for result in results),
        max(result.wall_s for result in results),
        [value for result in results for value in result.latencies_us],
        cpu_s,
        max(result.cpu_s / result.wall_s for result in results),
        peak_rss_mb,
    )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _measure_small_answers(bench: Bench, seconds: float) -> float:
    local_key, remote_key = bench.find_owned_key("a"), bench.find_owned_key("b")
    cases = (
        ("direct", bench.upstream_addresses["a"], local_key, ["upstream a"]),
        ("one hop", bench.data_addresses["a"], local_key, ["node a", "upstream a"]),
        ("two hops", bench.data_addresses["a"], remote_key, ["node a", "node b", "upstream b"]),
    )
    click.echo(
        f"{'path':<10}{'req/s':>8}{'errors':>8}{'CPU us per request and node':>30}"
        f"{'p50 us':>8}{'p99 us':>8}  at {2 * PACED_RATE_PER_S}/s; limiting at full load"
    )
    hop_cpu_us = 0.0
    for label, address, key, names in cases:
        target = f"/catalogue/{key}"
        full = measure(bench, address, target, names, clients=3, connections=6, seconds=seconds)
        paced = measure(
            bench,
            address,
            target,
            names,
            clients=2,
            connections=4,
            seconds=seconds,
            rate=PACED_RATE_PER_S,
        )
        nodes = [name for name in names if name.startswith("node")]
        cpu = ", ".join(f"{name} {full.cpu_us(name):.0f}" for name in nodes) or "-"
        click.echo(
            f"{label:<10}{full.requests / full.wall_s:>8.0f}{full.errors + paced.errors:>8}"
            f"{cpu:>30}{paced.latency_us(0.5):>8}{paced.latency_us(0.99):>8}  {full.bottlenecks()}"
        )
        if label == "one hop":
            hop_cpu_us = full.cpu_us("node a")
    return hop_cpu_us


def _measure_large_answers(bench: Bench, seconds: float) -> None:
    local_key, remote_key = bench.find_owned_key("a"), bench.find_owned_key("b")
    cases = (
        ("direct", bench.upstream_addresses["a"], local_key, ["upstream a"]),
        ("one hop", bench.data_addresses["a"], local_key, ["node a", "upstream a"]),
        ("two hops", bench.data_addresses["a"], remote_key, ["node a", "node b", "upstream b"]),
    )
    click.echo(f"\n{'64 MB':<10}{'MB/s':>8}{'errors':>8}  CPU ms per MB, peak RSS MB")
    for label, address, key, names in cases:
        target = f"/catalogue/{key}/large"
        run = measure(bench, address, target, names, clients=2, connections=2, seconds=seconds)
        megabytes = run.requests * LARGE_BODY_BYTES / (1 << 20)
        nodes = [name for name in names if name.startswith("node")]
        detail = "; ".join(
            f"{n} {run.cpu_s[n] * 1000 / max(1, megabytes):.2f} ms, {run.peak_rss_mb[n]:.0f} MB"
            for n in nodes
        )
        click.echo(f"{label:<10}{megabytes / run.wall_s:>8.0f}{run.errors:>8}  {detail}")


@click.command()
@click.option("--seconds", default=4.0, show_default=True, help="Length of each run in seconds.")
def main(seconds: float) -> None:
    """Measures the request path; exits with 1 if one hop uses more CPU time than its limit."""
    with tempfile.TemporaryDirectory(prefix="auburnsail-bench-") as folder:
        bench = Bench(folder)
        try:
            bench.start()
            hop_cpu_us = _measure_small_answers(bench, seconds)
            _measure_large_answers(bench, seconds)
        finally:
            bench.stop()
    verdict = "within" if hop_cpu_us <= MAX_HOP_CPU_US else "above"
    click.echo(
        f"\nbench: one hop {hop_cpu_us:.0f} us CPU, {verdict} the limit of {MAX_HOP_CPU_US} us"
    )
    sys.exit(hop_cpu_us > MAX_HOP_CPU_US)


if __name__ == "__main__":
    main()
