"""HTTP interface of a node's control address: for the local upstream, peer nodes and operators."""

from collections.abc import Callable, Iterable
from typing import Protocol
from urllib.parse import parse_qs

import msgspec

from ._checked_input import Count, Name, check_address, decode_json, decode_msgpack
from ._control_server import read_body
from ._holds import HeldRange
from ._io import LogRecords
from ._link_pacer import LinkRank
from ._link_sender import LinkSender
from ._messages import Codec
from ._model import Handover
from ._packing import pack

__all__ = ["Announcement", "ControlApplication", "ControlledNode", "born_of", "lifetime_of"]

MAX_BODY_BYTES = 8 << 20

STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    403: "403 Forbidden",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    410: "410 Gone",
    413: "413 Content Too Large",
    503: "503 Service Unavailable",
}


class Announcement(msgspec.Struct, frozen=True):
    """State that an upstream reports to the node on its VM.

    Attributes:
        service: Service that the upstream belongs to.
        address: ``ip:port`` of the upstream.
        slots: Number of requests that the upstream runs concurrently.
        connections: Maximum number of connections, 0 if unknown.
        state: ``ready`` or ``draining``.
        checks_grants: Whether the upstream refuses requests without a valid grant.
        load: Number of busy slots; the value may be late or wrong.
        instance: Instance id that the upstream checks if a request names one, empty for none.
        born_ms: Start time of the upstream process in Unix milliseconds, 0 if unknown.
        sequence: Report number, increasing within one process; 0 if reports are not numbered.
        cold_ms: Remaining time in milliseconds until the upstream's cold start is over.
        holds: Key ranges that the upstream holds.
        freed: Key ranges released since the last acknowledged report.
    """

    service: Name
    address: Name
    slots: Count
    connections: Count = 0
    state: str = "ready"
    checks_grants: bool = True
    load: float = 0.0
    instance: str = ""
    born_ms: Count = 0
    sequence: Count = 0
    cold_ms: Count = 0
    holds: tuple[HeldRange, ...] = ()
    freed: tuple[Handover, ...] = ()

    @property
    def lifetime(self) -> str:
        """Identifies one process of the upstream across restarts, empty if `born_ms` is unknown."""
        return lifetime_of(self.instance, self.born_ms) if self.born_ms else ""


def lifetime_of(instance: str, born_ms: int) -> str:
    """Returns the identifier of one process of an upstream."""
    return f"{instance}@{born_ms}"


def born_of(lifetime: str) -> int:
    """Returns the start in Unix milliseconds that a lifetime states, 0 if it states none."""
    born = lifetime.rpartition("@")[2]
    return int(born) if born.isascii() and born.isdecimal() else 0


class ControlledNode(Protocol):
    """Operations of a node that `ControlApplication` calls."""

    def announce(self, announcement: Announcement) -> None:
        """Applies an upstream's announcement; an outdated one is ignored."""

    def status(self) -> dict:
        """Returns the content of the status report, which is sent as JSON."""

    def violation(self) -> str:
        """Returns the detail of the first invariant violation, empty if there was none."""

    def log_after(self, log: str, version: int) -> list[tuple[int, bytes]] | None:
        """Returns a log's records after a version, or None if they are no longer kept.

        A record is a pair of version and content. The version is 0 for entries of the fleet log,
        because their content includes it.
        """

    def checkpoint(self) -> bytes:
        """Returns the fleet's state, encoded as a checkpoint."""

    def on_message(self, data: bytes, address: str) -> None:
        """Handles a message that was too large for a datagram."""

    def on_settings_push(self, records: list[tuple[int, bytes]]) -> None:
        """Applies settings records that the operator's command line pushed."""

    def poll(self) -> None:
        """Schedules an immediate fetch of both logs, for example after an operator's change."""

    def load(self) -> bytes:
        """Returns the node's load, signed with the fleet secret."""

    def reserve(self, body: bytes) -> bytes | None:
        """Returns the reply to a reservation request, or None if its signature is invalid."""

    def drain(self, reason: str) -> None:
        """Starts to move all shards to other nodes; the session ends afterwards."""

    def move(self, target: str, count: int) -> int:
        """Starts to move shards to another node of the same service.

        Args:
            target: Name of the target node.
            count: Maximum number of shards.

        Returns:
            Number of shards that move.

        Raises:
            ValueError: The target is not an open node of this node's service.
        """

    def journal(self, after: int) -> list:
        """Returns the journal items that follow item number `after`."""

    def explain(self, service: str, key: str) -> dict:
        """Returns the owner of a key and the decisions that led to it."""


