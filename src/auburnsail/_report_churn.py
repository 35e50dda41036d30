"""Churn: counts ownership changes in the fleet log by reason and compares them with the minimum.

Log entries have no timestamps. Each snapshot contains the log version that its node had applied at
the end of the snapshot, so the time of a version is known to within one snapshot interval plus
clock skew.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from ._cli_common import table_lines
from ._fleet import CommandResult, FleetState
from ._fleet_view import FLEET_LOG
from ._model import (
    Assign,
    Close,
    DeclareLost,
    Grant,
    Join,
    Leave,
    Resume,
    SessionId,
    Succeed,
    Transfer,
    decode_entry,
)
from ._settings import TreeSettings
from ._snapshot import Snapshot
from ._store import TableStore
from ._store_retry import RetrySchedule, until_definite
from ._versioned_log import VersionedLog
from .exceptions import RefusedError

__all__ = ["ChurnReport", "FleetVersionTimes", "churn_lines", "churn_report"]

EndCommand = Close | Leave | Succeed | DeclareLost


class ServiceChurn(msgspec.Struct, frozen=True):
    """Ownership changes of one service.

    Attributes:
        service: The service.
        shards: Number of shards.
        moved: Changes of owner from one session to another, by reason: ``close`` (the command
            that ended the owner's session named new owners), ``transfer`` (planned), ``assign``
            (of a shard that had lost its owner).
        first: Number of shards that were assigned for the first time.
        lost: Number of shards that were without an owner after their owner's session ended.
        moved_share: Changes of owner per shard; above 1 if shards moved more than once.
        least_share: Smallest share of the shards that any placement had to move: the larger of two
            counts, divided by `shards`. The first is the shards that sessions owned when they
            ended or had transferred before they left. The second is the shards that the joined
            sessions were due by their slots, without those that were assigned for the first time.
    """

    service: str
    shards: int
    moved: dict[str, int]
    first: int
    lost: int
    moved_share: float
    least_share: float


class ChurnReport(msgspec.Struct, frozen=True):
    """Churn of all keyed services.

    Attributes:
        start_s: Start of the period in seconds since 1970, UTC.
        end_s: End of the period in seconds since 1970, UTC.
        from_version: Version of the fleet log at the start.
        to_version: Version of the fleet log at the end.
        joined: Number of sessions opened.
        ended: Number of sessions ended, by name of the command.
        services: Churn of each keyed service.
    """

    start_s: float
    end_s: float
    from_version: int
    to_version: int
    joined: int
    ended: dict[str, int]
    services: list[ServiceChurn]


class FleetVersionTimes:
    """Determines from snapshots which version of the fleet log was reached at a time."""

    def __init__(self) -> None:
        self._observations: list[tuple[float, int]] = []

    def add(self, snapshot: Snapshot) -> None:
        """Records which version a node had at the end of a snapshot."""
        self._observations.append((snapshot.end_s, snapshot.fleet_version))

    def version_at(self, time_s: float) -> int:
        """Returns the newest version that any node had at a time.

        Args:
            time_s: Time in seconds since 1970, UTC.

        Returns:
            The version, or 0 if no snapshot ended by then.
        """
        return max((version for end_s, version in self._observations if end_s <= time_s), default=0)


class _OwnershipTally:
    """Tracks the owners of the shards of one service and counts changes in the period."""

    def __init__(self) -> None:
        self.owners: dict[int, SessionId] = {}
        self.shard_counts: Counter[SessionId] = Counter()
        self.transferred: Counter[SessionId] = Counter()
        self.moved: Counter[str] = Counter()
        self.first_owners = self.ownerless = self.unavoidable = 0

    def record_owner(self, shard: int, owner: SessionId, reason: str, in_period: bool) -> None:
        """Sets the owner of a shard.

        Args:
            shard: The shard.
            owner: Session that owns it now.
            reason: ``close``, ``transfer`` or ``assign``.
            in_period: Whether the change counts.
        """
        previous = self.owners.get(shard)
        if previous == owner:
            return
        self.owners[shard] = owner
        self.shard_counts[owner] += 1
        if previous is not None:
            self.shard_counts[previous] -= 1
        if in_period:
            if previous is None:
                self.first_owners += 1
            else:
                self.moved[reason] += 1
                if reason == "transfer":
                    self.transferred[previous] += 1

    def record_session_end(self, session: SessionId, command: EndCommand) -> None:
        """Counts the shards of an ended session, which had to move, and those left ownerless."""
        self.unavoidable += self.shard_counts[session]
        if isinstance(command, Leave):
            self.unavoidable += self.transferred.pop(session, 0)
        granted = sum(len(grant.shards) for grant in getattr(command, "grants", ()))
        self.ownerless += max(0, self.shard_counts[session] - granted)


def churn_report(
    store: TableStore,
    tree: TreeSettings,
    start_s: float,
    end_s: float,
    versions: FleetVersionTimes,
    retries: RetrySchedule,
) -> ChurnReport:
    """Replays the fleet log and returns the churn of a period.

    Args:
        store: Store with the fleet log.
        tree: Settings tree with the keyed services.
        start_s: Start of the period in seconds since 1970, UTC.
        end_s: End of the period in seconds since 1970, UTC.
        versions: Determines the versions of the fleet log at the start and at the end.
        retries: Limits the retries of reads.

    Raises:
        RefusedError: The first entries of the log were removed.
        StoreUnavailableError: The store did not answer within the time budget of the retries.
    """
    from_version, to_version = versions.version_at(start_s), versions.version_at(end_s)
    fleet, log = FleetState(), VersionedLog(store, FLEET_LOG)
    for name, service in tree.services.items():
        if service.keyed:
            fleet.add_service(name, service.shards)
    tallies: dict[str, _OwnershipTally] = {name: _OwnershipTally() for name in fleet.tables}
    services: dict[SessionId, str] = {}
    joined: list[SessionId] = []
    ended: Counter[str] = Counter()
    while fleet.version < to_version:
        records = until_definite(lambda: log.read_after(fleet.version), retries)
        if not records:
            break
        if records[0].version != fleet.version + 1:
            detail = f"the log begins with version {records[0].version}; older entries were removed"
            raise RefusedError(detail, step="churn.read")
        for record in records:
            if record.version > to_version:
                break
            in_period = record.version > from_version
            verdicts = fleet.apply(decode_entry(record.data))
            for verdict in verdicts:
                _tally_verdict(fleet, verdict, tallies, services, in_period)
                if in_period and verdict.applied:
                    match verdict.command:
                        case Join(session=session):
                            joined.append(session.id)
                        case Close() | Leave() | Succeed() | DeclareLost():
                            ended[type(verdict.command).__name__] += 1
        if records[-1].version >= to_version:
            break
    churns = [_service_churn(fleet, name, tally, joined) for name, tally in sorted(tallies.items())]
    return ChurnReport(start_s, end_s, from_version, to_version, len(joined), dict(ended), churns)


def _tally_verdict(
    fleet: FleetState,
    verdict: CommandResult,
    tallies: dict[str, _OwnershipTally],
    services: dict[SessionId, str],
    in_period: bool,
) -> None:
    command = verdict.command
    match command:
        case Join(session=session) | Resume(session=session):
            services[session.id] = session.service
        case Transfer(service=service, target=target, shards=shards):
            _tally_grants(fleet, tallies, service, (Grant(target, shards),), "transfer", in_period)
        case Assign(service=service, grants=grants):
            _tally_grants(fleet, tallies, service, grants, "assign", in_period)
        case Close() | Leave() | Succeed() | DeclareLost() if verdict.applied or (
            # A command can end a session although some of its grants are skipped; the reason of
            # the verdict then contains this text.
            "shards had"
            in verdict.reason
        ):
            session = command.old if isinstance(command, Succeed) else command.session
            service = services.get(session, "")
            if service in tallies:
                if in_period:
                    tallies[service].record_session_end(session, command)
                grants = getattr(command, "grants", ())
                _tally_grants(fleet, tallies, service, grants, "close", in_period)


def _tally_grants(
    fleet: FleetState,
    tallies: dict[str, _OwnershipTally],
    service: str,
    grants: tuple[Grant, ...],
    reason: str,
    in_period: bool,
) -> None:
    if service not in tallies:
        tallies[service] = _OwnershipTally()
    for grant in grants:
        for shard in grant.shards:
            # Part of a command may have had no effect, so the resulting state decides.
            owner = fleet.owner(service, shard) if shard < len(fleet.tables[service]) else None
            if owner is not None and owner.session.id == grant.to:
                tallies[service].record_owner(shard, grant.to, reason, in_period)


def _service_churn(
    fleet: FleetState, service: str, tally: _OwnershipTally, joined: list[SessionId]
) -> ServiceChurn:
    shards = len(fleet.tables[service])
    slots = {
        session_id: max(1, state.session.slots)
        for session_id, state in fleet.sessions.items()
        if state.session.service == service
    }
    due_shards = (
        sum(slots.get(session, 0) for session in joined) / max(1, sum(slots.values())) * shards
    )
    # Shards that were assigned for the first time did not have to move to a joined session.
    least_moves = max(tally.unavoidable, int(due_shards) - tally.first_owners, 0)
    moved = sum(tally.moved.values())
    return ServiceChurn(
        service,
        shards,
        {reason: tally.moved[reason] for reason in ("close", "transfer", "assign")},
        tally.first_owners,
        tally.ownerless,
        moved / shards,
        least_moves / shards,
    )


def churn_lines(report: ChurnReport, format_time) -> Iterable[str]:
    """Returns the report as lines of text.

    Args:
        report: The report.
        format_time: Formats seconds since 1970.
    """
    yield f"Churn, {format_time(report.start_s)} to {format_time(report.end_s)}"
    yield f"fleet log: versions {report.from_version + 1} to {report.to_version}"
    ended = ", ".join(f"{command} {count}" for command, count in report.ended.items()) or "none"
    yield f"sessions: {report.joined} joined; ended: {ended}"
    yield ""
    header = ("service", "shards", "close", "transfer", "assign", "first", "moved", "least")
    rows = [
        (
            churn.service,
            churn.shards,
            *churn.moved.values(),
            churn.first,
            f"{100 * churn.moved_share:.1f}%",
            f"{100 * churn.least_share:.1f}%",
        )
        for churn in report.services
    ]
    yield from table_lines(header, rows)
