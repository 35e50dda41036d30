"""What log lines say about entries of the fleet log and about fetches."""

from collections.abc import Iterable

from ._effects import LogName
from ._fleet import FleetState
from ._io import Fetched
from ._model import (
    Assign,
    Close,
    Command,
    Grant,
    Join,
    Leave,
    Resume,
    SessionId,
    SetWatchers,
    Succeed,
    Transfer,
)
from ._shards import contiguous_runs, range_of_shards

__all__ = ["facts_of", "fetch_facts", "is_notable"]

# A spread of many runs would make a line of several kilobytes.
MOST_RANGES = 16
# Entries of the fleet log are fetched all the time; only slow fetches of them are worth a line.
SLOW_FETCH_MS = 250


def facts_of(command: Command, fleet: FleetState) -> dict[str, object]:
    """Returns sessions, service and key ranges that a command is about.

    Args:
        command: The command.
        fleet: The state after it.
    """
    match command:
        case Join(session=session):
            return {"session": str(session.id), "service": session.service}
        case Resume(old=old, session=session):
            facts = {"old": str(old), "session": str(session.id), "service": session.service}
            return facts | {"lifetime": session.lifetime}
        case SetWatchers(session=session, watchers=watchers):
            return {"session": str(session), "watchers": [str(w) for w in watchers]}
        case Transfer():
            owners = _ranges(fleet, command.service, command.target, command.shards)
            facts = {"service": command.service, "session": str(command.source)}
            return facts | {"owners": owners, "handovers": len(command.handovers)}
        case Assign(service=service, grants=grants):
            return {"service": service, "owners": _owners(fleet, service, grants)}
        case Close(session=session, evidence=evidence, grants=grants):
            facts = {"session": str(session), "seals": [e.silent_ms for e in evidence]}
            return facts | {"owners": _owners(fleet, _service_of(fleet, grants), grants)}
        case Succeed(old=old, new=new):
            return {"old": str(old), "session": str(new)}
        case Leave(session=session):
            return {"session": str(session)}
    return {}


def is_notable(fetched: Fetched) -> bool:
    """Whether a fetch is worth a line."""
    is_routine = fetched.fetch.log == LogName.FLEET and fetched.took_ms < SLOW_FETCH_MS
    return bool(fetched.error) or not is_routine


def fetch_facts(fetched: Fetched) -> dict[str, object]:
    """Returns who was asked for what, why, and how much came how fast."""
    fetch = fetched.fetch
    return {
        "log": fetch.log,
        "source": fetch.address or "store",
        "why": fetch.why,
        "after": fetch.after,
        "newest": fetch.newest,
        "bytes": fetched.size,
        "took_ms": fetched.took_ms,
    }


def _service_of(fleet: FleetState, grants: Iterable[Grant]) -> str:
    rows = (fleet.sessions.get(grant.to) for grant in grants)
    return next((row.session.service for row in rows if row is not None), "")


def _owners(fleet: FleetState, service: str, grants: Iterable[Grant]) -> list[list]:
    owners: list[list] = []
    for grant in grants:
        owners += _ranges(fleet, service, grant.to, grant.shards)
    return owners[:MOST_RANGES]


def _ranges(
    fleet: FleetState, service: str, target: SessionId, shards: Iterable[int]
) -> list[list]:
    """Returns first key or shard, last one, and new owner of each run of shards."""
    table = fleet.tables.get(service)
    found = []
    for first, last in contiguous_runs(shards):
        if table is not None and table.keys:
            keys = range_of_shards(first, last, len(table), table.keys)
            first, last = keys.first, keys.last
        found.append([first, last, str(target)])
    return found[:MOST_RANGES]
