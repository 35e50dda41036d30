"""Malformed and forged requests, which a node must refuse without running them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from auburnsail._hop import Hop, HopSigner
from auburnsail._http_body import RequestBody
from auburnsail._http_head import RequestHead, parse_head
from auburnsail._outcome import RequestFailedError
from tests.path_fakes import (
    SECRET,
    FakeUpstream,
    PathNode,
    connect,
    exchange,
    reason_of,
    request,
)


def _head(*lines: str, start: str = "POST /catalogue/k1 HTTP/1.1") -> bytes:
    return "\r\n".join([start, "host: n", *lines, "", ""]).encode("latin-1")


HOST_AND_CLOSE = b"host: n\r\nconnection: close"
CHUNKED = "transfer-encoding: chunked"
# Request, status and reason by the name of the case.
BAD_REQUESTS = {
    "both lengths": (_head("content-length: 1", CHUNKED) + b"a", 400, "two-lengths"),
    "two equal lengths": (
        _head("content-length: 1", "content-length: 1") + b"a",
        400,
        "repeated-header",
    ),
    "differing lengths": (
        _head("content-length: 1", "Content-Length: 2") + b"ab",
        400,
        "repeated-header",
    ),
    "length list": (_head("content-length: 1, 1") + b"a", 400, "bad-length"),
    "signed length": (_head("content-length: +1") + b"a", 400, "bad-length"),
    "huge length": (_head("content-length: " + "9" * 15), 413, "body-too-large"),
    "length too long": (_head("content-length: " + "9" * 40), 400, "bad-length"),
    "folded header": (_head("x: a", " b"), 400, "folded-header"),
    "space before colon": (_head("content-length : 1") + b"a", 400, "header-name"),
    "bare LF": (b"GET /catalogue/k1 HTTP/1.1\nhost: n\n\n", 400, "line-end"),
    "bare LF in header": (_head("x: a\ncontent-length: 1"), 400, "line-end"),
    "bare CR": (_head("x: a\rcontent-length: 1"), 400, "line-end"),
    "NUL in value": (_head("x: a\0b"), 400, "bad-header"),
    "no colon": (_head("nonsense"), 400, "bad-header"),
    "empty name": (_head(": a"), 400, "bad-header"),
    "gzip, chunked": (_head("transfer-encoding: gzip, chunked"), 501, "transfer-encoding"),
    "identity": (_head("transfer-encoding: identity"), 501, "transfer-encoding"),
    "obscured chunked": (_head("transfer-encoding: \x0bchunked"), 400, "bad-header"),
    "twice chunked": (_head(CHUNKED, CHUNKED), 400, "repeated-header"),
    "chunked in HTTP/1.0": (
        _head(CHUNKED, start="POST /catalogue/k1 HTTP/1.0"),
        400,
        "transfer-encoding",
    ),
    "bad chunk size": (_head(CHUNKED) + b"0x1\r\na\r\n0\r\n\r\n", 400, "bad-chunk"),
    "chunk too long": (_head(CHUNKED) + b"1\r\nab\r\n0\r\n\r\n", 400, "bad-chunk"),
    "chunk size with LF": (_head(CHUNKED) + b"1\na\r\n0\r\n\r\n", 400, "bad-chunk"),
    "bad trailer": (_head(CHUNKED) + b"0\r\na b: c\r\n\r\n", 400, "bad-chunk"),
    "large head": (_head("x: " + "a" * 40_000), 431, "head-too-large"),
    "endless head": (b"GET / HTTP/1.1\r\nx: " + b"a" * 40_000, 431, "head-too-large"),
    "many headers": (_head(*["x: a"] * 200), 431, "head-too-large"),
    "long target": (_head(start=f"GET /{'a' * 9000} HTTP/1.1"), 414, "target-too-long"),
    "no host": (b"GET /catalogue/k1 HTTP/1.1\r\n\r\n", 400, "missing-host"),
    "two hosts": (_head("Host: other"), 400, "repeated-header"),
    "HTTP/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505, "request-line"),
    "garbage": (b"\x16\x03\x01\r\n\r\n", 400, "request-line"),
    "two spaces": (_head(start="GET  /catalogue/k1 HTTP/1.1"), 400, "request-line"),
    "TRACE": (_head(start="TRACE /catalogue/k1 HTTP/1.1"), 405, "method"),
    "dot segments": (_head(start="GET /catalogue/../pledge/1 HTTP/1.1"), 400, "bad-target"),
    "escaped dots": (_head(start="GET /catalogue/%2e%2E/x HTTP/1.1"), 400, "bad-target"),
    "escaped slash": (_head(start="GET /catalogue/a%2f..%2fb HTTP/1.1"), 400, "bad-target"),
    "bad escape": (_head(start="GET /catalogue/%zz HTTP/1.1"), 400, "bad-target"),
    "asterisk": (_head(start="OPTIONS * HTTP/1.1"), 400, "bad-target"),
    "unknown service": (_head(start="GET /nothing/1 HTTP/1.1"), 404, "unknown-service"),
    "root": (_head(start="GET / HTTP/1.1"), 404, "unknown-service"),
    "missing key": (_head(start="GET /catalogue HTTP/1.1"), 400, "missing-key"),
    "empty key": (_head(start="GET /catalogue//x HTTP/1.1"), 400, "missing-key"),
    "empty key header": (_head("auburnsail-key:"), 400, "missing-key"),
    "long key": (_head("auburnsail-key: " + "k" * 1025), 400, "key-too-long"),
    "key not UTF-8": (_head(start="GET /catalogue/%ff HTTP/1.1"), 400, "bad-key"),
    "two keys": (_head("auburnsail-key: a", "auburnsail-key: b"), 400, "repeated-header"),
    "underscore alias": (_head("auburnsail_grant: catalogue;1;1"), 400, "header-name"),
    "underscore length": (_head("content_length: 5"), 400, "header-name"),
    "spoofed grant": (_head("Auburnsail-Grant: catalogue;1;1"), 400, "internal-header"),
    "spoofed outcome": (_head("auburnsail-outcome: not-run"), 400, "internal-header"),
    "spoofed hop": (_head("auburnsail-hop: 1;r;1000;1;9;1;00"), 403, "bad-hop"),
    "hop not ASCII": (_head("auburnsail-hop: \xe4;\xf6"), 403, "bad-hop"),
    "bad deadline": (_head("auburnsail-deadline-ms: -5"), 400, "bad-deadline"),
    "zero deadline": (_head("auburnsail-deadline-ms: 0"), 400, "bad-deadline"),
    "unknown expectation": (_head("expect: money"), 417, "expectation"),
}


class BadInputTest(unittest.TestCase):
    """Bad requests on a real connection."""

    def setUp(self):
        self.upstream = FakeUpstream()
        self.node = PathNode("a", self.upstream, "catalogue")
        connect(self.node, owner=self.node)
        self.addCleanup(self.upstream.stop)
        self.addCleanup(self.node.stop)

    def test_bad_requests_are_refused_and_nothing_runs(self):
        """Guards against forwarding ambiguous or forged requests, and closing without an answer."""
        for name, (data, status, reason) in BAD_REQUESTS.items():
            with self.subTest(name):
                answer = exchange(self.node.address, data.replace(b"host: n", HOST_AND_CLOSE, 1))
                self.assertEqual(reason_of(answer), (status, "refused", reason), answer)
                self.assertEqual(answer.count(b"HTTP/1.1 "), 1, answer)
        self.assertEqual(self.upstream.runs, [])

    def test_unusual_but_valid_request_is_forwarded(self):
        """Guards against checks that refuse unusual but valid requests."""
        lines = ("Accept: */*", "cookie: a=b; c=d", "x-empty:", 'if-match: "\xe4"')
        answer = exchange(self.node.address, request("GET", "/catalogue/k%C3%B6/x?y=%zz", *lines))
        self.assertEqual(reason_of(answer)[0], 200, answer)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        """Guards against forwarding hop-by-hop headers, including those that Connection lists."""
        head = _head(
            "te: trailers",
            "keep-alive: 5",
            "upgrade: h2c",
            "x-secret: 1",
            "x-kept: 1",
            "Connection: close, X-Secret, auburnsail-key",
            "auburnsail-key: k1",
            start="GET /catalogue/other HTTP/1.1",
        )
        self.assertEqual(reason_of(exchange(self.node.address, head))[0], 200)
        seen = self.upstream.runs[0].head.lower()
        for name in ("te:", "keep-alive:", "upgrade:", "x-secret:", "connection:"):
            self.assertNotIn(f"\r\n{name}", seen)
        self.assertIn("\r\nx-kept: 1", seen)
        self.assertIn("\r\nauburnsail-key: k1", seen)


class HopTest(unittest.TestCase):
    """The signed header of requests that one node forwards to another."""

    def setUp(self):
        self.now_s = 1000.0
        self.signer = HopSigner(SECRET, lambda: self.now_s)
        self.hop = Hop("r1", 500, 1, 7)
        self.value = self.signer.sign(self.hop, "POST", "/pledge/1", "k")

    def test_signed_header_is_accepted(self):
        """Guards against refusing a header that a node of the same fleet signed."""
        self.assertEqual(self.signer.verify(self.value, "POST", "/pledge/1", "k"), self.hop)

    def test_changed_header_is_refused(self):
        """Guards against a signature that is reused for another request, deadline or fleet."""
        other = HopSigner("another secret of this length!!", lambda: self.now_s)
        changed = self.value.replace(";500;", ";900;")
        for signer, value, method, target, key in (
            (self.signer, self.value, "GET", "/pledge/1", "k"),
            (self.signer, self.value, "POST", "/pledge/2", "k"),
            (self.signer, self.value, "POST", "/pledge/1", "l"),
            (self.signer, changed, "POST", "/pledge/1", "k"),
            (self.signer, self.value[:-1], "POST", "/pledge/1", "k"),
            (other, self.value, "POST", "/pledge/1", "k"),
        ):
            with self.assertRaises(RequestFailedError):
                signer.verify(value, method, target, key)

    def test_expired_header_is_refused(self):
        """Guards against a recorded header that can be replayed without a time limit."""
        for self.now_s in (1031.0, 969.0):
            with self.assertRaises(RequestFailedError):
                self.signer.verify(self.value, "POST", "/pledge/1", "k")


class _SegmentedSource:
    def __init__(self, data: bytes, sizes: list[int]) -> None:
        self._remaining = data
        self._sizes = sizes
        self.buffered = b""

    def receive(self) -> bool:
        size = self._sizes.pop() if self._sizes else 7
        data, self._remaining = self._remaining[:size], self._remaining[size:]
        self.buffered += data
        return bool(data)

    def send_continue(self) -> None:
        raise AssertionError("the head does not expect 100 Continue")


class ParserTest(unittest.TestCase):
    """Properties of the head and body parsers."""

    @given(st.binary(max_size=200) | st.text("GET /a:\r\n \t_-x1.;%", max_size=80))
    def test_accepted_heads_have_no_line_breaks_inside(self, data):
        """Guards against a head that becomes two heads when it is forwarded."""
        raw = data.encode("latin-1") if isinstance(data, str) else data
        raw = b"GET /catalogue/k HTTP/1.1\r\nhost: n\r\n" + raw
        try:
            head = parse_head(raw)
        except RequestFailedError as error:
            self.assertIn("refused", error.refusal.outcome.value)
            return
        for line in [*head.forwarded_lines, *head.parsed_headers.values(), head.target]:
            self.assertNotRegex(line, r"[\r\n\0]")

    @given(
        st.lists(st.binary(min_size=1, max_size=50), max_size=5),
        st.lists(st.integers(1, 60), max_size=30),
        st.binary(max_size=10),
    )
    def test_chunked_body_does_not_depend_on_segments(self, chunks, sizes, following):
        """Guards against losing bytes if a segment ends inside a size line or a chunk."""
        wire = b"".join(b"%x;e=1\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
        wire += b"0\r\nx-trailer: 1\r\n\r\n"
        source = _SegmentedSource(wire + following, sizes)
        head = RequestHead("POST", "/", "/", chunked=True)
        body = RequestBody(source, head, 1000)
        parts = []
        while part := body.read():
            parts.append(part)
        self.assertEqual(b"".join(parts), b"".join(chunks))
        self.assertTrue(body.is_complete)
        self.assertTrue(following.startswith(source.buffered))
