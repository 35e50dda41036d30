"""JSON log lines on standard output, rate-limited and written without blocking."""

import os
import sys
import time
from typing import Any

import msgspec
import structlog

__all__ = ["LineWriter", "configure_json_lines"]

# A decision line has about 300 bytes; a higher rate would cost over 5 % of a core.
LINES_PER_S = 200
BURST_LINES = 400
STDOUT_DESCRIPTOR = 1
_LEVELS = frozenset({"warning", "error", "critical"})


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    A token bucket limits the rate. A line over the limit, or one that would block, is dropped.

    Args:
        descriptor: File descriptor to write to; it is set to non-blocking mode.
        now_s: Returns the time in seconds.

    Attributes:
        dropped: Number of dropped lines.
    """

    def __init__(self, descriptor: int = STDOUT_DESCRIPTOR, now_s=time.monotonic) -> None:
        self._descriptor = descriptor
        self._now_s = now_s
        self._tokens = float(BURST_LINES)
        self._refilled_s = now_s()
        self._unwritten = b""
        self.dropped = 0
        self._reported_drops = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes, *, is_important: bool = False) -> bool:
        """Writes a line.

        Args:
            line: The line without a line end.
            is_important: Whether the line may use the quarter of the bucket that is reserved for
                important lines.

        Returns:
            False if the line was dropped.
        """
        self._refill()
        min_tokens = 1.0 if is_important else BURST_LINES / 4
        if self._tokens < min_tokens or not self._flush():
            self.dropped += 1
            return False
        self._tokens -= 1
        if self.dropped != self._reported_drops:
            missing, self._reported_drops = self.dropped - self._reported_drops, self.dropped
            line = b'{"event":"log lines dropped","count":%d}\n%b' % (missing, line)
        self._unwritten = line + b"\n"
        self._flush()
        return True

    def _refill(self) -> None:
        now_s = self._now_s()
        gained = (now_s - self._refilled_s) * LINES_PER_S
        self._tokens = min(float(BURST_LINES), self._tokens + gained)
        self._refilled_s = now_s

    def _flush(self) -> bool:
        """Writes the rest of the last line; returns whether all of it is written."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed the pipe, so the rest of the line is discarded.
                self._unwritten = b""
                return False
            self._unwritten = self._unwritten[written:]
        return True


class _Logger:
    """Logger to which structlog passes each rendered line."""

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer

    def msg(self, line: bytes) -> None:
        """Writes a line of level debug or info."""
        self._writer.write(line)

    def important(self, line: bytes) -> None:
        """Writes a line of level warning or above, which may use the reserved tokens."""
        self._writer.write(line, is_important=True)

    debug = info = msg
    warning = error = critical = exception = important


def _render(logger: object, name: str, event: dict[str, Any]) -> bytes:
    event = {"ts": round(time.time(), 4), "level": name, **event}
    if event.pop("exc_info", None):
        kind, error, _ = sys.exc_info()
        event["error"] = f"{kind.__name__ if kind else ''}: {error}"
    return msgspec.json.encode(event, enc_hook=str)


def configure_json_lines() -> LineWriter:
    """Configures structlog to write JSON lines to standard output; returns the writer."""
    writer = LineWriter()
    structlog.configure(
        processors=[structlog.contextvars.merge_contextvars, _render],
        wrapper_class=structlog.BoundLogger,
        logger_factory=lambda *args: _Logger(writer),
        cache_logger_on_first_use=True,
    )
    return writer
