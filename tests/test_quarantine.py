"""Quarantine of requests that crash the upstreams that run them."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnsail._clock import NS_PER_MS
from auburnsail._quarantine import Quarantine, QuarantineLimits, Treatment, fingerprint

MAX_CRASHES = 2


class QuarantineTest(unittest.TestCase):
    """Nodes that send each other crash notices."""

    @settings(max_examples=200)
    @given(st.integers(0, 2**32), st.integers(1, 6))
    def test_poison_request_is_identified_and_others_are_not_refused(self, seed, harmless_count):
        """Guards against a third crash by one request, and against refusing harmless requests."""
        rng = random.Random(seed)
        nodes = [Quarantine(QuarantineLimits()) for _ in range(4)]
        poison = fingerprint("POST", "/pledge/poison", b"x")
        harmless = [fingerprint("GET", f"/pledge/{n}", b"") for n in range(harmless_count)]
        crash_count = 0
        for attempt in range(8):
            node = rng.choice(nodes)
            # After a crash all requests are retried, in random order.
            waiting = rng.sample([*harmless, poison], harmless_count + 1)
            running = []
            while waiting:
                digest = waiting.pop(0)
                if node.treatment(digest, attempt) is Treatment.REFUSED:
                    self.assertEqual(digest, poison, "a harmless request was refused")
                    continue
                if not node.may_start(digest, attempt):
                    ended = next(m for m in running if m is not digest)
                    running.remove(ended)
                    node.record_end(ended, completed=True)
                    waiting.append(digest)
                    continue
                node.record_start(digest)
                running.append(digest)
                if digest == poison:
                    crash_count += 1
                    notice = node.record_crash(f"crash-{attempt}", attempt)
                    for other in nodes:
                        other.merge(notice, attempt)
                    break
            for digest in running:
                node.record_end(digest, completed=digest != poison and poison not in running)
        self.assertLessEqual(crash_count, MAX_CRASHES)

    def test_a_node_that_starts_later_refuses_what_crashed_others(self):
        """Guards against BUDGET: a restarted node let a known request crash its upstream again."""
        quarantine, digest, harmless = Quarantine(QuarantineLimits(expiry_s=1)), b"d", b"h"
        for request in (digest, harmless):
            quarantine.record_start(request)
        quarantine.record_crash("0", 100 * NS_PER_MS)
        for request in (digest, harmless):
            quarantine.record_end(request, completed=False)
        quarantine.record_start(harmless)
        quarantine.record_end(harmless, completed=True)
        quarantine.record_start(digest)
        quarantine.record_crash("1", 100 * NS_PER_MS)
        started = Quarantine(QuarantineLimits(expiry_s=1))
        for notice in quarantine.notices(600 * NS_PER_MS):
            self.assertTrue(started.merge(notice, 600 * NS_PER_MS))
        self.assertIs(started.treatment(digest, 601 * NS_PER_MS), Treatment.REFUSED)
        self.assertIs(started.treatment(harmless, 601 * NS_PER_MS), Treatment.NORMAL)
        # It expires with the entries of the other nodes, however often nodes are restarted.
        self.assertIs(started.treatment(digest, 1_101 * NS_PER_MS), Treatment.NORMAL)
        self.assertEqual(quarantine.notices(1_101 * NS_PER_MS), [])

    def test_quarantine_expires(self):
        """Guards against refusing a request permanently."""
        quarantine = Quarantine(QuarantineLimits(expiry_s=1))
        digest = fingerprint("GET", "/a", b"")
        for number in range(2):
            quarantine.record_start(digest)
            quarantine.record_crash(str(number), 0)
            quarantine.record_end(digest, completed=False)
        self.assertIs(quarantine.treatment(digest, 10**9 - 1), Treatment.REFUSED)
        self.assertIs(quarantine.treatment(digest, 10**9), Treatment.NORMAL)

    def test_repeated_notice_counts_once(self):
        """Guards against counting a crash twice because its datagram was duplicated."""
        quarantine = Quarantine(QuarantineLimits())
        digest = fingerprint("GET", "/a", b"")
        quarantine.record_start(digest)
        notice = quarantine.record_crash("one", 0)
        self.assertFalse(quarantine.merge(notice, 0))
        self.assertIs(quarantine.treatment(digest, 1), Treatment.ISOLATED)
