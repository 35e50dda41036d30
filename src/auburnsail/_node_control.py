"""Operations behind a node's control address."""

from dataclasses import dataclass
from typing import Protocol

import gevent

from ._adapter import Adapter
from ._checked_input import rejected_inputs
from ._checkpoint import dump_fleet
from ._clock import NS_PER_MS, Clock
from ._control import Announcement
from ._data_path import DataPath
from ._effects import LogName
from ._fleet import FleetState
from ._holds import HoldGrant
from ._io import NodeIo, Records, UdpSocket
from ._journal import Journal
from ._link_sender import LinkSender
from ._local_upstream import LocalUpstream
from ._membership import Membership
from ._messages import Codec
from ._moves import Mover
from ._rebalancer import Rebalancer
from ._settings import NodeSettings
from ._snapshot_node import NodeSnapshots
from ._status import explain_owner, membership_status
from ._supervision import unexpected_errors

__all__ = ["NodeControl", "NodeParts"]

# A report must be answered within 1 s.
MAX_DEPARTURE_WAIT_MS = 500
DEPARTURE_POLL_INTERVAL_MS = 10


class NodeEvents(Protocol):
    """State and events of the node itself that the control address uses.

    Attributes:
        violation: Detail of the first invariant violation, empty if there was none.
        stopping: Whether the node has begun to stop.
    """

    violation: str
    stopping: bool

    def may_serve(self) -> bool:
        """Returns whether the node holds a valid lease and no invariant was violated."""

    def on_datagram(self, data: bytes, address: str) -> None:
        """Handles a message from a peer; `address` is empty if the peer's address is unknown."""

    def on_records(self, log: str, records: Records | None, address: str) -> None:
        """Handles the result of a fetch, or records that an operator pushed.

        Args:
            log: Name of the log.
            records: Versions and contents in order, or None if the fetch failed.
            address: Address of the peer that was queried, ``operator`` for pushed records, empty
                for the store.
        """


@dataclass(frozen=True, slots=True)
class NodeParts:
    """The components of a node, as status, settings and periodic checks use them."""

    settings: NodeSettings
    clock: Clock
    fleet: FleetState
    membership: Membership
    mover: Mover
    upstream: LocalUpstream
    data_path: DataPath
    io: NodeIo
    udp: UdpSocket
    codec: Codec
    journal: Journal
    snapshots: NodeSnapshots
    rebalancer: Rebalancer
    adapter: Adapter
    link: LinkSender
    node: NodeEvents


