"""Requests in flight, planned moves of shards and the drain of a node. No I/O."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from . import _rules
from ._clock import NS_PER_MS
from ._effects import Note
from ._fleet import FleetState, Verdict
from ._grants import Candidate, LostShards, candidate_of, spread_shards
from ._holds import HoldTable
from ._membership import Membership
from ._model import SessionId, Transfer
from ._ranges import spread_ranges
from .exceptions import InvariantViolation

__all__ = ["Admission", "Mover"]

# New requests wait this long for a shard that is being released, then they are refused.
MAX_HOLD_MS = 200
MAX_SHARDS_PER_TRANSFER = 512
RETRY_DRAIN_MS = 500


class Admission(Enum):
    """What becomes of a new request; all values but the first three are reasons to refuse it.

    `NOT_HELD` says that the upstream has not been told yet that it holds the key.
    """

    RUN = ""
    HOLD = "hold"
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
    """Admits requests to this node's upstream and moves shards to other nodes.

    Args:
        membership: This node's part in the fleet.
        fleet: State of the fleet.

    Attributes:
        notes: Decisions for the journal, taken by the node.
        hold_ms: How long requests wait for a shard that is being released.
        holds: What the upstream may hold, if it takes its keys from answers to its reports.
        drain_grace_ms: Requests without a key are admitted for this long after a drain began, until
            other nodes have learnt of it.
        unkeyed_needs_lease: Whether requests without a key need a lease, too.
    """

    def __init__(self, membership: Membership, fleet: FleetState) -> None:
        self._membership = membership
        self._fleet = fleet
        self._in_flight: Counter[tuple[str, int]] = Counter()
        self._total = 0
        self._releases: dict[tuple[str, int], _Release] = {}
        self._draining = ""
        self._stopping = False
        self._next_drain_ns = 0
        self._left = False
        self._stuck = False
        self.notes: list[Note] = []
        self.hold_ms = MAX_HOLD_MS
        self.holds: HoldTable | None = None
        self.drain_grace_ms = 0
        self.unkeyed_needs_lease = True
        self._drain_since_ns = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that the upstream beside this node is running."""
        return self._total

    @property
    def moving(self) -> int:
        """Number of shards that are being released."""
        return len(self._releases)

    @property
    def stopping(self) -> bool:
        """Whether the node stays away after its drain."""
        return self._stopping

    @property
    def draining(self) -> str:
        """Reason of the drain, empty if there is none."""
        return self._draining

    @property
    def finished(self) -> bool:
        """Whether a stopping node has ended its session."""
        return self._stopping and self._left and self._membership.own_id is None

    def releasing(self, service: str) -> set[int]:
        """Returns the shards of a service that are being released."""
        return {shard for name, shard in self._releases if name == service}

    def admit(self, service: str, shard: int, now_ns: int) -> Admission:
        """Decides on a new request; after `RUN` the caller must call `leave`.

        Args:
            service: Service of the request.
            shard: Its shard, -1 for an unkeyed service.
            now_ns: The current time in nanoseconds.
        """
        if shard >= 0:
            refusal = self._check_shard(service, shard, now_ns)
            if refusal is not Admission.RUN:
                return refusal
        elif self.unkeyed_needs_lease and not self._membership.may_serve(now_ns):
            return Admission.NO_LEASE
        if self._draining and (shard < 0 or self._left or self._stuck):
            grace_ns = self.drain_grace_ms * NS_PER_MS
            if now_ns - self._drain_since_ns >= grace_ns:
                return Admission.DRAINING
        self._in_flight[service, shard] += 1
        self._total += 1
        return Admission.RUN

    def confirm(self, service: str, shard: int, epoch: int, now_ns: int) -> Admission:
        """Checks an admitted request again right before bytes go to the upstream."""
        if shard < 0 and not self.unkeyed_needs_lease:
            return Admission.RUN
        if not self._membership.may_serve(now_ns):
            return Admission.NO_LEASE
        if shard >= 0 and self.holds is not None and not self.holds.may_run(shard, now_ns):
            return Admission.NOT_HELD
        if shard >= 0 and not (
            self._owns(service, shard) and self._fleet.epoch(service, shard) == epoch
        ):
            return Admission.NOT_OWNER
        return Admission.RUN

    def leave(self, service: str, shard: int) -> None:
        """Notes that an admitted request has ended."""
        key = (service, shard)
        self._in_flight[key] -= 1
        self._total -= 1
        if not self._in_flight[key]:
            del self._in_flight[key]

    def move(self, service: str, shards: list[int], target: SessionId, now_ns: int) -> None:
        """Starts to release shards to another session."""
        for shard in shards:
            if self._owns(service, shard):
                self._releases.setdefault((service, shard), _Release(target, now_ns))
        facts = {"service": service, "shards": len(shards), "target": str(target)}
        self.notes.append(Note("move", "released", facts))

    def drain(self, reason: str, *, stopping: bool, now_ns: int = 0) -> None:
        """Starts to move everything away, then ends the session.

        Args:
            reason: For the journal.
            stopping: Whether the node stays away afterwards.
            now_ns: The current time, from which `drain_grace_ms` counts.
        """
        self._stopping = self._stopping or stopping
        if not self._draining:
            self._draining = reason
            self._left = False
            self._drain_since_ns = now_ns
            self.notes.append(Note("drain", reason, {"stopping": stopping}))

    def cancel_drain(self) -> None:
        """Stops a drain that has not ended the session, unless the node is stopping."""
        if self._draining and not self._stopping and not self._left:
            self._draining = ""
            self.notes.append(Note("drain", "cancelled"))

    def on_applied(self, verdicts: list[Verdict]) -> None:
        """Checks that no shard left this node while it ran requests for it.

        Raises:
            InvariantViolation: One did.
        """
        own_id = self._membership.own_id
        for verdict in verdicts:
            command = verdict.command
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
        """Proposes transfers of shards that are idle, settles others and follows a drain."""
        self._settle(now_ns)
        if self._draining:
            self._follow_drain(now_ns)
        self._propose(now_ns)

    def _owns(self, service: str, shard: int) -> bool:
        row = self._fleet.owner(service, shard) if service in self._fleet.tables else None
        return row is not None and row.session.id == self._membership.own_id

    def _check_shard(self, service: str, shard: int, now_ns: int) -> Admission:
        if not self._membership.may_serve(now_ns):
            return Admission.NO_LEASE
        if not self._owns(service, shard):
            return Admission.NOT_OWNER
        holds, release = self.holds, self._releases.get((service, shard))
        if holds is not None:
            if holds.may_run(shard, now_ns):
                # Until the upstream is told to release the shard it can run requests for it.
                return Admission.RUN
            if release is None:
                return Admission.NOT_HELD
        if release is not None:
            held = now_ns - release.since_ns < self.hold_ms * NS_PER_MS
            return Admission.HOLD if held else Admission.MOVING
        return Admission.RUN

    def _settle(self, now_ns: int) -> None:
        for key, release in list(self._releases.items()):
            if not release.proposal:
                settled = not self._owns(*key) or release.target not in self._fleet.sessions
            else:
                waited_ns = now_ns - release.proposed_ns
                settled = self._membership.recording.is_settled(release.proposal)
                settled = settled or _rules.gives_up_on_outcome(waited_ns)
            if settled:
                del self._releases[key]

    def _propose(self, now_ns: int) -> None:
        ready: dict[tuple[str, SessionId], list[int]] = {}
        for (service, shard), release in self._releases.items():
            if release.proposal or self._in_flight[service, shard]:
                continue
            if self.holds is None or self.holds.is_free(shard, now_ns):
                ready.setdefault((service, release.target), []).append(shard)
        for (service, target), shards in ready.items():
            for start in range(0, len(shards), MAX_SHARDS_PER_TRANSFER):
                self._transfer(
                    service, target, shards[start : start + MAX_SHARDS_PER_TRANSFER], now_ns
                )

    def _transfer(self, service: str, target: SessionId, shards: list[int], now_ns: int) -> None:
        own_id = self._membership.own_id
        if own_id is None:
            return
        epochs = tuple(self._fleet.epoch(service, shard) for shard in shards)
        command_id = f"transfer:{own_id}:{service}:{shards[0]}:{epochs[0]}"
        handovers = self.holds.handovers(shards) if self.holds is not None else ()
        command = Transfer(command_id, service, own_id, target, tuple(shards), epochs, handovers)
        self._membership.recording.propose((command,))
        for shard in shards:
            release = self._releases[service, shard]
            release.proposal = command_id
            release.proposed_ns = now_ns

    def _follow_drain(self, now_ns: int) -> None:
        own_id = self._membership.own_id
        row = self._fleet.sessions.get(own_id) if own_id else None
        if row is None:
            if self._stopping:
                self._left = True
                self._membership.session.leave(stopping=True)
            elif self._left:
                self._draining = ""
            return
        if self._left:
            return
        if now_ns >= self._next_drain_ns:
            self._next_drain_ns = now_ns + RETRY_DRAIN_MS * NS_PER_MS
            self._release_all(row.session.service, now_ns)
        owned = self._fleet.shard_count(row)
        self._stuck = bool(owned) and not self._candidates(row.session.service)
        # Requests without a key need no session to end.
        idle = not self._total or not self.unkeyed_needs_lease
        if (not owned or self._stuck) and idle and not self._releases:
            self._left = True
            self._membership.session.leave(stopping=self._stopping)
            self.notes.append(Note("drain", "leaving", {"shards_left": owned}))

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

    def _candidates(self, service: str) -> list[Candidate]:
        return [
            candidate_of(self._fleet, row)
            for session_id, row in self._fleet.sessions.items()
            if row.session.service == service and session_id != self._membership.own_id
        ]
