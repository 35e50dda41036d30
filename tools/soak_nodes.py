"""Nodes of the soak simulation, their observer, and the error for a violated guarantee."""

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
# Clock rate error of a node: the rates of two nodes differ by at most 0.1 %.
MAX_CLOCK_DRIFT = 0.0005


class GuaranteeError(AssertionError):
    """A guarantee was violated.

    The checks of the soak runs use these ids:

    - ``P1``: At most one node serves a shard at a time, and no request runs under an old epoch.
    - ``P2``: All nodes apply the same fleet log, and an accepted settings version never changes.
    - ``P3``: A response is complete and belongs to its request.
    - ``P4``: A request that was reported as not run does not run.
    - ``P5``: A request that must not be repeated runs at most once.
    - ``P6``: A node that shuts down soon admits no new requests and moves its shards away.
    - ``P7``: A shutdown cuts off no requests.
    - ``P8``: Accepted settings reach every node in time and are not replaced by older ones.
    - ``service``: All shards are served after the faults.
    - ``program``: No node has an internal error.

    Args:
        guarantee: Id of the guarantee.
        detail: Description of the violation.
    """

    def __init__(self, guarantee: str, detail: str) -> None:
        super().__init__(f"{guarantee}: {detail}")
        self.guarantee = guarantee


class DoubleOwnershipError(GuaranteeError):
    """Two nodes would serve the same shard at the same time."""

    def __init__(self, detail: str) -> None:
        super().__init__("P1", detail)


class NodeObserver:
    """Receives the events of the nodes of a run; this base class ignores them."""

    def on_start(self, node: "FakeNode") -> None:
        """Called after a node was started."""

    def on_kill(self, node: "FakeNode") -> None:
        """Called after a node was killed."""

    def on_resume(self, node: "FakeNode") -> None:
        """Called when a paused node resumes."""

    def on_applied(self, node: "FakeNode") -> None:
        """Called after a node has applied an entry of the fleet log."""

    def on_settings(self, node: "FakeNode", version: int, data: bytes) -> None:
        """Called after a node has received a newer settings version."""


@dataclass
class FakeNode:
    """A node that runs the shipped decision code with its own, drifting clock.

    Attributes:
        number: Number of the node; the last part of its address.
        drift: Rate error of the node's clock.
        queued_steps: Inputs that arrived during a pause; the node handles them when it resumes.
        served_cache: State of the node and the shards that it would serve in this state.
        running_since_ns: Time of the start or of the end of the last pause.
        settings: Version and content of the settings that the node applies.
        stop_requested_ns: Time at which the shutdown was requested, 0 if it was not.
        is_vm_frozen: Whether a pause suspends the whole VM, including the upstream.
    """

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
        """Returns the reading of the node's clock at a virtual time, both in nanoseconds."""
        return int(true_ns * (1 + self.drift)) + self.number * 1_000_000_007
