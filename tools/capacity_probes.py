"""Probes that measure how state, processor time and messages grow with the size of a fleet.

Each probe runs the code of the node at three or more sizes and fits a straight line. The value at
the target size is calculated from this line rather than measured in a single run.
"""

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

from auburnsail._balance import BalanceLimits, LatencyChooser
from auburnsail._checkpoint import dump_fleet, restore_fleet
from auburnsail._fleet import FleetState
from auburnsail._grants import spread_shards
from auburnsail._messages import Ack, Codec, Push, Renewal
from auburnsail._model import (
    Assign,
    Close,
    Entry,
    Evidence,
    Grant,
    Join,
    Session,
    SessionId,
    encode_entry,
)
from auburnsail._recorder import resolve_grants
from auburnsail._tree import parse_tree
from auburnsail._watcher_choice import choose_watchers

__all__ = ["PROBES", "LineFit", "Probe", "build_fleet"]

SERVICE = "catalogue"
REGIONS = 3
DOMAINS = 6
SHARDS_PER_NODE = 25
SLOTS = 12
UDP_IP_HEADER_BYTES = 28
TIMED_RUNS = 3


@dataclass(frozen=True, slots=True)
class LineFit:
    """A straight line through measured points.

    Attributes:
        points: Pairs of a size and the value measured at it.
        slope: Growth per unit of size.
        intercept: Value at size 0.
    """

    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float

    def predict(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.intercept + self.slope * size


@dataclass(frozen=True, slots=True)
class Probe:
    """One quantity that is measured at several sizes.

    Attributes:
        name: Name of the quantity on the capacity page.
        size_unit: Unit of the size.
        unit: Unit of the value.
        sizes: Sizes to measure.
        target_size: Size in a fleet of the target size.
        measure: Measures the value at a size.
    """

    name: str
    size_unit: str
    unit: str
    sizes: tuple[int, ...]
    target_size: float
    measure: Callable[[int], float]

    def fit(self) -> LineFit:
        """Measures at all sizes and fits a line by least squares."""
        points = tuple((float(size), self.measure(size)) for size in self.sizes)
        mean_x = sum(x for x, _ in points) / len(points)
        mean_y = sum(y for _, y in points) / len(points)
        covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
        slope = covariance / sum((x - mean_x) ** 2 for x, _ in points)
        return LineFit(points, slope, mean_y - slope * mean_x)


def build_fleet(nodes: int, shards_per_node: int = SHARDS_PER_NODE, seed: int = 1) -> FleetState:
    """Returns the state of a fleet in which all sessions have watchers and all shards have owners.

    Args:
        nodes: Number of open sessions, distributed evenly over the failure domains.
        shards_per_node: Number of shards that each session owns.
        seed: Seed of the random choice of watchers.
    """
    rng = random.Random(seed)
    ids = [SessionId(f"node-{number:05}", rng.getrandbits(48)) for number in range(nodes)]
    joins = tuple(Join(str(ids[n]), _make_session(ids, n, rng)) for n in range(nodes))
    shards = nodes * shards_per_node
    grants = tuple(Grant(ids[n], tuple(range(n, shards, nodes))) for n in range(nodes))
    fleet = FleetState()
    fleet.apply(Entry(1, b"", "joins", joins))
    if shards:
        fleet.apply(Entry(2, fleet.digest, "shards", (Assign("a", SERVICE, grants, shards),)))
    return fleet


def _make_session(ids: list[SessionId], number: int, rng: random.Random) -> Session:
    domain = number % DOMAINS
    same_region_domain = domain ^ 1
    third_domain = (domain + 2 + rng.randrange(4)) % DOMAINS
    watchers = tuple(
        _random_session_of(ids, watcher_domain, number, rng)
        for watcher_domain in (domain, same_region_domain, third_domain)
    )
    address = f"10.{number // 62500}.{number // 250 % 250}.{number % 250}"
    region = f"region-{domain // 2}"
    data, control = f"{address}:8000", f"{address}:9000"
    name = f"{region}-{domain % 2}"
    return Session(ids[number], region, name, data, control, SERVICE, SLOTS, watchers)


def _random_session_of(
    ids: list[SessionId], domain: int, excluded_number: int, rng: random.Random
) -> SessionId:
    while True:
        number = rng.randrange(len(ids) // DOMAINS) * DOMAINS + domain
        if number != excluded_number:
            return ids[number]


def _min_cpu_us(function: Callable[[], object]) -> float:
    """Returns the shortest processor time of several calls in microseconds."""
    shortest = float("inf")
    for _ in range(TIMED_RUNS):
        started = time.process_time_ns()
        function()
        shortest = min(shortest, time.process_time_ns() - started)
    return shortest / 1000


def _state_kb(nodes: int) -> float:
    checkpoint = dump_fleet(build_fleet(nodes))
    tracemalloc.start()
    fleet = FleetState()
    restore_fleet(fleet, checkpoint)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1000


def _checkpoint_kb(nodes: int) -> float:
    return len(dump_fleet(build_fleet(nodes))) / 1000


def _restore_ms(nodes: int) -> float:
    checkpoint = dump_fleet(build_fleet(nodes))
    return _min_cpu_us(lambda: restore_fleet(FleetState(), checkpoint)) / 1000


def _closes(fleet: FleetState, sessions: list[SessionId]) -> tuple[Close, ...]:
    closes = []
    for session_id in sessions:
        watchers = fleet.sessions[session_id].session.watchers
        evidence = tuple(Evidence(watcher, 651) for watcher in watchers[:2])
        closes.append(Close(str(session_id), session_id, evidence))
    return resolve_grants(fleet, tuple(closes), spread_shards)


def _domain_sessions(fleet: FleetState, count: int) -> list[SessionId]:
    first = next(iter(fleet.sessions.values())).session.domain
    rows = [row for row in fleet.sessions.values() if row.session.domain == first]
    return [row.session.id for row in rows[:count]]


def _close_decide_ms(nodes: int) -> float:
    fleet = build_fleet(nodes)
    closed_sessions = _domain_sessions(fleet, 1)
    return _min_cpu_us(lambda: _closes(fleet, closed_sessions)) / 1000


def _close_apply_ms(nodes: int) -> float:
    fleet = build_fleet(nodes)
    checkpoint = dump_fleet(fleet)
    entry = Entry(3, fleet.digest, "close", _closes(fleet, _domain_sessions(fleet, 1)))
    shortest = float("inf")
    for _ in range(TIMED_RUNS):
        copy = FleetState()
        restore_fleet(copy, checkpoint)
        started = time.process_time_ns()
        copy.apply(entry)
        shortest = min(shortest, time.process_time_ns() - started)
    return shortest / 1e6


def _domain_entry_kb(sessions: int) -> float:
    fleet = build_fleet(DOMAINS * 200)
    return (
        len(encode_entry(Entry(3, b"", "c", _closes(fleet, _domain_sessions(fleet, sessions)))))
        / 1000
    )


def _domain_decide_ms(sessions: int) -> float:
    fleet = build_fleet(sessions * DOMAINS)
    closed_sessions = _domain_sessions(fleet, sessions)
    started = time.process_time_ns()
    _closes(fleet, closed_sessions)
    return (time.process_time_ns() - started) / 1e6


def _domain_apply_ms(sessions: int) -> float:
    fleet = build_fleet(sessions * DOMAINS)
    entry = Entry(3, fleet.digest, "c", _closes(fleet, _domain_sessions(fleet, sessions)))
    started = time.process_time_ns()
    fleet.apply(entry)
    return (time.process_time_ns() - started) / 1e6


def _watchers_ms(nodes: int) -> float:
    fleet = build_fleet(nodes, 0)
    row = next(iter(fleet.sessions.values()))
    rng = random.Random(1)
    watchers = row.session.watchers
    return _min_cpu_us(lambda: choose_watchers(fleet, row.session, watchers, set(), rng)) / 1000


def _flood_steps(doublings: int) -> float:
    fleet = build_fleet(2**doublings, 0)
    edges: dict[SessionId, set[SessionId]] = {session: set() for session in fleet.sessions}
    for session, row in fleet.sessions.items():
        for watcher in row.session.watchers:
            edges[session].add(watcher)
            edges[watcher].add(session)
    worst = 0
    for start in list(fleet.sessions)[:8]:
        reached, frontier, steps = {start}, {start}, 0
        while frontier:
            frontier = {other for session in frontier for other in edges[session]} - reached
            reached |= frontier
            steps += bool(frontier)
        worst = max(worst, steps)
    return float(worst)


def _exchange_us(messages: int) -> float:
    codecs = Codec("0123456789abcdef", 1), Codec("0123456789abcdef", 2)
    holder, watcher = SessionId("node-00001", 1 << 47), SessionId("node-00002", 1 << 47)

    def run() -> None:
        for number in range(messages):
            sent = codecs[0].encode(Renewal(holder, watcher, 10**15 + number, 10**5, 10**5))
            codecs[1].decode(sent)
            answer = Ack(holder, watcher, 10**15 + number, False, 10**5, 10**5)
            codecs[0].decode(codecs[1].encode(answer))

    return _min_cpu_us(run)


def _renewal_bytes(pairs: int) -> float:
    codec = Codec("0123456789abcdef", 1 << 47)
    holder, watcher = SessionId("node-00001", 1 << 47), SessionId("node-00002", 1 << 47)
    renewal = codec.encode(Renewal(holder, watcher, 10**15, 10**5, 10**5))
    ack = codec.encode(Ack(holder, watcher, 10**15, False, 10**5, 10**5))
    return float(pairs * (len(renewal) + len(ack) + 2 * UDP_IP_HEADER_BYTES))


def _push_bytes(shards: int) -> float:
    fleet = build_fleet(DOMAINS * 10, shards)
    entry = encode_entry(Entry(3, b"x" * 16, "close", _closes(fleet, _domain_sessions(fleet, 1))))
    return float(len(Codec("0123456789abcdef", 1).encode(Push(entry))) + UDP_IP_HEADER_BYTES)


def _tree_text(statements: int) -> str:
    services = {
        f"service-{number}": {"queue": {"max_requests": number % 60 + 1}}
        for number in range(statements)
    }
    return json.dumps({"services": services}, indent=2)


def _tree_ms(statements: int) -> float:
    text = _tree_text(statements)
    return _min_cpu_us(lambda: parse_tree(text, "probe", ignore_unknown=True)) / 1000


def _tree_kb(statements: int) -> float:
    return len(_tree_text(statements)) / 1000


def _choose_us(candidates: int) -> float:
    fleet = build_fleet(candidates, 0)
    sessions = [row.session for row in fleet.sessions.values()]
    chooser = LatencyChooser("region-0", "region-0-0", BalanceLimits(), random.Random(1), lambda: 1)
    chooser.choose(sessions, 1)

    def run() -> None:
        for _ in range(200):
            chooser.choose(sessions, 1)

    return _min_cpu_us(run) / 200


NODES = (650, 1300, 2600)
TARGET_NODES = 5200
# 12.34 is the binary logarithm of TARGET_NODES, 867 the number of these nodes in one of the six
# failure domains, and 1733 a third of TARGET_NODES.
PROBES = (
    Probe("fleet state", "node", "KB", NODES, TARGET_NODES, _state_kb),
    Probe("checkpoint", "node", "KB", NODES, TARGET_NODES, _checkpoint_kb),
    Probe("restore from a checkpoint", "node", "ms CPU", NODES, TARGET_NODES, _restore_ms),
    Probe("decide one close", "node", "ms CPU", NODES, TARGET_NODES, _close_decide_ms),
    Probe("apply one close", "node", "ms CPU", NODES, TARGET_NODES, _close_apply_ms),
    Probe("choose watchers", "node", "ms CPU", NODES, TARGET_NODES, _watchers_ms),
    Probe("steps of a flood", "doubling of nodes", "steps", (8, 9, 10, 11), 12.34, _flood_steps),
    Probe("entry of a domain loss", "session", "KB", (50, 100, 200), 867, _domain_entry_kb),
    Probe("decide a domain loss", "session", "ms CPU", (200, 400, 867), 867, _domain_decide_ms),
    Probe("apply a domain loss", "session", "ms CPU", (200, 400, 867), 867, _domain_apply_ms),
    Probe("renewal and acknowledgement", "pair", "us CPU", (500, 1000, 2000), 30, _exchange_us),
    Probe("bytes of renewals", "pair/s", "B/s", (1, 2, 4), 30, _renewal_bytes),
    Probe("push of one close", "shard", "B", (10, 25, 50), SHARDS_PER_NODE, _push_bytes),
    Probe("read the settings tree", "value", "ms CPU", (50, 100, 200), 1000, _tree_ms),
    Probe("text of the settings tree", "value", "KB", (50, 100, 200), 1000, _tree_kb),
    Probe("choose among upstreams", "candidate", "us CPU", (30, 300, 600), 1733, _choose_us),
)
