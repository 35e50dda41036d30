"""Upstreams that write an earlier refusal or answer once more on a connection that is kept."""

import unittest

import gevent

from auburnsail._exchange import MAX_REFUSED_IDS
from auburnsail.platform._header_names import DIALECT
from tests.path_fakes import FakeUpstream, PathNode, connect, exchange, reason_of, request

SEAL = "x-auburnsail-server-seal: s"
NOT_RUN = "x-auburnsail-not-executed: 1"


def answer(status: str, request_id: str, *lines: str, body: bytes = b"") -> bytes:
    """Returns an encoded answer that repeats a request id, or none if it is empty."""
    fields = [f"content-length: {len(body)}", *lines]
    if request_id:
        fields.append(f"x-auburnsail-attempt-id: {request_id}")
    return "\r\n".join([f"HTTP/1.1 {status}", *fields, "", ""]).encode() + body


def success(request_id: str) -> bytes:
    """Returns the answer of an upstream that has run a request."""
    return answer("200 OK", request_id, SEAL, body=b"done")


def refusal(request_id: str, status: str = "503 Busy") -> bytes:
    """Returns the answer of an upstream that has not run a request."""
    return answer(status, request_id, NOT_RUN)


def id_of(run) -> str:
    """Returns the id of a request that reached the upstream."""
    return run.head.split("x-auburnsail-attempt-id: ")[1].split("\r\n")[0]


class RepeatedAnswerTest(unittest.TestCase):
    """One node and its upstream, which speak with the header names of the platform."""

    def setUp(self):
        """Starts the upstream and the node."""
        self.ran: list[str] = []
        self.upstream = FakeUpstream(self.run_request)
        self.node = PathNode("n", self.upstream, "catalogue", dialect=DIALECT)
        connect(self.node, owner=self.node)

    def tearDown(self):
        """Stops both."""
        self.node.stop()
        self.upstream.stop()

    def run_request(self, sock, run) -> bytes:
        """Runs a request and answers it."""
        self.ran.append(id_of(run))
        return success(id_of(run))

    def send(self, request_id: str, method: str = "POST") -> tuple[int, str]:
        """Sends a request to the node and returns status and outcome of the answer."""
        lines = (f"x-auburnsail-attempt-id: {request_id}", "x-auburnsail-deadline-ms: 2000")
        data = request(method, "/catalogue/k1", *lines, body=b"x" if method == "POST" else b"")
        return reason_of(exchange(self.node.address, data))[:2]

    def test_a_second_copy_of_a_refusal_is_not_the_answer_to_the_second_attempt(self):
        """Guards against "not run" for a request that runs, and against running it twice.

        The upstream refuses a request, since it does not hold the key yet. At the second attempt,
        which has the same id, it writes the refusal once more and runs the request.
        """
        refused: dict[int, bytes] = {}

        def run_request(sock, run):
            copy = refused.pop(id(sock), b"")
            if not self.upstream_refused:
                self.upstream_refused = True
                refused[id(sock)] = refusal(id_of(run), "421 Misdirected Request")
                return refused[id(sock)]
            return copy + self.run_request(sock, run)

        for number, method in enumerate(("POST", "GET")):
            self.upstream_refused = False
            self.upstream.script = run_request
            self.assertEqual(self.send(f"same{number}", method)[0], 200)
            self.assertEqual(self.ran.count(f"same{number}"), 1)

    def test_a_refusal_without_the_id_is_no_promise(self):
        """Guards against "not run" because of a refusal that may belong to another request."""
        for status in ("503 Busy", "421 Misdirected Request", "429 Too Many", "400 Bad Request"):
            with self.subTest(status=status):
                self.ran.clear()

                def run_request(sock, run, status=status):
                    self.ran.append(id_of(run))
                    return refusal("", status)

                self.upstream.script = run_request
                code, outcome = self.send(f"id{status[:3]}")
                self.assertEqual(len(self.ran), 1, "the request may have run, so it runs once")
                self.assertNotIn(code, (408, 421, 429, 503))
                self.assertNotEqual(outcome, "not-run")

    def test_a_success_without_the_id_is_not_relayed(self):
        """Guards against an answer that may belong to another caller's request."""
        self.upstream.script = lambda sock, run: success("")
        self.assertEqual(self.send("a"), (502, "unknown"))

    def test_a_late_copy_of_another_request_s_refusal_is_skipped(self):
        """Guards against the refusal of an earlier request as the answer to the next one.

        The copies arrive together with the next answer and on the idle connection before it.
        """
        for late_s in (0.0, 0.02):
            self.ran.clear()

            def run_request(sock, run, late_s=late_s):
                if id_of(run).startswith("first"):
                    if late_s:
                        gevent.spawn_later(late_s, sock.sendall, refusal(id_of(run)))
                    return refusal(id_of(run))
                early = refusal("first") if not late_s else b""
                return early + self.run_request(sock, run)

            self.upstream.script = run_request
            self.assertEqual(self.send(f"first{late_s}"), (503, "not-run"))
            gevent.sleep(2 * late_s)
            self.assertEqual(self.send(f"second{late_s}")[0], 200)
            self.assertEqual(self.ran, [f"second{late_s}"])

    def test_a_connection_is_kept_after_a_refusal_for_other_requests_only(self):
        """Guards against a new connection for each request that follows a refusal."""
        self.upstream.script = lambda sock, run: refusal(id_of(run))
        for number in range(MAX_REFUSED_IDS):
            self.assertEqual(self.send(f"r{number}"), (503, "not-run"))
        self.assertEqual(self.upstream.connections, 1)
        self.send("r0")
        self.assertEqual(self.upstream.connections, 2)


if __name__ == "__main__":
    unittest.main()
