"""Signals of the stop soak: seeded stops and restarts of nodes, with signals that overlap."""

import itertools
import random
import signal
from collections import Counter
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.lock import BoundedSemaphore

from auburnsail._node import IDLE_CLOSE_GRACE_MS
from auburnsail._sockets import endpoint
from standins.ledger import now_ns
from tests.fleet import LocalFleet, Member, wait_until

from .stop_soak_callers import BURST_S, Target

PAUSE_S = (0.2, 2.0)
STOP_TIMEOUT_S = 20.0
START_TIMEOUT_S = 20.0
PROBE_INTERVAL_S = 0.002
PROBE_TIMEOUT_S = 0.2
SUSPENSION_S = (0.05, 0.2)
EXTRA_SIGNALS = (signal.SIGTERM, signal.SIGHUP)
_CLOSE_GRACE_S = IDLE_CLOSE_GRACE_MS / 1000


@dataclass(slots=True)
class StopLog:
    """What was done to the nodes. Times are nanoseconds of CLOCK_BOOTTIME.

    Attributes:
        stops_ns: Times of the first SIGTERM of each stop, by node.
        suspensions: Start and end of each suspension of a node's process, by node.
        counts: Number of signals and events by name.
        findings: Stops and starts that failed.
    """

    stops_ns: dict[str, list[int]] = field(default_factory=dict)
    suspensions: dict[str, list[tuple[int, int]]] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    findings: list[str] = field(default_factory=list)

    def describe_stop(self, node: str, time_ns: int) -> str:
        """Returns the time since the last SIGTERM to a node, and how long it was suspended since."""
        earlier = [stop_ns for stop_ns in self.stops_ns.get(node, ()) if stop_ns <= time_ns]
        if not earlier:
            return "no SIGTERM before"
        since_ms = (time_ns - max(earlier)) / 1e6
        suspended_ms = since_ms - self.running_ms(node, max(earlier), time_ns)
        return f"{since_ms:.0f} ms after SIGTERM, suspended for {suspended_ms:.0f} ms of them"

    def running_ms(self, node: str, start_ns: int, end_ns: int) -> float:
        """Returns how long a node's process was not suspended between two times."""
        suspended_ns = sum(
            max(0, min(end_ns, last_ns) - max(start_ns, first_ns))
            for first_ns, last_ns in self.suspensions.get(node, ())
        )
        return (end_ns - start_ns - suspended_ns) / 1e6


