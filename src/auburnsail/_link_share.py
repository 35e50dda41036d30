"""What the VM's link allows for large answers.

Load pattern: answers of 90 kB over a link of 5.5 Mbit/s, twice as many as it carries, beside calls whose short
answers share the link. Waiting for the link must not hold a slot of the upstream, which others could use,
and bytes queued in the link delay the short answers behind them.
"""

from collections import Counter

from ._clock import NS_PER_S

__all__ = ["LinkShare"]

# An answer that keeps the link busy for longer delays the small ones behind it noticeably.
LARGE_TRANSFER_S = 0.05
# Weight of a new answer in the moving mean of its kind.
SIZE_GAIN = 0.1


class LinkShare:
    """Expects how long answers keep the link busy, by kind of request. No I/O.

    Attributes:
        bytes_per_s: What the link carries, 0 if that is not known.
    """

    def __init__(self) -> None:
        self.bytes_per_s = 0.0
        self._mean_bytes: dict[str, float] = {}
        self._unsent: Counter[str] = Counter()

    def begin(self, kind: str) -> None:
        """Notes that the upstream begins to work on an answer."""
        self._unsent[kind] += 1

    def sent(self, kind: str) -> None:
        """Notes that the answer is out, or that there is none."""
        self._unsent[kind] -= 1

    def learn(self, kind: str, answer_bytes: int) -> None:
        """Notes the size of an answer."""
        mean = self._mean_bytes.get(kind, float(answer_bytes))
        self._mean_bytes[kind] = mean + SIZE_GAIN * (answer_bytes - mean)

    def transfer_ns(self, kind: str) -> float:
        """Returns how long an answer of a kind keeps the link busy; 0 if it delays nobody."""
        if not self.bytes_per_s:
            return 0.0
        busy_s = self._mean_bytes.get(kind, 0.0) / self.bytes_per_s
        return busy_s * NS_PER_S if busy_s >= LARGE_TRANSFER_S else 0.0

    def backlog_ns(self, kind: str, ahead: int) -> float:
        """Returns how long the link is busy with answers of a kind.

        Args:
            kind: The kind.
            ahead: Requests of the kind that wait for a slot and go first.
        """
        return (self._unsent[kind] + ahead) * self.transfer_ns(kind)
