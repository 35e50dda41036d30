"""Load and health as an upstream stand-in reports them: late or wrong where the faults say so."""

from collections import deque

import gevent

SAMPLE_MS = 100
HISTORY_MS = 60_000


class LaggingReports:
    """Remembers load samples and returns old ones on demand.

    Args:
        slots: Places for concurrent work.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._samples: deque[tuple[int, bool]] = deque(maxlen=HISTORY_MS // SAMPLE_MS)
        self._samples.append((0, True))

    def sample(self, running: int, is_healthy: bool) -> None:
        """Remembers the state of this moment."""
        self._samples.append((running, is_healthy))

    def sample_forever(self, read) -> None:
        """Samples periodically.

        Args:
            read: Returns the number of running requests and whether the upstream is healthy.
        """
        while True:
            self.sample(*read())
            gevent.sleep(SAMPLE_MS / 1000)

    def load(self, lag_ms: float, factor: float) -> float:
        """Returns the share of slots in use.

        Args:
            lag_ms: Age of the sample to report.
            factor: Multiplies the share, so that a factor below 1 hides load.
        """
        running, _ = self._at(lag_ms)
        return running / self._slots * factor

    def is_healthy(self, lag_ms: float, pretended: str) -> bool:
        """Returns the health to report.

        Args:
            lag_ms: Age of the sample to report.
            pretended: ``up`` or ``down`` replaces the truth; empty tells it.
        """
        if pretended:
            return pretended == "up"
        return self._at(lag_ms)[1]

    def _at(self, lag_ms: float) -> tuple[int, bool]:
        steps = min(int(lag_ms / SAMPLE_MS) + 1, len(self._samples))
        return self._samples[-steps]
