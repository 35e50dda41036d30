"""Which requests may be sent again, and the proof that no other one is."""

from ._clock import NS_PER_MS
from ._outcome import Outcome
from .exceptions import InvariantViolation

__all__ = ["AttemptLog", "RetryBudget", "backoff_ms"]

BUDGET_SHARE = 0.1
# Lets a quiet node retry at all; at most this many retries exceed the share.
BUDGET_RESERVE = 10.0
BUDGET_WINDOW_MS = 10_000
BURST_SHARE = 0.3
FIRST_BACKOFF_MS = 10
MAX_BACKOFF_MS = 200


class RetryBudget:
    """Limits retries to a share of recent requests, so that they cannot add to an overload.

    Tokens are kept by a bucket whose size is a part of the share of the last window's requests, so
    that saved tokens add little to those of a whole window.

    Args:
        share: Retries per request; 0 allows none.
        reserve: Retries that a quiet service may make beyond the share.

    Attributes:
        share: Retries per request.
        reserve: Retries beyond the share.
    """

    def __init__(self, share: float = BUDGET_SHARE, reserve: float = BUDGET_RESERVE) -> None:
        self.share = share
        self.reserve = reserve
        self._tokens = reserve
        self._window_end_ns = 0
        self._requests = 0
        self._capacity = reserve

    @property
    def tokens(self) -> float:
        """Retries that are allowed now."""
        return self._tokens

    def on_request(self, now_ns: int) -> None:
        """Counts a new request of a caller."""
        if now_ns >= self._window_end_ns:
            self._window_end_ns = now_ns + BUDGET_WINDOW_MS * NS_PER_MS
            self._capacity = max(self.reserve, BURST_SHARE * self._requests * self.share)
            self._requests = 0
        self._requests += 1
        limit = max(self._capacity, BURST_SHARE * self._requests * self.share)
        self._tokens = min(limit, self._tokens + self.share)

    def take(self) -> bool:
        """Returns whether one more retry is allowed, and counts it if so."""
        if self._tokens < 1.0 or self.share <= 0:
            return False
        self._tokens -= 1.0
        return True


def backoff_ms(attempt: int, jitter: float) -> float:
    """Returns the pause before the next attempt in milliseconds.

    Args:
        attempt: Attempts made so far, from 1.
        jitter: Random number in [0, 1), so that callers do not come back all at once.
    """
    longest = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (attempt - 1))
    return longest * (0.5 + jitter / 2)


class AttemptLog:
    """The attempts to run one request and what is known of each.

    Guards P4 and P5 in this node: a request that may not be repeated is sent again only after every
    earlier attempt was certainly not run, and a caller is told "not run" only if that holds for all
    attempts.

    Args:
        repeatable: Whether the request may run more than once.
    """

    __slots__ = ("_open", "_ran", "count", "repeatable")

    def __init__(self, repeatable: bool) -> None:
        self.repeatable = repeatable
        self.count = 0
        self._open = False
        self._ran = False

    @property
    def may_send(self) -> bool:
        """Whether the request may be sent now."""
        return self.repeatable or not (self._open or self._ran)

    @property
    def outcome(self) -> Outcome:
        """What is known about the request if no answer is passed on."""
        return Outcome.UNKNOWN if self._open or self._ran else Outcome.NOT_RUN

    def begin(self, peer: str) -> None:
        """Notes that the first byte of an attempt is about to be sent.

        Raises:
            InvariantViolation: An earlier attempt may have run and the request is not repeatable.
        """
        if not self.may_send:
            raise InvariantViolation(
                "a request that may not be repeated would be sent twice",
                step="forward.send",
                peer=peer,
            )
        self._ran = self._ran or self._open
        self._open = True
        self.count += 1

    def on_not_run(self) -> None:
        """Notes that the peer answered that it did not run the current attempt."""
        self._open = False

    def on_possibly_run(self) -> None:
        """Notes that the current attempt was answered, or that its outcome is unknown."""
        self._ran = self._ran or self._open
        self._open = False

    def check_told(self, outcome: Outcome) -> None:
        """Checks what a caller is about to be told.

        Raises:
            InvariantViolation: The caller would be told "not run" for a request that may have run.
        """
        if outcome is not Outcome.UNKNOWN and self.outcome is Outcome.UNKNOWN:
            raise InvariantViolation(
                f"a request that may have run would be reported as {outcome.value}",
                step="forward.answer",
            )
