"""Upstreams and nodes whose connection ends inside an answer."""

import io
import struct
import unittest
from collections.abc import Iterable
from http.client import HTTPException, HTTPResponse
from itertools import product

import gevent
from gevent import socket
from gevent.pool import Pool

from auburnsail._sockets import shut_down
from auburnsail.platform._header_names import DIALECT
from tests.path_fakes import (
    FakeUpstream,
    PathNode,
    Run,
    connect,
    exchange,
    open_connection,
    request,
    wait_for,
)

CONCURRENT_REQUESTS = 16
PAUSE_S = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
BODY = b"the server's bytes"
CHUNKED_BODY = b"%x\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n" % (3, BODY[:3], len(BODY) - 3, BODY[3:])
LENGTH = f"content-length: {len(BODY)}"
# Framing header, encoded body.
FRAMINGS = {
    "length": (LENGTH, BODY),
    "chunks": ("transfer-encoding: chunked", CHUNKED_BODY),
    "close": ("connection: close", BODY),
}
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\ncontent-length: 0\r\n\r\n"
SEAL = "x-auburnsail-server-seal"
NOT_RUN = "x-auburnsail-not-executed: 1"
ATTEMPT_ID = "x-auburnsail-attempt-id"
# Statuses that tell the caller that its request was not run.
PROMISES = frozenset({408, 421, 429, 503})

Whole = tuple[int, dict[str, str], bytes]


def whole_answer(data: bytes) -> Whole | None:
    """Returns status, headers and body of an answer that looks complete to a caller, else None."""

    class Received:
        def makefile(self, mode):
            return io.BytesIO(data)

    try:
        answer = HTTPResponse(Received())
        answer.begin()
        body = answer.read()
    except (HTTPException, OSError):
        return None
    return answer.status, {name.lower(): value for name, value in answer.getheaders()}, body


def encode(status: str, *lines: str, body: bytes = b"") -> bytes:
    """Returns an encoded answer."""
    return "\r\n".join([f"HTTP/1.1 {status}", *lines, "", ""]).encode() + body


def answer_to(request_id: str, framing: str, *, framed_first: bool = True) -> bytes:
    """Returns the complete answer of an upstream to a request on the platform."""
    line, body = FRAMINGS[framing]
    proof = (f"{ATTEMPT_ID}: {request_id}", f"{SEAL}: s")
    return encode("200 OK", *((line, *proof) if framed_first else (*proof, line)), body=body)


def id_of(run: Run) -> str:
    """Returns the id of a request that reached the upstream."""
    return run.head.split(f"{ATTEMPT_ID}: ")[1].split("\r\n")[0]


def end(sock: socket.socket, *, resets: bool) -> None:
    """Ends a connection as the kernel does for a process that ends, or with a reset."""
    if resets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.close()
    else:
        shut_down(sock, socket.SHUT_RDWR)


class CutAnswerCase(unittest.TestCase):
    """Two nodes with the header names of the platform; the first one has the upstream."""

    def setUp(self):
        """Starts the upstream and the nodes."""
        self.upstream = FakeUpstream()
        self.owner = PathNode("a", self.upstream, "catalogue", dialect=DIALECT)
        self.entry = PathNode("b", None, "", dialect=DIALECT)
        connect(self.owner, self.entry, owner=self.owner)
        for server in (self.upstream, self.owner, self.entry):
            self.addCleanup(server.stop)

    def send(
        self, node: PathNode, request_id: str, method: str = "POST", *, has_deadline: bool = True
    ) -> Whole | None:
        """Sends a request; returns the answer, or None if the caller sees that it is not whole."""
        lines = [f"{ATTEMPT_ID}: {request_id}"] + [f"{DIALECT.deadline_ms}: 2000"] * has_deadline
        body = b"x" if method == "POST" else b""
        try:
            return whole_answer(
                exchange(node.address, request(method, "/catalogue/k1", *lines, body=body))
            )
        except ConnectionResetError:
            return None

    def send_all(self, node: PathNode, ids: Iterable[str]) -> dict[str, Whole | None]:
        """Sends requests, several at a time, and returns the answers by request id."""
        ids = list(ids)
        results = Pool(CONCURRENT_REQUESTS).map(lambda value: self.send(node, value), ids)
        return dict(zip(ids, results, strict=True))


