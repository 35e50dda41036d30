"""Latency of small messages while downloads fill a node's link, over a simulated link."""

import time
import unittest

import gevent
import msgspec

from auburnsail._clock import BootClock
from auburnsail._control import ControlApplication
from auburnsail._control_server import ControlServer
from auburnsail._effects import FetchLog, LogName
from auburnsail._fleet import FleetState
from auburnsail._io import Callbacks, FetchResult, NodeIo
from auburnsail._link_pacer import LinkPacer
from auburnsail._link_sender import LinkSender
from auburnsail._link_usage import LinkUsage
from auburnsail._messages import Codec
from auburnsail._model import Join
from auburnsail._pool import HttpPeer
from standins.link import StreamRelay
from standins.link_model import Conditions, Link, Relay
from tests.path_fakes import SECRET, FakeUpstream, PathNode, connect, exchange, reason_of, request

LINK_BYTES_PER_S = 7.5 * 125_000
DOWNLOAD_BODY, CALL_BODY = b"d" * 90_000, b"c" * 400
DOWNLOAD_COUNT = 8
# A call has an objective of 173 ms; 26 ms are service time and 40 ms network delay between regions.
CALL_BOUND_S = 0.1
# A settings change must be in force on all nodes within 3 s, after at most six hops.
FETCH_BOUND_S = 0.5
# Transmission time of all downloads plus a quarter: on a busy machine each of their 56 blocks may
# be a few milliseconds late. test_link_pacing bounds the idle time of the link without a clock.
DOWNLOADS_BOUND_S = 1.25 * DOWNLOAD_COUNT * len(DOWNLOAD_BODY) / LINK_BYTES_PER_S
# Without other traffic six hops take a fifth of the 3 s; the rest is for nodes that are cut off or
# restart.
IDLE_LINK_FETCH_BOUND_S = 0.1
DOWNLOAD_DURATION_S = len(DOWNLOAD_BODY) / LINK_BYTES_PER_S
DEADLINE_MS = 1_000
ROUTE_COUNT = 1_000


