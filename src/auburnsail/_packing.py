"""Compression of the bodies that nodes fetch from each other."""

import zlib

from .exceptions import AuburnsailError

__all__ = ["pack", "unpack"]

# The fastest level compresses a settings record of 250 kB to a tenth in 1 ms.
COMPRESSION_LEVEL = 1
# A shorter body fits into one packet uncompressed.
MIN_COMPRESSED_BYTES = 1_400
# Larger than any body that nodes fetch, such as a checkpoint or 1 MB of the fleet log.
MAX_UNPACKED_BYTES = 64 << 20
_PLAIN, _DEFLATED = b"\0", b"\1"


def pack(data: bytes) -> bytes:
    """Returns a body for a peer: a format byte and the data, compressed unless it is short."""
    if len(data) < MIN_COMPRESSED_BYTES:
        return _PLAIN + data
    return _DEFLATED + zlib.compress(data, COMPRESSION_LEVEL)


def unpack(body: bytes, max_bytes: int = MAX_UNPACKED_BYTES) -> bytes:
    """Returns the data of a body that `pack` created.

    Args:
        body: The body.
        max_bytes: Maximum length of the decompressed data.

    Raises:
        AuburnsailError: The body is damaged, or its data is too large.
    """
    format_byte, content = body[:1], body[1:]
    if format_byte == _PLAIN:
        return content
    if format_byte != _DEFLATED:
        raise AuburnsailError("a body has an unknown format byte", step="fetch.unpack")
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(content, max_bytes)
    except zlib.error as error:
        raise AuburnsailError(f"a body is damaged: {error}", step="fetch.unpack") from error
    if not decompressor.eof:
        raise AuburnsailError("a body is truncated or too large", step="fetch.unpack")
    return data
