"""Decodes the desired state that operators write into the router's settings."""

from typing import Any

import msgspec

from .._adapter import CallerLimits, SettingsInForce
from .._checked_input import Count, decode_json
from .._request_policy import RequestPolicy
from .._routes import Route, RouteTable, WeightedService
from .._settings import Scope, ServiceSettings, TreeSettings
from ..exceptions import InvalidInputError, SettingsError, StoreUnavailableError
from ._store import PlatformTable

__all__ = ["DesiredStateSettings", "RetryLimits", "decode_desired_state"]

DESIRED_STATE_TABLE = "op"
DESIRED_STATE_KEY = "op/config"
# Keys of a sharded service are integers from 0 to KEY_COUNT - 1.
KEY_COUNT = 65_536
# Hot key ranges span a few dozen keys. With 16 keys per shard, part of such a range can be moved.
SHARD_COUNT = 4_096
# A longer wait costs fewer calls, for which the platform's operators pay. TCP keep-alive probes
# detect a silent connection earlier. A lost answer is detected only at the end of the wait, but
# other nodes wait for the same change and announce it to this one.
CHANGE_WAIT_MS = 25_000
# 500 ms below the platform's limit on work for a draining upstream.
DRAIN_STOP_WORK_MS = 2_000
# Share of the permitted retry ratio that nodes use: a retried request repeats its subrequests to
# other services, which count as well.
NODE_RETRY_FACTOR = 0.4
DECODE_STEP = "settings.decode"


class RetryLimits(msgspec.Struct, frozen=True):
    """Limits on retries (attempts after the first), from the settings file.

    Attributes:
        ratio: Permitted retries as a share of requests.
        reserve: Retries permitted beyond that share in one window, for all nodes together.
    """

    ratio: float
    reserve: float

    @property
    def node_ratio(self) -> float:
        """Share of requests that a node may retry, with repeated subrequests allowed for."""
        return NODE_RETRY_FACTOR * self.ratio


class _Metadata(msgspec.Struct, frozen=True):
    name: str = ""


class _Resource(msgspec.Struct, frozen=True, rename="kebab"):
    """One entry of the desired state.

    Attributes:
        resource_type: Kind of entry, which determines the model of `spec`.
        metadata: Name of the entry.
        spec: Content, not decoded yet.
    """

    resource_type: str
    metadata: _Metadata = _Metadata()
    spec: msgspec.Raw = msgspec.Raw(b"{}")


class _DesiredState(msgspec.Struct, frozen=True):
    version: Count
    resources: tuple[_Resource, ...]


