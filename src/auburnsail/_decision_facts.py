"""Facts for the journal about commands of the fleet log and about fetches."""

from collections.abc import Iterable

from ._effects import LogName
from ._fleet import FleetState
from ._io import FetchResult
from ._model import (
    Assign,
    Close,
    Command,
    Grant,
    Join,
    Leave,
    Resume,
    Retire,
    SessionId,
    SetWatchers,
    Succeed,
    Transfer,
)
from ._shards import contiguous_runs, range_of_shards

__all__ = ["command_facts", "fetch_facts", "is_notable"]

# Shards spread over many runs would otherwise make a line of several kilobytes.
MAX_LOGGED_RANGES = 16
# Fetches of the fleet log are frequent, so only slow ones are logged.
SLOW_FETCH_MS = 250


def command_facts(command: Command, fleet: FleetState) -> dict[str, object]:
    """Returns the sessions, service and key ranges that a command affects.

    Args:
        command: A command of the fleet log.
        fleet: State after the command.
    """
    match command:
        case Join(session=session):
            return {"session": str(session.id), "service": session.service}
        case Resume(old=old, session=session):
            facts = {"old": str(old), "session": str(session.id), "service": session.service}
            return facts | {"lifetime": session.lifetime}
        case Retire(node=node, lifetime=lifetime):
            return {"node": node, "lifetime": lifetime}
        case SetWatchers(session=session, watchers=watchers):
            return {"session": str(session), "watchers": [str(watcher) for watcher in watchers]}
        case Transfer():
            owners = _ranges(fleet, command.service, command.target, command.shards)
            facts = {"service": command.service, "session": str(command.source)}
            return facts | {"owners": owners, "handovers": len(command.handovers)}
        case Assign(service=service, grants=grants):
            return {"service": service, "owners": _owners(fleet, service, grants)}
        case Close(session=session, evidence=evidence, grants=grants):
            facts = {"session": str(session), "seals": [item.silent_ms for item in evidence]}
            return facts | {"owners": _owners(fleet, _service_of(fleet, grants), grants)}
        case Succeed(old=old, new=new):
            return {"old": str(old), "session": str(new)}
        case Leave(session=session):
            return {"session": str(session)}
    return {}


def is_notable(fetched: FetchResult) -> bool:
    """Returns whether a fetch is recorded: it failed, was slow or fetched the settings log."""
    is_routine = fetched.fetch.log == LogName.FLEET and fetched.took_ms < SLOW_FETCH_MS
    return bool(fetched.error) or not is_routine


def fetch_facts(fetched: FetchResult) -> dict[str, object]:
    """Returns the source, reason, size and duration of a fetch."""
    fetch = fetched.fetch
    return {
        "log": fetch.log,
        "source": fetch.address or "store",
        "why": fetch.reason,
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
    return owners[:MAX_LOGGED_RANGES]


def _ranges(
    fleet: FleetState, service: str, target: SessionId, shards: Iterable[int]
) -> list[list]:
    """Returns the first and last key or shard and the new owner of each run of shards."""
    table = fleet.tables.get(service)
    ranges = []
    for first, last in contiguous_runs(shards):
        if table is not None and table.keys:
            keys = range_of_shards(first, last, len(table), table.keys)
            first, last = keys.first, keys.last
        ranges.append([first, last, str(target)])
    return ranges[:MAX_LOGGED_RANGES]
