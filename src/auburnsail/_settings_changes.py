"""Changes to the settings tree: proposal, review, acceptance, rebase and revert.

An acceptance is one conditional append to the settings log. Its intent is first recorded in the
proposal's row, and every later command on the proposal brings a recorded intent to a definite
outcome first. So a change is applied at most once, even if the accepting process is killed.
"""

from collections.abc import Callable
from datetime import UTC, datetime

import msgspec

from ._edits import Edit, edits_between, format_path, overlapping_edits
from ._proposals import Event, Intent, Proposal, ProposalRows, new_id, refusal, review_problem
from ._settings import decode_jsonc
from ._settings_conflicts import SettingsConflictError, conflict_error, edits_since_base
from ._settings_log import (
    SETTINGS_LOG,
    SettingsHistory,
    SettingsRecord,
    decode_record,
    record_digest,
)
from ._settings_rules import fixed_changes, parse_tree_strictly
from ._store import Check, TableStore
from ._store_retry import RetrySchedule, until_definite
from ._versioned_log import VersionedLog
from .exceptions import AuburnsailError, ConflictError, RefusedError

__all__ = ["SettingsChanges", "encode_accepted_record"]

FLEET_HEAD_KEY = "fleet/head"
INIT_APPEND_ID_PREFIX = "init-"


