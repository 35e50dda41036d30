"""Burn rates, error budgets and multi-window alerts of service level objectives.

The functions have no side effects and read no clock.
"""

from dataclasses import dataclass

import msgspec

__all__ = [
    "ALERT_RULES",
    "Alert",
    "AlertRule",
    "Indicator",
    "RequestCounts",
    "Window",
    "alert_state",
    "burn_rate",
    "make_indicator",
    "make_window",
]

HOUR_S = 3600
DAY_S = 24 * HOUR_S
FIRING = "firing"
POSSIBLE = "possible"
NO_DATA = "no data"
OK = "ok"


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Fires while the burn rate is at least the threshold in both a long and a short window.

    The short window resets the alert soon after the fault has ended.

    Attributes:
        long_s: Length of the long window in seconds.
        short_s: Length of the short window in seconds.
        threshold: Burn rate from which the alert fires.
    """

    long_s: int
    short_s: int
    threshold: float


# With a budget over 28 days, the alerts fire after 2% of it is spent in 1 h, 5% in 6 h or 11% in
# 3 d.
ALERT_RULES = (
    AlertRule(HOUR_S, 300, 14.4),
    AlertRule(6 * HOUR_S, 1800, 6.0),
    AlertRule(3 * DAY_S, 6 * HOUR_S, 1.0),
)


@dataclass(slots=True)
class RequestCounts:
    """Numbers of requests of one indicator in a period.

    They can be fractional, because a snapshot that overlaps the end of the period counts in
    proportion to the overlap.

    Attributes:
        valid: Requests that count towards the objective.
        bad: Valid requests that missed the objective.
    """

    valid: float = 0.0
    bad: float = 0.0


class Window(msgspec.Struct, frozen=True):
    """Burn rate of one indicator in one window.

    Attributes:
        seconds: Length of the window.
        valid: Requests that count towards the objective.
        bad: Valid requests that missed the objective.
        coverage: Share of the expected node-seconds that snapshots cover; None if no node was
            expected to report.
        burn: Burn rate of the measured requests; None without any snapshot.
        worst: Burn rate on the assumption that every request of the missing snapshots was bad;
            None without any snapshot.
    """

    seconds: float
    valid: float
    bad: float
    coverage: float | None
    burn: float | None
    worst: float | None


class Alert(msgspec.Struct, frozen=True):
    """State of one alert rule.

    Attributes:
        long_s: Length of the rule's long window in seconds.
        short_s: Length of the rule's short window in seconds.
        threshold: Burn rate from which the alert fires.
        state: ``firing``; ``possible`` if the alert would fire had every request of the missing
            snapshots been bad; ``no data`` if a window has no snapshot, unless no node was expected
            to report in either window; or ``ok``.
    """

    long_s: int
    short_s: int
    threshold: float
    state: str


class Indicator(msgspec.Struct, frozen=True):
    """Error budget and alerts of one objective of a service, in one region, domain or in all.

    Attributes:
        name: ``availability`` or ``latency``.
        objective_percent: Share of requests that must meet the objective.
        budget: The window over which the objective holds.
        budget_left: Share of the error budget that is not spent, negative if overspent; None
            without any snapshot.
        budget_left_worst: `budget_left` on the assumption that every request of the missing
            snapshots was bad.
        windows: Windows of the alert rules, shortest first.
        alerts: State of each alert rule.
    """

    name: str
    objective_percent: float
    budget: Window
    budget_left: float | None
    budget_left_worst: float | None
    windows: list[Window]
    alerts: list[Alert]


def burn_rate(bad: float, valid: float, objective_percent: float) -> float:
    """Returns how many times faster than allowed the error budget is spent; 0 without requests.

    Args:
        bad: Valid requests that missed the objective.
        valid: Requests that count towards the objective.
        objective_percent: Share of requests that must meet the objective.
    """
    if not valid:
        return 0.0
    return bad / valid / (1 - objective_percent / 100)


def make_window(
    seconds: float, counts: RequestCounts, coverage: float | None, objective_percent: float
) -> Window:
    """Returns a window with its burn rate and the upper bound that missing snapshots allow.

    Missing snapshots raise the upper bound and never lower the burn rate.

    Args:
        seconds: Length of the window.
        counts: Requests in the available snapshots.
        coverage: Share of the expected node-seconds that these snapshots cover; None if no node
            was expected to report.
        objective_percent: Share of requests that must meet the objective.
    """
    burn = worst = None
    if coverage:
        burn = burn_rate(counts.bad, counts.valid, objective_percent)
        # Assumes the same request rate for nodes without snapshots as for the others.
        missing_requests = counts.valid * (1 - coverage) / coverage
        worst = burn_rate(
            counts.bad + missing_requests, counts.valid + missing_requests, objective_percent
        )
    return Window(seconds, counts.valid, counts.bad, coverage, burn, worst)


def alert_state(long_window: Window, short_window: Window, threshold: float) -> str:
    """Returns the state of an alert rule; see `Alert`.

    Args:
        long_window: The rule's long window.
        short_window: The rule's short window.
        threshold: Burn rate from which the alert fires.
    """
    if long_window.burn is None or short_window.burn is None:
        return OK if long_window.coverage is None and short_window.coverage is None else NO_DATA
    if long_window.burn >= threshold and short_window.burn >= threshold:
        return FIRING
    if long_window.worst >= threshold and short_window.worst >= threshold:
        return POSSIBLE
    return OK


def make_indicator(
    name: str, objective_percent: float, budget: Window, windows: dict[float, Window]
) -> Indicator:
    """Returns an indicator with the state of each alert rule.

    Args:
        name: ``availability`` or ``latency``.
        objective_percent: Share of requests that must meet the objective.
        budget: The window over which the objective holds.
        windows: Windows of the alert rules by length in seconds.
    """
    alerts = [
        Alert(
            rule.long_s,
            rule.short_s,
            rule.threshold,
            alert_state(windows[rule.long_s], windows[rule.short_s], rule.threshold),
        )
        for rule in ALERT_RULES
    ]
    budget_left = None if budget.burn is None else 1 - budget.burn
    budget_left_worst = None if budget.worst is None else 1 - budget.worst
    ordered_windows = [windows[seconds] for seconds in sorted(windows)]
    return Indicator(
        name, objective_percent, budget, budget_left, budget_left_worst, ordered_windows, alerts
    )
