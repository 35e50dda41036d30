"""The desired state that operators write, decoded into the product's settings."""

from typing import Any

import msgspec

from .._adapter import CallerLimits, SettingsInForce
from .._request_policy import RequestPolicy
from .._routes import Route, RouteTable, WeightedService
from .._settings import Scope, ServiceSettings, TreeSettings
from ..exceptions import SettingsError, StoreUnavailableError
from ._store import PlatformTable

__all__ = ["DesiredStateSettings", "RetryLimits", "decode_desired_state"]

TABLE = "op"
ROW = "op/config"
# Keys of a divided service are numbers below this.
KEYS = 65_536
# Busy stretches have a few dozen keys, and a part of one has to be movable.
SHARDS = 4_096
# A connection that went silent is noticed by its probes; an answer that was lost only at the end of the
# wait, but other nodes wait, too. Every wait is a call that the platform's operators pay for.
FEED_WAIT_MS = 10_000
# Half a second below the platform's bound on work for a leaving upstream.
STOP_WORK_MS = 2_000
# Each repeat of a request repeats its calls to other services.
USED_SHARE = 0.4
STEP = "settings.decode"


class RetryLimits(msgspec.Struct, frozen=True):
    """Bound on attempts beyond the first, from the settings file.

    Attributes:
        ratio: As a share of requests.
        reserve: Beyond that share in one window, by all nodes together.
    """

    ratio: float
    reserve: float

    @property
    def share(self) -> float:
        """The share that a node uses, since the calls of a repeated request count, too."""
        return USED_SHARE * self.ratio


class _Metadata(msgspec.Struct, frozen=True):
    name: str = ""


class _Resource(msgspec.Struct, frozen=True, rename="kebab"):
    """One entry of the desired state; `resource_type` says which model its `spec` has."""

    resource_type: str
    metadata: _Metadata = _Metadata()
    spec: msgspec.Raw = msgspec.Raw(b"{}")


class _DesiredState(msgspec.Struct, frozen=True):
    version: int
    resources: tuple[_Resource, ...]


