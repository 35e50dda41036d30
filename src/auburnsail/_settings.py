"""Models of the settings file of a node and of the settings tree shared by all nodes."""

import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec
import pyjson5

from ._problems import Problem, allowed_values, known_names_hint, raise_problems
from ._sections import (
    Balance,
    Drain,
    Fleet,
    Gossip,
    Lease,
    Level,
    Logging,
    Objective,
    Placement,
    Quarantine,
    Queue,
    Requests,
    Upstream,
)
from .exceptions import SettingsError

__all__ = [
    "EffectiveSettings",
    "Name",
    "NodeSettings",
    "Scope",
    "ServiceSettings",
    "TreeSettings",
    "decode_jsonc",
    "load_node_settings",
    "parse_jsonc",
]

Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F:.]+:[0-9]{1,5}$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node process.

    Attributes:
        node: Name of the node; must be unique in the fleet.
        region: Region of the VM.
        domain: Failure domain of the VM.
        data_address: ``ip:port`` of the server for callers and other nodes.
        control_address: ``ip:port`` of the control HTTP server and the UDP socket.
        store_url: Base URL of the table service.
        objects_url: Base URL of the object store.
        fleet_secret: Secret shared by the nodes of a fleet, which signs messages between them.
        log_format: ``console`` or ``json``.
        store_region: Region of the store, whose nodes record fleet proposals; empty: any node.
        peers: Control addresses of nodes that serve the logs while the store is down.
        address_overrides: Addresses to connect to, by the address in a session, for example to go
            through the relay that simulates a link between regions.
        caller_address: ``ip:port`` of the server for callers, if `data_address` serves nodes only.
        service: Service of this VM, sent to upstreams as the origin of a request.
        lease_ms: Lease duration; must be equal on all nodes of a fleet. It must exceed the time
            between two reports of upstreams that receive their keys in answers to reports.
        max_hold_ms: Longest time for which an upstream may be granted keys.
        snapshots: Whether measurements are written to the object store.
        metrics_address: ``ip:port`` of the metrics server, empty for none.
        link_mbps: Capacity of the VM's link in Mbit/s, 0 if unknown.
        stop_grace_s: Time in seconds from a stop signal until the process is killed, for a node
            whose upstream keeps running.
    """

    node: Name
    region: Name
    domain: Name
    data_address: Address
    control_address: Address
    store_url: str
    objects_url: str
    fleet_secret: Annotated[str, msgspec.Meta(min_length=16)]
    log_format: Annotated[str, msgspec.Meta(pattern="^(console|json)$")] = "console"
    store_region: Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9-]{0,63}$")] = ""
    peers: tuple[Address, ...] = ()
    address_overrides: dict[Address, Address] = {}
    caller_address: Annotated[str, msgspec.Meta(pattern=r"^([0-9a-fA-F:.]+:[0-9]{1,5})?$")] = ""
    service: str = ""
    lease_ms: Annotated[int, msgspec.Meta(ge=150, le=60_000)] = 600
    max_hold_ms: Annotated[int, msgspec.Meta(ge=150, le=60_000)] = 10_000
    snapshots: bool = True
    metrics_address: Annotated[str, msgspec.Meta(pattern=r"^([0-9a-fA-F:.]+:[0-9]{1,5})?$")] = ""
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    stop_grace_s: Annotated[float, msgspec.Meta(ge=3, le=600)] = 6.0

    def resolve_address(self, address: str) -> str:
        """Returns the address to connect to for an address in a session."""
        return self.address_overrides.get(address, address)


class ServiceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Properties of a service other than its policies, which are in the sections of the tree.

    Attributes:
        keyed: Whether upstreams own keys exclusively.
        shards: Number of shards of a keyed service; fixed once the fleet has started.
        keys: Size of an ordered key space, which is divided into ranges of adjacent keys; 0 assigns
            keys to shards by hash.
    """

    keyed: Annotated[bool, msgspec.Meta(description="Upstreams own keys exclusively.")] = False
    shards: Annotated[
        int, msgspec.Meta(ge=1, le=1 << 20, description="Parts of the key space.")
    ] = 4096
    keys: Annotated[
        int,
        msgspec.Meta(ge=0, le=1 << 32, description="Size of an ordered key space; 0: by hash."),
    ] = 0


