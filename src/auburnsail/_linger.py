"""The last read on a caller's connection: what the caller still sends is discarded."""

import contextlib

import gevent
from gevent import socket

from ._clock import NS_PER_MS, NS_PER_S, Clock
from ._http_body import BLOCK_BYTES
from ._sockets import ReadCancelledError, shut_down, unacknowledged_bytes
from .exceptions import CallerGoneError

__all__ = ["linger"]

SILENCE_TIMEOUT_S = 1.0
RECEIPT_CHECK_INTERVAL_S = 0.02
MAX_DISCARDED_BYTES = 1 << 20
MAX_DISCARDED_BEFORE_RECEIPT_BYTES = 1 << 30


def linger(sock: socket.socket, clock: Clock, receipt_timeout_ms: int, timeout_ms: int) -> None:
    """Ends the answers on a connection and discards what its caller still sends.

    Closing a socket with unread bytes, or before further bytes arrive, sends a reset, which
    destroys what the caller's system has not received of the answer. This returns once the caller
    has closed its side, or has received the answer and is silent, or at a limit.

    Args:
        sock: The caller's connection.
        clock: Source of time.
        receipt_timeout_ms: Maximum time in milliseconds until the caller's system has the answer.
        timeout_ms: Maximum time in milliseconds from then on.

    Raises:
        CallerGoneError: The caller's system has not received the answer at the limit, or the
            connection broke before.
    """
    shut_down(sock, socket.SHUT_WR)
    try:
        has_ended = _discard_until_received(sock, clock, receipt_timeout_ms)
    except OSError as error:
        raise CallerGoneError(str(error), step="linger") from error
    # A caller that has received the answer may reset the connection.
    with contextlib.suppress(OSError):
        if not has_ended:
            _discard(sock, clock, timeout_ms)


def _discard_until_received(sock: socket.socket, clock: Clock, timeout_ms: int) -> bool:
    """Discards bytes until the caller's system has the answer; returns whether its side ended.

    If the side ended, nothing can arrive that makes a close a reset.

    Raises:
        CallerGoneError: A limit was reached.
        OSError: The connection broke.
    """
    end_ns = clock.now_ns() + timeout_ms * NS_PER_MS
    remaining_bytes = MAX_DISCARDED_BEFORE_RECEIPT_BYTES
    interval_s = RECEIPT_CHECK_INTERVAL_S
    while unacknowledged_bytes(sock):
        if remaining_bytes <= 0 or clock.now_ns() >= end_ns:
            raise CallerGoneError("the answer was not received in time", step="linger")
        sock.settimeout(interval_s)
        interval_s = min(2 * interval_s, SILENCE_TIMEOUT_S)
        with contextlib.suppress(TimeoutError, ReadCancelledError):
            if not (data := sock.recv(BLOCK_BYTES)):
                return True
            remaining_bytes -= len(data)
            # A read that needs no wait does not let other greenlets run.
            gevent.sleep(0)
    return False


def _discard(sock: socket.socket, clock: Clock, timeout_ms: int) -> None:
    """Discards bytes until the caller's side ends or a limit.

    Raises:
        OSError: The connection broke, or the caller was silent (`TimeoutError`).
    """
    end_ns = clock.now_ns() + timeout_ms * NS_PER_MS
    remaining_bytes = MAX_DISCARDED_BYTES
    while remaining_bytes > 0 and (left_ns := end_ns - clock.now_ns()) > 0:
        sock.settimeout(min(SILENCE_TIMEOUT_S, left_ns / NS_PER_S))
        with contextlib.suppress(ReadCancelledError):
            if not (data := sock.recv(BLOCK_BYTES)):
                return
            remaining_bytes -= len(data)
