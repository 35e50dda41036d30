"""Request settings of a service in the form that the request path uses."""

from dataclasses import dataclass

from ._sections import Requests
from ._settings import TreeSettings
from ._tree import effective

__all__ = ["RequestPolicy", "policies_by_service"]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """Settings for the requests to one service.

    Attributes:
        default_deadline_ms: Deadline of a request that states none, in milliseconds from its
            arrival.
        max_deadline_ms: Upper bound of a request's deadline; a longer one is reduced to it.
        max_attempts: Maximum attempts per request, including the first.
        retry_share: Retry budget as a fraction of recent requests.
        retry_fleet_reserve: Retries beyond that budget by all nodes together; 0 gives each node a
            small reserve of its own.
        idempotent_methods: Methods whose requests may run more than once.
        repeatable_paths: Path prefixes, after the service, whose requests may run more than once
            with any method.
        non_repeatable_paths: Path prefixes whose requests must not run more than once with any
            method; they take precedence.
        detect_silence: Whether an exchange on a reused connection is aborted after a silence much
            longer than usual; needed where an intermediary acknowledges bytes, so that TCP detects
            no loss.
        max_key_bytes: Maximum key length.
        max_body_bytes: Maximum length of a request body.
    """

    default_deadline_ms: int = 10_000
    max_deadline_ms: int = 60_000
    max_attempts: int = 3
    retry_share: float = 0.1
    retry_fleet_reserve: float = 0.0
    idempotent_methods: frozenset[str] = IDEMPOTENT_METHODS
    repeatable_paths: tuple[str, ...] = ()
    non_repeatable_paths: tuple[str, ...] = ()
    detect_silence: bool = True
    max_key_bytes: int = 1024
    max_body_bytes: int = 1 << 30

    def is_repeatable(self, method: str, path: str) -> bool:
        """Returns whether a request may be retried although it may already have run.

        Args:
            method: Method of the request.
            path: Path of the request after the service, with a leading slash.
        """
        if self.non_repeatable_paths and path.startswith(self.non_repeatable_paths):
            return False
        if method in self.idempotent_methods:
            return True
        return bool(self.repeatable_paths) and path.startswith(self.repeatable_paths)


def policies_by_service(tree: TreeSettings, region: str, domain: str) -> dict[str, RequestPolicy]:
    """Returns the policies in force in one failure domain, by service."""
    return {
        service: _policy(effective(tree, service, region, domain).requests)
        for service in tree.services
    }


def _policy(section: Requests) -> RequestPolicy:
    return RequestPolicy(
        default_deadline_ms=section.default_deadline_ms,
        max_deadline_ms=section.max_deadline_ms,
        max_attempts=section.max_attempts,
        retry_share=section.retry_budget_percent / 100,
        retry_fleet_reserve=section.retry_fleet_reserve,
        idempotent_methods=frozenset(section.idempotent_methods),
        repeatable_paths=tuple(section.idempotent_paths),
        non_repeatable_paths=tuple(section.non_repeatable_paths),
        max_key_bytes=section.max_key_bytes,
        max_body_bytes=section.max_body_bytes,
    )
