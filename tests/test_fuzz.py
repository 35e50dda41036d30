"""A short seeded run of the mutated inputs; `make fuzz` runs longer ones."""

import unittest

from tools.fuzz import TARGETS, run_round
from tools.fuzz_nodes import run_fleet

ROUNDS = 2_000
FLEET_S = 4.0


class FuzzTest(unittest.TestCase):
    """Decoders at the border with mutated input."""

    def test_no_input_raises_an_unexpected_error(self):
        """Guards against an input that ends the work of the part that reads it."""
        outcomes = [(seed, *run_round(seed)) for seed in range(ROUNDS)]
        self.assertEqual([outcome for outcome in outcomes if outcome[2] is not None], [])
        self.assertEqual(len({name for _, name, _ in outcomes}), len(TARGETS))

    def test_whole_nodes_go_on_beside_odd_entries(self):
        """Guards against a process that ends, stops following the log or serves no more.

        Another writer leaves rows, checkpoints, announcements, datagrams and bytes.
        """
        counts, findings = run_fleet(1, FLEET_S)
        self.assertEqual(findings, [])
        self.assertGreater(counts["write_row"], 0)


if __name__ == "__main__":
    unittest.main()