ControlAnswer = tuple[int, bytes]


class ControlApplication:
    """WSGI application of the control address.

    Args:
        node: The node that carries out the operations.
        codec: Signs and verifies bodies with the fleet secret.
        link: Paces answers on the VM's network link.
    """

    def __init__(self, node: ControlledNode, codec: Codec, link: LinkSender) -> None:
        self._link = link
        self._node = node
        self._codec = codec
        self._routes: dict[tuple[str, str], Callable[[dict, bytes], ControlAnswer]] = {
            ("POST", "/v1/announce"): self._announce,
            ("POST", "/v1/message"): self._message,
            ("POST", "/v1/settings"): self._settings,
            ("POST", "/v1/drain"): self._drain,
            ("POST", "/v1/poll"): self._poll,
            ("POST", "/v1/move"): self._move,
            ("GET", "/v1/load"): lambda query, body: (200, node.load()),
            ("POST", "/v1/reserve"): self._reserve,
            ("GET", "/v1/status"): lambda query, body: _json(node.status()),
            ("GET", "/v1/health"): self._health,
            ("GET", "/v1/log/fleet"): lambda query, body: self._log("fleet", query),
            ("GET", "/v1/log/settings"): lambda query, body: self._log("settings", query),
            ("GET", "/v1/checkpoint"): lambda query, body: (
                200,
                codec.sign(pack(node.checkpoint())),
            ),
            ("GET", "/v1/journal"): self._journal,
            ("GET", "/v1/explain"): self._explain,
        }
        self._paths = {path for _, path in self._routes}

    def __call__(self, environ: dict, start_response) -> Iterable[bytes]:
        """Serves one WSGI request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        route = self._routes.get((method, path))
        if int(environ.get("CONTENT_LENGTH") or 0) > MAX_BODY_BYTES:
            status, body = 413, b"body too large"
        elif route is None:
            status, body = (405 if path in self._paths else 404), b"no such operation"
        else:
            query = {name: values[0] for name, values in parse_qs(environ["QUERY_STRING"]).items()}
            try:
                status, body = route(query, read_body(environ, "control"))
            except (msgspec.DecodeError, KeyError, ValueError) as error:
                status, body = 400, str(error).encode(errors="replace")
        start_response(STATUS_LINES[status], [("content-length", str(len(body)))])
        message = self._link.begin(len(body), LinkRank.CONTROL)
        return (bytes(block) for block in message.blocks(body))

    def _announce(self, query: dict, body: bytes) -> ControlAnswer:
        announcement = decode_json(body, Announcement, "announcement")
        check_address(announcement.address)
        self._node.announce(announcement)
        return 200, b"{}"

    def _message(self, query: dict, body: bytes) -> ControlAnswer:
        self._node.on_message(body, "")
        return 200, b"{}"

    def _settings(self, query: dict, body: bytes) -> ControlAnswer:
        content = self._codec.verify(body)
        if content is None:
            return 403, b"wrong tag"
        self._node.on_settings_push(decode_msgpack(content, LogRecords, "settings-push").records)
        return 200, b"{}"

    def _drain(self, query: dict, body: bytes) -> ControlAnswer:
        self._node.drain(query.get("reason", "operator"))
        return 200, b"{}"

    def _poll(self, query: dict, body: bytes) -> ControlAnswer:
        self._node.poll()
        return 200, b"{}"

    def _move(self, query: dict, body: bytes) -> ControlAnswer:
        return _json({"moving": self._node.move(query["target"], int(query["shards"]))})

    def _reserve(self, query: dict, body: bytes) -> ControlAnswer:
        answer = self._node.reserve(body)
        return (403, b"wrong tag") if answer is None else (200, answer)

    def _health(self, query: dict, body: bytes) -> ControlAnswer:
        violation = self._node.violation()
        return (503 if violation else 200), msgspec.json.encode({"violation": violation})

    def _log(self, log: str, query: dict) -> ControlAnswer:
        records = self._node.log_after(log, int(query.get("after", 0)))
        if records is None:
            return 410, b"not kept"
        return 200, self._codec.sign(pack(msgspec.msgpack.encode(LogRecords(records))))

    def _journal(self, query: dict, body: bytes) -> ControlAnswer:
        return _json(self._node.journal(int(query.get("after", 0))))

    def _explain(self, query: dict, body: bytes) -> ControlAnswer:
        return _json(self._node.explain(query["service"], query["key"]))


def _json(value: object) -> ControlAnswer:
    return 200, msgspec.json.encode(value)
