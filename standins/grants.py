"""Check of fenced grants at an upstream stand-in."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FencedGrant:
    """A grant as it arrives with a request: ``service;shard;epoch;expires_ns``."""

    service: str
    shard: int
    epoch: int
    expires_ns: int


def parse_grant(text: str) -> FencedGrant:
    """Returns the grant in a header value.

    Raises:
        ValueError: The value is not a grant.
    """
    service, shard, epoch, expires_ns = text.split(";")
    return FencedGrant(service, int(shard), int(epoch), int(expires_ns))


class GrantBook:
    """Highest epoch seen for each shard."""

    def __init__(self) -> None:
        self._epochs: dict[tuple[str, int], int] = {}

    def refusal(self, grant: FencedGrant, now_ns: int) -> str:
        """Returns why a grant is refused, or an empty string after recording its epoch.

        Args:
            grant: The grant of a request.
            now_ns: The current time on the clock of the grant.
        """
        if is_expired(grant, now_ns):
            return "grant-expired"
        place = (grant.service, grant.shard)
        if grant.epoch < self._epochs.get(place, 0):
            return "grant-superseded"
        self._epochs[place] = grant.epoch
        return ""


def is_expired(grant: FencedGrant, now_ns: int) -> bool:
    """Returns whether a grant's time has passed."""
    return grant.expires_ns <= now_ns
