"""Routes: which service serves a request, by its host and the longest prefix of its path. Pure."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ._request_policy import RequestPolicy

__all__ = ["Part", "Route", "RouteTable"]


@dataclass(frozen=True, slots=True)
class Part:
    """A service that gets a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share in relation to the other parts.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """One route.

    Attributes:
        name: Its name.
        host: Host that requests name.
        prefix: Beginning of the path, with a slash at both ends.
        parts: Services that serve it, at least one.
        idempotent: Whether its requests may run more than once.
        priority: Rank among the requests of a service, 0 first.
        objective_ms: Time within which an answer is worth most.
        policy: Rules for its requests.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[Part, ...]
    idempotent: bool
    priority: int
    objective_ms: int
    policy: RequestPolicy

    def choose(self, number: float) -> str:
        """Returns the service for a random number in [0, 1)."""
        place = number * sum(part.weight for part in self.parts)
        for part in self.parts:
            place -= part.weight
            if place < 0:
                return part.service
        return self.parts[-1].service


@dataclass(slots=True)
class RouteTable:
    """All routes of one version of the settings.

    Attributes:
        routes: The routes.
    """

    routes: tuple[Route, ...] = ()
    _by_host: dict[str, dict[str, Route]] = field(init=False)

    def __post_init__(self) -> None:
        self._by_host = _index(self.routes)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins a path.

        Args:
            host: Host that the request names; a port is ignored.
            path: Path without its query.
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
