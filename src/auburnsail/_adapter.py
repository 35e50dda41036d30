"""What a node needs of the platform that it runs on; the product's own unless a program wires others."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ._dialect import DEFAULT_DIALECT, Dialect
from ._log import VersionedLog
from ._routes import RouteTable
from ._settings import NodeSettings, TreeSettings
from ._settings_log import SETTINGS_LOG, tree_of
from ._store import HttpObjectStore, HttpTableStore, ObjectStore, TableStore

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
    """Limits on what callers may send.

    Attributes:
        head_bytes: Longest request head.
        body_bytes: Longest request body.
        head_timeout_ms: Longest time for a head to arrive.
        idle_timeout_ms: Longest time without a request.
    """

    head_bytes: int
    body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


@dataclass(frozen=True, slots=True)
class SettingsInForce:
    """One version of the settings as a node uses it.

    Attributes:
        version: Its version.
        tree: Services and policies.
        routes: Routes, or None if the path of a request names its service.
        limits: Limits on callers, or None for the program's own.
    """

    version: int
    tree: TreeSettings
    routes: RouteTable | None = None
    limits: CallerLimits | None = None


class SettingsSource(Protocol):
    """Where accepted settings are kept."""

    def read_after(self, version: int) -> Records:
        """Returns the newest version and its record if it is newer than a version."""

    def wait_after(self, version: int) -> Records | None:
        """Waits for a newer record; None if the source cannot wait."""

    def decode(self, version: int, data: bytes) -> SettingsInForce:
        """Returns the content of a record.

        Raises:
            SettingsError: The record is not valid.
        """


class LogSettings:
    """The settings log that operators append to; see `SettingsSource`.

    Args:
        table: Where the log is kept.
    """

    def __init__(self, table: TableStore) -> None:
        self._log = VersionedLog(table, SETTINGS_LOG)

    def read_after(self, version: int) -> Records:
        """See `SettingsSource.read_after`."""
        head = self._log.head()
        record = self._log.read(head) if head > version else None
        return [(record.version, record.data)] if record else []

    def wait_after(self, version: int) -> Records | None:
        """See `SettingsSource.wait_after`; nodes poll this log."""
        return None

    def decode(self, version: int, data: bytes) -> SettingsInForce:
        """See `SettingsSource.decode`."""
        return SettingsInForce(version, tree_of(version, data))


@dataclass(frozen=True, slots=True)
class Adapter:
    """The platform as a node sees it.

    Attributes:
        table: Transactional rows.
        objects: Whole objects.
        settings: Accepted settings.
        dialect: Header names of callers and upstreams.
        has_routes: Whether the settings hold routes.
        grants_by_report: Whether upstreams take their keys from answers to their reports, and are told
            apart by lifetime.
        servers: Builds further servers, for example for the platform's checks.
        gauges: Returns values for the metrics address.
        reload: Reads the process's own settings again; returns what changed since the last time.
    """

    table: TableStore
    objects: ObjectStore
    settings: SettingsSource
    dialect: Dialect = DEFAULT_DIALECT
    has_routes: bool = False
    grants_by_report: bool = False
    servers: Callable[[object], list] = field(default=lambda node: [])
    gauges: Callable[[], dict[str, float]] = dict
    reload: Callable[[], dict[str, object]] = dict


def default_adapter(settings: NodeSettings) -> Adapter:
    """Returns the platform that the product's own interfaces speak to."""
    table = HttpTableStore(settings.store_url)
    return Adapter(table, HttpObjectStore(settings.objects_url), LogSettings(table))
