"""A short seeded run of the mutated inputs; `make fuzz` runs longer ones."""

import unittest

from tools.fuzz import TARGETS, run_round

ROUNDS = 2_000


class FuzzTest(unittest.TestCase):
    """Decoders at the border with mutated input."""

    def test_no_input_raises_an_unexpected_error(self):
        """Guards against an input that ends the work of the part that reads it."""
        outcomes = [(seed, *run_round(seed)) for seed in range(ROUNDS)]
        self.assertEqual([outcome for outcome in outcomes if outcome[2] is not None], [])
        self.assertEqual(len({name for _, name, _ in outcomes}), len(TARGETS))


if __name__ == "__main__":
    unittest.main()
