"""Mutation tests: disables one safety rule at a time and checks that the soak runs detect it.

A mutation that no run detects is reported and makes the command fail.
"""

import contextlib
import re
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from unittest import mock

import click

from auburnsail import (
    _attempt,
    _exchange,
    _forward,
    _http_server,
    _log_follower,
    _recorder,
    _rules,
    _versioned_log,
)
from auburnsail._clock import NS_PER_MS
from auburnsail._data_path import DataPath
from auburnsail._effects import Appended, OutcomeUnknown
from auburnsail._gate import RequestGate
from auburnsail._model import Entry, decode_entry
from auburnsail._moves import GateDecision, Mover
from auburnsail._outcome import not_run
from auburnsail._replica import POLL_INTERVAL_MS, Replica
from auburnsail._request_policy import RequestPolicy
from auburnsail._retry import AttemptLog
from auburnsail._store import Transaction
from auburnsail.exceptions import InvalidInputError
from tools.soak import RunResult, run_seed

__all__ = ["MUTATIONS", "Mutation", "find_violation"]

MAX_SUB_SEEDS = 100


@dataclass(frozen=True, slots=True)
class Mutation:
    """A disabled or weakened safety rule.

    Attributes:
        guarantee: Id of the guarantee that the rule protects.
        name: Description of the mutated behaviour.
        patches: Objects, the attributes to replace, and their replacements.
    """

    guarantee: str
    name: str
    patches: tuple[tuple[object, str, object], ...]

    @contextlib.contextmanager
    def active(self) -> Iterator[None]:
        """Applies the mutation while the context is active."""
        with contextlib.ExitStack() as stack:
            for target, attribute, replacement in self.patches:
                stack.enter_context(mock.patch.object(target, attribute, replacement))
            yield


def _mutate_rule(
    name: str, attribute: str, replacement: Callable, guarantee: str = "P1"
) -> Mutation:
    return Mutation(guarantee, name, ((_rules, attribute, replacement),))


def _append_unconditionally(self, expected, append_id, data, checks=()) -> int:
    commit_checked = self._store.commit

    def commit(transaction: Transaction):
        remaining_checks = tuple(check for check in transaction.checks if "/log/" not in check.key)
        return commit_checked(Transaction(remaining_checks, transaction.puts))

    with mock.patch.object(self._store, "commit", commit):
        return _ORIGINAL_APPEND(self, expected, append_id, data, checks)


def _decode_entries_only(self, data: bytes, position: int) -> Entry | None:
    try:
        entry = decode_entry(data)
    except InvalidInputError:
        return None
    return entry if position in (0, entry.version) else None


def _accept_any_version(self, version: int, data: bytes, now_ns: int = 0) -> bool:
    if version == self.version:
        return False
    self.version, self.data = version, data
    self.fetcher.record_version(version, "", now_ns)
    return True


def _poll_on_schedule_only(self, now_ns: int, **_circumstances: bool) -> bool:
    last_ns = self._last_poll_ns
    return last_ns is None or now_ns - last_ns >= POLL_INTERVAL_MS * NS_PER_MS


def _keep_connection_for_reuse(self) -> None:
    connection, self._connection = self._connection, None
    if connection is not None:
        self._peer.put_idle(connection, self.started_ns)


def _report_not_run(_context, _exchange, error):
    return not_run("no-answer", error.detail, error.step, error.peer)


def _return_last_refusal(_context, failures):
    return failures[-1].refusal


def _finish_without_refused_id(self, **_refused_id: str) -> None:
    _ORIGINAL_FINISH(self)


def _accept_without_id(*statuses: int) -> Callable:
    def find_refusal(dialect, answer, address, request_id, *, repeatable):
        expected_id = "" if answer.status in statuses else request_id
        return _ORIGINAL_FIND_REFUSAL(dialect, answer, address, expected_id, repeatable=repeatable)

    return find_refusal


def _admit_while_draining(self, service: str, shard: int, now_ns: int) -> GateDecision:
    drain_reason, self._drain_reason = self._drain_reason, ""
    try:
        return _ORIGINAL_ADMIT(self, service, shard, now_ns)
    finally:
        self._drain_reason = drain_reason


def _record_send_unchecked(self, peer: str) -> None:
    self._may_have_run = self._may_have_run or self._is_in_progress
    self._is_in_progress = True
    self.count += 1


_ORIGINAL_ADMIT = Mover.admit
_ORIGINAL_FINISH = _exchange.Exchange.finish
_ORIGINAL_FIND_REFUSAL = _attempt.find_refusal
_ORIGINAL_APPEND = _versioned_log.VersionedLog.append
_ALWAYS_TRUE = property(lambda self: True)

