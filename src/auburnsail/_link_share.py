"""What the VM's link allows for large answers. No I/O.

Load pattern: answers of 90 kB over a link of 7.5 Mbit/s, more than it carries, some of the upstream beside the node
and some that the node passes on to its own callers, beside calls whose short answers share the link. Waiting
for the link must not hold a slot of the upstream, which others could use, and an answer that cannot cross
the link in time must not be asked for, here or elsewhere.
"""

import contextlib
from collections import Counter
from collections.abc import Iterator

from ._clock import NS_PER_S
from ._link_order import LinkOrder

__all__ = ["LINK_FULL", "LinkShare"]

# Reason of a refusal by the node that received the request: whoever serves it, the answer crosses the same link.
LINK_FULL = "link-full"
# Weight of a new answer in the moving mean of its kind.
SIZE_GAIN = 0.1


class LinkShare:
    """Expects how long answers keep the link busy, by kind of request.

    Args:
        order: Models the link.
    """

    def __init__(self, order: LinkOrder | None = None) -> None:
        self._order = order or LinkOrder()
        self._mean_bytes: dict[str, float] = {}
        self._unsent: Counter[str] = Counter()

    def begin(self, kind: str) -> None:
        """Notes that an upstream begins to work on an answer that is to cross the link."""
        self._unsent[kind] += 1

    def sent(self, kind: str) -> None:
        """Notes that the answer is out, or that there is none."""
        self._unsent[kind] -= 1
        if not self._unsent[kind]:
            # A fleet can have thousands of routes, each a kind of its own.
            del self._unsent[kind]

    @contextlib.contextmanager
    def passing_on(self, kind: str) -> Iterator[None]:
        """Expects an answer of another node's upstream that is passed on to a caller."""
        self.begin(kind)
        try:
            yield
        finally:
            self.sent(kind)

    def learn(self, kind: str, answer_bytes: int) -> None:
        """Notes the size of an answer."""
        mean = self._mean_bytes.get(kind, float(answer_bytes))
        self._mean_bytes[kind] = mean + SIZE_GAIN * (answer_bytes - mean)

    def transfer_ns(self, kind: str, now_ns: int) -> float:
        """Returns how long an answer of a kind keeps the link busy; 0 if it delays nobody."""
        return self._busy_ns(self._large_bytes(kind), now_ns)

    def backlog_ns(self, kind: str, ahead: int, now_ns: int) -> float:
        """Returns how long the link is busy with large answers before one of a kind.

        Args:
            kind: The kind.
            ahead: Requests of the kind that wait for a slot and go first.
            now_ns: The current time.
        """
        size = self._large_bytes(kind)
        if not size:
            return 0.0
        unsent = sum(count * self._large_bytes(other) for other, count in self._unsent.items())
        return self._busy_ns(unsent + ahead * size, now_ns)

    def late_ns(self, kind: str, due_ns: int, now_ns: int) -> float:
        """Returns by how much an answer of a kind would be late, 0 or less if it would not be."""
        transfer_ns = self.transfer_ns(kind, now_ns)
        if not transfer_ns:
            return 0.0
        return now_ns + self.backlog_ns(kind, 0, now_ns) + transfer_ns - due_ns

    def _large_bytes(self, kind: str) -> float:
        mean = self._mean_bytes.get(kind, 0.0)
        return mean if self._order.is_large(int(mean)) else 0.0

    def _busy_ns(self, size: float, now_ns: int) -> float:
        return size / self._order.large_rate(now_ns) * NS_PER_S if size else 0.0
