"""Wiring of a node's request path: its HTTP servers and the components behind them."""

import random
from collections.abc import Callable
from dataclasses import asdict

import gevent

from ._active_requests import STOPPING
from ._adapter import Adapter, SettingsInForce
from ._admission import ObservedAdmission
from ._balance import BalanceLimits, ServiceChooser
from ._clock import NS_PER_S, Clock
from ._control import Announcement
from ._crash_monitor import CrashMonitor
from ._dialect import DEFAULT_DIALECT
from ._forward import ProxyApplication
from ._hop import HopSigner
from ._http_server import HttpServer
from ._limits import LOAD_HALF_LIFE_MS, Limits, SlotAdmission
from ._link_sender import LinkSender
from ._link_usage import LinkUsage
from ._model import SessionId
from ._outcome import RETRY_HINT_MS
from ._ownership import Gate, UpstreamHooks
from ._quarantine import CrashNotice, QuarantineLimits
from ._request_policy import policies_by_service
from ._request_records import Observer
from ._resolver import PathResolver, RouteResolver
from ._routing import Router
from ._sections import Balance, Upstream
from ._settings import EffectiveSettings, NodeSettings, TreeSettings
from ._sketch import ShardLoads
from ._sockets import endpoint
from ._sweeper import Sweeper
from ._tree import effective
from .exceptions import InvariantViolation

__all__ = ["DataPath"]


# No request is sent to the upstream before its first announcement.
LIMITS_BEFORE_ANNOUNCEMENT = Limits(0, 0)
# Shorter half-life if key ranges move: hot ranges change within seconds, and moving one causes no
# cold start.
FAST_LOAD_HALF_LIFE_MS = 2_000
END_CHECK_INTERVAL_S = 0.01
# At the end of the process, maximum wait for the rest of an answer that has begun to arrive.
MAX_ARRIVAL_S = 0.2