@dataclass(frozen=True, slots=True)
class Scope:
    """A position in the tree at which values may be stated; an empty name means all.

    Attributes:
        service: A service, or all services.
        region: A region, or all regions.
        domain: A failure domain of the region, or all its domains.
    """

    service: str = ""
    region: str = ""
    domain: str = ""

    @property
    def level(self) -> Level:
        """Level of the scope."""
        if self.domain:
            return Level.DOMAIN
        if self.region:
            return Level.REGION
        return Level.SERVICE if self.service else Level.PLATFORM

    @property
    def path(self) -> tuple[str, ...]:
        """Path of the scope in the document."""
        names = (("services", self.service), ("regions", self.region), ("domains", self.domain))
        return tuple(part for kind, name in names if name for part in (kind, name))


@dataclass(frozen=True, slots=True)
class TreeSettings:
    """The stated settings that all nodes share, before inheritance is applied.

    Attributes:
        services: Services by name.
        regions: Names of the failure domains, by region.
        statements: For each scope with stated values, the values by ``section.field``.
        ignored: Paths of skipped unknown names, if unknown names are allowed.
    """

    services: dict[str, ServiceSettings]
    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    statements: dict[Scope, dict[str, object]] = field(default_factory=dict)
    ignored: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EffectiveSettings:
    """Values in force for one service in one failure domain."""

    service: str
    region: str
    domain: str
    keyed: bool
    shards: int
    lease: Lease
    fleet: Fleet
    gossip: Gossip
    placement: Placement
    upstream: Upstream
    queue: Queue
    requests: Requests
    drain: Drain
    quarantine: Quarantine
    balance: Balance
    objective: Objective
    logging: Logging


def decode_jsonc(text: str, source: str) -> object:
    """Decodes JSON with comments.

    Args:
        text: The document.
        source: Name of the document in error messages.

    Raises:
        SettingsError: The text is not valid; the message has the line.
    """
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        message = str(error.args[0]).replace("b'", "'")
        raise SettingsError(
            f"{source}:{_error_line(message, text)}: {message}", step="settings.parse"
        ) from error


def parse_jsonc(text: str, model: type, source: str):
    """Parses JSON with comments into a model.

    Args:
        text: The document.
        model: A msgspec model with scalar fields.
        source: Name of the document in error messages.

    Raises:
        SettingsError: The text is not valid or does not match the model; lists all problems.
    """
    document = decode_jsonc(text, source)
    if not isinstance(document, dict):
        raise_problems([Problem((), "must be an object in braces")], text, source)
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    problems = [
        Problem((name,), f"unknown name{known_names_hint(name, fields)}")
        for name in document
        if name not in fields
    ]
    for name, field_info in fields.items():
        if name in document:
            try:
                msgspec.convert(document[name], field_info.type)
            except msgspec.ValidationError as error:
                allowed = allowed_values(field_info.type)
                problems.append(Problem((name,), f"{error}; allowed: {allowed}"))
        elif field_info.required:
            allowed = allowed_values(field_info.type)
            problems.append(Problem((name,), f"missing; allowed: {allowed}"))
    raise_problems(problems, text, source, _locate_lazily)
    return msgspec.convert(document, model)


def load_node_settings(path: Path) -> NodeSettings:
    """Reads and validates the settings file of a node.

    Raises:
        SettingsError: The file cannot be read or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), step="settings.read", peer=str(path)) from error
    return parse_jsonc(text, NodeSettings, str(path))


def _error_line(message: str, text: str) -> int:
    position = re.search(r"near (\d+)", message)
    return text.count("\n", 0, int(position[1])) + 1 if position else 1


def _locate_lazily(text: str, path: tuple[str, ...]) -> int | None:
    # Imported only to report an error, because json-five would take up memory in a running node.
    from ._document import locate

    return locate(text, path)
