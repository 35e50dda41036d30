"""Admission of requests for keys that are between two owners."""

import unittest
from types import SimpleNamespace

from auburnsail._clock import NS_PER_MS, BootClock
from auburnsail._gate import RequestGate
from auburnsail._moves import Admission

LEFT_MS = 200


class RequestGateTest(unittest.TestCase):
    """A mover that admits nothing."""

    def waited_ms(self, admission: Admission, left_ms: int) -> tuple[str, float]:
        """Returns the refusal of a request with some time left and how long it took."""
        clock = BootClock()
        mover = SimpleNamespace(admit=lambda service, shard, now_ns: admission)
        gate = RequestGate(mover, None, clock)
        start_ns = clock.now_ns()
        reason = gate.admit("catalogue", 1, start_ns + left_ms * NS_PER_MS)
        return reason, (clock.now_ns() - start_ns) / NS_PER_MS

    def test_wait_ends_while_the_refusal_can_still_arrive(self):
        """Guards against 504 for a request that waited for its key until its time was over."""
        for admission, expected in ((Admission.NOT_HELD, "not-held"), (Admission.HOLD, "moving")):
            reason, waited_ms = self.waited_ms(admission, LEFT_MS)
            self.assertEqual(reason, expected)
            # One way between regions of the time left is for the refusal.
            self.assertLess(waited_ms, LEFT_MS - 20)
            self.assertGreater(waited_ms, 50)

    def test_a_request_without_time_is_refused_at_once(self):
        """Guards against a wait that cannot help."""
        self.assertLess(self.waited_ms(Admission.NOT_HELD, 30)[1], 20)


if __name__ == "__main__":
    unittest.main()
