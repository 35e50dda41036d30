"""Pacing of a narrow link: `LinkPacer` in virtual time and `LinkSender` with real greenlets."""

import unittest

import gevent
from gevent.event import Event
from hypothesis import given
from hypothesis import strategies as st

from auburnsail._clock import NS_PER_MS, BootClock
from auburnsail._link_pacer import BLOCK_NS, REFILL_THRESHOLD_NS, LinkPacer, LinkRank, LinkTransfer
from auburnsail._link_sender import LinkSender

LINK_BYTES_PER_S = 7.5 * 125_000
DOWNLOAD_BYTES, CALL_BYTES = 90_000, 400
# A call has an objective of 173 ms; 26 ms are service time and 40 ms network delay between regions.
CALL_BOUND_MS = 100


class LinkPacerTest(unittest.TestCase):
    """Downloads beyond the capacity of the link, with calls between them, in virtual time."""

    def setUp(self):
        self.pacer = LinkPacer(LINK_BYTES_PER_S)
        self.now_ns = 10**9

    def _run(self, duration_ms: int, small_per_ms: float, large: list) -> list[int]:
        """Sends large transfers and small messages; returns the delays of the small ones in ms."""
        remaining = {transfer.number: DOWNLOAD_BYTES for transfer in large}
        for transfer in large:
            self.pacer.wait(transfer, self.pacer.block_bytes, self.now_ns)
        waits, small_due = [], 0.0
        for _ in range(duration_ms):
            self.now_ns += NS_PER_MS
            while (transfer := self.pacer.pop_ready(self.now_ns)) is not None:
                remaining[transfer.number] -= transfer.size
                self.finished = [n for n, size in remaining.items() if size <= 0]
                if remaining[transfer.number] > 0:
                    size = min(self.pacer.block_bytes, remaining[transfer.number])
                    self.pacer.wait(transfer, size, self.now_ns)
            small_due += small_per_ms
            while small_due >= 1:
                small_due -= 1
                waits.append(self.pacer.queue_ns(self.now_ns) // NS_PER_MS)
                self.pacer.record_small(CALL_BYTES, self.now_ns)
        return waits

    def test_calls_are_delayed_by_one_block_at_most(self):
        """Guards against downloads that delay calls, renewals and settings in the link's queue."""
        downloads = [self.pacer.begin(LinkRank.REQUEST) for _ in range(20)]
        waits = self._run(1_000, 0.1, downloads)
        self.assertLess(max(waits), CALL_BOUND_MS / 2)
        self.assertGreater(self.pacer.sent_bytes, 0.94 * LINK_BYTES_PER_S)

    def test_downloads_are_completed_one_after_another(self):
        """Guards against sharing the link evenly among downloads, so that all of them are late."""
        downloads = [self.pacer.begin(LinkRank.REQUEST) for _ in range(5)]
        self._run(350, 0, downloads)
        self.assertEqual(self.finished, [transfer.number for transfer in downloads[:3]])

    def test_control_messages_go_before_downloads(self):
        """Guards against a fleet log or checkpoint that waits for downloads after all restart."""
        downloads = [self.pacer.begin(LinkRank.REQUEST) for _ in range(5)]
        control = self.pacer.begin(LinkRank.CONTROL)
        self._run(150, 0, [*downloads, control])
        self.assertEqual(self.finished, [control.number])

    def test_small_messages_do_not_starve_downloads(self):
        """Guards against downloads that make no progress while small messages fill the link."""
        download = self.pacer.begin(LinkRank.REQUEST)
        self._run(2_000, 1.2 * LINK_BYTES_PER_S / CALL_BYTES / 1_000, [download])
        self.assertEqual(self.finished, [download.number])
        share = self.pacer.large_bytes_per_s(self.now_ns) / LINK_BYTES_PER_S
        self.assertAlmostEqual(share, 0.1, delta=0.02)

    def test_a_wide_or_unknown_link_causes_no_delay(self):
        """Guards against delays where the link is not the bottleneck."""
        self.assertFalse(LinkPacer(100 * 125_000).is_large(DOWNLOAD_BYTES))
        self.assertFalse(LinkPacer().is_large(1 << 40))
        self.assertTrue(self.pacer.is_large(DOWNLOAD_BYTES))


class LinkPacerPropertiesTest(unittest.TestCase):
    """Properties that hold for any sequence of messages."""

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 40),  # milliseconds since the previous message
                st.booleans(),  # whether it is large
                st.sampled_from(LinkRank),
            ),
            max_size=60,
        )
    )
    def test_large_messages_keep_their_order_and_the_queue_stays_short(self, arrivals):
        """Guards against reordering large messages, and against a queue that delays small ones."""
        pacer, now_ns, released = LinkPacer(LINK_BYTES_PER_S), 0, []

        def run_until(end_ns: int) -> None:
            nonlocal now_ns
            while pacer.waiting and (next_ns := max(now_ns, pacer.next_block_ns())) <= end_ns:
                now_ns = next_ns
                first = min(waiting)
                transfer = pacer.pop_ready(now_ns)
                self.assertIs(transfer, first)
                self.assertLessEqual(pacer.queue_ns(now_ns), REFILL_THRESHOLD_NS + BLOCK_NS + 1)
                waiting.remove(transfer)
                released.append(transfer)
            now_ns = max(now_ns, end_ns)

        waiting: list[LinkTransfer] = []
        small_bytes = 0
        for after_ms, is_large, rank in arrivals:
            run_until(now_ns + after_ms * NS_PER_MS)
            if is_large:
                transfer = pacer.begin(rank)
                pacer.wait(transfer, pacer.block_bytes, now_ns)
                waiting.append(transfer)
            elif pacer.queue_ns(now_ns) < REFILL_THRESHOLD_NS:
                pacer.record_small(CALL_BYTES, now_ns)
                small_bytes += CALL_BYTES
        run_until(now_ns + 10**12)
        self.assertEqual(waiting, [])
        self.assertEqual(pacer.sent_bytes, small_bytes + len(released) * pacer.block_bytes)


