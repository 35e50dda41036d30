"""Small answers of upstreams that state no length: chunked ones, and those that a close ends."""

import contextlib
import unittest

import gevent
from structlog.testing import capture_logs

from auburnsail._clock import BootClock
from auburnsail._link_pacer import BYTES_PER_MBIT, LinkPacer
from auburnsail._link_sender import LinkSender
from auburnsail._request_policy import RequestPolicy
from tests.path_fakes import (
    FakeUpstream,
    PathNode,
    PathTestCase,
    connect,
    exchange,
    open_connection,
    wait_for,
)

BODY = bytes(5_000)
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
LINK_MBIT = 11
RESET_EVENTS = ("request unanswered", "answer cut short")


def ask(address: str, deadline_ms: int = 0, timeout_s: float = 3.0) -> bytes:
    """Sends a request that is not repeatable on a kept connection; returns what arrives."""
    lines = ["POST /catalogue/k1 HTTP/1.1", "host: a", "content-length: 1"]
    lines += [f"auburnsail-deadline-ms: {deadline_ms}"] if deadline_ms else []
    received = b""
    with open_connection(address) as sock:
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\nx")
        sock.settimeout(timeout_s)
        with contextlib.suppress(TimeoutError, ConnectionResetError):
            while part := sock.recv(65_536):
                received += part
                if received.endswith((b"0\r\n\r\n", BODY)) or b"HTTP/1.1 50" in received:
                    break
    return received


class BusyLinkTest(unittest.TestCase):
    """A node whose link of 11 Mbit/s carries six downloads of 300 kB.

    The route's time limit (0.5 s) is shorter than that of the caller (1.5 s).
    """

    def answer_beside_downloads(self, head: bytes, end: bytes = b"", owner_has_link=False) -> bytes:
        """Returns what a request with a small answer gets.

        Args:
            head: Head of the upstream's answer.
            end: Bytes of the upstream after the body.
            owner_has_link: Whether the link is that of the key's owner, not of the first node.
        """
        download = b"HTTP/1.1 200 OK\r\ncontent-length: 300000\r\n\r\n" + bytes(300_000)

        def answer(sock, run) -> bytes | None:
            if "/k2" in run.head:
                return download
            gevent.sleep(0.1)
            body = b"1388\r\n" + BODY + b"\r\n" if end else BODY
            sock.sendall(head + body + end)
            return None if head == UNFRAMED else b""

        upstream = FakeUpstream(answer)
        self.addCleanup(upstream.stop)
        link = LinkSender(LinkPacer(LINK_MBIT * BYTES_PER_MBIT), BootClock())
        owner = PathNode("a", upstream, "catalogue", link=link if owner_has_link else None)
        entry = PathNode("b", None, "catalogue", link=None if owner_has_link else link)
        self.addCleanup(owner.stop)
        self.addCleanup(entry.stop)
        connect(owner, entry, owner=owner)
        entry.application.set_policies({"catalogue": RequestPolicy(max_deadline_ms=500)})
        get = b"GET /catalogue/k2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        busy = owner if owner_has_link else entry
        downloads = [gevent.spawn(exchange, busy.address, get) for _ in range(6)]
        self.assertTrue(wait_for(lambda: len(upstream.runs) == 6))
        with capture_logs() as lines:
            received = ask(entry.address, 1_500, timeout_s=1.5)
        gevent.joinall(downloads, timeout=5.0)
        self.assertTrue(all(len(task.value or b"") > 300_000 for task in downloads))
        self.assertEqual([line for line in lines if line["event"] == "request unanswered"], [])
        return received

    def test_an_answer_ended_by_a_close_is_not_reset_at_the_time_limit(self):
        """Guards against LOST: such an answer counted as large and waited behind the downloads."""
        self.assertTrue(self.answer_beside_downloads(UNFRAMED).endswith(BODY + b"\r\n0\r\n\r\n"))

    def test_a_chunked_answer_is_not_reset_at_the_time_limit(self):
        """Guards against the same for an answer in chunks."""
        received = self.answer_beside_downloads(CHUNKED, b"0\r\n\r\n")
        self.assertTrue(received.endswith(BODY + b"\r\n0\r\n\r\n"))

    def test_the_same_behind_the_link_of_the_owner(self):
        """Guards against 504 in place of an answer that waits at the node that has it."""
        received = self.answer_beside_downloads(UNFRAMED, owner_has_link=True)
        self.assertTrue(received.endswith(BODY + b"\r\n0\r\n\r\n"), received[:300])


