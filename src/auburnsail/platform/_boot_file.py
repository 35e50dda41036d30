"""Reads the settings file that the platform gives to each process."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from .._checked_input import decode_json
from .._settings import NodeSettings
from ..exceptions import SettingsError

__all__ = ["BootFile", "load_boot_file"]

# A restarted node is back 3.5 s after the stop signal, and a report is due every 0.9 s. The local
# upstream keeps its keys across the restart because its lease has not expired by then.
LEASE_MS = 4_000
DEFAULT_STOP_GRACE_S = 6.0
# Same port as in deploy/system.toml.
METRICS_PORT = 9_464
# The platform provides no secret. The authentication tag of messages between nodes therefore guards
# only against damaged and foreign datagrams, not against an attacker, who would need access to the
# VMs' own network.
FLEET_SECRET = "auburnsail on the users' platform"


class _ListenAddresses(msgspec.Struct, frozen=True):
    """Addresses of this VM.

    Attributes:
        inbound: Address for requests that other nodes forward.
        outbound: Address for callers on this VM, including the local upstream.
        ready: Address for the platform's readiness checks.
        control: Address for the reports of the local upstream.
    """

    inbound: str
    outbound: str
    ready: str
    control: str


class _StoreLocation(msgspec.Struct, frozen=True):
    """Location of the platform's store.

    Attributes:
        address: ``ip:port``.
    """

    address: str


class _VmLimits(msgspec.Struct, frozen=True, rename="kebab"):
    """Limits of this VM.

    Attributes:
        link_mbps: Bandwidth of its link in each direction in Mbit/s; 0 if not stated.
    """

    link_mbps: float = 0.0


class _BootFileContent(msgspec.Struct, frozen=True, rename="kebab"):
    """Fields of the settings file that this program uses; other fields are ignored.

    Attributes:
        node_name: Name of this node.
        ip: IP address of this VM.
        zone: Zone of this VM, which is its failure domain.
        region: Region of this VM.
        zones: Region of each zone, by zone name.
        listen: Addresses to listen on.
        internal_ports: Ports for traffic between nodes; the first is that of the control address.
        service: Service of the local upstream.
        platform: Location of the store.
        bounds: Entries ``name=number``; names that this program does not know are ignored.
        limits: Limits of this VM.
        app_addr: Address of the upstream on this VM, empty if not stated.
    """

    node_name: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    listen: _ListenAddresses
    internal_ports: tuple[int, int]
    service: str
    platform: _StoreLocation
    bounds: tuple[str, ...] = ()
    limits: _VmLimits = _VmLimits()
    app_addr: str = ""


@dataclass(frozen=True, slots=True)
class BootFile:
    """Content of the settings file, converted to the router's settings.

    Attributes:
        node: The node's own settings.
        store_address: ``ip:port`` of the platform's store.
        ready_address: ``ip:port`` for readiness checks.
        report_address: ``ip:port`` for the reports of the local upstream.
        upstream_address: ``ip:port`` of the local upstream, empty if not stated.
        retry_ratio: Permitted retries at upstreams as a share of requests.
        retry_reserve: Retries permitted beyond that share in one window, for all nodes together.
    """

    node: NodeSettings
    store_address: str
    ready_address: str
    report_address: str
    upstream_address: str
    retry_ratio: float
    retry_reserve: float


def load_boot_file(path: Path) -> BootFile:
    """Reads the settings file.

    Raises:
        SettingsError: The file cannot be read, lacks a field or has an invalid value.
    """
    try:
        content = decode_json(path.read_bytes(), _BootFileContent, "settings-file")
        bounds = dict(bound.split("=", 1) for bound in content.bounds)
        return _to_boot_file(content, bounds)
    except (OSError, ValueError) as error:
        raise SettingsError(str(error), step="settings.read", peer=str(path)) from error


def _to_boot_file(content: _BootFileContent, bounds: dict[str, str]) -> BootFile:
    store_url = f"http://{content.platform.address}"
    node = NodeSettings(
        node=content.node_name,
        region=content.region,
        domain=content.zone,
        data_address=content.listen.inbound,
        control_address=f"{content.ip}:{content.internal_ports[0]}",
        store_url=store_url,
        objects_url=store_url,
        fleet_secret=FLEET_SECRET,
        log_format="json",
        caller_address=content.listen.outbound,
        service=content.service,
        lease_ms=LEASE_MS,
        max_hold_ms=min(LEASE_MS, int(bounds.get("hold-max-ms", LEASE_MS))),
        snapshots=False,
        metrics_address=f"{content.ip}:{METRICS_PORT}",
        link_mbps=content.limits.link_mbps,
        stop_grace_s=float(bounds.get("grace-s", DEFAULT_STOP_GRACE_S)),
    )
    return BootFile(
        node=node,
        store_address=content.platform.address,
        ready_address=content.listen.ready,
        report_address=content.listen.control,
        upstream_address=content.app_addr,
        retry_ratio=float(bounds.get("retry-budget-ratio", 0.1)),
        retry_reserve=float(bounds.get("budget-slack", 0)),
    )
