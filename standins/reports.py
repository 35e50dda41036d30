"""Load and health that an upstream stand-in reports, delayed or falsified by injected faults."""

from collections import deque

import gevent

SAMPLE_INTERVAL_MS = 100
HISTORY_MS = 60_000


class DelayedReports:
    """Keeps samples of load and health, and reports those of a given age.

    Args:
        slots: Maximum number of concurrent requests.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._samples: deque[tuple[int, bool]] = deque(maxlen=HISTORY_MS // SAMPLE_INTERVAL_MS)
        self._samples.append((0, True))

    def sample(self, running: int, is_healthy: bool) -> None:
        """Adds a sample of the current state."""
        self._samples.append((running, is_healthy))

    def sample_forever(self, read_sample) -> None:
        """Adds samples periodically.

        Args:
            read_sample: Returns the number of running requests and whether the upstream is healthy.
        """
        while True:
            self.sample(*read_sample())
            gevent.sleep(SAMPLE_INTERVAL_MS / 1000)

    def load(self, lag_ms: float, factor: float) -> float:
        """Returns the share of slots in use.

        Args:
            lag_ms: Age of the sample to report.
            factor: Multiplier of the share; below 1 the upstream under-reports its load.
        """
        running, _ = self._sample_at(lag_ms)
        return running / self._slots * factor

    def is_healthy(self, lag_ms: float, override: str) -> bool:
        """Returns the health to report.

        Args:
            lag_ms: Age of the sample to report.
            override: ``up`` or ``down`` to report instead; empty for the sampled health.
        """
        if override:
            return override == "up"
        return self._sample_at(lag_ms)[1]

    def _sample_at(self, lag_ms: float) -> tuple[int, bool]:
        steps = min(int(lag_ms / SAMPLE_INTERVAL_MS) + 1, len(self._samples))
        return self._samples[-steps]
