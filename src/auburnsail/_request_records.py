"""Log lines and measurements of requests that have ended."""

from typing import Protocol

from . import _headers, _supervision
from ._active_requests import RequestContext
from ._caller_request import Request
from ._clock import Clock
from ._outcome import Outcome, Refusal
from ._request_log import RequestLog
from ._resolver import DestinationResolver
from ._routing import Router

__all__ = ["Observer", "RequestRecords"]


class Observer(Protocol):
    """Receives the measurements of requests. Methods must not block.

    `Measurements` implements this protocol.
    """

    def on_answer(
        self, service: str, shard: int, outcome: str, status: int, duration_ns: int, reason: str
    ) -> None:
        """Records the outcome of a request that this node received from a caller."""

    def on_served(self, service: str, duration_ns: int) -> None:
        """Records a request that was sent to the local upstream."""


class RequestRecords:
    """Records how requests ended; an error in it ends neither a request nor its connection.

    Args:
        log: Writes the log lines.
        observer: Measures requests, or None.
        router: Decides where a request goes.
        resolver: Determines the destination of each request.
        clock: Source of time.
    """

    def __init__(
        self,
        log: RequestLog,
        observer: Observer | None,
        router: Router,
        resolver: DestinationResolver,
        clock: Clock,
    ) -> None:
        self._log = log
        self._observer = observer
        self._router = router
        self._resolver = resolver
        self._clock = clock

    def ended(self, context: RequestContext) -> None:
        """Records a request that is no longer in flight."""
        try:
            if not context.outcome:
                self._log.answered(context)
            if self._observer is not None:
                self._observe(context, self._observer)
        except Exception as error:
            _supervision.report_unexpected("request.record", error)

    def refused(self, request: Request, refusal: Refusal) -> None:
        """Records a request that is refused before routing."""
        head = request.head
        if self._observer is None or _headers.HOP in head.parsed_headers:
            return
        try:
            if service := self._resolver.service_of(head):
                outcome = refusal.outcome.value
                self._observer.on_answer(service, -1, outcome, 0, 0, refusal.reason)
        except Exception as error:
            _supervision.report_unexpected("request.record", error)

    def _observe(self, context: RequestContext, observer: Observer) -> None:
        duration_ns = self._clock.now_ns() - context.started_ns
        if context.local_service:
            observer.on_served(context.local_service, duration_ns)
        if context.hop is not None:
            return
        service = context.destination.service
        if service in self._router.tree.services:
            shard = -1
            if context.outcome == Outcome.NOT_RUN.value:
                shard = self._router.shard(service, context.destination.key)
            observer.on_answer(
                service, shard, context.outcome, context.status, duration_ns, context.reason
            )
