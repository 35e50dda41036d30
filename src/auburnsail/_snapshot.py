"""What a node measures about requests, and the snapshots of it that go to the object store.

Latencies are kept in HdrHistograms of one shape, so that snapshots of any nodes and intervals merge
exactly: the merged counts are those of one histogram that recorded every value.
"""

from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime

import msgspec
from hdrh.histogram import HdrHistogram

from ._clock import NS_PER_S, Clock

__all__ = [
    "CANCELLED",
    "Cell",
    "Load",
    "Measurements",
    "Place",
    "Snapshot",
    "View",
    "count_within",
    "decode_histogram",
    "decode_snapshots",
    "encode_snapshots",
    "hour_prefix",
    "new_histogram",
    "snapshot_key",
]

SNAPSHOT_PREFIX = "snapshots/"
LOWEST_US = 1
# The longest deadline of a request, 600 s. Longer answers are counted at this value.
HIGHEST_US = 600_000_000
# Two digits keep a value within 1% in 24 KB per service; three digits need 172 KB.
SIGNIFICANT_DIGITS = 2
NS_PER_US = 1000

SERVED = "served"
CALLER_ERROR = "caller-error"
SERVER_ERROR = "server-error"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
CANCELLED = "cancelled"
TOO_MANY_REQUESTS = 429
# Refusals for want of an owner that may serve. With any other the owner is there, but is busy, or
# the request came late.
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


class Cell(msgspec.Struct, frozen=True):
    """One service as callers of one node saw it.

    Attributes:
        endings: Requests by how they ended: ``served``, ``caller-error`` and ``server-error`` are
            answers of an upstream, ``not-run``, ``unknown`` and ``refused`` the node's own, and
            ``cancelled`` means that the caller closed the connection first.
        reasons: Refusals by ``<outcome>/<reason>``.
        latency: Encoded histogram in microseconds of the requests that were served or answered
            with a caller error; empty if there are none.
        refused_shard_s: Shard-seconds in which a request was not run for want of an owner that may
            serve. Each shard counts once per second; a shard without requests is not seen.
        unowned_shard_s: Shard-seconds without an owner in this node's copy of the fleet log.
    """

    endings: dict[str, int]
    reasons: dict[str, int] = {}
    latency: bytes = b""
    refused_shard_s: int = 0
    unowned_shard_s: float = 0.0


class Load(msgspec.Struct, frozen=True):
    """What the upstream beside a node did.

    Attributes:
        requests: Requests sent to it, whoever received them from the caller.
        busy_ms: Sum of the time from receiving a request to the end of its answer.
        slots: Places for concurrent work, 0 if the node's session is of another service.
    """

    requests: int = 0
    busy_ms: float = 0.0
    slots: int = 0


