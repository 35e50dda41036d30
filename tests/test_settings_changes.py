"""Proposals, reviews and acceptances, including those where the store loses responses."""

import unittest

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import UNSET

from auburnsail import parse_tree
from auburnsail._document_edit import apply_edits
from auburnsail._edits import Edit, edits_between
from auburnsail._settings import decode_jsonc
from auburnsail._settings_changes import SettingsChanges
from auburnsail._settings_conflicts import SettingsConflictError
from auburnsail._settings_log import record_digest
from auburnsail._store import Put, Transaction
from auburnsail._store_retry import RetrySchedule
from auburnsail.exceptions import (
    ConflictError,
    OutcomeUnknownError,
    RefusedError,
    StoreUnavailableError,
)
from tests.fake_table import FakeTable

TREE = """{
  // Waiting is cheap.
  "queue": {"max_wait_ms": 10, "max_requests": 20}, // per upstream
  "services": {
    "catalogue": {"keyed": true, "shards": 64},
    "pledge": {}
  }
}
"""
MAX_WAIT_PATH = ("queue", "max_wait_ms")
MAX_REQUESTS_PATH = ("queue", "max_requests")
RETRIED_ERRORS = (OutcomeUnknownError, StoreUnavailableError)


class Operators:
    """Operators who change the settings in one table."""

    def __init__(self, table: FakeTable, attempts: int = 50) -> None:
        self.table = table
        self._attempts = attempts

    def __getitem__(self, name: str) -> SettingsChanges:
        """Returns the operations on behalf of one operator."""
        ticks = iter(range(self._attempts * 4))
        retries = RetrySchedule(self._attempts, lambda: next(ticks), lambda _: gevent.sleep(0))
        return SettingsChanges(self.table, name, retries, lambda: "2030-01-01T00:00:00+00:00")

    def propose_value(self, author: str, path: tuple[str, ...], value: object) -> str:
        """Proposes to set one value, based on the version in force; returns the proposal's id."""
        changes = self[author]
        head = changes.history.head()
        text = apply_edits(changes.history.record(head).text, (Edit(path, new=value),))
        return changes.propose("a change", text, "test", head).id


def operators_with_first_version(**faults) -> Operators:
    """Returns operators on a table with a first version, in which faults start afterwards."""
    operators = Operators(FakeTable(**faults))
    share, operators.table.fault_share = operators.table.fault_share, 0.0
    operators["ann"].initialise(TREE, "test")
    operators.table.fault_share = share
    return operators


