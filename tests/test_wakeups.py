"""How often a node wakes up, and how many system calls that takes."""

import socket
import unittest
from unittest import mock

import gevent

from auburnsail._clock import BootClock
from auburnsail._http_server import HttpServer
from auburnsail._io import UdpSocket
from auburnsail._link_pacer import LinkPacer
from auburnsail._link_sender import LinkSender
from auburnsail._sockets import endpoint
from auburnsail._sweeper import SWEEP_MS, Sweeper
from tests.path_fakes import open_connection, wait_for


class _Application:
    def __init__(self) -> None:
        self.sweeps = 0
        self.ends = gevent.event.Event()

    def __call__(self, request) -> None:
        self.ends.wait()

    def sweep(self, now_ns: int) -> None:
        """See `Application.sweep`."""
        self.sweeps += 1


class WakeupTest(unittest.TestCase):
    """Small VMs have less than half a core, and each wake-up costs some of it."""

    def test_servers_of_one_application_sweep_it_once(self):
        """Guards against a sweep for each server, so that every request is looked at twice as often."""
        application = _Application()
        sweeper = Sweeper(application, BootClock())
        servers = [HttpServer(("127.0.0.1", 0), application, sweeper=sweeper) for _ in range(2)]
        for server in servers:
            server.start()
            self.addCleanup(server.kill)
            sock = open_connection(f"127.0.0.1:{server.server_port}")
            self.addCleanup(sock.close)
            sock.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertTrue(wait_for(lambda: not any(server.is_idle for server in servers)))
        before = application.sweeps
        gevent.sleep(20 * SWEEP_MS / 1000)
        self.assertLessEqual(application.sweeps - before, 21)
        self.assertGreaterEqual(application.sweeps - before, 10)
        application.ends.set()

    def test_one_system_call_receives_one_datagram(self):
        """Guards against a second call for each datagram that finds nothing, and against lost ones."""
        received: list[bytes] = []
        link = LinkSender(LinkPacer(), BootClock())
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        udp = UdpSocket(address, lambda data, sender: received.append(data), str, link)
        self.addCleanup(udp.close)
        calls = mock.Mock(wraps=udp._socket.recvfrom)
        udp._socket = mock.Mock(wraps=udp._socket, recvfrom=calls)
        udp.start()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in range(5):
                sender.sendto(b"%d" % number, endpoint(address))
                gevent.sleep(0.01)
            self.assertEqual(calls.call_count, 5)
            for number in range(5, 10):
                sender.sendto(b"%d" % number, endpoint(address))
            udp.drain()
        self.assertEqual(received, [b"%d" % number for number in range(10)])


if __name__ == "__main__":
    unittest.main()
