"""Cuts a node's measurements into snapshots and writes them to the object store."""

import random
import time
from collections import deque
from collections.abc import Callable

import gevent

from ._clock import NS_PER_S, Clock
from ._snapshot import (
    Measurements,
    Snapshot,
    View,
    encode_snapshots,
    hour_prefix,
    snapshot_key,
)
from ._store import ObjectStore
from .exceptions import AuburnsailError

__all__ = ["SnapshotWriter"]

# Snapshots of a store outage that are kept in memory: half an hour at the default interval.
MAX_KEPT = 30
# Writes of all nodes are spread over this share of the interval that follows the cut.
SPREAD = 0.8


class SnapshotWriter:
    """Writes one object per interval; the request path only adds to `Measurements`.

    Nodes cut at the same multiples of the interval, so that their snapshots line up, and each
    writes after a random delay. What a failed write leaves goes into the object of the next
    interval, so that the end of an outage brings no more writes than any other interval.

    Args:
        measurements: What the node measures.
        objects: The object store.
        view: Returns the fleet as the node knows it.
        interval_s: Returns the interval in force in seconds.
        clock: Source of elapsed time.
        wall_s: Returns seconds since 1970, UTC.
        rng: Source of randomness.
    """

    def __init__(
        self,
        measurements: Measurements,
        objects: ObjectStore,
        view: Callable[[], View],
        interval_s: Callable[[], int],
        clock: Clock,
        *,
        wall_s: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self._measurements = measurements
        self._objects = objects
        self._view = view
        self._interval_s = interval_s
        self._clock = clock
        self._wall_s = wall_s
        self._rng = rng or random.Random()
        self._kept: deque[Snapshot] = deque()
        self._start_s = wall_s()
        self._start_ns = self._sampled_ns = clock.now_ns()
        self._write_at_ns = 0
        self._is_writing = False
        self.dropped = 0
        self.failures = 0

    @property
    def kept(self) -> int:
        """Number of snapshots that are not in the store yet."""
        return len(self._kept)

    def tick(self, now_ns: int) -> None:
        """Samples the fleet, cuts at the end of an interval and starts a write that is due."""
        self._sample(now_ns)
        interval_s = self._interval_s()
        now_s = self._wall_s()
        if int(now_s // interval_s) != int(self._start_s // interval_s):
            self._cut(now_s, now_s - now_s % interval_s, is_last=False)
            delay_s = self._rng.uniform(0.0, SPREAD) * interval_s
            self._write_at_ns = now_ns + int(delay_s * NS_PER_S)
        if self._kept and now_ns >= self._write_at_ns and not self._is_writing:
            # The next attempt after a failure is the one of the next interval.
            self._write_at_ns = now_ns + interval_s * NS_PER_S
            gevent.spawn(self.write)

    def finish(self) -> None:
        """Cuts and writes what there is; one attempt, so that the process can end."""
        self._sample(self._clock.now_ns())
        now_s = self._wall_s()
        self._cut(now_s, now_s, is_last=True)
        self.write()

    def write(self) -> None:
        """Writes the snapshots that are kept, one object for each hour."""
        if self._is_writing:
            return
        self._is_writing = True
        try:
            while self._kept:
                batch = self._oldest_hour()
                self._objects.put(snapshot_key(batch), encode_snapshots(batch))
                # A cut during the write may have dropped the oldest ones already.
                last = batch[-1].number
                while self._kept and self._kept[0].number <= last:
                    self._kept.popleft()
        except AuburnsailError:
            self.failures += 1
        finally:
            self._is_writing = False

    def _oldest_hour(self) -> list[Snapshot]:
        hour = hour_prefix(self._kept[0].start_s)
        batch = []
        for snapshot in self._kept:
            if hour_prefix(snapshot.start_s) != hour:
                break
            batch.append(snapshot)
        return batch

    def _sample(self, now_ns: int) -> None:
        self._measurements.sample(self._view(), (now_ns - self._sampled_ns) / NS_PER_S)
        self._sampled_ns = now_ns

    def _cut(self, now_s: float, end_s: float, *, is_last: bool) -> None:
        now_ns = self._clock.now_ns()
        step_s = now_s - self._start_s - (now_ns - self._start_ns) / NS_PER_S
        # A clock set back leaves the start as the best estimate of the end.
        end_s = max(self._start_s, end_s)
        if len(self._kept) >= MAX_KEPT:
            self._kept.popleft()
            self.dropped += 1
        self._kept.append(
            self._measurements.cut(
                self._start_s, end_s, step_s=step_s, dropped=self.dropped, is_last=is_last
            )
        )
        self._start_s = end_s if end_s <= now_s else now_s
        self._start_ns = now_ns - int((now_s - self._start_s) * NS_PER_S)
