"""Answers that come from auburnsail itself and not from an upstream."""

import math
from dataclasses import dataclass
from enum import Enum

import msgspec

from . import _headers
from ._dialect import OWN, Dialect
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
# Reason of a refusal of a request that crashed the upstreams that ran it.
QUARANTINED = "quarantined"


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
        owner: Address that owns the key by this node's map, or an empty string.
        map_version: Version of the map that names the owner.
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

    def body(self) -> bytes:
        """Returns the JSON body."""
        return msgspec.json.encode(
            _Body(self.outcome, self.reason, self.detail, self.step, self.peer, self.retry_after_ms)
        )

    def headers(self, dialect: Dialect = OWN) -> list[tuple[str, str]]:
        """Returns the headers that state the outcome."""
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

    def encode(self, *, close: bool, head_only: bool = False, dialect: Dialect = OWN) -> bytes:
        """Returns the whole HTTP answer.

        Args:
            close: Whether the connection ends after this answer.
            dialect: How the caller reads answers.
            head_only: Leaves out the body, for HEAD.
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


class RequestFailedError(AuburnsailError):
    """An attempt to run a request failed; the refusal states the outcome.

    Args:
        refusal: What the caller is told if no further attempt is made.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail, step=refusal.step, peer=refusal.peer)
        self.refusal = refusal


def refused(status: str, reason: str, detail: str, step: str = "request") -> RequestFailedError:
    """Returns the error for a request that is not valid as it stands."""
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
) -> RequestFailedError:
    """Returns the error for a request that was not run."""
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
        )
    )


def unknown(
    reason: str, detail: str, step: str, peer: str = "", *, status: str = "502 Bad Gateway"
) -> RequestFailedError:
    """Returns the error for a request that may have been run."""
    return RequestFailedError(Refusal(status, Outcome.UNKNOWN, reason, detail, step, peer))


def parse_refusal(status: str, fields: dict[str, str], body: bytes, peer: str) -> Refusal:
    """Returns the refusal that another node answered with.

    A body that is not valid counts as an unknown outcome, because the other node's word is then
    not clear.

    Args:
        status: Status code and phrase of the answer.
        fields: Headers of the answer with names in lower case.
        body: Body of the answer; empty for HEAD, whose outcome stands in the headers.
        peer: Address of the other node.
    """
    version = fields.get(_headers.MAP_VERSION, "")
    owner = fields.get(_headers.OWNER, "")
    map_version = int(version) if version.isdecimal() else 0
    try:
        if body:
            content = msgspec.json.decode(body, type=_Body)
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
    )
