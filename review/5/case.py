"""The node beside a draining backend is killed after its acknowledgement and starts again."""

import asyncio
import signal
from pathlib import Path

from harness.case import run_case
from harness.deployment import CannotRunError, Deployment, Terms

HOST, PREFIX = "jepu9.example", "/lepu270/"
TERMS = Terms(heartbeat_ms=1500)
KILLED_AFTER_S = 0.3
# "A process that exits or is killed is restarted after a short delay."
RESTARTED_AFTER_S = 1.0
SERVES_ON_S = 8.0
REQUEST_INTERVAL_S = 0.03


async def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Plays the case; returns the breaches of DRAIN."""
    record, terms = deployment.record, deployment.terms
    leaving = deployment.add_vm("l1", "ledger", "sahel-a", "sahel")
    staying = deployment.add_vm("l2", "ledger", "sud-a", "sud")
    others = [
        deployment.add_vm("a1", "archive", "sahel-a", "sahel"),
        deployment.add_vm("a2", "archive", "sahel-b", "sahel"),
    ]
    vms = (leaving, staying, *others)
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
    await asyncio.sleep(terms.stable_window_ms / 1000 + 1.0)
    backend = leaving.backend
    if not record.find("backend runs", backend=backend.name):
        raise CannotRunError("the backend that is to leave got no requests before")

    backend.stop_reports()
    backend.state = "draining"
    if not await backend.send_report():
        raise CannotRunError("the draining report was not acknowledged")
    acknowledged_s = in_touch_s = record.now_s()
    reports = asyncio.create_task(report_later(backend, terms.heartbeat_ms / 1000))
    if trouble:
        await asyncio.sleep(KILLED_AFTER_S)
        deployment.signal_node(leaving, signal.SIGKILL)
        await leaving.process.wait()
        await asyncio.sleep(RESTARTED_AFTER_S)
        await deployment.start_node(leaving)
        in_touch_s = leaving.started_s[-1] + terms.stable_window_ms / 1000
    await asyncio.sleep(acknowledged_s + SERVES_ON_S - record.now_s())
    is_ending.set()
    await asyncio.gather(*clients)
    reports.cancel()
    await backend.exit()

    limit_s = max(acknowledged_s + terms.drain_ms / 1000, in_touch_s)
    refused = {item["id"] for item in record.find("backend refuses", backend=backend.name)}
    late = [
        item["t"]
        for item in record.find("request reaches backend", backend=backend.name)
        if item["t"] > limit_s and item["id"] not in refused
    ]
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests reached {backend.name} {min(late) - acknowledged_s:.2f} to "
        f"{max(late) - acknowledged_s:.2f} s after its draining was acknowledged, "
        f"{min(late) - in_touch_s:.2f} to {max(late) - in_touch_s:.2f} s after its machine "
        f"was in touch again"
    ]


async def report_later(backend, delay_s: float) -> None:
    """Sends the further reports of a backend, the first one after a delay."""
    await asyncio.sleep(delay_s)
    backend.start_reports()


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
