"""Changes of the settings tree: proposal, review, acceptance, rebase and revert.

An acceptance is one conditional append to the settings log. It is first noted in the proposal's
row, so that any later command of any operator finds it and settles it before doing anything else;
that is why a change is never applied twice, even if the accepting program is killed.
"""

from collections.abc import Callable
from datetime import UTC, datetime

import msgspec

from ._conflicts import SettingsConflictError, conflict_with, edits_since
from ._edits import Edit, edits_between, overlaps, path_text
from ._proposals import Event, Intent, Proposal, ProposalRows, new_id, refusal, review_problem
from ._settings import decode_jsonc
from ._settings_log import (
    SETTINGS_LOG,
    SettingsHistory,
    SettingsRecord,
    decode_settings,
    digest_of,
)
from ._settings_rules import checked_tree, fixed_changes
from ._store import Check, TableStore
from ._store_retry import RetrySchedule, until_definite
from ._versioned_log import VersionedLog
from .exceptions import AuburnsailError, ConflictError, RefusedError

__all__ = ["SettingsChanges", "record_data"]

FLEET_HEAD = "fleet/head"
INIT_PREFIX = "init-"


class SettingsChanges:
    """Operations on the settings log and its proposals.

    Args:
        store: The table.
        operator: Name of the person that acts.
        patience: Bounds repeated attempts.
        now_text: Returns the time in UTC, ISO 8601.
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
        """The accepted versions, for reading."""
        return self._history

    @property
    def proposals(self) -> ProposalRows:
        """The rows of proposals, for reading."""
        return self._rows

    def initialise(self, text: str, source: str) -> int:
        """Puts the first version into force.

        Raises:
            SettingsError: The tree is not valid.
            ConflictError: The settings have a first version already.
        """
        checked_tree(text, source)
        edits = edits_between({}, decode_jsonc(text, source))
        origins = {path_text(edit.path): 1 for edit in edits}
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
        # The same file gives the same id, so that a repeated command settles a lost answer.
        append_id = INIT_PREFIX + digest_of(text.encode()).hex()
        return self._append(0, append_id, msgspec.msgpack.encode(record))

    def propose(
        self, title: str, text: str, source: str, base: int, proposal_id: str = ""
    ) -> Proposal:
        """Writes a proposal.

        Args:
            title: What the change is for.
            text: The whole tree as proposed.
            source: Named in errors.
            base: Version that the text was edited from.
            proposal_id: Id to use, for example to repeat a command whose outcome was not settled.

        Raises:
            SettingsError: The tree is not valid.
            RefusedError: It changes nothing, or a value that is fixed.
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
        """Replaces the content of an open proposal; approvals of other content lapse."""
        current = self.settle(proposal_id)
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
            content: Digest of the content that the reviewer saw, or its first digits.

        Raises:
            RefusedError: The reviewer is an author, or the content is another one.
        """
        seen = self.settle(proposal_id).content
        if not seen.startswith(content):
            raise refusal(f"the content is now {seen}; see `settings diff {proposal_id}`", "review")

        def change(proposal: Proposal) -> Proposal:
            _require_open(proposal, "review")
            if self._operator in proposal.authors:
                raise refusal(f"{self._operator} is an author of {proposal_id}", "review")
            if proposal.content != seen:
                raise refusal(f"the content changed to {proposal.content} meanwhile", "review")
            return msgspec.structs.replace(proposal)

        event = self._event("review", content=seen, verdict=verdict, note=note)
        return self._rows.update(proposal_id, event, change)

    def reject(self, proposal_id: str, note: str) -> Proposal:
        """Closes an open proposal without accepting it."""
        self.settle(proposal_id)

        def change(proposal: Proposal) -> Proposal:
            _require_open(proposal, "reject")
            return msgspec.structs.replace(proposal, state="rejected")

        return self._rows.update(proposal_id, self._event("reject", note=note), change)

    def accept(self, proposal_id: str, base: int | None = None) -> Proposal:
        """Puts a proposal into force as the version after the one that it builds on.

        Args:
            proposal_id: The proposal.
            base: Version that the operator expects it to build on, if stated.

        Raises:
            RefusedError: The proposal is closed, lacks an approval or changes a fixed value.
            SettingsConflictError: Another change was accepted after the version it builds on.
            OutcomeUnknownError: Not settled; the same command settles it later.
        """
        proposal = self.settle(proposal_id)
        if proposal.state == "accepted":
            return proposal
        _require_open(proposal, "accept")
        if base is not None and base != proposal.base:
            raise refusal(f"{proposal_id} builds on version {proposal.base}, not {base}", "accept")
        if problem := review_problem(proposal):
            raise refusal(problem, "accept")
        if self._history.head() != proposal.base:
            return self._accepted_or_conflict(proposal_id)
        intent = self._intent(proposal)

        def change(current: Proposal) -> Proposal:
            _require_open(current, "accept")
            if current.base != proposal.base or current.content != proposal.content:
                raise refusal("the proposal changed meanwhile", "accept")
            if problem := review_problem(current):
                raise refusal(problem, "accept")
            return msgspec.structs.replace(current, state="accepting", intent=intent)

        event = self._event("accept", content=proposal.content)
        self._rows.update(proposal_id, event, change)
        settled = self.settle(proposal_id)
        return settled if settled.state == "accepted" else self._accepted_or_conflict(proposal_id)

    def settle(self, proposal_id: str) -> Proposal:
        """Brings an acceptance that has begun to a definite outcome; returns the proposal then."""
        proposal = self._rows.read(proposal_id)
        intent = proposal.intent
        if proposal.state != "accepting":
            return proposal
        data = record_data(proposal)
        checks = (Check(FLEET_HEAD, 0),) if intent.fixed else ()
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
            # The change is in force; the row follows with the next command.
            return msgspec.structs.replace(proposal, state="accepted", version=version)

    def rebase(self, proposal_id: str) -> Proposal:
        """Moves a proposal onto the version in force if it touches no value changed since.

        Raises:
            SettingsConflictError: The proposal and a newer change touch the same value.
        """
        # json-five is needed for edits only.
        from ._document_edit import apply_edits

        head, head_text, proposal = self._newest(proposal_id)
        _require_open(proposal, "rebase")
        if proposal.base == head:
            return proposal
        if overlaps(proposal.edits, edits_since(proposal, head_text)):
            raise conflict_with(proposal, head, head_text)
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
        """Proposes to undo one change, or to return to a whole earlier version.

        Args:
            version: The change to undo, or the version to return to.
            title: Why.
            proposal_id: Id to use for the proposal.
            whole: Return to the version, undoing everything after it.

        Raises:
            SettingsConflictError: Values of the change were changed again since.
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
        undone = tuple(Edit(edit.path, edit.new, edit.old) for edit in record.edits)
        since = edits_between(
            decode_jsonc(record.text, source), decode_jsonc(current.text, "current")
        )
        if overlapping := overlaps(undone, since):
            detail = f"values of version {version} were changed again since"
            raise SettingsConflictError(detail, since, overlapping)
        text = apply_edits(current.text, undone, self._history.record(version - 1).text)
        return self.propose(title, text, source, head, proposal_id)

    def _accepted_or_conflict(self, proposal_id: str) -> Proposal:
        head, head_text, proposal = self._newest(proposal_id)
        if proposal.state == "accepted":
            return proposal
        _require_open(proposal, "accept")
        if proposal.base != head:
            raise conflict_with(proposal, head, head_text)
        self._allows_fixed(proposal.base_text, proposal.text)
        raise refusal("the proposal changed meanwhile; run the command again", "accept")

    def _newest(self, proposal_id: str) -> tuple[int, str, Proposal]:
        # The version is read first: a proposal that is still open afterwards is not part of it.
        # The other way round, a proposal that was accepted in between conflicts with itself.
        head = self._history.head()
        head_text = self._history.record(head).text
        return head, head_text, self.settle(proposal_id)

    def _checked_edits(self, base_text: str, text: str, source: str) -> tuple[Edit, ...]:
        checked_tree(text, source)
        if text == base_text:
            raise refusal("it changes nothing", "propose")
        self._allows_fixed(base_text, text)
        return edits_between(decode_jsonc(base_text, "base"), decode_jsonc(text, source))

    def _allows_fixed(self, base_text: str, text: str) -> bool:
        """Returns whether the change touches fixed values; refused once the fleet has started."""
        fixed = fixed_changes(base_text, text)
        if fixed and until_definite(lambda: self._store.read(FLEET_HEAD), self._retries):
            detail = "; ".join(fixed)
            raise refusal(f"fixed once the fleet has started: {detail}", "propose")
        return bool(fixed)

    def _intent(self, proposal: Proposal) -> Intent:
        head = self._history.log_record(proposal.base)
        version = proposal.base + 1
        origins = dict(decode_settings(head.version, head.data).origins)
        # Values that are no longer stated stay listed, so that their history can be followed.
        origins |= {path_text(edit.path): version for edit in proposal.edits}
        return Intent(
            append_id=f"{proposal.id}-{new_id()}",
            base=proposal.base,
            parent=digest_of(head.data),
            by=self._operator,
            at=self._now_text(),
            origins=origins,
            fixed=self._allows_fixed(proposal.base_text, proposal.text),
        )

    def _append(
        self, expected: int, append_id: str, data: bytes, checks: tuple[Check, ...] = ()
    ) -> int:
        return until_definite(
            lambda: self._log.append(expected, append_id, data, checks), self._retries
        )

    def _event(self, kind: str, **facts) -> Event:
        return Event(id=new_id(), kind=kind, by=self._operator, at=self._now_text(), **facts)


def _require_open(proposal: Proposal, step: str) -> None:
    if proposal.state != "open":
        where = f" as version {proposal.version}" if proposal.version else ""
        raise RefusedError(f"{proposal.id} is {proposal.state}{where}", step=f"settings.{step}")


def record_data(proposal: Proposal) -> bytes:
    """Returns the settings record of a proposal whose acceptance has begun, as it is stored."""
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
