"""A request that crashes each upstream that runs it, sent again and again through different nodes.

Four nodes with one upstream each serve an unkeyed service. Other callers send requests all the
time; theirs may fail at the moment of a crash but must never be refused.
"""

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

PLACES = (("wien", "wien-1"), ("wien", "wien-2"), ("tirol", "tirol-1"), ("tirol", "tirol-2"))
TREE = {"services": {"pledge": {"quarantine": {"expiry_s": 3}}}}
MAX_UPSTREAMS_LOST = 2
POISON_PAUSE_S = 0.1
CALLERS = 8
REFUSED = "refused"


@dataclass(slots=True)
class Result:
    """What happened.

    Attributes:
        lost: Upstreams that crashed.
        poison: Outcomes of the poison request by reason.
        innocents: Outcomes of all other requests.
        is_ended: Whether the quarantine had ended after its time.
    """

    lost: int = 0
    poison: dict[str, int] = field(default_factory=dict)
    innocents: dict[str, int] = field(default_factory=dict)
    is_ended: bool = False

    def problems(self) -> list[str]:
        """Returns the bounds that were missed."""
        found = []
        if self.lost > MAX_UPSTREAMS_LOST:
            found.append(f"{self.lost} upstreams lost")
        if self.innocents.get(REFUSED):
            found.append(f"{self.innocents[REFUSED]} innocent requests refused")
        if not self.poison.get("quarantined"):
            found.append("the poison request was never quarantined")
        if not self.innocents.get("served"):
            found.append("no innocent request was served")
        if not self.is_ended:
            found.append("the quarantine did not end by itself")
        return found


def run(attempts: int) -> Result:
    """Starts a fleet, sends the poison request and returns what happened.

    Args:
        attempts: How often the poison request is sent.
    """
    result = Result()
    fleet = LocalFleet(TREE, quiet=True)
    try:
        for number, (region, domain) in enumerate(PLACES):
            fleet.add_node(f"node-{number}", region, domain, "pledge")
        fleet.wait_ready(owners=0)
        is_over = gevent.event.Event()
        callers = [
            gevent.spawn(_call_forever, fleet, n, is_over, result.innocents) for n in range(CALLERS)
        ]
        gevent.sleep(1.0)
        for attempt in range(attempts):
            reason = _send_poison(fleet, attempt)
            result.poison[reason] = result.poison.get(reason, 0) + 1
            gevent.sleep(POISON_PAUSE_S)
        is_over.set()
        gevent.joinall(callers, timeout=5.0)
        upstreams = [member.processes[1] for member in fleet.members.values()]
        result.lost = sum(process.poll() is not None for process in upstreams)
        result.is_ended = _has_ended(fleet)
    finally:
        fleet.stop()
    return result


def _send_poison(fleet: LocalFleet, attempt: int) -> str:
    address = fleet.data_addresses[attempt % len(fleet.data_addresses)]
    # The stand-in crashes on the header; the fingerprint covers method, target and body.
    headers = (("standin-crash", "1"),)
    return _outcome(address, "POST", "/pledge/poison", b"poison", headers)


def _has_ended(fleet: LocalFleet) -> bool:
    # The same request without the header that makes the stand-in crash.
    address = fleet.data_addresses[-1]
    try:
        wait_until(
            lambda: _outcome(address, "POST", "/pledge/poison", b"poison") == "served",
            "end of the quarantine",
            timeout_s=8.0,
        )
    except TimeoutError:
        return False
    return True


def _call_forever(fleet: LocalFleet, number: int, is_over, outcomes: dict[str, int]) -> None:
    count = 0
    while not is_over.is_set():
        count += 1
        address = fleet.data_addresses[count % len(fleet.data_addresses)]
        headers = (("x-request-id", f"{number}-{count}"), ("standin-service-ms", "20"))
        outcome = _outcome(address, "GET", f"/pledge/basket-{number}", b"", headers)
        key = REFUSED if outcome in ("quarantined", REFUSED) else outcome
        outcomes[key] = outcomes.get(key, 0) + 1
        gevent.sleep(0.005)


def _outcome(address: str, method: str, target: str, body: bytes, headers: tuple = ()) -> str:
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
@click.option("--attempts", default=30, show_default=True, help="Poison requests to send.")
def main(attempts: int) -> None:
    """Prints what happened; exits with 1 if a bound was missed."""
    started = time.monotonic()
    result = run(attempts)
    click.echo(f"upstreams lost: {result.lost} of {len(PLACES)} (bound {MAX_UPSTREAMS_LOST})")
    click.echo(f"poison request: {result.poison}")
    click.echo(f"other requests: {result.innocents}")
    problems = result.problems()
    verdict = "ok" if not problems else "missed: " + "; ".join(problems)
    click.echo(f"poison: {verdict} ({time.monotonic() - started:.0f} s)")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
