"""Two backends leave, one of them the only one of a sharded service, and another one is added."""

import asyncio
from pathlib import Path

from harness.case import run_case
from harness.deployment import CannotRunError, Deployment

HOST, PREFIX = "jepu9.example", "/lepu270/"
KEYS = (3, 9_000, 30_000, 60_000)
# "Two backends that are up hold the same keys for over half a second, with requests or without."
MAX_OVERLAP_S = 0.5
# The backend of the sharded service leaves so long after the other one.
LEAVES_AFTER_S = 0.08
# The new backend starts so long after the old one has begun to drain.
NEW_STARTS_AFTER_S = 1.0
# "It continues serving for drain-ms after the ack and a little longer (at times many seconds)."
SERVES_LONGER_S = 3.0
REQUEST_INTERVAL_S = 0.05


async def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Plays the case; returns the breaches of OWNER."""
    record, terms = deployment.record, deployment.terms
    old = deployment.add_vm("p1", "portal", "nord-a", "nord", sharded=True)
    new = deployment.add_vm("p2", "portal", "nord-b", "nord", sharded=True)
    other_leaving = deployment.add_vm("l1", "ledger", "sahel-a", "sahel")
    others = [
        deployment.add_vm("l2", "ledger", "sahel-b", "sahel"),
        deployment.add_vm("a1", "archive", "sud-a", "sud"),
        deployment.add_vm("a2", "archive", "sud-b", "sud"),
        deployment.add_vm("a3", "archive", "sahel-a", "sahel"),
        deployment.add_vm("l3", "ledger", "sud-a", "sud"),
        deployment.add_vm("l4", "ledger", "nord-b", "nord"),
        other_leaving,
    ]
    routes = [
        {"name": "r-1", "host": HOST, "prefix": PREFIX, "kind": "safe", "service": "portal"},
        {"name": "r-2", "host": HOST, "prefix": "/ledg/", "kind": "safe", "service": "ledger"},
        {"name": "r-3", "host": HOST, "prefix": "/arch/", "kind": "safe", "service": "archive"},
    ]
    await deployment.store.put_config(deployment.config(7, routes, {"portal"}))
    for vm in (old, *others):
        await deployment.start_node(vm, bootstrap=True)
    await deployment.wait_ready(old, *others)
    for vm in (old, *others):
        await deployment.start_backend(vm)
    for key in KEYS:
        await deployment.wait_served(others[0], PREFIX, HOST, key=key)
    is_ending = asyncio.Event()
    client = asyncio.create_task(send_requests(deployment, others[0], is_ending))
    await asyncio.sleep(terms.stable_window_ms / 1000 + 1.0)

    # A machine is added, two backends leave, and the backend of the new machine starts.
    await deployment.start_node(new)
    await deployment.wait_ready(new)
    leaving = []
    if trouble:
        leaving.append(asyncio.create_task(drain(deployment, other_leaving)))
        await asyncio.sleep(LEAVES_AFTER_S)
        leaving.append(asyncio.create_task(drain(deployment, old)))
    await asyncio.sleep(NEW_STARTS_AFTER_S)
    await deployment.start_backend(new)
    await asyncio.gather(*leaving)
    await asyncio.sleep(4.0)
    is_ending.set()
    await client
    if not record.find("backend runs", backend=new.backend.name):
        raise CannotRunError("the new backend got no requests")
    record.end_holds()
    return [
        f"OWNER: {one} and {two} held the same keys from {since_s:.2f} to {until_s:.2f} s, "
        f"{until_s - since_s:.2f} s"
        for one, two, since_s, until_s in record.overlaps
        if until_s - since_s > MAX_OVERLAP_S
    ]


async def drain(deployment: Deployment, vm) -> None:
    """Lets a backend report that it drains, serve on, deregister and exit."""
    record, backend = deployment.record, vm.backend
    backend.stop_reports()
    backend.state = "draining"
    sequence = backend.sequence + 1
    backend.start_reports()
    while not record.find("report acknowledged", backend=backend.name, sequence=sequence):
        await asyncio.sleep(0.01)
    await asyncio.sleep(deployment.terms.drain_ms / 1000 + SERVES_LONGER_S)
    await backend.deregister()
    await backend.exit()


async def send_requests(deployment: Deployment, vm, is_ending: asyncio.Event) -> None:
    """Sends requests for some keys until the end of the case."""
    number = 0
    while not is_ending.is_set():
        number += 1
        key = KEYS[number % len(KEYS)]
        await deployment.request(vm, f"{PREFIX}{number:x}", HOST, key=key)
        await asyncio.sleep(REQUEST_INTERVAL_S)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
