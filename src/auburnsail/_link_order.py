"""The order of bytes on the VM's link: small messages at once, large ones in turns behind them. No I/O.

Load pattern: answers of 90 kB, more than a link of 7.5 Mbit/s carries, beside calls, lease renewals and
settings of less than 1 kB that must arrive within 0.1 s. All connections of a VM share the queue of its
link, so whatever a node hands to the system delays everything that follows. The link's queue is modelled
from the bytes handed over, and a large message is handed over in blocks, each when the queue is nearly empty.
"""

import heapq
import itertools
import math
from dataclasses import dataclass, field
from enum import IntEnum

from ._clock import NS_PER_MS, NS_PER_S

__all__ = ["BYTES_PER_MBIT", "LinkOrder", "LinkRank", "Transfer"]

BYTES_PER_MBIT = 125_000
# The rest is for headers, 40 of 1,500 bytes of each packet, and for acknowledgements of what arrives, 40 for
# each 3,000 bytes.
PAYLOAD_SHARE = 0.95
# A message that keeps the link busy for longer delays the small ones behind it noticeably.
LARGE_MESSAGE_NS = 50 * NS_PER_MS
# Time on the link of one block, and what may be queued when the next one is handed over. Their sum is the
# longest wait of a small message; timers that fire some milliseconds late must not idle the link.
BLOCK_NS = 15 * NS_PER_MS
QUEUED_NS = 10 * NS_PER_MS
# Small messages alone can fill a link for long; a large one gets at least this share.
LARGE_SHARE = 0.1
# Bursts of small messages within this time count as their mean rate.
SMALL_RATE_NS = NS_PER_S


class LinkRank(IntEnum):
    """Order of large messages."""

    CONTROL = 0
    REQUEST = 1


@dataclass(slots=True, order=True)
class Transfer:
    """A large message that is sent in blocks.

    Attributes:
        rank: What goes first.
        number: Order among transfers of one rank; the first one is finished before the next begins.
        size: Bytes of its next block.
        waiting_ns: Since when it waits to send that.
    """

    rank: LinkRank
    number: int
    size: int = field(default=0, compare=False)
    waiting_ns: int = field(default=0, compare=False)


class LinkOrder:
    """Models the queue of the VM's link and says when a large message may send its next block.

    Args:
        bytes_per_s: What the link carries each way, 0 if that is not known; then nothing waits.
    """

    def __init__(self, bytes_per_s: float = 0.0) -> None:
        self._rate = bytes_per_s * PAYLOAD_SHARE
        self._free_ns = 0
        self._small_bytes = 0.0
        self._small_ns = 0
        self._numbers = itertools.count()
        self._waiting: list[Transfer] = []
        self._last_block_ns = 0
        self.large_bytes = max(1, int(self._rate * LARGE_MESSAGE_NS / NS_PER_S))
        self.block_bytes = max(1, int(self._rate * BLOCK_NS / NS_PER_S))
        self.sent_bytes = 0
        self.longest_queue_ns = 0

    @property
    def waiting(self) -> int:
        """Large messages that wait for their next block."""
        return len(self._waiting)

    def is_large(self, size: int) -> bool:
        """Whether a message of a size has to wait for its turns."""
        return self._rate > 0 and size >= self.large_bytes

    def queue_ns(self, now_ns: int) -> int:
        """Returns how long the link is busy with what was handed over."""
        return max(0, self._free_ns - now_ns)

    def large_rate(self, now_ns: int) -> float:
        """Returns the bytes per second that the link has for large messages, 0 if that is not known."""
        kept = self._small_bytes * self._decay(now_ns)
        return max(LARGE_SHARE * self._rate, self._rate - kept * NS_PER_S / SMALL_RATE_NS)

    def pass_small(self, size: int, now_ns: int) -> None:
        """Notes bytes that are handed over at once."""
        if not self._rate:
            return
        self._small_bytes = self._small_bytes * self._decay(now_ns) + size
        self._small_ns = now_ns
        self._hand_over(size, now_ns)

    def begin(self, rank: LinkRank) -> Transfer:
        """Returns a transfer for a new large message."""
        return Transfer(rank, next(self._numbers))

    def wait(self, transfer: Transfer, size: int, now_ns: int) -> None:
        """Makes a transfer wait until it may send its next block."""
        transfer.size = size
        transfer.waiting_ns = now_ns
        heapq.heappush(self._waiting, transfer)

    def withdraw(self, transfer: Transfer) -> None:
        """Removes a transfer that waits no longer."""
        self._waiting = [other for other in self._waiting if other is not transfer]
        heapq.heapify(self._waiting)

    def next_ns(self) -> int:
        """Returns when the first transfer that waits may send its next block."""
        since_ns = max(self._last_block_ns, self._waiting[0].waiting_ns)
        return min(self._free_ns - QUEUED_NS, since_ns + int(BLOCK_NS / LARGE_SHARE))

    def take(self, now_ns: int) -> Transfer | None:
        """Returns the transfer that may send its next block now, if any."""
        if not self._waiting or now_ns < self.next_ns():
            return None
        self._last_block_ns = now_ns
        transfer = heapq.heappop(self._waiting)
        self._hand_over(transfer.size, now_ns)
        return transfer

    def _hand_over(self, size: int, now_ns: int) -> None:
        self.sent_bytes += size
        self._free_ns = max(now_ns, self._free_ns) + int(size / self._rate * NS_PER_S)
        self.longest_queue_ns = max(self.longest_queue_ns, self._free_ns - now_ns)

    def _decay(self, now_ns: int) -> float:
        return math.exp((self._small_ns - now_ns) / SMALL_RATE_NS)
