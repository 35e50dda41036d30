"""Interface between a node and the platform that it runs on.

The default implements the built-in protocol; a platform's program passes an adapter of its own.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ._dialect import DEFAULT_DIALECT, Dialect
from ._routes import RouteTable
from ._settings import NodeSettings, TreeSettings
from ._settings_log import SETTINGS_LOG, decode_tree
from ._store import HttpObjectStore, HttpTableStore, ObjectStore, TableStore
from ._versioned_log import VersionedLog

__all__ = [
    "Adapter",
    "CallerLimits",
    "LogSettings",
    "SettingsInForce",
    "SettingsSource",
    "default_adapter",
]

Records = list[tuple[int, bytes]]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes:
        head_bytes: Maximum length of a request head.
        body_bytes: Maximum length of a request body.
        head_timeout_ms: Maximum time for a request head to arrive.
        idle_timeout_ms: Maximum time that a connection stays open without a request.
    """

    head_bytes: int
    body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


@dataclass(frozen=True, slots=True)
class SettingsInForce:
    """A decoded version of the settings.

    Attributes:
        version: Settings version.
        tree: Services and policies.
        routes: Route table, or None if the path of a request names its service.
        limits: Limits on callers, or None for the built-in defaults.
    """

    version: int
    tree: TreeSettings
    routes: RouteTable | None = None
    limits: CallerLimits | None = None


class SettingsSource(Protocol):
    """Source of accepted settings versions."""

    def read_after(self, version: int) -> Records:
        """Returns the newest version and its record, or an empty list if none is newer."""

    def wait_after(self, version: int) -> Records | None:
        """Waits for a newer record; returns None if the source does not support waiting.

        Otherwise returns the same as `read_after`; the list is also empty if the wait ended without
        a newer record.
        """

    def decode(self, version: int, data: bytes) -> SettingsInForce:
        """Decodes a settings record.

        Raises:
            SettingsError: The record is not valid.
        """


class LogSettings:
    """The settings log that operators append to; implements `SettingsSource`.

    Args:
        table: Store that holds the log.
    """

    def __init__(self, table: TableStore) -> None:
        self._log = VersionedLog(table, SETTINGS_LOG)

    def read_after(self, version: int) -> Records:
        """Implements `SettingsSource.read_after`."""
        head = self._log.head()
        record = self._log.read(head) if head > version else None
        return [(record.version, record.data)] if record else []

    def wait_after(self, version: int) -> Records | None:
        """Implements `SettingsSource.wait_after`; not supported, since nodes poll this log."""
        return None

    def decode(self, version: int, data: bytes) -> SettingsInForce:
        """Implements `SettingsSource.decode`."""
        return SettingsInForce(version, decode_tree(version, data))


@dataclass(frozen=True, slots=True)
class Adapter:
    """Connection of a node to the platform that it runs on.

    Attributes:
        table: Transactional table store.
        objects: Object store.
        settings_source: Source of accepted settings.
        dialect: Header names that callers and upstreams use.
        has_routes: Whether the settings contain a route table.
        grants_by_report: Whether upstreams receive their keys in the answers to their reports and
            are identified by lifetime.
        build_servers: Builds further servers, for example for the platform's health checks.
        gauges: Returns gauge values for the metrics address, by name.
        reload: Reads the process's own settings again; returns what changed since the last call.
    """

    table: TableStore
    objects: ObjectStore
    settings_source: SettingsSource
    dialect: Dialect = DEFAULT_DIALECT
    has_routes: bool = False
    grants_by_report: bool = False
    build_servers: Callable[[object], list] = field(default=lambda node: [])
    gauges: Callable[[], dict[str, float]] = dict
    reload: Callable[[], dict[str, object]] = dict


def default_adapter(settings: NodeSettings) -> Adapter:
    """Returns an adapter for the built-in protocol, with HTTP stores."""
    table = HttpTableStore(settings.store_url)
    return Adapter(table, HttpObjectStore(settings.objects_url), LogSettings(table))
