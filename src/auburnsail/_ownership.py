"""Interfaces through which the request path checks ownership and reaches the local upstream."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

__all__ = ["Gate", "Ownership", "UpstreamHooks"]


class Gate(Protocol):
    """Decides whether this node may serve a request; `RequestGate` implements it."""

    def admit(self, service: str, shard: int, deadline_ns: int) -> str:
        """Admits a request; returns an empty string, or the reason if the request must not run."""

    def refuse_waiting(self, reason: str) -> None:
        """Refuses the requests that wait for admission, and those that would wait later."""

    def confirm(self, service: str, shard: int, epoch: int) -> str:
        """Checks an admitted request again just before it is sent; returns as `admit` does."""

    def release(self, service: str, shard: int) -> None:
        """Releases an admitted request when it ends; called once for each admission."""

    def expires_ns(self) -> int:
        """Returns when a grant made now expires, in nanoseconds of the boot clock."""


def _no_op(*_: object) -> None:
    """Accepts any arguments and does nothing."""


@dataclass(frozen=True, slots=True)
class UpstreamHooks:
    """Callbacks of the exchange with the local upstream.

    Attributes:
        instance: Returns the only upstream instance that may run requests, empty for any.
        on_answer: Called when the upstream has answered a request.
        on_misdirected: Called when another instance than the expected one answered, with its id.
    """

    instance: Callable[[], str] = str
    on_answer: Callable[[], None] = _no_op
    on_misdirected: Callable[[str], None] = _no_op


@dataclass(slots=True)
class Ownership:
    """Ownership and local upstream of this node, as the request path uses them.

    Attributes:
        upstream_address: Returns the address of the local upstream, or None if there is none.
        gate: Decides whether this node may serve a request.
        own_address: Address at which this node serves requests and is named as owner of its keys.
        hooks: Callbacks of the exchange with the local upstream.
    """

    upstream_address: Callable[[], str | None]
    gate: Gate
    own_address: str = ""
    hooks: UpstreamHooks = field(default_factory=UpstreamHooks)
