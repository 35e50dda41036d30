"""Overload of the admission queue in virtual time."""

import random
import unittest

from auburnsail._admission_queue import AdmissionQueue, AdmissionRequest, Decision, Limits, Waiter
from auburnsail._clock import NS_PER_MS
from tests.load_replay import LoadReplay

SLOTS = 12
LIMITS = Limits(SLOTS, 110, 1_000, 10_000)


class Replay(LoadReplay):
    """Replay of arrivals with given service times."""

    def __init__(self, limits: Limits = LIMITS) -> None:
        super().__init__(0, limits, 0)
        self.results: dict[int, tuple[str, int]] = {}

    def arrive(self, number: int, ms: float, service_ms: float, request: AdmissionRequest) -> None:
        """Schedules the arrival of a request at `ms` with a service time of `service_ms`."""
        service_ns = int(service_ms * NS_PER_MS)

        def complete(now_ns: int) -> None:
            self.results[number] = ("done", now_ns)
            self.finish(service_ns, now_ns, request.kind)

        def on_decision(decision: Decision, now_ns: int) -> None:
            if decision.admitted:
                self.schedule(now_ns + service_ns, complete)
            else:
                self.results[number] = (decision.reason, now_ns)

        self.schedule(int(ms * NS_PER_MS), lambda now_ns: self.offer(request, now_ns, on_decision))


def overload(seed: int, with_objective: bool) -> tuple[int, int, float]:
    """Replays an overload of 1.6 times the capacity for 10 s.

    Returns:
        Answers in time, all answers, and the mean wait before a refusal in milliseconds.
    """
    rng = random.Random(seed)
    replay = Replay()
    arrivals_ms: dict[int, float] = {}
    now_ms, number = 0.0, 0
    while now_ms < 10_000:
        now_ms += rng.expovariate(1.6 * SLOTS / 180)
        number += 1
        arrivals_ms[number] = now_ms
        start_ns = int(now_ms * NS_PER_MS)
        soft_deadline_ns = start_ns + 370 * NS_PER_MS if with_objective else 1 << 62
        request = AdmissionRequest(start_ns + 1_000 * NS_PER_MS, "browse", soft_deadline_ns)
        replay.arrive(number, now_ms, rng.uniform(120, 240), request)
    replay.run()
    # Requests that a long queue still holds at the end of the load don't count as throughput.
    replay.results = {
        n: (result, end_ns)
        for n, (result, end_ns) in replay.results.items()
        if end_ns <= 10_000 * NS_PER_MS
    }
    latencies_ms = {
        n: end_ns / NS_PER_MS - arrivals_ms[n]
        for n, (result, end_ns) in replay.results.items()
        if result == "done"
    }
    refusal_waits_ms = [
        end_ns / NS_PER_MS - arrivals_ms[n]
        for n, (result, end_ns) in replay.results.items()
        if result != "done"
    ]
    in_time = sum(ms <= 400 for ms in latencies_ms.values())
    return in_time, len(latencies_ms), sum(refusal_waits_ms) / max(1, len(refusal_waits_ms))


