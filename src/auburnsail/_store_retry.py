"""Repeats reads and conditional writes until their outcome is definite.

A write may take effect although its reply was lost, or some time later. A read that does not find
the write proves nothing. Repeating the same conditional write does: it either takes effect or fails
because its condition no longer holds, and then no earlier attempt can succeed either.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from ._store import Committed, Conflict, TableStore, Transaction
from .exceptions import OutcomeUnknownError, StoreUnavailableError

__all__ = ["RetrySchedule", "commit_until_definite", "until_definite"]

T = TypeVar("T")

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


@dataclass(slots=True)
class RetrySchedule:
    """Time budget and exponential backoff for the retries of one command.

    Attributes:
        budget_s: Time budget for all retries of the command in seconds.
        now_s: Returns monotonic time in seconds.
        sleep_s: Sleeps for a number of seconds.
    """

    budget_s: float
    now_s: Callable[[], float] = time.monotonic
    sleep_s: Callable[[float], None] = time.sleep
    _deadline_s: float | None = None
    _backoff_s: float = INITIAL_BACKOFF_S

    def wait(self) -> bool:
        """Sleeps before the next attempt; returns False without sleep if the budget is exhausted.

        The first call starts the budget.
        """
        now_s = self.now_s()
        if self._deadline_s is None:
            self._deadline_s = now_s + self.budget_s
        if now_s + self._backoff_s > self._deadline_s:
            return False
        self.sleep_s(self._backoff_s)
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
        return True


def until_definite(attempt: Callable[[], T], retries: RetrySchedule) -> T:
    """Repeats an operation until it succeeds or fails definitely.

    Args:
        attempt: A read, or a conditional write that is the same each time.
        retries: Limits the retries.

    Raises:
        ConflictError: The write's condition failed; it has not taken effect and never will.
        StoreUnavailableError: Nothing was written, and the retry budget is exhausted.
        OutcomeUnknownError: The write may have taken effect or may still do so, and the retry
            budget is exhausted.
    """
    is_unknown = False
    while True:
        try:
            return attempt()
        except StoreUnavailableError as error:
            failure = error
        except OutcomeUnknownError as error:
            failure, is_unknown = error, True
        if not retries.wait():
            if is_unknown:
                raise OutcomeUnknownError(
                    f"outcome unknown: {failure.detail}", step=failure.step, peer=failure.peer
                ) from failure
            raise failure


def commit_until_definite(
    store: TableStore, transaction: Transaction, retries: RetrySchedule
) -> Committed | Conflict:
    """Commits a transaction with retries; raises the errors of `until_definite`."""
    return until_definite(lambda: store.commit(transaction), retries)