class _WeightedServiceSpec(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _RouteSpec(msgspec.Struct, frozen=True, rename="kebab"):
    """Content of a ``routes`` entry.

    Attributes:
        host: Host that matching requests name.
        path_prefix: Prefix of the path of matching requests.
        kind: ``safe`` and ``download`` requests may run more than once, ``unsafe`` ones may not.
        timeout_ms: Default and maximum deadline of a request.
        target_latency_ms: Latency objective: an answer within this time earns full credit.
        priority: Priority of the requests, 0 is the highest.
        max_attempts: Maximum number of upstreams that one attempt of a caller is sent to.
        service: The service, if there is only one.
        weighted_split: The services and their weights, if there are several.
    """

    host: str
    path_prefix: str
    kind: str
    timeout_ms: Count
    target_latency_ms: Count
    priority: Count = 0
    max_attempts: Count = 1
    service: str = ""
    weighted_split: tuple[_WeightedServiceSpec, ...] = ()


class _ServiceSpec(msgspec.Struct, frozen=True, rename="kebab"):
    """Content of a ``services`` entry.

    Attributes:
        max_connections: Maximum number of connections that one upstream accepts, from all callers
            together.
        sharded: Whether each key is owned by one upstream exclusively.
    """

    max_connections: Count = 100
    sharded: bool = False


class _LimitsSpec(msgspec.Struct, frozen=True, rename="kebab"):
    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_ms: Count
    idle_timeout_ms: Count


IDEMPOTENT_KINDS = frozenset({"safe", "download"})


def decode_desired_state(data: bytes, retry_limits: RetryLimits) -> SettingsInForce:
    """Decodes one version of the desired state.

    Args:
        data: Value of the row that holds the desired state.
        retry_limits: Limits on retries.

    Raises:
        SettingsError: The data is invalid; the message names the entry.
    """
    state = _decode_json(data, _DesiredState, "desired state")
    routes: list[Route] = []
    services: dict[str, ServiceSettings] = {}
    statements: dict[Scope, dict[str, Any]] = {Scope(): _fleet_statements(retry_limits)}
    limits = None
    for resource in state.resources:
        name = resource.metadata.name
        entry = f"{resource.resource_type} {name!r}"
        match resource.resource_type:
            case "routes":
                routes.append(
                    _build_route(name, _decode_json(resource.spec, _RouteSpec, entry), retry_limits)
                )
            case "services":
                spec = _decode_json(resource.spec, _ServiceSpec, entry)
                keys = KEY_COUNT if spec.sharded else 0
                services[name] = ServiceSettings(keyed=spec.sharded, shards=SHARD_COUNT, keys=keys)
                statements[Scope(service=name)] = {"upstream.connections": spec.max_connections}
            case "limits":
                limits = _build_caller_limits(_decode_json(resource.spec, _LimitsSpec, entry))
    tree = TreeSettings(services, {}, statements)
    return SettingsInForce(state.version, tree, RouteTable(tuple(routes)), limits)


def _decode_json(data: bytes, model: type, entry: str) -> Any:
    try:
        return decode_json(data, model, "desired-state")
    except InvalidInputError as error:
        raise SettingsError(f"{entry}: {error.detail}", step=DECODE_STEP) from error


def _fleet_statements(retry_limits: RetryLimits) -> dict[str, Any]:
    return {
        "requests.retry_budget_percent": 100 * retry_limits.node_ratio,
        "requests.retry_fleet_reserve": retry_limits.reserve,
        "queue.max_requests": 1_000,
        "queue.max_wait_ms": 10_000,
        "upstream.slow_start_s": 0,
        "placement.plan_interval_ms": 750,
        "drain.stop_work_ms": DRAIN_STOP_WORK_MS,
        "upstream.eject_ms": 500,
        "balance.leave_domain_at_percent": 90.0,
        "balance.leave_region_at_percent": 100.0,
    }


def _build_route(name: str, spec: _RouteSpec, retry_limits: RetryLimits) -> Route:
    services = tuple(WeightedService(item.service, item.weight) for item in spec.weighted_split)
    policy = RequestPolicy(
        default_deadline_ms=spec.timeout_ms,
        max_deadline_ms=spec.timeout_ms,
        max_attempts=spec.max_attempts,
        retry_share=retry_limits.node_ratio,
        detect_silence=False,
    )
    return Route(
        name=name,
        host=spec.host,
        prefix=spec.path_prefix,
        services=services or (WeightedService(spec.service),),
        repeatable=spec.kind in IDEMPOTENT_KINDS,
        priority=spec.priority,
        objective_ms=spec.target_latency_ms,
        policy=policy,
    )


def _build_caller_limits(spec: _LimitsSpec) -> CallerLimits:
    return CallerLimits(
        head_bytes=spec.max_header_bytes,
        body_bytes=spec.max_body_bytes,
        head_timeout_ms=spec.header_timeout_ms,
        idle_timeout_ms=spec.idle_timeout_ms,
    )


class DesiredStateSettings:
    """Reads the row with the newest desired state; implements `SettingsSource`.

    Args:
        table: Client of the platform's tables.
        retry_limits: Limits on retries.

    Attributes:
        retry_limits: Limits with which the next version is decoded.
    """

    def __init__(self, table: PlatformTable, retry_limits: RetryLimits) -> None:
        self._table = table
        self.retry_limits = retry_limits
        self._known_store_version = -1

    def read_after(self, version: int) -> list[tuple[int, bytes]]:
        """Implements `SettingsSource.read_after`."""
        row, store_version = self._table.read_with_store_version(DESIRED_STATE_KEY)
        self._known_store_version = max(self._known_store_version, store_version)
        return self._select_newer([row] if row is not None else [], version)

    def wait_after(self, version: int) -> list[tuple[int, bytes]] | None:
        """Implements `SettingsSource.wait_after` by a long poll of the desired-state table."""
        if self._known_store_version < 0:
            return self.read_after(version)
        try:
            changes = self._table.wait_for_changes(
                DESIRED_STATE_TABLE, self._known_store_version, CHANGE_WAIT_MS
            )
        except StoreUnavailableError:
            # The next call reads the row itself and so finds a change made during the outage.
            self._known_store_version = -1
            raise
        self._known_store_version = -1 if changes.is_gap else changes.version
        return self._select_newer(
            [row for row in changes.rows if row.key == DESIRED_STATE_KEY], version
        )

    def decode(self, version: int, data: bytes) -> SettingsInForce:
        """Implements `SettingsSource.decode`."""
        return decode_desired_state(data, self.retry_limits)

    def _select_newer(self, rows: list, version: int) -> list[tuple[int, bytes]]:
        newer_rows = []
        for row in rows:
            row_version = _decode_json(row.value, _DesiredStateVersion, "desired state").version
            if row_version > version:
                newer_rows.append((row_version, row.value))
        return newer_rows


class _DesiredStateVersion(msgspec.Struct, frozen=True):
    version: Count
