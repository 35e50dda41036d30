"""Errors that no part of the program expects, in work that must go on."""

import unittest
from types import SimpleNamespace
from unittest import mock

import gevent

from auburnsail._clock import BootClock, Timers
from auburnsail._node import Node
from auburnsail._supervision import spawn, spawn_restarting, unexpected_errors
from auburnsail._sweeper import Sweeper


class SupervisionTest(unittest.TestCase):
    """Greenlets and callbacks after an unexpected error."""

    def test_work_is_started_again_with_growing_delays(self):
        """Guards against followers that end for good, and against a loop that fails at full speed."""
        delays, results = [], [ValueError("a"), RecursionError("b"), None]
        work = mock.Mock(side_effect=results)
        spawn_restarting("test.restart", work, delays.append).join(1)
        self.assertEqual((work.call_count, unexpected_errors["test.restart"]), (3, 2))
        self.assertLess(delays[0], delays[1])

    def test_an_error_is_counted_and_ends_only_its_unit_of_work(self):
        """Guards against an error that no log line and no metric shows."""
        spawn("test.once", mock.Mock(side_effect=OverflowError("odd"))).join(1)
        self.assertEqual(unexpected_errors["test.once"], 1)

    def test_the_sweep_goes_on_after_an_error(self):
        """Guards against requests without time limits after one unexpected error."""
        calls = []

        def sweep(now_ns: int) -> None:
            calls.append(now_ns)
            if len(calls) == 1:
                raise RecursionError("odd")

        server = SimpleNamespace(is_idle=False, expire_connections=lambda now_ns: None)
        sweeper = Sweeper(SimpleNamespace(sweep=sweep), BootClock())
        sweeper.add(server)
        sweeper.start()
        with gevent.Timeout(2, False):
            while len(calls) < 3:
                gevent.sleep(0.01)
        sweeper.stop()
        self.assertGreaterEqual(len(calls), 3)

    def test_an_error_in_a_timer_or_datagram_does_not_leave_the_node(self):
        """Guards against a node whose event loop receives an error that it does not expect."""
        node = SimpleNamespace(_log=mock.Mock(), _record_violation=mock.Mock())
        timers = Timers()
        timers.subscribe("odd", 1, mock.Mock(side_effect=OverflowError("odd")))
        Node._guard(node, lambda: timers.tick(10**9))
        Node._guard(node, mock.Mock(side_effect=RecursionError("odd")))
        node._record_violation.assert_not_called()


if __name__ == "__main__":
    unittest.main()
