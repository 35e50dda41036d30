"""From a proposal to an entry of the fleet log: choice of the recorder and recording. No I/O."""

import random

from ._assigner import Assigner
from ._clock import NS_PER_MS
from ._effects import StoreReply
from ._fleet import FleetState
from ._messages import Propose, Taken
from ._model import Command, Entry, SessionId
from ._outbox import Outbox
from ._proposer import DIRECT_ATTEMPT, Proposer
from ._recorder import Recorder, SuccessorChoice, rank_recorders

__all__ = ["Recording"]

# The store is polled for both logs by this many sessions, in case nobody was told of an append.
POLLING_RECORDERS = 2
RECORDERS_KEPT = 8
# A session that was sealed or did not answer is not asked to record for this long.
SUSPECT_MS = 5000


class Recording:
    """This node's own proposals and those that it records for others.

    Args:
        address: This node's control address.
        store_region: Region whose sessions record first.
        fleet: State of the fleet.
        outbox: Receives effects.
        rng: Source of randomness.
        successors: Chooses new owners of shards.
    """

    def __init__(
        self,
        address: str,
        store_region: str,
        fleet: FleetState,
        outbox: Outbox,
        rng: random.Random,
        successors: SuccessorChoice,
    ) -> None:
        self._address = address
        self.store_region = store_region
        self._fleet = fleet
        self._outbox = outbox
        self._proposer = Proposer()
        self._recorder = Recorder(rng, successors)
        self._assigner = Assigner()
        self._ranking: tuple[int, list[SessionId]] = (-1, [])
        self._suspects: dict[SessionId, int] = {}

    @property
    def pending(self) -> int:
        """Number of proposals that this node records and whose outcome is open."""
        return self._recorder.pending

    def propose(self, commands: tuple[Command, ...]) -> str:
        """Starts a proposal of this node and returns its id."""
        return self._proposer.propose(commands)

    def is_settled(self, proposal_id: str) -> bool:
        """Whether the log has settled a proposal of this node."""
        return not self._proposer.is_open(proposal_id)

    def polls(self, own_id: SessionId | None, now_ns: int) -> bool:
        """Whether this node polls the store on behalf of all."""
        return own_id in self._ranked(now_ns)[:POLLING_RECORDERS]

    def suspect(self, session: SessionId, now_ns: int) -> None:
        """Leaves a session out of the ranking for a while."""
        self._suspects = {s: end for s, end in self._suspects.items() if end > now_ns}
        self._suspects[session] = now_ns + SUSPECT_MS * NS_PER_MS

    def on_propose(self, message: Propose, own_id: SessionId | None, now_ns: int) -> None:
        """Takes another node's proposal.

        Load pattern: all nodes start at the same moment. Whoever was the recorder collects the
        proposals of the others although it has no session yet; else each node would append for
        itself and all but one would lose every round.
        """
        if message.commands and (own_id is not None or self._fleet.version):
            self._recorder.propose(message.id, message.commands)
            self._outbox.send(message.reply_to, Taken(message.id))
            self.record(now_ns)

    def on_taken(self, proposal_id: str, now_ns: int) -> None:
        """Notes that a recorder has a proposal of this node."""
        self._proposer.on_taken(proposal_id, now_ns)

    def on_store_reply(self, ticket: int, reply: StoreReply, now_ns: int) -> bytes | None:
        """Handles the store's reply, see `Recorder.on_reply`."""
        return self._recorder.on_reply(ticket, reply, now_ns)

    def on_join(self, now_ns: int) -> None:
        """Notes that a session joined."""
        self._assigner.on_join(now_ns)

    def on_applied(self, entry: Entry) -> bool:
        """Settles what an entry settles; returns whether this node recorded the entry."""
        self._proposer.on_applied({command.id for command in entry.commands})
        return self._recorder.on_applied(entry)

    def on_restored(self, now_ns: int) -> None:
        """Follows the state after it was replaced from a checkpoint."""
        self._recorder.on_restored(self._fleet.version)
        self._assigner.on_join(now_ns)

    def tick(self, own_id: SessionId | None, now_ns: int) -> None:
        """Assigns, sends and records what is due."""
        ranked = self._ranked(now_ns)
        if ranked and ranked[0] == own_id:
            for command in self._assigner.due(self._fleet, now_ns):
                self._recorder.propose(command.id, (command,))
        self.send(own_id, now_ns)
        self.record(now_ns)

    def send(self, own_id: SessionId | None, now_ns: int) -> None:
        """Sends this node's proposals that are due to the recorder."""
        for proposal in self._proposer.due(now_ns):
            if proposal.failed is not None:
                self.suspect(proposal.failed, now_ns)
            ranked = self._ranked(now_ns)
            proposal.asked = ranked[0] if ranked else None
            if proposal.attempt >= DIRECT_ATTEMPT or self._is_here(proposal.asked, own_id):
                self._recorder.propose(proposal.id, proposal.commands)
                self._proposer.on_taken(proposal.id, now_ns)
                continue
            message = Propose(proposal.id, self._address, proposal.commands)
            self._outbox.send_to((proposal.asked,), message)

    def _is_here(self, asked: SessionId | None, own_id: SessionId | None) -> bool:
        """Whether a recorder is this node, in this or an earlier process at its address."""
        row = self._fleet.sessions.get(asked) if asked is not None else None
        return row is None or asked == own_id or row.session.control_address == self._address

    def record(self, now_ns: int) -> None:
        """Starts or repeats the append that is due."""
        request = self._recorder.tick(now_ns, self._fleet)
        if request is not None:
            self._outbox.add(request)

    def _ranked(self, now_ns: int) -> list[SessionId]:
        if self._ranking[0] != self._fleet.version:
            ranked = rank_recorders(self._fleet, self.store_region, RECORDERS_KEPT)
            self._ranking = (self._fleet.version, ranked)
        ranked = self._ranking[1]
        return [s for s in ranked if self._suspects.get(s, 0) <= now_ns] or ranked
