"""Keys that the local upstream may hold, if it receives its keys in the answers to its reports.

The upstream measures a hold from the time at which it sent a report. The node computes the duration
when it receives the report, which is later, so the hold expires no later than the lease. The
duration is shortened to allow for a slow clock of the upstream. No I/O; time is passed in.
"""

from array import array
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ._clock import NS_PER_MS
from ._model import Handover
from ._shards import KeyRange, contiguous_runs, range_of_shards

__all__ = ["GrantedRange", "HeldRange", "HoldGrant", "HoldTable"]

# An upstream's clock may run slow by up to this factor.
SLOW_CLOCK_FACTOR = 1.02


@dataclass(frozen=True, slots=True)
class HeldRange:
    """Keys that an upstream reports as held or still in use, with the fencing token that it has."""

    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class GrantedRange:
    """Keys that are granted to an upstream.

    Attributes:
        first: First key.
        last: Last key.
        fence: Fencing token; the upstream refuses a token lower than the highest it has seen.
        handover: Token that the previous holder returned for the keys, empty if there is none.
    """

    first: int
    last: int
    fence: int
    handover: str = ""


@dataclass(frozen=True, slots=True)
class HoldGrant:
    """All keys that are granted to an upstream in answer to one report.

    Attributes:
        rows: Key ranges in ascending order.
        hold_ms: Duration of the grant, measured from the sending of the report; 0 grants nothing.
    """

    rows: tuple[GrantedRange, ...] = ()
    hold_ms: int = 0


