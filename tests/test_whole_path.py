"""The whole request path with real processes: caller, any node, owner's node, upstream."""

import unittest

import msgspec

from tests.fleet import LocalFleet, wait_until

TREE = {"services": {"catalogue": {"keyed": True, "shards": 64}, "pledge": {}}}


class WholePathTest(unittest.TestCase):
    """Requests through each of three nodes to their upstreams."""

    @classmethod
    def setUpClass(cls):
        """Starts the fleet once for all tests of the class."""
        cls.fleet = LocalFleet(TREE)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.add_node("wien-a", "wien", "wien-1", "catalogue")
        cls.fleet.add_node("wien-b", "wien", "wien-2", "catalogue")
        cls.fleet.add_node("tirol-a", "tirol", "tirol-1", "pledge")
        for address in cls.fleet.data_addresses:
            for target in ("/catalogue/basket-1", "/pledge/1"):
                wait_until(
                    lambda a=address, t=target: cls.is_served(a, t), f"{target} at {address}"
                )

    @classmethod
    def is_served(cls, address: str, target: str) -> bool:
        """Returns whether a node answers a request with status 200."""
        return cls.fleet.request(address, "GET", target, "probe").status == 200

    def test_every_node_reaches_the_same_owner(self):
        """Guards against two nodes that send one key to different upstreams."""
        for number in range(20):
            upstreams = set()
            for address in self.fleet.data_addresses:
                answer = self.fleet.request(address, "GET", f"/catalogue/key-{number}", "r")
                self.assertEqual(answer.status, 200)
                upstreams.add(msgspec.json.decode(answer.body)["upstream"])
            self.assertEqual(len(upstreams), 1)

    def test_unknown_service_is_refused(self):
        """Guards against requests for unknown services that reach an upstream."""
        answer = self.fleet.request(self.fleet.data_addresses[0], "GET", "/nothing/1", "r")
        self.assertEqual(answer.status, 404)
        self.assertEqual(dict(answer.headers)["auburnsail-outcome"], "refused")
