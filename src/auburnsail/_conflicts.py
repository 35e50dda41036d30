"""What a proposal and the version in force disagree on."""

from ._edits import Edit, edits_between, overlaps
from ._proposals import Proposal
from ._settings import decode_jsonc
from .exceptions import ConflictError

__all__ = ["SettingsConflictError", "conflict_with", "edits_since"]


class SettingsConflictError(ConflictError):
    """An acceptance, rebase or revert that lost against another change.

    Args:
        detail: What went wrong.
        newer: Edits accepted since the version that the change builds on.
        overlapping: Edits of the change that touch the same values.
    """

    def __init__(
        self, detail: str, newer: tuple[Edit, ...] = (), overlapping: tuple[Edit, ...] = ()
    ) -> None:
        super().__init__(detail, step="settings.accept")
        self.newer = newer
        self.overlapping = overlapping


def edits_since(proposal: Proposal, head_text: str) -> tuple[Edit, ...]:
    """Returns what was accepted since the version that a proposal builds on."""
    base = decode_jsonc(proposal.base_text, f"version {proposal.base}")
    return edits_between(base, decode_jsonc(head_text, "version in force"))


def conflict_with(proposal: Proposal, head: int, head_text: str) -> SettingsConflictError:
    """Returns the error for a proposal that lost against the version in force."""
    newer = edits_since(proposal, head_text)
    overlapping = overlaps(proposal.edits, newer)
    advice = f"run `auburnsail settings rebase {proposal.id}`"
    if overlapping:
        advice = f"amend it on version {head}"
    return SettingsConflictError(
        f"{proposal.id} builds on version {proposal.base}, but version {head} is in force;"
        f" {advice}",
        newer,
        overlapping,
    )
