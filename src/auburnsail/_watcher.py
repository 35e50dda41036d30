"""Leases from the watcher's side: acknowledges holders and seals silent ones. No I/O."""

from dataclasses import dataclass, field

from . import _rules
from ._clock import NS_PER_MS
from ._model import Evidence, SessionId

__all__ = ["QueryWatchers", "Seal", "Watcher"]

# Time for the other watchers to reply; a round trip between regions takes 20 ms.
QUERY_TIMEOUT_MS = 100
# Two renewal intervals: a watcher that received a renewal within them proves that the holder is
# alive.
RECENTLY_HEARD_MS = 400
QUERY_INTERVAL_MS = 200
# Seal notices can be lost; without repetition a session could then stay open forever.
SEAL_RESEND_INTERVAL_MS = 100
# A holder sends renewals to a proposed watcher before the log names it as a watcher. If the log
# never does, the holder is dropped after this silence.
UNASSIGNED_HOLDER_EXPIRY_MS = 10_000


@dataclass(frozen=True, slots=True)
class QueryWatchers:
    """Action: ask the other watchers how long a holder has been silent."""

    holder: SessionId


@dataclass(frozen=True, slots=True)
class Seal:
    """Action: send a seal of a session; repeated until the log ends the session.

    Attributes:
        holder: The sealed session.
        silent_ms: Silence of the holder when it was sealed.
        is_new: False for a repetition.
    """

    holder: SessionId
    silent_ms: int
    is_new: bool


@dataclass(slots=True)
class _HolderState:
    last_heard_ns: int
    is_assigned: bool = False
    queried_ns: int | None = None
    next_action_ns: int = 0
    heard_by_other: bool = False
    replaced_watcher: SessionId | None = None
    repliers: set[SessionId] = field(default_factory=set)


