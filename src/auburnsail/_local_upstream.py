"""The local upstream, on the VM of this node: its announcements, its drain and its loss."""

import msgspec

from . import _supervision
from ._clock import NS_PER_MS, Clock
from ._control import Announcement, born_of, lifetime_of
from ._departures import Departures
from ._fleet import FleetState, SessionRow
from ._holds import HoldGrant, HoldTable
from ._journal import Journal
from ._membership import Membership
from ._moves import Mover
from ._report_order import ANNOUNCEMENT_TIMEOUT_MS, ReportOrder
from ._sockets import accepts_connections

__all__ = ["LocalUpstream"]

# After its start a node waits this long for an upstream, then it joins as a node that only routes.
JOIN_WITHOUT_UPSTREAM_AFTER_MS = 2000
PROBE_INTERVAL_MS = 100
# Delay before checking whether an upstream that deregistered has stopped listening.
EXIT_PROBE_DELAY_S = 0.3
# An upstream without announcements counts as alive if it answered a request within this time.
RECENT_ANSWER_MS = 2000
# A late report may renew an expired hold for this long before the keys move.
LATE_REPORT_GRACE_MS = 300


class LocalUpstream:
    """Tracks the local upstream and adapts the node's session to it.

    Args:
        membership: Membership of this node; provides its session.
        mover: Drains shards of an upstream that leaves.
        fleet: State of the fleet.
        journal: Receives changes of the upstream's state.
        clock: Source of time.

    Attributes:
        lost_after_ms: Further silence after `ANNOUNCEMENT_TIMEOUT_MS` until the upstream is lost.
        stop_work_ms: Time from the start of a drain after which no new requests are sent.
    """

    def __init__(
        self,
        membership: Membership,
        mover: Mover,
        fleet: FleetState,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self._session = membership.session
        self._membership = membership
        self._mover = mover
        self._fleet = fleet
        self._journal = journal
        self._clock = clock
        self._announcement: Announcement | None = None
        self._departures = Departures()
        self._order = ReportOrder(self._departures)
        self._recorded: Announcement | None = None
        self._answered_ns = 0
        self._started_ns = clock.now_ns()
        self._refused_connection = False
        self._next_probe_ns = 0
        self._assumed_lifetime = ""
        self.lost_after_ms = 1000
        self.stop_work_ms = 1000

    @property
    def announcement(self) -> Announcement | None:
        """The current announcement, None before the first one and while the upstream is lost."""
        return self._announcement

    @property
    def has_stopped_work(self) -> bool:
        """Whether the upstream leaves and gets no further requests."""
        lifetime = self._announcement.lifetime if self._announcement is not None else ""
        leaving_ns = self._departures.age_ns(lifetime, self._clock.now_ns())
        return leaving_ns is not None and leaving_ns >= self.stop_work_ms * NS_PER_MS

    def address(self) -> str | None:
        """Returns the upstream's address, or None if no new request may be sent to it."""
        announcement = self._announcement
        return None if announcement is None or self.has_stopped_work else announcement.address

    def on_announcement(self, announcement: Announcement) -> bool:
        """Handles an announcement of the upstream.

        Returns:
            Whether the announcement was accepted. It is rejected if it is older than the latest
            one, or if the upstream refused connections before and still does.
        """
        now_ns, row = self._clock.now_ns(), self._logged_row()
        self._order.logged_born_ms = born_of(row.session.lifetime) if row is not None else 0
        if self._order.is_outdated(announcement, now_ns):
            return False
        if self._refused_connection and not accepts_connections(announcement.address):
            return False
        latest = self._order.latest
        known_lifetime = latest.lifetime if latest is not None else self._assumed_lifetime
        if known_lifetime not in ("", announcement.lifetime):
            self._journal.record("upstream", "another life", lifetime=announcement.lifetime)
            self._start_new_lifetime()
        self._order.accept(announcement, now_ns)
        self._refused_connection = False
        if announcement.state == "draining" and latest is None:
            # An earlier process of this node may have acknowledged the departure.
            self._departures.record_earlier(announcement.lifetime)
        elif announcement.state == "draining":
            self._departures.record(announcement.lifetime, now_ns)
        elif announcement.lifetime in self._departures:
            # A report from before the departure, or of an upstream that serves on after it.
            announcement = _as_draining(announcement)
        self._announcement = announcement
        if announcement.state == "draining":
            self._start_drain("upstream announced a drain", announcement, now_ns)
        return True

    def on_deregistration(self, instance: str, born_ms: int, reason: str) -> None:
        """Handles a deregistration; starts a drain if the upstream has not announced one.

        Args:
            instance: Instance id of the upstream.
            born_ms: Start of its process in Unix milliseconds, 0 if the deregistration has none.
            reason: Reason of the drain, for the journal.
        """
        now_ns = self._clock.now_ns()
        lifetime = self._deregistered_lifetime(instance, born_ms)
        self._journal.record("upstream", "deregistered", instance=instance, lifetime=lifetime)
        self._departures.record(lifetime, now_ns)
        announcement = self._announcement
        if announcement is None:
            return
        if announcement.instance == instance and announcement.born_ms < born_ms:
            # It started under the same id after the latest report, so the earlier one has ended.
            self._mark_lost("a later life deregistered")
            self._start_new_lifetime()
        if announcement.lifetime != lifetime:
            return
        if announcement.state == "draining":
            # It holds its keys until its process has ended, which a refused connection proves.
            _supervision.spawn_later(
                EXIT_PROBE_DELAY_S, "upstream.probe", self._probe, announcement
            )
            return
        self._announcement = _as_draining(announcement)
        self._start_drain(reason, announcement, now_ns)

    def grant_holds(self) -> HoldGrant:
        """Applies the holds of the latest report and returns the keys to grant in answer to it.

        The grant is empty if the node's session is not for this process of the upstream.
        """
        now_ns = self._clock.now_ns()
        self._record_holds(now_ns)
        row, announcement = self._own_row(), self._announcement
        if row is None or announcement is None or announcement.lifetime != row.session.lifetime:
            return HoldGrant()
        if self._session.is_replacement_due:
            # A report that was late, or waited while this process was suspended, must not extend
            # holds of keys that the next entry of the log assigns to other sessions.
            return HoldGrant()
        holds = self._hold_table(announcement.service)
        if holds is None:
            return HoldGrant()
        holds.on_report(announcement.holds, announcement.freed, now_ns)
        holds.drop_received_handovers(announcement.holds)
        releasing = self._mover.releasing(announcement.service)
        # Keys that get no further requests are released, for an upstream that joins later.
        owned = self._fleet.shards_of(row) if self.address() is not None else []
        lease_end_ns = self._membership.expires_ns()
        return holds.grant(owned, releasing, row.fence, lease_end_ns, now_ns)

    def on_answer(self) -> None:
        """Records that the upstream answered a request, which shows that it is alive."""
        self._answered_ns = self._clock.now_ns()

    def on_misdirected(self, instance: str) -> None:
        """Handles an answer of another instance at the address: the upstream has ended."""
        announcement = self._announcement
        if announcement is not None and instance and instance != announcement.instance:
            self._mark_lost("another instance answers at the upstream's address")
            self._start_new_lifetime()

    def on_failed_attempt(self) -> None:
        """Checks whether the upstream accepts connections, at most every `PROBE_INTERVAL_MS`."""
        now_ns = self._clock.now_ns()
        if self._announcement is not None and now_ns >= self._next_probe_ns:
            self._next_probe_ns = now_ns + PROBE_INTERVAL_MS * NS_PER_MS
            _supervision.spawn("upstream.probe", self._probe, self._announcement)

    def update_session(self, now_ns: int) -> None:
        """Marks a silent upstream as lost and adapts the session to the state of the upstream.

        An open session that no longer fits is drained, or replaced if a lifetime is known.
        """
        if self._announcement is not None and self._is_silent(self._announcement, now_ns):
            self._mark_lost("upstream does not announce itself")
        self._adopt_recorded_departure(now_ns)
        self._record_holds(now_ns)
        self._describe_upstream(now_ns)
        self._update_replacement(now_ns)

    def is_departure_recorded(self) -> bool:
        """Returns whether the log shows that the session's lifetime leaves, if it has said so."""
        row = self._logged_row()
        if row is None or row.session.lifetime not in self._departures:
            return True
        return row.session.is_leaving

    def _adopt_recorded_departure(self, now_ns: int) -> None:
        """Learns from the log that an earlier process acknowledged the upstream's departure."""
        row = self._logged_row()
        if row is None or not row.session.is_leaving or row.session.lifetime in self._departures:
            return
        session = row.session
        self._departures.record_earlier(session.lifetime)
        announcement = self._announcement
        if announcement is not None and announcement.lifetime == session.lifetime:
            self._announcement = _as_draining(announcement)
            self._start_drain("the log records the departure", announcement, now_ns)

    def _own_row(self) -> SessionRow | None:
        own_id = self._membership.own_id
        return self._fleet.sessions.get(own_id) if own_id is not None else None

    def _logged_row(self) -> SessionRow | None:
        """Returns the session of this process, or one that an earlier process left open."""
        row = self._own_row()
        earlier = self._session.earlier(self._fleet) if row is None else None
        return row if earlier is None else self._fleet.sessions[earlier.id]

    def _describe_upstream(self, now_ns: int) -> None:
        announcement = self._announcement
        if announcement is None:
            self._describe_without_upstream(now_ns)
            return
        service, lifetime = announcement.service, announcement.lifetime
        if lifetime and announcement.state == "draining":
            self._session.set_upstream(service, 0, lifetime)
        elif announcement.state == "draining":
            self._session.set_upstream("", 0)
        else:
            slots = max(1, announcement.slots) if lifetime else announcement.slots
            self._session.set_upstream(service, slots, lifetime)

    def _describe_without_upstream(self, now_ns: int) -> None:
        row = self._logged_row()
        if self._own_row() is not None or self._may_join_without_upstream(now_ns):
            is_leaving = row is not None and row.session.is_leaving
            self._session.set_upstream("", 0, row.session.lifetime if is_leaving else "")
        elif row is not None and row.session.lifetime in self._departures:
            # It deregistered before its first report to this process.
            self._session.set_upstream(row.session.service, 0, row.session.lifetime)

    def _update_replacement(self, now_ns: int) -> None:
        announcement, row = self._announcement, self._own_row()
        if row is None:
            return
        session = row.session
        if not (session.lifetime or (announcement is not None and announcement.lifetime)):
            if self._session.service_differs(self._fleet):
                self._mover.drain("the upstream changed or is lost", stopping=False)
            return
        if announcement is None:
            is_due = bool(session.service) and not self._has_left(row)
            service = ""
        else:
            service = announcement.service
            described = (service, announcement.lifetime)
            is_due = (session.service, session.lifetime) != described and not (
                session.is_leaving and session.lifetime == announcement.lifetime
            )
        if session.service != service:
            # The replacement leaves the keys without owner, and another session gets them at once.
            is_due = is_due and self._mover.are_free(row, now_ns)
        self._session.set_replacement_due(is_due)

    def _has_left(self, row: SessionRow) -> bool:
        """Returns whether a session is one of an upstream that leaves and owns no key any more."""
        return row.session.is_leaving and not self._fleet.shard_count(row)

    def _is_silent(self, announcement: Announcement, now_ns: int) -> bool:
        silent_ns = now_ns - self._order.accepted_ns
        holds = self._mover.holds
        if holds is not None and announcement.lifetime and holds.granted_until_ns:
            return now_ns > holds.granted_until_ns + LATE_REPORT_GRACE_MS * NS_PER_MS and (
                silent_ns > ANNOUNCEMENT_TIMEOUT_MS * NS_PER_MS
            )
        if announcement.lifetime and now_ns - self._answered_ns < RECENT_ANSWER_MS * NS_PER_MS:
            return False
        return silent_ns > (ANNOUNCEMENT_TIMEOUT_MS + self.lost_after_ms) * NS_PER_MS

    def _deregistered_lifetime(self, instance: str, born_ms: int) -> str:
        """Returns the lifetime that a deregistration ends, empty if it is none that may be used."""
        latest = self._order.latest
        if latest is not None and latest.instance == instance and born_ms in (0, latest.born_ms):
            return latest.lifetime
        if born_ms:
            return lifetime_of(instance, born_ms)
        earlier = self._session.earlier(self._fleet) if latest is None else None
        is_of_earlier = earlier is not None and earlier.lifetime.rpartition("@")[0] == instance
        return earlier.lifetime if is_of_earlier else ""

    def _start_drain(self, reason: str, announcement: Announcement, now_ns: int) -> None:
        # The session of an upstream with a lifetime is replaced when its keys have moved.
        ends_session = not announcement.lifetime
        self._mover.drain(reason, stopping=False, now_ns=now_ns, ends_session=ends_session)

    def _may_join_without_upstream(self, now_ns: int) -> bool:
        """Returns whether the node has waited long enough for an upstream and may only route.

        A silent upstream may hold keys by the last grant of an earlier process of this node.
        """
        row = self._logged_row()
        has_waited = now_ns - self._started_ns > JOIN_WITHOUT_UPSTREAM_AFTER_MS * NS_PER_MS
        return has_waited and (row is None or self._mover.are_free(row, now_ns))

    def _record_holds(self, now_ns: int) -> None:
        """Records the keys that the upstream holds and has released by its latest report.

        An earlier process of this node may have granted them. The first report to this process
        comes before its session is open; from then on the session may transfer shards.
        """
        self._assume_earlier_holds()
        announcement = self._announcement
        if announcement is None or announcement is self._recorded:
            return
        holds = self._hold_table(announcement.service)
        if holds is not None:
            holds.on_report(announcement.holds, announcement.freed, now_ns)
            self._recorded = announcement

    def _assume_earlier_holds(self) -> None:
        """Takes the keys of a session that an earlier process left open for held.

        Until a fresh report comes, only the log tells of them: the first report may be an old one.
        """
        row = self._logged_row()
        if self._assumed_lifetime or row is None or self._own_row() is not None:
            return
        holds, lifetime = self._hold_table(row.session.service), row.session.lifetime
        announcement = self._announcement
        if holds is None or not lifetime:
            return
        if announcement is None or announcement.lifetime == lifetime:
            self._assumed_lifetime = lifetime
            until_ns = self._started_ns + holds.max_hold_ms * NS_PER_MS
            holds.assume_held(self._fleet.shards_of(row), until_ns)

    def _hold_table(self, service: str) -> HoldTable | None:
        return self._mover.holds if service in self._fleet.tables else None

    def _start_new_lifetime(self) -> None:
        self._order.end_lifetime()
        if self._mover.holds is not None:
            self._mover.holds.clear_holds()
        self._mover.cancel_drain()

    def _probe(self, announcement: Announcement) -> None:
        current = self._announcement
        if current is None or current.lifetime != announcement.lifetime:
            return
        if not accepts_connections(announcement.address) and current is self._announcement:
            self._refused_connection = True
            self._mark_lost("upstream refuses connections")
            if announcement.lifetime:
                # Nothing listens at the address, so the process has ended and holds nothing.
                self._start_new_lifetime()

    def _mark_lost(self, reason: str) -> None:
        self._announcement = None
        self._journal.record("upstream", reason)


def _as_draining(announcement: Announcement) -> Announcement:
    return msgspec.structs.replace(announcement, state="draining")