class ReviewRulesTest(unittest.TestCase):
    """Rules of review, acceptance, rebase and revert, without faults of the store."""

    def setUp(self):
        """Creates a table with a first version."""
        self.operators = operators_with_first_version()

    def test_author_cannot_be_the_only_reviewer(self):
        """Guards against an author who approves and accepts a change alone."""
        change = self.operators.propose_value("ann", MAX_WAIT_PATH, 11)
        with self.assertRaisesRegex(RefusedError, "ann is an author"):
            self.operators["ann"].review(change, "approve", "")
        with self.assertRaisesRegex(RefusedError, "no approval"):
            self.operators["ann"].accept(change)
        self.operators["bob"].review(change, "approve", "")
        self.assertEqual(self.operators["ann"].accept(change).version, 2)

    def test_amending_makes_an_author_and_voids_approvals(self):
        """Guards against accepting content that only authors have seen; amending adds an author."""
        change = self.operators.propose_value("ann", MAX_WAIT_PATH, 11)
        self.operators["bob"].review(change, "approve", "")
        text = self.operators["bob"].proposals.read(change).text.replace("11", "12")
        self.operators["bob"].amend(change, text, "test", None)
        for name in ("ann", "bob"):
            with self.assertRaisesRegex(RefusedError, "is an author"):
                self.operators[name].review(change, "approve", "")
        with self.assertRaisesRegex(RefusedError, "no approval"):
            self.operators["eve"].accept(change)

    def test_approval_lapses_with_the_content_or_with_authorship(self):
        """Guards against counting approvals of older content or of later authors."""
        change = self.operators.propose_value("ann", MAX_WAIT_PATH, 11)
        self.operators["bob"].review(change, "approve", "")
        text = self.operators["bob"].proposals.read(change).text
        self.operators["ann"].amend(change, text.replace("11", "12"), "test", None)
        with self.assertRaisesRegex(RefusedError, "no approval"):
            self.operators["ann"].accept(change)
        self.operators["bob"].review(change, "approve", "")
        same_values = text.replace("11", "12") + "\n"
        self.operators["bob"].amend(change, same_values, "test", None)
        with self.assertRaisesRegex(RefusedError, "no approval"):
            self.operators["ann"].accept(change)

    def test_objection_blocks_until_it_is_withdrawn(self):
        """Guards against an acceptance while the newest verdict of a reviewer is an objection."""
        change = self.operators.propose_value("ann", MAX_WAIT_PATH, 11)
        self.operators["bob"].review(change, "approve", "")
        self.operators["eve"].review(change, "object", "too long")
        with self.assertRaisesRegex(RefusedError, "eve objected"):
            self.operators["ann"].accept(change)
        self.operators["eve"].review(change, "approve", "")
        self.assertEqual(self.operators["ann"].accept(change).state, "accepted")

    def test_second_acceptance_is_refused_with_the_difference(self):
        """Guards against a change that silently overwrites a conflicting one with the same base."""
        first, second = (
            self.operators.propose_value("ann", MAX_WAIT_PATH, value) for value in (11, 12)
        )
        for change in (first, second):
            self.operators["bob"].review(change, "approve", "")
        self.operators["bob"].accept(first)
        for attempt in (self.operators["ann"].accept, self.operators["ann"].rebase):
            with self.assertRaises(SettingsConflictError) as caught:
                attempt(second)
            self.assertEqual(caught.exception.newer_edits, (Edit(MAX_WAIT_PATH, 10, 11),))
            self.assertEqual(caught.exception.overlapping_edits, (Edit(MAX_WAIT_PATH, 10, 12),))

    def test_rebase_keeps_both_changes_approvals_and_comments(self):
        """Guards against a rebase that reverts the newer change or drops approvals and comments."""
        first = self.operators.propose_value("ann", MAX_WAIT_PATH, 11)
        second = self.operators.propose_value("ann", ("logging", "level"), "debug")
        for change in (first, second):
            self.operators["bob"].review(change, "approve", "")
        self.operators["bob"].accept(first)
        rebased = self.operators["ann"].rebase(second)
        self.assertEqual(rebased.approvers, ("bob",))
        self.operators["bob"].accept(second)
        text = self.operators["ann"].history.record(3).text
        for part in ('"max_wait_ms": 11', '"level": "debug"', "// Waiting", "// per upstream"):
            self.assertIn(part, text)
        self.assertEqual(self.operators["ann"].history.record(3).origins["queue.max_wait_ms"], 2)

    def test_revert_is_a_proposal_that_undoes_one_change(self):
        """Guards against reverts that skip the review or undo later changes as well."""
        for path, value in ((MAX_WAIT_PATH, 11), (MAX_REQUESTS_PATH, 21)):
            change = self.operators.propose_value("ann", path, value)
            self.operators["bob"].review(change, "approve", "")
            self.operators["bob"].accept(change)
        revert = self.operators["ann"].revert(2, "")
        self.assertEqual((revert.state, revert.edits), ("open", (Edit(MAX_WAIT_PATH, 11, 10),)))
        self.operators["bob"].review(revert.id, "approve", "")
        self.operators["bob"].accept(revert.id)
        with self.assertRaisesRegex(ConflictError, "changed again"):
            self.operators["ann"].revert(2, "")
        whole = self.operators["ann"].revert(1, "", whole=True)
        self.assertEqual(whole.edits, (Edit(MAX_REQUESTS_PATH, 21, 20),))

    def test_history_of_a_value_survives_its_removal(self):
        """Guards against a history that stops at the version in which the value was not stated."""
        level = ("logging", "level")
        for value in ("debug", UNSET, "error"):
            change = self.operators.propose_value("ann", level, value)
            self.operators["bob"].review(change, "approve", "")
            self.operators["bob"].accept(change)
        found = self.operators["eve"].history.newest_edits("logging", 10)
        self.assertEqual(
            [(version, edit.old, edit.new) for version, _, edit in found],
            [(4, UNSET, "error"), (3, "debug", UNSET), (2, UNSET, "debug")],
        )
        newest = list(self.operators["eve"].history.newest_edits("", 2))
        self.assertEqual([version for version, *_ in newest], [4, 3])

    def test_fixed_values_change_only_before_the_fleet_starts(self):
        """Guards against nodes of a running fleet that disagree on shards or leases.

        Nodes receive a change at different times, and keys would belong to other shards.
        """
        shards = ("services", "catalogue", "shards")
        change = self.operators.propose_value("ann", shards, 128)
        other = self.operators.propose_value("ann", ("lease", "duration_ms"), 900)
        for proposal in (change, other):
            self.operators["bob"].review(proposal, "approve", "")
        self.assertEqual(self.operators["ann"].accept(change).version, 2)
        self.operators.table.commit(Transaction((), (Put("fleet/head", b"1"),)))
        with self.assertRaisesRegex(RefusedError, r"lease\.duration_ms \(600\)"):
            self.operators["ann"].rebase(other)
        for path in (shards, ("services", "catalogue", "keyed")):
            with self.assertRaisesRegex(RefusedError, r"fixed once .* services\.catalogue"):
                self.operators.propose_value("ann", path, 32 if path == shards else False)


