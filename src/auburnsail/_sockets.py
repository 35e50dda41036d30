"""Small operations on sockets."""

import contextlib
import select

from gevent import socket

__all__ = ["accepts", "endpoint", "is_quiet", "send_all", "shut_down"]

PROBE_TIMEOUT_S = 0.2


def endpoint(address: str) -> tuple[str, int]:
    """Returns host and port of an ``ip:port`` address; brackets around an IPv6 address are dropped."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def accepts(address: str) -> bool:
    """Returns whether a connection is not refused; one that times out proves nothing."""
    try:
        socket.create_connection(endpoint(address), timeout=PROBE_TIMEOUT_S).close()
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


def is_quiet(sock: socket.socket) -> bool:
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
