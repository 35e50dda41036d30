"""What the request path knows of this node's right to serve, and of the upstream beside it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

__all__ = ["Gate", "Ownership", "UpstreamLink"]


class Gate(Protocol):
    """Knows whether this node may serve; `RequestGate` implements it."""

    def admit(self, service: str, shard: int, deadline_ns: int) -> str:
        """Admits a request; returns the reason if it must not run, or an empty string."""

    def confirm(self, service: str, shard: int, epoch: int) -> str:
        """Checks an admitted request again right before bytes go to the upstream."""

    def leave(self, service: str, shard: int) -> None:
        """Notes that an admitted request has ended."""

    def expires_ns(self) -> int:
        """Returns when a grant that is given now ends."""


def _ignore(*_: object) -> None:
    """Does nothing."""


@dataclass(frozen=True, slots=True)
class UpstreamLink:
    """What the exchange with the upstream beside this node tells and asks.

    Attributes:
        instance: Returns the instance that alone may run requests here, empty for any.
        on_answer: Called when the upstream answered a request.
        on_misdirected: Called with the instance that answered that it is not the expected one.
    """

    instance: Callable[[], str] = str
    on_answer: Callable[[], None] = _ignore
    on_misdirected: Callable[[str], None] = _ignore


@dataclass(slots=True)
class Ownership:
    """What this node may serve now.

    Attributes:
        upstream_address: Returns the address of the upstream beside this node, or None.
        gate: Knows whether this node may serve.
        own_address: Address at which this node serves, named as the owner of its keys.
        link: What an adapter adds to the exchange with the upstream.
    """

    upstream_address: Callable[[], str | None]
    gate: Gate
    own_address: str = ""
    link: UpstreamLink = field(default_factory=UpstreamLink)
