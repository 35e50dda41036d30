"""Admission to an upstream's slots."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from auburnsail._clock import NS_PER_MS
from auburnsail._limits import AdmissionQueue, Decision, Limits, Waiter, Work

FAR_NS = 10**12


class AdmissionQueueTest(unittest.TestCase):
    """Slots, queue and deadlines."""

    @given(
        st.lists(st.tuples(st.sampled_from(["offer", "finish", "tick"]), st.integers(0, 50))),
        st.integers(0, 4),
        st.integers(0, 3),
    )
    def test_slots_and_queue_are_never_exceeded(self, steps, slots, queue):
        """Guards against running more requests than slots and against an unbounded queue."""
        admission = AdmissionQueue(Limits(slots, 3, queue, 20.0))
        now_ns, waiting, running = 0, [], 0
        for step, milliseconds in steps:
            now_ns += milliseconds * NS_PER_MS
            if step == "offer":
                outcome = admission.offer(Work(now_ns + 30 * NS_PER_MS), now_ns)
                if isinstance(outcome, Waiter):
                    waiting.append(outcome)
                running += isinstance(outcome, Decision) and outcome.admitted
            elif step == "finish" and running:
                running -= 1
                admission.finish(milliseconds * NS_PER_MS, now_ns)
            else:
                admission.tick(now_ns)
            running += sum(1 for w in waiting if w.decision and w.decision.admitted)
            waiting = [w for w in waiting if w.decision is None]
            self.assertEqual(running, admission.in_flight)
            self.assertLessEqual(running, min(slots, 3))
            self.assertLessEqual(len(waiting), queue)
            self.assertEqual(len(waiting), admission.queued)
            if waiting:
                self.assertEqual(running, min(slots, 3), "a request waits beside a free slot")

    def test_earliest_deadline_runs_first(self):
        """Guards against a queue in arrival order, which lets urgent requests expire."""
        admission = AdmissionQueue(Limits(1, 1))
        admission.offer(Work(FAR_NS), 0)
        late = admission.offer(Work(FAR_NS), 0)
        early = admission.offer(Work(FAR_NS // 2), 0)
        self.assertEqual(admission.finish(NS_PER_MS, 0), [early])
        self.assertIsNone(late.decision)

    def test_wait_that_ends_at_an_arrival_is_reported(self):
        """Guards against a request that is never told that its wait has ended and hangs."""
        admission = AdmissionQueue(Limits(1, 1, 4, 10.0))
        admission.offer(Work(FAR_NS), 0)
        waiter = admission.offer(Work(FAR_NS), 0)
        admission.offer(Work(FAR_NS), 20 * NS_PER_MS)
        self.assertFalse(waiter.decision.admitted)
        self.assertEqual(admission.tick(20 * NS_PER_MS), [waiter])

    def test_hopeless_request_is_refused_on_arrival(self):
        """Guards against spending a slot on an answer that comes after its deadline."""
        admission = AdmissionQueue(Limits(1, 1))
        admission.offer(Work(FAR_NS), 0)
        admission.finish(100 * NS_PER_MS, 100 * NS_PER_MS)
        decision = admission.offer(Work(150 * NS_PER_MS), 100 * NS_PER_MS)
        self.assertEqual(decision.reason, "deadline")
