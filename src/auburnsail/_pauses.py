"""Detection of times in which the process was suspended. No I/O; time is passed in."""

from ._clock import NS_PER_MS

__all__ = ["PauseDetector"]

PAUSE_THRESHOLD_MS = 300


class PauseDetector:
    """Compares the times of successive ticks."""

    def __init__(self) -> None:
        self._last_tick_ns: int | None = None

    def tick(self, now_ns: int) -> int:
        """Returns for how many ms there was no tick, 0 if this is no longer than usual."""
        last_ns, self._last_tick_ns = self._last_tick_ns, now_ns
        if last_ns is None or now_ns - last_ns <= PAUSE_THRESHOLD_MS * NS_PER_MS:
            return 0
        return (now_ns - last_ns) // NS_PER_MS
