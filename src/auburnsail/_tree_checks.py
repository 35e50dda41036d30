"""Validation rules that involve several values of the settings tree."""

from collections.abc import Iterator

from ._sections import Lease
from ._settings import EffectiveSettings

__all__ = ["check_effective", "min_seal_silence_ms"]

MIN_RENEWALS_PER_LEASE = 3
TICK_MS = 50


def min_seal_silence_ms(lease: Lease) -> float:
    """Returns the time in ms without a message from the holder after which a watcher may seal.

    It is the lease duration, extended by the bound on clock drift and one timer tick.
    """
    return lease.duration_ms * (1 + lease.max_clock_drift_ppm / 1_000_000) + TICK_MS


def check_effective(settings: EffectiveSettings) -> Iterator[tuple[str, str]]:
    """Yields the path and the message of each rule that the effective settings violate."""
    yield from _check_lease(settings.lease)
    requests, upstream, queue = settings.requests, settings.upstream, settings.queue
    if requests.default_deadline_ms > requests.max_deadline_ms:
        yield (
            "requests.default_deadline_ms",
            f"{requests.default_deadline_ms} exceeds requests.max_deadline_ms"
            f" ({requests.max_deadline_ms})",
        )
    if queue.max_wait_ms >= requests.max_deadline_ms:
        yield (
            "queue.max_wait_ms",
            f"{queue.max_wait_ms} must be less than requests.max_deadline_ms"
            f" ({requests.max_deadline_ms})",
        )
    if upstream.slots > upstream.connections:
        # A connection carries one exchange at a time, so additional slots could never be used.
        yield (
            "upstream.slots",
            f"{upstream.slots} exceeds upstream.connections ({upstream.connections})",
        )
    balance = settings.balance
    if balance.leave_domain_at_percent > balance.leave_region_at_percent:
        yield (
            "balance.leave_domain_at_percent",
            f"{balance.leave_domain_at_percent} exceeds balance.leave_region_at_percent"
            f" ({balance.leave_region_at_percent});"
            " requests would leave the region before the failure domain",
        )
    placement = settings.placement
    weights = (
        placement.imbalance_weight,
        placement.churn_weight,
        placement.unavailable_time_weight,
    )
    if not any(weights):
        yield "placement.imbalance_weight", "at least one placement weight must be above 0"


def _check_lease(lease: Lease) -> Iterator[tuple[str, str]]:
    min_duration_ms = MIN_RENEWALS_PER_LEASE * lease.renewal_ms
    if lease.duration_ms < min_duration_ms:
        # The loss of a single renewal datagram must not let the lease expire.
        yield (
            "lease.duration_ms",
            f"{lease.duration_ms} is less than {MIN_RENEWALS_PER_LEASE} renewals of"
            f" {lease.renewal_ms} ms; allowed: {min_duration_ms} or more",
        )
    if lease.renewal_ms < TICK_MS:
        yield (
            "lease.renewal_ms",
            f"{lease.renewal_ms} is less than a timer tick; allowed: {TICK_MS} or more",
        )
    if not lease.renewal_ms < lease.watcher_silent_ms <= lease.duration_ms:
        yield (
            "lease.watcher_silent_ms",
            f"{lease.watcher_silent_ms} must be above renewal_ms ({lease.renewal_ms}) and at most"
            f" duration_ms ({lease.duration_ms})",
        )