class Watcher:
    """Acknowledges renewals of holders, and seals holders that are silent for longer than a lease.

    Args:
        session: The watcher's own session.
    """

    def __init__(self, session: SessionId) -> None:
        self._session = session
        self._holder_states: dict[SessionId, _HolderState] = {}
        self._other_watcher_counts: dict[SessionId, int] = {}
        self._evidence_by_holder: dict[SessionId, dict[SessionId, Evidence]] = {}
        self._sealed_silence_ms: dict[SessionId, int] = {}

    @property
    def session(self) -> SessionId:
        """The watcher's own session."""
        return self._session

    @property
    def holders(self) -> list[SessionId]:
        """The sessions that have this one as a watcher according to the log."""
        return [holder for holder, state in self._holder_states.items() if state.is_assigned]

    def has_sealed(self, holder: SessionId) -> bool:
        """Returns whether this watcher has sealed a session."""
        return holder in self._sealed_silence_ms

    def evidence(self, holder: SessionId, watchers: tuple[SessionId, ...]) -> tuple[Evidence, ...]:
        """Returns the valid seals of a session by its current watchers."""
        seals = self._evidence_by_holder.get(holder, {})
        return tuple(item for item in seals.values() if _rules.is_valid_evidence(item, watchers))

    def add_holder(
        self,
        holder: SessionId,
        other_watchers: int,
        now_ns: int,
        replaced_watcher: SessionId | None = None,
    ) -> None:
        """Adds or updates a holder that has this session as a watcher according to the log.

        Args:
            holder: The session to watch.
            other_watchers: Number of other watchers of the holder.
            now_ns: The current time in nanoseconds.
            replaced_watcher: The ended session that the log names as the watcher, if this session
                replaced it at its address. A lease that the ended session acknowledged may last one
                lease duration beyond its end, so the silence is measured from now, and this session
                acknowledges no renewals in its place.
        """
        state = self._holder_states.setdefault(holder, _HolderState(now_ns))
        if not state.is_assigned or state.replaced_watcher != replaced_watcher:
            state.last_heard_ns = now_ns
            state.is_assigned = True
        state.replaced_watcher = replaced_watcher
        self._other_watcher_counts[holder] = other_watchers

    def sealing_id(self, holder: SessionId) -> SessionId:
        """Returns the session id under which this watcher seals a holder."""
        state = self._holder_states.get(holder)
        return (
            state.replaced_watcher
            if state is not None and state.replaced_watcher is not None
            else self._session
        )

    def on_unacknowledged_renewal(self, holder: SessionId, now_ns: int) -> None:
        """Handles a renewal that this session may not acknowledge: it resets the silence only."""
        state = self._holder_states.get(holder)
        if state is not None:
            state.last_heard_ns = now_ns
            state.queried_ns = None

    def remove_holder(self, holder: SessionId) -> None:
        """Removes a holder that ended or changed its watchers; a seal of it stays in force."""
        self._holder_states.pop(holder, None)
        self._other_watcher_counts.pop(holder, None)
        self._evidence_by_holder.pop(holder, None)

    def on_renewal(self, holder: SessionId, now_ns: int) -> bool:
        """Handles a renewal.

        Returns:
            Whether to acknowledge it. If not, the reply reports that the session is sealed.
        """
        if holder in self._sealed_silence_ms and not _rules.may_ack_after_seal():
            return False
        state = self._holder_states.setdefault(holder, _HolderState(now_ns))
        state.last_heard_ns = now_ns
        state.queried_ns = None
        state.next_action_ns = 0
        return True

    def on_query(self, holder: SessionId, now_ns: int) -> int:
        """Returns the silence of a holder in ms, -1 if it is not watched or is sealed."""
        state = self._holder_states.get(holder)
        if state is None or holder in self._sealed_silence_ms:
            return -1
        return (now_ns - state.last_heard_ns) // NS_PER_MS

    def on_query_reply(self, holder: SessionId, watcher: SessionId, silent_ms: int) -> None:
        """Handles another watcher's reply to a query; a `silent_ms` of -1 means not watched."""
        state = self._holder_states.get(holder)
        if state is None or state.queried_ns is None:
            return
        state.repliers.add(watcher)
        if 0 <= silent_ms < RECENTLY_HEARD_MS:
            state.heard_by_other = True

    def on_seal(self, holder: SessionId, evidence: Evidence) -> None:
        """Records a watcher's seal as evidence."""
        self._evidence_by_holder.setdefault(holder, {})[evidence.watcher] = evidence

    def tick(self, now_ns: int) -> list[QueryWatchers | Seal]:
        """Returns the actions that are due.

        The caller must have read all received datagrams first; an unread renewal would count as
        silence.
        """
        actions: list[QueryWatchers | Seal] = []
        for holder, state in list(self._holder_states.items()):
            silent_ns = now_ns - state.last_heard_ns
            if not state.is_assigned:
                if silent_ns > UNASSIGNED_HOLDER_EXPIRY_MS * NS_PER_MS:
                    del self._holder_states[holder]
                continue
            if holder in self._sealed_silence_ms:
                action = self._resend_seal(holder, state, now_ns)
            elif silent_ns < _rules.silence_before_seal_ns():
                continue
            else:
                action = self._query_or_seal(holder, state, now_ns)
            if action is not None:
                actions.append(action)
        return actions

    def _query_or_seal(
        self, holder: SessionId, state: _HolderState, now_ns: int
    ) -> QueryWatchers | Seal | None:
        if state.queried_ns is None:
            if now_ns < state.next_action_ns:
                return None
            state.queried_ns = now_ns
            state.repliers = set()
            state.heard_by_other = False
            return (
                QueryWatchers(holder)
                if self._other_watcher_counts[holder]
                else self._seal(holder, state, now_ns)
            )
        if state.heard_by_other:
            state.queried_ns = None
            state.next_action_ns = now_ns + QUERY_INTERVAL_MS * NS_PER_MS
            return None
        timed_out = now_ns - state.queried_ns >= QUERY_TIMEOUT_MS * NS_PER_MS
        if timed_out or len(state.repliers) >= self._other_watcher_counts[holder]:
            return self._seal(holder, state, now_ns)
        return None

    def _resend_seal(self, holder: SessionId, state: _HolderState, now_ns: int) -> Seal | None:
        if now_ns < state.next_action_ns:
            return None
        state.next_action_ns = now_ns + SEAL_RESEND_INTERVAL_MS * NS_PER_MS
        return Seal(holder, self._sealed_silence_ms[holder], False)

    def _seal(self, holder: SessionId, state: _HolderState, now_ns: int) -> Seal:
        silent_ms = (now_ns - state.last_heard_ns) // NS_PER_MS
        self._sealed_silence_ms[holder] = silent_ms
        self.on_seal(holder, Evidence(self.sealing_id(holder), silent_ms))
        state.next_action_ns = now_ns + SEAL_RESEND_INTERVAL_MS * NS_PER_MS
        return Seal(holder, silent_ms, True)
