"""Sections of the settings tree: all policies and limits with their bounds, defaults and levels.

docs/reference/settings.md is generated from this module (`make reference`). The name of a quantity
ends with its unit; a number without a unit is a count.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

__all__ = [
    "FIXED_PATHS",
    "SECTIONS",
    "SERVICE_LEVELS",
    "UNUSED_PATHS",
    "Balance",
    "Drain",
    "Fleet",
    "Gossip",
    "Lease",
    "Level",
    "Logging",
    "Objective",
    "Placement",
    "Quarantine",
    "Queue",
    "Requests",
    "Section",
    "Upstream",
]

IdempotentMethod = Literal["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"]
PathPrefix = Annotated[str, Meta(pattern="^/")]


class Level(IntEnum):
    """A level of the tree; larger values are more specific and have precedence."""

    PLATFORM = 0
    SERVICE = 1
    REGION = 2
    DOMAIN = 3


ALL_LEVELS = tuple(Level)
SERVICE_LEVELS = (Level.PLATFORM, Level.SERVICE)
PLATFORM_ONLY = (Level.PLATFORM,)


class _SectionModel(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    pass


class Lease(_SectionModel):
    """Leases acknowledged by watchers.

    Holder and watchers must use the same duration and drift bound, and a partitioned node receives
    a change late. Both values are therefore fixed once the fleet has started.
    """

    renewal_ms: Annotated[int, Meta(ge=20, le=60_000, description="Time between renewals.")] = 200
    duration_ms: Annotated[
        int, Meta(ge=150, le=600_000, description="Time from sending a renewal to lease expiry.")
    ] = 600
    max_clock_drift_ppm: Annotated[
        int, Meta(ge=100, le=100_000, description="Bound on the difference in rate of two clocks.")
    ] = 1_000
    watcher_silent_ms: Annotated[
        int, Meta(ge=50, le=600_000, description="Silence after which a watcher is replaced.")
    ] = 400


class Fleet(_SectionModel):
    """The fleet log and its recorder."""

    store_region: Annotated[
        str, Meta(description="Region of the store and of the recorder; empty: any region.")
    ] = ""
    recorder_timeout_ms: Annotated[
        int, Meta(ge=10, le=10_000, description="Timeout after which the next recorder is tried.")
    ] = 150
    checkpoint_entries: Annotated[
        int, Meta(ge=16, le=8_192, description="Log entries between checkpoints of the state.")
    ] = 512
    kept_entries: Annotated[
        int, Meta(ge=1_000, le=1_000_000, description="Number of newest entries kept in the store.")
    ] = 10_000


class Gossip(_SectionModel):
    """Dissemination of fleet and settings versions."""

    edges: Annotated[
        int, Meta(ge=3, le=32, description="Peers to which a new entry is pushed immediately.")
    ] = 6
    datagram_max_bytes: Annotated[
        int, Meta(ge=512, le=1_400, description="A larger entry is fetched over HTTP.")
    ] = 1_200
    store_poll_ms: Annotated[
        int, Meta(ge=500, le=5_000, description="Interval of fallback reads of the store.")
    ] = 2_000


class Placement(_SectionModel):
    """Planned moves of shards."""

    imbalance_weight: Annotated[
        float, Meta(ge=0, le=1_000, description="Weight of load imbalance in the plan's cost.")
    ] = 1.0
    churn_weight: Annotated[
        float, Meta(ge=0, le=1_000, description="Weight of the share of moved keys.")
    ] = 5.0
    unavailable_time_weight: Annotated[
        float, Meta(ge=0, le=1_000, description="Weight of unavailable key-seconds.")
    ] = 5.0
    moves_per_minute: Annotated[
        int, Meta(ge=0, le=100_000, description="Maximum planned moves per owner; 0: none.")
    ] = 30
    max_moving_shards: Annotated[
        int, Meta(ge=1, le=10_000, description="Maximum concurrent shard transfers per owner.")
    ] = 8
    plan_interval_ms: Annotated[
        int, Meta(ge=500, le=600_000, description="Interval of planning and load sampling.")
    ] = 10_000
    sampled_peers: Annotated[
        int, Meta(ge=2, le=16, description="Peers whose load is sampled before planning.")
    ] = 8
    cold_fill_s: Annotated[
        int, Meta(ge=0, le=86_400, description="Time over which a joining server is filled.")
    ] = 60
    fill_delay_s: Annotated[
        int, Meta(ge=0, le=86_400, description="Time a joining server is kept free for drains.")
    ] = 120
    sketch_keys: Annotated[
        int, Meta(ge=16, le=4_096, description="Keys tracked by the heavy-hitter sketch.")
    ] = 128


class Upstream(_SectionModel):
    """Limits and health checks of one upstream."""

    slots: Annotated[
        int,
        Meta(
            ge=0,
            le=65_535,
            description="Maximum concurrent requests; 0: as many as the upstream announces.",
        ),
    ] = 0
    connections: Annotated[int, Meta(ge=1, le=65_535, description="Maximum open connections.")] = (
        100
    )
    connect_timeout_ms: Annotated[
        int, Meta(ge=1, le=60_000, description="Timeout for opening a connection.")
    ] = 1_000
    silent_timeout_ms: Annotated[
        int, Meta(ge=10, le=600_000, description="Timeout for an exchange that receives no byte.")
    ] = 10_000
    idle_connection_s: Annotated[
        int, Meta(ge=1, le=3_600, description="Idle time after which a connection is closed.")
    ] = 60
    lost_after_ms: Annotated[
        int, Meta(ge=100, le=600_000, description="Silence after which an upstream counts as lost.")
    ] = 1_000
    eject_after_failures: Annotated[
        int, Meta(ge=1, le=1_000, description="Consecutive failures that eject an upstream.")
    ] = 5
    eject_ms: Annotated[
        int, Meta(ge=50, le=600_000, description="Time until an ejected upstream is tried again.")
    ] = 1_000
    slow_start_s: Annotated[
        int, Meta(ge=0, le=3_600, description="Time in which a new upstream reaches full weight.")
    ] = 10
    slow_start_initial_percent: Annotated[
        float, Meta(gt=0, le=100, description="Initial share of a new upstream's weight.")
    ] = 10.0


class Queue(_SectionModel):
    """The request queue of one upstream, ordered by deadline."""

    max_requests: Annotated[
        int, Meta(ge=0, le=65_535, description="Maximum queued requests; 0: no queue.")
    ] = 64
    max_wait_ms: Annotated[
        int, Meta(ge=0, le=60_000, description="Longest time in the queue before refusal.")
    ] = 100


class Requests(_SectionModel):
    """Deadlines, retries and size limits of requests."""

    default_deadline_ms: Annotated[
        int, Meta(ge=1, le=3_600_000, description="Deadline of a request that states none.")
    ] = 10_000
    max_deadline_ms: Annotated[
        int, Meta(ge=1, le=3_600_000, description="Upper limit to which deadlines are shortened.")
    ] = 60_000
    max_attempts: Annotated[
        int, Meta(ge=1, le=10, description="Attempts per request, including the first.")
    ] = 3
    retry_budget_percent: Annotated[
        float, Meta(ge=0, le=100, description="Retries as a share of requests.")
    ] = 10.0
    retry_fleet_reserve: Annotated[
        float,
        Meta(
            ge=0,
            le=100_000,
            description="Retries beyond the share in 10 s by the whole fleet; 0: 10 per node.",
        ),
    ] = 0.0
    idempotent_methods: Annotated[
        tuple[IdempotentMethod, ...],
        Meta(description="Methods that may be retried; POST and PATCH only by path."),
    ] = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
    idempotent_paths: Annotated[
        tuple[PathPrefix, ...],
        Meta(
            description="Path prefixes, without the service, that may be retried with any method."
        ),
    ] = ()
    non_repeatable_paths: Annotated[
        tuple[PathPrefix, ...],
        Meta(description="Path prefixes that are never retried; overrides the other two lists."),
    ] = ()
    max_head_bytes: Annotated[
        int, Meta(ge=1_024, le=1 << 20, description="Maximum size of request line and headers.")
    ] = 16_384
    max_key_bytes: Annotated[int, Meta(ge=16, le=8_192, description="Maximum size of a key.")] = (
        1_024
    )
    max_body_bytes: Annotated[
        int, Meta(ge=0, le=1 << 40, description="Maximum size of a request or response body.")
    ] = (1 << 30)
    body_window_bytes: Annotated[
        int, Meta(ge=4_096, le=1 << 24, description="Part of a body buffered in memory.")
    ] = 65_536
    max_hops: Annotated[int, Meta(ge=1, le=8, description="Nodes that may forward a request.")] = 3


class Drain(_SectionModel):
    """Planned release of shards and of nodes."""

    hold_ms: Annotated[
        int, Meta(ge=0, le=200, description="Longest hold of a new request to a moving shard.")
    ] = 200
    hold_max_requests: Annotated[
        int, Meta(ge=0, le=65_535, description="Maximum requests held per moving shard.")
    ] = 64
    stop_work_ms: Annotated[
        int, Meta(ge=50, le=2_000, description="Time until a draining upstream gets no new work.")
    ] = 1_000
    overdue_s: Annotated[
        int, Meta(ge=1, le=86_400, description="Longer requests are reported but not aborted.")
    ] = 30


class Quarantine(_SectionModel):
    """Refusal of requests that crash upstreams."""

    max_crashes: Annotated[
        int, Meta(ge=1, le=2, description="Crashes in the fleet before a request is refused.")
    ] = 2
    expiry_s: Annotated[
        int, Meta(ge=1, le=604_800, description="Time until a refused fingerprint is removed.")
    ] = 600
    max_entries: Annotated[
        int, Meta(ge=16, le=65_536, description="Maximum fingerprints stored per node.")
    ] = 1_024


class Balance(_SectionModel):
    """Selection of upstreams, and locality."""

    reported_load_percent: Annotated[
        float, Meta(ge=0, le=50, description="Weight of reported against observed load.")
    ] = 20.0
    report_expiry_ms: Annotated[
        int, Meta(ge=100, le=600_000, description="Age above which a load report is ignored.")
    ] = 5_000
    latency_half_life_ms: Annotated[
        int, Meta(ge=50, le=600_000, description="Half-life of the moving average of latency.")
    ] = 5_000
    leave_domain_at_percent: Annotated[
        float,
        Meta(ge=0, le=100, description="Slot utilisation at which other failure domains are used."),
    ] = 80.0
    leave_region_at_percent: Annotated[
        float,
        Meta(
            ge=0,
            le=100,
            description="Slot utilisation at which other regions are used;"
            " 100: only after a refusal.",
        ),
    ] = 95.0


class Objective(_SectionModel):
    """Service-level objectives, measured by the burn report."""

    availability_percent: Annotated[
        float, Meta(gt=0, lt=100, description="Share of requests to be served.")
    ] = 99.9
    latency_bound_ms: Annotated[
        float,
        Meta(gt=0, le=600_000, description="Latency up to which a request meets the objective."),
    ] = 20.0
    latency_share_percent: Annotated[
        float,
        Meta(gt=0, lt=100, description="Share of requests to be served within the latency bound."),
    ] = 99.0
    window_days: Annotated[int, Meta(ge=1, le=366, description="Time window of the objective.")] = (
        28
    )


class Logging(_SectionModel):
    """Logging, journal and snapshots of a node."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Meta(description="Minimum severity that is logged."),
    ] = "info"
    request_log_percent: Annotated[
        float, Meta(ge=0, le=100, description="Share of requests that are logged.")
    ] = 0.0
    journal_entries: Annotated[
        int, Meta(ge=16, le=65_536, description="Decisions stored in the journal.")
    ] = 2_048
    snapshot_interval_s: Annotated[
        int, Meta(ge=5, le=3_600, description="Time between latency snapshots.")
    ] = 60


