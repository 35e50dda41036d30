"""Request measurements of a node, and the snapshots of them in the object store.

Latencies are recorded in HdrHistograms with equal parameters, so that snapshots of any nodes and
intervals merge exactly: the merged histogram equals one that recorded every value itself.
"""

from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime

import msgspec
from hdrh.histogram import HdrHistogram

from ._clock import NS_PER_S, Clock

__all__ = [
    "CANCELLED",
    "FleetView",
    "Measurements",
    "NodeProcess",
    "ServiceMetrics",
    "Snapshot",
    "UpstreamMetrics",
    "count_within",
    "decode_histogram",
    "decode_snapshots",
    "encode_snapshots",
    "hour_prefix",
    "new_histogram",
    "snapshot_key",
]

SNAPSHOT_PREFIX = "snapshots/"
MIN_LATENCY_US = 1
# The longest deadline of a request, 600 s. Longer latencies are recorded as this value.
MAX_LATENCY_US = 600_000_000
# Two digits give an error of at most 1% and take 24 KB per service; three digits take 172 KB.
SIGNIFICANT_DIGITS = 2
NS_PER_US = 1000

SERVED = "served"
CALLER_ERROR = "caller-error"
SERVER_ERROR = "server-error"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
CANCELLED = "cancelled"
TOO_MANY_REQUESTS = 429
# Reasons for refusing a request because no owner could serve its shard. With any other reason the
# owner exists but is overloaded, or the request arrived too late.
UNAVAILABLE_REASONS = frozenset(
    {
        "connect-failed",
        "draining",
        "map-behind",
        "moving",
        "no-lease",
        "no-owner",
        "no-upstream",
        "not-owner",
        "violation",
    }
)


class ServiceMetrics(msgspec.Struct, frozen=True):
    """Measurements of the requests to one service that callers sent to one node.

    Attributes:
        endings: Number of requests by result: ``served``, ``caller-error`` and ``server-error``
            are answers of an upstream; ``not-run``, ``unknown`` and ``refused`` are answers of
            the node; ``cancelled`` means that the caller closed the connection first.
        reasons: Number of refusals by ``<outcome>/<reason>``.
        latency: Encoded histogram in microseconds of the requests counted as ``served`` or
            ``caller-error``; empty if there are none.
        refused_shard_s: Shard-seconds in which a request was not run because no owner could serve
            its shard. A shard counts once per second, and not in a second without requests.
        unowned_shard_s: Shard-seconds without an owner in this node's copy of the fleet log.
    """

    endings: dict[str, int]
    reasons: dict[str, int] = {}
    latency: bytes = b""
    refused_shard_s: int = 0
    unowned_shard_s: float = 0.0


class UpstreamMetrics(msgspec.Struct, frozen=True):
    """Load of the local upstream of a node.

    Attributes:
        requests: Requests sent to the upstream, including those that other nodes forwarded.
        busy_ms: Sum of the times from receiving a request to the end of its answer.
        slots: Concurrent requests that the upstream accepts, 0 if the node's session is for
            another service.
    """

    requests: int = 0
    busy_ms: float = 0.0
    slots: int = 0


class Snapshot(msgspec.Struct, frozen=True):
    """Measurements of one node in one interval of its own wall clock.

    Attributes:
        node: Name of the node.
        run: Identifies the process.
        number: Sequence number in the process, by which duplicates from retried writes are found.
        region: Region of the node.
        domain: Failure domain of the node.
        start_s: Start of the interval as a Unix timestamp.
        end_s: End of the interval as a Unix timestamp; a multiple of the interval length, except in
            the last snapshot.
        clock_step_s: Elapsed time on the wall clock minus elapsed time on the boot clock.
        fleet_version: Version of the fleet log at the end of the interval.
        node_seconds: Integral of the number of open sessions over the interval, by
            ``region/domain``.
        dropped: Snapshots that the process has discarded since its start.
        is_last: Whether this is the last snapshot of a process that shut down cleanly.
        cells: Measurements of requests from callers, by service.
        loads: Load of the upstream on the node's VM, by service.
    """

    node: str
    run: str
    number: int
    region: str
    domain: str
    start_s: float
    end_s: float
    clock_step_s: float = 0.0
    fleet_version: int = 0
    node_seconds: dict[str, float] = {}
    dropped: int = 0
    is_last: bool = False
    cells: dict[str, ServiceMetrics] = {}
    loads: dict[str, UpstreamMetrics] = {}

    @property
    def seconds(self) -> float:
        """Length of the interval in seconds, at least 0."""
        return max(0.0, self.end_s - self.start_s)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[Snapshot])


