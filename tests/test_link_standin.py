"""Tests that delay, bandwidth, cuts and counters of the link stand-in take effect."""

import time
import unittest

import gevent
from gevent import socket
from gevent.server import DatagramServer, StreamServer

from standins.link import start_links
from standins.link_model import Conditions, LinkSettings, Relay
from tools.processes import free_addresses


def echo(sock, address):
    """Sends received bytes back."""
    while data := sock.recv(65536):
        sock.sendall(data)


class LinkTest(unittest.TestCase):
    """A relay port whose target is an echo service."""

    def setUp(self):
        """Starts the echo service and a relay with 20 ms delay."""
        target, listen = free_addresses(2)
        self.relay_address = (listen.split(":")[0], int(listen.split(":")[1]))
        stream = StreamServer(target, echo)
        datagram = DatagramServer(target, lambda data, address: datagram.sendto(data, address))
        for server in (stream, datagram):
            server.start()
            self.addCleanup(server.stop)
        relays = (Relay(listen, target, "wien-tirol"),)
        links = {"wien-tirol": Conditions(delay_ms=20)}
        self.link = start_links(LinkSettings(relays, links), seed=1)["wien-tirol"]

    def connect(self, kind):
        """Connects a socket of a kind to the relay port."""
        sock = socket.socket(socket.AF_INET, kind)
        self.addCleanup(sock.close)
        sock.settimeout(0.3)
        sock.connect(self.relay_address)
        return sock

    def round_trip_s(self, sock, size=10):
        """Returns the round-trip time of some bytes in seconds."""
        start = time.monotonic()
        sender = gevent.spawn(sock.sendall, bytes(size))
        while size:
            size -= len(sock.recv(65536))
        sender.get()
        return time.monotonic() - start

    def test_delays_both_directions(self):
        """Guards against a delay in one direction only, which halves the round-trip time."""
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            sock = self.connect(kind)
            self.round_trip_s(sock)
            self.assertAlmostEqual(self.round_trip_s(sock), 0.04, delta=0.03)
        self.assertEqual(self.link.forward.traffic.stream_bytes, 20)
        self.assertEqual(self.link.back.traffic.datagram_bytes, 20)

    def test_limits_bandwidth_without_losing_bytes(self):
        """Guards against a bandwidth limit that only delays each block or loses bytes."""
        self.link.forward.conditions = Conditions(bytes_per_s=1_000_000)
        sock = self.connect(socket.SOCK_STREAM)
        self.assertGreater(self.round_trip_s(sock, 400_000), 0.35)

    def test_cut_holds_streams_and_loses_datagrams(self):
        """Guards against a cut during which data passes or connections are closed."""
        stream, datagram = self.connect(socket.SOCK_STREAM), self.connect(socket.SOCK_DGRAM)
        self.round_trip_s(stream)
        self.link.back.conditions = Conditions(cut=True)
        for sock in (stream, datagram):
            sock.send(b"x")
            with self.assertRaises(TimeoutError):
                sock.recv(10)
        self.link.back.conditions = Conditions()
        self.assertEqual(stream.recv(10), b"x")
        with self.assertRaises(TimeoutError):
            datagram.recv(10)
        self.assertEqual(self.link.back.traffic.lost_datagrams, 1)
