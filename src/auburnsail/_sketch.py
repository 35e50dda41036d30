"""Load measurement with bounded memory: a heavy-hitter sketch of keys, and decayed shard loads."""

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["HeavyHitter", "HeavyHitters", "ShardLoads"]

NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class HeavyHitter:
    """A key with bounds on its weight: ``weight - error <= true weight <= weight``."""

    key: str
    weight: float
    error: float


@dataclass(slots=True)
class _Counter:
    weight: float
    error: float


class HeavyHitters:
    """Space-saving sketch: finds the heaviest keys of a stream with a fixed number of counters.

    `total` is the sum of all added weights, decayed like the counters. The bounds are:

    - a counter never underestimates the weight of its key: ``true <= weight``;
    - a counter overestimates the weight by at most its error: ``weight - error <= true``;
    - no error exceeds ``total / capacity``;
    - every key whose true weight exceeds ``total / capacity`` has a counter.

    Args:
        capacity: Number of counters.
    """

    def __init__(self, capacity: int) -> None:
        if capacity < 1:
            raise ValueError("a sketch needs at least one counter")
        self._capacity = capacity
        self._counters: dict[str, _Counter] = {}
        # One (weight, key) per counter. Weights only grow between decays, so the weight in an
        # outdated item is a lower bound; it is corrected when the item reaches the top.
        self._heap: list[tuple[float, str]] = []
        self._total = 0.0

    @property
    def total(self) -> float:
        """Decayed sum of all weights added."""
        return self._total

    def __len__(self) -> int:
        return len(self._counters)

    def add(self, key: str, weight: float = 1.0) -> None:
        """Adds the weight of one occurrence of a key.

        Args:
            key: The key.
            weight: Weight of the occurrence, not negative; for example the duration of a request.
        """
        self._total += weight
        counter = self._counters.get(key)
        if counter is not None:
            counter.weight += weight
        elif len(self._counters) < self._capacity:
            self._insert(key, _Counter(weight, 0.0))
        else:
            lightest_weight = self._remove_lightest()
            self._insert(key, _Counter(lightest_weight + weight, lightest_weight))

    def decay(self, factor: float) -> None:
        """Multiplies all weights by a factor between 0 and 1, so that old requests count less."""
        self._total *= factor
        for counter in self._counters.values():
            counter.weight *= factor
            counter.error *= factor
        self._heap = [(counter.weight, key) for key, counter in self._counters.items()]
        heapq.heapify(self._heap)

    def top(self, count: int) -> list[HeavyHitter]:
        """Returns the heaviest keys, heaviest first."""
        items = ((counter.weight, key) for key, counter in self._counters.items())
        return [
            HeavyHitter(key, weight, self._counters[key].error)
            for weight, key in heapq.nlargest(count, items)
        ]

    def _insert(self, key: str, counter: _Counter) -> None:
        self._counters[key] = counter
        heapq.heappush(self._heap, (counter.weight, key))

    def _remove_lightest(self) -> float:
        while True:
            weight, key = self._heap[0]
            actual = self._counters[key].weight
            if weight == actual:
                heapq.heappop(self._heap)
                del self._counters[key]
                return weight
            heapq.heapreplace(self._heap, (actual, key))


class ShardLoads:
    """Busy slots per owned shard, averaged with exponential decay.

    The request path adds the duration of each request to a counter, and `tick` updates the averages
    from the counters, so that a request costs one dictionary update.

    Args:
        half_life_ms: Age at which the weight of a request has halved.
    """

    def __init__(self, half_life_ms: float = 20_000) -> None:
        self._half_life_ns = half_life_ms * NS_PER_MS
        self._busy_ns: dict[int, int] = {}
        self._loads: dict[int, float] = {}
        self._last_tick_ns: int | None = None

    @property
    def loads(self) -> Mapping[int, float]:
        """Busy slots by shard, as of the last tick."""
        return self._loads

    @property
    def total(self) -> float:
        """Busy slots of all shards."""
        return sum(self._loads.values())

    def record(self, shard: int, busy_ns: int) -> None:
        """Adds the nanoseconds for which one request of a shard kept a slot busy."""
        self._busy_ns[shard] = self._busy_ns.get(shard, 0) + busy_ns

    def set_load(self, shard: int, load: float) -> None:
        """Sets the load of a shard, for example to the load that its former owner measured."""
        self._loads[shard] = load

    def retain(self, shards: Iterable[int]) -> None:
        """Drops all shards but the given ones, which bounds the memory to owned shards."""
        retained = set(shards)
        self._loads = {shard: self._loads.get(shard, 0.0) for shard in retained}
        self._busy_ns = {shard: busy for shard, busy in self._busy_ns.items() if shard in retained}

    def tick(self, now_ns: int) -> None:
        """Updates the averages with the requests since the last tick."""
        if self._last_tick_ns is None or now_ns <= self._last_tick_ns:
            self._last_tick_ns = now_ns if self._last_tick_ns is None else self._last_tick_ns
            return
        elapsed_ns = now_ns - self._last_tick_ns
        decay_factor = 0.5 ** (elapsed_ns / self._half_life_ns)
        for shard in self._busy_ns.keys() | self._loads.keys():
            recent = self._busy_ns.get(shard, 0) / elapsed_ns
            self._loads[shard] = self._loads.get(shard, 0.0) * decay_factor + recent * (
                1 - decay_factor
            )
        self._busy_ns.clear()
        self._last_tick_ns = now_ns