class OverloadTest(unittest.TestCase):
    """Arrivals beyond the capacity of the slots, in which some requests must be refused."""

    def test_a_long_overload_is_answered_in_time_or_refused_at_once(self):
        """Guards against a queue that delays every request until its answer is late."""
        for seed in range(5):
            in_time, answers, refusal_wait_ms = overload(seed, with_objective=True)
            baseline_in_time, baseline_answers, _ = overload(seed, with_objective=False)
            self.assertGreater(in_time, 0.9 * answers)
            self.assertGreater(in_time, 2 * baseline_in_time)
            self.assertGreater(answers, 0.95 * baseline_answers)
            self.assertLess(refusal_wait_ms, 50)

    def test_short_calls_overtake_long_requests_and_have_their_own_service_time(self):
        """Guards against refusing a call of 30 ms because requests of other kinds take 400 ms."""
        replay = Replay()
        for number in range(200):
            deadline_ns = (number * 40 + 1_200) * NS_PER_MS
            replay.arrive(number, number * 40, 400, AdmissionRequest(deadline_ns, "pledge"))
        calls = range(1_000, 1_200)
        for index, number in enumerate(calls):
            ms = 50 + index * 40
            replay.arrive(number, ms, 30, AdmissionRequest((ms + 400) * NS_PER_MS, "check"))
        replay.run()
        served = [number for number in calls if replay.results[number][0] == "done"]
        self.assertGreater(len(served), 0.98 * len(calls))

    def test_calls_beyond_the_capacity_are_answered_in_time_or_refused(self):
        """Guards against calls that wait until their deadline.

        Each request that made such a call holds a slot of another upstream meanwhile.
        """
        rng, slots, call_ms, objective_ms, deadline_limit_ms = random.Random(1), 6, 64, 349, 1_118
        replay = Replay(Limits(slots, 110, 1_000, 10_000))
        arrivals_ms: dict[int, float] = {}
        now_ms = 0.0
        while now_ms < 10_000:
            now_ms += rng.expovariate(1.5 * slots / call_ms)
            arrivals_ms[len(arrivals_ms)] = now_ms
            start_ns = int(now_ms * NS_PER_MS)
            soft_deadline_ns = start_ns + objective_ms * NS_PER_MS
            request = AdmissionRequest(
                start_ns + deadline_limit_ms * NS_PER_MS,
                "call",
                soft_deadline_ns,
                is_subrequest=True,
            )
            replay.arrive(len(arrivals_ms) - 1, now_ms, rng.uniform(32, 96), request)
        replay.run()
        latencies_ms = [
            end_ns / NS_PER_MS - arrivals_ms[n]
            for n, (result, end_ns) in replay.results.items()
            if result == "done"
        ]
        in_time = sum(ms <= objective_ms for ms in latencies_ms)
        # 90 % of the capacity of the slots.
        self.assertGreater(in_time, 0.9 * 10_000 * slots / call_ms)
        self.assertLess(sum(latencies_ms) / len(latencies_ms), objective_ms)

    def test_a_waiter_is_refused_early_enough_for_the_refusal_to_arrive(self):
        """Guards against keeping a request until its deadline while the upstream hangs."""
        queue = AdmissionQueue(LIMITS)
        for _ in range(SLOTS):
            queue.offer(AdmissionRequest(60_000 * NS_PER_MS, "browse"), 0)
        deadline_ns = 1_000 * NS_PER_MS
        waiter = queue.offer(AdmissionRequest(deadline_ns, "browse"), 0)
        self.assertEqual(queue.tick(900 * NS_PER_MS), [])
        self.assertEqual(queue.tick(950 * NS_PER_MS), [waiter])
        self.assertEqual(waiter.decision.reason, "deadline")

    def test_retry_hint_is_the_expected_time_until_there_is_capacity(self):
        """Guards against callers that all retry at once, or long after there is capacity."""
        queue = AdmissionQueue(LIMITS)
        for _ in range(SLOTS):
            queue.offer(AdmissionRequest(1 << 60, "browse"), 0)
        queue.finish(180 * NS_PER_MS, 0, "browse")
        queue.offer(AdmissionRequest(1 << 60, "browse"), 0)
        soft_deadline_ns = 370 * NS_PER_MS
        refusal = None
        for _ in range(200):
            outcome = queue.offer(
                AdmissionRequest(1_000 * NS_PER_MS, "browse", soft_deadline_ns), 0
            )
            if isinstance(outcome, Decision):
                refusal = outcome
                break
        self.assertEqual(refusal.reason, "deadline")
        self.assertLess(refusal.retry_after_ms, 100)
        # Without an objective, a request may wait until its deadline.
        self.assertIsInstance(queue.offer(AdmissionRequest(1_000 * NS_PER_MS, "browse"), 0), Waiter)


if __name__ == "__main__":
    unittest.main()