def encode_snapshots(snapshots: list[Snapshot]) -> bytes:
    """Returns the encoded form in which snapshots of one node are stored."""
    return _ENCODER.encode(snapshots)


def decode_snapshots(data: bytes) -> list[Snapshot]:
    """Decodes snapshots from their stored form.

    Raises:
        msgspec.DecodeError: The bytes are not valid.
    """
    return _DECODER.decode(data)


def hour_prefix(time_s: float) -> str:
    """Returns the key prefix of objects whose first snapshot starts in the hour of a timestamp."""
    return SNAPSHOT_PREFIX + datetime.fromtimestamp(time_s, UTC).strftime("%Y-%m-%dT%H")


def snapshot_key(snapshots: list[Snapshot]) -> str:
    """Returns the key of the object for snapshots of one node.

    The key includes the last sequence number, so that a write that takes effect late cannot replace
    a newer object with more snapshots.
    """
    first, last = snapshots[0], snapshots[-1]
    minute = datetime.fromtimestamp(first.start_s, UTC).strftime(":%M")
    name = f"{first.node}.{first.run}.{first.number}-{last.number}"
    return f"{hour_prefix(first.start_s)}{minute}/{name}"


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram with the parameters that all snapshots share."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS, b64_wrap=False)


def decode_histogram(data: bytes) -> HdrHistogram:
    """Decodes a histogram."""
    return HdrHistogram.decode(data, b64_wrap=False)


def count_within(histogram: HdrHistogram, bound_us: int) -> int:
    """Returns the number of values up to a bound, to the resolution of the histogram."""
    last_index = histogram.get_counts_array_index(min(bound_us, MAX_LATENCY_US))
    return sum(histogram.counts[: last_index + 1])


@dataclass(frozen=True, slots=True)
class NodeProcess:
    """A process of a node and its location.

    Attributes:
        node: Name of the node.
        region: Region of the node.
        domain: Failure domain of the node.
        run: Identifies the process.
    """

    node: str
    region: str
    domain: str
    run: str = ""


@dataclass(frozen=True, slots=True)
class FleetView:
    """State of the fleet in a node's copy of the fleet log.

    Attributes:
        fleet_version: Version of the copy.
        open_sessions: Number of open sessions by ``region/domain``.
        unowned_shards: Number of shards without an owner, by keyed service.
        service: Service of the node's own session, or an empty string.
        slots: Slots stated in the node's own session.
    """

    fleet_version: int = 0
    open_sessions: dict[str, int] = field(default_factory=dict)
    unowned_shards: dict[str, int] = field(default_factory=dict)
    service: str = ""
    slots: int = 0


class _ServiceAccumulator:
    """Measurements of one service in the current interval."""

    __slots__ = ("endings", "latency", "reasons", "refused_shard_s")

    def __init__(self) -> None:
        self.endings: dict[str, int] = {}
        self.reasons: dict[str, int] = {}
        self.latency: HdrHistogram | None = None
        self.refused_shard_s = 0


