"""Limits of the log output, and the text format of the metrics."""

import os
import unittest

from auburnsail._log_lines import BURST_LINES, LineWriter
from auburnsail._metrics import Metrics


class LineWriterTest(unittest.TestCase):
    """The rate limit and non-blocking writes of `LineWriter`."""

    def setUp(self):
        """Opens a pipe and creates a writer with a manual clock."""
        self.read_fd, self.write_fd = os.pipe()
        os.set_blocking(self.read_fd, False)
        self.addCleanup(os.close, self.write_fd)
        self.addCleanup(os.close, self.read_fd)
        self.now_s = 0.0
        self.writer = LineWriter(self.write_fd, lambda: self.now_s)

    def read(self) -> bytes:
        """Returns the bytes written since the last call, empty if there are none."""
        try:
            return os.read(self.read_fd, 1 << 20)
        except BlockingIOError:
            return b""

    def test_a_stopped_reader_drops_lines_without_blocking(self):
        """Guards against a node that blocks because the reader of its log has stopped."""
        line = b"x" * 1000
        for _ in range(1000):
            self.now_s += 1
            self.writer.write(line)
        self.assertGreater(self.writer.dropped, 500)
        while self.read():
            pass
        self.now_s += 1
        self.writer.write(b"after", is_important=True)
        text = self.read()
        self.assertIn(b"after\n", text)
        self.assertIn(b'"log lines dropped"', text)

    def test_the_line_rate_is_bounded_and_important_lines_are_kept(self):
        """Guards against logging that uses the CPU time of requests during an outage."""
        written = sum(self.writer.write(b"a") for _ in range(2 * BURST_LINES))
        self.assertLess(written, BURST_LINES)
        self.assertTrue(self.writer.write(b"failure", is_important=True))
        self.assertIn(b"failure", self.read())


class MetricsTest(unittest.TestCase):
    """The text format of the metrics address."""

    def test_counts_and_latencies_by_service(self):
        """Guards against failures and latencies that no metric of the service shows."""
        metrics = Metrics(lambda: {"lease_left_ms": 12.5})
        metrics.on_answer("pledge", -1, "", 200, 30_000_000, "")
        metrics.on_answer("pledge", -1, "", 503, 600_000_000, "")
        metrics.on_answer("pledge", -1, "not-run", 0, 0, "deadline")
        text = metrics.render()
        self.assertIn('requests_total{service="pledge",outcome="answered",reason=""} 1', text)
        self.assertIn('outcome="not-run",reason="deadline"} 1', text)
        self.assertIn('request_seconds_bucket{service="pledge",le="0.05"} 1', text)
        self.assertIn('request_seconds_bucket{service="pledge",le="+Inf"} 2', text)
        self.assertIn("auburnsail_lease_left_ms 12.5", text)


if __name__ == "__main__":
    unittest.main()
