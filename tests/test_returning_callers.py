"""Replays a long overload whose refused callers come back once, against the queue before the slots."""

import math
import unittest

from auburnsail._admission_queue import AdmissionQueue, Decision, Limits, Work
from auburnsail._clock import NS_PER_MS
from tests.load_replay import LoadReplay

LENGTH_MS = 20_000
# The rate swings by this share, as callers come in waves.
SWING = 0.15
WAVE_MS = 3_700
OBJECTIVE_MS = 400
TIME_LIMIT_MS = 1_500
SERVICE_MS = 170
# What the way of the answer leaves of the objective.
WANTED_MS = 370
# A wait beyond this before a refusal is one that the caller could have spent elsewhere.
LONG_WAIT_MS = 100


class Overload(LoadReplay):
    """Callers of one service with few slots.

    Args:
        seed: Seed of arrivals and service times.
        load: Arriving work as a share of the slots.
        slots: Slots of the upstream.
    """

    def __init__(self, seed: int, load: float, slots: int = 6) -> None:
        super().__init__(seed, Limits(slots, 130, 1_000, 10_000), LENGTH_MS)
        rate_per_ms = load * slots / SERVICE_MS
        self.arrivals(
            lambda ms: rate_per_ms * (1 + SWING * math.sin(2 * math.pi * ms / WAVE_MS)),
            lambda now: self._arrive(now, now, False),
        )

    def _arrive(self, now_ns: int, first_ns: int, is_caller_retry: bool) -> None:
        self.count["asked"] += not is_caller_retry
        wanted_ns = first_ns + WANTED_MS * NS_PER_MS
        work = Work(first_ns + TIME_LIMIT_MS * NS_PER_MS, "browse", wanted_ns, is_caller_retry)
        self.offer(
            work, now_ns, lambda d, now: self._decide(d, now, first_ns, is_caller_retry, now_ns)
        )

    def _decide(
        self, decision: Decision, now_ns: int, first_ns: int, is_caller_retry: bool, since_ns: int
    ) -> None:
        if decision.admitted:
            service_ns = int(self.rng.gammavariate(4, SERVICE_MS / 4) * NS_PER_MS)
            self.at(now_ns + service_ns, lambda now: self._end(now, first_ns, service_ns))
            return
        self.count["refused late"] += now_ns - since_ns > LONG_WAIT_MS * NS_PER_MS
        if is_caller_retry:
            self.count["refused again"] += 1
            return
        left_ns = first_ns + TIME_LIMIT_MS * NS_PER_MS - now_ns
        wait_ns = min(decision.retry_after_ms * NS_PER_MS, left_ns // 3)
        self.at(now_ns + wait_ns, lambda now: self._arrive(now, first_ns, True))

    def _end(self, now_ns: int, first_ns: int, service_ns: int) -> None:
        self.count["in time" if now_ns - first_ns <= OBJECTIVE_MS * NS_PER_MS else "late"] += 1
        self.finish(service_ns, now_ns, "browse")


class ReturningCallersTest(unittest.TestCase):
    """Loads beyond the slots for many times the time limit."""

    def test_slots_go_to_answers_in_time_and_not_to_late_ones_of_returning_callers(self):
        """Guards against a queue of returning callers behind which every answer is late."""
        for load in (1.1, 1.3, 1.6):
            for seed in range(3):
                overload = Overload(seed, load)
                overload.run()
                count = overload.count
                # What the slots can do, less a tenth for waves and long requests.
                self.assertGreater(count["in time"], 0.75 / load * count["asked"])
                self.assertGreater(count["in time"] + count["late"], 0.9 / load * count["asked"])

    def test_a_returning_caller_that_would_wait_in_vain_is_refused_at_once(self):
        """Guards against holding a caller that has come back and refusing it at its end."""
        for seed in range(3):
            overload = Overload(seed, 1.3)
            overload.run()
            self.assertLess(overload.count["refused late"], 0.03 * overload.count["asked"])

    def test_a_returning_caller_waits_behind_calls_and_requests_in_time(self):
        """Guards against late answers that make others late."""
        queue = AdmissionQueue(Limits(1, 10, 100, 10_000))
        queue.offer(Work(1 << 60), 0)
        queue.finish(20 * NS_PER_MS, 0)
        queue.offer(Work(1 << 60), 0)
        deadline_ns = 1_000 * NS_PER_MS
        late = queue.offer(Work(deadline_ns, wanted_ns=1, is_caller_retry=True), 0)
        fresh = queue.offer(Work(deadline_ns, wanted_ns=400 * NS_PER_MS), 0)
        call = queue.offer(Work(2 * deadline_ns, is_subrequest=True), 0)
        order = [waiter for _ in range(3) for waiter in queue.finish(None, 0)]
        self.assertEqual(order, [call, fresh, late])


if __name__ == "__main__":
    unittest.main()
