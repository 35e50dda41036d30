"""Decisions of the admission queue."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from auburnsail._clock import NS_PER_MS
from auburnsail._limits import AdmissionQueue, AdmissionRequest, Decision, Limits, Waiter

FAR_FUTURE_NS = 10**12


class AdmissionQueueTest(unittest.TestCase):
    """Limits of slots and queue, and deadlines."""

    @given(
        st.lists(st.tuples(st.sampled_from(["offer", "finish", "tick"]), st.integers(0, 50))),
        st.integers(0, 4),
        st.integers(0, 3),
    )
    def test_slots_and_queue_are_never_exceeded(self, steps, slots, max_queued):
        """Guards against exceeding the limits of slots and connections, and an unbounded queue."""
        admission = AdmissionQueue(Limits(slots, 3, max_queued, 20.0))
        now_ns, waiting, running = 0, [], 0
        for step, elapsed_ms in steps:
            now_ns += elapsed_ms * NS_PER_MS
            if step == "offer":
                outcome = admission.offer(AdmissionRequest(now_ns + 30 * NS_PER_MS), now_ns)
                if isinstance(outcome, Waiter):
                    waiting.append(outcome)
                running += isinstance(outcome, Decision) and outcome.admitted
            elif step == "finish" and running:
                running -= 1
                admission.finish(elapsed_ms * NS_PER_MS, now_ns)
            else:
                admission.tick(now_ns)
            running += sum(1 for w in waiting if w.decision and w.decision.admitted)
            waiting = [w for w in waiting if w.decision is None]
            self.assertEqual(running, admission.in_flight)
            self.assertLessEqual(running, min(slots, 3))
            self.assertLessEqual(len(waiting), max_queued)
            self.assertEqual(len(waiting), admission.queued)
            if waiting:
                self.assertEqual(running, min(slots, 3), "a request waits although a slot is free")

    def test_earliest_deadline_runs_first(self):
        """Guards against a queue in order of arrival, in which urgent requests expire."""
        admission = AdmissionQueue(Limits(1, 1))
        admission.offer(AdmissionRequest(FAR_FUTURE_NS), 0)
        late = admission.offer(AdmissionRequest(FAR_FUTURE_NS), 0)
        early = admission.offer(AdmissionRequest(FAR_FUTURE_NS // 2), 0)
        self.assertEqual(admission.finish(NS_PER_MS, 0), [early])
        self.assertIsNone(late.decision)

    def test_waiter_that_expires_during_an_offer_is_reported(self):
        """Guards against a request that hangs because its expiry in `offer` is not reported."""
        admission = AdmissionQueue(Limits(1, 1, 4, 10.0))
        admission.offer(AdmissionRequest(FAR_FUTURE_NS), 0)
        waiter = admission.offer(AdmissionRequest(FAR_FUTURE_NS), 0)
        admission.offer(AdmissionRequest(FAR_FUTURE_NS), 20 * NS_PER_MS)
        self.assertFalse(waiter.decision.admitted)
        self.assertEqual(admission.tick(20 * NS_PER_MS), [waiter])

    def test_request_that_cannot_meet_its_deadline_is_refused_on_arrival(self):
        """Guards against using a slot for an answer that would arrive after its deadline."""
        admission = AdmissionQueue(Limits(1, 1))
        admission.offer(AdmissionRequest(FAR_FUTURE_NS), 0)
        admission.finish(100 * NS_PER_MS, 100 * NS_PER_MS)
        decision = admission.offer(AdmissionRequest(150 * NS_PER_MS), 100 * NS_PER_MS)
        self.assertEqual(decision.reason, "deadline")
