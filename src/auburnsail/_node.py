"""Composition root of a node."""

import random
import signal
from collections.abc import Callable

import gevent
import structlog
from gevent.event import Event

from ._beside import UpstreamBeside
from ._checkpoint import dump_fleet
from ._clock import NS_PER_MS, BootClock, Timers
from ._control import Announcement, ControlApplication
from ._data_path import DataPath
from ._effects import Applied, CrashReported, Effect, LogName, Note, SettingsChanged, StoreReply
from ._fleet import FleetState
from ._gate import RequestGate
from ._http_server import ControlServer
from ._io import Callbacks, NodeIo, Records, UdpSocket
from ._journal import Journal
from ._membership import Membership
from ._messages import Codec
from ._moves import Mover
from ._quarantine import CrashNotice
from ._rebalancer import Rebalancer, Surroundings
from ._routing import Router
from ._rules import TICK_MS
from ._session import NodeFacts
from ._settings import NodeSettings, TreeSettings
from ._settings_log import tree_of
from ._snapshot_node import NodeSnapshots
from ._sockets import endpoint
from ._status import explain_place, membership_status
from ._store import HttpObjectStore, HttpTableStore
from ._tree import effective
from .exceptions import AuburnsailError, InvariantViolation, SettingsError

__all__ = ["Announcement", "Node", "build_node"]

EXPIRY_MS = 5_000
WAITING_LOG_MS = 5000
LEAVE_LIMIT_MS = 60_000
IN_FLIGHT_LIMIT_S = 3_600.0
CLOSE_WAIT_MS = 100
_RANDOM = random.SystemRandom()
QUIET_KINDS = frozenset({"watchers", "move"})


