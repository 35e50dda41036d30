"""Conflicts between a proposal and changes accepted after its base version."""

from ._edits import Edit, edits_between, overlapping_edits
from ._proposals import Proposal
from ._settings import decode_jsonc
from .exceptions import ConflictError

__all__ = ["SettingsConflictError", "conflict_error", "edits_since_base"]


class SettingsConflictError(ConflictError):
    """An acceptance, rebase or revert conflicts with a change that was accepted meanwhile.

    Args:
        detail: Description of the conflict.
        newer_edits: Edits accepted since the base version of the change.
        overlapping_edits: Edits of the change that touch the same values as the newer edits.
    """

    def __init__(
        self,
        detail: str,
        newer_edits: tuple[Edit, ...] = (),
        overlapping_edits: tuple[Edit, ...] = (),
    ) -> None:
        super().__init__(detail, step="settings.accept")
        self.newer_edits = newer_edits
        self.overlapping_edits = overlapping_edits


def edits_since_base(proposal: Proposal, head_text: str) -> tuple[Edit, ...]:
    """Returns the edits accepted since the base version of a proposal.

    Args:
        proposal: The proposal.
        head_text: Text of the version in force.
    """
    base_document = decode_jsonc(proposal.base_text, f"version {proposal.base}")
    return edits_between(base_document, decode_jsonc(head_text, "version in force"))


def conflict_error(proposal: Proposal, head: int, head_text: str) -> SettingsConflictError:
    """Returns the error for a proposal whose base is not the version in force.

    Args:
        proposal: The proposal.
        head: Version in force.
        head_text: Text of that version.
    """
    newer_edits = edits_since_base(proposal, head_text)
    overlapping = overlapping_edits(proposal.edits, newer_edits)
    advice = f"run `auburnsail settings rebase {proposal.id}`"
    if overlapping:
        advice = f"amend it on version {head}"
    return SettingsConflictError(
        f"{proposal.id} builds on version {proposal.base}, but version {head} is in force;"
        f" {advice}",
        newer_edits,
        overlapping,
    )
