"""What an answer of the upstream beside this node stands for. Pure."""

from ._dialect import Dialect
from ._outcome import RequestFailedError, not_run
from .exceptions import OutcomeUnknownError

__all__ = ["MISDIRECTED", "NOT_RUN_STATUSES", "SHED", "check_proof", "refusal_of", "says_not_run"]

SHED_STATUSES = frozenset({429, 503})
MISDIRECTED = 421
# Statuses with which an upstream may say that it did not run a request.
NOT_RUN_STATUSES = frozenset({400, MISDIRECTED, 429, 503})
# Statuses that tell a caller that its request was not run, whoever sends them.
PROMISING_STATUSES = frozenset({408, MISDIRECTED, 429, 503})
# A key that the upstream does not hold yet is granted with its next report.
HELD_HINT_MS = 200
DEFAULT_HINT_MS = 1_000
MAX_HINT_DIGITS = 5
SHED = "upstream-shed"


def says_not_run(dialect: Dialect, status: int, fields: dict[str, str]) -> bool:
    """Whether an upstream's answer says that it did not run the request.

    Args:
        dialect: Header names.
        status: Status of the answer.
        fields: Its headers by lower-case name.
    """
    if not dialect.expected_instance:
        return status in SHED_STATUSES and fields.get(dialect.not_run) == "1"
    if status == MISDIRECTED:
        return True
    return status in NOT_RUN_STATUSES and dialect.not_run in fields


def refusal_of(
    status: int, phrase: str, fields: dict[str, str], address: str
) -> RequestFailedError:
    """Returns the failure for an answer that says that the request was not run.

    Args:
        status: Status of the answer.
        phrase: Its reason phrase.
        fields: Its headers by lower-case name.
        address: Address of the upstream.
    """
    if status == MISDIRECTED:
        detail = "the upstream says that it is another one or does not hold the key"
        return not_run("not-held", detail, "upstream", address, retry_after_ms=HELD_HINT_MS)
    hint = fields.get("retry-after", "")
    is_usable = hint.isdecimal() and len(hint) <= MAX_HINT_DIGITS
    wait_ms = int(hint) * 1000 if is_usable else DEFAULT_HINT_MS
    detail = "the upstream answered that it did not run the request"
    text = f"{status} {phrase}"
    return not_run(SHED, detail, "upstream", address, status=text, retry_after_ms=wait_ms)


def check_proof(
    dialect: Dialect, status: int, fields: dict[str, str], address: str, *, repeatable: bool
) -> None:
    """Checks that an answer can be passed on as the upstream's own.

    Args:
        dialect: Header names; without one for a proof nothing is checked.
        status: Status of the answer.
        fields: Its headers by lower-case name.
        address: Address of the upstream.
        repeatable: Whether the request may run more than once.

    Raises:
        OutcomeUnknownError: The request may have run and this is no answer to pass on.
    """
    if not dialect.seal:
        return
    if 200 <= status < 300 and (dialect.seal not in fields or "content-encoding" in fields):
        detail = "the answer carries no proof that it is the upstream's"
        raise OutcomeUnknownError(detail, step="http.receive", peer=address)
    if status in PROMISING_STATUSES and not repeatable:
        detail = f"status {status} says that a request was not run that may have run"
        raise OutcomeUnknownError(detail, step="http.receive", peer=address)
