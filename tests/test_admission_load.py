"""Replays of the worst loads against the queue before an upstream's slots."""

import random
import unittest

from auburnsail._admission_queue import AdmissionQueue, Decision, Limits, Waiter, Work
from auburnsail._clock import NS_PER_MS
from tests.load_replay import LoadReplay

SLOTS = 12
LIMITS = Limits(SLOTS, 110, 1_000, 10_000)


class Replay(LoadReplay):
    """Arrivals with given service times."""

    def __init__(self, limits: Limits = LIMITS) -> None:
        super().__init__(0, limits, 0)
        self.results: dict[int, tuple[str, int]] = {}

    def arrive(self, number: int, ms: float, work_ms: float, work: Work) -> None:
        """Adds an arrival."""
        service_ns = int(work_ms * NS_PER_MS)

        def end(now_ns: int) -> None:
            self.results[number] = ("done", now_ns)
            self.finish(service_ns, now_ns, work.kind)

        def decided(decision: Decision, now_ns: int) -> None:
            if decision.admitted:
                self.at(now_ns + service_ns, end)
            else:
                self.results[number] = (decision.reason, now_ns)

        self.at(int(ms * NS_PER_MS), lambda now_ns: self.offer(work, now_ns, decided))


def overload(seed: int, with_objective: bool) -> tuple[int, int, float]:
    """Replays 1.6 times the capacity for 10 s.

    Returns:
        Answers in time, answers in all, and the mean wait of a refusal in ms.
    """
    rng = random.Random(seed)
    replay = Replay()
    arrivals: dict[int, float] = {}
    now_ms, number = 0.0, 0
    while now_ms < 10_000:
        now_ms += rng.expovariate(1.6 * SLOTS / 180)
        number += 1
        arrivals[number] = now_ms
        start_ns = int(now_ms * NS_PER_MS)
        wanted_ns = start_ns + 370 * NS_PER_MS if with_objective else 1 << 62
        work = Work(start_ns + 1_000 * NS_PER_MS, "browse", wanted_ns)
        replay.arrive(number, now_ms, rng.uniform(120, 240), work)
    replay.run()
    # What a long queue still holds at the end of the load is no gain in throughput.
    replay.results = {
        n: (r, at) for n, (r, at) in replay.results.items() if at <= 10_000 * NS_PER_MS
    }
    answers = {
        n: at / NS_PER_MS - arrivals[n] for n, (r, at) in replay.results.items() if r == "done"
    }
    refusals = [
        at / NS_PER_MS - arrivals[n] for n, (r, at) in replay.results.items() if r != "done"
    ]
    in_time = sum(wait <= 400 for wait in answers.values())
    return in_time, len(answers), sum(refusals) / max(1, len(refusals))


class OverloadTest(unittest.TestCase):
    """Loads beyond the slots."""

    def test_a_long_overload_is_answered_in_time_or_refused_at_once(self):
        """Guards against a queue in which every request waits until its answer is late."""
        for seed in range(5):
            in_time, answers, wait_ms = overload(seed, with_objective=True)
            late_in_time, late_answers, _ = overload(seed, with_objective=False)
            self.assertGreater(in_time, 0.9 * answers)
            self.assertGreater(in_time, 2 * late_in_time)
            self.assertGreater(answers, 0.95 * late_answers)
            self.assertLess(wait_ms, 50)

    def test_short_calls_pass_long_requests_and_are_not_judged_by_them(self):
        """Guards against refusing a call of 30 ms because other requests take 300 ms."""
        replay = Replay()
        for number in range(200):
            deadline_ns = (number * 40 + 1_200) * NS_PER_MS
            replay.arrive(number, number * 40, 400, Work(deadline_ns, "pledge"))
        calls = range(1_000, 1_200)
        for index, number in enumerate(calls):
            ms = 50 + index * 40
            replay.arrive(number, ms, 30, Work((ms + 400) * NS_PER_MS, "check"))
        replay.run()
        served = [number for number in calls if replay.results[number][0] == "done"]
        self.assertGreater(len(served), 0.98 * len(calls))

    def test_calls_beyond_the_slots_are_answered_soon_or_refused(self):
        """Guards against calls that all take their whole time limit while each of the requests that wait
        for them holds a slot of another upstream."""
        rng, slots, call_ms, objective_ms, limit_ms = random.Random(1), 6, 64, 349, 1_118
        replay = Replay(Limits(slots, 110, 1_000, 10_000))
        arrivals: dict[int, float] = {}
        now_ms = 0.0
        while now_ms < 10_000:
            now_ms += rng.expovariate(1.5 * slots / call_ms)
            arrivals[len(arrivals)] = now_ms
            start_ns = int(now_ms * NS_PER_MS)
            wanted_ns = start_ns + objective_ms * NS_PER_MS
            work = Work(start_ns + limit_ms * NS_PER_MS, "call", wanted_ns, is_subrequest=True)
            replay.arrive(len(arrivals) - 1, now_ms, rng.uniform(32, 96), work)
        replay.run()
        took_ms = [
            at / NS_PER_MS - arrivals[n] for n, (r, at) in replay.results.items() if r == "done"
        ]
        in_time = sum(ms <= objective_ms for ms in took_ms)
        # What the slots can do, less a tenth.
        self.assertGreater(in_time, 0.9 * 10_000 * slots / call_ms)
        self.assertLess(sum(took_ms) / len(took_ms), objective_ms)

    def test_a_waiter_without_a_slot_is_refused_while_the_refusal_can_still_arrive(self):
        """Guards against holding a request to its end while an upstream answers nothing."""
        queue = AdmissionQueue(LIMITS)
        for _ in range(SLOTS):
            queue.offer(Work(60_000 * NS_PER_MS, "browse"), 0)
        deadline_ns = 1_000 * NS_PER_MS
        waiter = queue.offer(Work(deadline_ns, "browse"), 0)
        self.assertEqual(queue.tick(900 * NS_PER_MS), [])
        self.assertEqual(queue.tick(950 * NS_PER_MS), [waiter])
        self.assertEqual(waiter.decision.reason, "deadline")

    def test_the_hint_of_a_refusal_is_when_there_is_room(self):
        """Guards against callers that all come back at once or long after there is room."""
        queue = AdmissionQueue(LIMITS)
        for _ in range(SLOTS):
            queue.offer(Work(1 << 60, "browse"), 0)
        queue.finish(180 * NS_PER_MS, 0, "browse")
        queue.offer(Work(1 << 60, "browse"), 0)
        wanted_ns = 370 * NS_PER_MS
        refusal = None
        for _ in range(200):
            outcome = queue.offer(Work(1_000 * NS_PER_MS, "browse", wanted_ns), 0)
            if isinstance(outcome, Decision):
                refusal = outcome
                break
        self.assertEqual(refusal.reason, "deadline")
        self.assertLess(refusal.retry_after_ms, 100)
        # One that has come back may use all of its time.
        self.assertIsInstance(queue.offer(Work(1_000 * NS_PER_MS, "browse"), 0), Waiter)


if __name__ == "__main__":
    unittest.main()