class ScriptedTable(FakeTable):
    """A table that loses appends to the settings log, or calls back before a read or a write."""

    fails_appends = False
    before_row_write = None
    before_head_reads = ()

    def read(self, key):
        """See `FakeTable`."""
        if key == "settings/head" and self.before_head_reads:
            callback, *self.before_head_reads = self.before_head_reads
            callback()
        return super().read(key)

    def commit(self, transaction):
        """See `FakeTable`."""
        keys = [put.key for put in transaction.puts]
        if self.fails_appends and "settings/head" in keys:
            raise OutcomeUnknownError("answer lost", step="store.commit")
        if self.before_row_write and keys[0].startswith("settings/proposal/"):
            callback, self.before_row_write = self.before_row_write, None
            callback()
        return super().commit(transaction)


class UnknownOutcomeTest(unittest.TestCase):
    """Acceptances whose outcome is unknown for some time."""

    def test_lost_acceptance_does_not_reopen_a_newer_one(self):
        """Guards against recording the outcome of an earlier acceptance on a newer one."""
        table = ScriptedTable()
        operators = Operators(table, attempts=1)
        operators["ann"].initialise(TREE, "test")
        change, other = (
            operators.propose_value("ann", *edit)
            for edit in ((MAX_WAIT_PATH, 11), (MAX_REQUESTS_PATH, 21))
        )
        for proposal in (change, other):
            operators["bob"].review(proposal, "approve", "")

        def accept_without_answer() -> None:
            table.fails_appends = True
            with self.assertRaises(OutcomeUnknownError):
                operators["cid"].accept(change)
            table.fails_appends = False

        def accept_again_on_the_next_version() -> None:
            operators["dan"].rebase(change)
            accept_without_answer()

        accept_without_answer()
        operators["bob"].accept(other)
        table.before_row_write = accept_again_on_the_next_version
        operators["eve"].resolve_acceptance(change)
        self.assertEqual(operators["eve"].proposals.read(change).state, "accepting")
        self.assertEqual(operators["eve"].accept(change).version, 3)

    def test_proposal_does_not_conflict_with_itself(self):
        """Guards against reporting a conflict for a change that another operator just accepted."""
        table = ScriptedTable()
        operators = Operators(table)
        operators["ann"].initialise(TREE, "test")
        change, other = (
            operators.propose_value("ann", *edit)
            for edit in ((MAX_WAIT_PATH, 11), (MAX_REQUESTS_PATH, 21))
        )
        for proposal in (change, other):
            operators["bob"].review(proposal, "approve", "")
        operators["bob"].accept(other)

        def accept_elsewhere() -> None:
            table.before_head_reads = ()
            operators["dan"].rebase(change)
            operators["dan"].accept(change)

        table.before_head_reads = (lambda: None, accept_elsewhere)
        self.assertEqual(operators["cid"].accept(change).version, 3)


