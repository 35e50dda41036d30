"""Measures how soon the keys of a killed node are served again by another one."""

import random
import sys
import time

import click
import gevent

from auburnsail._pool import HttpPeer
from auburnsail.exceptions import AuburnsailError
from tests.fleet import LocalFleet, wait_until

TREE = {"services": {"catalogue": {"keyed": True, "shards": 512}}}
PLACES = [
    (region, f"{region}-{domain}") for region in ("nord", "sahel", "sud") for domain in (1, 2)
]
BOUND_S = 1.0
GIVE_UP_S = 10.0
KEYS_PER_KILL = 5
POLL_S = 0.005


def start_fleet(nodes: int) -> LocalFleet:
    """Starts a fleet over three regions with two domains each."""
    fleet = LocalFleet(TREE, quiet=True)
    for number in range(nodes):
        region, domain = PLACES[number % len(PLACES)]
        fleet.add_node(f"node-{number:02d}", region, domain, "catalogue", store_region="nord")
    fleet.wait_ready(owners=nodes)
    return fleet


def keys_of(fleet: LocalFleet, victim: str, asked: str, rng: random.Random) -> list[str]:
    """Returns keys that a node owns."""
    keys: list[str] = []
    for _ in range(5000):
        key = f"key-{rng.getrandbits(40):x}"
        place = fleet.members[asked].get(f"/v1/explain?service=catalogue&key={key}")
        if place["owner"].startswith(f"{victim}#"):
            keys.append(key)
        if len(keys) == KEYS_PER_KILL:
            return keys
    raise RuntimeError(f"{victim} owns too few keys")


def time_until_served(address: str, key: str, start_s: float) -> float:
    """Returns the seconds from a start until a key is served."""
    peer = HttpPeer(address)
    while time.monotonic() - start_s < GIVE_UP_S:
        try:
            if peer.fetch("GET", f"/catalogue/{key}", timeout_s=0.5).status == 200:
                return time.monotonic() - start_s
        except AuburnsailError:
            pass
        gevent.sleep(POLL_S)
    return float("inf")


def kill_once(fleet: LocalFleet, rng: random.Random) -> list[float]:
    """Kills a node with its upstream, measures, and starts it again."""
    names = sorted(fleet.members)
    states = {name: fleet.members[name].get("/v1/status") for name in names}
    victim = rng.choice([name for name in names if states[name]["shards"] >= 10])
    asked = rng.choice([name for name in names if name != victim])
    keys = keys_of(fleet, victim, asked, rng)
    address = fleet.members[asked].data
    gevent.sleep(rng.uniform(0, 0.2))
    start_s = time.monotonic()
    fleet.kill(victim)
    jobs = [gevent.spawn(time_until_served, address, key, start_s) for key in keys]
    gevent.joinall(jobs)
    fleet.start(victim)
    wait_until(lambda: fleet.members[victim].get("/v1/status")["may_serve"], f"return of {victim}")
    return [job.value for job in jobs]


def quantile(values: list[float], share: float) -> float:
    """Returns the smallest value that at least a share of the values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, int(len(ordered) * share + 0.999999) - 1))]


@click.command()
@click.option("--nodes", default=12, show_default=True)
@click.option("--kills", default=30, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(nodes: int, kills: int, seed: int) -> None:
    """Kills nodes one after the other and prints the times until their keys are served again."""
    rng = random.Random(seed)
    fleet = start_fleet(nodes)
    times: list[float] = []
    worst: list[float] = []
    try:
        for number in range(kills):
            measured = kill_once(fleet, rng)
            times += measured
            worst.append(max(measured))
            click.echo(f"kill {number + 1}: {max(measured) * 1000:.0f} ms")
            gevent.sleep(rng.uniform(0.5, 1.0))
    finally:
        fleet.stop()
    click.echo(
        f"recovery: nodes={nodes} kills={kills} keys={len(times)} seed={seed}"
        f" p50={quantile(times, 0.5) * 1000:.0f}ms p99={quantile(times, 0.99) * 1000:.0f}ms"
        f" worst={max(worst) * 1000:.0f}ms bound={BOUND_S * 1000:.0f}ms"
    )
    sys.exit(quantile(worst, 0.99) > BOUND_S)


if __name__ == "__main__":
    main()
