"""Tests of planned moves between real nodes."""

import contextlib
import unittest

import gevent

from auburnsail._pool import HttpPeer
from auburnsail.exceptions import AuburnsailError
from tests.fleet import LocalFleet, wait_until

SHARDS = 64
CALLERS = 16
# Two plans per second and no fill delay of joining servers keep the test short.
PLACEMENT_SETTINGS = {
    "plan_interval_ms": 500,
    "fill_delay_s": 0,
    "cold_fill_s": 0,
    "moves_per_minute": 600,
}
TREE = {
    "services": {"catalogue": {"keyed": True, "shards": SHARDS, "placement": PLACEMENT_SETTINGS}}
}
NODE_LOCATIONS = (
    ("wien", "wien-1"),
    ("wien", "wien-2"),
    ("tirol", "tirol-1"),
    ("tirol", "tirol-2"),
)


class RebalancerTest(unittest.TestCase):
    """Two nodes own all shards before two other nodes join."""

    def send_requests(self, fleet: LocalFleet, number: int) -> None:
        """Keeps one slot busy with requests for changing keys, until the greenlet is killed."""
        headers = (("standin-service-ms", "20"),)
        while True:
            number += CALLERS
            peer = HttpPeer(fleet.data_addresses[number % 2])
            with contextlib.suppress(AuburnsailError):
                peer.fetch("GET", f"/catalogue/key-{number}", timeout_s=2.0, headers=headers)
            peer.drop_idle()

    def test_joining_nodes_are_filled(self):
        """Guards against nodes that own no shards because they join after the first assignment."""
        fleet = LocalFleet(TREE, quiet=True)
        self.addCleanup(fleet.stop)
        for number, (region, domain) in enumerate(NODE_LOCATIONS[:2]):
            fleet.add_node(f"node-{number}", region, domain, "catalogue")
        fleet.wait_ready(owners=2)
        for number, (region, domain) in enumerate(NODE_LOCATIONS[2:], start=2):
            fleet.add_node(f"node-{number}", region, domain, "catalogue")

        callers = [gevent.spawn(self.send_requests, fleet, number) for number in range(CALLERS)]
        self.addCleanup(gevent.killall, callers)

        def shard_counts() -> list[int]:
            return [member.get("/v1/status")["shards"] for member in fleet.members.values()]

        wait_until(lambda: min(shard_counts()) >= SHARDS // 8, "fill of the joining nodes", 30.0)
        wait_until(lambda: sum(shard_counts()) == SHARDS, "end of the moves", 10.0)
