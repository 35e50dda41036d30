"""Large requests that wait for a full link on their way to another node."""

import unittest

import gevent

from auburnsail._clock import BootClock
from auburnsail._link_pacer import LinkPacer
from auburnsail._link_sender import LinkSender
from tests.path_fakes import FakeUpstream, PathNode, connect, exchange, reason_of, request, wait_for

LINK_BYTES_PER_S = 100_000
UPLOAD = b"u" * 60_000
# All uploads together take 1.8 s on the link.
UPLOADS = 3
DEADLINE_MS = 4_000
# The platform counts a time limit that ends later than this after the caller's.
TOLERANCE_MS = 500


class LinkUploadTest(unittest.TestCase):
    """A node whose narrow link carries uploads to the owner of the keys."""

    def setUp(self):
        """Starts the first node with a narrow link, the owner and its upstream."""
        self.arrivals_ms: list[tuple[float, int]] = []
        self.upstream = FakeUpstream(self.run_request)
        sender = LinkSender(LinkPacer(LINK_BYTES_PER_S), BootClock())
        self.first = PathNode("first", None, "", link=sender)
        # All addresses of the test are on one VM, to which the path does not cross the link.
        self.first.application._peers._own_host = ""
        self.owner = PathNode("owner", self.upstream, "catalogue")
        for part in (self.upstream, self.first, self.owner):
            self.addCleanup(part.stop)
        connect(self.first, self.owner, owner=self.owner)

    def run_request(self, sock, run) -> bytes:
        """Records the time that an upload has left when it arrives at the upstream."""
        left_ms = int(run.head.split("auburnsail-deadline-ms: ")[1].split("\r\n")[0])
        self.arrivals_ms.append((BootClock().now_ns() / 1e6, left_ms))
        return b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"

    def send(self, deadline_ms: int) -> tuple[int, str, str]:
        """Sends an upload to the first node and returns status, outcome and reason."""
        line = f"auburnsail-deadline-ms: {deadline_ms}"
        data = request("POST", "/catalogue/k1", line, body=UPLOAD)
        return reason_of(exchange(self.first.address, data))

    def test_the_time_that_waits_for_the_link_is_not_handed_on(self):
        """Guards against upstreams that get more time for a request than its caller has left.

        The head with the time limit waited for the link along with the body, for up to 3 s.
        """
        started_ms = BootClock().now_ns() / 1e6
        callers = [gevent.spawn(self.send, DEADLINE_MS) for _ in range(UPLOADS)]
        gevent.joinall(callers, raise_error=True)
        self.assertEqual([caller.value[0] for caller in callers], [200] * UPLOADS)
        for arrived_ms, left_ms in self.arrivals_ms:
            self.assertLess(arrived_ms + left_ms, started_ms + DEADLINE_MS + TOLERANCE_MS)

    def test_an_upload_that_never_left_this_vm_is_not_run(self):
        """Guards against "unknown" for a booking or upload that its caller could send again."""
        # The link model allows no further block until seconds after the time limit.
        self.first.application._peers.get(self.owner.address).link.record_sent(10 * len(UPLOAD))
        answer = self.send(300)
        self.assertEqual(answer[:2], (503, "not-run"), answer)
        self.assertTrue(wait_for(lambda: not self.owner.application.in_flight))
        self.assertEqual(self.upstream.runs, [])


if __name__ == "__main__":
    unittest.main()
