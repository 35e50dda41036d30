"""Proposals, reviews and acceptances, also when the store loses answers."""

import unittest

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import UNSET

from auburnsail import parse_tree
from auburnsail._changes import SettingsChanges
from auburnsail._conflicts import SettingsConflictError
from auburnsail._document_edit import apply_edits
from auburnsail._edits import Edit, edits_between
from auburnsail._settings import decode_jsonc
from auburnsail._settings_log import digest_of
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
WAIT = ("queue", "max_wait_ms")
REQUESTS = ("queue", "max_requests")
UNSETTLED = (OutcomeUnknownError, StoreUnavailableError)


class Operators:
    """People who act on one table."""

    def __init__(self, table: FakeTable, attempts: int = 50) -> None:
        self.table = table
        self._attempts = attempts

    def __getitem__(self, name: str) -> SettingsChanges:
        """Returns the operations of one person."""
        ticks = iter(range(self._attempts * 4))
        retries = RetrySchedule(self._attempts, lambda: next(ticks), lambda _: gevent.sleep(0))
        return SettingsChanges(self.table, name, retries, lambda: "2030-01-01T00:00:00+00:00")

    def proposed(self, author: str, path: tuple[str, ...], value: object) -> str:
        """Returns the id of a proposal that sets one value on the version in force."""
        changes = self[author]
        head = changes.history.head()
        text = apply_edits(changes.history.record(head).text, (Edit(path, new=value),))
        return changes.propose("a change", text, "test", head).id


def started(**faults) -> Operators:
    """Returns operators of settings with a first version."""
    operators = Operators(FakeTable(**faults))
    share, operators.table.fault_share = operators.table.fault_share, 0.0
    operators["ann"].initialise(TREE, "test")
    operators.table.fault_share = share
    return operators


