"""Model of links between regions: delay, bandwidth, cuts and counters, without I/O."""

import msgspec

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000


class Conditions(msgspec.Struct, forbid_unknown_fields=True):
    """Network conditions of one direction of a link.

    Attributes:
        delay_ms: One-way delay.
        bytes_per_s: Bandwidth; 0 for no limit.
        cut: Whether the link is interrupted. Streams then wait, since TCP senders would retransmit;
            datagrams are lost.
        loss: Share of datagrams that are lost at random.
    """

    delay_ms: float = 0.0
    bytes_per_s: float = 0.0
    cut: bool = False
    loss: float = 0.0


class Traffic(msgspec.Struct):
    """Counters of the traffic in one direction.

    Attributes:
        stream_bytes: Delivered bytes of TCP streams.
        datagrams: Delivered UDP datagrams.
        datagram_bytes: Delivered bytes of UDP datagrams.
        lost_datagrams: Datagrams lost in a cut, at random or because sending failed.
    """

    stream_bytes: int = 0
    datagrams: int = 0
    datagram_bytes: int = 0
    lost_datagrams: int = 0


class Direction:
    """One direction of a link, shared by all its streams and datagrams."""

    def __init__(self) -> None:
        self._busy_until_ns = 0
        self.conditions = Conditions()
        self.traffic = Traffic()

    def schedule(self, size: int, now_ns: int) -> int:
        """Queues bytes on the link behind all earlier bytes and returns their delivery time.

        Args:
            size: Number of bytes.
            now_ns: Current time on a monotonic clock.
        """
        bytes_per_s = self.conditions.bytes_per_s
        start_ns = max(now_ns, self._busy_until_ns)
        self._busy_until_ns = start_ns + (int(size / bytes_per_s * NS_PER_S) if bytes_per_s else 0)
        return self._busy_until_ns + int(self.conditions.delay_ms * NS_PER_MS)


class Link:
    """A link between two regions.

    Attributes:
        forward: Direction from the clients of a relay port to its target.
        back: Direction from the target to the clients.
    """

    def __init__(self) -> None:
        self.forward = Direction()
        self.back = Direction()


class Relay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one relay port.

    Attributes:
        listen: ``ip:port`` to listen on, for TCP and UDP.
        target: ``ip:port`` to which the traffic is relayed.
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
        conditions: The new conditions.
        directions: ``both``, ``forward`` or ``back``.
    """

    link: str
    conditions: Conditions
    directions: str = "both"
