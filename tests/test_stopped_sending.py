"""The end of sending inside a request, while a write is blocked."""

import contextlib
import select
import unittest
from unittest import mock

import gevent
from gevent import socket

from auburnsail._clock import BootClock
from auburnsail._early_answer import MAX_PAUSE_NS
from auburnsail._exchange import Connection, Exchange
from auburnsail._link_pacer import BYTES_PER_MBIT, LinkPacer
from auburnsail._link_sender import LinkSender
from tests.path_fakes import OK

BODY = bytes(8_000_000)


class StoppedSendingTest(unittest.TestCase):
    """An exchange whose peer does not read, so that sending `BODY` blocks."""

    def setUp(self):
        own, self.far = socket.socketpair()
        self.addCleanup(own.close)
        self.addCleanup(self.far.close)
        self.own = own
        self.pool = mock.Mock(address="127.0.0.1:1", link=None)
        self.exchange = Exchange(self.pool, Connection(own, 0), 0)
        self.sending = gevent.spawn(self.exchange.send, BODY)
        gevent.sleep(0.02)
        self.assertFalse(self.sending.ready())

    def read_arrived(self) -> bytes:
        """Returns all bytes that the peer can read now; does not yield to other greenlets."""
        parts = []
        with contextlib.suppress(BlockingIOError):
            while part := self.far._sock.recv(65536):
                parts.append(part)
        return b"".join(parts)

    def check_stopped(self) -> None:
        """Checks that sending has ended without an error, and that later bytes are dropped."""
        self.sending.get(timeout=1.0)
        received = self.read_arrived()
        self.exchange.send(b"later")
        gevent.sleep(0.02)
        self.assertEqual(self.read_arrived(), b"")
        self.assertLess(len(received), len(BODY))

    def check_open(self) -> None:
        """Checks that the peer sees no end of the connection."""
        poll = select.poll()
        poll.register(self.far.fileno(), select.POLLRDHUP)
        self.assertEqual(poll.poll(0), [])

    def test_a_cancelled_write_is_no_broken_connection(self):
        """Guards against an early answer being lost because its end of sending looks like one."""
        self.far.sendall(OK)
        self.exchange.stop_sending()
        self.check_stopped()
        self.check_open()
        self.assertEqual(self.exchange.receive_head("POST").status, 200)

    def test_a_write_that_is_cancelled_before_the_answer_is_no_broken_connection(self):
        """Guards against an error that depends on the answer being readable at that moment."""
        self.exchange.stop_sending()
        self.check_stopped()
        self.check_open()
        self.far.sendall(OK)
        self.assertEqual(self.exchange.receive_head("POST").status, 200)

    def test_the_peer_sees_the_end_only_after_a_pause(self):
        """Guards against an end of sending inside an answer that arrives bit by bit."""
        self.exchange.end_request(0)
        self.exchange.end_request(2 * MAX_PAUSE_NS)
        self.check_open()
        self.exchange.stop_sending()
        self.sending.get(timeout=1.0)
        self.far.sendall(OK[:-1])
        self.exchange.end_request(MAX_PAUSE_NS)
        self.exchange.end_request(3 * MAX_PAUSE_NS)
        self.exchange.receive_head("POST")
        self.exchange.end_request(4 * MAX_PAUSE_NS)
        self.exchange.end_request(5 * MAX_PAUSE_NS - 1)
        self.check_open()
        self.exchange.end_request(5 * MAX_PAUSE_NS)
        with self.assertRaises(AssertionError):
            self.check_open()

    def test_the_connection_is_not_used_again(self):
        """Guards against a request after a body of which a part is missing."""
        self.far.sendall(OK)
        self.exchange.stop_sending()
        self.check_stopped()
        self.exchange.receive_head("POST")
        self.exchange.read()
        self.exchange.finish()
        self.pool.put_idle.assert_not_called()
        self.assertEqual(self.own.fileno(), -1)

    def test_a_write_that_can_go_on_in_the_same_turn_ends(self):
        """Guards against a body that is sent on after the end of sending."""
        self.read_arrived()
        self.exchange.stop_sending()
        self.check_stopped()
        self.check_open()
        self.far.sendall(OK)
        self.assertEqual(self.exchange.receive_head("POST").status, 200)

    def test_a_block_after_the_end_of_sending_does_not_wait_for_the_link(self):
        """Guards against an answer that is read only after a busy link has had its turn."""
        link = LinkSender(LinkPacer(BYTES_PER_MBIT), BootClock())
        self.pool.link = link
        other = link.begin(300_000)
        sending = gevent.spawn(other.send, lambda block: None, bytes(300_000))
        self.addCleanup(sending.kill)
        gevent.sleep(0.05)
        self.exchange.stop_sending()
        with gevent.Timeout(1.0):
            self.exchange.send(bytes(64 * 1024))


if __name__ == "__main__":
    unittest.main()
