"""How long an exchange on an older connection may stay silent before it is given up. Pure."""

from ._clock import NS_PER_MS

__all__ = ["silence_limit_ns"]

MIN_SILENCE_NS = 500 * NS_PER_MS
SILENCE_FACTOR = 8
# Share of the time left that one silent attempt may use. The owner's node decides first, so that
# the first node learns which connection was silent.
SILENCE_DIVISOR_LOCAL = 4
SILENCE_DIVISOR_NODE = 2


def silence_limit_ns(left_ns: int, slowest_ns: float, *, is_local: bool) -> int:
    """Returns the time after which a silent attempt ends.

    Args:
        left_ns: Time until the request's deadline.
        slowest_ns: Longest recent exchange with the peer.
        is_local: Whether the peer is the upstream beside this node.
    """
    divisor = SILENCE_DIVISOR_LOCAL if is_local else SILENCE_DIVISOR_NODE
    return min(left_ns // divisor, max(MIN_SILENCE_NS, int(slowest_ns * SILENCE_FACTOR)))
