"""Requests that are in flight when the grace time of a stopping node ends."""

import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
from gevent import socket
from structlog.testing import capture_logs

from auburnsail import _node
from auburnsail._admission_queue import Limits
from auburnsail._clock import BootClock
from auburnsail._data_path import DataPath
from auburnsail._dialect import DEFAULT_DIALECT
from auburnsail._gate import RequestGate
from auburnsail._model import Session, SessionId
from auburnsail._moves import GateDecision
from auburnsail._node import Node
from tests.path_fakes import (
    OK,
    SECRET,
    FakeUpstream,
    PathNode,
    connect,
    exchange,
    open_connection,
    reason_of,
    request,
    wait_for,
)

STOPPING_NOT_RUN = (503, "not-run", "stopping")
POST = request("POST", "/catalogue/k1", body=b"x")


class StoppingNode:
    """Data path of a node, and the stop that ends its process.

    Args:
        upstream_address: Address of the local upstream.
        gate: Gate of the request path, or None for one that admits every request.
        owner: Address of the node that owns all keys, empty for the node itself.
        caller_address: Address of a second server for callers, or empty.
    """

    def __init__(
        self, upstream_address: str, gate=None, owner: str = "", caller_address: str = ""
    ) -> None:
        path = PathNode("n", None, "catalogue")
        path.stop()
        self.address = path.address
        settings = SimpleNamespace(
            node="n",
            region="wien",
            domain="wien-1",
            data_address=path.address,
            caller_address=caller_address,
            service="",
            fleet_secret=SECRET,
            resolve_address=str,
            stop_grace_s=0.6,
        )
        self.data_path = DataPath(
            settings,
            path.router,
            lambda: upstream_address,
            gate or path.gate,
            BootClock(),
            lambda error: None,
            lambda notice: None,
            lambda: None,
            adapter=SimpleNamespace(
                dialect=DEFAULT_DIALECT, has_routes=False, grants_by_report=True
            ),
        )
        self.data_path._admission.set_limits(Limits(4, 4, 10, 5_000))
        if owner:
            session = Session(
                SessionId("o", 1), "wien", "wien-1", owner, owner, "catalogue", slots=4
            )
            other = SimpleNamespace(session=session)
            connect(path, owner=other, others=(path, other))
        else:
            connect(path, owner=path)
        self.data_path.start()
        self.node = SimpleNamespace(
            _settings=settings, _data_path=self.data_path, _stopped=mock.Mock(), _log=mock.Mock()
        )

    def stop(self) -> None:
        """Stops the node; closes its connections as the kernel does when the process has ended."""
        self.data_path.announce_close()
        with mock.patch.object(_node, "READINESS_REMOVAL_S", 0.0):
            Node._stop_for_restart(self.node)
        self.node._stopped.set.assert_called_once()
        for server in self.data_path._servers:
            for connection in tuple(server.connections):
                connection.sock.close()


