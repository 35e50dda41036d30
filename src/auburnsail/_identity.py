"""What identifies a node to the others."""

import random
from dataclasses import dataclass

from ._settings import NodeSettings

__all__ = ["NodeIdentity"]


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Name, location and addresses of a node, and the peers that its settings name."""

    node: str
    region: str
    domain: str
    data_address: str
    control_address: str
    store_region: str = ""
    peers: tuple[str, ...] = ()

    @classmethod
    def from_settings(cls, settings: NodeSettings) -> "NodeIdentity":
        """Returns the identity that a node's settings define."""
        return cls(
            node=settings.node,
            region=settings.region,
            domain=settings.domain,
            data_address=settings.data_address,
            control_address=settings.control_address,
            store_region=settings.store_region,
            peers=settings.peers,
        )

    def random_source(self, rng: random.Random) -> str:
        """Returns the address of a random peer, or an empty string for the store.

        While the store is down, only a peer from the settings can supply the logs.
        """
        return rng.choice(("", *self.peers)) if self.peers else ""
