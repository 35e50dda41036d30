"""Structured lines on standard output: bounded in number, and written without ever blocking."""

import os
import sys
import time
from typing import Any

import msgspec
import structlog

__all__ = ["LineWriter", "configure_json_lines"]

# A decision line has about 300 bytes; more lines than this per second would cost over 5 % of a core.
LINES_PER_S = 200
BURST_LINES = 400
STDOUT = 1
_LEVELS = frozenset({"warning", "error", "critical"})


class LineWriter:
    """Writes lines to a descriptor; a line that does not fit in time or number is counted.

    Args:
        descriptor: Where lines go; it is set to not block.
        now_s: Returns the time in seconds.
    """

    def __init__(self, descriptor: int = STDOUT, now_s=time.monotonic) -> None:
        self._descriptor = descriptor
        self._now_s = now_s
        self._tokens = float(BURST_LINES)
        self._refilled_s = now_s()
        self._unwritten = b""
        self.dropped = 0
        self._reported_drops = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes, *, is_important: bool = False) -> bool:
        """Writes a line; returns whether it was taken.

        Args:
            line: The line without its end.
            is_important: Whether it may use the last part of the bound.
        """
        self._refill()
        floor = 1.0 if is_important else BURST_LINES / 4
        if self._tokens < floor or not self._flush():
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
        """Writes what is left of the last line; returns whether nothing is left."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody reads; the lines are lost like dropped ones.
                self._unwritten = b""
                return False
            self._unwritten = self._unwritten[written:]
        return True


class _Logger:
    """The logger that structlog calls with each rendered line."""

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer

    def msg(self, line: bytes) -> None:
        """Writes a line of ordinary importance."""
        self._writer.write(line)

    def important(self, line: bytes) -> None:
        """Writes a line that is kept when others are dropped."""
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
    """Makes structlog write JSON lines to standard output."""
    writer = LineWriter()
    structlog.configure(
        processors=[structlog.contextvars.merge_contextvars, _render],
        wrapper_class=structlog.BoundLogger,
        logger_factory=lambda *args: _Logger(writer),
        cache_logger_on_first_use=True,
    )
    return writer
