"""Admission of requests for keys that are being moved."""

import unittest
from types import SimpleNamespace

from auburnsail._clock import NS_PER_MS, BootClock
from auburnsail._gate import RequestGate
from auburnsail._moves import GateDecision

REMAINING_MS = 200


class RequestGateTest(unittest.TestCase):
    """Waits of the gate while the mover never admits a request."""

    def refusal_and_wait_ms(self, admission: GateDecision, remaining_ms: int) -> tuple[str, float]:
        """Returns the reason of the refusal and the wait in ms, for a given remaining time."""
        clock = BootClock()
        mover = SimpleNamespace(admit=lambda service, shard, now_ns: admission)
        gate = RequestGate(mover, None, clock)
        start_ns = clock.now_ns()
        reason = gate.admit("catalogue", 1, start_ns + remaining_ms * NS_PER_MS)
        return reason, (clock.now_ns() - start_ns) / NS_PER_MS

    def test_wait_ends_while_the_refusal_can_still_arrive(self):
        """Guards against a 504 because a request waited for its key until its deadline.

        The gate must refuse early enough that the refusal reaches the caller in time.
        """
        for admission, expected in (
            (GateDecision.NOT_HELD, "not-held"),
            (GateDecision.WAIT, "moving"),
        ):
            reason, waited_ms = self.refusal_and_wait_ms(admission, REMAINING_MS)
            self.assertEqual(reason, expected)
            # The refusal needs time to reach a caller in another region.
            self.assertLess(waited_ms, REMAINING_MS - 20)
            self.assertGreater(waited_ms, 50)

    def test_a_request_near_its_deadline_is_refused_at_once(self):
        """Guards against a wait when the deadline leaves time only for the refusal."""
        self.assertLess(self.refusal_and_wait_ms(GateDecision.NOT_HELD, 30)[1], 20)


if __name__ == "__main__":
    unittest.main()