class SettingsChanges:
    """Operations on the settings log and its proposals.

    Args:
        store: Table that holds the settings log and the proposals.
        operator: Name of the operator on whose behalf changes are made.
        retries: Limits the attempts of each store operation.
        now_text: Returns the current UTC time in ISO 8601 format.
    """

    def __init__(
        self,
        store: TableStore,
        operator: str,
        retries: RetrySchedule,
        now_text: Callable[[], str] = lambda: datetime.now(UTC).isoformat(timespec="seconds"),
    ) -> None:
        self._store = store
        self._operator = operator
        self._retries = retries
        self._now_text = now_text
        self._log = VersionedLog(store, SETTINGS_LOG)
        self._history = SettingsHistory(store, retries)
        self._rows = ProposalRows(store, retries)

    @property
    def history(self) -> SettingsHistory:
        """Read access to the accepted versions."""
        return self._history

    @property
    def proposals(self) -> ProposalRows:
        """Access to the rows of proposals."""
        return self._rows

    def initialise(self, text: str, source: str) -> int:
        """Appends the first version of the settings.

        Raises:
            SettingsError: The tree is not valid.
            ConflictError: A first version exists already.
        """
        parse_tree_strictly(text, source)
        edits = edits_between({}, decode_jsonc(text, source))
        origins = {format_path(edit.path): 1 for edit in edits}
        record = SettingsRecord(
            parent=b"",
            proposal="",
            title="first version",
            authors=(self._operator,),
            reviewers=(),
            accepted_by=self._operator,
            accepted_at=self._now_text(),
            edits=edits,
            origins=origins,
            text=text,
        )
        # An id derived from the text makes the append idempotent after a lost answer.
        append_id = INIT_APPEND_ID_PREFIX + record_digest(text.encode()).hex()
        return self._append(0, append_id, msgspec.msgpack.encode(record))

    def propose(
        self, title: str, text: str, source: str, base: int, proposal_id: str = ""
    ) -> Proposal:
        """Creates a proposal.

        Args:
            title: Purpose of the change.
            text: The complete proposed tree.
            source: Name of the document in error messages.
            base: Version that the text was edited from.
            proposal_id: Id to use, for example to repeat a command whose outcome is unknown.

        Raises:
            SettingsError: The tree is not valid.
            RefusedError: The text changes nothing, or a fixed value after the fleet has started.
        """
        base_text = self._history.record(base).text
        edits = self._checked_edits(base_text, text, source)
        proposal = Proposal(
            id=proposal_id or new_id(),
            title=title,
            authors=(self._operator,),
            base=base,
            base_text=base_text,
            text=text,
            edits=edits,
        )
        event = self._event("propose", content=proposal.content, note=title)
        return self._rows.create(msgspec.structs.replace(proposal, events=(event,)))

    def amend(
        self, proposal_id: str, text: str, source: str, base: int | None, title: str = ""
    ) -> Proposal:
        """Replaces an open proposal's content; approvals of other content no longer count."""
        current = self.resolve_acceptance(proposal_id)
        base = current.base if base is None else base
        base_text = self._history.record(base).text
        edits = self._checked_edits(base_text, text, source)

        def change(proposal: Proposal) -> Proposal:
            _require_open(proposal, "amend")
            authors = tuple(dict.fromkeys((*proposal.authors, self._operator)))
            return msgspec.structs.replace(
                proposal,
                title=title or proposal.title,
                authors=authors,
                base=base,
                base_text=base_text,
                text=text,
                edits=edits,
            )

        return self._rows.update(proposal_id, self._event("amend"), change)

    def review(self, proposal_id: str, verdict: str, note: str, content: str = "") -> Proposal:
        """Records a verdict on the current content of a proposal.

        Args:
            proposal_id: The proposal.
            verdict: ``approve`` or ``object``.
            note: Comment for the authors.
            content: Digest of the reviewed content, or a prefix of the digest.

        Raises:
            RefusedError: The reviewer is an author, or the content has another digest.
        """
        digest = self.resolve_acceptance(proposal_id).content
        if not digest.startswith(content):
            raise refusal(
                f"the content is now {digest}; see `settings diff {proposal_id}`", "review"
            )

        def change(proposal: Proposal) -> Proposal:
            _require_open(proposal, "review")
            if self._operator in proposal.authors:
                raise refusal(f"{self._operator} is an author of {proposal_id}", "review")
            if proposal.content != digest:
                raise refusal(f"the content changed to {proposal.content} meanwhile", "review")
            return msgspec.structs.replace(proposal)

        event = self._event("review", content=digest, verdict=verdict, note=note)
        return self._rows.update(proposal_id, event, change)

    def reject(self, proposal_id: str, note: str) -> Proposal:
        """Closes an open proposal without accepting it."""
        self.resolve_acceptance(proposal_id)

        def change(proposal: Proposal) -> Proposal:
            _require_open(proposal, "reject")
            return msgspec.structs.replace(proposal, state="rejected")

        return self._rows.update(proposal_id, self._event("reject", note=note), change)

    def accept(self, proposal_id: str, base: int | None = None) -> Proposal:
        """Appends a proposal to the settings log as the version after its base version.

        Args:
            proposal_id: The proposal.
            base: Version that the operator expects as the proposal's base; None skips the check.

        Raises:
            RefusedError: The proposal is closed, lacks an approval or changes a fixed value.
            SettingsConflictError: Another change was accepted after the proposal's base version.
            OutcomeUnknownError: Not known whether it took effect; a repeated call finds out.
        """
        proposal = self.resolve_acceptance(proposal_id)
        if proposal.state == "accepted":
            return proposal
        _require_open(proposal, "accept")
        if base is not None and base != proposal.base:
            raise refusal(f"{proposal_id} builds on version {proposal.base}, not {base}", "accept")
        if problem := review_problem(proposal):
            raise refusal(problem, "accept")
        if self._history.head() != proposal.base:
            return self._accepted_or_raise(proposal_id)
        intent = self._new_intent(proposal)

        def change(current: Proposal) -> Proposal:
            _require_open(current, "accept")
            if current.base != proposal.base or current.content != proposal.content:
                raise refusal("the proposal changed meanwhile", "accept")
            if problem := review_problem(current):
                raise refusal(problem, "accept")
            return msgspec.structs.replace(current, state="accepting", intent=intent)

        event = self._event("accept", content=proposal.content)
        self._rows.update(proposal_id, event, change)
        resolved = self.resolve_acceptance(proposal_id)
        return resolved if resolved.state == "accepted" else self._accepted_or_raise(proposal_id)

    def resolve_acceptance(self, proposal_id: str) -> Proposal:
        """Brings a recorded acceptance to a definite outcome; returns the proposal after it."""
        proposal = self._rows.read(proposal_id)
        intent = proposal.intent
        if proposal.state != "accepting":
            return proposal
        data = encode_accepted_record(proposal)
        checks = (Check(FLEET_HEAD_KEY, 0),) if intent.fixed else ()
        try:
            version = self._append(intent.base, intent.append_id, data, checks)
        except ConflictError:
            version = 0

        def change(current: Proposal) -> Proposal:
            if current.state != "accepting" or current.intent.append_id != intent.append_id:
                return current
            state = "accepted" if version else "open"
            return msgspec.structs.replace(current, state=state, version=version)

        kind = "done" if version else "lose"
        try:
            return self._rows.update(proposal_id, self._event(kind), change)
        except AuburnsailError:
            if not version:
                raise
            # The append took effect; the next command on the proposal updates the row.
            return msgspec.structs.replace(proposal, state="accepted", version=version)

    def rebase(self, proposal_id: str) -> Proposal:
        """Applies the edits of an open proposal to the version in force, which becomes its base.

        Raises:
            SettingsConflictError: The proposal and a newer change touch the same value.
        """
        # Imported here because only edits need json-five, which takes much memory.
        from ._document_edit import apply_edits

        head, head_text, proposal = self._head_and_proposal(proposal_id)
        _require_open(proposal, "rebase")
        if proposal.base == head:
            return proposal
        if overlapping_edits(proposal.edits, edits_since_base(proposal, head_text)):
            raise conflict_error(proposal, head, head_text)
        text = apply_edits(head_text, proposal.edits, proposal.text)
        edits = self._checked_edits(head_text, text, f"{proposal_id} on version {head}")

        def change(current: Proposal) -> Proposal:
            _require_open(current, "rebase")
            if current.base == head:
                return current
            if (current.base, current.content) != (proposal.base, proposal.content):
                raise refusal("the proposal changed meanwhile", "rebase")
            return msgspec.structs.replace(
                current, base=head, base_text=head_text, text=text, edits=edits
            )

        return self._rows.update(proposal_id, self._event("rebase", note=f"onto {head}"), change)

    def revert(
        self, version: int, title: str, proposal_id: str = "", *, whole: bool = False
    ) -> Proposal:
        """Creates a proposal that undoes one change or restores an earlier version.

        Args:
            version: Version whose change is undone, or which is restored.
            title: Purpose of the proposal; empty for a generated title.
            proposal_id: Id of the proposal; empty for a new id.
            whole: Restore the complete tree of the version, undoing all later changes.

        Raises:
            SettingsConflictError: A later version changed the same values.
        """
        from ._document_edit import apply_edits

        head = self._history.head()
        current, record = self._history.record(head), self._history.record(version)
        title = title or f"{'return to' if whole else 'revert'} version {version}"
        source = f"revert of version {version}"
        if whole:
            return self.propose(title, record.text, source, head, proposal_id)
        if version == 1:
            raise refusal("the first version cannot be undone", "revert")
        inverse_edits = tuple(Edit(edit.path, edit.new, edit.old) for edit in record.edits)
        later_edits = edits_between(
            decode_jsonc(record.text, source), decode_jsonc(current.text, "current")
        )
        if overlapping := overlapping_edits(inverse_edits, later_edits):
            detail = f"values of version {version} were changed again since"
            raise SettingsConflictError(detail, later_edits, overlapping)
        text = apply_edits(current.text, inverse_edits, self._history.record(version - 1).text)
        return self.propose(title, text, source, head, proposal_id)

    def _accepted_or_raise(self, proposal_id: str) -> Proposal:
        head, head_text, proposal = self._head_and_proposal(proposal_id)
        if proposal.state == "accepted":
            return proposal
        _require_open(proposal, "accept")
        if proposal.base != head:
            raise conflict_error(proposal, head, head_text)
        self._check_fixed_values(proposal.base_text, proposal.text)
        raise refusal("the proposal changed meanwhile; run the command again", "accept")

    def _head_and_proposal(self, proposal_id: str) -> tuple[int, str, Proposal]:
        # The head is read first: a proposal that is then still open is not part of that version. In
        # the other order, a proposal accepted between the reads would conflict with itself.
        head = self._history.head()
        head_text = self._history.record(head).text
        return head, head_text, self.resolve_acceptance(proposal_id)

    def _checked_edits(self, base_text: str, text: str, source: str) -> tuple[Edit, ...]:
        parse_tree_strictly(text, source)
        if text == base_text:
            raise refusal("the proposal does not change the base version", "propose")
        self._check_fixed_values(base_text, text)
        return edits_between(decode_jsonc(base_text, "base"), decode_jsonc(text, source))

    def _check_fixed_values(self, base_text: str, text: str) -> bool:
        """Returns whether a change touches fixed values; refuses it in a started fleet."""
        fixed = fixed_changes(base_text, text)
        if fixed and until_definite(lambda: self._store.read(FLEET_HEAD_KEY), self._retries):
            detail = "; ".join(fixed)
            raise refusal(f"fixed once the fleet has started: {detail}", "propose")
        return bool(fixed)

    def _new_intent(self, proposal: Proposal) -> Intent:
        head = self._history.log_record(proposal.base)
        version = proposal.base + 1
        origins = dict(decode_record(head.version, head.data).origins)
        # Removed values keep their entry, so that their history remains reachable.
        origins |= {format_path(edit.path): version for edit in proposal.edits}
        return Intent(
            append_id=f"{proposal.id}-{new_id()}",
            base=proposal.base,
            parent=record_digest(head.data),
            by=self._operator,
            at=self._now_text(),
            origins=origins,
            fixed=self._check_fixed_values(proposal.base_text, proposal.text),
        )

    def _append(
        self, expected_version: int, append_id: str, data: bytes, checks: tuple[Check, ...] = ()
    ) -> int:
        return until_definite(
            lambda: self._log.append(expected_version, append_id, data, checks), self._retries
        )

    def _event(self, kind: str, **fields) -> Event:
        return Event(id=new_id(), kind=kind, by=self._operator, at=self._now_text(), **fields)


def _require_open(proposal: Proposal, step: str) -> None:
    if proposal.state != "open":
        suffix = f" as version {proposal.version}" if proposal.version else ""
        raise RefusedError(f"{proposal.id} is {proposal.state}{suffix}", step=f"settings.{step}")


def encode_accepted_record(proposal: Proposal) -> bytes:
    """Returns the encoded settings record of a proposal whose intent is recorded."""
    intent = proposal.intent
    record = SettingsRecord(
        parent=intent.parent,
        proposal=proposal.id,
        title=proposal.title,
        authors=proposal.authors,
        reviewers=proposal.approvers,
        accepted_by=intent.by,
        accepted_at=intent.at,
        edits=proposal.edits,
        origins=intent.origins,
        text=proposal.text,
    )
    return msgspec.msgpack.encode(record)