class NodeControl:
    """Implements `ControlledNode`.

    Args:
        parts: The components of the node.
    """

    def __init__(self, parts: NodeParts) -> None:
        self._parts = parts

    def announce(self, announcement: Announcement) -> None:
        """Implements `ControlledNode.announce`."""
        if self._parts.upstream.on_announcement(announcement):
            self._parts.data_path.set_upstream(announcement)

    def status(self) -> dict:
        """Implements `ControlledNode.status`."""
        traffic = self._parts.udp.traffic
        membership = membership_status(
            self._parts.membership, self._parts.fleet, self._parts.clock.now_ns()
        )
        return membership | {
            "may_serve": self._parts.node.may_serve(),
            "in_flight": self._parts.mover.in_flight,
            "moving": self._parts.mover.moving_shards,
            "draining": self._parts.mover.drain_reason,
            "open_proposals": self._parts.membership.proposals.pending,
            "violation": self._parts.node.violation,
            "datagrams_sent": traffic.sent,
            "datagrams_received": traffic.received,
            "bytes_sent": traffic.sent_bytes,
            "bytes_received": traffic.received_bytes,
            "http_bytes": self._parts.io.http_bytes,
            **self._parts.snapshots.status(),
            "rejected": dict(self._parts.codec.rejected),
        }

    def violation(self) -> str:
        """Implements `ControlledNode.violation`."""
        return self._parts.node.violation

    def log_after(self, log: str, version: int) -> Records | None:
        """Implements `ControlledNode.log_after`."""
        if log == LogName.SETTINGS:
            newest = self._parts.membership.replica.settings_version
            return (
                [(newest, self._parts.membership.replica.settings_data)] if newest > version else []
            )
        entries = self._parts.membership.replica.entries_after(version)
        return None if entries is None else [(0, data) for data in entries]

    def checkpoint(self) -> bytes:
        """Implements `ControlledNode.checkpoint`."""
        return dump_fleet(self._parts.fleet)

    def on_message(self, data: bytes, address: str) -> None:
        """Implements `ControlledNode.on_message`."""
        self._parts.node.on_datagram(data, address)

    def on_settings_push(self, records: Records) -> None:
        """Implements `ControlledNode.on_settings_push`."""
        self._parts.node.on_records(LogName.SETTINGS, records, "operator")

    def poll(self) -> None:
        """Implements `ControlledNode.poll`."""
        self._parts.membership.replica.poll_now()

    def load(self) -> bytes:
        """Implements `ControlledNode.load`."""
        return self._parts.rebalancer.on_load_request()

    def reserve(self, body: bytes) -> bytes | None:
        """Implements `ControlledNode.reserve`."""
        return self._parts.rebalancer.on_reservation(body)

    def drain(self, reason: str) -> None:
        """Implements `ControlledNode.drain`."""
        self._parts.mover.drain(reason, stopping=False)

    def move(self, target: str, count: int) -> int:
        """Implements `ControlledNode.move`."""
        own = self._parts.fleet.sessions.get(self._parts.membership.own_id)
        other = self._parts.fleet.by_node.get(target)
        if own is None or other not in self._parts.fleet.members_of(own.session.service):
            raise ValueError(f"{target!r} is not an open node of this node's service")
        shards = self._parts.fleet.shards_of(own)[:count]
        self._parts.mover.move(
            own.session.service, shards, other.session.id, self._parts.clock.now_ns()
        )
        return len(shards)

    def journal(self, after: int) -> list:
        """Implements `ControlledNode.journal`."""
        return self._parts.journal.items(after)

    def explain(self, service: str, key: str) -> dict:
        """Implements `ControlledNode.explain`."""
        explanation = explain_owner(self._parts.membership, self._parts.fleet, service, key)
        decisions = (
            self._parts.journal.matching_items("session", explanation["owner"])
            if "owner" in explanation
            else []
        )
        return explanation | {"decisions": decisions, "may_serve": self._parts.node.may_serve()}

    def report(self, announcement: Announcement) -> HoldGrant | None:
        """Applies an upstream's report.

        Returns:
            The key ranges that the upstream is to hold, or None if the report is outdated.
        """
        upstream = self._parts.upstream
        if not upstream.on_announcement(announcement):
            return None
        self._parts.data_path.set_upstream(announcement)
        self._wait_for_recorded_departure()
        return upstream.grant_holds()

    def withdraw(self, instance: str, born_ms: int = 0) -> None:
        """Withdraws the upstream after it reported its shutdown; ignores any other lifetime.

        Args:
            instance: Instance id of the upstream.
            born_ms: Start of its process in Unix milliseconds, 0 if unknown.
        """
        self._parts.upstream.on_deregistration(instance, born_ms, "the upstream said that it ends")
        self._wait_for_recorded_departure()

    def _wait_for_recorded_departure(self) -> None:
        """Waits until the log records the upstream's departure, so that the answer outlives this
        process; without a store, until `MAX_DEPARTURE_WAIT_MS` have passed.
        """
        clock, upstream = self._parts.clock, self._parts.upstream
        end_ns = clock.now_ns() + MAX_DEPARTURE_WAIT_MS * NS_PER_MS
        while not upstream.is_departure_recorded() and clock.now_ns() < end_ns:
            gevent.sleep(DEPARTURE_POLL_INTERVAL_MS / 1000)

    @property
    def is_ready(self) -> bool:
        """Whether the node has settings, is not stopping and has no invariant violation."""
        parts = self._parts
        has_settings = bool(parts.membership.replica.settings_version)
        return has_settings and not parts.node.stopping and not parts.node.violation

    def gauges(self) -> dict[str, float]:
        """Returns gauge values of the node, by metric name."""
        parts = self._parts
        now_ns = parts.clock.now_ns()
        own_id = parts.membership.own_id
        row = parts.fleet.sessions.get(own_id) if own_id is not None else None
        lease_ms = max(0, parts.membership.expires_ns() - now_ns) / NS_PER_MS
        return {
            "fleet_version": parts.fleet.version,
            "settings_version": parts.membership.replica.settings_version,
            "sessions": len(parts.fleet.sessions),
            "lease_left_ms": min(lease_ms, parts.settings.lease_ms),
            "shards_owned": parts.fleet.shard_count(row) if row is not None else 0,
            "shards_moving": parts.mover.moving_shards,
            "in_flight": parts.data_path.in_flight,
            "draining": float(bool(parts.mover.drain_reason)),
            "datagrams_sent": parts.udp.traffic.sent,
            "datagrams_received": parts.udp.traffic.received,
            "inputs_rejected": rejected_inputs.total(),
            "unexpected_errors": unexpected_errors.total(),
            **parts.link.stats(),
            **parts.data_path.gauges(),
            **parts.adapter.gauges(),
        }
