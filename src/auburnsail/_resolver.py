"""Determines the service and key of a request, by its first path segment or by routes."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import unquote, unquote_to_bytes

from . import _headers
from ._dialect import Dialect
from ._hop import Hop
from ._http_head import RequestHead
from ._outcome import not_run, refused
from ._request_policy import RequestPolicy
from ._routes import Route, RouteTable

__all__ = ["Destination", "DestinationResolver", "PathResolver", "RouteResolver"]

# Used for services that are not in the settings tree; their requests are refused later.
DEFAULT_POLICY = RequestPolicy()
# A caller is taken to be retrying if its time limit is below this fraction of the longest time
# limit on its route.
RETRY_DEADLINE_FRACTION = 0.95
# Time that an answer takes to reach a caller in another region.
ANSWER_TRANSIT_MS = 30
# The first node applies the policy of the route and limits the time, also of silent attempts.
FORWARDED_POLICY = RequestPolicy(detect_silence=False)


@dataclass(frozen=True, slots=True)
class Destination:
    """Service, key and rules of a request.

    Attributes:
        service: Service that serves the request.
        key: Key as the caller sent it, None if there is none.
        repeatable: Whether the request may run more than once.
        priority: Priority among the requests of the service, 0 for the highest.
        policy: Limits and deadlines of the request.
        kind: Requests of the same kind have similar service times and answer sizes.
        soft_deadline_ms: Soft deadline in ms, after which an answer has little value; 0 for none.
        is_caller_retry: Whether the caller is retrying after a refusal.
        is_subrequest: Whether the local upstream of the first node sent the request while running
            another one, which waits for it.
    """

    service: str
    key: bytes | None
    repeatable: bool
    priority: int
    policy: RequestPolicy
    kind: str = ""
    soft_deadline_ms: int = 0
    is_caller_retry: bool = False
    is_subrequest: bool = False


class DestinationResolver(Protocol):
    """Determines the destination of a request."""

    def destination(self, head: RequestHead) -> Destination:
        """Returns the destination of a request that a caller sent.

        Raises:
            RequestFailedError: No route or service serves the request.
        """

    def forwarded_destination(self, head: RequestHead, hop: Hop) -> Destination:
        """Returns the destination of a request that another node forwarded."""

    def service_of(self, head: RequestHead) -> str:
        """Returns the service that a request names, empty if it is not in the settings."""


class PathResolver:
    """Takes the service from the first path segment; implements `DestinationResolver`.

    Attributes:
        policies: Request policy of each service.
    """

    def __init__(self) -> None:
        self.policies: dict[str, RequestPolicy] = {}

    def destination(self, head: RequestHead) -> Destination:
        """Implements `DestinationResolver.destination`."""
        _, service, *rest = head.path.split("/", 2)
        tail = "/" + rest[0] if rest else "/"
        policy = self.policies.get(service, DEFAULT_POLICY)
        path = unquote(tail) if "%" in tail else tail
        key = _key_of(head.parsed_headers.get(_headers.KEY), rest)
        return Destination(service, key, policy.is_repeatable(head.method, path), 0, policy)

    def service_of(self, head: RequestHead) -> str:
        """Implements `DestinationResolver.service_of`."""
        parts = head.path.split("/", 2)
        service = parts[1] if len(parts) > 1 else ""
        return service if service in self.policies else ""

    def forwarded_destination(self, head: RequestHead, hop: Hop) -> Destination:
        """Implements `DestinationResolver.forwarded_destination`."""
        return self.destination(head)


def _key_of(header: str | None, rest: list[str]) -> bytes:
    """Returns the key from the header or the path, whose percent-escapes are decoded."""
    if header is not None:
        return header.encode("latin-1")
    segment = rest[0].partition("/")[0] if rest else ""
    return unquote_to_bytes(segment) if "%" in segment else segment.encode("latin-1")


class RouteResolver:
    """Chooses the service by host and path; implements `DestinationResolver`.

    Requests that the local upstream makes while it runs another request are subrequests:
    the request that waits for them already holds a slot.

    Args:
        dialect: Header names that callers use.
        random_fraction: Returns random numbers in [0, 1).

    Attributes:
        routes: Routes in force, None before the first settings.
        is_running: Returns whether the local upstream is running the request with an id.
    """

    def __init__(
        self, dialect: Dialect, random_fraction: Callable[[], float] = random.random
    ) -> None:
        self._dialect = dialect
        self._random_fraction = random_fraction
        self._longest_deadline_ms: dict[str, int] = {}
        self.routes: RouteTable | None = None
        self.is_running: Callable[[str], bool] = lambda request_id: False

    def destination(self, head: RequestHead) -> Destination:
        """Implements `DestinationResolver.destination`."""
        if self.routes is None:
            raise not_run("no-settings", "this node has no settings yet", "route")
        route = self.routes.find(head.parsed_headers.get("host", ""), head.path)
        if route is None:
            raise refused(
                "404 Not Found", "no-route", "no route serves this host and path", "route"
            )
        service = (
            route.choose(self._random_fraction())
            if len(route.services) > 1
            else route.services[0].service
        )
        key = head.parsed_headers.get(self._dialect.key)
        is_subrequest = self._is_made_by_upstream(head)
        soft_deadline_ms, is_caller_retry = self._soft_deadline(head, route, is_subrequest)
        return Destination(
            service,
            key.encode("latin-1") if key is not None else None,
            route.repeatable,
            route.priority,
            route.policy,
            route.name,
            soft_deadline_ms,
            is_caller_retry,
            is_subrequest,
        )

    def _soft_deadline(
        self, head: RequestHead, route: Route, is_subrequest: bool
    ) -> tuple[int, bool]:
        """Returns the soft deadline in ms and whether the caller is retrying after a refusal.

        A retrying caller has less time left than other callers of its route, and its latency
        objective counts from its first attempt.
        """
        deadline = head.parsed_headers.get(self._dialect.deadline_ms, "")
        deadline_ms = int(deadline) if deadline.isascii() and deadline.isdecimal() else 0
        longest_deadline_ms = self._longest_deadline_ms.get(route.name, 0)
        if deadline_ms > longest_deadline_ms:
            longest_deadline_ms = self._longest_deadline_ms[route.name] = deadline_ms
        if is_subrequest:
            # A subrequest's time limit is the rest of the outer request's, so it shows no retry.
            return max(1, route.objective_ms), False
        is_caller_retry = deadline_ms < RETRY_DEADLINE_FRACTION * longest_deadline_ms
        passed_ms = longest_deadline_ms - deadline_ms if is_caller_retry else 0
        return max(1, route.objective_ms - ANSWER_TRANSIT_MS - passed_ms), is_caller_retry

    def service_of(self, head: RequestHead) -> str:
        """Returns an empty string: a request that was refused before routing has no service."""
        return ""

    def _is_made_by_upstream(self, head: RequestHead) -> bool:
        """Returns whether the local upstream is running the parent request."""
        parent, separator, _ = head.parsed_headers.get(self._dialect.request_id, "").partition(".")
        return bool(separator) and self.is_running(parent)

    def forwarded_destination(self, head: RequestHead, hop: Hop) -> Destination:
        """Returns the destination in the hop header; the first node has applied its route."""
        key = head.parsed_headers.get(self._dialect.key)
        raw = key.encode("latin-1") if key is not None else None
        return Destination(
            hop.service,
            raw,
            hop.repeatable,
            hop.priority,
            FORWARDED_POLICY,
            hop.kind,
            hop.soft_deadline_ms,
            hop.is_caller_retry,
            hop.is_subrequest,
        )
