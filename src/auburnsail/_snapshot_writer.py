"""Takes snapshots of a node's measurements and writes them to the object store."""

import random
import time
from collections import deque
from collections.abc import Callable

from . import _supervision
from ._clock import NS_PER_S, Clock
from ._snapshot import (
    FleetView,
    Measurements,
    Snapshot,
    encode_snapshots,
    hour_prefix,
    snapshot_key,
)
from ._store import ObjectStore
from .exceptions import AuburnsailError

__all__ = ["SnapshotWriter"]

# Snapshots kept in memory during a store outage: half an hour at the default interval of 60 s.
MAX_PENDING_SNAPSHOTS = 30
# Share of the interval after a snapshot over which the writes of all nodes are spread.
WRITE_SPREAD_SHARE = 0.8


class SnapshotWriter:
    """Writes one object per interval; the request path only adds to `Measurements`.

    All nodes take snapshots at the same multiples of the interval, so that their snapshots are
    aligned, and each writes after a random delay. Snapshots of a failed write are added to the
    object of the next interval, so that the end of an outage causes no additional writes.

    Args:
        measurements: Measurements of the node.
        objects: The object store.
        view: Returns the current state of the fleet in the node's copy of the log.
        interval_s: Returns the interval in force in seconds.
        clock: Source of elapsed time.
        wall_clock_s: Returns the current Unix timestamp.
        rng: Random generator for the delays of writes.

    Attributes:
        dropped: Number of snapshots discarded because too many were pending.
        failures: Number of failed writes.
    """

    def __init__(
        self,
        measurements: Measurements,
        objects: ObjectStore,
        view: Callable[[], FleetView],
        interval_s: Callable[[], int],
        clock: Clock,
        *,
        wall_clock_s: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self._measurements = measurements
        self._objects = objects
        self._view = view
        self._interval_s = interval_s
        self._clock = clock
        self._wall_clock_s = wall_clock_s
        self._rng = rng or random.Random()
        self._pending: deque[Snapshot] = deque()
        self._start_s = wall_clock_s()
        self._start_ns = self._sampled_ns = clock.now_ns()
        self._write_at_ns = 0
        self._is_writing = False
        self.dropped = 0
        self.failures = 0

    @property
    def pending(self) -> int:
        """Number of snapshots that are not yet written to the store."""
        return len(self._pending)

    def tick(self, now_ns: int) -> None:
        """Samples the fleet, takes a snapshot when an interval has ended and starts a due write."""
        self._sample(now_ns)
        interval_s = self._interval_s()
        now_s = self._wall_clock_s()
        if int(now_s // interval_s) != int(self._start_s // interval_s):
            self._take_snapshot(now_s, now_s - now_s % interval_s, is_last=False)
            delay_s = self._rng.uniform(0.0, WRITE_SPREAD_SHARE) * interval_s
            self._write_at_ns = now_ns + int(delay_s * NS_PER_S)
        if self._pending and now_ns >= self._write_at_ns and not self._is_writing:
            # A failed write is retried with the write of the next interval.
            self._write_at_ns = now_ns + interval_s * NS_PER_S
            _supervision.spawn("snapshots", self.write)

    def finish(self) -> None:
        """Takes the last snapshot and writes all pending ones.

        There is a single attempt, so that the process can stop while the store is down.
        """
        self._sample(self._clock.now_ns())
        now_s = self._wall_clock_s()
        self._take_snapshot(now_s, now_s, is_last=True)
        self.write()

    def write(self) -> None:
        """Writes the pending snapshots, one object per hour; keeps the rest after a failure."""
        if self._is_writing:
            return
        self._is_writing = True
        try:
            while self._pending:
                batch = self._oldest_batch()
                self._objects.put(snapshot_key(batch), encode_snapshots(batch))
                # A snapshot taken during the write may have displaced the oldest ones already.
                last_number = batch[-1].number
                while self._pending and self._pending[0].number <= last_number:
                    self._pending.popleft()
        except AuburnsailError:
            self.failures += 1
        finally:
            self._is_writing = False

    def _oldest_batch(self) -> list[Snapshot]:
        hour = hour_prefix(self._pending[0].start_s)
        batch = []
        for snapshot in self._pending:
            if hour_prefix(snapshot.start_s) != hour:
                break
            batch.append(snapshot)
        return batch

    def _sample(self, now_ns: int) -> None:
        self._measurements.sample(self._view(), (now_ns - self._sampled_ns) / NS_PER_S)
        self._sampled_ns = now_ns

    def _take_snapshot(self, now_s: float, end_s: float, *, is_last: bool) -> None:
        now_ns = self._clock.now_ns()
        clock_step_s = now_s - self._start_s - (now_ns - self._start_ns) / NS_PER_S
        # If the wall clock was set back, the start is the best estimate of the end.
        end_s = max(self._start_s, end_s)
        if len(self._pending) >= MAX_PENDING_SNAPSHOTS:
            self._pending.popleft()
            self.dropped += 1
        self._pending.append(
            self._measurements.take_snapshot(
                self._start_s,
                end_s,
                clock_step_s=clock_step_s,
                dropped=self.dropped,
                is_last=is_last,
            )
        )
        self._start_s = end_s if end_s <= now_s else now_s
        self._start_ns = now_ns - int((now_s - self._start_s) * NS_PER_S)
