"""Hands bytes to the VM's link and shows how full it is."""

from ._clock import NS_PER_MS, Clock
from ._link_order import LinkOrder

__all__ = ["LinkSender"]

# Calls have objectives of 0.1 to 0.2 s, and a lease is renewed each 0.2 s.
FULL_QUEUE_NS = 100 * NS_PER_MS


class LinkSender:
    """Everything that leaves the VM passes here.

    Args:
        order: Models the link.
        clock: Source of time.
    """

    def __init__(self, order: LinkOrder, clock: Clock) -> None:
        self._order = order
        self._clock = clock
        self._is_full = False

    def note(self, size: int) -> None:
        """Notes bytes that are handed over at once."""
        self._order.pass_small(size, self._clock.now_ns())

    def check(self, now_ns: int) -> str:
        """Returns what changed since the last check, empty if nothing did."""
        was_full, self._is_full = self._is_full, self._order.queue_ns(now_ns) > FULL_QUEUE_NS
        if was_full == self._is_full:
            return ""
        return "full" if self._is_full else "has room again"

    def facts(self) -> dict[str, float]:
        """Returns the state of the link for the log and the metrics address."""
        queue_ms = self._order.queue_ns(self._clock.now_ns()) // NS_PER_MS
        return {
            "link_queue_ms": queue_ms,
            "link_longest_queue_ms": self._order.longest_queue_ns // NS_PER_MS,
            "link_sent_bytes": self._order.sent_bytes,
        }