class StopEndTest(unittest.TestCase):
    """Each request that was read ends with an answer, or visibly incomplete."""

    def setUp(self):
        self.upstream = FakeUpstream(lambda sock, run: gevent.sleep(5))
        self.addCleanup(self.upstream.stop)

    def _start(self, **options) -> StoppingNode:
        node = StoppingNode(options.pop("upstream_address", self.upstream.address), **options)
        self.addCleanup(lambda: [server.kill() for server in node.data_path._servers])
        return node

    def _answer_at_end(self, node: StoppingNode, data: bytes = POST) -> bytes:
        """Returns what a caller receives whose request is in flight when the node stops."""
        caller = gevent.spawn(exchange, node.address, data, 2.0)
        self.assertTrue(wait_for(lambda: node.data_path.in_flight == 1))
        gevent.sleep(0.02)
        node.stop()
        return caller.get(timeout=1.0)

    def test_a_request_that_waits_for_a_connection_to_the_upstream_is_answered(self):
        """Guards against LOST: no exchange exists yet that the stop could interrupt.

        The listen queue of the upstream is full, so connecting ends after its own timeout only,
        when the process has ended.
        """
        node = self._start(upstream_address=self._full_listener())
        self.assertEqual(reason_of(self._answer_at_end(node)), STOPPING_NOT_RUN)

    def test_a_request_that_waits_for_a_connection_to_its_owner_is_answered(self):
        """Guards against LOST as above, for a request that is forwarded to another node."""
        node = self._start(owner=self._full_listener())
        self.assertEqual(reason_of(self._answer_at_end(node)), STOPPING_NOT_RUN)

    def test_a_request_whose_key_is_moving_is_answered(self):
        """Guards against LOST: the gate waits up to the request's deadline for the end of a move.

        Moves do not end on a node whose process is about to end.
        """
        mover = SimpleNamespace(admit=lambda *arguments: GateDecision.WAIT)
        node = self._start(gate=RequestGate(mover, SimpleNamespace(), BootClock()))
        self.assertEqual(reason_of(self._answer_at_end(node)), STOPPING_NOT_RUN)
        self.assertEqual(self.upstream.runs, [])

    def test_a_request_whose_body_is_late_is_answered(self):
        """Guards against LOST of a request whose body is still being read at the end."""
        node = self._start()
        self.assertEqual(reason_of(self._answer_at_end(node, POST[:-1])), STOPPING_NOT_RUN)
        self.assertEqual(self.upstream.runs, [])

    def test_a_request_that_waits_to_be_sent_again_is_answered(self):
        """Guards against LOST of a request in the pause before its next attempt.

        Nothing listens at the upstream's address, so each attempt fails at once.
        """
        with mock.patch("auburnsail._forward.backoff_ms", lambda attempt, jitter: 150.0):
            node = self._start(upstream_address=self._closed_address())
            status, outcome, _ = reason_of(self._answer_at_end(node))
        self.assertEqual((status, outcome), (503, "not-run"))

    def test_a_request_that_is_read_after_the_end_of_requests_is_refused(self):
        """Guards against LOST of a request that is passed on just before the process ends.

        The head of the request arrives in two parts: one early in the grace time, one after the
        requests in flight were ended.
        """
        node = self._start()
        end_requests = node.data_path.end_requests
        sock = open_connection(node.address, 2.0)
        self.addCleanup(sock.close)
        sock.sendall(POST[:20])
        self.assertTrue(wait_for(lambda: node.data_path.in_flight == 1))

        def end_and_send(*arguments) -> None:
            gevent.spawn_later(0.05, sock.sendall, POST[20:])
            end_requests(*arguments)

        with mock.patch.object(node.data_path, "end_requests", end_and_send):
            node.stop()
        self.assertEqual(self.upstream.runs, [])
        self.assertEqual(reason_of(sock.recv(65536)), STOPPING_NOT_RUN)

    def test_a_request_whose_body_ends_after_the_end_of_requests_is_answered(self):
        """Guards against LOST of a request that enters the admission queue after it was emptied.

        Its body is complete in the moment in which the request is stopped, and the only slot is
        held by an answer that is still being relayed.
        """
        # Otherwise the read can end between two polls, and the body counts as late.
        poll = mock.patch("auburnsail._http_server.BODY_POLL_INTERVAL_S", 0.5)
        self.enterContext(poll)
        self.upstream.script = _send_part
        node = self._start()
        node.data_path._admission.set_limits(Limits(1, 1, 10, 5_000))
        download = gevent.spawn(exchange, node.address, POST, 2.0)
        self.assertTrue(wait_for(lambda: len(self.upstream.runs) == 1))
        sock = open_connection(node.address, 2.0)
        self.addCleanup(sock.close)
        sock.sendall(POST[:-1])
        self.assertTrue(wait_for(lambda: node.data_path.in_flight == 2))
        gevent.sleep(0.02)
        end_requests = node.data_path.end_requests

        def end_and_send(*arguments) -> None:
            # Without a switch to another greenlet, so that the body is complete at its next read.
            sock._sock.send(POST[-1:])
            end_requests(*arguments)

        with mock.patch.object(node.data_path, "end_requests", end_and_send):
            node.stop()
        self.assertEqual(reason_of(sock.recv(65536)), STOPPING_NOT_RUN)
        download.kill()

    def test_a_partial_answer_without_length_does_not_look_complete(self):
        """Guards against MIXED: the end of the process closes connections without a reset.

        For an HTTP/1.0 caller an answer without a length ends with its connection, so it would take
        the part that it has for the whole answer. The log says which request it was.
        """

        self.upstream.script = _send_part
        node = self._start()
        with capture_logs() as lines, self.assertRaises(ConnectionResetError):
            self._answer_at_end(node)
        ends = [line for line in lines if line["event"] == "request ended with the process"]
        self.assertEqual(
            [(line["state"], line["address"]) for line in ends], [("answer", node.address)]
        )
        grace_ms = 1000 * node.node._settings.stop_grace_s
        self.assertTrue(0 < ends[0]["stopping_ms"] < grace_ms, ends)

    def test_an_answer_that_ends_within_the_last_moments_is_complete(self):
        """Guards against a stop that cuts off an answer that would have been complete in time."""

        def send_slowly(sock, run) -> None:
            sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nfirst,")
            gevent.sleep(0.35)
            sock.sendall(b"last")

        self.upstream.script = send_slowly
        node = self._start()
        answer = self._answer_at_end(node)
        self.assertTrue(answer.endswith(b"\r\n\r\n6\r\nfirst,\r\n4\r\nlast\r\n0\r\n\r\n"), answer)

    def test_an_answer_of_which_a_part_has_arrived_is_relayed_whole(self):
        """Guards against a stop that replaces an answer by one of its own while it arrives.

        The answer has a length, so it is buffered whole before its first byte is relayed.
        """

        def send_in_parts(sock, run) -> None:
            sock.sendall(OK[:-1])
            gevent.sleep(0.2)
            sock.sendall(OK[-1:])

        self.upstream.script = send_in_parts
        node = self._start()
        self.assertEqual(reason_of(self._answer_at_end(node)), (200, "", ""))

    def test_an_answer_that_stops_arriving_is_replaced(self):
        """Guards against LOST of a request whose answer the stop waits for in vain."""

        def send_part(sock, run) -> None:
            sock.sendall(OK[:-1])
            gevent.sleep(5)

        self.upstream.script = send_part
        node = self._start()
        self.assertEqual(reason_of(self._answer_at_end(node)), (502, "unknown", "stopping"))

    def test_the_stop_waits_for_requests_on_both_addresses(self):
        """Guards against a stop that ends as soon as one of the two servers has no requests."""

        def answer(sock, run) -> bytes:
            gevent.sleep(0.05 if "/k1 " in run.head else 0.25)
            return OK

        self.upstream.script = answer
        caller_address = self._closed_address()
        node = self._start(caller_address=caller_address)
        node.node._settings.stop_grace_s = 1.5
        callers = [
            gevent.spawn(exchange, address, request("GET", target))
            for address, target in (
                (node.address, "/catalogue/k1"),
                (caller_address, "/catalogue/k2"),
            )
        ]
        self.assertTrue(wait_for(lambda: node.data_path.in_flight == 2))
        node.stop()
        self.assertEqual([reason_of(caller.get(timeout=1.0))[0] for caller in callers], [200, 200])
        node.node._log.warning.assert_not_called()

    def test_a_request_of_another_node_goes_elsewhere(self):
        """Guards against work that a node forwards to one whose process is about to end.

        The stopping node refuses it as not run, so the first node tries the next upstream at once.
        """
        upstreams = [FakeUpstream(), FakeUpstream()]
        nodes = [
            PathNode(name, upstream, "pledge")
            for name, upstream in zip("ab", upstreams, strict=True)
        ]
        first = PathNode("f", None, "pledge")
        for part in (*upstreams, *nodes, first):
            self.addCleanup(part.stop)
        connect(first, *nodes, owner=nodes[0], others=tuple(nodes))
        nodes[0].application.close()
        answers = [exchange(first.address, request("POST", "/pledge/1")) for _ in range(4)]
        self.assertEqual([reason_of(answer)[0] for answer in answers], [200] * 4)
        self.assertEqual([len(upstream.runs) for upstream in upstreams], [0, 4])

    def test_a_second_stop_signal_changes_nothing(self):
        """Guards against a second stop that begins beside the first, with a later end."""
        node = SimpleNamespace(
            stopping=False,
            _log=mock.Mock(),
            _data_path=mock.Mock(),
            _adapter=SimpleNamespace(grants_by_report=True),
            _stop_for_restart=mock.Mock(),
        )
        with mock.patch.object(_node._supervision, "spawn") as spawn:
            Node.stop(node)
            Node.stop(node)
        spawn.assert_called_once()
        node._data_path.announce_close.assert_called_once()

    def _full_listener(self) -> str:
        """Returns the address of a listener that completes no further connection."""
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            waiting = socket.socket()
            self.addCleanup(waiting.close)
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        return f"127.0.0.1:{listener.getsockname()[1]}"

    @staticmethod
    def _closed_address() -> str:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            return f"127.0.0.1:{sock.getsockname()[1]}"


def _send_part(sock, run) -> None:
    """Sends a part of an answer without a length."""
    sock.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
    gevent.sleep(5)


if __name__ == "__main__":
    unittest.main()
