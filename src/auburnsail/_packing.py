"""Compression of what nodes fetch from each other. Pure."""

import zlib

from .exceptions import AuburnsailError

__all__ = ["pack", "unpack"]

# The fastest level: a settings record of 250 kB takes 1 ms and shrinks to a tenth.
COMPRESSION_LEVEL = 1
# A shorter body fits into one packet either way.
MIN_COMPRESSED_BYTES = 1_400
# Larger than any body that nodes fetch: 1 MB of the fleet log, or a checkpoint.
MAX_UNPACKED_BYTES = 64 << 20
_PLAIN, _DEFLATED = b"\0", b"\1"


def pack(data: bytes) -> bytes:
    """Returns a body for a peer, compressed if it is long."""
    if len(data) < MIN_COMPRESSED_BYTES:
        return _PLAIN + data
    return _DEFLATED + zlib.compress(data, COMPRESSION_LEVEL)


def unpack(body: bytes, max_bytes: int = MAX_UNPACKED_BYTES) -> bytes:
    """Returns the content of a body that `pack` returned.

    Args:
        body: The body.
        max_bytes: Largest content.

    Raises:
        AuburnsailError: It is damaged or too large.
    """
    mark, content = body[:1], body[1:]
    if mark == _PLAIN:
        return content
    if mark != _DEFLATED:
        raise AuburnsailError("a body has an unknown form", step="fetch.unpack")
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(content, max_bytes)
    except zlib.error as error:
        raise AuburnsailError(f"a body is damaged: {error}", step="fetch.unpack") from error
    if not inflater.eof:
        raise AuburnsailError("a body is cut short or too large", step="fetch.unpack")
    return data
