"""A node's own proposals: sent to the recorder until the log settles them. No I/O."""

from dataclasses import dataclass

from ._clock import NS_PER_MS
from ._model import Command, SessionId

__all__ = ["DIRECT_ATTEMPT", "OpenProposal", "Proposer"]

ANSWER_WAIT_MS = 150
# After this many recorders in turn did not answer, a node appends itself.
DIRECT_ATTEMPT = 2
# A recorder that has a proposal and cannot settle it may be cut off from the store.
TAKEN_WAIT_MS = 1000
TAKEN_ROUNDS = 1


@dataclass(slots=True)
class OpenProposal:
    """A proposal whose outcome is not known.

    Attributes:
        id: Id of its first command.
        commands: To be appended together.
        attempt: How many recorders in turn did not settle it; the node appends itself from
            `DIRECT_ATTEMPT` on.
        asked: The recorder that was asked last.
        failed: The recorder that did not settle it in time, for the caller to avoid.
    """

    id: str
    commands: tuple[Command, ...]
    attempt: int = 0
    next_ns: int = 0
    asked: SessionId | None = None
    failed: SessionId | None = None
    taken: bool = False
    rounds: int = 0


class Proposer:
    """Keeps proposals until one of the log's entries contains them."""

    def __init__(self) -> None:
        self._open: dict[str, OpenProposal] = {}

    def is_open(self, proposal_id: str) -> bool:
        """Whether the outcome of a proposal is not known yet."""
        return proposal_id in self._open

    def propose(self, commands: tuple[Command, ...]) -> str:
        """Starts a proposal and returns its id, that of the first command."""
        proposal_id = commands[0].id
        self._open.setdefault(proposal_id, OpenProposal(proposal_id, commands))
        return proposal_id

    def on_taken(self, proposal_id: str, now_ns: int) -> None:
        """Notes that a recorder has a proposal in its queue."""
        proposal = self._open.get(proposal_id)
        if proposal is not None and proposal.attempt < DIRECT_ATTEMPT:
            proposal.taken = True
            proposal.next_ns = now_ns + TAKEN_WAIT_MS * NS_PER_MS

    def on_applied(self, command_ids: set[str]) -> None:
        """Settles the proposals whose commands an entry contains."""
        for command_id in command_ids:
            self._open.pop(command_id, None)

    def due(self, now_ns: int) -> list[OpenProposal]:
        """Returns the proposals to send now; the caller notes in `asked` whom it asked."""
        due = []
        for proposal in self._open.values():
            if now_ns < proposal.next_ns:
                continue
            proposal.failed = None
            if proposal.asked is not None:
                _advance(proposal)
            proposal.taken = False
            wait_ms = ANSWER_WAIT_MS if proposal.attempt < DIRECT_ATTEMPT else TAKEN_WAIT_MS
            proposal.next_ns = now_ns + wait_ms * NS_PER_MS
            due.append(proposal)
        return due


def _advance(proposal: OpenProposal) -> None:
    if proposal.attempt >= DIRECT_ATTEMPT:
        return
    proposal.rounds = proposal.rounds + 1 if proposal.taken else 0
    if not proposal.taken or proposal.rounds >= TAKEN_ROUNDS:
        proposal.attempt += 1
        proposal.rounds = 0
        proposal.failed = proposal.asked
