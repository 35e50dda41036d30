"""Hands bytes to the VM's link in the order that `LinkOrder` decides, and shows how full it is."""

from collections.abc import Callable, Iterator

import gevent
from gevent.event import Event

from ._clock import NS_PER_MS, NS_PER_S, Clock
from ._link_order import LinkOrder, LinkRank, Transfer

__all__ = ["LinkSender", "Message"]

# Calls have objectives of 0.1 to 0.2 s, and a lease is renewed each 0.2 s.
FULL_QUEUE_NS = 100 * NS_PER_MS


class Message:
    """One message on its way; `LinkSender.begin` returns it.

    Args:
        sender: The VM's link.
        transfer: Its place among large messages, None if it is small.
    """

    __slots__ = ("_sender", "_transfer")

    def __init__(self, sender: "LinkSender", transfer: Transfer | None) -> None:
        self._sender = sender
        self._transfer = transfer

    def send(self, write: Callable[[bytes | memoryview], None], data: bytes) -> None:
        """Hands a part of the message over; a large one in blocks, each when its turn comes.

        Args:
            write: Hands bytes to the system; may wait and may raise.
            data: The part.
        """
        if self._transfer is None:
            self._sender.note(len(data))
            write(data)
            return
        for block in self.blocks(data):
            write(block)

    def blocks(self, data: bytes) -> Iterator[bytes | memoryview]:
        """Yields a part of the message in blocks, each when it may be handed over."""
        if self._transfer is None:
            self._sender.note(len(data))
            yield data
            return
        view, size = memoryview(data), self._sender.block_bytes
        for start in range(0, len(data), size):
            block = view[start : start + size]
            self._sender.wait_turn(self._transfer, len(block))
            yield block

    def cancel(self) -> None:
        """Ends the wait for a turn, because the connection is closed."""
        if self._transfer is not None:
            self._sender.end_wait(self._transfer)


class LinkSender:
    """Everything that leaves the VM passes here.

    Args:
        order: Models the link and decides the order.
        clock: Source of time.

    Attributes:
        order: Models the link and decides the order.
    """

    def __init__(self, order: LinkOrder, clock: Clock) -> None:
        self.order = order
        self._clock = clock
        self._is_full = False
        self._turns: dict[int, Event] = {}
        self._is_pumping = False

    @property
    def block_bytes(self) -> int:
        """Bytes of a large message that are handed over at once."""
        return self.order.block_bytes

    def note(self, size: int) -> None:
        """Notes bytes that are handed over at once."""
        self.order.pass_small(size, self._clock.now_ns())

    def begin(self, size: int, rank: LinkRank = LinkRank.REQUEST) -> Message:
        """Returns a message of a size that is to be sent."""
        is_large = self.order.is_large(size)
        return Message(self, self.order.begin(rank) if is_large else None)

    def wait_turn(self, transfer: Transfer, size: int) -> None:
        """Waits until a block of a large message may be handed over."""
        event = self._turns[transfer.number] = Event()
        self.order.wait(transfer, size, self._clock.now_ns())
        if not self._is_pumping:
            self._is_pumping = True
            gevent.spawn(self._pump)
        try:
            event.wait()
        finally:
            self.end_wait(transfer)

    def end_wait(self, transfer: Transfer) -> None:
        """Ends the wait of a large message, if it waits."""
        event = self._turns.pop(transfer.number, None)
        if event is not None and not event.is_set():
            self.order.withdraw(transfer)
            event.set()

    def check(self, now_ns: int) -> str:
        """Returns what changed since the last check, empty if nothing did."""
        was_full, self._is_full = self._is_full, self.order.queue_ns(now_ns) > FULL_QUEUE_NS
        if was_full == self._is_full:
            return ""
        return "full" if self._is_full else "has room again"

    def facts(self) -> dict[str, float]:
        """Returns the state of the link for the log and the metrics address."""
        queue_ms = self.order.queue_ns(self._clock.now_ns()) // NS_PER_MS
        return {
            "link_queue_ms": queue_ms,
            "link_longest_queue_ms": self.order.longest_queue_ns // NS_PER_MS,
            "link_sent_bytes": self.order.sent_bytes,
            "link_waiting": self.order.waiting,
        }

    def _pump(self) -> None:
        """Gives turns while any large message waits for one."""
        try:
            while self.order.waiting:
                now_ns = self._clock.now_ns()
                transfer = self.order.take(now_ns)
                if transfer is not None:
                    self._turns[transfer.number].set()
                    continue
                gevent.sleep(max(0, self.order.next_ns() - now_ns) / NS_PER_S)
        finally:
            self._is_pumping = False
