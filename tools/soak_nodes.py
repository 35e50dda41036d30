"""Nodes of the randomised runs, what follows them, and the error for a violated guarantee."""

from collections.abc import Callable
from dataclasses import dataclass, field

from auburnsail._fleet import FleetState
from auburnsail._membership import Membership
from auburnsail._moves import Mover

__all__ = [
    "FAULTS",
    "FAULT_WEIGHTS",
    "KEYED_SERVICE",
    "MAX_CLOCK_DRIFT",
    "NODE_LOCATIONS",
    "RECENT_TRANSFERS",
    "SECRET",
    "SHARDS",
    "UNKEYED_SERVICE",
    "DoubleOwnershipError",
    "FakeNode",
    "GuaranteeError",
    "NodeObserver",
]

KEYED_SERVICE = "catalogue"
UNKEYED_SERVICE = "pledge"
SHARDS = 32
SECRET = "0123456789abcdef"
NODE_LOCATIONS = [(region, f"{region}-{domain}") for region in "abc" for domain in (1, 2)]


FAULTS = ("pause", "cut", "kill", "isolate", "store", "move", "late-copy")
FAULT_WEIGHTS = (5, 8, 2, 1, 1, 4, 2)
RECENT_TRANSFERS = 4
# Clocks of two nodes may run apart by 0.1 %.
MAX_CLOCK_DRIFT = 0.0005


class GuaranteeError(AssertionError):
    """A guarantee was violated.

    Args:
        guarantee: Its id, for example ``"P1"``.
        detail: What was seen.
    """

    def __init__(self, guarantee: str, detail: str) -> None:
        super().__init__(f"{guarantee}: {detail}")
        self.guarantee = guarantee


class DoubleOwnershipError(GuaranteeError):
    """Two nodes would serve one shard at the same moment."""

    def __init__(self, detail: str) -> None:
        super().__init__("P1", detail)


class NodeObserver:
    """Follows the nodes of a run; the request path of the randomised runs derives from it."""

    def on_start(self, node: "FakeNode") -> None:
        """A node was started."""

    def on_kill(self, node: "FakeNode") -> None:
        """A node was killed."""

    def on_resume(self, node: "FakeNode") -> None:
        """A paused node goes on."""

    def on_applied(self, node: "FakeNode") -> None:
        """A node applied an entry of the fleet log."""

    def on_settings(self, node: "FakeNode", version: int, data: bytes) -> None:
        """A node received a newer settings version."""


@dataclass
class FakeNode:
    """One node with a clock of its own."""

    number: int
    drift: float
    membership: Membership
    fleet: FleetState
    mover: Mover
    paused: bool = False
    dead: bool = False
    queued_steps: list[Callable[[int], list]] = field(default_factory=list)
    served_cache: tuple[tuple | None, list[int]] = (None, [])
    running_since_ns: int = 0
    settings: tuple[int, bytes] = (0, b"")
    stop_requested_ns: int = 0
    is_vm_frozen: bool = False

    def now(self, true_ns: int) -> int:
        """Returns the node's own time."""
        return int(true_ns * (1 + self.drift)) + self.number * 1_000_000_007
