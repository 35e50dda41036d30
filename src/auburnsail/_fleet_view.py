"""The fleet as operators' programs see it: folded from the store, and asked of its nodes."""

from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import quote

import gevent.pool
import msgspec

from ._fleet import FleetState
from ._log import VersionedLog
from ._model import decode_entry
from ._pool import HttpPeer
from ._settings import TreeSettings
from ._settle import Patience, until_definite
from ._store import TableStore
from .exceptions import AuburnsailError, RefusedError, StoreUnavailableError

__all__ = ["FLEET_LOG", "NodeAnswer", "ask_node", "ask_nodes", "read_fleet", "target"]

FLEET_LOG = "fleet"
ASK_TIMEOUT_S = 1.0
ASKED_AT_ONCE = 64


@dataclass(frozen=True, slots=True)
class NodeAnswer:
    """A node's answer, or why there is none."""

    address: str
    content: dict
    error: str = ""


def target(path: str, **query: str) -> str:
    """Returns a request target with an encoded query."""
    pairs = "&".join(f"{name}={quote(value, safe='')}" for name, value in query.items())
    return f"{path}?{pairs}" if pairs else path


def ask_node(address: str, request_target: str, timeout_s: float = ASK_TIMEOUT_S) -> object:
    """Returns the decoded answer of a node's control HTTP server.

    Raises:
        StoreUnavailableError: The node did not answer.
        RefusedError: The node answered with an error.
    """
    try:
        answer = HttpPeer(address).fetch("GET", request_target, timeout_s=timeout_s)
    except AuburnsailError as error:
        raise StoreUnavailableError(
            f"the node does not answer: {error.detail}", step="node.ask", peer=address
        ) from error
    if answer.status != 200:
        detail = (
            f"status {answer.status} for {request_target}: {answer.body.decode(errors='replace')}"
        )
        raise RefusedError(detail, step="node.ask", peer=address)
    try:
        return msgspec.json.decode(answer.body)
    except msgspec.DecodeError as error:
        raise RefusedError(f"not JSON: {error}", step="node.ask", peer=address) from error


def ask_nodes(addresses: Iterable[str], request_target: str) -> list[NodeAnswer]:
    """Asks many nodes, a bounded number of them at once."""

    def ask(address: str) -> NodeAnswer:
        try:
            return NodeAnswer(address, ask_node(address, request_target))
        except AuburnsailError as error:
            return NodeAnswer(address, {}, error.detail)

    return gevent.pool.Pool(ASKED_AT_ONCE).map(ask, addresses)


def read_fleet(store: TableStore, tree: TreeSettings, patience: Patience) -> FleetState:
    """Returns the state of the fleet, folded from its log in the store."""
    fleet = FleetState()
    for name, service in tree.services.items():
        if service.keyed:
            fleet.add_service(name, service.shards)
    log = VersionedLog(store, FLEET_LOG)
    while records := until_definite(lambda: log.read_after(fleet.version), patience):
        for record in records:
            fleet.apply(decode_entry(record.data))
    return fleet
