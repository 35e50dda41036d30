"""Shards: parts of a keyed service's key space, their owners and epochs."""

from array import array
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

import xxhash

__all__ = ["NO_OWNER", "ShardTable", "shard_of"]

NO_OWNER = 0xFFFF


def shard_of(key: str, shards: int) -> int:
    """Returns the shard that a key belongs to.

    Args:
        key: The key as the caller sent it.
        shards: Number of shards of the service.
    """
    return xxhash.xxh64_intdigest(key.encode()) % shards


class ShardTable:
    """Owner index and epoch of every shard of one service.

    Args:
        shards: Number of shards.
    """

    def __init__(self, shards: int) -> None:
        self.owner = array("H", [NO_OWNER]) * shards
        self.epoch = array("I", [0]) * shards
        self._counts = Counter({NO_OWNER: shards})
        self._groups: dict[int, array] | None = None

    def __len__(self) -> int:
        return len(self.owner)

    def assign(self, shard: int, owner: int) -> None:
        """Gives a shard to an owner at the next epoch."""
        self._counts[self.owner[shard]] -= 1
        self._counts[owner] += 1
        if self._groups is not None:
            self._groups[self.owner[shard]].remove(shard)
            self._groups.setdefault(owner, array("I")).append(shard)
        self.owner[shard] = owner
        self.epoch[shard] += 1

    def count(self, owner: int) -> int:
        """Returns how many shards an owner has."""
        return self._counts[owner]

    def dump(self) -> tuple[bytes, bytes]:
        """Returns owners and epochs as little-endian bytes."""
        return self.owner.tobytes(), self.epoch.tobytes()

    @classmethod
    def load(cls, owner: bytes, epoch: bytes) -> "ShardTable":
        """Returns the table from what `dump` returned."""
        table = cls(0)
        table.owner.frombytes(owner)
        table.epoch.frombytes(epoch)
        table._counts = Counter(table.owner)
        return table

    def owned_by(self, owner: int) -> list[int]:
        """Returns the shards of one owner in ascending order."""
        if not self._counts[owner]:
            return []
        if self._groups is not None:
            return sorted(self._groups[owner])
        return [shard for shard, index in enumerate(self.owner) if index == owner]

    @contextmanager
    def grouped(self) -> Iterator[None]:
        """Groups the shards by owner while many owners are read.

        Without it each `owned_by` reads the whole table: the loss of a failure domain of 400
        sessions took 2.1 s to decide and 1.9 s to apply.
        """
        if self._groups is not None:
            yield
            return
        self._groups = {}
        for shard, owner in enumerate(self.owner):
            self._groups.setdefault(owner, array("I")).append(shard)
        try:
            yield
        finally:
            self._groups = None
