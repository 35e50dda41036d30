"""The connection pools of a node, one for each peer to which it has sent requests."""

from collections.abc import Callable

from ._clock import NS_PER_MS, Clock
from ._link_sender import LinkSender
from ._pool import MAX_IDLE_NS, HttpPeer
from ._sockets import endpoint

__all__ = ["PeerTable"]

# A node of a large fleet sends requests to thousands of peers, and each idle connection uses a file
# descriptor on both sides.
MAX_IDLE_CONNECTIONS_TOTAL = 1024
# Longer than usual requests, so that their connections can still return to the pool.
UNUSED_PEER_EXPIRY_NS = 300_000 * NS_PER_MS


class PeerTable:
    """Connection pools by peer address.

    Args:
        clock: Source of time.
        max_idle: Maximum number of idle connections to all peers, enforced by `expire`.
        resolve_address: Returns the address to connect to for the address of a peer.
        link: Schedules sending on the VM's link, or None for no scheduling.
        own_host: IP address of this VM; requests to peers on it do not cross the link.
    """

    def __init__(
        self,
        clock: Clock,
        max_idle: int = MAX_IDLE_CONNECTIONS_TOTAL,
        resolve_address: Callable[[str], str] = str,
        link: LinkSender | None = None,
        own_host: str = "",
    ) -> None:
        self._link = link
        self._own_host = own_host
        self._clock = clock
        self._resolve_address = resolve_address
        self._max_idle = max_idle
        self._peers: dict[str, HttpPeer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def get(self, address: str) -> HttpPeer:
        """Returns the pool for an address, a new one at the first call."""
        peer = self._peers.get(address)
        if peer is None:
            is_local = endpoint(address)[0] == self._own_host
            link = None if is_local else self._link
            peer = self._peers[address] = HttpPeer(
                self._resolve_address(address), self._clock, link=link
            )
        return peer

    def expire(self, now_ns: int) -> None:
        """Closes connections that were idle for too long and removes pools that are not used.

        If more than the maximum remain, the connections that were idle longest are closed.
        """
        age_ns = MAX_IDLE_NS
        while True:
            idle_count = sum(peer.expire_idle(now_ns - age_ns) for peer in self._peers.values())
            if idle_count <= self._max_idle or not age_ns:
                break
            age_ns //= 2
        limit_ns = now_ns - UNUSED_PEER_EXPIRY_NS
        for address in [a for a, peer in self._peers.items() if peer.last_opened_ns < limit_ns]:
            self._peers.pop(address).drop_idle()

    def drop_idle(self) -> None:
        """Closes all idle connections."""
        for peer in self._peers.values():
            peer.drop_idle()
