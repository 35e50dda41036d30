"""Compression of the bodies that nodes fetch from each other."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from auburnsail._packing import pack, unpack
from auburnsail.exceptions import AuburnsailError


class PackingTest(unittest.TestCase):
    """Round trips of `pack` and `unpack`, and damaged bodies."""

    @given(st.binary(max_size=5_000), st.integers(1, 4))
    def test_unpack_restores_the_packed_body(self, data, times):
        """Guards against a settings record or fleet log that differs after decompression."""
        self.assertEqual(unpack(pack(data * times)), data * times)

    @given(st.binary(max_size=3_000))
    def test_damaged_bodies_are_refused(self, body):
        """Guards against exceptions that callers do not handle, and data that `pack` alters."""
        try:
            data = unpack(body)
        except AuburnsailError:
            return
        self.assertEqual(unpack(pack(data)), data)

    def test_truncated_or_oversized_bodies_are_refused(self):
        """Guards against accepting a partial record, and a small body that exhausts memory."""
        packed = pack(b"x" * 1_000_000)
        for body, max_bytes in ((packed[:-5], 1 << 20), (packed, 1_000), (b"", 1 << 20)):
            with self.assertRaises(AuburnsailError):
                unpack(body, max_bytes)


if __name__ == "__main__":
    unittest.main()