class CutUpstreamAnswerTest(CutAnswerCase):
    """An upstream writes a part of its answer and ends the connection.

    The requests run, so a cut answer may neither look like a complete success nor promise that the
    request was not run.
    """

    def assert_cut(self, results: dict[str, Whole | None], data: bytes, body_start: int = 0):
        """Asserts that no answer looks like a complete success or like a promise.

        Args:
            results: Answers by request id; the last three digits are the position of the cut.
            data: The answer of which a part was written.
            body_start: Position from which a cut cannot be told from the end of the answer, 0 for
                none.
        """
        for request_id, result in results.items():
            cut = int(request_id[-3:])
            if result is None:
                continue
            status, fields, body = result
            with self.subTest(request_id, written=data[:cut]):
                if body_start and cut >= body_start:
                    self.assertEqual((status, body), (200, data[body_start:cut]))
                    continue
                self.assertEqual(status, 502)
                self.assertEqual(fields["auburnsail-outcome"], "unknown")

    def cut_everywhere(
        self,
        node: PathNode,
        framing: str,
        *,
        resets: bool,
        framed_first: bool = True,
        interim: bytes = b"",
        pause_s: float = 0.0,
        step: int = 1,
    ) -> None:
        """Cuts an answer at every byte, or at each `step` bytes; see `assert_cut`."""
        # All ids have the same length, and so have the answers.
        data = interim + answer_to("cut-000", framing, framed_first=framed_first)

        def script(sock: socket.socket, run: Run) -> None:
            cut = int(id_of(run)[-3:])
            own = interim + answer_to(id_of(run), framing, framed_first=framed_first)
            pause_at = max(0, cut - 4) if pause_s else cut
            sock.sendall(own[:pause_at])
            if pause_s:
                gevent.sleep(pause_s)
                sock.sendall(own[pause_at:cut])
            end(sock, resets=resets)

        self.upstream.script = script
        results = self.send_all(node, (f"cut-{cut:03}" for cut in range(0, len(data), step)))
        self.assertEqual(len(self.upstream.runs), len(results), "each request runs once")
        self.upstream.runs.clear()
        plain_end = framing == "close" and not resets
        self.assert_cut(
            results, data, data.index(b"\r\n\r\n", len(interim)) + 4 if plain_end else 0
        )

    def test_complete_answers_arrive(self):
        """Guards against tests of cuts that pass because no answer is relayed at all."""
        for framing in FRAMINGS:
            for node in (self.owner, self.entry):
                for interim in (b"", INTERIM):

                    def script(sock, run, framing=framing, interim=interim):
                        sock.sendall(interim + answer_to(id_of(run), framing))
                        end(sock, resets=False)

                    self.upstream.script = script
                    with self.subTest(framing, node=node.session.id.node, interim=interim):
                        status, fields, body = self.send(node, "cut-000")
                        self.assertEqual((status, fields[SEAL], body), (200, "s", BODY))

    def test_every_cut_of_an_answer(self):
        """Guards against a success with a short or empty body after a cut in head or body."""
        for framing in FRAMINGS:
            for resets in (False, True):
                with self.subTest(framing, resets=resets):
                    self.cut_everywhere(self.owner, framing, resets=resets, step=1 + 2 * resets)

    def test_every_cut_before_the_framing_header(self):
        """Guards against an answer that is taken to end with the connection, for want of a length.

        The framing header is the last one, so that a cut before it leaves id and seal complete.
        """
        for framing in ("length", "chunks"):
            self.cut_everywhere(self.owner, framing, resets=False, framed_first=False)

    def test_every_cut_over_two_nodes(self):
        """Guards against a cut that the node beside the upstream passes on as a whole answer."""
        for framing in FRAMINGS:
            for resets in (False, True):
                with self.subTest(framing, resets=resets):
                    self.cut_everywhere(self.entry, framing, resets=resets, step=1 + 3 * resets)

    def test_every_cut_after_a_pause(self):
        """Guards against a part of a line that is parsed on its own, or lost, after a pause."""
        for framing in FRAMINGS:
            with self.subTest(framing):
                self.cut_everywhere(self.owner, framing, resets=False, pause_s=PAUSE_S)

    def test_every_cut_after_interim_answers(self):
        """Guards against an interim answer that is taken for the answer when no other follows."""
        for resets in (False, True):
            with self.subTest(resets=resets):
                step = 1 + 3 * resets
                self.cut_everywhere(self.owner, "length", resets=resets, interim=INTERIM, step=step)

    def test_every_cut_on_a_reused_connection(self):
        """Guards against state of the answer before: a head that was complete, a length."""
        reused: list[str] = []
        for framing in FRAMINGS:
            data = answer_to("cut-000", framing)
            last_ids: dict[socket.socket, str] = {}

            def script(sock, run, framing=framing, last_ids=last_ids):
                if id_of(run).startswith("whole"):
                    last_ids[sock] = id_of(run)
                    return answer_to(id_of(run), "length")
                cut = int(id_of(run)[-3:])
                if last_ids.get(sock) == f"whole-{cut:03}":
                    reused.append(id_of(run))
                sock.sendall(answer_to(id_of(run), framing)[:cut])
                return None

            self.upstream.script = script
            reused.clear()
            results = {}
            for cut in range(len(data)):
                self.assertEqual(self.send(self.owner, f"whole-{cut:03}")[2], BODY)
                results[f"cut-{cut:03}"] = self.send(self.owner, f"cut-{cut:03}")
            self.assertEqual(reused, list(results), "each cut answer was on a used connection")
            body_start = data.index(b"\r\n\r\n") + 4 if framing == "close" else 0
            self.assert_cut(results, data, body_start)

    def test_requests_that_may_be_repeated(self):
        """Guards against parts of several attempts that together look like one answer."""
        data = answer_to("cut-000", "length")

        def script(sock, run):
            sock.sendall(answer_to(id_of(run), "length")[: int(id_of(run)[-3:])])

        self.upstream.script = script
        for cut in range(0, len(data), 9):
            result = self.send(self.entry, f"cut-{cut:03}", "GET")
            self.assert_cut({f"cut-{cut:03}": result}, data)


