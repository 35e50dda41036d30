"""Faults that meet the watchers of one session while they measure its silence."""

import random
from collections.abc import Callable

from auburnsail._clock import NS_PER_MS
from tools.soak_fleet import FleetSimulation

__all__ = ["WatcherFaults"]

# A watcher seals after 650 ms of silence and a query of up to 100 ms; some cuts end before that.
CUT_MS = (600, 1500)
RESTART_PROBABILITY = 0.8
RESTART_DELAY_MS = (500, 2000)
SECOND_CUT_DELAY_MS = (500, 2500)
SERIES_INTERVAL_MS = 500
# From a pause that the holder notices to the duration of a lease.
PAUSE_MS = (300, 600)
PAUSE_PROBABILITY = 0.8
PAUSE_DELAY_MS = (0, 300)


class WatcherFaults:
    """Series of faults of the watchers of one session.

    One watcher of a random holder receives nothing for a time, so that it counts the silence of a
    session that others hear, and may be restarted during that time or later. Then another watcher
    of the holder receives nothing for a time. The holder may pause at the start of each of the two
    times: after a pause it waits longer before it replaces a silent watcher.

    Args:
        sim: The fleet of the run.
        rng: Source of the faults.
        holders: Number of nodes, those with the lowest numbers, whose sessions may be the holder.
    """

    def __init__(self, sim: FleetSimulation, rng: random.Random, holders: int) -> None:
        self._sim = sim
        self._rng = rng
        self._holders = holders
        self._next_start_ns = 0
        self._has_ended = False

    def end(self) -> None:
        """Ends the faults; the rest of a series that has begun does not happen."""
        self._has_ended = True

    def inject(self) -> None:
        """Starts a series unless one is running."""
        sim, rng = self._sim, self._rng
        if sim.now_ns < self._next_start_ns:
            return
        holder = rng.randrange(self._holders)
        first = self._cut_off_watcher(holder)
        if first is None:
            return
        if rng.random() < RESTART_PROBABILITY:
            self._call_later(rng.uniform(*RESTART_DELAY_MS), lambda: self._restart(first))
        delay_ms = rng.uniform(*SECOND_CUT_DELAY_MS)
        self._call_later(delay_ms, lambda: self._cut_off_watcher(holder, other_than=first))
        self._next_start_ns = sim.now_ns + int((delay_ms + SERIES_INTERVAL_MS) * NS_PER_MS)

    def _call_later(self, delay_ms: float, action: Callable[[], object]) -> None:
        self._sim.call_later(delay_ms, lambda: None if self._has_ended else action())

    def _cut_off_watcher(self, holder: int, other_than: int | None = None) -> int | None:
        """Cuts the links to a watcher of the holder; returns its node, None if there is none."""
        sim, rng = self._sim, self._rng
        watchers = [number for number in self._watchers_of(holder) if number != other_than]
        if not watchers:
            return None
        watcher = rng.choice(watchers)
        sim.fault_counts["watcher-cut"] += 1
        cut_ms = rng.uniform(*CUT_MS)
        for number in sim.nodes:
            if number != watcher:
                sim.cut_link(number, watcher, cut_ms)
        if rng.random() < PAUSE_PROBABILITY:
            pause_ms = rng.uniform(*PAUSE_MS)
            delay_ms = rng.uniform(*PAUSE_DELAY_MS)
            self._call_later(delay_ms, lambda: sim.pause_node(holder, pause_ms))
        return watcher

    def _watchers_of(self, holder: int) -> list[int]:
        """Returns the nodes that watch the holder's session according to the holder's log."""
        node = self._sim.nodes[holder]
        row = node.fleet.sessions.get(node.membership.own_id)
        return [int(watcher.node[1:]) for watcher in row.session.watchers] if row else []

    def _restart(self, number: int) -> None:
        self._sim.fault_counts["watcher-restart"] += 1
        self._sim.kill_node(number)
        self._sim.start_node(number)
