"""Tests of connections to a peer that does not respond."""

import unittest

import gevent
from gevent import socket

from auburnsail import _pool
from auburnsail._clock import ManualClock
from auburnsail._exchange import Connection, Exchange
from auburnsail._pool import UNREACHABLE_MS, HttpPeer
from auburnsail.exceptions import NotRunError


class UnreachablePeerTest(unittest.TestCase):
    """Connecting to an unreachable VM, which does not even refuse the connection."""

    def setUp(self):
        """Fills the accept queue of a listener, so that further connection attempts time out."""
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.addCleanup(self.listener.close)
        address = self.listener.getsockname()
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self.fillers.append(filler)
            self.addCleanup(filler.close)
        gevent.sleep(0.05)
        self.clock = ManualClock(10**12)
        self.peer = HttpPeer(f"127.0.0.1:{address[1]}", self.clock)

    def test_only_the_first_request_waits_for_the_connection(self):
        """Guards against a connect time-out for every request to an unreachable peer.

        Each request would wait so long that no time is left to answer with a retry hint.
        """
        with self.assertRaises(NotRunError):
            self.peer.open(timeout_s=0.05)
        with gevent.Timeout(0.02), self.assertRaisesRegex(NotRunError, "a moment ago"):
            self.peer.open()

    def test_peer_with_a_working_connection_stays_reachable_after_a_connect_timeout(self):
        """Guards against treating a healthy peer as unreachable.

        A full link of this VM can delay a new connection while another one still receives answers.
        """
        near, far = socket.socketpair()
        self.addCleanup(far.close)
        exchange = Exchange(self.peer, Connection(near, self.clock.now_ns()), self.clock.now_ns())

        def answer() -> None:
            gevent.sleep(0.02)
            self.clock.advance_ms(20)
            far.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

        gevent.spawn(answer)
        receiving = gevent.spawn(exchange.receive_head, "GET")
        with self.assertRaisesRegex(NotRunError, "timed out"):
            self.peer.open(timeout_s=0.1)
        receiving.get()
        self.clock.advance_ms(1)
        with self.assertRaisesRegex(NotRunError, "timed out"):
            self.peer.open(timeout_s=0.05)
        with self.assertRaisesRegex(NotRunError, "a moment ago"):
            self.peer.open(timeout_s=0.05)

    def test_an_unreachable_peer_is_tried_again_after_a_pause(self):
        """Guards against a peer that stays excluded after it is reachable again."""
        with self.assertRaises(NotRunError):
            self.peer.open(timeout_s=0.05)
        self.clock.advance_ms(UNREACHABLE_MS)
        for filler in self.fillers:
            filler.close()
        while True:
            try:
                with gevent.Timeout(0.05):
                    self.listener.accept()[0].close()
            except gevent.Timeout:
                break
        self.peer.open(timeout_s=_pool.CONNECT_TIMEOUT_S).abort()


if __name__ == "__main__":
    unittest.main()
