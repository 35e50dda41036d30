"""Classifies the answers of the local upstream. No I/O."""

from ._dialect import Dialect
from ._outcome import RequestFailedError, not_run
from .exceptions import OutcomeUnknownError

__all__ = ["MISDIRECTED", "NOT_RUN_STATUSES", "SHED", "check_seal", "is_not_run", "refusal_of"]

SHED_STATUSES = frozenset({429, 503})
MISDIRECTED = 421
# Statuses with which an upstream may report that it did not run a request.
NOT_RUN_STATUSES = frozenset({400, MISDIRECTED, 429, 503})
# Statuses that callers take as a report that the request was not run, whoever sends them.
CALLER_NOT_RUN_STATUSES = frozenset({408, MISDIRECTED, 429, 503})
# Backoff until the upstream's next report; the answer to it grants a key that is not held yet.
NOT_HELD_RETRY_MS = 200
DEFAULT_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_DIGITS = 5
SHED = "upstream-shed"


def is_not_run(dialect: Dialect, status: int, fields: dict[str, str]) -> bool:
    """Returns whether an upstream's answer reports that it did not run the request.

    Args:
        dialect: Header names.
        status: Status of the answer.
        fields: Headers of the answer by lower-case name.
    """
    if not dialect.expected_instance:
        return status in SHED_STATUSES and fields.get(dialect.not_run) == "1"
    if status == MISDIRECTED:
        return True
    return status in NOT_RUN_STATUSES and dialect.not_run in fields


def refusal_of(
    status: int, phrase: str, fields: dict[str, str], address: str
) -> RequestFailedError:
    """Returns the error for an answer that reports that the request was not run.

    Args:
        status: Status of the answer.
        phrase: Reason phrase of the answer.
        fields: Headers of the answer by lower-case name.
        address: Address of the upstream.
    """
    if status == MISDIRECTED:
        detail = "the upstream says that it is another one or does not hold the key"
        return not_run("not-held", detail, "upstream", address, retry_after_ms=NOT_HELD_RETRY_MS)
    hint = fields.get("retry-after", "")
    is_usable = hint.isdecimal() and len(hint) <= MAX_RETRY_AFTER_DIGITS
    wait_ms = int(hint) * 1000 if is_usable else DEFAULT_RETRY_AFTER_MS
    detail = "the upstream answered that it did not run the request"
    text = f"{status} {phrase}"
    return not_run(SHED, detail, "upstream", address, status=text, retry_after_ms=wait_ms)


def check_seal(
    dialect: Dialect, status: int, fields: dict[str, str], address: str, *, repeatable: bool
) -> None:
    """Checks the server seal of an answer, a header which proves that the upstream itself sent it.

    Args:
        dialect: Header names; without a name for the server seal nothing is checked.
        status: Status of the answer.
        fields: Headers of the answer by lower-case name.
        address: Address of the upstream.
        repeatable: Whether the request may run more than once.

    Raises:
        OutcomeUnknownError: The answer must not be relayed and the request may have run.
    """
    if not dialect.server_seal:
        return
    if 200 <= status < 300 and (dialect.server_seal not in fields or "content-encoding" in fields):
        detail = "the answer carries no proof that it is the upstream's"
        raise OutcomeUnknownError(detail, step="http.receive", peer=address)
    if status in CALLER_NOT_RUN_STATUSES and not repeatable:
        detail = f"status {status} says that a request was not run that may have run"
        raise OutcomeUnknownError(detail, step="http.receive", peer=address)
