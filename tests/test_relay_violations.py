"""Invariant violations that are found after the first byte of an answer was relayed."""

import unittest
from unittest import mock

from auburnsail._admission import CountingAdmission, Result
from auburnsail.exceptions import InvariantViolation
from tests.path_fakes import FakeUpstream, PathNode, connect, exchange, request

BODY = b"x" * 1_000
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (len(BODY), BODY)


class ViolationInAnswerTest(unittest.TestCase):
    """The admission reports a violation when a request gives its slot back.

    An answer in chunks is relayed before that. `release` is the only call in the path of a request
    that checks an invariant once the answer has begun.
    """

    def setUp(self):
        """Starts the upstream and the node, whose admission fails at each release."""
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        admission = CountingAdmission()
        self.results: list[Result] = []

        def release(ticket, result, answer_bytes=0):
            self.results.append(result)
            raise InvariantViolation("the fault under test", step="test")

        patch = mock.patch("auburnsail._admission._CountedTicket.release", release)
        patch.start()
        self.addCleanup(patch.stop)
        self.nodes = [
            PathNode(name, self.upstream, "catalogue", admission=admission) for name in "ab"
        ]
        for node in self.nodes:
            self.addCleanup(node.stop)
            connect(node, owner=node)

    def test_a_cut_answer_does_not_look_whole(self):
        """Guards against a violation that takes the place of the reset of a cut answer."""
        self.upstream.script = lambda sock, run: sock.sendall(HEAD + CHUNK)
        for node, version in zip(self.nodes, (b"HTTP/1.1", b"HTTP/1.0"), strict=True):
            with self.subTest(version), self.assertRaises(ConnectionResetError):
                exchange(node.address, request().replace(b"HTTP/1.1", version))
            self.assertIsNotNone(node.application.violation)
        self.assertEqual(self.results, [Result.UNKNOWN] * 2)

    def test_a_whole_answer_arrives(self):
        """Guards against a reset that destroys an answer which was relayed completely."""
        self.upstream.script = lambda sock, run: HEAD + CHUNK + b"0\r\n\r\n"
        for node, version, end in zip(
            self.nodes, (b"HTTP/1.1", b"HTTP/1.0"), (CHUNK + b"0\r\n\r\n", BODY), strict=True
        ):
            with self.subTest(version):
                answer = exchange(node.address, request().replace(b"HTTP/1.1", version))
                self.assertTrue(answer.endswith(b"\r\n\r\n" + end))
            self.assertIsNotNone(node.application.violation)
        self.assertEqual(self.results, [Result.ANSWERED] * 2)


if __name__ == "__main__":
    unittest.main()