class Snapshot(msgspec.Struct, frozen=True):
    """Measurements of one node in one interval of its own wall clock.

    Attributes:
        node: Name of the node.
        run: Identifies the process.
        number: Counts the snapshots of a process, so that a repeated write is recognised.
        region: Region of the node.
        domain: Failure domain of the node.
        start_s: Start in seconds since 1970, UTC.
        end_s: End in seconds since 1970, UTC; a multiple of the interval unless it is the last.
        clock_step_s: Time on the wall clock minus time on the boot clock over the interval.
        fleet_version: Version of the fleet log at the end.
        node_seconds: Integral over the interval of the open sessions by ``region/domain``.
        dropped: Snapshots of this process that were given up since its start.
        is_last: Whether the process ended regularly with this snapshot.
        cells: What callers saw, by service.
        loads: What the upstream beside the node did, by service.
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
    cells: dict[str, Cell] = {}
    loads: dict[str, Load] = {}

    @property
    def seconds(self) -> float:
        """Length of the interval."""
        return max(0.0, self.end_s - self.start_s)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[Snapshot])


def encode_snapshots(snapshots: list[Snapshot]) -> bytes:
    """Returns the stored form of snapshots of one node."""
    return _ENCODER.encode(snapshots)


def decode_snapshots(data: bytes) -> list[Snapshot]:
    """Returns snapshots from their stored form.

    Raises:
        msgspec.DecodeError: The bytes are not valid.
    """
    return _DECODER.decode(data)


def hour_prefix(time_s: float) -> str:
    """Returns the prefix of the objects whose first snapshot starts in the hour of a time."""
    return SNAPSHOT_PREFIX + datetime.fromtimestamp(time_s, UTC).strftime("%Y-%m-%dT%H")


def snapshot_key(snapshots: list[Snapshot]) -> str:
    """Returns the key of an object with snapshots of one node.

    The last number is part of the key: a write that takes effect late must not replace a newer
    object with more snapshots in it.
    """
    first, last = snapshots[0], snapshots[-1]
    minute = datetime.fromtimestamp(first.start_s, UTC).strftime(":%M")
    name = f"{first.node}.{first.run}.{first.number}-{last.number}"
    return f"{hour_prefix(first.start_s)}{minute}/{name}"


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram of the shape that all snapshots have."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS, b64_wrap=False)


def decode_histogram(data: bytes) -> HdrHistogram:
    """Returns a histogram from its encoded form."""
    return HdrHistogram.decode(data, b64_wrap=False)


def count_within(histogram: HdrHistogram, bound_us: int) -> int:
    """Returns how many values are at most a bound, to the resolution of the histogram."""
    last = histogram.get_counts_array_index(min(bound_us, HIGHEST_US))
    return sum(histogram.counts[: last + 1])


@dataclass(frozen=True, slots=True)
class Place:
    """The node that measures."""

    node: str
    region: str
    domain: str
    run: str = ""


@dataclass(frozen=True, slots=True)
class View:
    """The fleet as a node knows it now.

    Attributes:
        fleet_version: Version of its fleet log.
        nodes: Open sessions by ``region/domain``.
        unowned: Shards without an owner by keyed service.
        service: Service of its own session, or an empty string.
        slots: Slots of its own session.
    """

    fleet_version: int = 0
    nodes: dict[str, int] = field(default_factory=dict)
    unowned: dict[str, int] = field(default_factory=dict)
    service: str = ""
    slots: int = 0


class _Recording:
    """Measurements of one service in the current interval."""

    __slots__ = ("endings", "latency", "reasons", "shard_s")

    def __init__(self) -> None:
        self.endings: dict[str, int] = {}
        self.reasons: dict[str, int] = {}
        self.latency: HdrHistogram | None = None
        self.shard_s = 0


class Measurements:
    """Collects what a node measures in the current interval.

    Args:
        place: The node that measures.
        clock: Source of time for seconds without an owner.
    """

    def __init__(self, place: Place, clock: Clock) -> None:
        self._place = place
        self._clock = clock
        self._recordings: dict[str, _Recording] = {}
        self._loads: dict[str, list[int]] = {}
        self._node_seconds: Counter[str] = Counter()
        self._unowned_s: Counter[str] = Counter()
        self._sampled_s = 0.0
        self._shards_now: set[tuple[str, int]] = set()
        self._second = 0
        self._number = 0
        self._view = View()

    def on_answer(
        self, service: str, shard: int, outcome: str, status: int, duration_ns: int, reason: str
    ) -> None:
        """Records how a request ended that this node received from its caller.

        Args:
            service: A service of the settings tree.
            shard: Shard of the request, -1 if there is none or it is not known.
            outcome: Outcome of a refusal, ``cancelled``, or an empty string for an answer.
            status: HTTP status of an upstream's answer.
            duration_ns: Time from the request's head to the end of its answer.
            reason: Reason of a refusal.
        """
        recording = self._recordings.get(service)
        if recording is None:
            recording = self._recordings[service] = _Recording()
        ending = outcome or _ending_of(status)
        endings = recording.endings
        endings[ending] = endings.get(ending, 0) + 1
        if ending in (SERVED, CALLER_ERROR):
            if recording.latency is None:
                recording.latency = new_histogram()
            microseconds = max(LOWEST_US, min(duration_ns // NS_PER_US, HIGHEST_US))
            recording.latency.record_value(microseconds)
        elif reason:
            name = f"{outcome}/{reason}"
            recording.reasons[name] = recording.reasons.get(name, 0) + 1
            if shard >= 0 and outcome == NOT_RUN and reason in UNAVAILABLE_REASONS:
                self._mark_shard(recording, service, shard)

    def on_served(self, service: str, duration_ns: int) -> None:
        """Records a request that was sent to the upstream beside this node."""
        load = self._loads.setdefault(service, [0, 0])
        load[0] += 1
        load[1] += duration_ns

    def sample(self, view: View, elapsed_s: float) -> None:
        """Adds a stretch of time in which the fleet looked as the view says."""
        self._view = view
        self._sampled_s += elapsed_s
        for place, nodes in view.nodes.items():
            self._node_seconds[place] += nodes * elapsed_s
        for service, shards in view.unowned.items():
            if shards:
                self._unowned_s[service] += shards * elapsed_s

    def cut(
        self, start_s: float, end_s: float, *, step_s: float, dropped: int, is_last: bool
    ) -> Snapshot:
        """Returns the measurements since the last cut and starts afresh.

        Args:
            start_s: Start of the interval, UTC.
            end_s: End of the interval, UTC.
            step_s: Time on the wall clock minus time on the boot clock.
            dropped: Snapshots given up since the start of the process.
            is_last: Whether the process ends.
        """
        services = {*self._recordings, *self._unowned_s}
        # Samples end with a timer tick after the end of the interval. Without this, a node would
        # seem to miss a part of every second or third interval.
        scale = (end_s - start_s) / self._sampled_s if self._sampled_s else 0.0
        node_seconds = {name: value * scale for name, value in self._node_seconds.items()}
        place, view = self._place, self._view
        loads = {
            service: Load(requests, busy_ns / 1e6, view.slots if service == view.service else 0)
            for service, (requests, busy_ns) in self._loads.items()
        }
        if view.service:
            # An upstream without requests counts in the mean too.
            loads.setdefault(view.service, Load(slots=view.slots))
        snapshot = Snapshot(
            place.node,
            place.run,
            self._number,
            place.region,
            place.domain,
            start_s,
            end_s,
            step_s,
            view.fleet_version,
            node_seconds,
            dropped,
            is_last,
            {service: self._cell(service) for service in sorted(services)},
            loads,
        )
        self._number += 1
        self._recordings = {}
        self._loads = {}
        self._node_seconds = Counter()
        self._unowned_s = Counter()
        self._sampled_s = 0.0
        return snapshot

    def _mark_shard(self, recording: _Recording, service: str, shard: int) -> None:
        second = self._clock.now_ns() // NS_PER_S
        if second != self._second:
            self._second = second
            self._shards_now.clear()
        if (service, shard) not in self._shards_now:
            self._shards_now.add((service, shard))
            recording.shard_s += 1

    def _cell(self, service: str) -> Cell:
        recording = self._recordings.get(service) or _Recording()
        latency = recording.latency.encode() if recording.latency is not None else b""
        unowned_s = self._unowned_s[service]
        return Cell(recording.endings, recording.reasons, latency, recording.shard_s, unowned_s)


def _ending_of(status: int) -> str:
    """Returns how a request ended that an upstream answered.

    An answer in the 400s is the right answer to what the caller asked; 429 is not, because the
    upstream declined for its own want of capacity.
    """
    if status >= 500 or status == TOO_MANY_REQUESTS:
        return SERVER_ERROR
    return CALLER_ERROR if status >= 400 else SERVED