class InterleavingTest(unittest.TestCase):
    """Concurrent operators on a store that loses responses and applies writes late."""

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1 << 30), st.floats(0, 0.7), st.integers(1, 12))
    def test_no_change_is_lost_or_applied_twice(self, seed, fault_share, attempts):
        """Guards against two changes in one version, a change applied twice, and lost changes."""
        operators = operators_with_first_version(seed=seed)
        changes = [
            operators.propose_value("ann", MAX_WAIT_PATH, 100 + number) for number in range(3)
        ]
        changes += [
            operators.propose_value("ann", MAX_REQUESTS_PATH, 200),
            operators.propose_value("ann", MAX_WAIT_PATH, 300),
        ]
        for change in changes:
            operators["bob"].review(change, "approve", "")
        operators.table.fault_share = fault_share
        retrying_operators = Operators(operators.table, attempts)
        reported_versions: dict[str, set[int]] = {}
        conflicting: set[str] = set()

        def accept_repeatedly(name: str, change: str) -> None:
            for _ in range(4):
                gevent.sleep(0)
                try:
                    reported_versions.setdefault(change, set()).add(
                        retrying_operators[name].accept(change).version
                    )
                except RETRIED_ERRORS:
                    continue
                except RefusedError:
                    # Another operator has begun to accept it.
                    continue
                except SettingsConflictError as conflict:
                    if conflict.overlapping_edits:
                        conflicting.add(change)
                        return
                    try:
                        retrying_operators[name].rebase(change)
                    except (*RETRIED_ERRORS, RefusedError, ConflictError):
                        continue

        gevent.joinall(
            [
                gevent.spawn(accept_repeatedly, name, change)
                for change in changes
                for name in ("cid", "dan")
            ],
            raise_error=True,
        )
        self.verify(operators, changes, reported_versions, conflicting)

    def verify(self, operators, changes, reported_versions, conflicting):
        """Compares the settings log with the results that the operators received."""
        operators.table.fault_share = 0.0
        history = operators["eve"].history
        records = history.records_after(0)
        proposals = [record.proposal for _, record in records[1:]]
        self.assertEqual(len(set(proposals)), len(proposals), "a change was applied twice")
        text, data = TREE, history.log_record(1).data
        for version, record in records[1:]:
            edits = edits_between(decode_jsonc(text, "t"), decode_jsonc(record.text, "t"))
            self.assertEqual(
                edits, record.edits, "a version differs from the edits of its proposal"
            )
            self.assertEqual(record.parent, record_digest(data))
            text, data = record.text, history.log_record(version).data
        parse_tree(text, "in force")
        for change in changes:
            settled = operators["eve"].resolve_acceptance(change)
            # This may have completed an acceptance whose result no operator received.
            versions = {
                number for number, record in history.records_after(0) if record.proposal == change
            }
            self.assertLessEqual(reported_versions.get(change, set()), versions)
            self.assertLessEqual(len(versions), 1)
            if settled.state == "accepted":
                self.assertEqual(versions, {settled.version})
            elif versions:
                self.fail("a change is in force but its proposal is not accepted")
            if change in conflicting:
                self.assertFalse(versions, "a change that was reported as conflicting is in force")
