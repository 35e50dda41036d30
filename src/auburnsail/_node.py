"""Composition root of a node."""

import secrets

import gevent
import msgspec
import structlog

from ._clock import BootClock, Timers
from ._fleet import FleetState
from ._forward import ProxyApplication
from ._http_server import HttpServer
from ._log import VersionedLog
from ._model import (
    Assign,
    Command,
    Entry,
    Grant,
    Join,
    Session,
    SessionId,
    decode_entry,
    encode_entry,
)
from ._routing import Router
from ._settings import NodeSettings, TreeSettings
from ._shards import NO_OWNER
from ._store import HttpTableStore
from ._tree import parse_tree
from .exceptions import AuburnsailError, ConflictError, SettingsError

__all__ = ["Announcement", "Node", "build_node"]

TICK_MS = 50
POLL_MS = 500
ASSIGN_DELAY_MS = 1000


class Announcement(msgspec.Struct, frozen=True):
    """What an upstream says of itself to the node beside it.

    Attributes:
        service: Service that the upstream belongs to.
        address: ``ip:port`` of the upstream.
        slots: Places for concurrent work.
    """

    service: str
    address: str
    slots: int


class Node:
    """One node process.

    Args:
        settings: The node's own settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._store = HttpTableStore(settings.store_url)
        self._fleet_log = VersionedLog(self._store, "fleet")
        self._settings_log = VersionedLog(self._store, "settings")
        self._clock = BootClock()
        self._timers = Timers()
        self._fleet = FleetState()
        self._announcement: Announcement | None = None
        self._last_join_ns = 0
        self._log = structlog.get_logger(node=settings.node)
        self._tree = self._load_tree()
        for name, service in self._tree.services.items():
            if service.keyed:
                self._fleet.add_service(name, service.shards)
        self._router = Router(self._fleet, self._tree)
        self._timers.subscribe("poll", POLL_MS, self._poll)
        self._timers.subscribe("assign", POLL_MS, self._assign)

    def run(self) -> None:
        """Serves until the process ends."""
        data = ProxyApplication(self._router, self._upstream_address, lambda: True)
        for address, application in (
            (self._settings.data_address, data),
            (self._settings.control_address, self._serve_control),
        ):
            host, _, port = address.rpartition(":")
            HttpServer((host, int(port)), application, log=None, error_log=None).start()
        self._log.info("node started", address=self._settings.data_address)
        while True:
            try:
                self._timers.tick(self._clock.now_ns())
            except* AuburnsailError as group:
                for error in group.exceptions:
                    self._log.warning("timer failed", error=str(error))
            gevent.sleep(TICK_MS / 1000)

    def _load_tree(self) -> TreeSettings:
        head = self._settings_log.head()
        record = self._settings_log.read(head) if head else None
        if record is None:
            raise SettingsError(
                "the store holds no settings; run `auburnsail settings init`",
                step="settings.load",
                peer=self._settings.store_url,
            )
        return parse_tree(record.data.decode(), f"settings version {head}", ignore_unknown=True)

    def _upstream_address(self) -> str | None:
        return self._announcement.address if self._announcement else None

    def _serve_control(self, environ: dict, start_response) -> list[bytes]:
        status, body = "404 Not Found", b"no such path"
        if environ["PATH_INFO"] == "/v1/announce":
            content = environ["wsgi.input"].read()
            self._announcement = msgspec.json.decode(content, type=Announcement)
            status, body = "200 OK", b"{}"
        elif environ["PATH_INFO"] == "/v1/status":
            status, body = "200 OK", msgspec.json.encode(self._status())
        start_response(status, [("content-length", str(len(body)))])
        return [body]

    def _status(self) -> dict:
        return {
            "session": str(self._router.own_id),
            "fleet_version": self._fleet.version,
            "sessions": [str(session_id) for session_id in self._fleet.sessions],
        }

    def _poll(self, now_ns: int) -> None:
        for record in self._fleet_log.read_after(self._fleet.version):
            entry = decode_entry(record.data)
            self._fleet.apply(entry)
            if any(isinstance(command, Join) for command in entry.commands):
                self._last_join_ns = now_ns
        if self._announcement is not None and self._router.own_id is None:
            self._join()

    def _join(self) -> None:
        own_id = SessionId(self._settings.node, secrets.randbits(48))
        session = Session(
            id=own_id,
            region=self._settings.region,
            domain=self._settings.domain,
            data_address=self._settings.data_address,
            control_address=self._settings.control_address,
            service=self._announcement.service,
            slots=self._announcement.slots,
        )
        if self._append(Join(str(own_id), session)):
            self._router.own_id = own_id

    def _assign(self, now_ns: int) -> None:
        if self._router.own_id != min(self._fleet.sessions, default=None):
            return
        if now_ns - self._last_join_ns < ASSIGN_DELAY_MS * 1_000_000:
            return
        for service, table in self._fleet.tables.items():
            members = sorted(
                row.session.id
                for row in self._fleet.sessions.values()
                if row.session.service == service
            )
            unowned = table.owned_by(NO_OWNER)
            if members and unowned:
                grants = tuple(
                    Grant(member, tuple(unowned[position :: len(members)]))
                    for position, member in enumerate(members)
                )
                self._append(Assign(secrets.token_hex(8), service, grants))

    def _append(self, *commands: Command) -> bool:
        version = self._fleet.version
        entry = Entry(version + 1, self._fleet.digest, secrets.token_hex(8), commands)
        try:
            self._fleet_log.append(version, entry.id, encode_entry(entry))
        except ConflictError:
            return False
        return True


def build_node(settings: NodeSettings) -> Node:
    """Wires a node from its settings."""
    return Node(settings)
