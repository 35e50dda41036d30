"""The fleet of tests: ports of runs side by side, moves before it is ready, a failed start."""

import random
import shutil
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from gevent import socket
from gevent.pywsgi import WSGIServer

from auburnsail._sockets import accepts_connections
from tests.fleet import LocalFleet
from tools.ports import LOOPBACK, PORT_RANGE, reserve_host, reserve_port


class ReservationTest(unittest.TestCase):
    """Ports that are reserved while other test runs reserve theirs."""

    def assert_reserved(self, port: int) -> None:
        """Checks that a run that tries this port first gets another one."""
        candidates = [port, *random.sample(range(*PORT_RANGE), 50)]
        with mock.patch.object(random.SystemRandom, "randrange", side_effect=candidates):
            self.assertNotEqual(reserve_port(), port)

    def listen(self, host: str, port: int) -> WSGIServer:
        """Starts a server as the nodes and the stand-ins do."""
        server = WSGIServer((host, port), lambda environ, start_response: [], log=None)
        server.start()
        self.addCleanup(server.stop)
        return server

    def test_a_port_stays_reserved_before_between_and_after_listeners(self):
        """Guards against two runs whose processes get one port, before or between their starts."""
        port = reserve_port()
        for _ in range(2):
            self.assert_reserved(port)
            server = self.listen(LOOPBACK, port)
            self.assert_reserved(port)
            server.stop()
        self.assert_reserved(port)

    def test_nothing_answers_on_a_reserved_port(self):
        """Guards against a reservation that makes a process that isn't running look alive."""
        self.assertFalse(accepts_connections(f"{LOOPBACK}:{reserve_port()}"))

    def test_a_port_whose_datagrams_another_process_receives_is_not_returned(self):
        """Guards against a node that ends at the start because its datagram port is in use."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
            datagram.bind((LOOPBACK, 0))
            self.assert_reserved(datagram.getsockname()[1])

    def test_a_fixed_port_is_available_while_another_run_listens_on_it(self):
        """Guards against two runs whose nodes need the fixed metrics port of the deployment."""
        port = reserve_port()
        self.listen(LOOPBACK, port)
        hosts = {reserve_host(port) for _ in range(2)}
        self.assertEqual(len(hosts - {LOOPBACK}), 2)
        for host in hosts:
            self.listen(host, port)


class WaitReadyTest(unittest.TestCase):
    """The moves that give shards to members without any, with members that only report a state."""

    def moves(
        self, *states: tuple[tuple[int, int], tuple[int, int]], moving: tuple[int, ...] = ()
    ) -> list[str]:
        """Returns the requested moves.

        Args:
            states: Version and shards of the two members, for each time that they are asked.
            moving: Number of shards that move away from a member, for the first times.
        """
        fleet, reports = LocalFleet.__new__(LocalFleet), iter(states)
        fleet._services, current = {"a": "pledge", "b": "pledge"}, []
        self.polls = 0

        def status(number: int) -> dict:
            if number == 0:
                current[:] = next(reports)
                self.polls += 1
            version, shards = current[number]
            return {
                "may_serve": True,
                "moving": moving[self.polls - 1] if self.polls <= len(moving) else 0,
                "watchers": ["other"],
                "fleet_version": version,
                "shards": shards,
            }

        fleet.members = {
            name: SimpleNamespace(control=name, get=lambda target, n=number: status(n))
            for number, name in enumerate("ab")
        }
        with mock.patch("tests.fleet.HttpPeer") as peer:
            fleet.wait_ready(owners=2)
        fetches = peer.return_value.fetch.call_args_list
        return [call.args[1] for call in fetches]

    def test_shards_that_have_just_moved_are_not_moved_again(self):
        """Guards against shards that move after the start, from reports before and after a move."""
        moves = self.moves(((5, 0), (5, 8)), ((5, 0), (6, 4)), ((6, 4), (6, 4)))
        self.assertEqual(moves, ["/v1/move?target=a&shards=4"])

    def test_a_move_is_not_requested_twice_while_it_is_in_progress(self):
        """Guards against shards that move after the start because a move took a moment."""
        moves = self.moves(((5, 0), (5, 8)), ((5, 0), (5, 8)), ((6, 4), (6, 4)))
        self.assertEqual(moves, ["/v1/move?target=a&shards=4"])

    def test_a_fleet_is_ready_when_no_shards_move(self):
        """Guards against a test that begins while shards still move to a new member."""
        self.assertEqual(self.moves(((6, 2), (6, 6)), ((7, 4), (7, 4)), moving=(2,)), [])
        self.assertEqual(self.polls, 2)

    def test_a_move_without_effect_is_requested_again(self):
        """Guards against a start that waits in vain for a move that the owner gave up."""
        moves = self.moves(((5, 0), (5, 8)), ((6, 0), (6, 8)), ((7, 4), (7, 4)))
        self.assertEqual(len(moves), 2)


class FailedStartTest(unittest.TestCase):
    """A fleet whose node ends at its start."""

    def test_the_error_shows_what_the_processes_wrote(self):
        """Guards against a failed start whose cause is lost with the output of the processes."""
        fleet = LocalFleet({"services": {"pledge": {}}}, quiet=True)
        self.addCleanup(fleet.stop)
        fleet.add_node("wien-a", "wien", "wien-1", "pledge", lease_ms=1)
        with (
            mock.patch("tests.fleet.START_TIMEOUT_S", 2.0),
            self.assertRaises(TimeoutError) as caught,
        ):
            fleet.wait_ready(owners=0)
        message = str(caught.exception)
        folder = Path(message.splitlines()[1].split()[-1])
        self.addCleanup(shutil.rmtree, folder)
        self.assertIn("wien-a: ended with 2", message)
        self.assertIn("lease_ms", message)
        self.assertIn("wien-a-upstream: running", message)
        fleet.stop()
        self.assertIn("lease_ms", (folder / "wien-a.out").read_text())


if __name__ == "__main__":
    unittest.main()
