"""Long overload of the admission queue in virtual time; each refused caller retries once."""

import math
import unittest

from auburnsail._admission_queue import AdmissionQueue, AdmissionRequest, Decision, Limits
from auburnsail._clock import NS_PER_MS
from tests.load_replay import LoadReplay

DURATION_MS = 20_000
# Relative amplitude of the arrival rate, which varies as a sine wave.
WAVE_AMPLITUDE = 0.15
WAVE_PERIOD_MS = 3_700
OBJECTIVE_MS = 400
DEADLINE_MS = 1_500
SERVICE_MS = 170
# Objective less the time that the answer takes to the caller.
SOFT_DEADLINE_MS = 370
# A refusal after a longer wait is late: the caller could have tried elsewhere meanwhile.
LONG_WAIT_MS = 100


class Overload(LoadReplay):
    """Callers that overload one upstream and retry once after a refusal.

    Args:
        seed: Seed of arrivals and service times.
        load: Offered load as a multiple of the capacity.
        slots: Slots of the upstream.
    """

    def __init__(self, seed: int, load: float, slots: int = 6) -> None:
        super().__init__(seed, Limits(slots, 130, 1_000, 10_000), DURATION_MS)
        rate_per_ms = load * slots / SERVICE_MS
        self.schedule_arrivals(
            lambda ms: rate_per_ms
            * (1 + WAVE_AMPLITUDE * math.sin(2 * math.pi * ms / WAVE_PERIOD_MS)),
            lambda now: self._arrive(now, now, False),
        )

    def _arrive(self, now_ns: int, first_ns: int, is_caller_retry: bool) -> None:
        self.counts["callers"] += not is_caller_retry
        soft_deadline_ns = first_ns + SOFT_DEADLINE_MS * NS_PER_MS
        request = AdmissionRequest(
            first_ns + DEADLINE_MS * NS_PER_MS, "browse", soft_deadline_ns, is_caller_retry
        )
        self.offer(
            request, now_ns, lambda d, now: self._decide(d, now, first_ns, is_caller_retry, now_ns)
        )

    def _decide(
        self, decision: Decision, now_ns: int, first_ns: int, is_caller_retry: bool, arrived_ns: int
    ) -> None:
        if decision.admitted:
            service_ns = int(self.rng.gammavariate(4, SERVICE_MS / 4) * NS_PER_MS)
            self.schedule(
                now_ns + service_ns, lambda now: self._complete(now, first_ns, service_ns)
            )
            return
        self.counts["refused late"] += now_ns - arrived_ns > LONG_WAIT_MS * NS_PER_MS
        if is_caller_retry:
            self.counts["refused again"] += 1
            return
        remaining_ns = first_ns + DEADLINE_MS * NS_PER_MS - now_ns
        wait_ns = min(decision.retry_after_ms * NS_PER_MS, remaining_ns // 3)
        self.schedule(now_ns + wait_ns, lambda now: self._arrive(now, first_ns, True))

    def _complete(self, now_ns: int, first_ns: int, service_ns: int) -> None:
        self.counts["in time" if now_ns - first_ns <= OBJECTIVE_MS * NS_PER_MS else "late"] += 1
        self.finish(service_ns, now_ns, "browse")


class CallerRetryTest(unittest.TestCase):
    """Overload for many times the length of a deadline."""

    def test_slots_go_to_answers_in_time_and_not_to_late_answers_of_retrying_callers(self):
        """Guards against a queue full of retrying callers that makes every answer late."""
        for load in (1.1, 1.3, 1.6):
            for seed in range(3):
                overload = Overload(seed, load)
                overload.run()
                counts = overload.counts
                # 1 / load is the part that the slots can serve; the margins allow for waves and
                # long requests.
                self.assertGreater(counts["in time"], 0.75 / load * counts["callers"])
                self.assertGreater(
                    counts["in time"] + counts["late"], 0.9 / load * counts["callers"]
                )

    def test_a_retrying_caller_without_a_chance_is_refused_on_arrival(self):
        """Guards against queueing a retrying caller until shortly before its deadline."""
        for seed in range(3):
            overload = Overload(seed, 1.3)
            overload.run()
            self.assertLess(overload.counts["refused late"], 0.03 * overload.counts["callers"])

    def test_a_retrying_caller_waits_behind_subrequests_and_requests_in_time(self):
        """Guards against late requests that delay requests which can still be in time."""
        queue = AdmissionQueue(Limits(1, 10, 100, 10_000))
        queue.offer(AdmissionRequest(1 << 60), 0)
        queue.finish(20 * NS_PER_MS, 0)
        queue.offer(AdmissionRequest(1 << 60), 0)
        deadline_ns = 1_000 * NS_PER_MS
        late = queue.offer(
            AdmissionRequest(deadline_ns, soft_deadline_ns=1, is_caller_retry=True), 0
        )
        first_attempt = queue.offer(
            AdmissionRequest(deadline_ns, soft_deadline_ns=400 * NS_PER_MS), 0
        )
        subrequest = queue.offer(AdmissionRequest(2 * deadline_ns, is_subrequest=True), 0)
        order = [waiter for _ in range(3) for waiter in queue.finish(None, 0)]
        self.assertEqual(order, [subrequest, first_attempt, late])


if __name__ == "__main__":
    unittest.main()