class LinkSenderTest(unittest.TestCase):
    """Concurrent greenlets that send messages."""

    def setUp(self):
        self.sender = LinkSender(LinkPacer(LINK_BYTES_PER_S), BootClock())
        self.written: list[str] = []

    def _send(self, name: str, size: int, write=lambda block: None) -> gevent.Greenlet:
        def run() -> None:
            self.sender.begin(size).send(write, b"x" * size)
            self.written.append(name)

        return gevent.spawn(run)

    def test_a_receiver_that_does_not_read_does_not_block_others(self):
        """Guards against one caller with a full TCP window that blocks all other downloads."""
        resume_reading = Event()
        blocked = self._send("stuck", DOWNLOAD_BYTES, lambda block: resume_reading.wait())
        others = [self._send(str(n), DOWNLOAD_BYTES) for n in range(2)]
        small = self._send("small", CALL_BYTES)
        gevent.joinall([*others, small], timeout=1)
        self.assertEqual(self.written, ["small", "0", "1"])
        resume_reading.set()
        gevent.joinall([blocked], timeout=1)
        self.assertEqual(self.written[-1], "stuck")

    def test_a_cancelled_message_releases_its_place_in_the_queue(self):
        """Guards against link time and memory spent on answers whose callers have disconnected."""
        message = self.sender.begin(DOWNLOAD_BYTES)
        blocks = []
        ahead = [self._send(str(n), DOWNLOAD_BYTES) for n in range(3)]

        def write(block: memoryview) -> None:
            blocks.append(block)
            raise OSError("closed")

        gevent.sleep(0.01)
        cancelled = gevent.spawn(message.send, write, b"x" * DOWNLOAD_BYTES)
        gevent.sleep(0.02)
        message.cancel()
        with gevent.Timeout(0.05), self.assertRaises(OSError):
            cancelled.get()
        self.assertEqual(len(blocks), 1)
        gevent.joinall(ahead)


if __name__ == "__main__":
    unittest.main()