class NodeStops:
    """Stops one node again and again.

    Args:
        fleet: The fleet.
        target: The node as its callers see it.
        seed: Seed of the signals and their times.
        may_stop: Semaphore that limits how many nodes of a service stop at the same time.
        log: Log to which the signals are added.
    """

    def __init__(
        self,
        fleet: LocalFleet,
        target: Target,
        seed: str,
        may_stop: BoundedSemaphore,
        log: StopLog,
    ) -> None:
        self._fleet = fleet
        self._target = target
        self._seed = seed
        self._random = random.Random(seed)
        self._may_stop = may_stop
        self._log = log
        self.stopping = False

    @property
    def _member(self) -> Member:
        return self._fleet.members[self._target.name]

    def run(self) -> None:
        """Stops and starts the node until `stopping` is set or the node fails to stop or start."""
        for number in itertools.count():
            # Each round has its own seed, since the number of draws of a round depends on its times.
            self._random = random.Random(f"{self._seed}-{number}")
            gevent.sleep(self._random.uniform(*PAUSE_S))
            if self._random.random() < 0.2:
                self._suspend(self._random.uniform(*SUSPENSION_S))
            with self._may_stop:
                if self.stopping:
                    return
                try:
                    self._stop_and_start()
                except TimeoutError as error:
                    self._log.findings.append(f"{self._target.name}: {error}")
                    return

    def _stop_and_start(self) -> None:
        self._stop(is_ready=True)
        while True:
            self._fleet.restart_node(self._target.name)
            if self._random.random() >= 0.3:
                break
            if self._random.random() < 0.5:
                wait_until(self._accepts, "start of the data server", START_TIMEOUT_S)
            gevent.sleep(self._random.uniform(0, 0.6))
            self._log.counts["stops-after-start"] += 1
            self._stop(is_ready=False)
        wait_until(self._may_serve, "start", START_TIMEOUT_S)

    def _may_serve(self) -> bool:
        return self._member.get("/v1/status")["may_serve"]

    def _stop(self, *, is_ready: bool) -> None:
        """Stops the node with further signals around its SIGTERM and waits until it has ended.

        Args:
            is_ready: Whether the start of the node was complete before.

        Raises:
            TimeoutError: The node did not end.
        """
        rng = self._random
        name, process = self._target.name, self._member.node
        if rng.random() < 0.3:
            self._signal(signal.SIGHUP)
            gevent.sleep(rng.uniform(0, 0.05))
        self._log.stops_ns.setdefault(name, []).append(now_ns())
        self._log.counts["stops"] += 1
        self._signal(signal.SIGTERM)
        extra = [
            gevent.spawn_later(rng.uniform(0, 1.0), self._signal, rng.choice(EXTRA_SIGNALS))
            for _ in range(rng.choice((0, 0, 1, 2)))
        ]
        if rng.random() < 0.2:
            gevent.sleep(rng.uniform(0, 0.3))
            self._suspend(rng.uniform(*SUSPENSION_S))
        closing = rng.choice(("suspend", "resume", "resume", "burst", "none"))
        if closing != "none" and self._wait_closed():
            self._act_at_close(closing)
        try:
            wait_until(lambda: process.poll() is not None, "stop", STOP_TIMEOUT_S)
        finally:
            gevent.killall(extra)
        self._log.counts[f"exit-{process.returncode}"] += 1
        # SIGTERM and SIGHUP end a starting process that doesn't handle them yet.
        allowed = (0,) if is_ready else (0, -signal.SIGTERM, -signal.SIGHUP)
        if process.returncode not in allowed:
            self._log.findings.append(f"{name}: exit code {process.returncode} after a stop")

    def _act_at_close(self, closing: str) -> None:
        """Sends on idle connections when the node, which stopped listening now, closes them."""
        rng = self._random
        match closing:
            case "suspend":
                # The process is suspended over the closing.
                gevent.sleep(_CLOSE_GRACE_S * rng.uniform(0.5, 0.95))
                self._suspend(rng.uniform(*SUSPENSION_S), (0, 1))
            case "resume":
                # The requests that have arrived meanwhile keep the process busy at the closing, so
                # that further ones arrive in the turn of the event loop that closes connections.
                end_s = _CLOSE_GRACE_S * rng.uniform(0.85, 1.0)
                duration_s = rng.uniform(SUSPENSION_S[0], end_s)
                gevent.sleep(end_s - duration_s)
                self._suspend(duration_s, (0,))
                self._target.send_burst(1)
            case "burst":
                gevent.sleep(_CLOSE_GRACE_S - rng.uniform(0, BURST_S))
                self._target.send_burst(0, 1)

    def _suspend(self, duration_s: float, parities: tuple[int, ...] = ()) -> None:
        """Suspends the process for a time; callers of these parities send meanwhile."""
        start_ns = now_ns()
        self._signal(signal.SIGSTOP)
        self._target.send_burst(*parities)
        gevent.sleep(duration_s)
        self._signal(signal.SIGCONT)
        self._log.suspensions.setdefault(self._target.name, []).append((start_ns, now_ns()))

    def _signal(self, number: signal.Signals) -> None:
        self._log.counts[number.name] += 1
        # Has no effect on a process that has ended.
        self._member.node.send_signal(number)

    def _wait_closed(self) -> bool:
        """Waits until the node has closed its listening socket; returns whether it still runs."""

        def has_closed() -> bool:
            return self._member.node.poll() is not None or not self._accepts()

        wait_until(has_closed, "closing of the listening socket", STOP_TIMEOUT_S, PROBE_INTERVAL_S)
        return self._member.node.poll() is None

    def _accepts(self) -> bool:
        try:
            address = endpoint(self._target.address)
            socket.create_connection(address, PROBE_TIMEOUT_S).close()
        except ConnectionRefusedError:
            return False
        except OSError:
            return True
        return True
