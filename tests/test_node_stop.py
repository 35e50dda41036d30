"""Stop of a node after a stop signal."""

import unittest
from types import SimpleNamespace
from unittest import mock

import gevent

from auburnsail import _node
from auburnsail._active_requests import STOPPING
from auburnsail._admission_queue import Limits
from auburnsail._clock import BootClock, ManualClock
from auburnsail._limits import SlotAdmission
from auburnsail._node import Node
from tests.path_fakes import FakeUpstream, PathNode, connect, exchange, reason_of, request, wait_for

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

    def test_the_wait_for_requests_uses_the_grace_time_of_the_platform(self):
        """Guards against a stop that ends seconds before the process would be killed.

        A large body on a narrow link takes longer than the fixed 2.5 s that a node once waited.
        """
        for grace_s in (6.0, 10.0):
            data = mock.Mock(in_flight=0)
            node = SimpleNamespace(
                _settings=SimpleNamespace(stop_grace_s=grace_s),
                _data_path=data,
                _stopped=mock.Mock(),
                _log=mock.Mock(),
            )
            with mock.patch.object(_node.gevent, "sleep") as sleep:
                Node._stop_for_restart(node)
            waited_s = sum(call.args[0] for call in sleep.call_args_list)
            timeout_s = data.stop.call_args.kwargs["timeout_s"]
            self.assertGreaterEqual(waited_s + timeout_s, 5 / 6 * grace_s)
            self.assertLess(waited_s + timeout_s + _node.FINAL_WRITES_S, grace_s)
            data.end_requests.assert_not_called()
            node._stopped.set.assert_called_once()

    def start_two_requests(self) -> tuple[PathNode, SlotAdmission, list[gevent.Greenlet]]:
        """Returns a node with a request at its upstream and one that waits for the only slot."""
        clock = BootClock()
        admission = SlotAdmission(Limits(1, 1, 10, 5_000), clock)
        upstream = FakeUpstream(lambda sock, run: gevent.sleep(5))
        node = PathNode("n", upstream, "catalogue", admission=admission, clock=clock)
        self.addCleanup(upstream.stop)
        self.addCleanup(node.stop)
        connect(node, owner=node)
        data = request("POST", "/catalogue/k1", body=b"x")
        callers = [gevent.spawn(exchange, node.address, data) for _ in range(2)]
        self.assertTrue(wait_for(lambda: admission._queue.queued == 1))
        return node, admission, callers

    def test_requests_in_flight_at_the_end_of_the_grace_time_are_answered(self):
        """Guards against callers whose connection ends without an answer (LOST).

        One request runs at the upstream, one waits for its slot.
        """
        node, admission, callers = self.start_two_requests()
        admission.refuse_waiting(STOPPING)
        node.application.end_requests()
        gevent.joinall(callers, timeout=0.2)
        answers = sorted(reason_of(caller.value) for caller in callers if caller.successful())
        self.assertEqual(
            answers,
            [(502, "unknown", "stopping"), (503, "not-run", "stopping")],
            len(node.upstream.runs),
        )
        self.assertEqual(len(node.upstream.runs), 1)

    def test_waiting_requests_are_refused_when_the_upstream_gets_no_further_ones(self):
        """Guards against a wait for a slot of an upstream that has left, until the deadline."""
        node, admission, callers = self.start_two_requests()
        node.upstream = None
        admission.refuse_waiting("draining", 250)
        refused = gevent.wait(callers, timeout=0.2, count=1)
        self.assertEqual(
            [reason_of(item.value) for item in refused], [(503, "not-run", "no-upstream")]
        )


if __name__ == "__main__":
    unittest.main()
