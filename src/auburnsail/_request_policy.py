"""What the settings tree says about the requests of one service, in the form the data path uses."""

from dataclasses import dataclass

from ._sections import Requests
from ._settings import TreeSettings
from ._tree import effective

__all__ = ["RequestPolicy", "policies_of"]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """Rules for the requests of one service.

    Attributes:
        default_deadline_ms: Time for a request that names none.
        max_deadline_ms: A longer time is shortened to it.
        max_attempts: Attempts per request, the first one included.
        retry_share: Retries as a share of recent requests.
        retry_fleet_reserve: Retries beyond it by all nodes together; 0 leaves a few to each node.
        idempotent_methods: Methods that may run more than once.
        repeatable_paths: Path prefixes after the service that every method may repeat.
        non_repeatable_paths: Path prefixes that no method may repeat; they win.
        detect_silence: Whether an exchange on an older connection that stays silent for much longer
            than usual is given up; needed where something between the ends acknowledges bytes.
        max_key_bytes: Longest key.
        max_body_bytes: Longest request body.
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
        """Returns whether a request may be sent again although it may have run.

        Args:
            method: Its method.
            path: Its path after the service, with a leading slash.
        """
        if self.non_repeatable_paths and path.startswith(self.non_repeatable_paths):
            return False
        if method in self.idempotent_methods:
            return True
        return bool(self.repeatable_paths) and path.startswith(self.repeatable_paths)


def policies_of(tree: TreeSettings, region: str, domain: str) -> dict[str, RequestPolicy]:
    """Returns the policy of each service in one failure domain."""
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
