"""Small operations on sockets."""

import contextlib
import select

from gevent import socket

__all__ = [
    "USER_TIMEOUT_MS",
    "accepts_connections",
    "enable_keepalive",
    "endpoint",
    "is_open_and_idle",
    "send_all",
    "set_options",
    "shut_down",
]

CONNECT_PROBE_TIMEOUT_S = 0.2
# A connection that went silent acknowledges nothing; ten round trips between regions are 0.4 s.
USER_TIMEOUT_MS = 500
# With two probes unanswered a silent connection ends after 3 s, about the bound on settings.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def set_options(sock: socket.socket) -> None:
    """Sends small segments at once, and ends a connection whose bytes are not acknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def enable_keepalive(sock: socket.socket) -> None:
    """Ends a connection on which the peer acknowledges no probe while nothing is sent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def endpoint(address: str) -> tuple[str, int]:
    """Returns host and port of an ``ip:port`` address; brackets around an IPv6 address are dropped."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def accepts_connections(address: str) -> bool:
    """Returns whether a connection is not refused; one that times out proves nothing."""
    try:
        socket.create_connection(endpoint(address), timeout=CONNECT_PROBE_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return False
    except OSError:
        return True
    return True


def send_all(sock: socket.socket, data: bytes) -> None:
    """Sends all bytes; waits while the peer does not read.

    Raises:
        OSError: The connection broke.
    """
    # Nearly always one call takes everything, and `sendall` adds three more calls to it.
    sent = sock.send(data)
    if sent < len(data):
        sock.sendall(memoryview(data)[sent:])


def is_open_and_idle(sock: socket.socket) -> bool:
    """Returns whether a connection is open and has nothing to read."""
    poll = select.poll()
    try:
        poll.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    except (OSError, ValueError):
        return False
    return not poll.poll(0)


def shut_down(sock: socket.socket, how: int) -> None:
    """Shuts down one or both directions, which wakes greenlets that wait for them."""
    # If the peer closed the connection already, that wakes the blocked call as well.
    with contextlib.suppress(OSError):
        sock.shutdown(how)