class MergedHeadTest(CutAnswerCase):
    """An upstream stops inside the head of one answer and goes on with another answer."""

    def send_merged(self, first: bytes, second: bytes) -> dict[int, Whole | None]:
        """Returns the answer that the caller gets for each cut of the first one's head.

        `{id}` in both answers stands for the id of the request.
        """

        def script(sock, run):
            request_id = id_of(run).encode()
            cut = int(request_id[-3:])
            head = first.replace(b"{id}", request_id)[:cut]
            sock.sendall(head + second.replace(b"{id}", request_id))

        self.upstream.script = script
        length = first.replace(b"{id}", b"cut-000").index(b"\r\n\r\n")
        results = self.send_all(self.owner, (f"cut-{cut:03}" for cut in range(1, length)))
        return {int(request_id[-3:]): result for request_id, result in results.items()}

    def test_the_status_of_one_answer_with_the_body_of_another(self):
        """Guards against a failure that reaches the caller as a success, and the reverse.

        The rest of the first head is missing, so the second status line becomes a part of a header
        value or of the reason phrase, and the second answer's id, seal and body follow.
        """
        lines = (LENGTH, f"{ATTEMPT_ID}: {{id}}", f"{SEAL}: s")
        success = encode("200 OK", "x-first: value", *lines, body=BODY)
        failure = encode("500 Error", "x-first: value", *lines, body=BODY)
        for first, second in ((success, failure), (failure, success)):
            status = int(second[9:12])
            for cut, result in self.send_merged(first, second).items():
                with self.subTest(first[:cut], status=status):
                    self.assertIsNotNone(result)
                    self.assertIn(result[0], (status, 502))
                    if result[0] == 502:
                        self.assertNotIn(SEAL, result[1])

    def test_a_refusal_is_not_read_from_the_head_of_another_answer(self):
        """Guards against "not run" for a request that ran, which the caller then sends again."""
        lines = (LENGTH, f"{ATTEMPT_ID}: {{id}}", f"{SEAL}: s")
        success = encode("200 OK", *lines, body=BODY)
        refusal = encode("503 Busy", NOT_RUN, "x-last: value", "content-length: 0")
        for cut, result in self.send_merged(refusal, success).items():
            with self.subTest(refusal[:cut]):
                self.assertIsNotNone(result)
                self.assertNotIn(result[0], PROMISES)
                self.assertNotEqual(result[1].get("auburnsail-outcome"), "not-run")

    def test_a_trailer_is_not_a_header_of_the_next_answer(self):
        """Guards against a success that has the server seal of another request's answer."""
        first = encode("200 OK", f"{ATTEMPT_ID}: other", "transfer-encoding: chunked")
        first += b"1\r\nx\r\n0\r\n" + f"{SEAL}: s\r\n\r\n".encode()
        second = encode("200 OK", f"{ATTEMPT_ID}: mine", LENGTH, body=BODY)
        self.upstream.script = lambda sock, run: first + second
        self.assertEqual(self.send(self.owner, "mine")[0], 502)


