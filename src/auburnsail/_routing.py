"""Decides where a request goes."""

from dataclasses import dataclass

from ._fleet import FleetState
from ._model import Session, SessionId
from ._outcome import Outcome, Refusal
from ._settings import TreeSettings
from ._shards import shard_of

__all__ = ["Forward", "Local", "Refuse", "Router", "Target"]

MAX_KEY_BYTES = 1024
RETRY_HINT_MS = 250


@dataclass(frozen=True, slots=True)
class Target:
    """Service, key and shard of a request; shard -1 for an unkeyed service."""

    service: str
    key: str = ""
    shard: int = -1
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class Local:
    """The upstream beside this node runs the request."""

    target: Target


@dataclass(frozen=True, slots=True)
class Forward:
    """Another node runs the request."""

    target: Target
    session: Session


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is not sent anywhere."""

    refusal: Refusal


Route = Local | Forward | Refuse


class Router:
    """Routes requests by the fleet's state.

    Args:
        fleet: State of the fleet; changes as entries are applied.
        tree: Settings shared by all nodes.
    """

    def __init__(self, fleet: FleetState, tree: TreeSettings) -> None:
        self._fleet = fleet
        self.tree = tree
        self._rotation = 0
        self.own_id: SessionId | None = None

    def route(self, path: str, key_header: str | None) -> Route:
        """Decides where a request goes.

        Args:
            path: ``/<service>/<path>``.
            key_header: Value of the key header, or None.
        """
        _, service, *rest = path.split("/", 2) if path.count("/") > 1 else (*path.split("/"), "")
        settings = self.tree.services.get(service)
        if settings is None:
            return _refused("404 Not Found", "unknown-service", f"no service {service!r}")
        if not settings.keyed:
            return self._any_upstream(service)
        key = key_header if key_header is not None else rest[0].split("/")[0].split("?")[0]
        if not key:
            return _refused("400 Bad Request", "missing-key", "the request names no key")
        if len(key.encode()) > MAX_KEY_BYTES:
            return _refused("400 Bad Request", "key-too-long", f"limit is {MAX_KEY_BYTES} bytes")
        return self._owner(service, key)

    def _owner(self, service: str, key: str) -> Route:
        table = self._fleet.tables.get(service)
        if table is None:
            return _not_run("no-owner", f"{service} has no shards yet")
        shard = shard_of(key, len(table))
        row = self._fleet.owner(service, shard)
        if row is None:
            return _not_run("no-owner", f"shard {shard} of {service} has no owner")
        target = Target(service, key, shard, self._fleet.epoch(service, shard))
        if row.session.id == self.own_id:
            return Local(target)
        return Forward(target, row.session)

    def _any_upstream(self, service: str) -> Route:
        rows = [row for row in self._fleet.sessions.values() if row.session.service == service]
        if not rows:
            return _not_run("no-upstream", f"no upstream of {service} is known")
        self._rotation += 1
        session = rows[self._rotation % len(rows)].session
        if session.id == self.own_id:
            return Local(Target(service))
        return Forward(Target(service), session)


def _refused(status: str, reason: str, detail: str) -> Refuse:
    return Refuse(Refusal(status, Outcome.REFUSED, reason, detail, "route"))


def _not_run(reason: str, detail: str) -> Refuse:
    status = "503 Service Unavailable"
    return Refuse(
        Refusal(status, Outcome.NOT_RUN, reason, detail, "route", retry_after_ms=RETRY_HINT_MS)
    )
