"""Retry budget, backoff, and the check that only requests that may be repeated are retried."""

from ._clock import NS_PER_MS
from ._outcome import Outcome
from .exceptions import InvariantViolation

__all__ = ["AttemptLog", "RetryBudget", "backoff_ms"]

BUDGET_SHARE = 0.1
# Without a reserve, a node with few requests could not retry; at most this many retries exceed the
# share.
BUDGET_RESERVE_RETRIES = 10.0
BUDGET_WINDOW_MS = 10_000
BURST_SHARE = 0.3
FIRST_BACKOFF_MS = 10
MAX_BACKOFF_MS = 200


class RetryBudget:
    """Limits retries to a share of recent requests, so that they cannot amplify an overload.

    This is a token bucket. Its size is `BURST_SHARE` of the retries that the last window's requests
    allowed, so that a burst of saved tokens adds little to the retries of a whole window.

    Args:
        share: Retries per request; 0 allows none.
        reserve: Retries that a service with few requests may make beyond the share.

    Attributes:
        share: Retries per request; 0 allows none.
        reserve: Retries beyond the share.
    """

    def __init__(
        self, share: float = BUDGET_SHARE, reserve: float = BUDGET_RESERVE_RETRIES
    ) -> None:
        self.share = share
        self.reserve = reserve
        self._tokens = reserve
        self._window_end_ns = 0
        self._requests = 0
        self._capacity = reserve

    @property
    def tokens(self) -> float:
        """Number of retries that are allowed now."""
        return self._tokens

    def on_request(self, now_ns: int) -> None:
        """Counts a new request of a caller, which adds `share` tokens."""
        if now_ns >= self._window_end_ns:
            self._window_end_ns = now_ns + BUDGET_WINDOW_MS * NS_PER_MS
            self._capacity = max(self.reserve, BURST_SHARE * self._requests * self.share)
            self._requests = 0
        self._requests += 1
        limit = max(self._capacity, BURST_SHARE * self._requests * self.share)
        self._tokens = min(limit, self._tokens + self.share)

    def take(self) -> bool:
        """Returns whether one more retry is allowed; if so, takes a token for it."""
        if self._tokens < 1.0 or self.share <= 0:
            return False
        self._tokens -= 1.0
        return True


def backoff_ms(attempt: int, jitter: float) -> float:
    """Returns the backoff before the next attempt in milliseconds, exponential with jitter.

    Args:
        attempt: Number of attempts so far, from 1.
        jitter: Random number in [0, 1) that spreads out simultaneous retries.
    """
    max_delay_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (attempt - 1))
    return max_delay_ms * (0.5 + jitter / 2)


class AttemptLog:
    """Tracks whether the attempts of one request may have run.

    Enforces the guarantees P4 and P5 in this node: a request that may not be repeated is sent again
    only if it is certain that no earlier attempt ran, and "not run" is reported only if that is
    certain for all attempts.

    Args:
        repeatable: Whether the request may run more than once.

    Attributes:
        repeatable: Whether the request may run more than once.
        count: Number of attempts so far.
    """

    __slots__ = ("_is_in_progress", "_may_have_run", "count", "repeatable")

    def __init__(self, repeatable: bool) -> None:
        self.repeatable = repeatable
        self.count = 0
        self._is_in_progress = False
        self._may_have_run = False

    @property
    def may_send(self) -> bool:
        """Whether the request may be sent now."""
        return self.repeatable or not (self._is_in_progress or self._may_have_run)

    @property
    def outcome(self) -> Outcome:
        """Outcome to report if no answer is relayed."""
        return Outcome.UNKNOWN if self._is_in_progress or self._may_have_run else Outcome.NOT_RUN

    def begin(self, peer: str) -> None:
        """Records a new attempt, before its first byte is sent.

        Args:
            peer: Address of the peer, named in the error.

        Raises:
            InvariantViolation: An earlier attempt may have run and the request is not repeatable.
        """
        if not self.may_send:
            raise InvariantViolation(
                "a request that must not be repeated would be sent again although it may have run",
                step="forward.send",
                peer=peer,
            )
        self._may_have_run = self._may_have_run or self._is_in_progress
        self._is_in_progress = True
        self.count += 1

    def on_not_run(self) -> None:
        """Records that the peer reported the current attempt as not run."""
        self._is_in_progress = False

    def on_refused(self, outcome: Outcome) -> None:
        """Records the outcome of the current attempt that another node stated."""
        if outcome is Outcome.UNKNOWN:
            self.on_possibly_run()
        else:
            self.on_not_run()

    def on_possibly_run(self) -> None:
        """Records that the current attempt was answered or that its outcome is unknown."""
        self._may_have_run = self._may_have_run or self._is_in_progress
        self._is_in_progress = False

    def check_reported_outcome(self, outcome: Outcome) -> None:
        """Checks the outcome that is about to be reported to the caller.

        Raises:
            InvariantViolation: The outcome is not "unknown", although an attempt may have run.
        """
        if outcome is not Outcome.UNKNOWN and self.outcome is Outcome.UNKNOWN:
            raise InvariantViolation(
                f"a request that may have run would be reported as {outcome.value}",
                step="forward.answer",
            )
