"""Tests of the load balancing among the upstreams of an unkeyed service."""

import random
import unittest

from auburnsail._admission import Result, Utilisation
from auburnsail._balance import BalanceLimits, LatencyChooser
from auburnsail._clock import NS_PER_MS, NS_PER_S, ManualClock
from auburnsail._model import Session, SessionId

DOMAINS = (("wien", "wien-1"), ("wien", "wien-2"), ("tirol", "tirol-1"))


class LatencyChooserTest(unittest.TestCase):
    """Three upstreams in two regions; the chooser runs in the first domain."""

    def setUp(self):
        """Creates three sessions and a chooser in the domain of the first."""
        self.clock = ManualClock()
        self.sessions = [
            Session(SessionId(f"n{number}", 1), region, domain, "", "", "pledge", 12)
            for number, (region, domain) in enumerate(DOMAINS)
        ]
        self.chooser = LatencyChooser(
            "wien", "wien-1", BalanceLimits(), random.Random(1), self.clock.now_ns
        )

    def send(self, outcomes: dict[str, tuple[Result, float]], count: int) -> dict[str, int]:
        """Sends `count` sequential requests; returns the number of requests by node."""
        request_counts = dict.fromkeys(("n0", "n1", "n2"), 0)
        for _ in range(count):
            session = self.chooser.choose(self.sessions, self.clock.now_ns())
            result, duration_ms = outcomes.get(session.id.node, (Result.ANSWERED, 20.0))
            request_counts[session.id.node] += 1
            self.clock.advance_ms(duration_ms)
            self.chooser.observe(session, result, int(duration_ms * NS_PER_MS))
        return request_counts

    def test_own_domain_is_chosen_while_it_has_capacity(self):
        """Guards against billed traffic between regions while the own domain has capacity."""
        self.assertEqual(self.send({}, 50), {"n0": 50, "n1": 0, "n2": 0})

    def test_region_is_left_after_a_refusal_and_not_for_reported_utilisation(self):
        """Guards against traffic between regions without a benefit, and refusals without need.

        While all regions are at capacity, large answers would cross between them; a region that
        refuses must be left while another one has capacity.
        """
        self.chooser.set_limits(BalanceLimits(leave_region_at_percent=100.0))
        now_ns = self.clock.now_ns()
        for session in self.sessions[:2]:
            self.chooser.choose([session], now_ns)
            self.chooser.observe_utilisation(session, Utilisation(150.0, 150.0))
        chosen = {self.chooser.choose(self.sessions, now_ns).id.node for _ in range(50)}
        self.assertNotIn("n2", chosen)
        after_refusal = self.chooser.choose(self.sessions, now_ns, no_capacity=True)
        self.assertEqual(after_refusal.id.node, "n2")

    def test_refusing_upstream_is_ejected_and_retried(self):
        """Guards against an upstream that attracts requests by fast refusals or stays ejected.

        The pause before the next attempt grows exponentially and overflows without a bound.
        """
        request_counts = self.send({"n0": (Result.NOT_RUN, 0.1)}, 3_000)
        self.assertLess(request_counts["n0"], 300)
        self.clock.advance_ms(60_000)
        self.assertGreater(self.send({}, 200)["n0"], 100)

    def test_slow_upstream_is_only_probed(self):
        """Guards against an upstream that keeps its share of requests at a tenth of its speed."""
        for session in self.sessions:
            self.chooser.choose([session], self.clock.now_ns())
            self.chooser.observe(session, Result.ANSWERED, 20 * NS_PER_MS)
        self.clock.advance_ms(10 * NS_PER_S / NS_PER_MS)
        self.send({"n0": (Result.ANSWERED, 200.0)}, 40)
        self.assertLess(self.send({"n0": (Result.ANSWERED, 200.0)}, 200)["n0"], 10)
