"""Composition root of a node: creates its components and connects them."""

import random
import signal
from collections.abc import Callable

import gevent
import structlog
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from . import _rules, _supervision
from ._adapter import Adapter, default_adapter
from ._clock import NS_PER_MS, BootClock, Timers
from ._control import Announcement, ControlApplication
from ._control_server import ControlServer
from ._crash_notices import CrashNotices
from ._data_path import DataPath
from ._decision_facts import command_facts, fetch_facts, is_notable
from ._decision_lines import DecisionLogger
from ._effects import (
    Applied,
    CrashReported,
    Effect,
    JournalNote,
    LogName,
    SettingsChanged,
    StoreReply,
)
from ._fleet import CommandResult, FleetState
from ._gate import RequestGate
from ._identity import NodeIdentity
from ._io import Callbacks, FetchResult, NodeIo, Records, UdpSocket
from ._journal import Journal
from ._link_pacer import BYTES_PER_MBIT, LinkPacer
from ._link_sender import LinkSender
from ._local_upstream import LocalUpstream
from ._membership import Membership
from ._messages import Codec
from ._metrics import Metrics, MetricsApplication, Observers
from ._model import Transfer
from ._moves import GateDecision, Mover
from ._node_checks import NodeChecks
from ._node_control import NodeControl, NodeParts
from ._ownership import UpstreamHooks
from ._rebalancer import Rebalancer, RebalancerContext
from ._routing import Router
from ._settings import NodeSettings, TreeSettings
from ._settings_applier import SettingsApplier
from ._settings_long_poll import SettingsLongPoll
from ._snapshot_node import NodeSnapshots
from ._sockets import endpoint
from .exceptions import AuburnsailError, InvariantViolation

__all__ = ["Announcement", "Node", "build_node"]

EXPIRY_INTERVAL_MS = 5_000
DRAIN_TIMEOUT_MS = 60_000
IN_FLIGHT_TIMEOUT_S = 3_600.0
IDLE_CLOSE_GRACE_MS = 100
# A draining node admits requests without a key for this time, since the other nodes receive the
# announcement of a draining upstream within a second.
DRAIN_GRACE_MS = 1_200
# The platform stops sending callers to a VM after two failed readiness checks, one per second.
READINESS_REMOVAL_S = 2.3
# This long before the process is killed, requests in flight get an answer of this node.
FINAL_ANSWERS_S = 0.5
# Maximum time for sending these answers and the rest of those that have begun.
FINAL_WRITES_S = 0.35
_RANDOM = random.SystemRandom()


