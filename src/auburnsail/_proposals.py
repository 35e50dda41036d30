"""Proposals of settings changes: rows ``settings/proposal/<id>`` and their reviews."""

import hashlib
import re
import secrets
from collections import Counter
from collections.abc import Callable, Iterator
from datetime import UTC, datetime, timedelta
from difflib import unified_diff
from typing import Literal

import msgspec

from ._edits import Edit
from ._store import Check, Committed, Put, TableStore, Transaction
from ._store_retry import RetrySchedule, commit_until_definite, until_definite
from .exceptions import ConflictError, RefusedError

__all__ = [
    "Event",
    "Intent",
    "Proposal",
    "ProposalRows",
    "Verdict",
    "content_digest",
    "new_id",
    "refusal",
    "review_problem",
    "text_diff",
]

PREFIX = "settings/proposal/"
SCAN_LIMIT = 500
ID_BYTES = 5
DIGEST_BYTES = 6

# Strings come first, because they may contain what looks like a comment.
_STRING_OR_COMMENT = re.compile(
    r""""(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*'|(//[^\n]*|/\*.*?\*/)""", re.DOTALL
)

Verdict = Literal["approve", "object"]


class Event(msgspec.Struct, frozen=True):
    """One step in the life of a proposal.

    Attributes:
        id: Identifies the write, so that a lost answer can be settled.
        kind: ``propose``, ``amend``, ``review``, ``rebase``, ``accept``, ``lose``, ``reject`` or
            ``done``.
        by: Who did it.
        at: Time in UTC, ISO 8601.
        content: Digest of the content that it concerns.
        verdict: Of a review.
        note: Reason or comment.
    """

    id: str
    kind: str
    by: str
    at: str
    content: str = ""
    verdict: Verdict | None = None
    note: str = ""


class Intent(msgspec.Struct, frozen=True):
    """An acceptance that has begun; it is settled before anything else happens.

    Attributes:
        append_id: Identifies the append to the settings log.
        base: Version that the append builds on.
        parent: Digest of the record of that version.
        by: Who accepts.
        at: Time in UTC, ISO 8601.
        origins: Version that last touched each value, with this change applied.
        fixed: Whether it holds only as long as the fleet has not started.
    """

    append_id: str
    base: int
    parent: bytes
    by: str
    at: str
    origins: dict[str, int]
    fixed: bool = False


class Proposal(msgspec.Struct, frozen=True):
    """A proposed change of the settings tree.

    Attributes:
        id: Name of the proposal.
        title: What the change is for.
        authors: Everyone who wrote its content.
        base: Version of the settings that it builds on.
        base_text: The tree of that version.
        text: The tree as proposed.
        edits: Values that it changes.
        state: ``accepting`` while an acceptance has no definite outcome yet.
        intent: The acceptance that has begun or succeeded.
        version: Version that the change became.
        events: What happened, in order.
    """

    id: str
    title: str
    authors: tuple[str, ...]
    base: int
    base_text: str
    text: str
    edits: tuple[Edit, ...]
    state: Literal["open", "accepting", "accepted", "rejected"] = "open"
    intent: Intent | None = None
    version: int = 0
    events: tuple[Event, ...] = ()

    @property
    def content(self) -> str:
        """Digest of the change that reviews refer to."""
        return content_digest(self.edits, self.base_text, self.text)

    @property
    def verdicts(self) -> dict[str, Verdict]:
        """Newest verdict of each reviewer who is not an author, on the current content."""
        content = self.content
        return {
            event.by: event.verdict
            for event in self.events
            if event.kind == "review" and event.content == content and event.by not in self.authors
        }

    @property
    def approvers(self) -> tuple[str, ...]:
        """Reviewers whose newest verdict on the current content is an approval."""
        return tuple(by for by, verdict in self.verdicts.items() if verdict == "approve")


def new_id() -> str:
    """Returns an id for a proposal or an event.

    It starts with the date, so that the newest proposals can be listed without reading all.
    """
    return f"{_date_text(0)}-{secrets.token_hex(ID_BYTES)}"


def _date_text(days_ago: int) -> str:
    return (datetime.now(UTC) - timedelta(days=days_ago)).strftime("%Y%m%d")