class LateEndTest(PathTestCase):
    """An upstream that sends its answer and ends it 0.3 s later."""

    def setUp(self):
        """Lets the upstream end its answers late."""
        super().setUp()

        def answer(sock, run) -> None:
            sock.sendall(UNFRAMED + BODY)
            gevent.sleep(0.3)

        self.upstream.script = answer

    def test_a_deadline_before_the_end_gives_a_failure(self):
        """Guards against a reset where the node can still say that the time is over."""
        for node in self.entry_nodes():
            with self.subTest(node.address):
                self.assertEqual(ask(node.address, 150)[:12], b"HTTP/1.1 504")

    def test_an_answer_within_the_deadline_is_whole(self):
        """Guards against an answer that is held back for good."""
        for node in self.entry_nodes():
            with self.subTest(node.address):
                received = ask(node.address, 2_000)
                end = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
                self.assertTrue(received.endswith(end), received[:200])

    def test_a_large_answer_is_whole(self):
        """Guards against bytes that are lost where the node begins to relay."""
        body = bytes(range(250)) * 4_000

        def answer(sock, run) -> None:
            sock.sendall(UNFRAMED + body)

        self.upstream.script = answer
        for node in self.entry_nodes():
            request = (
                b"GET /catalogue/k1 HTTP/1.0\r\nhost: a\r\nauburnsail-deadline-ms: 3000\r\n\r\n"
            )
            with self.subTest(node.address), open_connection(node.address) as sock:
                sock.sendall(request)
                received = b""
                while part := sock.recv(65_536):
                    received += part
                self.assertEqual(received.partition(b"\r\n\r\n")[2], body)

    def test_the_line_of_a_reset_at_the_deadline_names_it(self):
        """Guards against a reset whose log line tells only that a socket was closed."""

        def answer(sock, run) -> None:
            sock.sendall(UNFRAMED)
            with contextlib.suppress(OSError):
                while True:
                    sock.sendall(BODY)
                    gevent.sleep(0.001)

        self.upstream.script = answer
        with capture_logs() as lines:
            head = "GET /catalogue/k1 HTTP/1.1", "host: a", "auburnsail-deadline-ms: 600"
            with open_connection(self.owner.address) as sock:
                sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
                with self.assertRaises(ConnectionResetError):
                    while sock.recv(65_536):
                        pass
            gevent.sleep(0.1)
        own_lines = [line for line in lines if line.get("address") == self.owner.address]
        (line,) = [line for line in own_lines if line["event"] in RESET_EVENTS]
        facts = (line["cause"], line["caller_end"], line["answer_begun"], line["hop"])
        self.assertEqual(facts, ("deadline", "", True, False))

    def test_a_stream_without_a_deadline_of_the_caller_flows_at_once(self):
        """Guards against events of a stream that are held back until its end."""

        def answer(sock, run) -> None:
            sock.sendall(UNFRAMED + b"event")
            gevent.sleep(1.0)

        self.upstream.script = answer
        for node in self.entry_nodes():
            with self.subTest(node.address), open_connection(node.address) as sock:
                sock.sendall(b"GET /catalogue/k1 HTTP/1.1\r\nhost: a\r\n\r\n")
                sock.settimeout(0.5)
                received = b""
                while b"event" not in received:
                    received += sock.recv(65_536)


if __name__ == "__main__":
    unittest.main()
