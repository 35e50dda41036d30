"""Number of wake-ups of a node, and the system calls that they take."""

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
from auburnsail._sweeper import SWEEP_INTERVAL_MS, Sweeper
from tests.path_fakes import open_connection, wait_for


class _Application:
    def __init__(self) -> None:
        self.sweeps = 0
        self.release = gevent.event.Event()

    def __call__(self, request) -> None:
        self.release.wait()

    def sweep(self, now_ns: int) -> None:
        """Counts the sweeps."""
        self.sweeps += 1


class WakeupTest(unittest.TestCase):
    """Wake-ups cost processor time, of which a small VM has less than half a core."""

    def test_servers_of_one_application_sweep_it_once(self):
        """Guards against one sweep per server, which would check every request twice as often."""
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
        gevent.sleep(20 * SWEEP_INTERVAL_MS / 1000)
        self.assertLessEqual(application.sweeps - before, 21)
        self.assertGreaterEqual(application.sweeps - before, 10)
        application.release.set()

    def test_each_datagram_takes_one_receive_call(self):
        """Guards against a second, empty receive call per datagram, and against lost datagrams."""
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
