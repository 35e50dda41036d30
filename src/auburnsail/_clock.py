"""Monotonic clocks that include suspended time, and periodic timers."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

__all__ = ["NS_PER_MS", "NS_PER_S", "BootClock", "Clock", "ManualClock", "Timers"]

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000


class Clock(Protocol):
    """A source of monotonic time."""

    def now_ns(self) -> int:
        """Returns the current time in nanoseconds since an arbitrary start."""


class BootClock:
    """The system's boot-time clock.

    CLOCK_MONOTONIC stops while a VM is suspended, so a lease measured with it could be used after
    its expiry. CLOCK_BOOTTIME keeps running.
    """

    def now_ns(self) -> int:
        """Returns nanoseconds since boot, suspended time included."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock for tests that only `advance_ms` moves."""

    def __init__(self, start_ns: int = 0) -> None:
        self._now_ns = start_ns

    def now_ns(self) -> int:
        """Returns the current manual time in nanoseconds."""
        return self._now_ns

    def advance_ms(self, milliseconds: float) -> None:
        """Moves the clock forward.

        Args:
            milliseconds: Time to add.
        """
        self._now_ns += int(milliseconds * NS_PER_MS)


@dataclass(slots=True)
class _Subscription:
    name: str
    period_ns: int
    next_ns: int
    callback: Callable[[int], None]


class Timers:
    """Calls subscribers periodically from one loop.

    A subscriber that missed several periods, for example during a pause of the process, is called
    once and not once per missed period.
    """

    def __init__(self) -> None:
        self._subscriptions: list[_Subscription] = []

    def subscribe(self, name: str, every_ms: float, callback: Callable[[int], None]) -> None:
        """Registers a callback.

        Args:
            name: Shown in error reports.
            every_ms: Period in milliseconds.
            callback: Receives the time of the tick in nanoseconds.
        """
        period_ns = int(every_ms * NS_PER_MS)
        self._subscriptions.append(_Subscription(name, period_ns, 0, callback))

    def tick(self, now_ns: int) -> None:
        """Calls every subscriber that is due.

        Args:
            now_ns: The current time in nanoseconds.

        Raises:
            ExceptionGroup: One or more callbacks failed; the others still ran.
        """
        errors: list[Exception] = []
        for subscription in self._subscriptions:
            if now_ns < subscription.next_ns:
                continue
            # Periods start at the due time. If they started at a slightly late tick, a subscriber
            # with the same period as the ticks would miss every other tick.
            subscription.next_ns += subscription.period_ns
            if subscription.next_ns <= now_ns:
                subscription.next_ns = now_ns + subscription.period_ns
            try:
                subscription.callback(now_ns)
            except Exception as error:
                error.add_note(f"timer {subscription.name}")
                errors.append(error)
        if errors:
            raise ExceptionGroup("timer callbacks failed", errors)
