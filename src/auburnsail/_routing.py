"""Routing of requests to the node that owns the key, or to any upstream of an unkeyed service."""

from dataclasses import dataclass

from ._fleet import FleetState
from ._model import Session, SessionId
from ._outcome import Refusal, RequestFailedError, not_run, refused
from ._settings import TreeSettings
from ._shards import ShardTable, shard_of

__all__ = ["AnyOf", "Forward", "Local", "Refuse", "Router", "RoutingDecision", "Target"]

MAX_KEY_BYTES = 1024
# All nodes learn of a transfer within tens of milliseconds.
MAP_RETRY_HINT_MS = 50
_BAD_REQUEST = "400 Bad Request"


@dataclass(frozen=True, slots=True)
class Target:
    """Service, shard and ownership epoch of a request; the shard is -1 for an unkeyed service."""

    service: str
    shard: int = -1
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class Local:
    """The local upstream runs the request."""

    target: Target


@dataclass(frozen=True, slots=True)
class Forward:
    """Another node runs the request."""

    target: Target
    session: Session


@dataclass(frozen=True, slots=True)
class AnyOf:
    """Any of several nodes can run the request."""

    target: Target
    sessions: tuple[Session, ...]


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is not sent anywhere."""

    refusal: Refusal


RoutingDecision = Local | Forward | AnyOf | Refuse


class Router:
    """Routes requests by the fleet's state and the settings tree.

    Args:
        fleet: State of the fleet; changes as entries are applied.
        tree: Settings tree in force.

    Attributes:
        tree: Settings tree in force.
        own_id: Session id of this node, None before it has one.
        key_limits: Maximum key size in bytes, by service.
    """

    def __init__(self, fleet: FleetState, tree: TreeSettings) -> None:
        self._fleet = fleet
        self.tree = tree
        self._members: dict[str, tuple[Session, ...]] = {}
        self._members_version = -1
        self.own_id: SessionId | None = None
        self.key_limits: dict[str, int] = {}

    @property
    def map_version(self) -> int:
        """Version of the fleet log by which requests are routed."""
        return self._fleet.version

    def route(
        self,
        service: str,
        key: bytes | None,
        *,
        is_forwarded: bool = False,
        sender_version: int = 0,
    ) -> RoutingDecision:
        """Returns the route of a request; `Refuse` if it cannot be routed.

        Args:
            service: The service that the request asks for.
            key: Key as the caller sent it, or None.
            is_forwarded: Whether another node forwarded the request, which is not forwarded again.
            sender_version: Version of the fleet log by which the other node routed.
        """
        try:
            if is_forwarded and service not in self.tree.services:
                # The forwarding node has newer settings, in which the service exists.
                raise not_run("no-settings", f"no service {service!r} is known here yet", "route")
            if is_forwarded and self._serves_unkeyed(service):
                # Also while the upstream leaves: the gate decides until when it gets requests.
                return Local(Target(service))
            route = self._find_route(service, key)
            if is_forwarded:
                return self._route_forwarded(route, sender_version)
        except RequestFailedError as error:
            return Refuse(error.refusal)
        return route

    def is_in_other_region(self, session: Session) -> bool:
        """Returns whether a session's node is in another region.

        Also True while this node has no session and so does not know its own region.
        """
        own = self._fleet.sessions.get(self.own_id) if self.own_id is not None else None
        return own is None or own.session.region != session.region

    def shard(self, service: str, key: bytes | None) -> int:
        """Returns the shard of a request, -1 if the service has no shards or the key is invalid."""
        table = self._fleet.tables.get(service)
        if table is None:
            return -1
        try:
            return self._shard(service, key, table)
        except RequestFailedError:
            return -1

    def _find_route(self, service: str, key: bytes | None) -> RoutingDecision:
        settings = self.tree.services.get(service)
        if settings is None and not self.tree.services:
            raise not_run("no-settings", "this node has no settings yet", "route")
        if settings is None:
            raise refused("404 Not Found", "unknown-service", f"no service {service!r}", "route")
        if settings.keyed:
            return self._route_to_owner(service, key)
        members = self._members_of(service)
        if not members:
            raise not_run("no-upstream", f"no upstream of {service} is known", "route")
        return AnyOf(Target(service), members)

    def _route_to_owner(self, service: str, key: bytes | None) -> RoutingDecision:
        table = self._fleet.tables.get(service)
        if table is None:
            raise not_run("no-owner", f"{service} has no shards yet", "route")
        shard = self._shard(service, key, table)
        row = self._fleet.owner(service, shard)
        if row is None:
            raise not_run("no-owner", f"shard {shard} of {service} has no owner", "route")
        target = Target(service, shard, self._fleet.epoch(service, shard))
        if row.session.id == self.own_id:
            return Local(target)
        return Forward(target, row.session)

    def _route_forwarded(self, route: RoutingDecision, sender_version: int) -> RoutingDecision:
        match route:
            case AnyOf():
                raise not_run("not-member", "this node does not serve the service", "route")
            case Forward(session=session):
                if sender_version > self._fleet.version:
                    raise not_run(
                        "map-behind",
                        f"this node's map has version {self._fleet.version}",
                        "route",
                        retry_after_ms=MAP_RETRY_HINT_MS,
                    )
                raise not_run(
                    "not-owner",
                    "another node owns the key",
                    "route",
                    retry_after_ms=MAP_RETRY_HINT_MS,
                    owner=session.data_address,
                    map_version=self._fleet.version,
                )
        return route

    def _serves_unkeyed(self, service: str) -> bool:
        own = self._fleet.sessions.get(self.own_id) if self.own_id is not None else None
        is_member = own is not None and own.session.service == service
        return is_member and not self.tree.services[service].keyed

    def _members_of(self, service: str) -> tuple[Session, ...]:
        if self._members_version != self._fleet.version:
            self._members_version = self._fleet.version
            self._members.clear()
            for row in self._fleet.sessions.values():
                if row.session.is_leaving:
                    continue
                known = self._members.get(row.session.service, ())
                self._members[row.session.service] = (*known, row.session)
        return self._members.get(service, ())

    def _shard(self, service: str, key: bytes | None, table: ShardTable) -> int:
        if not key:
            raise refused(_BAD_REQUEST, "missing-key", "the request names no key", "route")
        limit = self.key_limits.get(service, MAX_KEY_BYTES)
        if len(key) > limit:
            raise refused(_BAD_REQUEST, "key-too-long", f"the limit is {limit} bytes", "route")
        try:
            return shard_of(key.decode(), len(table), table.keys)
        except UnicodeDecodeError:
            raise refused(_BAD_REQUEST, "bad-key", "the key is not valid UTF-8", "route") from None
        except ValueError as error:
            raise refused(_BAD_REQUEST, "bad-key", str(error), "route") from None
