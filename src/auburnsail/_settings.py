"""Border models of a node's own settings file and of the services in the settings tree."""

from pathlib import Path
from typing import Annotated

import msgspec
import pyjson5

from .exceptions import SettingsError

__all__ = ["NodeSettings", "ServiceSettings", "TreeSettings", "load_node_settings", "parse_jsonc"]

Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F:.]+:[0-9]{1,5}$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node process.

    Attributes:
        node: Name of the node, unique in the fleet.
        region: Region of the VM.
        domain: Failure domain of the VM.
        data_address: ``ip:port`` that serves callers and other nodes.
        control_address: ``ip:port`` of the control HTTP server and the UDP socket.
        store_url: Base URL of the table service.
        objects_url: Base URL of the object store.
        fleet_secret: Shared by the nodes of a fleet; signs messages between them.
        log_format: ``console`` or ``json``.
        store_region: Region of the store; its nodes record proposals. Empty for any node.
        peers: Control addresses of other nodes, asked for the logs while the store is down.
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


class ServiceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one service.

    Attributes:
        keyed: Whether upstreams own keys exclusively.
        shards: Number of shards of a keyed service; fixed once the fleet has started.
    """

    keyed: bool = False
    shards: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)] = 4096


class TreeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings that all nodes share."""

    services: dict[Name, ServiceSettings]


def parse_jsonc(text: str, model: type, source: str):
    """Parses JSON with comments into a model.

    Args:
        text: The document.
        model: Type of the result.
        source: Named in errors.

    Raises:
        SettingsError: The text is not valid or does not fit the model.
    """
    try:
        return msgspec.convert(pyjson5.decode(text), model)
    except (pyjson5.Json5Exception, msgspec.ValidationError) as error:
        raise SettingsError(str(error), step="settings.parse", peer=source) from error


def load_node_settings(path: Path) -> NodeSettings:
    """Reads a node's settings file.

    Raises:
        SettingsError: The file cannot be read or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(str(error), step="settings.read", peer=str(path)) from error
    return parse_jsonc(text, NodeSettings, str(path))
