"""Selects the service of a request by host and longest path prefix. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ._request_policy import RequestPolicy

__all__ = ["Route", "RouteTable", "WeightedService"]


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a weighted share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the weights of the route's other services.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for requests to one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host that matching requests name.
        prefix: Beginning of the path, with a slash at both ends.
        services: Services that serve the route, at least one.
        repeatable: Whether requests may run more than once.
        priority: Priority among the requests of a service, 0 for the highest.
        objective_ms: Latency objective in milliseconds.
        policy: Limits and deadlines of requests.
    """

    name: str
    host: str
    prefix: str
    services: tuple[WeightedService, ...]
    repeatable: bool
    priority: int
    objective_ms: int
    policy: RequestPolicy

    def choose(self, fraction: float) -> str:
        """Returns the service to use, chosen by weight with a random fraction in [0, 1)."""
        remaining_weight = fraction * sum(candidate.weight for candidate in self.services)
        for candidate in self.services:
            remaining_weight -= candidate.weight
            if remaining_weight < 0:
                return candidate.service
        return self.services[-1].service


@dataclass(slots=True)
class RouteTable:
    """All routes of one version of the settings.

    Attributes:
        routes: All routes; a later one replaces an earlier one of the same host and prefix.
    """

    routes: tuple[Route, ...] = ()
    _by_host: dict[str, dict[str, Route]] = field(init=False)

    def __post_init__(self) -> None:
        self._by_host = _index(self.routes)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest prefix of a path, or None.

        Args:
            host: Host that the request names; a port is ignored.
            path: Path of the request without the query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def _index(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    index: dict[str, dict[str, Route]] = {}
    for route in routes:
        index.setdefault(route.host.lower(), {})[route.prefix] = route
    return index
