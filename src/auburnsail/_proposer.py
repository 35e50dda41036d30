"""Repeats a node's own proposals to the recorder until the log contains them. No I/O."""

from dataclasses import dataclass

from ._clock import NS_PER_MS
from ._model import Command, SessionId

__all__ = ["DIRECT_APPEND_ATTEMPT", "OpenProposal", "Proposer"]

ANSWER_TIMEOUT_MS = 150
# After this many recorders in turn did not append a proposal, the node appends it itself.
DIRECT_APPEND_ATTEMPT = 2
# A recorder that has queued a proposal but does not append it may be unable to reach the store.
QUEUED_TIMEOUT_MS = 1000
MAX_QUEUED_ATTEMPTS = 1


@dataclass(slots=True)
class OpenProposal:
    """A proposal whose outcome is not known yet.

    Attributes:
        id: Id of the first command.
        commands: Commands to append in one entry.
        attempt: Number of recorders in turn that did not append the proposal; from
            `DIRECT_APPEND_ATTEMPT` on, the node appends the proposal itself.
        next_attempt_ns: Time of the next attempt in nanoseconds.
        recorder: The recorder that received the proposal last.
        failed_recorder: The recorder that missed its timeout, for the caller to avoid.
        is_queued: Whether the recorder acknowledged the proposal.
        queued_attempts: Attempts in a row that the recorder acknowledged but did not append.
    """

    id: str
    commands: tuple[Command, ...]
    attempt: int = 0
    next_attempt_ns: int = 0
    recorder: SessionId | None = None
    failed_recorder: SessionId | None = None
    is_queued: bool = False
    queued_attempts: int = 0


class Proposer:
    """Keeps proposals until an entry of the log contains them."""

    def __init__(self) -> None:
        self._open: dict[str, OpenProposal] = {}

    def is_open(self, proposal_id: str) -> bool:
        """Returns whether the outcome of a proposal is not known yet."""
        return proposal_id in self._open

    def propose(self, commands: tuple[Command, ...]) -> str:
        """Adds a proposal; returns its id, which is the id of the first command."""
        proposal_id = commands[0].id
        self._open.setdefault(proposal_id, OpenProposal(proposal_id, commands))
        return proposal_id

    def on_queued(self, proposal_id: str, now_ns: int) -> None:
        """Records that a recorder has queued a proposal."""
        proposal = self._open.get(proposal_id)
        if proposal is not None and proposal.attempt < DIRECT_APPEND_ATTEMPT:
            proposal.is_queued = True
            proposal.next_attempt_ns = now_ns + QUEUED_TIMEOUT_MS * NS_PER_MS

    def on_applied(self, command_ids: set[str]) -> None:
        """Drops the proposals whose first command an applied entry contains."""
        for command_id in command_ids:
            self._open.pop(command_id, None)

    def without_recorder(self) -> list[OpenProposal]:
        """Returns the proposals for which no recorder was known."""
        return [proposal for proposal in self._open.values() if proposal.recorder is None]

    def due(self, now_ns: int) -> list[OpenProposal]:
        """Returns the proposals to send now; the caller sets `recorder` to the receiver."""
        due = []
        for proposal in self._open.values():
            if now_ns < proposal.next_attempt_ns:
                continue
            proposal.failed_recorder = None
            if proposal.recorder is not None:
                _count_failed_attempt(proposal)
            proposal.is_queued = False
            wait_ms = (
                ANSWER_TIMEOUT_MS if proposal.attempt < DIRECT_APPEND_ATTEMPT else QUEUED_TIMEOUT_MS
            )
            proposal.next_attempt_ns = now_ns + wait_ms * NS_PER_MS
            due.append(proposal)
        return due


def _count_failed_attempt(proposal: OpenProposal) -> None:
    if proposal.attempt >= DIRECT_APPEND_ATTEMPT:
        return
    proposal.queued_attempts = proposal.queued_attempts + 1 if proposal.is_queued else 0
    if not proposal.is_queued or proposal.queued_attempts >= MAX_QUEUED_ATTEMPTS:
        proposal.attempt += 1
        proposal.queued_attempts = 0
        proposal.failed_recorder = proposal.recorder
