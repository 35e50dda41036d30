"""Parses and checks fenced grants at an upstream stand-in."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FencedGrant:
    """Grant of a request, encoded as ``service;shard;epoch;expires_ns`` in its header."""

    service: str
    shard: int
    epoch: int
    expires_ns: int


def parse_grant(text: str) -> FencedGrant:
    """Parses the value of an ``auburnsail-grant`` header.

    Raises:
        ValueError: The value is not a grant.
    """
    service, shard, epoch, expires_ns = text.split(";")
    return FencedGrant(service, int(shard), int(epoch), int(expires_ns))


class EpochFence:
    """Fencing of shards: refuses grants with an epoch below the highest one seen."""

    def __init__(self) -> None:
        self._epochs: dict[tuple[str, int], int] = {}

    def check(self, grant: FencedGrant, now_ns: int) -> str:
        """Checks a grant and records its epoch if it is accepted.

        Args:
            grant: Grant of a request.
            now_ns: Current time on the clock of the grant's expiry.

        Returns:
            The reason why the grant is refused, or an empty string.
        """
        if is_expired(grant, now_ns):
            return "grant-expired"
        shard = (grant.service, grant.shard)
        if grant.epoch < self._epochs.get(shard, 0):
            return "grant-superseded"
        self._epochs[shard] = grant.epoch
        return ""


def is_expired(grant: FencedGrant, now_ns: int) -> bool:
    """Returns whether a grant has expired."""
    return grant.expires_ns <= now_ns
