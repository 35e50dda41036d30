"""Keyed and plain digests without OpenSSL.

hashlib loads OpenSSL, 3.5 MB of a node's 32 MB. CPython's own extension modules hold the same
functions that hashlib and hmac return.
"""

try:
    from _blake2 import blake2s
    from _operator import _compare_digest as same_digest
except ImportError:  # an interpreter without these extension modules
    from hashlib import blake2s
    from hmac import compare_digest as same_digest

__all__ = ["blake2s", "same_digest"]
