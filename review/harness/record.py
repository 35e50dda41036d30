"""Record of a case: what was sent, answered, run and held, with times."""

import asyncio
import json
import time
from pathlib import Path


class Record:
    """Collects events in the order in which they happen."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self.events: list[dict] = []
        self.holds: dict[str, list[tuple[int, int]]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._overlap_since_s: dict[tuple[str, str], float] = {}
        self.overlaps: list[tuple[str, str, float, float]] = []

    def now_s(self) -> float:
        """Returns the time since the start of the case in seconds."""
        return time.monotonic() - self._started_s

    def add(self, event: str, **facts: object) -> float:
        """Adds an event and returns its time."""
        now_s = self.now_s()
        self.events.append({"t": round(now_s, 4), "event": event, **facts})
        return now_s

    def find(self, event: str, **facts: object) -> list[dict]:
        """Returns the events of a kind with the given facts."""
        return [
            item
            for item in self.events
            if item["event"] == event and all(item.get(k) == v for k, v in facts.items())
        ]

    def keep(self, task: asyncio.Task) -> None:
        """Keeps a reference to a task that nothing waits for."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def set_holds(self, backend: str, ranges: list[tuple[int, int]]) -> None:
        """Records the keys that a backend holds from now on, and overlaps with other backends."""
        now_s = self.now_s()
        self.holds[backend] = ranges
        for other, other_ranges in self.holds.items():
            if other == backend:
                continue
            pair = (min(backend, other), max(backend, other))
            overlaps = any(a <= d and c <= b for a, b in ranges for c, d in other_ranges)
            if overlaps and pair not in self._overlap_since_s:
                self._overlap_since_s[pair] = now_s
            elif not overlaps and pair in self._overlap_since_s:
                since_s = self._overlap_since_s.pop(pair)
                self.overlaps.append((*pair, since_s, now_s))

    def end_holds(self) -> None:
        """Ends the overlaps that are still open."""
        for backend in tuple(self.holds):
            self.set_holds(backend, [])

    def write(self, path: Path, summary: dict) -> None:
        """Writes the events and a summary."""
        lines = [json.dumps(event) for event in self.events]
        path.write_text("\n".join([*lines, json.dumps({"summary": summary})]) + "\n")
