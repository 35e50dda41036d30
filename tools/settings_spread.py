"""Measures the time until accepted settings have reached every node, with and without the store.

Each round accepts one change and pushes it to three nodes as `auburnsail settings accept --push`
does. In every other round the store is unavailable from the acceptance on. All nodes are asked for
their version until they have the new one. The run fails if a node takes longer than the bound or
shows an older version than before.
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

MAX_SPREAD_S = 7.0
POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 90.0
REGIONS = ("nord", "sahel", "sud")
TREE = {"services": {"portal": {"keyed": True, "shards": 64}, "ledger": {}}}
CHANGED_PATH = ("queue", "max_wait_ms")


class OlderVersionError(Exception):
    """A node showed an older settings version than before."""


class VersionMonitor:
    """Asks nodes for their settings version and checks that it never decreases.

    Args:
        addresses: Control addresses of the nodes.
    """

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._newest = dict.fromkeys(addresses, 0)

    def oldest_version(self) -> int:
        """Asks all nodes and returns the lowest version; 0 if a node does not answer.

        Raises:
            OlderVersionError: A node showed an older version than before.
        """
        found = []
        for answer in query_nodes(self._addresses, "/v1/status"):
            version = answer.content.get("settings_version", 0)
            if not answer.error and version < self._newest[answer.address]:
                raise OlderVersionError(f"{answer.address} shows the older version {version}")
            self._newest[answer.address] = max(version, self._newest[answer.address])
            found.append(version)
        return min(found)


def unready_nodes(addresses: list[str]) -> list[str]:
    """Returns a message for each node that has not joined the fleet or has no settings yet.

    A node that is still joining has no peers from which it could learn of a new version.
    """
    expected_watchers = min(3, len(addresses) - 1)
    unready = []
    for answer in query_nodes(addresses, "/v1/status"):
        found = len(answer.content.get("watchers", ()))
        version = answer.content.get("settings_version", 0)
        if found != expected_watchers or not version:
            detail = answer.error or f"{found} watchers, settings version {version}"
            unready.append(f"{answer.address}: {detail}")
    return unready


def accept_change(store_url: str, value: int) -> Proposal:
    """Proposes, approves and accepts a change of one value; returns the accepted proposal.

    Args:
        store_url: Base URL of the store.
        value: New value of ``queue.max_wait_ms`` in milliseconds.
    """
    operators = [
        SettingsChanges(HttpTableStore(store_url), label, RetrySchedule(10.0, sleep_s=gevent.sleep))
        for label in ("author", "reviewer")
    ]
    author, reviewer = operators
    head = author.history.head()
    text = apply_edits(author.history.record(head).text, (Edit(CHANGED_PATH, new=value),))
    proposal = author.propose("measurement", text, "measurement", head)
    reviewer.review(proposal.id, "approve", "")
    return author.accept(proposal.id)


def measure_change(
    fleet: LocalFleet, versions: VersionMonitor, round_number: int, pushes: int
) -> tuple[float, bool]:
    """Accepts one change and measures the time until all nodes have it.

    Args:
        fleet: The fleet.
        versions: Asks the nodes for their version.
        round_number: Number of the round; in odd rounds the store is down after the acceptance.
        pushes: Number of nodes to which the change is pushed.

    Returns:
        The seconds until all nodes had the new version, or a value above the bound if the
        measurement was stopped; and whether the store was down.
    """
    is_store_down = round_number % 2 == 1
    proposal = accept_change(fleet.store_url, 100 + round_number)
    version = proposal.version
    start_s = time.monotonic()
    if is_store_down:
        fleet.set_faults(down=True)
    push_record(fleet.control_addresses[:pushes], version, encode_accepted_record(proposal), SECRET)
    try:
        while versions.oldest_version() < version:
            if time.monotonic() - start_s > 2 * MAX_SPREAD_S:
                break
            gevent.sleep(POLL_INTERVAL_S)
        return time.monotonic() - start_s, is_store_down
    finally:
        fleet.set_faults()


@click.command()
@click.option("--nodes", default=24, show_default=True, help="Number of nodes.")
@click.option("--rounds", default=20, show_default=True, help="Number of changes.")
@click.option(
    "--pushes", default=3, show_default=True, help="Number of nodes that a change is pushed to."
)
def main(nodes: int, rounds: int, pushes: int) -> None:
    """Runs the measurement; exits with 1 if a change takes longer than the bound."""
    fleet = LocalFleet(TREE, quiet=True)
    try:
        for number in range(nodes):
            region = REGIONS[number % len(REGIONS)]
            domain = f"{region}-{number // len(REGIONS) % 2 + 1}"
            fleet.add_node(f"node-{number}", region, domain, "")
        versions = VersionMonitor(fleet.control_addresses)
        try:
            wait_until(
                lambda: not unready_nodes(fleet.control_addresses), "fleet start", START_TIMEOUT_S
            )
        except TimeoutError:
            click.echo("\n".join(unready_nodes(fleet.control_addresses)), err=True)
            raise
        results = [measure_change(fleet, versions, number, pushes) for number in range(rounds)]
    finally:
        fleet.stop()
    for is_store_down, label in ((False, "store up"), (True, "store down after acceptance")):
        durations_s = sorted(
            seconds for seconds, was_store_down in results if was_store_down == is_store_down
        )
        if durations_s:
            median = durations_s[len(durations_s) // 2]
            click.echo(
                f"{label}: {len(durations_s)} changes, median {median:.2f} s,"
                f" max {durations_s[-1]:.2f} s"
            )
    late_changes = sum(seconds > MAX_SPREAD_S for seconds, _ in results)
    click.echo(f"nodes: {nodes}, changes later than {MAX_SPREAD_S:.0f} s: {late_changes}")
    sys.exit(1 if late_changes else 0)


if __name__ == "__main__":
    main()
