"""Pacing of the VM's link: small messages are sent at once, large ones block by block. No I/O.

Load pattern: answers of 90 kB at a higher rate than a link of 7.5 Mbit/s carries, mixed with
small requests, lease renewals and settings of less than 1 kB that must arrive within 0.1 s. All
connections of a VM share the queue of its link, so every byte that a node writes delays the bytes
after it. The pacer models that queue from the bytes written, and releases the next block of a large
message when it is nearly empty.
"""

import heapq
import itertools
import math
from dataclasses import dataclass, field
from enum import IntEnum

from ._clock import NS_PER_MS, NS_PER_S

__all__ = ["BYTES_PER_MBIT", "LinkPacer", "LinkRank", "LinkTransfer"]

BYTES_PER_MBIT = 125_000
# Headers take 40 of the 1,500 bytes of a packet, and acknowledgements 40 bytes for each 3,000 bytes
# received.
PAYLOAD_FRACTION = 0.95
# A message that occupies the link for at least this long is split into blocks, because it would
# noticeably delay the small messages behind it.
LARGE_MESSAGE_NS = 50 * NS_PER_MS
# Transmission time of one block, and the queue length at which the next block is written. Their sum
# is the maximum delay of a small message. The threshold keeps the link busy when timers fire a few
# milliseconds late.
BLOCK_NS = 15 * NS_PER_MS
REFILL_THRESHOLD_NS = 10 * NS_PER_MS
# Minimum fraction of the link for large messages; small ones could fill the link for a long time.
MIN_LARGE_FRACTION = 0.1
# Averaging time of the rate of small messages.
SMALL_RATE_WINDOW_NS = NS_PER_S


class LinkRank(IntEnum):
    """Priority of a large message; the lowest value is sent first."""

    CONTROL = 0
    REQUEST = 1


@dataclass(slots=True, order=True)
class LinkTransfer:
    """A large message that is sent in blocks.

    Attributes:
        rank: Priority of the message.
        number: Sequence number; within a rank, transfers are completed one after another in this
            order.
        size: Size of the next block in bytes.
        waiting_since_ns: Time since which the next block waits.
    """

    rank: LinkRank
    number: int
    size: int = field(default=0, compare=False)
    waiting_since_ns: int = field(default=0, compare=False)


class LinkPacer:
    """Models the queue of the VM's link and schedules the blocks of large messages.

    Args:
        bytes_per_s: Bandwidth of the link in each direction, 0 if unknown; then no message waits.

    Attributes:
        large_message_bytes: Size from which a message is sent in blocks.
        block_bytes: Size of one block.
        sent_bytes: Bytes written so far; 0 if the bandwidth is unknown.
        longest_queue_ns: Longest transmission time that the queue has had.
    """

    def __init__(self, bytes_per_s: float = 0.0) -> None:
        self._bytes_per_s = bytes_per_s * PAYLOAD_FRACTION
        self._busy_until_ns = 0
        self._small_bytes = 0.0
        self._small_updated_ns = 0
        self._numbers = itertools.count()
        self._waiting: list[LinkTransfer] = []
        self._last_block_ns = 0
        self.large_message_bytes = max(1, int(self._bytes_per_s * LARGE_MESSAGE_NS / NS_PER_S))
        self.block_bytes = max(1, int(self._bytes_per_s * BLOCK_NS / NS_PER_S))
        self.sent_bytes = 0
        self.longest_queue_ns = 0

    @property
    def waiting(self) -> int:
        """Number of large messages whose next block waits."""
        return len(self._waiting)

    def is_large(self, size: int) -> bool:
        """Returns whether a message of `size` bytes must be sent in blocks."""
        return self._bytes_per_s > 0 and size >= self.large_message_bytes

    def queue_ns(self, now_ns: int) -> int:
        """Returns the time in nanoseconds until the link has sent all bytes written so far."""
        return max(0, self._busy_until_ns - now_ns)

    def large_bytes_per_s(self, now_ns: int) -> float:
        """Returns the bandwidth for large messages in bytes per second, 0 if unknown."""
        recent_bytes = self._small_bytes * self._decay(now_ns)
        return max(
            MIN_LARGE_FRACTION * self._bytes_per_s,
            self._bytes_per_s - recent_bytes * NS_PER_S / SMALL_RATE_WINDOW_NS,
        )

    def record_small(self, size: int, now_ns: int) -> None:
        """Records the bytes of a small message, which is written without waiting."""
        if not self._bytes_per_s:
            return
        self._small_bytes = self._small_bytes * self._decay(now_ns) + size
        self._small_updated_ns = now_ns
        self._add_to_queue(size, now_ns)

    def begin(self, rank: LinkRank) -> LinkTransfer:
        """Creates the transfer of a new large message."""
        return LinkTransfer(rank, next(self._numbers))

    def wait(self, transfer: LinkTransfer, size: int, now_ns: int) -> None:
        """Queues the next block, of `size` bytes, of a transfer."""
        transfer.size = size
        transfer.waiting_since_ns = now_ns
        heapq.heappush(self._waiting, transfer)

    def withdraw(self, transfer: LinkTransfer) -> None:
        """Removes a transfer from the queue."""
        self._waiting = [other for other in self._waiting if other is not transfer]
        heapq.heapify(self._waiting)

    def next_block_ns(self) -> int:
        """Returns the time at which the first transfer in the queue may send its next block."""
        reference_ns = max(self._last_block_ns, self._waiting[0].waiting_since_ns)
        return min(
            self._busy_until_ns - REFILL_THRESHOLD_NS,
            reference_ns + int(BLOCK_NS / MIN_LARGE_FRACTION),
        )

    def pop_ready(self, now_ns: int) -> LinkTransfer | None:
        """Removes and returns the transfer that may send its next block now, if any."""
        if not self._waiting or now_ns < self.next_block_ns():
            return None
        self._last_block_ns = now_ns
        transfer = heapq.heappop(self._waiting)
        self._add_to_queue(transfer.size, now_ns)
        return transfer

    def _add_to_queue(self, size: int, now_ns: int) -> None:
        self.sent_bytes += size
        self._busy_until_ns = max(now_ns, self._busy_until_ns) + int(
            size / self._bytes_per_s * NS_PER_S
        )
        self.longest_queue_ns = max(self.longest_queue_ns, self._busy_until_ns - now_ns)

    def _decay(self, now_ns: int) -> float:
        return math.exp((self._small_updated_ns - now_ns) / SMALL_RATE_WINDOW_NS)
