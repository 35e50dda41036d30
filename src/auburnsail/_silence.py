"""Answer timeout of attempts on reused connections. No I/O."""

from ._clock import NS_PER_MS

__all__ = ["silence_limit_ns"]

MIN_SILENCE_NS = 500 * NS_PER_MS
SILENCE_FACTOR = 8
# An attempt may stay silent for the remaining time divided by this. The divisor is larger at the
# owner's node, so that it times out first and the first node learns which connection was silent.
SILENCE_DIVISOR_LOCAL = 4
SILENCE_DIVISOR_NODE = 2


def silence_limit_ns(remaining_ns: int, slowest_ns: float, *, is_local: bool) -> int:
    """Returns the time after which an attempt without any answer is stopped.

    Args:
        remaining_ns: Time until the request's deadline.
        slowest_ns: Duration of the longest recent exchange with the peer.
        is_local: Whether the peer is the local upstream.
    """
    divisor = SILENCE_DIVISOR_LOCAL if is_local else SILENCE_DIVISOR_NODE
    return min(remaining_ns // divisor, max(MIN_SILENCE_NS, int(slowest_ns * SILENCE_FACTOR)))