class HoldTable:
    """Tracks for each shard until when the upstream may hold it.

    Args:
        shards: Number of shards of the service.
        keys: Size of the service's ordered key space.
        max_hold_ms: Longest grant that this or an earlier node process makes to the upstream.
    """

    def __init__(self, shards: int, keys: int, max_hold_ms: int) -> None:
        self._shards = shards
        self._keys = keys
        self._max_hold_ms = max_hold_ms
        self._held_until_ns = array("q", [0]) * shards
        self._granted = bytearray(shards)
        self._granted_until_ns = 0
        self._released_tokens: dict[int, str] = {}
        self._unconfirmed_releases: dict[int, str] = {}
        self._incoming_handovers: list[Handover] = []

    @property
    def max_hold_ms(self) -> int:
        """Longest grant that this or an earlier node process makes to the upstream."""
        return self._max_hold_ms

    @property
    def granted_until_ns(self) -> int:
        """End of the latest grant, without the allowance for a slow clock of the upstream."""
        return self._granted_until_ns

    def clear_holds(self) -> None:
        """Clears all holds: the upstream has restarted, and its new process holds nothing."""
        self._held_until_ns = array("q", [0]) * self._shards
        self._granted = bytearray(self._shards)
        self._granted_until_ns = 0
        self._released_tokens.clear()
        self._unconfirmed_releases.clear()

    def assume_held(self, shards: Iterable[int], until_ns: int) -> None:
        """Takes shards for held until a time, except those that the upstream has released."""
        for shard in shards:
            if shard not in self._released_tokens:
                self._held_until_ns[shard] = max(self._held_until_ns[shard], until_ns)

    def on_report(
        self, held: Sequence[HeldRange], freed: Sequence[Handover], now_ns: int
    ) -> tuple[int, ...]:
        """Handles the held and released keys of a report.

        Args:
            held: Keys that the upstream holds.
            freed: Keys that it released since its last acknowledged report.
            now_ns: The current time in nanoseconds.

        Returns:
            The shards that this report released.
        """
        in_use = {shard for row in held for shard in self._shards_touching(row.first, row.last)}
        for shard in in_use:
            # An earlier process of this node made the grant, so its end is unknown here.
            if not self._held_until_ns[shard]:
                self._held_until_ns[shard] = now_ns + self._max_hold_ms * NS_PER_MS
        for row in freed:
            for shard in self._shards_within(row.first, row.last):
                if not self._granted[shard]:
                    self._unconfirmed_releases[shard] = row.token
        # An upstream may release a range while it still works on some of its keys.
        released = tuple(shard for shard in self._unconfirmed_releases if shard not in in_use)
        for shard in released:
            self._held_until_ns[shard] = 0
            self._released_tokens[shard] = self._unconfirmed_releases.pop(shard)
        return released

    def grant(
        self,
        owned: Iterable[int],
        releasing: set[int],
        fence: int,
        lease_end_ns: int,
        now_ns: int,
    ) -> HoldGrant:
        """Grants shards in answer to a report that has just arrived.

        Args:
            owned: Shards that the session owns.
            releasing: Owned shards that the upstream is to release.
            fence: Fencing token of the session.
            lease_end_ns: When the session's lease expires, in nanoseconds.
            now_ns: The current time, which must not be earlier than the sending of the report.

        Returns:
            The granted ranges and their duration; an empty grant if the lease is about to expire.
        """
        remaining_ms = (lease_end_ns - now_ns) / NS_PER_MS / SLOW_CLOCK_FACTOR
        hold_ms = int(min(self._max_hold_ms / SLOW_CLOCK_FACTOR, remaining_ms))
        if hold_ms <= 0:
            return HoldGrant()
        granted = [shard for shard in owned if shard not in releasing]
        self._granted = bytearray(self._shards)
        held_until_ns = now_ns + int(hold_ms * SLOW_CLOCK_FACTOR * NS_PER_MS) + NS_PER_MS
        for shard in granted:
            self._granted[shard] = 1
            self._held_until_ns[shard] = max(self._held_until_ns[shard], held_until_ns)
            self._released_tokens.pop(shard, None)
            self._unconfirmed_releases.pop(shard, None)
        self._granted_until_ns = now_ns + hold_ms * NS_PER_MS
        rows = [row for run in contiguous_runs(granted) for row in self._granted_ranges(run, fence)]
        return HoldGrant(tuple(rows), hold_ms)

    def may_run(self, shard: int, now_ns: int) -> bool:
        """Returns whether the latest grant includes a shard and has not expired."""
        return bool(self._granted[shard]) and now_ns < self._granted_until_ns

    def is_free(self, shard: int, now_ns: int) -> bool:
        """Returns whether it is certain that the upstream no longer holds a shard."""
        return now_ns >= self._held_until_ns[shard]

    def handovers(self, shards: Iterable[int]) -> tuple[Handover, ...]:
        """Returns the handovers of released shards; adjacent shards with one token form a range."""
        handovers = []
        for first, last in contiguous_runs(
            shard for shard in shards if shard in self._released_tokens
        ):
            start = first
            for shard in range(first, last + 1):
                token = self._released_tokens[shard]
                if shard == last or self._released_tokens[shard + 1] != token:
                    keys = self._key_range(start, shard)
                    handovers.append(Handover(keys.first, keys.last, token))
                    start = shard + 1
        return tuple(handovers)

    def add_incoming_handovers(self, handovers: Iterable[Handover]) -> None:
        """Adds handovers of keys whose ownership has just moved to this session."""
        self._incoming_handovers.extend(handovers)

    def drop_received_handovers(self, held: Sequence[HeldRange]) -> None:
        """Drops handovers of keys that the upstream now reports as held."""
        if self._incoming_handovers:
            self._incoming_handovers = [
                item
                for item in self._incoming_handovers
                if not any(row.first <= item.first and item.last <= row.last for row in held)
            ]

    def _granted_ranges(self, run: tuple[int, int], fence: int) -> list[GrantedRange]:
        key_range = self._key_range(*run)
        rows, start = [], key_range.first
        for item in sorted(self._incoming_handovers, key=lambda item: item.first):
            first, last = max(item.first, start), min(item.last, key_range.last)
            if first > last:
                continue
            if first > start:
                rows.append(GrantedRange(start, first - 1, fence))
            rows.append(GrantedRange(first, last, fence, item.token))
            start = last + 1
        if start <= key_range.last:
            rows.append(GrantedRange(start, key_range.last, fence))
        return rows

    def _key_range(self, first: int, last: int) -> KeyRange:
        return range_of_shards(first, last, self._shards, self._keys)

    def _shards_touching(self, first: int, last: int) -> range:
        """Returns the shards of which a range of keys contains any key."""
        first, last = max(0, first), min(last, self._keys - 1)
        return range(first * self._shards // self._keys, last * self._shards // self._keys + 1)

    def _shards_within(self, first: int, last: int) -> range:
        """Returns the shards whose keys all lie within a range of keys."""
        first, last = max(0, first), min(last, self._keys - 1)
        low = -(-first * self._shards // self._keys)
        high = (last + 1) * self._shards // self._keys
        return range(low, max(low, high))
