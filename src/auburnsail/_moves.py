"""Admission of requests, planned transfers of shards and the drain of a node. No I/O."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from . import _rules
from ._clock import NS_PER_MS
from ._effects import JournalNote
from ._fleet import CommandResult, FleetState, SessionRow
from ._grants import GrantCandidate, LostShards, candidate_of, spread_shards
from ._holds import HoldTable
from ._membership import Membership
from ._model import SessionId, Transfer
from ._ranges import spread_ranges
from .exceptions import InvariantViolation

__all__ = ["GateDecision", "Mover"]

# A new request waits this long for a shard that is being released, then it is refused.
MAX_TRANSFER_WAIT_MS = 200
MAX_SHARDS_PER_TRANSFER = 512
DRAIN_RETRY_INTERVAL_MS = 500


class GateDecision(Enum):
    """Decision on a new request.

    `RUN` admits the request, `WAIT` makes it wait for the transfer of its shard. `NOT_HELD` means
    that the upstream has not been granted the key yet; the caller may ask again. Every other value
    is the reason of a refusal.
    """

    RUN = ""
    WAIT = "hold"
    NOT_HELD = "not-held"
    NO_LEASE = "no-lease"
    NOT_OWNER = "not-owner"
    MOVING = "moving"
    DRAINING = "draining"


@dataclass(slots=True)
class _Release:
    target: SessionId
    since_ns: int
    proposal: str = ""
    proposed_ns: int = 0


class Mover:
    """Admits requests to the local upstream and transfers shards to other nodes.

    Args:
        membership: Session and lease of this node.
        fleet: State of the fleet.

    Attributes:
        notes: Decisions for the journal; the node records them and empties the list.
        transfer_wait_ms: How long a request waits for a shard that is being released.
        holds: Keys that the upstream may hold; None unless the upstream learns its keys from the
            answers to its reports.
        drain_grace_ms: How long requests without a key are still admitted after a drain began,
            because the announcement of the drain reaches other nodes with a delay.
        unkeyed_needs_lease: Whether a request without a key is admitted only under a valid lease.
    """

    def __init__(self, membership: Membership, fleet: FleetState) -> None:
        self._membership = membership
        self._fleet = fleet
        self._in_flight: Counter[tuple[str, int]] = Counter()
        self._in_flight_total = 0
        self._releases: dict[tuple[str, int], _Release] = {}
        self._drain_reason = ""
        self._stopping = False
        self._next_release_ns = 0
        self._leave_requested = False
        self._lacks_target = False
        self._ends_session = True
        self.notes: list[JournalNote] = []
        self.transfer_wait_ms = MAX_TRANSFER_WAIT_MS
        self.holds: HoldTable | None = None
        self.drain_grace_ms = 0
        self.unkeyed_needs_lease = True
        self._drain_since_ns = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that the local upstream is running."""
        return self._in_flight_total

    @property
    def moving_shards(self) -> int:
        """Number of shards that are being released."""
        return len(self._releases)

    @property
    def stopping(self) -> bool:
        """Whether the node stops after its drain and opens no new session."""
        return self._stopping

    @property
    def drain_reason(self) -> str:
        """Reason of the current drain, empty if the node is not draining."""
        return self._drain_reason

    @property
    def finished(self) -> bool:
        """Whether a stopping node has ended its session."""
        return self._stopping and self._leave_requested and self._membership.own_id is None

    def releasing(self, service: str) -> set[int]:
        """Returns the shards of a service that are being released."""
        return {shard for name, shard in self._releases if name == service}

    def admit(self, service: str, shard: int, now_ns: int) -> GateDecision:
        """Decides on a new request.

        After `RUN` the caller must call `release` when the request ends.

        Args:
            service: Service of the request.
            shard: Shard of the request's key, -1 for an unkeyed service.
            now_ns: The current time in nanoseconds.
        """
        if shard >= 0:
            refusal = self._check_shard(service, shard, now_ns)
            if refusal is not GateDecision.RUN:
                return refusal
        elif self.unkeyed_needs_lease and not self._membership.may_serve(now_ns):
            return GateDecision.NO_LEASE
        if self._drain_reason and (shard < 0 or self._leave_requested or self._lacks_target):
            grace_ns = self.drain_grace_ms * NS_PER_MS
            if now_ns - self._drain_since_ns >= grace_ns:
                return GateDecision.DRAINING
        self._in_flight[service, shard] += 1
        self._in_flight_total += 1
        return GateDecision.RUN

    def confirm(self, service: str, shard: int, epoch: int, now_ns: int) -> GateDecision:
        """Checks an admitted request again right before its bytes are sent to the upstream.

        Args:
            service: Service of the request.
            shard: Shard of the request's key, -1 for an unkeyed service.
            epoch: Epoch of the shard at which the request was admitted.
            now_ns: The current time in nanoseconds.

        Returns:
            `RUN`, or the reason why the request must not be sent.
        """
        if shard < 0 and not self.unkeyed_needs_lease:
            return GateDecision.RUN
        if not self._membership.may_serve(now_ns):
            return GateDecision.NO_LEASE
        if shard >= 0 and self.holds is not None and not self.holds.may_run(shard, now_ns):
            return GateDecision.NOT_HELD
        if shard >= 0 and not (
            self._owns(service, shard) and self._fleet.epoch(service, shard) == epoch
        ):
            return GateDecision.NOT_OWNER
        return GateDecision.RUN

    def release(self, service: str, shard: int) -> None:
        """Removes a request that has ended from the number in flight."""
        key = (service, shard)
        self._in_flight[key] -= 1
        self._in_flight_total -= 1
        if not self._in_flight[key]:
            del self._in_flight[key]

    def move(self, service: str, shards: list[int], target: SessionId, now_ns: int) -> None:
        """Starts to release the given shards that this node owns, to transfer them to a session."""
        for shard in shards:
            if self._owns(service, shard):
                self._releases.setdefault((service, shard), _Release(target, now_ns))
        facts = {"service": service, "shards": len(shards), "target": str(target)}
        self.notes.append(JournalNote("move", "released", facts))

    def drain(
        self, reason: str, *, stopping: bool, now_ns: int = 0, ends_session: bool = True
    ) -> None:
        """Starts a drain: transfers all shards to other sessions, then ends this node's session.

        Args:
            reason: Reason of the drain, for the journal.
            stopping: Whether the node stops after the drain and opens no new session.
            now_ns: Time from which `drain_grace_ms` counts; the default 0 leaves no grace.
            ends_session: Whether the drain ends with the session, even if no other session can take
                the shards. Otherwise it goes on until it is cancelled, and the caller replaces the
                session.
        """
        self._stopping = self._stopping or stopping
        self._ends_session = ends_session and (self._ends_session or not self._drain_reason)
        if not self._drain_reason:
            self._drain_reason = reason
            self._leave_requested = False
            self._drain_since_ns = now_ns
            self.notes.append(JournalNote("drain", reason, {"stopping": stopping}))

    def are_free(self, row: SessionRow, now_ns: int) -> bool:
        """Returns whether the upstream holds no shard of a session, so that others may get them."""
        holds = self.holds
        return holds is None or all(
            holds.is_free(shard, now_ns) for shard in self._fleet.shards_of(row)
        )

    def cancel_drain(self) -> None:
        """Cancels a drain, unless the node is stopping or has asked to end its session."""
        if self._drain_reason and not self._stopping and not self._leave_requested:
            self._drain_reason = ""
            self.notes.append(JournalNote("drain", "cancelled"))

    def on_applied(self, results: list[CommandResult]) -> None:
        """Checks applied commands: no shard may be transferred away while its requests run.

        Args:
            results: Results of the commands that the fleet's state has just applied.

        Raises:
            InvariantViolation: A shard was transferred away with requests in flight.
        """
        own_id = self._membership.own_id
        for result in results:
            command = result.command
            if not isinstance(command, Transfer) or command.source != own_id:
                continue
            for shard in command.shards:
                key = (command.service, shard)
                if self._in_flight[key] and not self._owns(*key):
                    raise InvariantViolation(
                        f"shard {shard} of {command.service} moved with requests in flight",
                        step="moves.applied",
                    )

    def tick(self, now_ns: int) -> None:
        """Removes ended releases, advances a drain and proposes the transfer of idle shards."""
        self._remove_ended_releases(now_ns)
        if self._drain_reason:
            self._advance_drain(now_ns)
        self._propose_transfers(now_ns)

    def _owns(self, service: str, shard: int) -> bool:
        row = self._fleet.owner(service, shard) if service in self._fleet.tables else None
        return row is not None and row.session.id == self._membership.own_id

    def _check_shard(self, service: str, shard: int, now_ns: int) -> GateDecision:
        if not self._membership.may_serve(now_ns):
            return GateDecision.NO_LEASE
        if not self._owns(service, shard):
            return GateDecision.NOT_OWNER
        holds, release = self.holds, self._releases.get((service, shard))
        if holds is not None:
            if holds.may_run(shard, now_ns):
                # The upstream holds the shard until it is instructed to release it.
                return GateDecision.RUN
            if release is None:
                return GateDecision.NOT_HELD
        if release is not None:
            is_within_wait = now_ns - release.since_ns < self.transfer_wait_ms * NS_PER_MS
            return GateDecision.WAIT if is_within_wait else GateDecision.MOVING
        return GateDecision.RUN

    def _remove_ended_releases(self, now_ns: int) -> None:
        for key, release in list(self._releases.items()):
            if not release.proposal:
                has_ended = not self._owns(*key) or release.target not in self._fleet.sessions
            else:
                waited_ns = now_ns - release.proposed_ns
                has_ended = self._membership.proposals.is_in_log(release.proposal)
                has_ended = has_ended or _rules.gives_up_on_outcome(waited_ns)
            if has_ended:
                del self._releases[key]

    def _propose_transfers(self, now_ns: int) -> None:
        ready: dict[tuple[str, SessionId], list[int]] = {}
        for (service, shard), release in self._releases.items():
            if release.proposal or self._in_flight[service, shard]:
                continue
            if self.holds is None or self.holds.is_free(shard, now_ns):
                ready.setdefault((service, release.target), []).append(shard)
        for (service, target), shards in ready.items():
            for start in range(0, len(shards), MAX_SHARDS_PER_TRANSFER):
                self._propose_transfer(
                    service, target, shards[start : start + MAX_SHARDS_PER_TRANSFER], now_ns
                )

    def _propose_transfer(
        self, service: str, target: SessionId, shards: list[int], now_ns: int
    ) -> None:
        own_id = self._membership.own_id
        if own_id is None:
            return
        epochs = tuple(self._fleet.epoch(service, shard) for shard in shards)
        command_id = f"transfer:{own_id}:{service}:{shards[0]}:{epochs[0]}"
        handovers = self.holds.handovers(shards) if self.holds is not None else ()
        command = Transfer(command_id, service, own_id, target, tuple(shards), epochs, handovers)
        self._membership.proposals.propose((command,))
        for shard in shards:
            release = self._releases[service, shard]
            release.proposal = command_id
            release.proposed_ns = now_ns

    def _advance_drain(self, now_ns: int) -> None:
        own_id = self._membership.own_id
        row = self._fleet.sessions.get(own_id) if own_id else None
        if row is None:
            if self._stopping:
                self._leave_requested = True
                self._membership.session.leave(stopping=True)
            elif self._leave_requested:
                self._drain_reason = ""
            return
        if self._leave_requested:
            return
        if now_ns >= self._next_release_ns:
            self._next_release_ns = now_ns + DRAIN_RETRY_INTERVAL_MS * NS_PER_MS
            self._release_all(row.session.service, now_ns)
        if not (self._ends_session or self._stopping):
            return
        owned_count = self._fleet.shard_count(row)
        self._lacks_target = bool(owned_count) and not self._candidates(row.session.service)
        # Without a lease requirement, unkeyed requests can finish after the session has ended.
        idle = not self._in_flight_total or not self.unkeyed_needs_lease
        is_emptied = not owned_count or (self._lacks_target and self.are_free(row, now_ns))
        if is_emptied and idle and not self._releases:
            self._leave_requested = True
            self._membership.session.leave(stopping=self._stopping)
            self.notes.append(JournalNote("drain", "leaving", {"shards_left": owned_count}))

    def _release_all(self, service: str, now_ns: int) -> None:
        row = self._fleet.sessions[self._membership.own_id]
        shards = [s for s in self._fleet.shards_of(row) if (service, s) not in self._releases]
        candidates = self._candidates(service)
        if not shards or not candidates:
            return
        lost = LostShards("drain", row.session.id, row.session.domain, tuple(shards))
        spread = spread_ranges if self._fleet.tables[service].keys else spread_shards
        for grant in spread([lost], candidates)["drain"]:
            self.move(service, list(grant.shards), grant.to, now_ns)

    def _candidates(self, service: str) -> list[GrantCandidate]:
        return [
            candidate_of(self._fleet, row)
            for row in self._fleet.members_of(service)
            if row.session.id != self._membership.own_id
        ]
