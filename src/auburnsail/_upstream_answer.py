"""Classifies the answers of the local upstream. No I/O."""

from ._answer_parser import AnswerParser
from ._dialect import Dialect
from ._outcome import RequestFailedError, not_run
from .exceptions import OutcomeUnknownError

__all__ = ["MISDIRECTED", "SHED", "find_refusal"]

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


def find_refusal(
    dialect: Dialect, answer: AnswerParser, address: str, request_id: str, *, repeatable: bool
) -> RequestFailedError | None:
    """Returns the error for an answer which reports that the request was not run.

    An upstream may write an earlier answer once more. Only an answer that repeats the id of the
    request belongs to it, so no other answer can report that the request was not run, or prove a
    success.

    Args:
        dialect: Header names; without a name for the request id no id is expected.
        answer: Answer of the local upstream.
        address: Address of the upstream.
        request_id: Id that was sent with the request, empty for none.
        repeatable: Whether the request may run more than once.

    Returns:
        The error, or None if the answer can be relayed to the caller.

    Raises:
        OutcomeUnknownError: The answer must not be relayed and the request may have run.
    """
    status = answer.status
    if status not in NOT_RUN_STATUSES and not dialect.server_seal:
        return None
    fields = {name.lower(): value for name, value in answer.fields}
    is_own = not (dialect.request_id and request_id) or (
        fields.get(dialect.request_id, "").strip() == request_id
    )
    if is_own and _is_not_run(dialect, status, fields):
        return _refusal_of(status, answer.phrase, fields, address)
    _check_relayable(dialect, status, fields, address, is_own=is_own, repeatable=repeatable)
    return None


def _is_not_run(dialect: Dialect, status: int, fields: dict[str, str]) -> bool:
    if not dialect.expected_instance:
        return status in SHED_STATUSES and fields.get(dialect.not_run) == "1"
    if status == MISDIRECTED:
        return True
    return status in NOT_RUN_STATUSES and dialect.not_run in fields


def _refusal_of(
    status: int, phrase: str, fields: dict[str, str], address: str
) -> RequestFailedError:
    if status == MISDIRECTED:
        detail = "the upstream says that it is another one or does not hold the key"
        return not_run("not-held", detail, "upstream", address, retry_after_ms=NOT_HELD_RETRY_MS)
    hint = fields.get("retry-after", "")
    is_usable = hint.isdecimal() and len(hint) <= MAX_RETRY_AFTER_DIGITS
    wait_ms = int(hint) * 1000 if is_usable else DEFAULT_RETRY_AFTER_MS
    detail = "the upstream answered that it did not run the request"
    text = f"{status} {phrase}"
    return not_run(SHED, detail, "upstream", address, status=text, retry_after_ms=wait_ms)


def _check_relayable(
    dialect: Dialect,
    status: int,
    fields: dict[str, str],
    address: str,
    *,
    is_own: bool,
    repeatable: bool,
) -> None:
    """Raises OutcomeUnknownError if an answer must not be relayed.

    A success needs the server seal, a header which proves that the upstream itself sent the answer.
    """
    if not dialect.server_seal:
        return
    detail = ""
    if 200 <= status < 300 and (dialect.server_seal not in fields or "content-encoding" in fields):
        detail = "the answer carries no proof that it is the upstream's"
    elif not is_own and (200 <= status < 300 or status in CALLER_NOT_RUN_STATUSES):
        detail = f"status {status} does not repeat the id of the request"
    elif status in CALLER_NOT_RUN_STATUSES and not repeatable:
        detail = f"status {status} says that a request was not run that may have run"
    if detail:
        raise OutcomeUnknownError(detail, step="http.receive", peer=address)
