"""Ports on loopback that stay reserved for the processes of one test run."""

import atexit
import random
import socket

__all__ = ["LOOPBACK", "PORT_RANGE", "reserve_host", "reserve_port"]

LOOPBACK = "127.0.0.1"
# Below the ephemeral port range of Linux, so that no outgoing connection occupies a port between
# its selection and the bind of the process.
PORT_RANGE = (10_000, 32_000)
MAX_ATTEMPTS = 1_000

_reservations: list[socket.socket] = []


def reserve_port() -> int:
    """Returns a loopback port that no other call returns, in any process, until this one ends.

    Nothing listens on the port. A process that sets SO_REUSEADDR, as gevent's servers do, can
    listen on it repeatedly; a datagram socket can be bound to it as usual.

    Raises:
        RuntimeError: No free port was found.
    """
    for _ in range(MAX_ATTEMPTS):
        port = random.SystemRandom().randrange(*PORT_RANGE)
        if _reserve(LOOPBACK, port):
            return port
    raise RuntimeError(f"no free port on {LOOPBACK} after {MAX_ATTEMPTS} attempts")


def reserve_host(port: int) -> str:
    """Returns a loopback address on which a given port is reserved as by `reserve_port`.

    Args:
        port: A port that cannot be chosen, for example that of a deployment.

    Raises:
        RuntimeError: No address was found, for example because a process listens on all of them.
    """
    for _ in range(MAX_ATTEMPTS):
        octets = (random.SystemRandom().randrange(1, 255) for _ in range(3))
        host = ".".join(map(str, (127, *octets)))
        if _reserve(host, port):
            return host
    raise RuntimeError(f"port {port} is not free on any of {MAX_ATTEMPTS} loopback addresses")


def _reserve(host: str, port: int) -> bool:
    """Keeps a port for this process; returns False if it is in use."""
    stream = socket.socket()
    try:
        # First: a datagram bind on a port that another run has reserved could make its process fail.
        stream.bind((host, port))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
            datagram.bind((host, port))
    except OSError:
        stream.close()
        return False
    # Set only after the bind: a bind with this option succeeds beside another reservation. With it
    # on this socket, which does not listen, a process can listen on the port.
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reservations.append(stream)
    return True


@atexit.register
def _close_reservations() -> None:
    for stream in _reservations:
        stream.close()
