"""The last read on a caller's connection: what the caller still sends is discarded."""

import contextlib

from gevent import socket

from ._clock import NS_PER_MS, NS_PER_S, Clock
from ._http_body import BLOCK_BYTES
from ._sockets import ReadCancelledError, shut_down

__all__ = ["linger"]

SILENCE_TIMEOUT_S = 1.0
MAX_DISCARDED_BYTES = 1 << 20


def linger(sock: socket.socket, clock: Clock, timeout_ms: int) -> None:
    """Ends the answers on a connection and discards what its caller still sends.

    Closing a socket with unread bytes sends a reset, which can reach the caller before the answer.
    This returns once the caller has closed its side or is silent, or at a limit.

    Args:
        sock: The caller's connection.
        clock: Source of time.
        timeout_ms: Maximum time in milliseconds.
    """
    shut_down(sock, socket.SHUT_WR)
    end_ns = clock.now_ns() + timeout_ms * NS_PER_MS
    remaining_bytes = MAX_DISCARDED_BYTES
    # Silence is a time-out; a caller that has the answer may also reset the connection.
    with contextlib.suppress(OSError):
        while remaining_bytes > 0 and (left_ns := end_ns - clock.now_ns()) > 0:
            sock.settimeout(min(SILENCE_TIMEOUT_S, left_ns / NS_PER_S))
            with contextlib.suppress(ReadCancelledError):
                if not (data := sock.recv(BLOCK_BYTES)):
                    break
                remaining_bytes -= len(data)
