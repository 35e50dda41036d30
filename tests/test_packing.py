"""Compression of what nodes fetch from each other."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from auburnsail._packing import pack, unpack
from auburnsail.exceptions import AuburnsailError


class PackingTest(unittest.TestCase):
    """Bodies of control fetches."""

    @given(st.binary(max_size=5_000), st.integers(1, 4))
    def test_a_body_comes_back_as_it_was(self, data, times):
        """Guards against a settings record or a fleet log that a peer reads differently."""
        self.assertEqual(unpack(pack(data * times)), data * times)

    @given(st.binary(max_size=3_000))
    def test_damaged_bodies_are_refused(self, body):
        """Guards against an exception that nobody handles, or content that was never packed."""
        try:
            data = unpack(body)
        except AuburnsailError:
            return
        self.assertEqual(unpack(pack(data)), data)

    def test_a_body_that_is_cut_short_or_grows_too_large_is_refused(self):
        """Guards against half of a record, and against a small body that fills the memory."""
        packed = pack(b"x" * 1_000_000)
        for body, most_bytes in ((packed[:-5], 1 << 20), (packed, 1_000), (b"", 1 << 20)):
            with self.assertRaises(AuburnsailError):
                unpack(body, most_bytes)


if __name__ == "__main__":
    unittest.main()
