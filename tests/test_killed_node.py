"""A node process that is killed while it relays an answer to another node."""

import sys
import unittest
from types import SimpleNamespace

import gevent
from gevent import socket, subprocess

from auburnsail._model import Session, SessionId
from tests.path_fakes import FakeUpstream, PathNode, Run, connect
from tests.test_cut_answers import ATTEMPT_ID, DIALECT, FRAMINGS, SEAL, CutAnswerCase, encode

# Time for the part of the answer to pass both nodes.
RELAY_S = 0.1
# Runs the node beside the upstream, whose address is the argument; prints the node's address.
NODE_PROGRAM = """
import sys, types, gevent
from auburnsail.platform._header_names import DIALECT
from tests.path_fakes import PathNode, connect
node = PathNode("a", types.SimpleNamespace(address=sys.argv[1]), "catalogue", dialect=DIALECT)
connect(node, owner=node)
print(node.address, flush=True)
gevent.get_hub().join()
"""


class KilledNodeTest(CutAnswerCase):
    """The process of the node beside the upstream gets SIGKILL."""

    def setUp(self):
        """Starts the upstream, the entry node, and the process of the owner."""
        self.upstream = FakeUpstream()
        self.entry = PathNode("b", None, "", dialect=DIALECT)
        for server in (self.upstream, self.entry):
            self.addCleanup(server.stop)
        command = [sys.executable, "-c", NODE_PROGRAM, self.upstream.address]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.addCleanup(self.process.stdout.close)
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        address = self.process.stdout.readline().strip()
        session = Session(SessionId("a", 1), "wien", "wien-1", address, address, "catalogue", 4)
        owner = SimpleNamespace(session=session)
        connect(self.entry, owner=owner, others=(owner, self.entry))

    def cut_by_kill(self, framing: str, *, has_deadline: bool = True) -> None:
        """Asserts that the caller doesn't get a success if the owner is killed in the answer.

        An answer of which nothing was relayed becomes a 502. An answer without a length is relayed
        from its first byte to a caller without a deadline, and then isn't whole.
        """
        line, body = FRAMINGS[framing]

        def script(sock: socket.socket, run: Run) -> None:
            head = encode("200 OK", f"{ATTEMPT_ID}: mine", f"{SEAL}: s", line)
            sock.sendall(head + body[:-6])
            gevent.sleep(RELAY_S)
            self.process.kill()
            self.process.wait()

        self.upstream.script = script
        result = self.send(self.entry, "mine", has_deadline=has_deadline)
        self.assertEqual(len(self.upstream.runs), 1)
        is_relayed = framing != "length" and not has_deadline
        self.assertEqual(result and result[0], None if is_relayed else 502)

    def test_an_answer_with_a_length(self):
        """Guards against a short answer from a node that was killed while it read the body."""
        self.cut_by_kill("length")

    def test_an_answer_in_chunks(self):
        """Guards against chunks that look whole although the last one is missing."""
        self.cut_by_kill("chunks")

    def test_an_answer_without_a_length(self):
        """Guards against the end of the process as the end of the answer, with a short body."""
        self.cut_by_kill("close")

    def test_chunks_that_are_relayed_from_the_first_byte(self):
        """Guards against the same for a caller without a deadline."""
        self.cut_by_kill("chunks", has_deadline=False)

    def test_an_answer_without_a_length_that_is_relayed_from_the_first_byte(self):
        """Guards against the same for a caller without a deadline."""
        self.cut_by_kill("close", has_deadline=False)


if __name__ == "__main__":
    unittest.main()
