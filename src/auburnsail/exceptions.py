"""Errors that auburnsail raises; each carries the step and the peer at which it arose."""

__all__ = [
    "AuburnsailError",
    "CallerGoneError",
    "ConflictError",
    "InvariantViolation",
    "NoRoomError",
    "NotRunError",
    "OutcomeUnknownError",
    "RefusedError",
    "SettingsError",
    "StoreUnavailableError",
]


class AuburnsailError(Exception):
    """Base class of all errors of this package.

    Args:
        detail: What went wrong, in one sentence.
        step: The operation that failed, for example ``"store.commit"``.
        peer: The address or name of the other side, or an empty string for a local failure.
    """

    def __init__(self, detail: str, *, step: str, peer: str = "") -> None:
        super().__init__(detail)
        self.detail = detail
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step} at {self.peer}" if self.peer else self.step
        return f"{where}: {self.detail}"


class CallerGoneError(AuburnsailError):
    """The caller closed its connection, so nobody waits for the answer."""


class RefusedError(AuburnsailError):
    """The request is invalid or forbidden; it was not run and will not run as it stands."""


class NotRunError(AuburnsailError):
    """The request was not run: no byte reached an upstream, or the upstream said so."""


class NoRoomError(NotRunError):
    """The upstream has no room for the request in time.

    Args:
        detail: The reason's token.
        step: The operation that failed.
        wait_ms: When there is expected to be room.
    """

    def __init__(self, detail: str, *, step: str, wait_ms: int) -> None:
        super().__init__(detail, step=step)
        self.wait_ms = wait_ms


class OutcomeUnknownError(AuburnsailError):
    """Bytes were sent but no complete answer arrived, so the effect is unknown."""


class StoreUnavailableError(AuburnsailError):
    """The platform's store refused the operation without applying it."""


class ConflictError(AuburnsailError):
    """A conditional write lost against another write."""


class SettingsError(AuburnsailError):
    """A settings file or tree is not valid."""


class InvariantViolation(AuburnsailError):  # noqa: N818 - a violation, as in the design
    """A promise of the system was found broken; the node refuses work from then on."""