class Measurements:
    """Collects the measurements of a node in an interval; implements `Observer`.

    Args:
        process: The node process that measures.
        clock: Source of time for counting shard-seconds.
    """

    def __init__(self, process: NodeProcess, clock: Clock) -> None:
        self._process = process
        self._clock = clock
        self._accumulators: dict[str, _ServiceAccumulator] = {}
        self._loads: dict[str, list[int]] = {}
        self._node_seconds: Counter[str] = Counter()
        self._unowned_s: Counter[str] = Counter()
        self._sampled_s = 0.0
        self._counted_shards: set[tuple[str, int]] = set()
        self._counted_second = 0
        self._snapshot_number = 0
        self._view = FleetView()

    def on_answer(
        self, service: str, shard: int, outcome: str, status: int, duration_ns: int, reason: str
    ) -> None:
        """Records the result of a request that this node received from a caller.

        Args:
            service: A service of the settings tree.
            shard: Shard of the request, -1 if there is none or it is unknown.
            outcome: Outcome of a refusal, ``cancelled``, or empty if an upstream responded.
            status: HTTP status of the upstream's answer.
            duration_ns: Time from the head of the request to the end of the answer.
            reason: Reason of a refusal.
        """
        accumulator = self._accumulators.get(service)
        if accumulator is None:
            accumulator = self._accumulators[service] = _ServiceAccumulator()
        ending = outcome or _ending_for_status(status)
        endings = accumulator.endings
        endings[ending] = endings.get(ending, 0) + 1
        if ending in (SERVED, CALLER_ERROR):
            if accumulator.latency is None:
                accumulator.latency = new_histogram()
            microseconds = max(MIN_LATENCY_US, min(duration_ns // NS_PER_US, MAX_LATENCY_US))
            accumulator.latency.record_value(microseconds)
        elif reason:
            reason_key = f"{outcome}/{reason}"
            accumulator.reasons[reason_key] = accumulator.reasons.get(reason_key, 0) + 1
            if shard >= 0 and outcome == NOT_RUN and reason in UNAVAILABLE_REASONS:
                self._count_refused_shard(accumulator, service, shard)

    def on_served(self, service: str, duration_ns: int) -> None:
        """Implements `Observer.on_served`."""
        load = self._loads.setdefault(service, [0, 0])
        load[0] += 1
        load[1] += duration_ns

    def sample(self, view: FleetView, elapsed_s: float) -> None:
        """Adds a period of time during which the fleet was in the given state."""
        self._view = view
        self._sampled_s += elapsed_s
        for location, sessions in view.open_sessions.items():
            self._node_seconds[location] += sessions * elapsed_s
        for service, shards in view.unowned_shards.items():
            if shards:
                self._unowned_s[service] += shards * elapsed_s

    def take_snapshot(
        self, start_s: float, end_s: float, *, clock_step_s: float, dropped: int, is_last: bool
    ) -> Snapshot:
        """Returns the measurements since the previous snapshot and resets them.

        Args:
            start_s: Start of the interval as a Unix timestamp.
            end_s: End of the interval as a Unix timestamp.
            clock_step_s: Elapsed time on the wall clock minus that on the boot clock.
            dropped: Snapshots discarded since the start of the process.
            is_last: Whether the process is stopping.
        """
        services = {*self._accumulators, *self._unowned_s}
        # The last sample ends with a timer tick after the end of the interval. Without scaling, a
        # node would appear to be missing for a part of every second or third interval.
        scale = (end_s - start_s) / self._sampled_s if self._sampled_s else 0.0
        node_seconds = {name: value * scale for name, value in self._node_seconds.items()}
        process, view = self._process, self._view
        loads = {
            service: UpstreamMetrics(
                requests, busy_ns / 1e6, view.slots if service == view.service else 0
            )
            for service, (requests, busy_ns) in self._loads.items()
        }
        if view.service:
            # An upstream without requests must be included in the mean load.
            loads.setdefault(view.service, UpstreamMetrics(slots=view.slots))
        snapshot = Snapshot(
            process.node,
            process.run,
            self._snapshot_number,
            process.region,
            process.domain,
            start_s,
            end_s,
            clock_step_s,
            view.fleet_version,
            node_seconds,
            dropped,
            is_last,
            {service: self._service_metrics(service) for service in sorted(services)},
            loads,
        )
        self._snapshot_number += 1
        self._accumulators = {}
        self._loads = {}
        self._node_seconds = Counter()
        self._unowned_s = Counter()
        self._sampled_s = 0.0
        return snapshot

    def _count_refused_shard(
        self, accumulator: _ServiceAccumulator, service: str, shard: int
    ) -> None:
        second = self._clock.now_ns() // NS_PER_S
        if second != self._counted_second:
            self._counted_second = second
            self._counted_shards.clear()
        if (service, shard) not in self._counted_shards:
            self._counted_shards.add((service, shard))
            accumulator.refused_shard_s += 1

    def _service_metrics(self, service: str) -> ServiceMetrics:
        accumulator = self._accumulators.get(service) or _ServiceAccumulator()
        latency = accumulator.latency.encode() if accumulator.latency is not None else b""
        unowned_s = self._unowned_s[service]
        return ServiceMetrics(
            accumulator.endings,
            accumulator.reasons,
            latency,
            accumulator.refused_shard_s,
            unowned_s,
        )


def _ending_for_status(status: int) -> str:
    """Returns the result under which an answer of an upstream is counted.

    A status of 4xx is a valid answer to an invalid request and no fault of the server. 429 is
    counted as a server error, because the upstream refused for lack of capacity.
    """
    if status >= 500 or status == TOO_MANY_REQUESTS:
        return SERVER_ERROR
    return CALLER_ERROR if status >= 400 else SERVED
