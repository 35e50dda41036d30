"""Service-level arithmetic: burn rates, error budgets and multi-window alerts. Pure."""

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
    """Fires while the burn rate reaches the threshold in a long and in a short window.

    The short window ends the alert soon after the fault has ended.
    """

    long_s: int
    short_s: int
    threshold: float


# Over 28 days, these are 2% of the budget in 1 h, 5% in 6 h and 11% in 3 d.
ALERT_RULES = (
    AlertRule(HOUR_S, 300, 14.4),
    AlertRule(6 * HOUR_S, 1800, 6.0),
    AlertRule(3 * DAY_S, 6 * HOUR_S, 1.0),
)


@dataclass(slots=True)
class RequestCounts:
    """Requests of one indicator over some time; fractions come from intervals cut at its ends.

    Attributes:
        valid: Requests that count.
        bad: Those of them that missed the objective.
    """

    valid: float = 0.0
    bad: float = 0.0


class Window(msgspec.Struct, frozen=True):
    """One window of one indicator.

    Attributes:
        seconds: Length.
        valid: Requests that count.
        bad: Those that missed the objective.
        coverage: Share of the node-seconds for which there are snapshots; None if no node was
            expected to report.
        burn: Burn rate of the measured requests; None without any snapshot.
        worst: Burn rate if every request of the missing snapshots was bad.
    """

    seconds: float
    valid: float
    bad: float
    coverage: float | None
    burn: float | None
    worst: float | None


class Alert(msgspec.Struct, frozen=True):
    """State of one rule: ``firing``, ``possible`` (only if missing snapshots were bad), ``no
    data`` or ``ok``.
    """

    long_s: int
    short_s: int
    threshold: float
    state: str


class Indicator(msgspec.Struct, frozen=True):
    """One objective of one service in one place.

    Attributes:
        name: ``availability`` or ``latency``.
        objective_percent: Share of requests that must meet it.
        budget: The window over which the objective holds.
        budget_left: Share of the error budget left, negative if overspent; None without data.
        budget_left_worst: The same if every request of the missing snapshots was bad.
        windows: Windows of the alerts, shortest first.
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
    """Returns how many times faster than allowed the error budget is spent.

    Args:
        bad: Requests that missed the objective.
        valid: Requests that count.
        objective_percent: Share of requests that must meet the objective.
    """
    if not valid:
        return 0.0
    return bad / valid / (1 - objective_percent / 100)


def make_window(
    seconds: float, counts: RequestCounts, coverage: float | None, objective_percent: float
) -> Window:
    """Returns a window; missing snapshots make its burn rate a range and never lower it.

    Args:
        seconds: Length of the window.
        sums: What the snapshots that exist say.
        coverage: Share of the expected node-seconds that they cover, None if none is expected.
        objective_percent: Share of requests that must meet the objective.
    """
    burn = worst = None
    if coverage:
        burn = burn_rate(counts.bad, counts.valid, objective_percent)
        # Nodes without snapshots are taken to have received as many requests as the others.
        missing_requests = counts.valid * (1 - coverage) / coverage
        worst = burn_rate(
            counts.bad + missing_requests, counts.valid + missing_requests, objective_percent
        )
    return Window(seconds, counts.valid, counts.bad, coverage, burn, worst)


def alert_state(long_window: Window, short_window: Window, threshold: float) -> str:
    """Returns the state of an alert from its two windows."""
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
    """Returns an indicator with its alerts.

    Args:
        name: Name of the indicator.
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