class Node:
    """One node process; implements `NodeEvents`.

    Args:
        settings: The node's own settings.
        adapter: Adapter of the platform that the node runs on; None for the built-in protocol.
    """

    def __init__(self, settings: NodeSettings, adapter: Adapter | None = None) -> None:
        adapter = adapter or default_adapter(settings)
        _rules.set_lease_ms(settings.lease_ms)
        self._settings = settings
        self._adapter = adapter
        self._clock = BootClock()
        self._timers = Timers()
        self._fleet = FleetState()
        decision_logger = DecisionLogger(settings.node, self._fleet)
        self._journal = Journal(self._clock, on_record=decision_logger.write)
        self._log = structlog.get_logger(node=settings.node)
        self._metrics = Metrics(lambda: self._control.gauges())
        self._codec = Codec(settings.fleet_secret, _RANDOM.getrandbits(48))
        self._membership = Membership(
            NodeIdentity.from_settings(settings),
            self._fleet,
            self._codec,
            random.Random(_RANDOM.getrandbits(64)),
        )
        decision_logger.replica = self._membership.replica
        self._mover = Mover(self._membership, self._fleet)
        if adapter.grants_by_report:
            self._mover.unkeyed_needs_lease = False
            self._mover.drain_grace_ms = DRAIN_GRACE_MS
        self._upstream = LocalUpstream(
            self._membership, self._mover, self._fleet, self._journal, self._clock
        )
        self._router = Router(self._fleet, TreeSettings({}))
        self._gate = RequestGate(self._mover, self._membership, self._clock)
        self._link = LinkSender(LinkPacer(settings.link_mbps * BYTES_PER_MBIT), self._clock)
        self._udp = UdpSocket(
            settings.control_address, self.on_datagram, settings.resolve_address, self._link
        )
        self._io = NodeIo(
            adapter.table,
            adapter.objects,
            self._fleet,
            self._codec,
            self._udp,
            Callbacks(
                self._on_store_reply,
                self.on_records,
                self._on_fetched,
                self._on_restored,
                self._on_failure,
            ),
            settings.resolve_address,
            adapter.settings_source,
            self._clock,
            self._link,
        )
        self.violation = ""
        self._fleet_loaded = False
        self._snapshots = NodeSnapshots(
            settings,
            self._fleet,
            lambda: self._membership.own_id,
            self._clock,
            self._timers,
            adapter.objects,
        )
        self._data_path = DataPath(
            settings,
            self._router,
            self._upstream.address,
            self._gate,
            self._clock,
            lambda error: self._record_violation(str(error)),
            lambda notice: self._crash_notices.on_crash(notice),
            self._upstream.on_failed_attempt,
            Observers((self._snapshots.measurements, self._metrics)),
            adapter,
            UpstreamHooks(
                self._upstream_instance, self._upstream.on_answer, self._upstream.on_misdirected
            ),
            self._link,
        )
        self._crash_notices = CrashNotices(
            self._membership, self._data_path, self._journal, self._run_effects
        )
        self._rebalancer = Rebalancer(
            RebalancerContext(
                self._membership,
                self._fleet,
                self._mover,
                self._journal,
                self._codec,
                self._clock,
                settings.resolve_address,
            ),
            self._data_path.shard_loads,
            self._timers,
            random.Random(_RANDOM.getrandbits(64)),
        )
        parts = self._parts()
        self._control = NodeControl(parts)
        self._settings_applier = SettingsApplier(parts, self._router)
        self._servers: list[WSGIServer] = []
        self._stopped = Event()
        self.stopping = False
        self._timers.subscribe("membership", _rules.TICK_MS, self._tick)
        self._timers.subscribe("upstream", _rules.TICK_MS, self._update_session)
        self._timers.subscribe("expiry", EXPIRY_INTERVAL_MS, self._expire)
        self._checks = NodeChecks(parts, self._timers, lambda: self._fleet_loaded)

    def run(self) -> None:
        """Serves until `stop` has completed; SIGTERM calls `stop`, SIGHUP reloads own settings."""
        self._start_servers()
        self._udp.start()
        gevent.signal_handler(signal.SIGTERM, self.stop)
        gevent.signal_handler(signal.SIGHUP, self._checks.reload, "signal")
        self._log.info("node started", address=self._settings.data_address)
        timer = gevent.get_hub().loop.timer(_rules.TICK_MS / 1000, _rules.TICK_MS / 1000)
        timer.start(self._guard, self._run_timers)
        self._stopped.wait()
        timer.close()
        self._close()

    def stop(self) -> None:
        """Starts a stop that ends `run`; moves the shards first unless the upstream keeps running."""
        if self.stopping:
            return
        self.stopping = True
        self._log.info("stopping")
        self._data_path.announce_close()
        if self._adapter.grants_by_report:
            _supervision.spawn("stop", self._stop_for_restart)
            return
        self._mover.drain("stop signal", stopping=True)
        _supervision.spawn("stop", self._stop_after_drain)

    def _run_timers(self) -> None:
        self._udp.drain()
        self._timers.tick(self._clock.now_ns())

    def _tick(self, now_ns: int) -> None:
        self._data_path.tick(now_ns)
        if self._upstream.has_stopped_work:
            self._data_path.refuse_waiting(GateDecision.DRAINING.value)
        self._mover.tick(now_ns)
        self._run_effects(self._membership.tick(now_ns))
        self._record_mover_notes()

    def _update_session(self, now_ns: int) -> None:
        if self._fleet_loaded and self._membership.replica.settings_version:
            self._upstream.update_session(now_ns)

    def _expire(self, now_ns: int) -> None:
        self._data_path.expire(now_ns, set(self._fleet.sessions))

    def on_datagram(self, data: bytes, address: str) -> None:
        """Implements `NodeEvents.on_datagram`."""
        now_ns = self._clock.now_ns()
        self._guard(lambda: self._run_effects(self._membership.on_datagram(data, address, now_ns)))

    def _on_store_reply(self, ticket: int, reply: StoreReply) -> None:
        now_ns = self._clock.now_ns()
        self._guard(
            lambda: self._run_effects(self._membership.on_store_reply(ticket, reply, now_ns))
        )

    def on_records(self, log: str, records: Records | None, address: str) -> None:
        """Implements `NodeEvents.on_records`."""
        now_ns = self._clock.now_ns()
        if records is not None and log == LogName.FLEET:
            self._fleet_loaded = True
        self._guard(
            lambda: self._run_effects(self._membership.on_records(log, records, address, now_ns))
        )

    def _on_fetched(self, fetched: FetchResult) -> None:
        if is_notable(fetched):
            self._journal.record("fetch", fetched.error or "answered", **fetch_facts(fetched))

    def _on_restored(self) -> None:
        self._journal.record("fleet", "restored from a checkpoint", version=self._fleet.version)
        self._membership.on_restored(self._clock.now_ns())

    def _on_failure(self, error: AuburnsailError) -> None:
        self._journal.record("failure", str(error))

    def _run_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Applied():
                    self._on_applied(effect)
                case SettingsChanged():
                    self._settings_applier.apply(effect)
                case CrashReported(notice=notice, address=address):
                    self._crash_notices.on_notice(notice, address)
                case JournalNote():
                    self._record_note(effect)
                case _:
                    self._io.run(effect)

    def _on_applied(self, applied: Applied) -> None:
        self._router.own_id = self._membership.own_id
        self._mover.on_applied(applied.results)
        self._crash_notices.on_applied(applied.results)
        for result in applied.results:
            self._expect_handovers(result)
            facts = command_facts(result.command, self._fleet)
            facts |= {"id": result.command.id, "version": applied.entry.version}
            kind = type(result.command).__name__
            self._journal.record(kind, result.reason or "applied", **facts)

    def _expect_handovers(self, result: CommandResult) -> None:
        match result.command:
            case Transfer(target=target, handovers=handovers) if target == self._membership.own_id:
                if self._mover.holds is not None:
                    self._mover.holds.add_incoming_handovers(handovers)

    def _record_note(self, note: JournalNote) -> None:
        self._journal.record(note.kind, note.reason, **note.facts)

    def _record_mover_notes(self) -> None:
        notes, self._mover.notes = self._mover.notes, []
        for note in notes:
            self._record_note(note)

    def _guard(self, step: Callable[[], None]) -> None:
        """Runs a step; an invariant violation stops request handling, other errors are logged."""
        try:
            step()
        except* InvariantViolation as group:
            self._record_violation(str(group.exceptions[0]))
        except* AuburnsailError as group:
            for error in group.exceptions:
                self._log.warning("step failed", error=str(error))
        except* Exception as group:
            _supervision.report_unexpected("step", group)

    def _record_violation(self, detail: str) -> None:
        if not self.violation:
            self.violation = detail
            self._journal.record("violation", detail)
            self._log.error("violation", detail=detail)
        self._gate.violation = detail

    def may_serve(self) -> bool:
        """Implements `NodeEvents.may_serve`."""
        return not self.violation and self._membership.may_serve(self._clock.now_ns())

    def _start_servers(self) -> None:
        control = endpoint(self._settings.control_address)
        application = ControlApplication(self._control, self._codec, self._link)
        self._servers = [ControlServer(control, application)]
        self._servers += self._adapter.build_servers(self._control)
        if self._settings.metrics_address:
            metrics = MetricsApplication(self._metrics)
            self._servers.append(ControlServer(endpoint(self._settings.metrics_address), metrics))
        for server in self._servers:
            server.start()
        self._data_path.start()
        if self._adapter.has_routes:
            settings_long_poll = SettingsLongPoll(
                self._adapter.settings_source,
                self._membership,
                self._fleet,
                self._clock,
                lambda records: self.on_records(LogName.SETTINGS, records, ""),
                self._on_failure,
            )
            _supervision.spawn_restarting("settings.poll", settings_long_poll.run)

    def _stop_for_restart(self) -> None:
        # The upstream keeps running, so its session stays open for the next node process.
        gevent.sleep(READINESS_REMOVAL_S)
        timeout_s = self._settings.stop_grace_s - READINESS_REMOVAL_S - FINAL_ANSWERS_S
        self._data_path.stop(idle_grace_s=IDLE_CLOSE_GRACE_MS / 1000, timeout_s=timeout_s)
        if in_flight := self._data_path.in_flight:
            self._log.warning("ending requests", in_flight=in_flight)
            self._data_path.end_requests(FINAL_WRITES_S)
        self._stopped.set()

    def _stop_after_drain(self) -> None:
        # This timeout bounds the wait for the store, which may be down. Requests in flight have
        # a separate, longer one.
        end_ns = self._clock.now_ns() + DRAIN_TIMEOUT_MS * NS_PER_MS
        while self._clock.now_ns() < end_ns and not self._mover.finished:
            gevent.sleep(_rules.TICK_MS / 1000)
        self._data_path.stop(idle_grace_s=IDLE_CLOSE_GRACE_MS / 1000, timeout_s=IN_FLIGHT_TIMEOUT_S)
        self._stopped.set()

    def _close(self) -> None:
        self._log.info("stopped", in_flight=self._data_path.in_flight)
        for server in self._servers:
            server.close()
        self._udp.close()
        self._snapshots.finish()

    def _upstream_instance(self) -> str:
        announcement = self._upstream.announcement
        return announcement.instance if announcement is not None else ""

    def _parts(self) -> NodeParts:
        return NodeParts(
            settings=self._settings,
            clock=self._clock,
            fleet=self._fleet,
            membership=self._membership,
            mover=self._mover,
            upstream=self._upstream,
            data_path=self._data_path,
            io=self._io,
            udp=self._udp,
            codec=self._codec,
            journal=self._journal,
            snapshots=self._snapshots,
            rebalancer=self._rebalancer,
            adapter=self._adapter,
            link=self._link,
            node=self,
        )


def build_node(settings: NodeSettings, adapter: Adapter | None = None) -> Node:
    """Builds a node without starting it; see `Node` for the arguments."""
    return Node(settings, adapter)
