"""Lifetimes of the local upstream that have said that they leave. No I/O; time is passed in."""

__all__ = ["Departures"]

# Reports arrive seconds late, so only the newest lifetimes matter.
MAX_LIFETIMES = 16
LONG_AGO_NS = -(1 << 62)


class Departures:
    """Remembers which lifetimes leave and since when.

    A departure is final: a report that arrives after it does not bring its lifetime back into use.
    """

    def __init__(self) -> None:
        self._since_ns: dict[str, int] = {}

    def __contains__(self, lifetime: str) -> bool:
        return lifetime in self._since_ns

    def record(self, lifetime: str, now_ns: int) -> None:
        """Records that a lifetime leaves, unless this is known; an empty lifetime is ignored."""
        if not lifetime or lifetime in self._since_ns:
            return
        self._since_ns[lifetime] = now_ns
        if len(self._since_ns) > MAX_LIFETIMES:
            del self._since_ns[next(iter(self._since_ns))]

    def record_earlier(self, lifetime: str) -> None:
        """Records that a lifetime said to an earlier process of the node that it leaves.

        When it did is not known, so it gets no further requests.
        """
        self.record(lifetime, LONG_AGO_NS)

    def age_ns(self, lifetime: str, now_ns: int) -> int | None:
        """Returns how long ago a lifetime said that it leaves, None if it did not."""
        since_ns = self._since_ns.get(lifetime)
        return None if since_ns is None else now_ns - since_ns
