"""Refusals: answers that a node sends itself, instead of an answer of an upstream."""

import math
from dataclasses import dataclass
from enum import Enum

import msgspec

from . import _headers
from ._checked_input import Count, decode_json
from ._dialect import DEFAULT_DIALECT, Dialect
from .exceptions import AuburnsailError

__all__ = [
    "QUARANTINED",
    "Outcome",
    "Refusal",
    "RequestFailedError",
    "not_run",
    "parse_refusal",
    "refused",
    "unknown",
]

RETRY_HINT_MS = 250
# Reason for refusing a request that has crashed the upstreams that ran it.
QUARANTINED = "quarantined"


class Outcome(Enum):
    """Whether a request may have run, if no answer of an upstream was relayed."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer that a node sends itself.

    Attributes:
        status: HTTP status, for example ``"503 Service Unavailable"``.
        outcome: Whether the request may have run.
        reason: Stable, machine-readable reason.
        detail: One sentence that explains the reason to people.
        step: Operation that failed.
        peer: Address of the peer of the operation, or an empty string.
        retry_after_ms: Time in ms after which the caller may retry, 0 for no retry.
        owner: Address of the key's owner by the fleet log of this node, or an empty string.
        map_version: Version of the fleet log that names the owner.
        clock_s: Time of day on the refusing node, if it differs too much from the sender's.
    """

    status: str
    outcome: Outcome
    reason: str
    detail: str
    step: str
    peer: str = ""
    retry_after_ms: int = 0
    owner: str = ""
    map_version: int = 0
    clock_s: int = 0

    def body(self) -> bytes:
        """Returns the JSON body."""
        return msgspec.json.encode(
            _Body(
                self.outcome,
                self.reason,
                self.detail,
                self.step,
                self.peer,
                self.retry_after_ms,
                self.clock_s,
            )
        )

    def headers(self, dialect: Dialect = DEFAULT_DIALECT) -> list[tuple[str, str]]:
        """Returns the content type and the headers that state outcome, reason, retry and owner."""
        fields = [
            ("content-type", "application/json"),
            (_headers.OUTCOME, self.outcome.value),
            (_headers.REASON, self.reason),
        ]
        if self.retry_after_ms:
            seconds = self.retry_after_ms / 1000
            whole = dialect.whole_retry_after
            fields.append(("retry-after", str(math.ceil(seconds) if whole else seconds)))
            fields.append((_headers.RETRY_AFTER_MS, str(self.retry_after_ms)))
        if self.owner:
            fields.append((_headers.OWNER, self.owner))
            fields.append((_headers.MAP_VERSION, str(self.map_version)))
        return fields

    def encode(
        self, *, close: bool, head_only: bool = False, dialect: Dialect = DEFAULT_DIALECT
    ) -> bytes:
        """Returns the encoded HTTP answer.

        Args:
            close: Whether the connection is closed after this answer.
            head_only: Whether to leave out the body, for HEAD.
            dialect: Status and header conventions of the caller.
        """
        body = self.body()
        fields = [*self.headers(dialect), ("content-length", str(len(body)))]
        if close:
            fields.append(("connection", "close"))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields)
        status = self.status
        if dialect.not_run_status and (
            self.outcome is Outcome.NOT_RUN or self.reason == QUARANTINED
        ):
            status = dialect.not_run_status
        text = f"HTTP/1.1 {status}\r\n{head}\r\n".encode("latin-1")
        return text if head_only else text + body


class _Body(msgspec.Struct):
    outcome: Outcome
    reason: str
    detail: str
    step: str
    peer: str = ""
    retry_after_ms: int = 0
    clock_s: Count = 0


class RequestFailedError(AuburnsailError):
    """Raised when an attempt to run a request failed; the refusal states the outcome.

    Args:
        refusal: Answer for the caller if no further attempt is made.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail, step=refusal.step, peer=refusal.peer)
        self.refusal = refusal


def refused(status: str, reason: str, detail: str, step: str = "request") -> RequestFailedError:
    """Returns the error for an invalid request, which must not be retried unchanged."""
    return RequestFailedError(Refusal(status, Outcome.REFUSED, reason, detail, step))


def not_run(
    reason: str,
    detail: str,
    step: str,
    peer: str = "",
    *,
    status: str = "503 Service Unavailable",
    retry_after_ms: int = RETRY_HINT_MS,
    owner: str = "",
    map_version: int = 0,
    clock_s: int = 0,
) -> RequestFailedError:
    """Returns the error for a request that certainly was not run."""
    return RequestFailedError(
        Refusal(
            status,
            Outcome.NOT_RUN,
            reason,
            detail,
            step,
            peer,
            retry_after_ms,
            owner,
            map_version,
            clock_s,
        )
    )


def unknown(
    reason: str, detail: str, step: str, peer: str = "", *, status: str = "502 Bad Gateway"
) -> RequestFailedError:
    """Returns the error for a request that may have been run."""
    return RequestFailedError(Refusal(status, Outcome.UNKNOWN, reason, detail, step, peer))


def parse_refusal(status: str, fields: dict[str, str], body: bytes, peer: str) -> Refusal:
    """Returns the refusal that another node sent.

    If the refusal is not valid, the outcome is unknown, because nothing proves that the request was
    not run.

    Args:
        status: Status code and phrase of the answer.
        fields: Headers of the answer with names in lower case.
        body: Body of the answer; empty for HEAD, for which the headers state the outcome.
        peer: Address of the other node.
    """
    version = fields.get(_headers.MAP_VERSION, "")
    owner = fields.get(_headers.OWNER, "")
    map_version = int(version) if version.isdecimal() else 0
    try:
        if body:
            content = decode_json(body, _Body, "peer-refusal")
        else:
            hint = fields.get(_headers.RETRY_AFTER_MS, "")
            content = _Body(
                Outcome(fields.get(_headers.OUTCOME)),
                fields.get(_headers.REASON, ""),
                "the other node sent no detail",
                "forward",
                peer,
                int(hint) if hint.isdecimal() else 0,
            )
    except ValueError as error:
        detail = f"the other node's refusal is not valid: {error}"
        return Refusal("502 Bad Gateway", Outcome.UNKNOWN, "bad-answer", detail, "forward", peer)
    return Refusal(
        status,
        content.outcome,
        content.reason,
        content.detail,
        content.step,
        content.peer or peer,
        content.retry_after_ms,
        owner,
        map_version,
        content.clock_s,
    )
