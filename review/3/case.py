"""A liveness report that arrives after the deregistration of its sender."""

import asyncio
from pathlib import Path

from harness.case import run_case
from harness.deployment import CannotRunError, Deployment, Terms

HOST, PREFIX = "jepu9.example", "/lepu270/"
TERMS = Terms(heartbeat_ms=1500)
REPORT_LATE_S = 2.0
SERVES_ON_S = 8.0
REQUEST_INTERVAL_S = 0.03


async def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Plays the case; returns the breaches of DRAIN."""
    record, terms = deployment.record, deployment.terms
    leaving = [
        deployment.add_vm("l1", "ledger", "sahel-a", "sahel"),
        deployment.add_vm("l2", "ledger", "sahel-b", "sahel"),
    ]
    staying = deployment.add_vm("l3", "ledger", "sud-a", "sud")
    others = [
        deployment.add_vm("a1", "archive", "sahel-a", "sahel"),
        deployment.add_vm("a2", "archive", "sahel-b", "sahel"),
        deployment.add_vm("a3", "archive", "sud-a", "sud"),
        deployment.add_vm("a4", "archive", "sud-b", "sud"),
        deployment.add_vm("a5", "archive", "nord-a", "nord"),
    ]
    vms = (*leaving, staying, *others)
    routes = [
        {"name": "r-1", "host": HOST, "prefix": PREFIX, "kind": "unsafe", "service": "ledger"},
        {"name": "r-2", "host": HOST, "prefix": "/arch/", "kind": "safe", "service": "archive"},
    ]
    await deployment.store.put_config(deployment.config(7, routes, set()))
    for vm in vms:
        await deployment.start_node(vm, bootstrap=True)
    await deployment.wait_ready(*vms)
    for vm in vms:
        await deployment.start_backend(vm)
    await deployment.wait_served(others[0], PREFIX, HOST)
    is_ending = asyncio.Event()
    clients = [asyncio.create_task(send_requests(deployment, vm, is_ending)) for vm in others]
    # All machines are in touch from here on: nothing happens to them, their links or the store.
    await asyncio.sleep(terms.stable_window_ms / 1000 + 1.0)
    for vm in leaving:
        if not record.find("backend runs", backend=vm.backend.name):
            raise CannotRunError("a backend that is to leave got no requests before")
    acknowledged_s = await asyncio.gather(*(leave(deployment, vm, trouble) for vm in leaving))
    await asyncio.sleep(SERVES_ON_S)
    for vm in leaving:
        await vm.backend.exit()
    await asyncio.sleep(0.5)
    is_ending.set()
    await asyncio.gather(*clients)
    breaches = []
    for vm, since_s in zip(leaving, acknowledged_s, strict=True):
        breaches += late_requests(deployment, vm.backend.name, since_s)
    return breaches


async def leave(deployment: Deployment, vm, trouble: bool) -> float:
    """Lets a backend deregister; returns the time of the acknowledgement."""
    backend = vm.backend
    backend.stop_reports()
    if trouble:
        backend.late_reports[backend.sequence + 1] = REPORT_LATE_S
    await backend.send_report()
    if not await backend.deregister():
        raise CannotRunError("a deregistration was not acknowledged")
    return deployment.record.now_s()


def late_requests(deployment: Deployment, name: str, acknowledged_s: float) -> list[str]:
    """Returns a line if requests reached a backend too late after its acknowledged leaving."""
    record, drain_ms = deployment.record, deployment.terms.drain_ms
    refused = {item["id"] for item in record.find("backend refuses", backend=name)}
    delays = [
        item["t"] - acknowledged_s
        for item in record.find("request reaches backend", backend=name)
        if item["t"] > acknowledged_s + drain_ms / 1000 and item["id"] not in refused
    ]
    if not delays:
        return []
    return [
        f"DRAIN: {len(delays)} requests reached {name} later than {drain_ms} ms after its "
        f"deregistration was acknowledged: {min(delays):.2f} to {max(delays):.2f} s after it"
    ]


async def send_requests(deployment: Deployment, vm, is_ending: asyncio.Event) -> None:
    """Sends requests for the service of the leaving backend until the end of the case."""
    number = 0
    while not is_ending.is_set():
        number += 1
        await deployment.request(
            vm, f"{PREFIX}{number:x}", HOST, method="POST", body=b"book a wash"
        )
        await asyncio.sleep(REQUEST_INTERVAL_S)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play, TERMS)
