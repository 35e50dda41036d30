"""Measures the time until the keys of a killed node are served by another node."""

import random
import sys
import time

import click
import gevent

from auburnsail._pool import HttpPeer
from auburnsail.exceptions import AuburnsailError
from tests.fleet import LocalFleet, wait_until

TREE = {"services": {"catalogue": {"keyed": True, "shards": 512}}}
LOCATIONS = [
    (region, f"{region}-{domain}") for region in ("nord", "sahel", "sud") for domain in (1, 2)
]
MAX_RECOVERY_S = 1.0
MEASUREMENT_TIMEOUT_S = 10.0
KEYS_PER_KILL = 5
POLL_INTERVAL_S = 0.005


def start_fleet(nodes: int) -> LocalFleet:
    """Starts a fleet in three regions with two failure domains each; waits until it is settled."""
    fleet = LocalFleet(TREE, quiet=True)
    for number in range(nodes):
        region, domain = LOCATIONS[number % len(LOCATIONS)]
        fleet.add_node(f"node-{number:02d}", region, domain, "catalogue", store_region="nord")
    fleet.wait_ready(owners=nodes)
    return fleet


def find_owned_keys(fleet: LocalFleet, victim: str, observer: str, rng: random.Random) -> list[str]:
    """Returns random keys that a node owns.

    Args:
        fleet: The fleet.
        victim: Name of the node.
        observer: Name of the node that is asked for the owner of each key.
        rng: Source of the keys.

    Raises:
        RuntimeError: Too few of 5,000 random keys belong to the node.
    """
    keys: list[str] = []
    for _ in range(5000):
        key = f"key-{rng.getrandbits(40):x}"
        route = fleet.members[observer].get(f"/v1/explain?service=catalogue&key={key}")
        if route["owner"].startswith(f"{victim}#"):
            keys.append(key)
        if len(keys) == KEYS_PER_KILL:
            return keys
    raise RuntimeError(f"{victim} owns too few of 5,000 random keys")


def time_until_served(address: str, key: str, start_s: float) -> float:
    """Returns the seconds from a start time until a key is served; infinity after a timeout."""
    peer = HttpPeer(address)
    while time.monotonic() - start_s < MEASUREMENT_TIMEOUT_S:
        try:
            if peer.fetch("GET", f"/catalogue/{key}", timeout_s=0.5).status == 200:
                return time.monotonic() - start_s
        except AuburnsailError:
            pass
        gevent.sleep(POLL_INTERVAL_S)
    return float("inf")


def measure_kill(fleet: LocalFleet, rng: random.Random) -> list[float]:
    """Kills a random node and its upstream and starts them again.

    Returns:
        For each of several keys of the node, the seconds until another node served the key.
    """
    names = sorted(fleet.members)
    statuses = {name: fleet.members[name].get("/v1/status") for name in names}
    victim = rng.choice([name for name in names if statuses[name]["shards"] >= 10])
    observer = rng.choice([name for name in names if name != victim])
    keys = find_owned_keys(fleet, victim, observer, rng)
    address = fleet.members[observer].data
    gevent.sleep(rng.uniform(0, 0.2))
    start_s = time.monotonic()
    fleet.kill(victim)
    measurements = [gevent.spawn(time_until_served, address, key, start_s) for key in keys]
    gevent.joinall(measurements)
    fleet.start(victim)
    wait_until(lambda: fleet.members[victim].get("/v1/status")["may_serve"], f"restart of {victim}")
    return [measurement.value for measurement in measurements]


def quantile(values: list[float], fraction: float) -> float:
    """Returns the smallest value that at least a fraction of the values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, int(len(ordered) * fraction + 0.999999) - 1))]


@click.command()
@click.option("--nodes", default=12, show_default=True)
@click.option("--kills", default=30, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(nodes: int, kills: int, seed: int) -> None:
    """Kills nodes one after another and prints the times until their keys are served again.

    Exits with 1 if the 99th percentile of the slowest key of each kill exceeds the bound.
    """
    rng = random.Random(seed)
    fleet = start_fleet(nodes)
    recovery_times: list[float] = []
    slowest_of_kills: list[float] = []
    try:
        for number in range(kills):
            times_of_kill = measure_kill(fleet, rng)
            recovery_times += times_of_kill
            slowest_of_kills.append(max(times_of_kill))
            click.echo(f"kill {number + 1}: {max(times_of_kill) * 1000:.0f} ms")
            gevent.sleep(rng.uniform(0.5, 1.0))
    finally:
        fleet.stop()
    click.echo(
        f"recovery: nodes={nodes} kills={kills} keys={len(recovery_times)} seed={seed}"
        f" p50={quantile(recovery_times, 0.5) * 1000:.0f}ms"
        f" p99={quantile(recovery_times, 0.99) * 1000:.0f}ms"
        f" worst={max(slowest_of_kills) * 1000:.0f}ms bound={MAX_RECOVERY_S * 1000:.0f}ms"
    )
    sys.exit(quantile(slowest_of_kills, 0.99) > MAX_RECOVERY_S)


if __name__ == "__main__":
    main()
