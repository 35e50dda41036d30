"""Lease of a session from the holder's side; watchers acknowledge it. No I/O; time is passed in."""

from . import _rules
from ._clock import NS_PER_MS
from ._model import SessionId

__all__ = ["LeaseHolder"]

RENEWAL_INTERVAL_MS = 200
NEVER_EXPIRES_NS = 1 << 62


class LeaseHolder:
    """Tracks until when a session may serve, from the acknowledgements of its watchers.

    Args:
        session: The session that holds the lease.
        watchers: The session's watchers according to the log. Without watchers the lease never
            expires.
        now_ns: The current time in nanoseconds.
    """

    def __init__(self, session: SessionId, watchers: tuple[SessionId, ...], now_ns: int) -> None:
        self._session = session
        self._watchers = watchers
        self._proposed_watchers: tuple[SessionId, ...] | None = None
        self._probed_watchers: tuple[SessionId, ...] = ()
        self._lease_starts_ns: dict[SessionId, int] = {}
        self._waiting_since_ns: dict[SessionId, int] = dict.fromkeys(watchers, now_ns)
        self._sealed_by: set[SessionId] = set()
        self._next_renewal_ns = 0
        self._expires_ns = 0
        self._update_expiry()

    @property
    def session(self) -> SessionId:
        """The session that holds the lease."""
        return self._session

    @property
    def watchers(self) -> tuple[SessionId, ...]:
        """The session's watchers according to the log."""
        return self._watchers

    @property
    def proposed_watchers(self) -> tuple[SessionId, ...] | None:
        """The watchers of a proposed change whose outcome is unknown, or None."""
        return self._proposed_watchers

    @property
    def sealed_by(self) -> set[SessionId]:
        """The watchers that have sealed this session."""
        return self._sealed_by

    @property
    def expires_ns(self) -> int:
        """When the lease expires, in nanoseconds of the holder's clock; 0 without a quorum."""
        return self._expires_ns

    def is_valid(self, now_ns: int) -> bool:
        """Returns whether the lease has not expired."""
        return now_ns < self.expires_ns

    def on_ack(self, watcher: SessionId, echo_ns: int, sealed: bool, now_ns: int) -> None:
        """Records an acknowledgement, or that the watcher has sealed this session.

        The lease is extended when a quorum has acknowledged renewals that were sent later than
        before. A send time in the future is ignored.

        Args:
            watcher: The session that sent the acknowledgement.
            echo_ns: Send time of the acknowledged renewal on the holder's clock.
            sealed: Whether the watcher has sealed this session.
            now_ns: The current time in nanoseconds.
        """
        if sealed:
            self._sealed_by.add(watcher)
            return
        if echo_ns > now_ns:
            return
        start_ns = _rules.lease_start_ns(echo_ns, now_ns)
        if start_ns > self._lease_starts_ns.get(watcher, -1):
            self._lease_starts_ns[watcher] = start_ns
            self._update_expiry()

    def probe_candidates(self, watchers: tuple[SessionId, ...]) -> None:
        """Sets the candidate watchers that `due_renewals` also returns; a renewal is due at once."""
        self._probed_watchers = watchers
        self._next_renewal_ns = 0

    def has_acknowledged(self, watcher: SessionId, since_ns: int) -> bool:
        """Returns whether a watcher has acknowledged a renewal sent at or after a time."""
        return self._lease_starts_ns.get(watcher, -1) >= since_ns

    def propose_watchers(self, watchers: tuple[SessionId, ...], now_ns: int) -> None:
        """Records a proposed change of watchers; both sets must acknowledge until confirmation."""
        self._proposed_watchers = watchers
        self._probed_watchers = ()
        for watcher in watchers:
            self._waiting_since_ns.setdefault(watcher, now_ns)
        self._update_expiry()

    def confirm_watchers(self, watchers: tuple[SessionId, ...], now_ns: int) -> None:
        """Sets the watchers according to the log and ends a proposed change."""
        self._watchers = watchers
        self._proposed_watchers = None
        self._waiting_since_ns = {
            watcher: self._waiting_since_ns.get(watcher, now_ns) for watcher in watchers
        }
        self._lease_starts_ns = {
            w: start for w, start in self._lease_starts_ns.items() if w in watchers
        }
        self._sealed_by &= set(watchers)
        self._update_expiry()

    def due_renewals(self, now_ns: int) -> tuple[SessionId, ...]:
        """Returns the receivers of a renewal and schedules the next one; empty if none is due."""
        if now_ns < self._next_renewal_ns:
            return ()
        self._next_renewal_ns = now_ns + RENEWAL_INTERVAL_MS * NS_PER_MS
        return tuple(
            dict.fromkeys(
                (*self._watchers, *(self._proposed_watchers or ()), *self._probed_watchers)
            )
        )

    def silent_watchers(self, now_ns: int, after_ms: float) -> set[SessionId]:
        """Returns the current and proposed watchers that acknowledged nothing for `after_ms`."""
        limit_ns = now_ns - int(after_ms * NS_PER_MS)
        return {
            watcher
            for watcher, waiting_since_ns in self._waiting_since_ns.items()
            if max(waiting_since_ns, self._lease_starts_ns.get(watcher, 0)) < limit_ns
        }

    def restart_silence_timers(self, now_ns: int) -> None:
        """Restarts the silence timers of all watchers, after this process was suspended."""
        self._waiting_since_ns = dict.fromkeys(self._waiting_since_ns, now_ns)

    def _update_expiry(self) -> None:
        watcher_sets = _rules.required_watcher_sets(self._watchers, self._proposed_watchers)
        self._expires_ns = min(self._quorum_expires_ns(watchers) for watchers in watcher_sets)

    def _quorum_expires_ns(self, watchers: tuple[SessionId, ...]) -> int:
        if not watchers:
            return NEVER_EXPIRES_NS
        starts = sorted(
            (
                self._lease_starts_ns[watcher]
                for watcher in watchers
                if watcher in self._lease_starts_ns
            ),
            reverse=True,
        )
        required_acks = _rules.acks_to_hold(len(watchers))
        return _rules.lease_end_ns(starts[required_acks - 1]) if len(starts) >= required_acks else 0
