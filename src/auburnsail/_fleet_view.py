"""Access of operator tools to the fleet: its state from the store, and requests to its nodes."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import quote

import gevent.pool
import msgspec

from ._checkpoint import CHECKPOINT_PREFIX, restore_fleet
from ._fleet import FleetState
from ._io import LogRecords
from ._messages import Codec
from ._model import decode_entry
from ._pool import HttpPeer
from ._settings import TreeSettings
from ._settings_changes import SettingsChanges
from ._settings_log import decode_tree
from ._store import HttpObjectStore, HttpTableStore, ObjectStore, TableStore
from ._store_retry import RetrySchedule, until_definite
from ._versioned_log import VersionedLog
from .exceptions import AuburnsailError, RefusedError, StoreUnavailableError

__all__ = [
    "FLEET_LOG",
    "NodeAnswer",
    "build_target",
    "node_per_region",
    "push_record",
    "query_node",
    "query_nodes",
    "read_fleet",
]

FLEET_LOG = "fleet"
QUERY_TIMEOUT_S = 1.0
MAX_CONCURRENT_QUERIES = 64


@dataclass(frozen=True, slots=True)
class NodeAnswer:
    """A node's decoded answer, or the error if the node did not answer as expected."""

    address: str
    content: dict
    error: str = ""


def build_target(path: str, **query: str) -> str:
    """Returns an HTTP request target with a percent-encoded query."""
    pairs = "&".join(f"{name}={quote(value, safe='')}" for name, value in query.items())
    return f"{path}?{pairs}" if pairs else path


def query_node(address: str, request_target: str, timeout_s: float = QUERY_TIMEOUT_S) -> object:
    """Returns the decoded JSON answer of a node's control HTTP server.

    Raises:
        StoreUnavailableError: The node did not answer.
        RefusedError: The status is not 200 or the body is not JSON.
    """
    peer = HttpPeer(address)
    try:
        answer = peer.fetch("GET", request_target, timeout_s=timeout_s)
    except AuburnsailError as error:
        raise StoreUnavailableError(
            f"no answer from the node: {error.detail}", step="node.ask", peer=address
        ) from error
    finally:
        peer.drop_idle()
    if answer.status != 200:
        detail = (
            f"status {answer.status} for {request_target}: {answer.body.decode(errors='replace')}"
        )
        raise RefusedError(detail, step="node.ask", peer=address)
    try:
        return msgspec.json.decode(answer.body)
    except msgspec.DecodeError as error:
        raise RefusedError(
            f"the answer is not valid JSON: {error}", step="node.ask", peer=address
        ) from error


def query_nodes(addresses: Iterable[str], request_target: str) -> list[NodeAnswer]:
    """Queries nodes with bounded concurrency; an error becomes part of the answer."""

    def query_one(address: str) -> NodeAnswer:
        try:
            return NodeAnswer(address, query_node(address, request_target))
        except AuburnsailError as error:
            return NodeAnswer(address, {}, error.detail)

    return gevent.pool.Pool(MAX_CONCURRENT_QUERIES).map(query_one, addresses)


def push_record(
    addresses: Iterable[str], version: int, data: bytes, secret: str
) -> list[NodeAnswer]:
    """Sends an accepted settings record to nodes, which announce its version to their peers.

    Args:
        addresses: Control addresses of the nodes.
        version: Version of the record.
        data: The encoded record, as in the store.
        secret: Shared secret of the fleet, which authenticates the message.

    Returns:
        The answers of the nodes that did not accept the record, with the error.
    """
    records = msgspec.msgpack.encode(LogRecords([(version, data)]))
    body = Codec(secret, 0).sign(records)

    def push_one(address: str) -> NodeAnswer:
        peer = HttpPeer(address)
        try:
            answer = peer.fetch("POST", "/v1/settings", body, timeout_s=QUERY_TIMEOUT_S)
        except AuburnsailError as error:
            return NodeAnswer(address, {}, error.detail)
        finally:
            peer.drop_idle()
        return NodeAnswer(address, {}, "" if answer.status == 200 else f"status {answer.status}")

    answers = gevent.pool.Pool(MAX_CONCURRENT_QUERIES).map(push_one, addresses)
    return [answer for answer in answers if answer.error]


def node_per_region(store_url: str, changes: SettingsChanges) -> tuple[str, ...]:
    """Returns a random node's control address per region; empty if the fleet is not readable."""
    try:
        head = changes.history.head()
        tree = decode_tree(head, changes.history.log_record(head).data)
        stores = HttpTableStore(store_url), HttpObjectStore(store_url)
        fleet = read_fleet(*stores, tree, RetrySchedule(0.0))
    except AuburnsailError:
        return ()
    rows = list(fleet.sessions.values())
    random.shuffle(rows)
    return tuple({row.session.region: row.session.control_address for row in rows}.values())


def read_fleet(
    store: TableStore, objects: ObjectStore, tree: TreeSettings, retries: RetrySchedule
) -> FleetState:
    """Returns the state of the fleet from the newest checkpoint and the log entries after it.

    Raises:
        StoreUnavailableError: The log lacks entries that no readable checkpoint covers.
    """
    fleet = FleetState()
    for name, service in tree.services.items():
        if service.keyed:
            fleet.add_service(name, service.shards)
    try:
        keys = objects.keys(CHECKPOINT_PREFIX)
        data = objects.get(keys[-1]) if keys else None
    except StoreUnavailableError:
        # Without a checkpoint the log is read from its start, if the store still has all of it.
        data = None
    if data is not None:
        restore_fleet(fleet, data)
    log = VersionedLog(store, FLEET_LOG)
    while records := until_definite(lambda: log.read_after(fleet.version), retries):
        if records[0].version != fleet.version + 1:
            raise StoreUnavailableError(
                f"the log starts at version {records[0].version} and no readable checkpoint covers "
                "the entries before it",
                step="fleet.read",
            )
        for record in records:
            fleet.apply(decode_entry(record.data))
    return fleet
