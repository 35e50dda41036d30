"""Experiment: a poison request, which crashes each upstream that runs it, is sent repeatedly.

Four nodes with one upstream each serve an unkeyed service; the poison request is sent through each
node in turn. Meanwhile other callers send other requests. These may fail when an upstream crashes
but must never be refused.
"""

import math
import sys
import time
from dataclasses import dataclass, field

import click
import gevent
import gevent.event
import msgspec

from auburnsail._pool import HttpPeer
from auburnsail.exceptions import AuburnsailError
from tests.fleet import LocalFleet, wait_until

LOCATIONS = (("wien", "wien-1"), ("wien", "wien-2"), ("tirol", "tirol-1"), ("tirol", "tirol-2"))
MAX_UPSTREAMS_LOST = 2
POISON_INTERVAL_S = 0.1
CALLERS = 8
REFUSED = "refused"
# The quarantine lasts longer than the attempts: after its end a poison request runs again, by rule.
EXPIRY_FACTOR = 2


@dataclass(slots=True)
class ExperimentResult:
    """Result of the experiment.

    Attributes:
        upstreams_lost: Number of upstreams that crashed.
        poison_outcomes: Number of poison requests by outcome.
        other_outcomes: Number of other requests by outcome.
        quarantine_ended: Whether the request was served again after the quarantine had expired.
        attempts_in_time: Whether all poison requests were sent before the quarantine could expire.
    """

    upstreams_lost: int = 0
    poison_outcomes: dict[str, int] = field(default_factory=dict)
    other_outcomes: dict[str, int] = field(default_factory=dict)
    quarantine_ended: bool = False
    attempts_in_time: bool = False

    def missed_bounds(self) -> list[str]:
        """Returns a message for each bound that was missed."""
        missed = []
        if self.upstreams_lost > MAX_UPSTREAMS_LOST:
            missed.append(f"{self.upstreams_lost} upstreams lost")
        if self.other_outcomes.get(REFUSED):
            missed.append(f"{self.other_outcomes[REFUSED]} other requests refused")
        if not self.poison_outcomes.get("quarantined"):
            missed.append("the poison request was never quarantined")
        if not self.other_outcomes.get("served"):
            missed.append("no other request was served")
        if not self.quarantine_ended:
            missed.append("the quarantine did not expire")
        if not self.attempts_in_time:
            missed.append("the attempts took longer than the quarantine")
        return missed


def run(attempts: int) -> ExperimentResult:
    """Starts a fleet, sends the poison requests and returns the result.

    Args:
        attempts: Number of times the poison request is sent.
    """
    result = ExperimentResult()
    expiry_s = math.ceil(EXPIRY_FACTOR * attempts * POISON_INTERVAL_S)
    tree = {"services": {"pledge": {"quarantine": {"expiry_s": expiry_s}}}}
    fleet = LocalFleet(tree, quiet=True)
    try:
        for number, (region, domain) in enumerate(LOCATIONS):
            fleet.add_node(f"node-{number}", region, domain, "pledge")
        fleet.wait_ready(owners=0)
        stop_event = gevent.event.Event()
        callers = [
            gevent.spawn(_send_other_requests, fleet, n, stop_event, result.other_outcomes)
            for n in range(CALLERS)
        ]
        gevent.sleep(1.0)
        first_attempt_s = time.monotonic()
        for attempt in range(attempts):
            reason = _send_poison(fleet, attempt)
            result.poison_outcomes[reason] = result.poison_outcomes.get(reason, 0) + 1
            gevent.sleep(POISON_INTERVAL_S)
        result.attempts_in_time = time.monotonic() - first_attempt_s < expiry_s
        stop_event.set()
        gevent.joinall(callers, timeout=5.0)
        upstreams = [member.processes[1] for member in fleet.members.values()]
        result.upstreams_lost = sum(process.poll() is not None for process in upstreams)
        result.quarantine_ended = _quarantine_ends(fleet)
    finally:
        fleet.stop()
    return result


def _send_poison(fleet: LocalFleet, attempt: int) -> str:
    address = fleet.data_addresses[attempt % len(fleet.data_addresses)]
    # The stand-in crashes on this header. The fingerprint covers the method, target and body only.
    headers = (("standin-crash", "1"),)
    return _send(address, "POST", "/pledge/poison", b"poison", headers)


def _quarantine_ends(fleet: LocalFleet) -> bool:
    # This request has the fingerprint of the poison request but does not crash the stand-in.
    address = fleet.data_addresses[-1]
    try:
        wait_until(
            lambda: _send(address, "POST", "/pledge/poison", b"poison") == "served",
            "end of the quarantine",
            timeout_s=8.0,
        )
    except TimeoutError:
        return False
    return True


def _send_other_requests(
    fleet: LocalFleet, number: int, stop_event, outcomes: dict[str, int]
) -> None:
    count = 0
    while not stop_event.is_set():
        count += 1
        address = fleet.data_addresses[count % len(fleet.data_addresses)]
        headers = (("x-request-id", f"{number}-{count}"), ("standin-service-ms", "20"))
        outcome = _send(address, "GET", f"/pledge/basket-{number}", b"", headers)
        key = REFUSED if outcome in ("quarantined", REFUSED) else outcome
        outcomes[key] = outcomes.get(key, 0) + 1
        gevent.sleep(0.005)


def _send(address: str, method: str, target: str, body: bytes, headers: tuple = ()) -> str:
    try:
        answer = HttpPeer(address).fetch(method, target, body, timeout_s=5.0, headers=headers)
    except AuburnsailError:
        return "no-answer"
    if answer.status == 200:
        return "served"
    try:
        return msgspec.json.decode(answer.body)["reason"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return f"status-{answer.status}"


@click.command()
@click.option(
    "--attempts", default=30, show_default=True, help="Number of poison requests to send."
)
def main(attempts: int) -> None:
    """Prints the result; exits with 1 if a bound was missed."""
    start_s = time.monotonic()
    result = run(attempts)
    click.echo(
        f"upstreams lost: {result.upstreams_lost} of {len(LOCATIONS)} (bound {MAX_UPSTREAMS_LOST})"
    )
    click.echo(f"poison request: {result.poison_outcomes}")
    click.echo(f"other requests: {result.other_outcomes}")
    missed_bounds = result.missed_bounds()
    verdict = "ok" if not missed_bounds else "missed: " + "; ".join(missed_bounds)
    click.echo(f"poison: {verdict} ({time.monotonic() - start_s:.0f} s)")
    sys.exit(1 if missed_bounds else 0)


if __name__ == "__main__":
    main()
