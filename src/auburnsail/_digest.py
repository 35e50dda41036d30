"""Keyed and plain digests without OpenSSL.

hashlib loads OpenSSL, which takes 3.5 MB of a node's 32 MB. The functions are imported from the
CPython extension modules from which hashlib and hmac take them.
"""

try:
    from _blake2 import blake2s
    from _operator import _compare_digest as same_digest
except ImportError:  # other interpreters lack these extension modules
    from hashlib import blake2s
    from hmac import compare_digest as same_digest

__all__ = ["blake2s", "same_digest"]