class FullLinkTest(unittest.TestCase):
    """A node with a link of 7.5 Mbit/s and eight concurrent downloads of 90 kB."""

    def setUp(self):
        """Places a relay with the bandwidth of the link between the node and its clients."""
        self.link = Link()
        self.link.back.conditions = Conditions(bytes_per_s=LINK_BYTES_PER_S)
        self.sender = LinkSender(LinkPacer(LINK_BYTES_PER_S), BootClock())
        upstream = FakeUpstream(lambda sock, run: _answer(run.head))
        link_usage = LinkUsage(self.sender.pacer)
        self.node = PathNode("a", upstream, "pledge", link=self.sender, link_usage=link_usage)
        self.node.apply_commands(Join("a", self.node.session))
        for server in (upstream, self.node):
            self.addCleanup(server.stop)
        self.address = self._relay(self.node.address)
        self.durations_s: dict[str, list[float]] = {"call": [], "download": []}

    def _relay(self, target: str) -> str:
        relay = StreamRelay(Relay("127.0.0.1:0", target, "out"), self.link)
        relay.start()
        self.addCleanup(relay.stop, timeout=0)
        return f"127.0.0.1:{relay.server_port}"

    def _send_request(self, kind: str) -> None:
        started_s = time.monotonic()
        answer = exchange(self.address, request(target=f"/pledge/{kind}"))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:200])
        self.assertTrue(answer.endswith(DOWNLOAD_BODY if kind == "download" else CALL_BODY))
        self.durations_s[kind].append(time.monotonic() - started_s)

    def test_calls_are_not_late_behind_downloads_on_a_full_link(self):
        """Guards against requests that fail because their calls are queued behind downloads."""
        downloads = [gevent.spawn(self._send_request, "download") for _ in range(DOWNLOAD_COUNT)]
        gevent.sleep(0.05)
        for _ in range(6):
            self._send_request("call")
            gevent.sleep(0.05)
        gevent.joinall(downloads, raise_error=True)
        self.assertLess(max(self.durations_s["call"]), CALL_BOUND_S)
        self.assertLess(max(self.durations_s["download"]), DOWNLOADS_BOUND_S)

    def test_a_request_whose_answer_cannot_cross_the_link_in_time_is_not_forwarded(self):
        """Guards against forwarded requests whose answers arrive too late over this VM's link.

        The link is full, so another VM would run downloads in vain while their callers wait.
        test_link_load checks when answers end in virtual time; here a busy machine would delay them.
        """
        remote_upstream = FakeUpstream(lambda sock, run: _answer(run.head))
        owner = PathNode("b", remote_upstream, "catalogue")
        for server in (remote_upstream, owner):
            self.addCleanup(server.stop)
        connect(self.node, owner, owner=owner)
        line = f"auburnsail-deadline-ms: {DEADLINE_MS}"
        data = request("GET", "/catalogue/download", line)
        exchange(self.address, data)
        answers = []

        def send_request() -> None:
            answer = exchange(self.address, data)
            answers.append((reason_of(answer), len(answer)))

        gevent.joinall([gevent.spawn(send_request) for _ in range(20)], raise_error=True)
        served = [item for item in answers if item[0][0] == 200 and item[1] > len(DOWNLOAD_BODY)]
        refused = [item for item in answers if item[0] == (503, "not-run", "link-full")]
        self.assertEqual(len(served) + len(refused), 20)
        self.assertEqual(len(remote_upstream.runs), 1 + len(served))
        capacity = DEADLINE_MS / 1000 / DOWNLOAD_DURATION_S
        self.assertGreater(len(served), 0.75 * capacity)
        self.assertLess(len(served), capacity)

    def test_a_large_settings_record_is_fetched_in_time_over_a_full_link(self):
        """Guards against a settings change that nodes with narrow links apply seconds late."""
        record = msgspec.json.encode([_route(number) for number in range(ROUTE_COUNT)])
        codec = Codec(SECRET, 1)
        application = ControlApplication(_RecordSource(7, record), codec, self.sender)
        server = ControlServer(("127.0.0.1", 0), application)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        downloads = [gevent.spawn(self._send_request, "download") for _ in range(DOWNLOAD_COUNT)]
        gevent.sleep(0.05)
        fetched, records = self._fetch(self._relay(f"127.0.0.1:{server.server_port}"))
        gevent.joinall(downloads, raise_error=True)
        self.assertEqual(fetched.error, "")
        self.assertEqual(records, [(7, record)])
        self.assertLess(fetched.took_ms / 1000, FETCH_BOUND_S)

    def test_a_large_settings_record_crosses_a_narrow_link_well_within_its_bound(self):
        """Guards against a settings change that is late because hops send it uncompressed."""
        record = msgspec.json.encode([_route(number) for number in range(ROUTE_COUNT)])
        application = ControlApplication(_RecordSource(7, record), Codec(SECRET, 1), self.sender)
        server = ControlServer(("127.0.0.1", 0), application)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        fetched, records = self._fetch(self._relay(f"127.0.0.1:{server.server_port}"))
        self.assertEqual(records, [(7, record)])
        self.assertLess(fetched.took_ms / 1000, IDLE_LINK_FETCH_BOUND_S)

    def test_large_request_bodies_are_sent_completely_in_blocks(self):
        """Guards against forwarded request bodies that fill the link, and against lost blocks."""
        remote_upstream = FakeUpstream()
        self.addCleanup(remote_upstream.stop)
        peer = HttpPeer(remote_upstream.address, link=self.sender)
        self.addCleanup(peer.drop_idle)
        body = bytes(range(256)) * 800
        queue_samples_ms = []

        def sample_queue() -> None:
            while True:
                queue_samples_ms.append(self.sender.stats()["link_queue_ms"])
                gevent.sleep(0.002)

        sampler = gevent.spawn(sample_queue)
        started_s = time.monotonic()
        upload = peer.open()
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % len(body)
        upload.send(head + body)
        duration_s = time.monotonic() - started_s
        self.assertEqual(upload.receive_head("POST").status, 200)
        sampler.kill()
        self.assertEqual(remote_upstream.runs[0].body, body)
        self.assertLess(max(queue_samples_ms) / 1000, CALL_BOUND_S / 2)
        self.assertGreater(duration_s, 0.8 * len(body) / LINK_BYTES_PER_S)

    def _fetch(self, address: str) -> tuple[FetchResult, list | None]:
        """Fetches newer settings like a node does; returns the result and the records."""
        reports: list[FetchResult] = []
        results: list = []
        callbacks = Callbacks(
            lambda ticket, reply: None,
            lambda log, records, source: results.append(records),
            reports.append,
            lambda: None,
            lambda error: None,
        )
        own_link = LinkSender(LinkPacer(), BootClock())
        codec, fleet, clock = Codec(SECRET, 2), FleetState(), BootClock()
        io = NodeIo(None, None, fleet, codec, None, callbacks, str, None, clock, own_link)
        io.run(FetchLog(LogName.SETTINGS, 3, address))
        with gevent.Timeout(5):
            while not results:
                gevent.sleep(0.005)
        return reports[0], results[0]


class _RecordSource:
    """Source of one settings record, in place of a node."""

    def __init__(self, version: int, record: bytes) -> None:
        self._records = [(version, record)]

    def log_after(self, log: str, version: int) -> list[tuple[int, bytes]]:
        """Implements `ControlledNode.log_after`."""
        return [item for item in self._records if item[0] > version]


def _answer(head: str) -> bytes:
    body = DOWNLOAD_BODY if "/download" in head.partition("\r\n")[0] else CALL_BODY
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


def _route(number: int) -> dict:
    name = f"route-{number:04d}"
    spec = {"host": f"{name}.example", "path-prefix": f"/{name}/", "service": "pledge"}
    spec |= {"kind": "safe", "timeout-ms": 2_000 + number, "target-latency-ms": 500, "priority": 2}
    return {"resource-type": "routes", "metadata": {"name": name}, "spec": spec}


if __name__ == "__main__":
    unittest.main()