class Node:
    """One node process.

    Args:
        settings: The node's own settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._clock = BootClock()
        self._timers = Timers()
        self._journal = Journal(self._clock)
        self._log = structlog.get_logger(node=settings.node)
        self._fleet = FleetState()
        self._codec = Codec(settings.fleet_secret, _RANDOM.getrandbits(48))
        self._membership = Membership(
            _facts(settings), self._fleet, self._codec, random.Random(_RANDOM.getrandbits(64))
        )
        self._mover = Mover(self._membership, self._fleet)
        self._upstream = UpstreamBeside(
            self._membership, self._mover, self._fleet, self._journal, self._clock
        )
        self._router = Router(self._fleet, TreeSettings({}))
        self._gate = RequestGate(self._mover, self._membership, self._clock)
        self._udp = UdpSocket(settings.control_address, self._on_datagram, settings.reach)
        self._io = NodeIo(
            HttpTableStore(settings.store_url),
            HttpObjectStore(settings.objects_url),
            self._fleet,
            self._codec,
            self._udp,
            Callbacks(self._on_store_reply, self._on_records, self._on_restored, self._on_failure),
            settings.reach,
        )
        self._violation = ""
        self._fleet_loaded = False
        self._started_ns = self._clock.now_ns()
        self._snapshots = NodeSnapshots(
            settings, self._fleet, lambda: self._membership.own_id, self._clock, self._timers
        )
        self._data = DataPath(
            settings,
            self._router,
            self._upstream.address,
            self._gate,
            self._clock,
            lambda error: self._violate(str(error)),
            self._on_crash,
            self._upstream.on_failed_attempt,
            self._snapshots.measurements,
        )
        self._rebalancer = Rebalancer(
            Surroundings(
                self._membership,
                self._fleet,
                self._mover,
                self._journal,
                self._codec,
                self._clock,
                settings.reach,
            ),
            self._data.shard_loads,
            self._timers,
            random.Random(_RANDOM.getrandbits(64)),
        )
        self._control_server: ControlServer | None = None
        self._stopped = Event()
        self._timers.subscribe("membership", TICK_MS, self._tick)
        self._timers.subscribe("upstream", TICK_MS, self._follow_upstream)
        self._timers.subscribe("expiry", EXPIRY_MS, self._expire)
        self._timers.subscribe("waiting", WAITING_LOG_MS, self._report_waiting)

    def run(self) -> None:
        """Serves until the process is told to end."""
        self._start_servers()
        self._udp.start()
        gevent.signal_handler(signal.SIGTERM, self.stop)
        self._log.info("node started", address=self._settings.data_address)
        # A timer of the hub costs less per tick than a greenlet that sleeps.
        timer = gevent.get_hub().loop.timer(TICK_MS / 1000, TICK_MS / 1000)
        timer.start(self._guard, self._run_timers)
        self._stopped.wait()
        timer.close()
        self._close()

    def stop(self) -> None:
        """Moves everything away, ends the session and then ends the process."""
        if not self._mover.stopping:
            self._log.info("stopping")
            # A node that leaves tells its callers to use another connection.
            self._data.announce_close()
            self._mover.drain("stop signal", stopping=True)
            gevent.spawn(self._wait_stopped)

    # What the control application needs, see `ControlledNode`.

    def announce(self, announcement: Announcement) -> None:
        """See `ControlledNode.announce`."""
        if self._upstream.announce(announcement):
            self._data.set_upstream(announcement)

    def status(self) -> dict:
        """See `ControlledNode.status`."""
        traffic = self._udp.traffic
        own = membership_status(self._membership, self._fleet, self._clock.now_ns())
        return own | {
            "may_serve": self._may_serve(),
            "in_flight": self._mover.in_flight,
            "moving": self._mover.moving,
            "draining": self._mover.draining,
            "open_proposals": self._membership.recording.pending,
            "violation": self._violation,
            "datagrams_sent": traffic.sent,
            "datagrams_received": traffic.received,
            "bytes_sent": traffic.sent_bytes,
            "bytes_received": traffic.received_bytes,
            "http_bytes": self._io.http_bytes,
            **self._snapshots.status(),
            "rejected": dict(self._codec.rejected),
        }

    def violation(self) -> str:
        """See `ControlledNode.violation`."""
        return self._violation

    def log_after(self, log: str, version: int) -> Records | None:
        """See `ControlledNode.log_after`."""
        if log == LogName.SETTINGS:
            newest = self._membership.replica.settings_version
            return [(newest, self._membership.replica.settings_data)] if newest > version else []
        entries = self._membership.replica.entries_after(version)
        return None if entries is None else [(0, data) for data in entries]

    def checkpoint(self) -> bytes:
        """See `ControlledNode.checkpoint`."""
        return dump_fleet(self._fleet)

    def on_message(self, data: bytes, address: str) -> None:
        """See `ControlledNode.on_message`."""
        self._on_datagram(data, address)

    def take_settings(self, records: Records) -> None:
        """See `ControlledNode.take_settings`."""
        self._on_records(LogName.SETTINGS, records, "operator")

    def poll(self) -> None:
        """See `ControlledNode.poll`."""
        self._membership.replica.poll_now()

    def load(self) -> bytes:
        """See `ControlledNode.load`."""
        return self._rebalancer.on_load_request()

    def reserve(self, body: bytes) -> bytes | None:
        """See `ControlledNode.reserve`."""
        return self._rebalancer.on_reservation(body)

    def drain(self, reason: str) -> None:
        """See `ControlledNode.drain`."""
        self._mover.drain(reason, stopping=False)

    def move(self, target: str, count: int) -> int:
        """See `ControlledNode.move`."""
        own = self._fleet.sessions.get(self._membership.own_id)
        other = self._fleet.by_node.get(target)
        if own is None or other is None or other.session.service != own.session.service:
            raise ValueError(f"{target!r} is not an open node of this node's service")
        shards = self._fleet.shards_of(own)[:count]
        self._mover.move(own.session.service, shards, other.session.id, self._clock.now_ns())
        return len(shards)

    def journal(self, after: int) -> list:
        """See `ControlledNode.journal`."""
        return self._journal.items(after)

    def explain(self, service: str, key: str) -> dict:
        """See `ControlledNode.explain`."""
        place = explain_place(self._membership, self._fleet, service, key)
        about = self._journal.about("session", place["owner"]) if "owner" in place else []
        return place | {"decisions": about, "may_serve": self._may_serve()}

    # Timers.

    def _run_timers(self) -> None:
        self._udp.drain()
        self._timers.tick(self._clock.now_ns())

    def _tick(self, now_ns: int) -> None:
        self._data.tick(now_ns)
        self._mover.tick(now_ns)
        self._run_effects(self._membership.tick(now_ns))
        self._take_notes()

    def _follow_upstream(self, now_ns: int) -> None:
        if self._fleet_loaded and self._membership.replica.settings_version:
            self._upstream.follow(now_ns)

    def _expire(self, now_ns: int) -> None:
        self._data.expire(now_ns, set(self._fleet.sessions))

    def _report_waiting(self, now_ns: int) -> None:
        if self._fleet_loaded and self._membership.replica.settings_version:
            return
        if now_ns - self._started_ns > WAITING_LOG_MS * NS_PER_MS:
            missing = "settings" if self._fleet_loaded else "fleet log"
            self._log.warning(
                "waiting for the store or a known peer",
                missing=missing,
                store=self._settings.store_url,
                peers=list(self._settings.peers),
            )

    # Events.

    def _on_datagram(self, data: bytes, address: str) -> None:
        now_ns = self._clock.now_ns()
        self._guard(lambda: self._run_effects(self._membership.on_datagram(data, address, now_ns)))

    def _on_store_reply(self, ticket: int, reply: StoreReply) -> None:
        now_ns = self._clock.now_ns()
        self._guard(
            lambda: self._run_effects(self._membership.on_store_reply(ticket, reply, now_ns))
        )

    def _on_records(self, log: str, records: Records | None, address: str) -> None:
        now_ns = self._clock.now_ns()
        if records is not None and log == LogName.FLEET:
            self._fleet_loaded = True
        self._guard(
            lambda: self._run_effects(self._membership.on_records(log, records, address, now_ns))
        )

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
                    self._on_settings(effect)
                case CrashReported(notice=notice, address=address):
                    if self._data.merge_crash(notice):
                        self._run_effects(self._membership.push_crash(notice, address))
                case Note():
                    self._on_note(effect)
                case _:
                    self._io.run(effect)

    def _on_crash(self, notice: CrashNotice) -> None:
        suspects = len(notice.fingerprints)
        self._journal.record("crash", "the upstream crashed", id=notice.id, suspects=suspects)
        self._log.error("the upstream crashed", id=notice.id, suspects=suspects)
        self._run_effects(self._membership.push_crash(notice, ""))

    def _on_applied(self, applied: Applied) -> None:
        self._router.own_id = self._membership.own_id
        self._mover.on_applied(applied.verdicts)
        for verdict in applied.verdicts:
            kind = type(verdict.command).__name__
            reason = verdict.reason or "applied"
            facts = {"id": verdict.command.id, "version": applied.entry.version}
            self._journal.record(kind, reason, **facts)

    def _on_settings(self, changed: SettingsChanged) -> None:
        try:
            tree = tree_of(changed.version, changed.data)
        except SettingsError as error:
            # An accepted version was checked before; one that this program cannot read keeps the
            # last tree in force and is reported.
            self._journal.record("settings", "not readable", error=str(error))
            self._log.error("settings not readable", version=changed.version, error=str(error))
            return
        self._router.tree = tree
        self._data.set_tree(tree)
        self._apply_sections(tree)
        self._snapshots.on_settings(tree)
        for name, service in tree.services.items():
            if service.keyed:
                self._fleet.add_service(name, service.shards)
        self._journal.record("settings", "in force", version=changed.version)
        self._log.info("settings in force", version=changed.version)

    def _apply_sections(self, tree: TreeSettings) -> None:
        announcement = self._upstream.announcement
        service = announcement.service if announcement else next(iter(tree.services), "")
        if service not in tree.services:
            return
        values = effective(tree, service, self._settings.region, self._settings.domain)
        self._upstream.lost_after_ms = values.upstream.lost_after_ms
        self._mover.hold_ms = values.drain.hold_ms
        self._rebalancer.set_limits(values.placement)
        store_region = values.fleet.store_region or self._settings.store_region
        self._membership.recording.store_region = store_region

    def _on_note(self, note: Note) -> None:
        self._journal.record(note.kind, note.reason, **note.facts)
        if note.kind not in QUIET_KINDS:
            self._log.info(f"{note.kind}: {note.reason}", **note.facts)

    def _take_notes(self) -> None:
        notes, self._mover.notes = self._mover.notes, []
        for note in notes:
            self._on_note(note)

    def _guard(self, step: Callable[[], None]) -> None:
        """Runs a step; a violated promise stops this node's work, other errors are logged."""
        try:
            step()
        except* InvariantViolation as group:
            self._violate(str(group.exceptions[0]))
        except* AuburnsailError as group:
            for error in group.exceptions:
                self._log.warning("step failed", error=str(error))

    def _violate(self, detail: str) -> None:
        if not self._violation:
            self._violation = detail
            self._journal.record("violation", detail)
            self._log.error("violation", detail=detail)
        self._gate.violation = detail

    def _may_serve(self) -> bool:
        return not self._violation and self._membership.may_serve(self._clock.now_ns())

    # Start and stop.

    def _start_servers(self) -> None:
        control = endpoint(self._settings.control_address)
        application = ControlApplication(self, self._codec)
        self._control_server = ControlServer(control, application, log=None, error_log=None)
        self._control_server.start()
        self._data.start()

    def _wait_stopped(self) -> None:
        # The limit ends the wait for the store, which may be down, and not requests in flight.
        end_ns = self._clock.now_ns() + LEAVE_LIMIT_MS * NS_PER_MS
        while self._clock.now_ns() < end_ns and not self._mover.finished:
            gevent.sleep(TICK_MS / 1000)
        self._data.stop(idle_grace_s=CLOSE_WAIT_MS / 1000, timeout_s=IN_FLIGHT_LIMIT_S)
        self._stopped.set()

    def _close(self) -> None:
        self._log.info("stopped", in_flight=self._data.in_flight)
        if self._control_server is not None:
            self._control_server.close()
        self._udp.close()
        self._snapshots.finish()


def _facts(settings: NodeSettings) -> NodeFacts:
    return NodeFacts(
        node=settings.node,
        region=settings.region,
        domain=settings.domain,
        data_address=settings.data_address,
        control_address=settings.control_address,
        store_region=settings.store_region,
        peers=settings.peers,
    )


def build_node(settings: NodeSettings) -> Node:
    """Wires a node from its settings."""
    return Node(settings)
