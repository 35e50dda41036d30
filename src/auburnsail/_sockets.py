"""Helper functions for TCP sockets."""

import contextlib
import fcntl
import select
import struct
import sys
import termios

from gevent import socket

from .exceptions import NotRunError

__all__ = [
    "USER_TIMEOUT_MS",
    "ReadCancelledError",
    "WriteCancelledError",
    "accepts_connections",
    "acknowledged_bytes",
    "cancel_read",
    "cancel_write",
    "enable_keepalive",
    "endpoint",
    "has_ended",
    "is_open_and_idle",
    "keeps_connections",
    "peek",
    "send_all",
    "set_options",
    "shut_down",
    "unacknowledged_bytes",
]

MAX_PORT = 65_535
MAX_HOST_LENGTH = 253
CONNECT_PROBE_TIMEOUT_S = 0.2
MAX_CONNECT_PROBES = 3
RETRIED_PROBE_TIMEOUT_S = 0.05
STAYS_OPEN_S = 0.01
# A silent connection acknowledges nothing. Ten round trips between regions take 0.4 s.
USER_TIMEOUT_MS = 500
# An idle silent connection ends after two unanswered probes, 3 s, which is about the bound on the
# spread of settings.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# `tcpi_bytes_acked` in `struct tcp_info` of Linux.
_BYTES_ACKED = struct.Struct("120xQ")


class ReadCancelledError(OSError):
    """A blocked read was ended by `cancel_read`."""


class WriteCancelledError(OSError):
    """A blocked write was ended by `cancel_write`."""


def cancel_read(sock: socket.socket) -> None:
    """Ends a blocked read with `ReadCancelledError`; both directions of the connection stay open.

    Unlike a shutdown, this cannot be mistaken for the end of the peer's direction. If the bytes
    that the read waits for arrive in the same turn of the event loop, the read returns them, and a
    later read on the socket may be cancelled in its place.
    """
    # gevent's public ways to end a read close or shut down the socket.
    socket.cancel_wait(sock._read_event, ReadCancelledError)


def cancel_write(sock: socket.socket) -> None:
    """Ends a blocked write with `WriteCancelledError`; both directions of the connection stay open.

    A part of the bytes may have been sent. If the socket has room in the same turn of the event
    loop, the write goes on, and a later one may be cancelled in its place; so the caller makes sure
    that there is none.
    """
    socket.cancel_wait(sock._write_event, WriteCancelledError)


def set_options(sock: socket.socket) -> None:
    """Disables Nagle's algorithm and limits the time that sent bytes stay unacknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def enable_keepalive(sock: socket.socket) -> None:
    """Enables TCP keep-alive, which ends an idle connection whose peer acknowledges no probe."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def endpoint(address: str) -> tuple[str, int]:
    """Returns host and port of an ``ip:port`` address, without brackets around an IPv6 address.

    Raises:
        NotRunError: No connection to the address is possible.
    """
    host, _, port = address.rpartition(":")
    is_port = port.isascii() and port.isdecimal() and len(port) <= 5 and 0 < int(port) <= MAX_PORT
    if not is_port or len(host) > MAX_HOST_LENGTH:
        raise NotRunError("not a usable address", step="address", peer=address[:MAX_HOST_LENGTH])
    return host.strip("[]"), int(port)


def accepts_connections(address: str) -> bool:
    """Returns False if an address refuses connections.

    A timeout counts as True, because it does not show that nothing listens.
    """
    try:
        socket.create_connection(endpoint(address), timeout=CONNECT_PROBE_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return False
    except OSError:
        return True
    return True


def keeps_connections(address: str) -> bool:
    """Returns False if an address refuses connections, at once or after it dropped one.

    While a process ends, the system may still accept a connection on the socket on which the
    process listened, or not answer; such a connection is tried again. If all are dropped, the
    result is True, because this does not show that nothing listens. It takes `STAYS_OPEN_S` if the
    address keeps a connection, and at most the time-outs of `MAX_CONNECT_PROBES` connections.
    """
    for _ in range(MAX_CONNECT_PROBES):
        try:
            sock = socket.create_connection(endpoint(address), RETRIED_PROBE_TIMEOUT_S)
        except ConnectionRefusedError:
            return False
        except (TimeoutError, ConnectionResetError):
            continue
        except OSError:
            return True
        with sock, contextlib.suppress(ConnectionResetError):
            sock.settimeout(STAYS_OPEN_S)
            try:
                sock.recv(1)
            except TimeoutError:
                return True
    return True


def send_all(sock: socket.socket, data: bytes) -> None:
    """Sends all bytes; blocks while the peer does not read.

    Raises:
        OSError: The connection broke.
    """
    # One `send` nearly always suffices; `sendall` would make three more calls.
    sent = sock.send(data)
    if sent < len(data):
        sock.sendall(memoryview(data)[sent:])


def acknowledged_bytes(sock: socket.socket) -> int:
    """Returns the number of sent bytes that the peer has acknowledged, 0 if the socket is closed.

    Unlike the bytes that a socket accepts, this advances with each packet that the peer has room
    for; the kernel wakes a blocked writer only when a large part of its buffer is free.
    """
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _BYTES_ACKED.size)
    except OSError:
        return 0
    return _BYTES_ACKED.unpack(data)[0] if len(data) == _BYTES_ACKED.size else 0


def is_open_and_idle(sock: socket.socket) -> bool:
    """Returns whether a connection is open and has no bytes to read; does not block."""
    poll = select.poll()
    try:
        poll.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    except (OSError, ValueError):
        return False
    return not poll.poll(0)


def has_ended(sock: socket.socket) -> bool:
    """Returns whether the peer has ended its direction, or the connection is broken or closed."""
    poll = select.poll()
    try:
        poll.register(sock.fileno(), select.POLLRDHUP)
    except (OSError, ValueError):
        return True
    return bool(poll.poll(0))


def peek(sock: socket.socket, size: int) -> bytes:
    """Returns up to `size` bytes that have arrived, and leaves them to be read; does not block.

    The result is empty if none have arrived, or if the connection is closed or broken.
    """
    timeout_s = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        return sock.recv(size, socket.MSG_PEEK)
    except OSError:
        return b""
    finally:
        sock.settimeout(timeout_s)


def shut_down(sock: socket.socket, how: int) -> None:
    """Shuts down one or both directions and wakes greenlets that are blocked on them."""
    # An error means that the connection is closed, which wakes blocked greenlets as well.
    with contextlib.suppress(OSError):
        sock.shutdown(how)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns how many sent bytes the peer's system has not acknowledged, 0 on a closed socket.

    The end of the own direction counts as one byte.
    """
    try:
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(count, sys.byteorder)
