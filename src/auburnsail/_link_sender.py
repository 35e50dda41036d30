"""Sends messages over the VM's link at the pace of `LinkPacer`, and reports congestion."""

from collections.abc import Callable, Iterator

import gevent
from gevent.event import Event

from . import _supervision
from ._clock import NS_PER_MS, NS_PER_S, Clock
from ._link_pacer import LinkPacer, LinkRank, LinkTransfer

__all__ = ["LinkSender", "OutgoingMessage"]

# The link counts as full above this: requests have latency objectives of 0.1 to 0.2 s, and a lease
# is renewed every 0.2 s.
FULL_LINK_QUEUE_NS = 100 * NS_PER_MS


class OutgoingMessage:
    """A message that is being sent; created by `LinkSender.begin`.

    Args:
        sender: Sender on the VM's link.
        transfer: Transfer of a large message, None for a small one.
    """

    __slots__ = ("_sender", "_transfer")

    def __init__(self, sender: "LinkSender", transfer: LinkTransfer | None) -> None:
        self._sender = sender
        self._transfer = transfer

    @property
    def is_large(self) -> bool:
        """Whether the message is sent in paced blocks."""
        return self._transfer is not None

    @property
    def is_waiting(self) -> bool:
        """Whether the next block waits for its turn."""
        return self._transfer is not None and self._sender.is_waiting(self._transfer)

    def send(self, write: Callable[[bytes | memoryview], None], data: bytes) -> None:
        """Writes a part of the message; blocks until all of it is written.

        Args:
            write: Writes bytes to the socket; may block and may raise.
            data: A part of the message; that of a large message is written in paced blocks.
        """
        if self._transfer is None:
            self._sender.record_sent(len(data))
            write(data)
            return
        for block in self.blocks(data):
            write(block)

    def blocks(self, data: bytes) -> Iterator[bytes | memoryview]:
        """Yields the blocks of a part of the message, each at the time when it may be written."""
        if self._transfer is None:
            self._sender.record_sent(len(data))
            yield data
            return
        view, size = memoryview(data), self._sender.block_bytes
        for start in range(0, len(data), size):
            block = view[start : start + size]
            self._sender.wait_for_turn(self._transfer, len(block))
            yield block

    def cancel(self) -> None:
        """Stops waiting for the next block, because the connection is closed."""
        if self._transfer is not None:
            self._sender.stop_waiting(self._transfer)


class LinkSender:
    """Accounts for and paces all bytes that leave the VM.

    Args:
        pacer: Model of the link and schedule of large messages.
        clock: Source of time.

    Attributes:
        pacer: Model of the link and schedule of large messages.
    """

    def __init__(self, pacer: LinkPacer, clock: Clock) -> None:
        self.pacer = pacer
        self._clock = clock
        self._is_full = False
        self._ready_events: dict[int, Event] = {}
        self._is_releasing = False

    @property
    def block_bytes(self) -> int:
        """Size of a block of a large message in bytes."""
        return self.pacer.block_bytes

    def record_sent(self, size: int) -> None:
        """Records the bytes of a small message, which is written without waiting."""
        self.pacer.record_small(size, self._clock.now_ns())

    def begin(self, size: int, rank: LinkRank = LinkRank.REQUEST) -> OutgoingMessage:
        """Creates a message of `size` bytes."""
        is_large = self.pacer.is_large(size)
        return OutgoingMessage(self, self.pacer.begin(rank) if is_large else None)

    def wait_for_turn(self, transfer: LinkTransfer, size: int) -> None:
        """Blocks until the next block of a large message may be written."""
        event = self._ready_events[transfer.number] = Event()
        self.pacer.wait(transfer, size, self._clock.now_ns())
        if not self._is_releasing:
            self._is_releasing = True
            _supervision.spawn("link.release", self._release_blocks)
        try:
            event.wait()
        finally:
            self.stop_waiting(transfer)

    def is_waiting(self, transfer: LinkTransfer) -> bool:
        """Returns whether the next block of a transfer waits for its turn."""
        return transfer.number in self._ready_events

    def stop_waiting(self, transfer: LinkTransfer) -> None:
        """Stops waiting for the next block of a transfer; does nothing if it is not waiting."""
        event = self._ready_events.pop(transfer.number, None)
        if event is not None and not event.is_set():
            self.pacer.withdraw(transfer)
            event.set()

    def state_change(self, now_ns: int) -> str:
        """Returns the change of the link's state since the last call, empty if there is none."""
        was_full, self._is_full = self._is_full, self.pacer.queue_ns(now_ns) > FULL_LINK_QUEUE_NS
        if was_full == self._is_full:
            return ""
        return "full" if self._is_full else "has room again"

    def stats(self) -> dict[str, float]:
        """Returns the state of the link for the log and the metrics address."""
        queue_ms = self.pacer.queue_ns(self._clock.now_ns()) // NS_PER_MS
        return {
            "link_queue_ms": queue_ms,
            "link_longest_queue_ms": self.pacer.longest_queue_ns // NS_PER_MS,
            "link_sent_bytes": self.pacer.sent_bytes,
            "link_waiting": self.pacer.waiting,
        }

    def _release_blocks(self) -> None:
        """Releases blocks until no large message waits."""
        try:
            while self.pacer.waiting:
                now_ns = self._clock.now_ns()
                transfer = self.pacer.pop_ready(now_ns)
                if transfer is not None:
                    self._ready_events[transfer.number].set()
                    continue
                gevent.sleep(max(0, self.pacer.next_block_ns() - now_ns) / NS_PER_S)
        finally:
            self._is_releasing = False
