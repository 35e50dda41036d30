"""Proposed changes to the settings, their reviews, and their rows ``settings/proposal/<id>``."""

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

ROW_PREFIX = "settings/proposal/"
MAX_ROWS_PER_SCAN = 500
ID_RANDOM_BYTES = 5
DIGEST_BYTES = 6

# Strings are matched before comments because a string may contain // or /*.
_STRING_OR_COMMENT = re.compile(
    r""""(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*'|(//[^\n]*|/\*.*?\*/)""", re.DOTALL
)

Verdict = Literal["approve", "object"]


class Event(msgspec.Struct, frozen=True):
    """One recorded operation on a proposal.

    Attributes:
        id: Identifies the write, so that a retry after a lost answer detects that it took effect.
        kind: ``propose``, ``amend``, ``review``, ``rebase``, ``accept``, ``lose``, ``reject`` or
            ``done``.
        by: Name of the operator.
        at: UTC time in ISO 8601 format.
        content: Digest of the content that the operation refers to, if any.
        verdict: The verdict of a review, else None.
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
    """An acceptance in progress, recorded before the append to the settings log.

    Every later operation on the proposal completes the acceptance first.

    Attributes:
        append_id: Identifies the append to the settings log.
        base: Version that the append follows.
        parent: Digest of the record of the base version.
        by: Name of the accepting operator.
        at: UTC time in ISO 8601 format.
        origins: Version that last changed each value, by path, including this change.
        fixed: Whether the change touches fixed values, so that the append must fail once the fleet
            has started.
    """

    append_id: str
    base: int
    parent: bytes
    by: str
    at: str
    origins: dict[str, int]
    fixed: bool = False


class Proposal(msgspec.Struct, frozen=True):
    """A proposed change to the settings tree.

    Attributes:
        id: Identifies the proposal.
        title: Purpose of the change.
        authors: All operators who wrote or amended the content.
        base: Version of the settings that the proposal is based on.
        base_text: The complete tree of the base version.
        text: The complete proposed tree.
        edits: The changed values.
        state: ``accepting`` from the recorded intent until the outcome of the append is known.
        intent: The newest recorded acceptance, None before the first.
        version: Version of the accepted change, 0 if it is not accepted.
        events: Operations on the proposal, oldest first.
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
        """Digest of the change, to which reviews refer."""
        return content_digest(self.edits, self.base_text, self.text)

    @property
    def verdicts(self) -> dict[str, Verdict]:
        """Newest verdict on the current content, by reviewer; verdicts of authors are left out."""
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
    """Returns a new unique id for a proposal or an event.

    The id starts with the date, so that a scan can skip older proposals.
    """
    return f"{_date_prefix(0)}-{secrets.token_hex(ID_RANDOM_BYTES)}"


def _date_prefix(days_ago: int) -> str:
    return (datetime.now(UTC) - timedelta(days=days_ago)).strftime("%Y%m%d")


def text_diff(
    old_text: str, new_text: str, old_name: str = "old", new_name: str = "new"
) -> list[str]:
    """Returns the lines of a unified diff of two documents."""
    lines = unified_diff(
        old_text.splitlines(), new_text.splitlines(), old_name, new_name, lineterm=""
    )
    return list(lines)


def content_digest(edits: tuple[Edit, ...], old_text: str, new_text: str) -> str:
    """Returns the digest of a change: its edits, and the comments that it adds and removes.

    The rest of the tree is not included, so that approvals remain valid after a rebase that does
    not alter the change.
    """
    before, after = _comment_counts(old_text), _comment_counts(new_text)
    changed = sorted((after - before).elements()), sorted((before - after).elements())
    content = msgspec.json.encode((edits, changed))
    return hashlib.blake2s(content, digest_size=DIGEST_BYTES).hexdigest()


def _comment_counts(text: str) -> Counter[str]:
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
    """Returns the error for an operation that the rules forbid.

    Args:
        detail: Reason for the refusal.
        step: Operation, reported as ``settings.<step>``.
    """
    return RefusedError(detail, step=f"settings.{step}")


class ProposalRows:
    """Reads and conditionally updates the rows of proposals.

    Args:
        store: Table that holds the rows.
        retries: Limits the attempts of each store operation.
    """

    def __init__(self, store: TableStore, retries: RetrySchedule) -> None:
        self._store = store
        self._retries = retries

    def read(self, proposal_id: str) -> Proposal:
        """Returns a proposal.

        Raises:
            RefusedError: There is no proposal with that id.
        """
        return self._read(proposal_id)[1]

    def recent(self, days: int) -> Iterator[Proposal]:
        """Yields recent proposals in the order of their ids.

        Ids given by operators that sort after the dated ones are always included.

        Args:
            days: Age in days up to which proposals are included; 0 yields all proposals.
        """
        after = ROW_PREFIX + _date_prefix(days) if days else ""
        while True:
            rows = until_definite(
                lambda after=after: self._store.scan(ROW_PREFIX, after, MAX_ROWS_PER_SCAN),
                self._retries,
            )
            for row in rows:
                yield msgspec.msgpack.decode(row.value, type=Proposal)
            if len(rows) < MAX_ROWS_PER_SCAN:
                return
            after = rows[-1].key

    def create(self, proposal: Proposal) -> Proposal:
        """Writes a new proposal; repeating the call for the same content has no effect.

        Returns:
            The stored proposal.

        Raises:
            ConflictError: A proposal with other content or another author has the id.
        """
        if self._write(proposal, 0):
            return proposal
        existing = self.read(proposal.id)
        # A repeated command has a new event id, but the same author and text.
        if (existing.authors[:1], existing.text) != (proposal.authors, proposal.text):
            raise ConflictError(f"proposal {proposal.id} exists", step="settings.propose")
        return existing

    def update(self, proposal_id: str, event: Event, change: Callable[[Proposal], Proposal]):
        """Applies a change to a proposal exactly once.

        Args:
            proposal_id: The proposal.
            event: Recorded with the change. If an event with its id exists already, an earlier
                attempt took effect and nothing is written.
            change: Pure function from the current to the changed proposal. It is called again with
                the newer proposal after a concurrent update, and returns its argument to change
                nothing.

        Returns:
            The proposal after the change.

        Raises:
            RefusedError: There is no proposal with that id.
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
        row = until_definite(lambda: self._store.read(ROW_PREFIX + proposal_id), self._retries)
        if row is None:
            raise refusal(f"no proposal {proposal_id!r}", "read")
        return row.version, msgspec.msgpack.decode(row.value, type=Proposal)

    def _write(self, proposal: Proposal, expected_version: int) -> bool:
        key = ROW_PREFIX + proposal.id
        transaction = Transaction(
            (Check(key, expected_version),), (Put(key, msgspec.msgpack.encode(proposal)),)
        )
        outcome = commit_until_definite(self._store, transaction, self._retries)
        return isinstance(outcome, Committed)