class _Weighted(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _RouteSpec(msgspec.Struct, frozen=True, rename="kebab"):
    """A route.

    Attributes:
        host: Host that requests name.
        path_prefix: Beginning of their path.
        kind: ``safe`` and ``download`` may run more than once, ``unsafe`` may not.
        timeout_ms: Longest time that a request is kept waiting.
        target_latency_ms: Time within which an answer earns its full credit.
        priority: Rank, 0 first.
        max_attempts: Most upstreams that one attempt of a caller is sent to.
        service: The service, if there is one only.
        weighted_split: The services and their shares, if there are several.
    """

    host: str
    path_prefix: str
    kind: str
    timeout_ms: int
    target_latency_ms: int
    priority: int = 0
    max_attempts: int = 1
    service: str = ""
    weighted_split: tuple[_Weighted, ...] = ()


class _ServiceSpec(msgspec.Struct, frozen=True, rename="kebab"):
    """A service.

    Attributes:
        max_connections: Connections that one upstream accepts from all callers together.
        sharded: Whether its upstreams own keys exclusively.
    """

    max_connections: int = 100
    sharded: bool = False


class _LimitsSpec(msgspec.Struct, frozen=True, rename="kebab"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


IDEMPOTENT_KINDS = frozenset({"safe", "download"})


def decode_desired_state(data: bytes, retries: RetryLimits) -> SettingsInForce:
    """Decodes one version of the desired state.

    Args:
        data: Content of the row.
        retries: Bound on attempts beyond the first.

    Raises:
        SettingsError: It is not valid; the error names the entry.
    """
    state = _decoded(data, _DesiredState, "desired state")
    routes: list[Route] = []
    services: dict[str, ServiceSettings] = {}
    statements: dict[Scope, dict[str, Any]] = {Scope(): _fleet_statements(retries)}
    limits = None
    for resource in state.resources:
        name = resource.metadata.name
        where = f"{resource.resource_type} {name!r}"
        match resource.resource_type:
            case "routes":
                routes.append(_route(name, _decoded(resource.spec, _RouteSpec, where), retries))
            case "services":
                spec = _decoded(resource.spec, _ServiceSpec, where)
                keys = KEYS if spec.sharded else 0
                services[name] = ServiceSettings(keyed=spec.sharded, shards=SHARDS, keys=keys)
                statements[Scope(service=name)] = {"upstream.connections": spec.max_connections}
            case "limits":
                limits = _limits(_decoded(resource.spec, _LimitsSpec, where))
    tree = TreeSettings(services, {}, statements)
    return SettingsInForce(state.version, tree, RouteTable(tuple(routes)), limits)


def _decoded(data: bytes, model: type, where: str) -> Any:
    try:
        return msgspec.json.decode(data, type=model)
    except msgspec.DecodeError as error:
        raise SettingsError(f"{where}: {error}", step=STEP) from error


def _fleet_statements(retries: RetryLimits) -> dict[str, Any]:
    return {
        "requests.retry_budget_percent": 100 * retries.share,
        "requests.retry_fleet_reserve": retries.reserve,
        "queue.max_requests": 1_000,
        "queue.max_wait_ms": 10_000,
        "upstream.slow_start_s": 0,
        "placement.plan_interval_ms": 750,
        "drain.stop_work_ms": STOP_WORK_MS,
        "upstream.eject_ms": 500,
        "balance.leave_domain_at_percent": 90.0,
        "balance.leave_region_at_percent": 100.0,
    }


def _route(name: str, spec: _RouteSpec, retries: RetryLimits) -> Route:
    parts = tuple(WeightedService(item.service, item.weight) for item in spec.weighted_split)
    policy = RequestPolicy(
        default_deadline_ms=spec.timeout_ms,
        max_deadline_ms=spec.timeout_ms,
        max_attempts=spec.max_attempts,
        retry_share=retries.share,
        detect_silence=False,
    )
    return Route(
        name=name,
        host=spec.host,
        prefix=spec.path_prefix,
        parts=parts or (WeightedService(spec.service),),
        idempotent=spec.kind in IDEMPOTENT_KINDS,
        priority=spec.priority,
        objective_ms=spec.target_latency_ms,
        policy=policy,
    )


def _limits(spec: _LimitsSpec) -> CallerLimits:
    return CallerLimits(
        head_bytes=spec.max_header_bytes,
        body_bytes=spec.max_body_bytes,
        head_timeout_ms=spec.header_timeout_ms,
        idle_timeout_ms=spec.idle_timeout_ms,
    )


class DesiredStateSettings:
    """The row that holds the newest desired state; see `SettingsSource`.

    Args:
        table: The platform's rows.
        retries: Bound on attempts beyond the first.

    Attributes:
        retries: The bound that the next version is decoded with.
    """

    def __init__(self, table: PlatformTable, retries: RetryLimits) -> None:
        self._table = table
        self.retries = retries
        self._feed_after = -1

    def read_after(self, version: int) -> list[tuple[int, bytes]]:
        """See `SettingsSource.read_after`."""
        row, store_version = self._table.newest(ROW)
        self._feed_after = max(self._feed_after, store_version)
        return self._newer([row] if row is not None else [], version)

    def wait_after(self, version: int) -> list[tuple[int, bytes]] | None:
        """See `SettingsSource.wait_after`."""
        if self._feed_after < 0:
            return self.read_after(version)
        try:
            feed = self._table.feed(TABLE, self._feed_after, FEED_WAIT_MS)
        except StoreUnavailableError:
            # What changes before the store is back is found by a plain read.
            self._feed_after = -1
            raise
        self._feed_after = -1 if feed.is_gap else feed.version
        return self._newer([row for row in feed.rows if row.key == ROW], version)

    def decode(self, version: int, data: bytes) -> SettingsInForce:
        """See `SettingsSource.decode`."""
        return decode_desired_state(data, self.retries)

    def _newer(self, rows: list, version: int) -> list[tuple[int, bytes]]:
        found = []
        for row in rows:
            number = _decoded(row.value, _Version, "desired state").version
            if number > version:
                found.append((number, row.value))
        return found


class _Version(msgspec.Struct, frozen=True):
    version: int
