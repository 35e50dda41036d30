"""An in-memory journal of the newest decisions and their reasons."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ._clock import Clock

__all__ = ["Journal", "JournalItem"]

DEFAULT_MAX_ITEMS = 1000


@dataclass(frozen=True, slots=True)
class JournalItem:
    """One decision.

    Attributes:
        number: Sequence number since the start of the node, from 1.
        at_ns: Time on the node's clock in nanoseconds.
        kind: Subject of the decision.
        reason: Reason for the decision.
        facts: Details by name.
    """

    number: int
    at_ns: int
    kind: str
    reason: str
    facts: dict[str, object] = field(default_factory=dict)


class Journal:
    """Keeps the newest decisions.

    Args:
        clock: Source of time.
        max_items: Maximum number of decisions to keep.
        on_record: Called with each decision, for example to log it.
    """

    def __init__(
        self,
        clock: Clock,
        max_items: int = DEFAULT_MAX_ITEMS,
        on_record: Callable[[JournalItem], None] = lambda item: None,
    ) -> None:
        self._on_record = on_record
        self._clock = clock
        self._items: deque[JournalItem] = deque(maxlen=max_items)
        self._count = 0

    def record(self, kind: str, reason: str, **facts: object) -> None:
        """Adds a decision."""
        self._count += 1
        item = JournalItem(self._count, self._clock.now_ns(), kind, reason, facts)
        self._items.append(item)
        self._on_record(item)

    def items(self, after: int = 0) -> list[JournalItem]:
        """Returns the decisions with a higher number, oldest first."""
        return [item for item in self._items if item.number > after]

    def matching_items(self, name: str, value: object) -> list[JournalItem]:
        """Returns the decisions in which the named detail has the value, oldest first."""
        return [item for item in self._items if item.facts.get(name) == value]
