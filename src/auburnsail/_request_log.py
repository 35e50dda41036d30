"""Logging of requests: failures, answers after a retry or with status 5xx, and a sample."""

import zlib

import structlog

from ._active_requests import RequestContext
from ._clock import NS_PER_MS, Clock
from ._outcome import Refusal, RequestFailedError
from ._routing import Router
from .exceptions import AuburnsailError, CallerGoneError

__all__ = ["RequestLog"]

# Minimum interval between lines about failed requests without an id. An outage fails thousands of
# requests per second; one line per second shows it, as nobody can look up a request without an id.
LOG_EVERY_NS = 1_000 * NS_PER_MS
# Of the answers at the first attempt, one in this many is logged. The choice depends on the id
# only, so all nodes log the same requests.
SAMPLED_ONE_IN = 64


class RequestLog:
    """Writes log lines about requests.

    Args:
        address: Address of the node, part of each line.
        router: Provides the version of the map.
        clock: Source of time.
    """

    def __init__(self, address: str, router: Router, clock: Clock) -> None:
        self._log = structlog.get_logger(address=address)
        self._router = router
        self._clock = clock
        self._next_log_ns = 0
        self._unlogged = 0

    def answered(self, context: RequestContext) -> None:
        """Logs a request that an upstream answered, if it has an id and is notable or sampled."""
        sampled = not zlib.crc32(context.request_id.encode()) % SAMPLED_ONE_IN
        if not context.request_id or not (context.failures or context.status >= 500 or sampled):
            return
        self._log.info(
            "request answered",
            id=context.request_id,
            service=context.destination.service,
            status=context.status,
            peer=context.peer,
            attempts=_attempts_of(context.failures),
            hop=context.hop is not None,
            age_ms=(self._clock.now_ns() - context.started_ns) // NS_PER_MS,
            map_version=self._router.map_version,
        )

    def failed(self, context: RequestContext, refusal: Refusal) -> None:
        """Logs a request that this node refused or gave up.

        Without an id, at most one request per `LOG_EVERY_NS` is logged; the others are counted.
        """
        now_ns = self._clock.now_ns()
        if not context.request_id and now_ns < self._next_log_ns:
            self._unlogged += 1
            return
        self._log.warning(
            "request failed",
            id=context.request_id,
            service=context.destination.service,
            kind=context.destination.kind,
            outcome=refusal.outcome.value,
            reason=refusal.reason,
            detail=refusal.detail,
            peer=context.peer,
            attempts=_attempts_of(context.failures),
            upstreams=context.upstream_attempts,
            hop=context.hop is not None,
            age_ms=(now_ns - context.started_ns) // NS_PER_MS,
            left_ms=(context.deadline_ns - now_ns) // NS_PER_MS,
            wanted_ms=context.destination.soft_deadline_ms,
            map_version=self._router.map_version,
            unlogged=self._unlogged,
        )
        self._next_log_ns = now_ns + LOG_EVERY_NS
        self._unlogged = 0

    def unanswered(self, context: RequestContext, error: CallerGoneError) -> None:
        """Logs a request whose connection ends without a complete answer of this node."""
        cause = context.stop_reason or error.detail
        facts = {"cause": cause, "step": error.step, "error": error.detail}
        self._write_end("request unanswered", context, facts)

    def cut_short(self, context: RequestContext, error: AuburnsailError) -> None:
        """Logs an answer that ended early after a part of it was relayed."""
        facts = {"cause": context.stop_reason or str(error), "error": str(error)}
        self._write_end("answer cut short", context, facts)

    def _write_end(self, event: str, context: RequestContext, facts: dict[str, object]) -> None:
        """Writes the line of a request whose connection ends without its whole answer."""
        now_ns = self._clock.now_ns()
        write = self._log.info if context.caller_end else self._log.warning
        facts |= {
            "id": context.request_id,
            "service": context.destination.service,
            "kind": context.destination.kind,
            "caller_end": context.caller_end,
            "attempts": context.attempts.count,
            "outcome": context.attempts.outcome.value,
            "answer_begun": context.request.is_answered,
            "peer": context.peer,
            "hop": context.hop is not None,
            "age_ms": (now_ns - context.started_ns) // NS_PER_MS,
            "left_ms": (context.deadline_ns - now_ns) // NS_PER_MS,
        }
        write(event, **facts, **context.request.connection_facts(now_ns))

    def ended_with_process(self, context: RequestContext, state: str) -> None:
        """Logs a request that was still in flight when the process ended.

        Args:
            context: The request.
            state: What the request was waiting for.
        """
        now_ns = self._clock.now_ns()
        self._log.warning(
            "request ended with the process",
            id=context.request_id,
            service=context.destination.service,
            state=state,
            peer=context.peer,
            hop=context.hop is not None,
            age_ms=(now_ns - context.started_ns) // NS_PER_MS,
            **context.request.connection_facts(now_ns),
        )

    def internal_error(self, request_id: str) -> None:
        """Logs an unexpected exception; must be called in its `except` clause."""
        self._log.exception("request failed inside the node", id=request_id)

    def violation(self, error: Exception) -> None:
        """Logs a violated guarantee."""
        self._log.error("guarantee violated", error=str(error))


def _attempts_of(failures: list[RequestFailedError]) -> list[str]:
    """Returns step, peer and reason of each failed attempt."""
    return [
        f"{error.refusal.step} {error.refusal.peer}: {error.refusal.reason}" for error in failures
    ]
