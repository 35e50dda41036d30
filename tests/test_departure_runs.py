"""Random runs of one node beside an upstream: restarts, late reports, departures, store outages."""

import random
import unittest
from unittest import mock

from auburnsail import _local_upstream
from auburnsail._clock import NS_PER_MS
from auburnsail._control import Announcement
from auburnsail._model import Leave
from tests.simulated_node import (
    REPORT_INTERVAL_MS,
    SERVICE,
    SHARDS,
    STOP_WORK_MS,
    TICK_MS,
    SimulatedNode,
    SimulatedUpstream,
)

RUNS = 150
RUN_MS = 25_000
AWAY_MS = 10**9


class DepartureRun:
    """One run; raises AssertionError if a rule is broken.

    A departure that is not in the log when the node is killed is not checked any further: the store
    was away when it was acknowledged, or the log did not know the lifetime yet.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._node = SimulatedNode(keyed=self._rng.random() < 0.7, append_ms=self._append_ms())
        self._node.open_with_all_keys()
        self._born_ms = 1000
        self._others = 0
        self._departed_ns: int | None = None
        self._is_down = False
        self._up_again_ns = 0
        self._next_report_ns = 0
        self._late: list[tuple[int, Announcement]] = []
        self._is_gone = False

    def run(self) -> None:
        """Runs for `RUN_MS`."""
        node, clock = self._node, self._node.clock
        end_ns = clock.now_ns() + RUN_MS * NS_PER_MS
        with mock.patch.object(
            _local_upstream, "accepts_connections", lambda address: not self._is_gone
        ):
            while clock.now_ns() < end_ns:
                if self._is_down:
                    clock.advance_ms(TICK_MS)
                    self._start_again()
                else:
                    node.tick()
                    self._check()
                    self._deliver()
                    self._act()

    def _append_ms(self) -> int:
        return self._rng.choice((10, 60, 200))

    def _check(self) -> None:
        node = self._node
        if not self._is_gone:
            node.check_owners()
        if self._departed_ns is None:
            return
        left_ms = (node.clock.now_ns() - self._departed_ns) // NS_PER_MS
        if left_ms >= STOP_WORK_MS and node.may_be_used():
            raise AssertionError(f"used {left_ms} ms after its departure was acknowledged")

    def _act(self) -> None:
        node, rng = self._node, self._rng
        chance = rng.random()
        if chance < 0.004:
            self._kill()
        elif chance < 0.009:
            self._depart()
        elif chance < 0.012:
            self._restart_upstream()
        elif chance < 0.014:
            self._is_gone = True
            node.upstream.on_failed_attempt()
        elif chance < 0.022:
            self._change_others()
        elif chance < 0.030:
            is_away = node.membership.proposals.append_ms == AWAY_MS
            node.membership.proposals.append_ms = self._append_ms() if is_away else AWAY_MS
            if is_away:
                node.membership.proposals.repeat_pending()
        elif chance < 0.036:
            self._move_keys()

    def _kill(self) -> None:
        node = self._node
        if not self._is_logged():
            self._departed_ns = None
        self._is_down = True
        self._up_again_ns = node.clock.now_ns() + self._rng.randrange(100, 2_000) * NS_PER_MS

    def _logs_lifetime(self) -> bool:
        return self._node.own_row.session.lifetime == f"i-n@{self._born_ms}"

    def _is_logged(self) -> bool:
        return self._logs_lifetime() and self._node.own_row.session.is_leaving

    def _start_again(self) -> None:
        if self._node.clock.now_ns() >= self._up_again_ns:
            self._is_down = False
            self._node.start_process()

    def _depart(self) -> None:
        node, upstream = self._node, self._node.simulated_upstream
        if self._is_gone or upstream.state == "draining":
            return
        if self._rng.random() < 0.5:
            upstream.state = "draining"
            node.receive(upstream.report(), answered=False)
            is_known = True
        else:
            announcement = node.upstream.announcement
            is_known = announcement is not None and announcement.born_ms == self._born_ms
            born_ms = self._rng.choice((0, self._born_ms))
            node.upstream.on_deregistration("i-n", born_ms, "it ends")
            # Without its start, only the latest lifetime that the node knows can be meant.
            is_known = is_known or bool(born_ms)
        if is_known:
            self._departed_ns = node.clock.now_ns()
            node.acknowledge_departure()
            is_away = node.membership.proposals.append_ms == AWAY_MS
            if not is_away and not self._is_logged() and self._logs_lifetime():
                raise AssertionError("acknowledged, and not in the log although the store is up")

    def _restart_upstream(self) -> None:
        self._is_gone, self._departed_ns = False, None
        self._born_ms += 1000
        self._node.simulated_upstream = SimulatedUpstream(self._node.clock, self._born_ms)

    def _change_others(self) -> None:
        node = self._node
        others = [name for name in node.fleet.by_node if name != "n"]
        if others and self._rng.random() < 0.4:
            row = node.fleet.by_node[self._rng.choice(others)]
            node.apply(Leave(f"leave:{row.session.id}", row.session.id))
        else:
            self._others += 1
            node.add_session(f"m{self._others}")

    def _move_keys(self) -> None:
        node = self._node
        targets = [row for row in node.fleet.members_of(SERVICE) if row.session.id.node != "n"]
        if targets and node.membership.own_id is not None and not node.mover.drain_reason:
            shards = self._rng.sample(range(SHARDS), 3)
            target = self._rng.choice(targets).session.id
            node.mover.move(SERVICE, shards, target, node.clock.now_ns())

    def _deliver(self) -> None:
        node, rng, now_ns = self._node, self._rng, self._node.clock.now_ns()
        for due_ns, report in list(self._late):
            if due_ns <= now_ns:
                self._late.remove((due_ns, report))
                node.receive(report, answered=False)
        if self._is_gone or now_ns < self._next_report_ns:
            return
        self._next_report_ns = now_ns + REPORT_INTERVAL_MS * NS_PER_MS
        report = node.simulated_upstream.report()
        if rng.random() < 0.15:
            late_ms = rng.randrange(100, 3_000)
            self._late.append((now_ns + late_ms * NS_PER_MS, report))
        else:
            node.receive(report, answered=rng.random() < 0.9)


class DepartureRunsTest(unittest.TestCase):
    """Seeded runs; a failing seed is a finding."""

    def test_rules_hold_in_random_runs(self):
        """Guards against OWNER and DRAIN when several disturbances meet."""
        for seed in range(RUNS):
            with self.subTest(seed=seed):
                DepartureRun(seed).run()


if __name__ == "__main__":
    unittest.main()
