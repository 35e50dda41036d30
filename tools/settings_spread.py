"""Measures how long accepted settings take to reach every node, also without the store.

Each round accepts one change, pushes it to three nodes as `auburnsail settings accept --push`
does and, in every other round, takes the store away right after the acceptance. All nodes are asked for their version until they have the new one. The run fails if a
node takes longer than the bound or ever shows an older version than before.
"""

import sys
import time

import click
import gevent

from auburnsail._document_edit import apply_edits
from auburnsail._edits import Edit
from auburnsail._fleet_view import push_record, query_nodes
from auburnsail._proposals import Proposal
from auburnsail._settings_changes import SettingsChanges, encode_accepted_record
from auburnsail._store import HttpTableStore
from auburnsail._store_retry import RetrySchedule
from tests.fleet import SECRET, LocalFleet, wait_until

BOUND_S = 7.0
POLL_S = 0.05
START_S = 90.0
REGIONS = ("nord", "sahel", "sud")
TREE = {"services": {"portal": {"keyed": True, "shards": 64}, "ledger": {}}}
CHANGED = ("queue", "max_wait_ms")


class OlderVersionError(Exception):
    """A node went back to an older version."""


class Versions:
    """Asks all nodes for their settings version and remembers the newest of each."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._newest = dict.fromkeys(addresses, 0)

    def oldest(self) -> int:
        """Returns the oldest version that any node has now; 0 if one does not answer.

        Raises:
            OlderVersionError: A node shows an older version than before.
        """
        found = []
        for answer in query_nodes(self._addresses, "/v1/status"):
            version = answer.content.get("settings_version", 0)
            if not answer.error and version < self._newest[answer.address]:
                raise OlderVersionError(f"{answer.address} went back to version {version}")
            self._newest[answer.address] = max(version, self._newest[answer.address])
            found.append(version)
        return min(found)


def unsettled(addresses: list[str]) -> list[str]:
    """Returns what is missing at the nodes that have not joined yet.

    A node that is still joining has no peers that could tell it of a new version.
    """
    watchers = min(3, len(addresses) - 1)
    missing = []
    for answer in query_nodes(addresses, "/v1/status"):
        found = len(answer.content.get("watchers", ()))
        version = answer.content.get("settings_version", 0)
        if found != watchers or not version:
            detail = answer.error or f"{found} watchers, settings version {version}"
            missing.append(f"{answer.address}: {detail}")
    return missing


def accept_change(store_url: str, value: int) -> Proposal:
    """Puts one changed value into force."""
    people = [
        SettingsChanges(HttpTableStore(store_url), name, RetrySchedule(10.0, sleep_s=gevent.sleep))
        for name in ("author", "reviewer")
    ]
    author, reviewer = people
    head = author.history.head()
    text = apply_edits(author.history.record(head).text, (Edit(CHANGED, new=value),))
    proposal = author.propose("measurement", text, "measurement", head)
    reviewer.review(proposal.id, "approve", "")
    return author.accept(proposal.id)


def measure(
    fleet: LocalFleet, versions: Versions, round_number: int, pushes: int
) -> tuple[float, bool]:
    """Returns the seconds until all nodes have a new version, and whether the store was away."""
    is_down = round_number % 2 == 1
    accepted = accept_change(fleet.store_url, 100 + round_number)
    version = accepted.version
    start_s = time.monotonic()
    if is_down:
        fleet.set_faults(down=True)
    push_record(fleet.control_addresses[:pushes], version, encode_accepted_record(accepted), SECRET)
    try:
        while versions.oldest() < version:
            if time.monotonic() - start_s > 2 * BOUND_S:
                break
            gevent.sleep(POLL_S)
        return time.monotonic() - start_s, is_down
    finally:
        fleet.set_faults()


@click.command()
@click.option("--nodes", default=24, show_default=True, help="Number of nodes.")
@click.option("--rounds", default=20, show_default=True, help="Number of changes.")
@click.option("--pushes", default=3, show_default=True, help="Nodes that get a change at once.")
def main(nodes: int, rounds: int, pushes: int) -> None:
    """Runs the measurement; exit code 1 if the bound is missed."""
    fleet = LocalFleet(TREE, quiet=True)
    try:
        for number in range(nodes):
            region = REGIONS[number % len(REGIONS)]
            domain = f"{region}-{number // len(REGIONS) % 2 + 1}"
            fleet.add_node(f"node-{number}", region, domain, "")
        versions = Versions(fleet.control_addresses)
        try:
            wait_until(lambda: not unsettled(fleet.control_addresses), "fleet start", START_S)
        except TimeoutError:
            click.echo("\n".join(unsettled(fleet.control_addresses)), err=True)
            raise
        results = [measure(fleet, versions, number, pushes) for number in range(rounds)]
    finally:
        fleet.stop()
    for is_down, name in ((False, "store up"), (True, "store down after acceptance")):
        times = sorted(seconds for seconds, down in results if down == is_down)
        if times:
            median = times[len(times) // 2]
            click.echo(
                f"{name}: {len(times)} changes, median {median:.2f} s, max {times[-1]:.2f} s"
            )
    late = sum(seconds > BOUND_S for seconds, _ in results)
    click.echo(f"nodes: {nodes}, changes later than {BOUND_S:.0f} s: {late}")
    sys.exit(1 if late else 0)


if __name__ == "__main__":
    main()
