"""Detection of the local upstream's crashes while several requests run."""

import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
from gevent import socket
from gevent.event import Event

from auburnsail._clock import BootClock
from auburnsail._crash_monitor import CrashMonitor
from auburnsail._quarantine import CrashNotice, Treatment, fingerprint
from auburnsail._sockets import endpoint
from tools.ports import LOOPBACK, reserve_port

POISON = ("POST", "/pledge/poison", b"poison")
HARMLESS = [("GET", f"/pledge/basket-{number}", b"") for number in range(5)]
KEEPS_CONNECTIONS = "auburnsail._crash_monitor.keeps_connections"


class FakeContext:
    """A request in place of `RequestContext`.

    Args:
        method: HTTP method.
        target: Request target.
        body: Request body.
    """

    def __init__(self, method: str, target: str, body: bytes) -> None:
        self.request = SimpleNamespace(head=SimpleNamespace(method=method, target=target))
        self.body_prefix = body
        self.stop_reason = ""
        self.deadline_ns = 1 << 62


class CrashMonitorTest(unittest.TestCase):
    """A node whose upstream ends while it runs requests."""

    def setUp(self):
        """Builds the monitor; nothing listens on the upstream's address."""
        self.address = f"{LOOPBACK}:{reserve_port()}"
        self.notices: list[CrashNotice] = []
        self.monitor = CrashMonitor("a", BootClock(), self.notices.append)

    def start(self, *requests: tuple[str, str, bytes]) -> list[FakeContext]:
        """Starts requests and returns their contexts."""
        contexts = [FakeContext(*request) for request in requests]
        for context in contexts:
            self.monitor.start(context)
        return contexts

    def listen(self, backlog: int = 16) -> socket.socket:
        """Returns a socket that listens on the upstream's address and accepts nothing by itself."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(endpoint(self.address))
        listener.listen(backlog)
        self.addCleanup(listener.close)
        return listener

    def break_exchange(self, context: FakeContext) -> None:
        """Ends a request as `AttemptRunner` does after a connection closed without an answer."""
        self.monitor.on_broken_exchange(context, self.address)
        self.monitor.end(context, completed=False)

    def break_exchanges(self, contexts: list[FakeContext]) -> list[gevent.Greenlet]:
        """Starts a greenlet for each request whose connection closed."""
        return [gevent.spawn(self.break_exchange, context) for context in contexts]

    def treatment(self, request: tuple[str, str, bytes]) -> Treatment:
        """Returns how the upstream may run a request after the crash."""
        return self.monitor.quarantine.treatment(fingerprint(*request), BootClock().now_ns())

    def test_one_crash_counts_once_however_many_requests_it_breaks(self):
        """Guards against harmless requests that are refused because one crash counted repeatedly.

        All connections close at the same moment, and each greenlet checks for a crash.
        """
        requests = [*HARMLESS, POISON]
        gevent.joinall(self.break_exchanges(self.start(*requests)), raise_error=True)
        self.assertEqual(len(self.notices), 1)
        self.assertEqual(
            set(self.notices[0].fingerprints), {fingerprint(*request) for request in requests}
        )
        self.assertEqual({self.treatment(request) for request in requests}, {Treatment.ISOLATED})

    def test_a_second_crash_by_the_only_suspect_is_not_counted_against_others(self):
        """Guards against suspects from the requests that the second crash breaks as well."""
        self.monitor.merge(CrashNotice("b:1", (fingerprint(*POISON),)))
        contexts = self.start(*HARMLESS, POISON)
        gevent.joinall(self.break_exchanges(contexts), raise_error=True)
        self.assertEqual(
            [notice.fingerprints for notice in self.notices], [(fingerprint(*POISON),)]
        )
        self.assertIs(self.treatment(POISON), Treatment.REFUSED)
        self.assertEqual({self.treatment(request) for request in HARMLESS}, {Treatment.NORMAL})

    def test_an_announcement_from_before_the_crash_does_not_count_it_again(self):
        """Guards against a second count of a crash after a late announcement of the upstream."""
        contexts = self.start(*HARMLESS)
        self.break_exchange(contexts[0])
        self.monitor.on_announcement()
        gevent.joinall(self.break_exchanges(contexts[1:]), raise_error=True)
        self.assertEqual(len(self.notices), 1)

    def test_a_crash_during_the_check_of_another_connection_is_counted(self):
        """Guards against a crash that is missed because a check began before it."""
        probes: list[Event] = []

        def probe(address: str) -> bool:
            probes.append(Event())
            if len(probes) > 1:
                return False
            probes[0].wait()
            return True

        contexts = self.start(*HARMLESS[:2])
        with mock.patch(KEEPS_CONNECTIONS, probe):
            greenlets = self.break_exchanges(contexts)
            gevent.sleep(0)
            probes[0].set()
            gevent.joinall(greenlets, raise_error=True)
        self.assertEqual(len(self.notices), 1)

    def test_a_process_that_still_listens_while_it_ends_has_crashed(self):
        """Guards against a poison request that is not suspected, and others that are in its place.

        The connections of a process that ends are closed before the socket that it listened on.
        """
        listener = self.listen()
        gevent.spawn_later(0.002, listener.close)
        self.break_exchange(*self.start(POISON))
        self.assertEqual(
            [notice.fingerprints for notice in self.notices], [(fingerprint(*POISON),)]
        )

    def test_a_process_that_no_longer_answers_while_it_ends_has_crashed(self):
        """Guards against a crash that is missed because the check got no answer and timed out."""
        listener = self.listen(backlog=0)
        for _ in range(4):
            # Fills the queue of connections, so that further ones are not answered.
            sock = socket.socket()
            self.addCleanup(sock.close)
            sock.setblocking(False)
            sock.connect_ex(endpoint(self.address))
        gevent.spawn_later(0.02, listener.close)
        self.break_exchange(*self.start(POISON))
        self.assertEqual(
            [notice.fingerprints for notice in self.notices], [(fingerprint(*POISON),)]
        )

    def test_an_upstream_that_closes_connections_has_not_crashed(self):
        """Guards against requests that are suspected because the upstream closed a connection."""
        listener = self.listen()
        self.break_exchange(*self.start(POISON))

        def close_all() -> None:
            while True:
                listener.accept()[0].close()

        closer = gevent.spawn(close_all)
        self.addCleanup(closer.kill)
        self.break_exchange(*self.start(POISON))
        self.assertEqual(self.notices, [])

    def test_waiting_requests_share_one_check(self):
        """Guards against answers that are late because each broken exchange is checked in turn."""
        first_probe, probes = Event(), []

        def probe(address: str) -> bool:
            probes.append(address)
            if len(probes) == 1:
                first_probe.wait()
            return True

        contexts = self.start(*HARMLESS)
        with mock.patch(KEEPS_CONNECTIONS, probe):
            greenlets = self.break_exchanges(contexts)
            gevent.sleep(0)
            first_probe.set()
            gevent.joinall(greenlets, raise_error=True)
        self.assertEqual(len(probes), 2)
        self.assertEqual(self.notices, [])

    def test_a_crash_after_the_restart_counts_again(self):
        """Guards against a poison request that is not refused after it crashed an upstream twice."""
        for _ in range(2):
            gevent.joinall(self.break_exchanges(self.start(POISON)), raise_error=True)
            self.monitor.on_announcement()
        self.assertEqual(len(self.notices), 2)
        self.assertIs(self.treatment(POISON), Treatment.REFUSED)


if __name__ == "__main__":
    unittest.main()