class RulesTest(unittest.TestCase):
    """Who may do what, without faults."""

    def setUp(self):
        """Starts with a first version."""
        self.operators = started()

    def test_author_cannot_be_the_only_reviewer(self):
        """Guards against changes that one person alone puts into force."""
        change = self.operators.proposed("ann", WAIT, 11)
        with self.assertRaisesRegex(RefusedError, "ann is an author"):
            self.operators["ann"].review(change, "approve", "")
        with self.assertRaisesRegex(RefusedError, "no approval"):
            self.operators["ann"].accept(change)
        self.operators["bob"].review(change, "approve", "")
        self.assertEqual(self.operators["ann"].accept(change).version, 2)

    def test_amending_makes_an_author_and_voids_approvals(self):
        """Guards against accepting content that nobody but its writers has seen."""
        change = self.operators.proposed("ann", WAIT, 11)
        self.operators["bob"].review(change, "approve", "")
        text = self.operators["bob"].proposals.read(change).text.replace("11", "12")
        self.operators["bob"].amend(change, text, "test", None)
        for name in ("ann", "bob"):
            with self.assertRaisesRegex(RefusedError, "is an author"):
                self.operators[name].review(change, "approve", "")
        with self.assertRaisesRegex(RefusedError, "no approval"):
            self.operators["eve"].accept(change)

    def test_approval_lapses_with_the_content_or_with_authorship(self):
        """Guards against approvals of older content, and of people who turned into authors."""
        change = self.operators.proposed("ann", WAIT, 11)
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
        """Guards against an acceptance over a standing objection."""
        change = self.operators.proposed("ann", WAIT, 11)
        self.operators["bob"].review(change, "approve", "")
        self.operators["eve"].review(change, "object", "too long")
        with self.assertRaisesRegex(RefusedError, "eve objected"):
            self.operators["ann"].accept(change)
        self.operators["eve"].review(change, "approve", "")
        self.assertEqual(self.operators["ann"].accept(change).state, "accepted")

    def test_second_acceptance_is_refused_with_the_difference(self):
        """Guards against one of two conflicting changes overwriting the other silently."""
        first, second = (self.operators.proposed("ann", WAIT, value) for value in (11, 12))
        for change in (first, second):
            self.operators["bob"].review(change, "approve", "")
        self.operators["bob"].accept(first)
        for attempt in (self.operators["ann"].accept, self.operators["ann"].rebase):
            with self.assertRaises(SettingsConflictError) as caught:
                attempt(second)
            self.assertEqual(caught.exception.newer, (Edit(WAIT, 10, 11),))
            self.assertEqual(caught.exception.overlapping, (Edit(WAIT, 10, 12),))

    def test_rebase_keeps_both_changes_approvals_and_comments(self):
        """Guards against a rebase that reverts the newer change or asks for the review again."""
        first = self.operators.proposed("ann", WAIT, 11)
        second = self.operators.proposed("ann", ("logging", "level"), "debug")
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
        """Guards against reverts that skip the review or undo later changes."""
        for path, value in ((WAIT, 11), (REQUESTS, 21)):
            change = self.operators.proposed("ann", path, value)
            self.operators["bob"].review(change, "approve", "")
            self.operators["bob"].accept(change)
        revert = self.operators["ann"].revert(2, "")
        self.assertEqual((revert.state, revert.edits), ("open", (Edit(WAIT, 11, 10),)))
        self.operators["bob"].review(revert.id, "approve", "")
        self.operators["bob"].accept(revert.id)
        with self.assertRaisesRegex(ConflictError, "changed again"):
            self.operators["ann"].revert(2, "")
        whole = self.operators["ann"].revert(1, "", whole=True)
        self.assertEqual(whole.edits, (Edit(REQUESTS, 21, 20),))

    def test_history_of_a_value_survives_its_removal(self):
        """Guards against a history that ends where a value was inherited for a while."""
        level = ("logging", "level")
        for value in ("debug", UNSET, "error"):
            change = self.operators.proposed("ann", level, value)
            self.operators["bob"].review(change, "approve", "")
            self.operators["bob"].accept(change)
        found = self.operators["eve"].history.edits_of("logging", 10)
        self.assertEqual(
            [(version, edit.old, edit.new) for version, _, edit in found],
            [(4, UNSET, "error"), (3, "debug", UNSET), (2, UNSET, "debug")],
        )
        newest = list(self.operators["eve"].history.edits_of("", 2))
        self.assertEqual([version for version, *_ in newest], [4, 3])

    def test_fixed_values_change_only_before_the_fleet_starts(self):
        """Guards against shards that keys of a running fleet no longer belong to."""
        shards = ("services", "catalogue", "shards")
        change = self.operators.proposed("ann", shards, 128)
        other = self.operators.proposed("ann", ("lease", "duration_ms"), 900)
        for proposal in (change, other):
            self.operators["bob"].review(proposal, "approve", "")
        self.assertEqual(self.operators["ann"].accept(change).version, 2)
        self.operators.table.commit(Transaction((), (Put("fleet/head", b"1"),)))
        with self.assertRaisesRegex(RefusedError, r"lease\.duration_ms \(600\)"):
            self.operators["ann"].rebase(other)
        for path in (shards, ("services", "catalogue", "keyed")):
            with self.assertRaisesRegex(RefusedError, r"fixed once .* services\.catalogue"):
                self.operators.proposed("ann", path, 32 if path == shards else False)


class ScriptedTable(FakeTable):
    """A table that fails appends to the settings log, or lets others act before a row changes."""

    fails_appends = False
    before_row = None
    before_heads = ()

    def read(self, key):
        """See `FakeTable`."""
        if key == "settings/head" and self.before_heads:
            act, *self.before_heads = self.before_heads
            act()
        return super().read(key)

    def commit(self, transaction):
        """See `FakeTable`."""
        keys = [put.key for put in transaction.puts]
        if self.fails_appends and "settings/head" in keys:
            raise OutcomeUnknownError("answer lost", step="store.commit")
        if self.before_row and keys[0].startswith("settings/proposal/"):
            act, self.before_row = self.before_row, None
            act()
        return super().commit(transaction)