def text_diff(old: str, new: str, old_name: str = "old", new_name: str = "new") -> list[str]:
    """Returns the lines of a unified diff of two documents."""
    lines = unified_diff(old.splitlines(), new.splitlines(), old_name, new_name, lineterm="")
    return list(lines)


def content_digest(edits: tuple[Edit, ...], old: str, new: str) -> str:
    """Returns the digest of a change: its values, and the comments that it adds and removes.

    The rest of the tree is left out, so that approvals survive a rebase that leaves the change as
    it was.
    """
    before, after = _comments(old), _comments(new)
    changed = sorted((after - before).elements()), sorted((before - after).elements())
    content = msgspec.json.encode((edits, changed))
    return hashlib.blake2s(content, digest_size=DIGEST_BYTES).hexdigest()


def _comments(text: str) -> Counter[str]:
    return Counter(match[1].strip() for match in _STRING_OR_COMMENT.finditer(text) if match[1])


def review_problem(proposal: Proposal) -> str:
    """Returns why a proposal may not be accepted yet, or an empty string."""
    objecting = [by for by, verdict in proposal.verdicts.items() if verdict == "object"]
    if objecting:
        return f"{', '.join(objecting)} objected to the current content"
    if not proposal.approvers:
        authors = ", ".join(proposal.authors)
        return f"no approval of the current content by anyone but its authors ({authors})"
    return ""


def refusal(detail: str, step: str) -> RefusedError:
    """Returns the error for an operation that the rules forbid."""
    return RefusedError(detail, step=f"settings.{step}")


class ProposalRows:
    """Reads and conditionally updates the rows of proposals.

    Args:
        store: The table.
        patience: Bounds repeated attempts.
    """

    def __init__(self, store: TableStore, retries: RetrySchedule) -> None:
        self._store = store
        self._retries = retries

    def read(self, proposal_id: str) -> Proposal:
        """Returns a proposal.

        Raises:
            RefusedError: There is none of that id.
        """
        return self._read(proposal_id)[1]

    def newest(self, days: int) -> Iterator[Proposal]:
        """Yields the proposals of the last days, and those with an id of their own."""
        after = PREFIX + _date_text(days) if days else ""
        while True:
            rows = until_definite(
                lambda after=after: self._store.scan(PREFIX, after, SCAN_LIMIT), self._retries
            )
            for row in rows:
                yield msgspec.msgpack.decode(row.value, type=Proposal)
            if len(rows) < SCAN_LIMIT:
                return
            after = rows[-1].key

    def create(self, proposal: Proposal) -> Proposal:
        """Writes a new proposal.

        Raises:
            ConflictError: Another proposal has the id.
        """
        if self._write(proposal, 0):
            return proposal
        existing = self.read(proposal.id)
        # A repeated command has a new event, but writes the same content.
        if (existing.authors[:1], existing.text) != (proposal.authors, proposal.text):
            raise ConflictError(f"proposal {proposal.id} exists", step="settings.propose")
        return existing

    def update(self, proposal_id: str, event: Event, change: Callable[[Proposal], Proposal]):
        """Changes a proposal exactly once.

        Args:
            proposal_id: The proposal.
            event: Recorded with the change; its id tells whether a lost write took effect.
            change: Pure; called again with the newer content if another change came first. It
                returns the proposal itself to leave it as it is.

        Returns:
            The proposal after the change.
        """
        while True:
            row_version, proposal = self._read(proposal_id)
            if any(earlier.id == event.id for earlier in proposal.events):
                return proposal
            changed = change(proposal)
            if changed is proposal:
                return proposal
            changed = msgspec.structs.replace(changed, events=(*proposal.events, event))
            if self._write(changed, row_version):
                return changed

    def _read(self, proposal_id: str) -> tuple[int, Proposal]:
        row = until_definite(lambda: self._store.read(PREFIX + proposal_id), self._retries)
        if row is None:
            raise refusal(f"no proposal {proposal_id!r}", "read")
        return row.version, msgspec.msgpack.decode(row.value, type=Proposal)

    def _write(self, proposal: Proposal, expected: int) -> bool:
        key = PREFIX + proposal.id
        transaction = Transaction(
            (Check(key, expected),), (Put(key, msgspec.msgpack.encode(proposal)),)
        )
        outcome = commit_until_definite(self._store, transaction, self._retries)
        return isinstance(outcome, Committed)
