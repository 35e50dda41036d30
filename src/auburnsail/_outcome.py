"""Answers that come from auburnsail itself and not from an upstream."""

import math
from dataclasses import dataclass
from enum import Enum

import msgspec

from . import _headers

__all__ = ["Outcome", "Refusal"]


class Outcome(Enum):
    """What is known about a request that got no answer from an upstream."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of auburnsail's own.

    Attributes:
        status: HTTP status, for example ``"503 Service Unavailable"``.
        outcome: What is known about the request.
        reason: Stable token for programs.
        detail: One sentence for people.
        step: Operation that failed.
        peer: The other side, or an empty string.
        retry_after_ms: When to try again, 0 for never.
    """

    status: str
    outcome: Outcome
    reason: str
    detail: str
    step: str
    peer: str = ""
    retry_after_ms: int = 0

    def body(self) -> bytes:
        """Returns the JSON body."""
        return msgspec.json.encode(
            {
                "outcome": self.outcome.value,
                "reason": self.reason,
                "detail": self.detail,
                "step": self.step,
                "peer": self.peer,
                "retry_after_ms": self.retry_after_ms,
            }
        )

    def headers(self) -> list[tuple[str, str]]:
        """Returns the headers that state the outcome."""
        fields = [
            ("content-type", "application/json"),
            (_headers.OUTCOME, self.outcome.value),
            (_headers.REASON, self.reason),
        ]
        if self.retry_after_ms:
            fields.append(("retry-after", str(math.ceil(self.retry_after_ms / 1000))))
            fields.append((_headers.RETRY_AFTER_MS, str(self.retry_after_ms)))
        return fields
