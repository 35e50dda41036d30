"""Stop of a node after a stop signal."""

import unittest
from types import SimpleNamespace

from auburnsail._clock import ManualClock
from auburnsail._node import Node

MAX_DEADLINE_S = 600


class StopTest(unittest.TestCase):
    """The wait for requests in flight after the node's session has ended."""

    def test_requests_in_flight_are_not_cut_off(self):
        """Guards against a stop that cuts requests off (P7).

        A stop that first waits for a moment without requests, which a busy node never has, leaves
        no time for the requests in flight.
        """
        stops = []
        data = SimpleNamespace(in_flight=3, stop=lambda **limits: stops.append(limits))
        stopped = SimpleNamespace(set=lambda: None)
        mover = SimpleNamespace(finished=True)
        clock = ManualClock()
        Node._stop_after_drain(
            SimpleNamespace(_clock=clock, _mover=mover, _data_path=data, _stopped=stopped)
        )
        self.assertEqual(clock.now_ns(), 0)
        self.assertGreater(stops[0]["timeout_s"], MAX_DEADLINE_S)
