"""Estimates of the load that large answers put on the VM's link. No I/O.

Load pattern: answers of 90 kB at a higher rate than a link of 7.5 Mbit/s carries, some from the
local upstream and some that the node relays from other nodes to its callers, mixed with requests
whose short answers share the link. Waiting for the link must not occupy a slot of the upstream that
another request could use, and a request whose answer cannot cross the link in time must not be sent
to any upstream.
"""

import contextlib
from collections import Counter
from collections.abc import Iterator

from ._clock import NS_PER_S
from ._link_pacer import LinkPacer

__all__ = ["LINK_FULL", "LinkUsage"]

# Reason token of a refusal by the node that received the request: the answer crosses this node's
# link whichever upstream serves it.
LINK_FULL = "link-full"
# Weight of a new sample in the moving average of the answer size.
SIZE_GAIN = 0.1


class LinkUsage:
    """Estimates how long answers occupy the link, by kind of request.

    Args:
        pacer: Model of the link.
    """

    def __init__(self, pacer: LinkPacer | None = None) -> None:
        self._pacer = pacer or LinkPacer()
        self._mean_bytes: dict[str, float] = {}
        self._unsent_answers: Counter[str] = Counter()

    def begin(self, kind: str) -> None:
        """Records that an upstream starts to run a request whose answer will cross the link."""
        self._unsent_answers[kind] += 1

    def on_answer_sent(self, kind: str) -> None:
        """Records that the answer has been sent, or that there is none."""
        self._unsent_answers[kind] -= 1
        if not self._unsent_answers[kind]:
            # Each route is a kind of its own, and a fleet can have thousands of routes.
            del self._unsent_answers[kind]

    @contextlib.contextmanager
    def relaying(self, kind: str) -> Iterator[None]:
        """Accounts for an answer of another node's upstream while it is relayed to a caller."""
        self.begin(kind)
        try:
            yield
        finally:
            self.on_answer_sent(kind)

    def add_sample(self, kind: str, answer_bytes: int) -> None:
        """Records the size of an answer in bytes."""
        mean = self._mean_bytes.get(kind, float(answer_bytes))
        self._mean_bytes[kind] = mean + SIZE_GAIN * (answer_bytes - mean)

    def transfer_ns(self, kind: str, now_ns: int) -> float:
        """Returns the transmission time of an answer in nanoseconds, 0 for a small answer."""
        return self._busy_ns(self._large_bytes(kind), now_ns)

    def queue_delay_ns(self, kind: str, queued_ahead: int, now_ns: int) -> float:
        """Returns the time in nanoseconds that large answers occupy the link before a new answer.

        Args:
            kind: Kind of the new request; the result is 0 if its answers are small.
            queued_ahead: Requests of the kind that wait for a slot ahead of it.
            now_ns: The current time in nanoseconds.
        """
        size = self._large_bytes(kind)
        if not size:
            return 0.0
        unsent = sum(
            count * self._large_bytes(unsent_kind)
            for unsent_kind, count in self._unsent_answers.items()
        )
        return self._busy_ns(unsent + queued_ahead * size, now_ns)

    def lateness_ns(self, kind: str, due_ns: int, now_ns: int) -> float:
        """Returns the expected lateness in nanoseconds; 0 or negative if the answer is in time."""
        transfer_ns = self.transfer_ns(kind, now_ns)
        if not transfer_ns:
            return 0.0
        return now_ns + self.queue_delay_ns(kind, 0, now_ns) + transfer_ns - due_ns

    def _large_bytes(self, kind: str) -> float:
        mean = self._mean_bytes.get(kind, 0.0)
        return mean if self._pacer.is_large(int(mean)) else 0.0

    def _busy_ns(self, size: float, now_ns: int) -> float:
        return size / self._pacer.large_bytes_per_s(now_ns) * NS_PER_S if size else 0.0
