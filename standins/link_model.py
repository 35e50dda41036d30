"""Links between regions: delay, bandwidth, cuts and counters, without any I/O."""

import msgspec

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000


class Conditions(msgspec.Struct, forbid_unknown_fields=True):
    """What a link does to the bytes of one direction.

    Attributes:
        delay_ms: One-way delay.
        bytes_per_s: Bandwidth; 0 for no limit.
        cut: Nothing passes. Streams wait, as their senders would retransmit; datagrams are lost.
        loss: Share of datagrams that are lost.
    """

    delay_ms: float = 0.0
    bytes_per_s: float = 0.0
    cut: bool = False
    loss: float = 0.0


class Traffic(msgspec.Struct):
    """What passed in one direction.

    Attributes:
        stream_bytes: Bytes of TCP streams.
        datagrams: UDP datagrams.
        datagram_bytes: Bytes of UDP datagrams.
        lost_datagrams: Datagrams lost in a cut or at random.
    """

    stream_bytes: int = 0
    datagrams: int = 0
    datagram_bytes: int = 0
    lost_datagrams: int = 0


class Direction:
    """One direction of a link, shared by all its streams and datagrams."""

    def __init__(self) -> None:
        self._free_ns = 0
        self.conditions = Conditions()
        self.traffic = Traffic()

    def due_ns(self, size: int, now_ns: int) -> int:
        """Returns when bytes that enter the link now leave it, after all bytes before them.

        Args:
            size: Number of bytes.
            now_ns: The current time.
        """
        rate = self.conditions.bytes_per_s
        start_ns = max(now_ns, self._free_ns)
        self._free_ns = start_ns + (int(size / rate * NS_PER_S) if rate else 0)
        return self._free_ns + int(self.conditions.delay_ms * NS_PER_MS)


class Link:
    """A link between two regions.

    Attributes:
        forward: From the side that connects to a relay port to the target behind the port.
        back: From the target.
    """

    def __init__(self) -> None:
        self.forward = Direction()
        self.back = Direction()


class Relay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One relay port.

    Attributes:
        listen: ``ip:port`` that is relayed, for TCP and UDP.
        target: ``ip:port`` behind it.
        link: Name of the link that its traffic crosses.
    """

    listen: str
    target: str
    link: str


class LinkSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings file of the link stand-in.

    Attributes:
        relays: The relay ports.
        links: Conditions of each link at the start, the same in both directions.
    """

    relays: tuple[Relay, ...]
    links: dict[str, Conditions] = {}


class LinkChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /admin/links``: new conditions of one link.

    Attributes:
        link: Name of the link.
        conditions: Conditions in force from now on.
        directions: ``both``, ``forward`` or ``back``.
    """

    link: str
    conditions: Conditions
    directions: str = "both"
