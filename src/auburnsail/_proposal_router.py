"""Routes proposals to the recorder and appends them to the fleet log. No I/O."""

import random

from ._assigner import Assigner
from ._clock import NS_PER_MS
from ._effects import StoreReply
from ._fleet import FleetState
from ._messages import ProposalQueued, Propose
from ._model import Command, Entry, SessionId
from ._outbox import Outbox
from ._proposer import DIRECT_APPEND_ATTEMPT, Proposer
from ._recorder import OwnerChoice, Recorder, rank_recorders

__all__ = ["ProposalRouter"]

# This many sessions poll the store for both logs, in case an append was not announced to any node.
POLLING_RECORDERS = 2
MAX_RANKED_RECORDERS = 8
# A session that was sealed or did not reply is not used as a recorder for this time.
SUSPECT_DURATION_MS = 5000


class ProposalRouter:
    """Sends this node's proposals to the recorder; on the recorder, appends those of all nodes.

    Args:
        address: This node's control address.
        store_region: Region of the store; its sessions are preferred as recorders.
        fleet: State of the fleet.
        outbox: Collects the resulting effects.
        rng: Source of randomness.
        choose_owners: Chooses new owners of shards.

    Attributes:
        store_region: Region of the store; the settings may change it at run time.
    """

    def __init__(
        self,
        address: str,
        store_region: str,
        fleet: FleetState,
        outbox: Outbox,
        rng: random.Random,
        choose_owners: OwnerChoice,
    ) -> None:
        self._address = address
        self.store_region = store_region
        self._fleet = fleet
        self._outbox = outbox
        self._proposer = Proposer()
        self._recorder = Recorder(rng, choose_owners)
        self._assigner = Assigner()
        self._ranking: tuple[int, list[SessionId]] = (-1, [])
        self._suspects: dict[SessionId, int] = {}

    @property
    def pending(self) -> int:
        """Number of proposals in this node's recorder whose outcome is not known yet."""
        return self._recorder.pending

    def propose(self, commands: tuple[Command, ...]) -> str:
        """Submits commands as one proposal of this node; returns the id of the proposal."""
        return self._proposer.propose(commands)

    def is_in_log(self, proposal_id: str) -> bool:
        """Returns whether an entry of the log contains the proposal of this node."""
        return not self._proposer.is_open(proposal_id)

    def polls(self, own_id: SessionId | None, now_ns: int) -> bool:
        """Returns whether this node polls the store on behalf of the whole fleet."""
        return own_id in self._ranked_recorders(now_ns)[:POLLING_RECORDERS]

    def mark_suspect(self, session: SessionId, now_ns: int) -> None:
        """Excludes a session from the ranking of recorders for `SUSPECT_DURATION_MS`."""
        self._suspects = {s: end for s, end in self._suspects.items() if end > now_ns}
        self._suspects[session] = now_ns + SUSPECT_DURATION_MS * NS_PER_MS

    def on_propose(self, message: Propose, own_id: SessionId | None, now_ns: int) -> None:
        """Queues another node's proposal and acknowledges it.

        When all nodes start at the same time, the former recorder must collect the proposals of the
        other nodes before it has a session. Otherwise every node would append its own entry, and
        all but one append would conflict in each round.
        """
        if message.commands and (own_id is not None or self._fleet.version):
            self._recorder.propose(message.id, message.commands)
            self._outbox.send(message.reply_to, ProposalQueued(message.id))
            self.start_append(now_ns)

    def on_queued(self, proposal_id: str, now_ns: int) -> None:
        """Records that a recorder has queued a proposal of this node."""
        self._proposer.on_queued(proposal_id, now_ns)

    def on_store_reply(self, ticket: int, reply: StoreReply, now_ns: int) -> bytes | None:
        """Handles the store's reply to an append; see `Recorder.on_reply`."""
        return self._recorder.on_reply(ticket, reply, now_ns)

    def on_join(self, now_ns: int) -> None:
        """Restarts the delay of assignments after a session joined."""
        self._assigner.on_join(now_ns)

    def on_applied(self, entry: Entry) -> bool:
        """Removes the proposals in an entry; returns whether this node appended the entry."""
        self._proposer.on_applied({command.id for command in entry.commands})
        return self._recorder.on_applied(entry)

    def on_restored(self, now_ns: int) -> None:
        """Updates derived state after the fleet's state was restored from a checkpoint."""
        self._recorder.on_restored(self._fleet.version)
        self._assigner.on_join(now_ns)

    def tick(self, own_id: SessionId | None, now_ns: int) -> None:
        """Runs the assignments, proposals and appends that are due."""
        ranked = self._ranked_recorders(now_ns)
        if ranked and ranked[0] == own_id:
            for command in self._assigner.due(self._fleet, now_ns):
                self._recorder.propose(command.id, (command,))
        self.send_due_proposals(own_id, now_ns)
        self.start_append(now_ns)

    def send_due_proposals(self, own_id: SessionId | None, now_ns: int) -> None:
        """Sends the due proposals of this node to the recorder."""
        for proposal in self._proposer.due(now_ns):
            if proposal.failed_recorder is not None:
                self.mark_suspect(proposal.failed_recorder, now_ns)
            ranked = self._ranked_recorders(now_ns)
            proposal.recorder = ranked[0] if ranked else None
            if proposal.attempt >= DIRECT_APPEND_ATTEMPT or self._is_local(
                proposal.recorder, own_id
            ):
                self._recorder.propose(proposal.id, proposal.commands)
                self._proposer.on_queued(proposal.id, now_ns)
                continue
            message = Propose(proposal.id, self._address, proposal.commands)
            self._outbox.send_to((proposal.recorder,), message)

    def hand_over(self, own_id: SessionId | None, now_ns: int) -> None:
        """Sends the proposals that this node appends itself to the recorder, once one is known.

        When all nodes of a new fleet start at once, none knows a recorder. The first conflict shows
        one, and further appends of this node would only conflict again.
        """
        ranked = self._ranked_recorders(now_ns)
        if not ranked or self._is_local(ranked[0], own_id):
            return
        for proposal in self._proposer.without_recorder():
            if self._recorder.withdraw(proposal.id):
                proposal.next_attempt_ns = now_ns
        self.send_due_proposals(own_id, now_ns)

    def _is_local(self, recorder: SessionId | None, own_id: SessionId | None) -> bool:
        """Returns whether a recorder is this node or an earlier process at the same address."""
        row = self._fleet.sessions.get(recorder) if recorder is not None else None
        return row is None or recorder == own_id or row.session.control_address == self._address

    def start_append(self, now_ns: int) -> None:
        """Starts or repeats an append if one is due."""
        request = self._recorder.tick(now_ns, self._fleet)
        if request is not None:
            self._outbox.add(request)

    def _ranked_recorders(self, now_ns: int) -> list[SessionId]:
        if self._ranking[0] != self._fleet.version:
            ranked = rank_recorders(self._fleet, self.store_region, MAX_RANKED_RECORDERS)
            self._ranking = (self._fleet.version, ranked)
        ranked = self._ranking[1]
        return [s for s in ranked if self._suspects.get(s, 0) <= now_ns] or ranked