class UnsettledTest(unittest.TestCase):
    """Acceptances whose outcome stays open for a while."""

    def test_lost_acceptance_does_not_reopen_a_newer_one(self):
        """Guards against a late verdict on one acceptance closing the next one of the proposal."""
        table = ScriptedTable()
        operators = Operators(table, attempts=1)
        operators["ann"].initialise(TREE, "test")
        change, other = (operators.proposed("ann", *edit) for edit in ((WAIT, 11), (REQUESTS, 21)))
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
        table.before_row = accept_again_on_the_next_version
        operators["eve"].settle(change)
        self.assertEqual(operators["eve"].proposals.read(change).state, "accepting")
        self.assertEqual(operators["eve"].accept(change).version, 3)

    def test_proposal_does_not_conflict_with_itself(self):
        """Guards against telling an operator that a change lost while another one accepts it."""
        table = ScriptedTable()
        operators = Operators(table)
        operators["ann"].initialise(TREE, "test")
        change, other = (operators.proposed("ann", *edit) for edit in ((WAIT, 11), (REQUESTS, 21)))
        for proposal in (change, other):
            operators["bob"].review(proposal, "approve", "")
        operators["bob"].accept(other)

        def accept_elsewhere() -> None:
            table.before_heads = ()
            operators["dan"].rebase(change)
            operators["dan"].accept(change)

        table.before_heads = (lambda: None, accept_elsewhere)
        self.assertEqual(operators["cid"].accept(change).version, 3)


class InterleavingTest(unittest.TestCase):
    """Several operators at once, against a store that loses answers and writes late."""

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1 << 30), st.floats(0, 0.7), st.integers(1, 12))
    def test_no_change_is_lost_or_applied_twice(self, seed, fault_share, attempts):
        """Guards against two winners for a version, a change applied twice, and reverts."""
        operators = started(seed=seed)
        changes = [operators.proposed("ann", WAIT, 100 + number) for number in range(3)]
        changes += [operators.proposed("ann", REQUESTS, 200), operators.proposed("ann", WAIT, 300)]
        for change in changes:
            operators["bob"].review(change, "approve", "")
        operators.table.fault_share = fault_share
        impatient = Operators(operators.table, attempts)
        told: dict[str, set[int]] = {}
        lost: set[str] = set()

        def act(name: str, change: str) -> None:
            for _ in range(4):
                gevent.sleep(0)
                try:
                    told.setdefault(change, set()).add(impatient[name].accept(change).version)
                except UNSETTLED:
                    continue
                except RefusedError:
                    # Another operator has begun to accept it.
                    continue
                except SettingsConflictError as conflict:
                    if conflict.overlapping:
                        lost.add(change)
                        return
                    try:
                        impatient[name].rebase(change)
                    except (*UNSETTLED, RefusedError, ConflictError):
                        continue

        gevent.joinall(
            [gevent.spawn(act, name, change) for change in changes for name in ("cid", "dan")],
            raise_error=True,
        )
        self.verify(operators, changes, told, lost)

    def verify(self, operators, changes, told, lost):
        """Compares the log with what the operators were told."""
        operators.table.fault_share = 0.0
        history = operators["eve"].history
        records = history.records_after(0)
        proposals = [record.proposal for _, record in records[1:]]
        self.assertEqual(len(set(proposals)), len(proposals), "a change was applied twice")
        text, data = TREE, history.log_record(1).data
        for version, record in records[1:]:
            edits = edits_between(decode_jsonc(text, "t"), decode_jsonc(record.text, "t"))
            self.assertEqual(edits, record.edits, "a version changed more than its proposal says")
            self.assertEqual(record.parent, digest_of(data))
            text, data = record.text, history.log_record(version).data
        parse_tree(text, "in force")
        for change in changes:
            settled = operators["eve"].settle(change)
            # Settling may have completed an acceptance that nobody was told of.
            versions = {number for number, r in history.records_after(0) if r.proposal == change}
            self.assertLessEqual(told.get(change, set()), versions)
            self.assertLessEqual(len(versions), 1)
            if settled.state == "accepted":
                self.assertEqual(versions, {settled.version})
            elif versions:
                self.fail("a change is in force that its proposal does not know of")
            if change in lost:
                self.assertFalse(versions, "a change that was told to have lost is in force")