class CutBetweenNodesTest(CutAnswerCase):
    """The process of the node beside the upstream ends while it relays an answer."""

    def cut_relay(self, line: str, data: bytes, has_deadline: bool) -> Whole | None:
        """Returns what the caller gets if the node ends after it relayed `data`."""

        def script(sock, run):
            sock.sendall(encode("200 OK", f"{ATTEMPT_ID}: mine", f"{SEAL}: s", line) + data)
            gevent.sleep(2.0)

        self.upstream.script = script
        caller = gevent.spawn(self.send, self.entry, "mine", has_deadline=has_deadline)
        self.assertTrue(wait_for(lambda: self.upstream.runs))
        gevent.sleep(PAUSE_S)
        # The kernel ends the connections of a process that is killed with a FIN.
        for connection in tuple(self.owner.server.connections):
            end(connection.sock, resets=False)
        self.upstream.runs.clear()
        return caller.get(timeout=2.0)

    def test_an_answer_does_not_look_whole_when_its_node_ends(self):
        """Guards against a short body that the next node and the caller take for the whole one."""
        for (framing, (line, body)), has_deadline in product(FRAMINGS.items(), (True, False)):
            with self.subTest(framing, has_deadline=has_deadline):
                result = self.cut_relay(line, body[:-6], has_deadline)
                # A short answer is relayed only once it is complete, but for one that may be a
                # stream of events.
                is_relayed = framing != "length" and not has_deadline
                self.assertEqual(result and result[0], None if is_relayed else 502)

    def test_an_answer_without_a_length_keeps_the_caller_s_connection(self):
        """Guards against a new connection for each request whose answer has no length."""
        self.upstream.script = lambda sock, run: sock.sendall(answer_to(id_of(run), "close"))
        lines = (f"{ATTEMPT_ID}: mine", f"{DIALECT.deadline_ms}: 2000")
        data = request("GET", "/catalogue/k1", *lines).replace(b"connection: close\r\n", b"")
        for node in (self.owner, self.entry):
            with open_connection(node.address) as sock:
                for _ in range(2):
                    sock.sendall(data)
                    received = b""
                    while not received.endswith(b"0\r\n\r\n"):
                        part = sock.recv(65536)
                        self.assertTrue(part, "the connection ended")
                        received += part
                    status, fields, body = whole_answer(received)
                    self.assertEqual((status, body), (200, BODY))
                    self.assertNotIn("connection", fields)

    def test_answers_without_a_body_have_no_chunks(self):
        """Guards against a last chunk after an answer to HEAD, a 204 or a 304."""
        for status, method in (("200 OK", "HEAD"), ("204 None", "GET"), ("304 Same", "GET")):
            head = encode(status, f"{ATTEMPT_ID}: mine", f"{SEAL}: s")
            self.upstream.script = lambda sock, run, head=head: sock.sendall(head)
            lines = (f"{ATTEMPT_ID}: mine", f"{DIALECT.deadline_ms}: 2000")
            for node in (self.owner, self.entry):
                with self.subTest(status, method=method, node=node.session.id.node):
                    data = exchange(node.address, request(method, "/catalogue/k1", *lines))
                    self.assertTrue(data.startswith(f"HTTP/1.1 {status[:3]}".encode()), data)
                    self.assertTrue(data.endswith(b"\r\n\r\n"), data)
                    self.assertNotIn(b"transfer-encoding", data)
                    self.assertNotIn(b"0\r\n\r\n", data)


if __name__ == "__main__":
    unittest.main()