@dataclass(frozen=True, slots=True)
class Section:
    """A section: its name in the tree, its model, and the levels at which it may be stated."""

    name: str
    model: type
    levels: tuple[Level, ...]


# Sections on which nodes of several domains must agree may be stated at the upper levels only.
SECTIONS = {
    section.name: section
    for section in (
        Section("lease", Lease, PLATFORM_ONLY),
        Section("fleet", Fleet, PLATFORM_ONLY),
        Section("gossip", Gossip, PLATFORM_ONLY),
        Section("placement", Placement, SERVICE_LEVELS),
        Section("upstream", Upstream, ALL_LEVELS),
        Section("queue", Queue, ALL_LEVELS),
        Section("requests", Requests, ALL_LEVELS),
        Section("drain", Drain, ALL_LEVELS),
        Section("quarantine", Quarantine, SERVICE_LEVELS),
        Section("balance", Balance, ALL_LEVELS),
        Section("objective", Objective, SERVICE_LEVELS),
        Section("logging", Logging, ALL_LEVELS),
    )
}

# While a change of these values spreads, holder and watchers, or old and new owner, would disagree.
FIXED_PATHS = ("lease.duration_ms", "lease.max_clock_drift_ppm")

# Settings that are validated and stored but not yet read by nodes, which use the built-in default.
# The generated reference marks them. Remove a path when nodes start to read it.
UNUSED_PATHS = frozenset(
    {
        "drain.hold_max_requests",
        "drain.overdue_s",
        "fleet.checkpoint_entries",
        "fleet.kept_entries",
        "fleet.recorder_timeout_ms",
        "gossip.datagram_max_bytes",
        "gossip.edges",
        "gossip.store_poll_ms",
        "lease.duration_ms",
        "lease.max_clock_drift_ppm",
        "lease.renewal_ms",
        "lease.watcher_silent_ms",
        "logging.journal_entries",
        "logging.level",
        "logging.request_log_percent",
        "placement.sketch_keys",
        "requests.body_window_bytes",
        "requests.max_head_bytes",
        "requests.max_hops",
        "upstream.connect_timeout_ms",
        "upstream.idle_connection_s",
        "upstream.silent_timeout_ms",
    }
)