MUTATIONS = (
    _mutate_rule("a seal is not final", "may_ack_after_seal", lambda: True),
    _mutate_rule(
        "a restarted watcher counts",
        "is_same_watcher",
        lambda named, actual: named.node == actual.node,
    ),
    _mutate_rule("seal after 50 ms of silence", "silence_before_seal_ns", lambda: 50 * NS_PER_MS),
    _mutate_rule(
        "a lease of 900 ms, longer than the silence before a seal",
        "lease_end_ns",
        lambda start_ns: start_ns + 900 * NS_PER_MS,
    ),
    _mutate_rule(
        "one seal is enough to close a session", "seals_to_close", lambda watchers: min(1, watchers)
    ),
    _mutate_rule(
        "one watcher set during a change",
        "required_watcher_sets",
        lambda current, proposed: [proposed or current],
    ),
    _mutate_rule(
        "lease from the arrival of the acknowledgement",
        "lease_start_ns",
        lambda echo_ns, arrival_ns: arrival_ns,
    ),
    _mutate_rule(
        "an open outcome counts as not applied",
        "gives_up_on_outcome",
        lambda waited_ns: waited_ns > 300 * NS_PER_MS,
    ),
    _mutate_rule(
        "a transfer names no owner and epoch",
        "transfer_allowed",
        lambda table, shard, source, epoch: True,
    ),
    Mutation("P1", "grants outlive the lease", ((RequestGate, "expires_ns", lambda _: 1 << 62),)),
    Mutation(
        "P2",
        "a lost answer counts as written",
        ((_recorder, "Appended", (Appended, OutcomeUnknown)),),
    ),
    Mutation(
        "P2",
        "settings appended where a record exists",
        ((_versioned_log.VersionedLog, "append", _append_unconditionally),),
    ),
    Mutation(
        "P2",
        "a row that is no entry of its position is not passed over",
        ((_log_follower.FleetFollower, "_decode", _decode_entries_only),),
    ),
    Mutation(
        "P3",
        "connection reused after a time-out",
        (
            (_exchange.Exchange, "abort", _keep_connection_for_reuse),
            (_exchange, "shut_down", lambda sock, how: sock.interrupt()),
        ),
    ),
    Mutation(
        "P4",
        "a missing answer is reported as not run",
        (
            (_attempt, "failure_of", _report_not_run),
            (_forward, "_final_refusal", _return_last_refusal),
        ),
    ),
    Mutation(
        "P4",
        "a missing answer is reported as not run, and the program does not check it",
        (
            (_attempt, "failure_of", _report_not_run),
            (_forward, "_final_refusal", _return_last_refusal),
            (AttemptLog, "check_reported_outcome", lambda self, outcome: None),
        ),
    ),
    Mutation(
        "P3",
        "an answer without the id of the request is relayed",
        ((_attempt, "find_refusal", _accept_without_id(200)),),
    ),
    Mutation(
        "P4",
        "not run counts without the id of the request",
        ((_attempt, "find_refusal", _accept_without_id(503)),),
    ),
    Mutation(
        "P4",
        "a request uses a connection again on which it was refused",
        ((_exchange.Exchange, "finish", _finish_without_refused_id),),
    ),
    Mutation("P5", "unknown outcome sent again", ((AttemptLog, "may_send", _ALWAYS_TRUE),)),
    Mutation("P5", "every method repeatable", ((RequestPolicy, "is_repeatable", lambda *_: True),)),
    Mutation("P6", "a drain does not stop admission", ((Mover, "admit", _admit_while_draining),)),
    Mutation("P6", "a drain moves no shards", ((Mover, "_release_all", lambda self, *_: None),)),
    Mutation(
        "P7",
        "shutdown does not wait",
        (
            (_http_server.HttpServer, "drain", lambda self, **_: True),
            (DataPath, "in_flight", property(lambda self: 0)),
        ),
    ),
    Mutation(
        "P8",
        "an older settings version is accepted",
        ((_log_follower.SettingsFollower, "offer", _accept_any_version),),
    ),
    Mutation(
        "P8",
        "a new recorder keeps its old poll time",
        ((Replica, "poll_due", _poll_on_schedule_only),),
    ),
    Mutation(
        "P8",
        "settings are not fetched from peers or the store",
        ((_log_follower.SettingsFollower, "offer", lambda self, version, data, now_ns=0: False),),
    ),
)


def find_violation(
    mutation: Mutation, sub_seeds: int = MAX_SUB_SEEDS
) -> tuple[RunResult | None, int]:
    """Searches for a run that detects a mutation.

    Args:
        mutation: The mutation.
        sub_seeds: Number of runs after which the search stops.

    Returns:
        The first run with a violation, None if there is none, and the number of simulated events.
    """
    steps = 0
    for sub_seed in range(1, sub_seeds + 1):
        with mutation.active():
            result = run_seed(sub_seed)
        steps += result.steps
        if result.guarantee:
            return result, steps
    return None, steps


@click.command()
@click.option(
    "--sub-seeds",
    default=MAX_SUB_SEEDS,
    help="Number of runs after which a mutation counts as not caught.",
)
@click.option(
    "--only", default="", help="Regular expression that selects mutations by guarantee and name."
)
def main(sub_seeds: int, only: str) -> None:
    """Prints the first run that detects each mutation; exit code 1 if one is not detected."""
    click.echo("| protects | mutation | violation seen | found by | sub-seed | steps | wall s |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- |")
    missed = []
    mutation_count = 0
    for mutation in MUTATIONS:
        if not re.search(only, f"{mutation.guarantee} {mutation.name}"):
            continue
        mutation_count += 1
        start_s = time.monotonic()
        result, steps = find_violation(mutation, sub_seeds)
        cells = [mutation.guarantee, mutation.name]
        if result is None:
            missed.append(mutation.name)
            cells += ["NOT CAUGHT", "", f"1 to {sub_seeds}"]
        else:
            cells += [result.guarantee, result.found_by, str(result.sub_seed)]
        cells += [str(steps), f"{time.monotonic() - start_s:.1f}"]
        click.echo(f"| {' | '.join(cells)} |")
    if missed:
        click.echo(f"soak-mutations: FAILED, not caught: {'; '.join(missed)}")
        sys.exit(1)
    click.echo(f"soak-mutations: ok mutations={mutation_count}")


if __name__ == "__main__":
    main()
