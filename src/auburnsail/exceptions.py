"""Errors that auburnsail raises; each names the step and the peer at which it occurred."""

__all__ = [
    "AuburnsailError",
    "CallerGoneError",
    "ConflictError",
    "InvalidInputError",
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
        peer: Address or name of the peer, or an empty string for a local failure.
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
    """The caller closed its connection before it received the complete answer."""


class RefusedError(AuburnsailError):
    """The request is invalid or forbidden; it was not run, and a retry would fail as well."""


class NotRunError(AuburnsailError):
    """The request was not run: no byte reached an upstream, or the upstream's answer says so."""


class NoRoomError(NotRunError):
    """The upstream has no free capacity for the request in time.

    Args:
        detail: Reason token of the refusal.
        step: The operation that failed.
        wait_ms: Estimated time in milliseconds until capacity is free.
    """

    def __init__(self, detail: str, *, step: str, wait_ms: int) -> None:
        super().__init__(detail, step=step)
        self.wait_ms = wait_ms


class OutcomeUnknownError(AuburnsailError):
    """Bytes were sent but no complete answer arrived, so the request may have been run."""


class StoreUnavailableError(AuburnsailError):
    """The platform's store refused the operation without applying it."""


class ConflictError(AuburnsailError):
    """A conditional write was rejected because another write came first."""


class InvalidInputError(AuburnsailError, ValueError):
    """Data from outside the process cannot be decoded or exceeds a limit; it is not used."""


class SettingsError(AuburnsailError):
    """A settings file or tree is not valid."""


class InvariantViolation(AuburnsailError):  # noqa: N818 - it reports a violation
    """A guarantee of the system is violated; the node refuses requests from then on."""