class DataPath:
    """The servers on a node's data address and the components behind them.

    Args:
        settings: The node's own settings.
        router: Decides where a request goes.
        upstream_address: Returns the address of the local upstream, or None if there is none.
        gate: Checks whether this node may serve a shard.
        clock: Source of time.
        on_violation: Called once, when a violated guarantee is detected.
        on_crash: Called when the local upstream has crashed, with the notice for the other nodes.
        on_failed_attempt: Called after each attempt that got no answer from the local upstream.
        observer: Measures requests, or None.
        adapter: Adapter of the platform that the node runs on; None for the built-in protocol.
        upstream_hooks: Callbacks that observe the exchange with the local upstream.
        link: Paces and counts traffic on the VM's network link; None for no accounting.
    """

    def __init__(
        self,
        settings: NodeSettings,
        router: Router,
        upstream_address: Callable[[], str | None],
        gate: Gate,
        clock: Clock,
        on_violation: Callable[[InvariantViolation], None],
        on_crash: Callable[[CrashNotice], None],
        on_failed_attempt: Callable[[], None],
        observer: Observer | None = None,
        adapter: Adapter | None = None,
        upstream_hooks: UpstreamHooks | None = None,
        link: LinkSender | None = None,
    ) -> None:
        self._settings = settings
        self._gate = gate
        dialect = adapter.dialect if adapter is not None else DEFAULT_DIALECT
        is_routed = adapter is not None and adapter.has_routes
        self._resolver = RouteResolver(dialect) if is_routed else PathResolver()
        self._tree = TreeSettings({})
        self._clock = clock
        self._announcement: Announcement | None = None
        moves_key_ranges = adapter is not None and adapter.grants_by_report
        half_life_ms = FAST_LOAD_HALF_LIFE_MS if moves_key_ranges else LOAD_HALF_LIFE_MS
        link_usage = LinkUsage(link.pacer if link is not None else None)
        self._admission = SlotAdmission(LIMITS_BEFORE_ANNOUNCEMENT, clock, half_life_ms, link_usage)
        self._chooser = ServiceChooser(
            settings.region, settings.domain, random.Random(), clock.now_ns
        )
        self._crash_monitor = CrashMonitor(settings.node, clock, on_crash)
        self._application = ProxyApplication(
            router,
            upstream_address,
            gate,
            signer=HopSigner(settings.fleet_secret),
            own_address=settings.data_address,
            admission=ObservedAdmission(self._admission, on_failed_attempt),
            resolve_address=settings.resolve_address,
            chooser=self._chooser,
            crash_monitor=self._crash_monitor,
            clock=clock,
            on_violation=on_violation,
            observer=observer,
            resolver=self._resolver,
            dialect=dialect,
            own_service=settings.service if adapter is not None else "",
            upstream_hooks=upstream_hooks,
            link=link,
            link_usage=link_usage,
        )
        addresses = [settings.data_address]
        if adapter is not None and settings.caller_address:
            addresses.append(settings.caller_address)
        sweeper = Sweeper(self._application, clock)
        self._servers = [
            HttpServer(
                endpoint(address),
                self._application,
                clock=clock,
                dialect=dialect,
                link=link,
                sweeper=sweeper,
            )
            for address in addresses
        ]

    @property
    def in_flight(self) -> int:
        """Number of requests in flight, including forwarded ones."""
        return sum(server.in_flight for server in self._servers)

    @property
    def shard_loads(self) -> ShardLoads:
        """Load of each shard that the local upstream serves."""
        return self._admission.shard_loads

    def gauges(self) -> dict[str, float]:
        """Returns gauge values of the request path, by metric name."""
        return {
            "upstream_in_flight": self._admission.in_flight,
            "upstream_queued": self._admission.queued,
            "shard_load": self._admission.shard_loads.total,
            "crash_suspects": self._crash_monitor.quarantine.suspects,
            **{f"path_{name}": value for name, value in asdict(self._application.counters).items()},
        }

    def set_settings(self, settings: SettingsInForce) -> None:
        """Applies the policies, routes and caller limits of a settings version."""
        self.set_tree(settings.tree)
        if isinstance(self._resolver, RouteResolver):
            self._resolver.routes = settings.routes
        limits = settings.limits
        if limits is not None:
            for server in self._servers:
                server.max_head_bytes = limits.head_bytes
                server.max_body_bytes = limits.body_bytes
                server.head_timeout_ms = limits.head_timeout_ms
            self._servers[-1].idle_timeout_ms = limits.idle_timeout_ms

    def set_tree(self, tree: TreeSettings) -> None:
        """Applies the request policies, balancing limits and queue limits of a settings tree."""
        policies = policies_by_service(tree, self._settings.region, self._settings.domain)
        self._application.set_policies(policies)
        self._tree = tree
        settings = {service: self._effective_settings(service) for service in tree.services}
        self._chooser.set_limits(
            {
                name: _balance_limits(values.balance, values.upstream)
                for name, values in settings.items()
            }
        )
        self._apply_limits()

    def set_upstream(self, announcement: Announcement) -> None:
        """Applies the load and capacity that the local upstream announced."""
        self._crash_monitor.on_announcement()
        self._admission.reported_percent = 100 * announcement.load / max(1, announcement.slots)
        previous, self._announcement = self._announcement, announcement
        if previous is None or _capacity(previous) != _capacity(announcement):
            self._apply_limits()

    def merge_crash(self, notice: CrashNotice) -> bool:
        """Records a crash that another node reported; returns False for a duplicate notice."""
        return self._crash_monitor.merge(notice)

    def crash_notices(self) -> list[CrashNotice]:
        """Returns the notices of crashes whose causes are still suspect."""
        return self._crash_monitor.quarantine.notices(self._clock.now_ns())

    def tick(self, now_ns: int) -> None:
        """Refuses queued requests whose maximum wait for a slot has passed."""
        self._admission.tick(now_ns)

    def refuse_waiting(self, reason: str) -> None:
        """Refuses the requests that wait for a slot of the upstream, which gets no further ones."""
        self._admission.refuse_waiting(reason, RETRY_HINT_MS)

    def expire(self, now_ns: int, open_sessions: set[SessionId]) -> None:
        """Drops state of closed sessions and expired quarantine entries.

        Also divides the fleet's retry reserve among the open sessions.

        Args:
            now_ns: The current time in nanoseconds.
            open_sessions: Sessions that are open in the fleet's state.
        """
        self._chooser.drop_closed_sessions(open_sessions)
        self._application.divide_retry_reserve(len(open_sessions))
        self._crash_monitor.quarantine.tick(now_ns)

    def _effective_settings(self, service: str) -> EffectiveSettings:
        return effective(self._tree, service, self._settings.region, self._settings.domain)

    def _apply_limits(self) -> None:
        announcement = self._announcement
        if announcement is None or announcement.service not in self._tree.services:
            return
        settings = self._effective_settings(announcement.service)
        connections = settings.upstream.connections
        if announcement.connections:
            connections = min(connections, announcement.connections)
        self._admission.set_limits(
            Limits(
                settings.upstream.slots or announcement.slots,
                connections,
                settings.queue.max_requests,
                settings.queue.max_wait_ms,
            )
        )
        quarantine = settings.quarantine
        self._crash_monitor.quarantine.set_limits(
            QuarantineLimits(quarantine.max_crashes, quarantine.expiry_s, quarantine.max_entries)
        )

    def start(self) -> None:
        """Starts accepting connections."""
        for server in self._servers:
            server.start()

    def announce_close(self) -> None:
        """Adds ``Connection: close`` to every answer from now on."""
        for server in self._servers:
            server.announce_close()

    def stop(self, *, idle_grace_s: float, timeout_s: float) -> None:
        """Stops accepting connections, waits for requests in flight and closes idle connections.

        Args:
            idle_grace_s: Time in seconds that idle connections stay open for requests in transit.
            timeout_s: Maximum wait in seconds.
        """
        drains = [
            gevent.spawn(server.drain, idle_grace_s=idle_grace_s, timeout_s=timeout_s)
            for server in self._servers[1:]
        ]
        self._servers[0].drain(idle_grace_s=idle_grace_s, timeout_s=timeout_s)
        gevent.joinall(drains)
        self._application.close()

    def end_requests(self, timeout_s: float) -> None:
        """Ends the requests in flight after `stop`, because the process ends.

        Requests whose answer has not begun are answered by this node, after `MAX_ARRIVAL_S` also
        those whose peer had begun to answer. Connections on which an answer is not complete at the
        time-out are reset.

        Args:
            timeout_s: Maximum wait for answers in seconds.
        """
        now_ns = self._clock.now_ns()
        self._gate.refuse_waiting(STOPPING)
        self._end_unanswered(now_ns + int(MAX_ARRIVAL_S * NS_PER_S), spares_arriving=True)
        self._end_unanswered(now_ns + int(timeout_s * NS_PER_S), spares_arriving=False)
        self._application.reset_requests()

    def _end_unanswered(self, end_ns: int, *, spares_arriving: bool) -> None:
        """Ends requests that wait; returns when none is in flight, or at a time."""
        self._admission.refuse_waiting(STOPPING)
        self._application.end_requests(spares_arriving=spares_arriving)
        while self.in_flight and self._clock.now_ns() < end_ns:
            gevent.sleep(END_CHECK_INTERVAL_S)


def _capacity(announcement: Announcement) -> tuple[str, int, int]:
    return announcement.service, announcement.slots, announcement.connections


def _balance_limits(section: Balance, upstream: Upstream) -> BalanceLimits:
    return BalanceLimits(
        eject_after_failures=upstream.eject_after_failures,
        eject_ms=upstream.eject_ms,
        slow_start_s=upstream.slow_start_s,
        slow_start_initial_percent=upstream.slow_start_initial_percent,
        reported_load_percent=section.reported_load_percent,
        report_expiry_ms=section.report_expiry_ms,
        latency_half_life_ms=section.latency_half_life_ms,
        leave_domain_at_percent=section.leave_domain_at_percent,
        leave_region_at_percent=section.leave_region_at_percent,
    )
