"""The watcher's side of leases: acknowledges holders and seals silent ones. No I/O."""

from dataclasses import dataclass, field

from . import _rules
from ._clock import NS_PER_MS
from ._model import Evidence, SessionId

__all__ = ["Ask", "Seal", "Watcher"]

# Time for the other watchers' answers; the round trip between regions is 20 ms.
ANSWER_WAIT_MS = 100
# A watcher that heard the holder within two renewal intervals vouches for it.
HEARD_WITHIN_MS = 400
ASK_AGAIN_MS = 200
# A session whose watchers miss each other's only notice would stay open for ever.
SEAL_AGAIN_MS = 100
# A holder that proposes this watcher renews with it before the log names it.
UNNAMED_KEPT_MS = 10_000


@dataclass(frozen=True, slots=True)
class Ask:
    """The other watchers have to be asked whether they hear a holder."""

    holder: SessionId


@dataclass(frozen=True, slots=True)
class Seal:
    """A session was sealed by this watcher; stated again until the log ends the session."""

    holder: SessionId
    silent_ms: int
    is_new: bool


@dataclass(slots=True)
class _Row:
    heard_ns: int
    named: bool = False
    asked_ns: int | None = None
    next_ask_ns: int = 0
    vouched: bool = False
    seat: SessionId | None = None
    answers: set[SessionId] = field(default_factory=set)


class Watcher:
    """Decides which holders to acknowledge and which to seal.

    Args:
        session: The watcher's own session.
    """

    def __init__(self, session: SessionId) -> None:
        self._session = session
        self._rows: dict[SessionId, _Row] = {}
        self._others: dict[SessionId, int] = {}
        self._seals: dict[SessionId, dict[SessionId, Evidence]] = {}
        self._sealed: dict[SessionId, int] = {}

    @property
    def session(self) -> SessionId:
        """The watcher's own session."""
        return self._session

    @property
    def holders(self) -> list[SessionId]:
        """Sessions that name this one as a watcher."""
        return [holder for holder, row in self._rows.items() if row.named]

    def has_sealed(self, holder: SessionId) -> bool:
        """Whether this watcher sealed a session."""
        return holder in self._sealed

    def evidence(self, holder: SessionId, watchers: tuple[SessionId, ...]) -> tuple[Evidence, ...]:
        """Returns the seals of a session that its present watchers made."""
        seals = self._seals.get(holder, {})
        return tuple(item for item in seals.values() if _rules.evidence_counts(item, watchers))

    def name(
        self, holder: SessionId, other_watchers: int, now_ns: int, seat: SessionId | None = None
    ) -> None:
        """Notes that the log names this session as a watcher of a holder.

        Args:
            holder: The holder.
            other_watchers: How many other watchers it has.
            now_ns: The current time.
            seat: The ended session that is named, if this one took its place at its address. What
                that one acknowledged ends a lease after its end, so the silence counts from now,
                and this session acknowledges nothing in its place.
        """
        row = self._rows.setdefault(holder, _Row(now_ns))
        if not row.named or row.seat != seat:
            row.heard_ns = now_ns
            row.named = True
        row.seat = seat
        self._others[holder] = other_watchers

    def seat(self, holder: SessionId) -> SessionId:
        """Returns the session under which this one seals a holder."""
        row = self._rows.get(holder)
        return row.seat if row is not None and row.seat is not None else self._session

    def on_heard_directly(self, holder: SessionId, now_ns: int) -> None:
        """Notes a renewal that this session may not acknowledge; the holder is alive."""
        row = self._rows.get(holder)
        if row is not None:
            row.heard_ns = now_ns
            row.asked_ns = None

    def forget(self, holder: SessionId) -> None:
        """Drops a holder that has ended or has other watchers; a seal of it stays."""
        self._rows.pop(holder, None)
        self._others.pop(holder, None)
        self._seals.pop(holder, None)

    def on_renewal(self, holder: SessionId, now_ns: int) -> bool:
        """Handles a renewal.

        Returns:
            Whether to acknowledge it; otherwise the answer says that the session is sealed.
        """
        if holder in self._sealed and not _rules.may_ack_after_seal():
            return False
        row = self._rows.setdefault(holder, _Row(now_ns))
        row.heard_ns = now_ns
        row.asked_ns = None
        row.next_ask_ns = 0
        return True

    def on_query(self, holder: SessionId, now_ns: int) -> int:
        """Returns for how many milliseconds a holder was silent, -1 if it is not watched."""
        row = self._rows.get(holder)
        if row is None or holder in self._sealed:
            return -1
        return (now_ns - row.heard_ns) // NS_PER_MS

    def on_heard(self, holder: SessionId, watcher: SessionId, silent_ms: int) -> None:
        """Handles another watcher's answer."""
        row = self._rows.get(holder)
        if row is None or row.asked_ns is None:
            return
        row.answers.add(watcher)
        if 0 <= silent_ms < HEARD_WITHIN_MS:
            row.vouched = True

    def on_seal(self, holder: SessionId, evidence: Evidence) -> None:
        """Keeps another watcher's seal as evidence."""
        self._seals.setdefault(holder, {})[evidence.watcher] = evidence

    def tick(self, now_ns: int) -> list[Ask | Seal]:
        """Returns what to do now. The caller has drained its socket before."""
        actions: list[Ask | Seal] = []
        for holder, row in list(self._rows.items()):
            silent_ns = now_ns - row.heard_ns
            if not row.named:
                if silent_ns > UNNAMED_KEPT_MS * NS_PER_MS:
                    del self._rows[holder]
                continue
            if holder in self._sealed:
                action = self._repeat_seal(holder, row, now_ns)
            elif silent_ns < _rules.full_silence_ns():
                continue
            else:
                action = self._judge(holder, row, now_ns)
            if action is not None:
                actions.append(action)
        return actions

    def _judge(self, holder: SessionId, row: _Row, now_ns: int) -> Ask | Seal | None:
        if row.asked_ns is None:
            if now_ns < row.next_ask_ns:
                return None
            row.asked_ns = now_ns
            row.answers = set()
            row.vouched = False
            return Ask(holder) if self._others[holder] else self._seal(holder, row, now_ns)
        if row.vouched:
            row.asked_ns = None
            row.next_ask_ns = now_ns + ASK_AGAIN_MS * NS_PER_MS
            return None
        waited = now_ns - row.asked_ns >= ANSWER_WAIT_MS * NS_PER_MS
        if waited or len(row.answers) >= self._others[holder]:
            return self._seal(holder, row, now_ns)
        return None

    def _repeat_seal(self, holder: SessionId, row: _Row, now_ns: int) -> Seal | None:
        if now_ns < row.next_ask_ns:
            return None
        row.next_ask_ns = now_ns + SEAL_AGAIN_MS * NS_PER_MS
        return Seal(holder, self._sealed[holder], False)

    def _seal(self, holder: SessionId, row: _Row, now_ns: int) -> Seal:
        silent_ms = (now_ns - row.heard_ns) // NS_PER_MS
        self._sealed[holder] = silent_ms
        self.on_seal(holder, Evidence(self.seat(holder), silent_ms))
        row.next_ask_ns = now_ns + SEAL_AGAIN_MS * NS_PER_MS
        return Seal(holder, silent_ms, True)
