"""Rules between several values of the settings tree."""

from collections.abc import Iterator

from ._sections import Lease
from ._settings import EffectiveSettings

__all__ = ["check_effective", "watcher_silence_ms"]

LEASE_RENEWALS = 3
TICK_MS = 50


def watcher_silence_ms(lease: Lease) -> float:
    """Returns how long a watcher hears nothing before it may seal: a lease, drift and a tick."""
    return lease.duration_ms * (1 + lease.max_clock_drift_ppm / 1_000_000) + TICK_MS


def check_effective(settings: EffectiveSettings) -> Iterator[tuple[str, str]]:
    """Yields path and message of each rule that the values in force break."""
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
        # One exchange at a time per connection, so the other slots could never be used.
        yield (
            "upstream.slots",
            f"{upstream.slots} exceeds upstream.connections ({upstream.connections})",
        )
    balance = settings.balance
    if balance.leave_domain_at_percent > balance.leave_region_at_percent:
        yield (
            "balance.leave_domain_at_percent",
            f"{balance.leave_domain_at_percent} exceeds balance.leave_region_at_percent"
            f" ({balance.leave_region_at_percent}); the region would be left before the domain",
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
    shortest = LEASE_RENEWALS * lease.renewal_ms
    if lease.duration_ms < shortest:
        # A single lost datagram must not end a lease.
        yield (
            "lease.duration_ms",
            f"{lease.duration_ms} is less than {LEASE_RENEWALS} renewals of"
            f" {lease.renewal_ms} ms; allowed: {shortest} or more",
        )
    if lease.renewal_ms < TICK_MS:
        yield (
            "lease.renewal_ms",
            f"{lease.renewal_ms} is less than a tick; allowed: {TICK_MS} or more",
        )
    if not lease.renewal_ms < lease.watcher_silent_ms <= lease.duration_ms:
        yield (
            "lease.watcher_silent_ms",
            f"{lease.watcher_silent_ms} must be above renewal_ms ({lease.renewal_ms}) and at most"
            f" duration_ms ({lease.duration_ms})",
        )
