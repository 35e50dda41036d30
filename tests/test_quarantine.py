"""Quarantine of requests that crash upstreams."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnsail._quarantine import Quarantine, QuarantineLimits, Treatment, fingerprint

MAX_UPSTREAMS_LOST = 2


class QuarantineTest(unittest.TestCase):
    """Two nodes that tell each other of crashes."""

    @settings(max_examples=200)
    @given(st.integers(0, 2**32), st.integers(1, 6))
    def test_poison_is_found_and_innocents_are_not_refused(self, seed, innocents):
        """Guards against losing a third upstream and against refusing bystanders."""
        rng = random.Random(seed)
        nodes = [Quarantine(QuarantineLimits()) for _ in range(4)]
        poison = fingerprint("POST", "/pledge/poison", b"x")
        others = [fingerprint("GET", f"/pledge/{n}", b"") for n in range(innocents)]
        lost = 0
        for attempt in range(8):
            node = rng.choice(nodes)
            # All requests are sent again after a crash, the innocent ones in any order.
            waiting = rng.sample([*others, poison], innocents + 1)
            running = []
            while waiting:
                digest = waiting.pop(0)
                if node.treatment(digest, attempt) is Treatment.REFUSED:
                    self.assertEqual(digest, poison, "an innocent request was refused")
                    continue
                if not node.may_start(digest, attempt):
                    done = next(m for m in running if m is not digest)
                    running.remove(done)
                    node.record_end(done, completed=True)
                    waiting.append(digest)
                    continue
                node.record_start(digest)
                running.append(digest)
                if digest == poison:
                    lost += 1
                    notice = node.record_crash(f"crash-{attempt}", attempt)
                    for other in nodes:
                        other.merge(notice, attempt)
                    break
            for digest in running:
                node.record_end(digest, completed=digest != poison and poison not in running)
        self.assertLessEqual(lost, MAX_UPSTREAMS_LOST)

    def test_quarantine_ends(self):
        """Guards against refusing a request forever."""
        quarantine = Quarantine(QuarantineLimits(expiry_s=1))
        digest = fingerprint("GET", "/a", b"")
        for number in range(2):
            quarantine.record_start(digest)
            quarantine.record_crash(str(number), 0)
            quarantine.record_end(digest, completed=False)
        self.assertIs(quarantine.treatment(digest, 10**9 - 1), Treatment.REFUSED)
        self.assertIs(quarantine.treatment(digest, 10**9), Treatment.NORMAL)

    def test_repeated_notice_counts_once(self):
        """Guards against a duplicated datagram raising the crash count."""
        quarantine = Quarantine(QuarantineLimits())
        digest = fingerprint("GET", "/a", b"")
        quarantine.record_start(digest)
        notice = quarantine.record_crash("one", 0)
        self.assertFalse(quarantine.merge(notice, 0))
        self.assertIs(quarantine.treatment(digest, 1), Treatment.ISOLATED)
