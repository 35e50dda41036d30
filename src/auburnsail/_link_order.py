"""What is queued for the VM's link, modelled from the bytes that the node hands over. No I/O.

All connections of a VM share the queue of its link, so whatever a node hands to the system delays
everything that follows. The system does not tell how long that queue is.
"""

from ._clock import NS_PER_S

__all__ = ["BYTES_PER_MBIT", "LinkOrder"]

BYTES_PER_MBIT = 125_000
# The rest is for the headers of packets and for acknowledgements of what arrives: 40 of 1,500 bytes each.
PAYLOAD_SHARE = 0.92


class LinkOrder:
    """Models the queue of the VM's link.

    Args:
        bytes_per_s: What the link carries each way, 0 if that is not known; then nothing is queued.
    """

    def __init__(self, bytes_per_s: float = 0.0) -> None:
        self._rate = bytes_per_s * PAYLOAD_SHARE
        self._free_ns = 0
        self.sent_bytes = 0
        self.longest_queue_ns = 0

    def queue_ns(self, now_ns: int) -> int:
        """Returns how long the link is busy with what was handed over."""
        return max(0, self._free_ns - now_ns)

    def pass_small(self, size: int, now_ns: int) -> None:
        """Notes bytes that are handed over at once."""
        if not self._rate:
            return
        self.sent_bytes += size
        self._free_ns = max(now_ns, self._free_ns) + int(size / self._rate * NS_PER_S)
        self.longest_queue_ns = max(self.longest_queue_ns, self._free_ns - now_ns)
