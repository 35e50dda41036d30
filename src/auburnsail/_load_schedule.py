"""Plans the requests of a load run: start time, kind and key of each request."""

import random
from array import array
from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import accumulate

from .exceptions import SettingsError

__all__ = [
    "Arrivals",
    "KeySampler",
    "PlannedRequest",
    "RequestKind",
    "parse_request_kind",
    "plan_requests",
]

NON_REPEATABLE_METHODS = frozenset({"POST", "PATCH"})
NS_PER_S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request in the mix.

    Attributes:
        method: HTTP method.
        template: Request target with the placeholders ``{key}`` and ``{id}``.
        weight: Share in the mix, relative to the other kinds.
        body_bytes: Size of the request body in bytes.
    """

    method: str
    template: str
    weight: float = 1.0
    body_bytes: int = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may safely be executed twice."""
        return self.method not in NON_REPEATABLE_METHODS


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of the schedule.

    Attributes:
        number: Position in the schedule, from 0.
        start_ns: Intended start in nanoseconds since the start of the run.
        kind: Kind of the request.
        key: Key in the request target, or an empty string if the target has none.
    """

    number: int
    start_ns: int
    kind: RequestKind
    key: str


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Distribution of the start times of requests.

    Attributes:
        rate: Requests per second.
        duration_s: Length of the schedule in seconds.
        is_poisson: Whether the gaps are exponentially distributed; otherwise they are all equal.
    """

    rate: float
    duration_s: float
    is_poisson: bool = True

    def starts_ns(self, rng: random.Random) -> Iterator[int]:
        """Yields intended starts in nanoseconds since the start of the run."""
        elapsed_s = 0.0
        gap_s = 1 / self.rate
        while True:
            elapsed_s += rng.expovariate(self.rate) if self.is_poisson else gap_s
            if elapsed_s >= self.duration_s:
                return
            yield int(elapsed_s * NS_PER_S)


class KeySampler:
    """Samples keys from a Zipf distribution whose hottest keys change over time.

    Args:
        keys: Number of keys.
        exponent: Zipf exponent; 0 makes all keys equally likely.
        hot_keys: Number of hottest keys that are exchanged for others at each change.
        change_every_s: Seconds between two changes; 0 for no changes.
    """

    def __init__(
        self, keys: int, exponent: float, hot_keys: int = 57, change_every_s: float = 0.0
    ) -> None:
        weights = (1 / (rank + 1) ** exponent for rank in range(keys))
        self._cumulative_weights = array("d", accumulate(weights))
        self._hot_keys = min(hot_keys, keys)
        self._change_every_s = change_every_s

    def sample(self, rng: random.Random, elapsed_s: float) -> str:
        """Returns a random key.

        Args:
            rng: Random number generator.
            elapsed_s: Time since the start of the run in seconds.
        """
        rank = bisect_left(self._cumulative_weights, rng.random() * self._cumulative_weights[-1])
        return f"key-{self._key_index(rank, elapsed_s)}"

    def _key_index(self, rank: int, elapsed_s: float) -> int:
        # The hottest ranks swap their keys with a block of lower ranks, so that the number of keys
        # stays the same and the formerly hot keys become as rare as the keys of that block.
        blocks = len(self._cumulative_weights) // self._hot_keys
        if not self._change_every_s or blocks < 2:
            return rank
        block_start = int(elapsed_s / self._change_every_s) % blocks * self._hot_keys
        if rank < self._hot_keys:
            return rank + block_start
        if block_start <= rank < block_start + self._hot_keys:
            return rank - block_start
        return rank


def parse_request_kind(text: str) -> RequestKind:
    """Parses a kind of request from ``METHOD TARGET [WEIGHT [BODY_BYTES]]``.

    Raises:
        SettingsError: The text has another form or a value is out of range.
    """
    fields = text.split()
    try:
        method, template, *rest = fields
        weight = float(rest[0]) if rest else 1.0
        body_bytes = int(rest[1]) if len(rest) > 1 else 0
    except ValueError as error:
        raise SettingsError(
            f"{text!r} is not METHOD TARGET [WEIGHT [BODY_BYTES]]", step="load.mix", peer=""
        ) from error
    if not template.startswith("/") or weight <= 0 or body_bytes < 0 or len(rest) > 2:
        raise SettingsError(
            f"{text!r} needs a TARGET that starts with /, a WEIGHT above 0 and BODY_BYTES of at"
            " least 0, with no further fields",
            step="load.mix",
            peer="",
        )
    return RequestKind(method.upper(), template, weight, body_bytes)


def plan_requests(
    arrivals: Arrivals, kinds: tuple[RequestKind, ...], keys: KeySampler, seed: int
) -> Iterator[PlannedRequest]:
    """Yields the requests of a run in the order of their intended starts.

    Args:
        arrivals: Distribution of the start times.
        kinds: Kinds of request in the mix.
        keys: Samples the key of each request.
        seed: The same seed gives the same schedule.
    """
    rng = random.Random(seed)
    weights = list(accumulate(kind.weight for kind in kinds))
    for number, start_ns in enumerate(arrivals.starts_ns(random.Random(seed + 1))):
        kind = kinds[bisect_left(weights, rng.random() * weights[-1])]
        has_key = "{key}" in kind.template
        key = keys.sample(rng, start_ns / NS_PER_S) if has_key else ""
        yield PlannedRequest(number, start_ns, kind, key)
