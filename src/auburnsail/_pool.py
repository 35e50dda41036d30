"""Connections to one HTTP peer.

geventhttpclient's parser is used without its client, which sends a request again after an error.
"""

from dataclasses import dataclass

import gevent
from gevent import socket

from ._clock import NS_PER_MS, BootClock, Clock
from ._exchange import Connection, Exchange
from ._link_sender import LinkSender
from ._sockets import endpoint, is_quiet, probe_when_idle, set_options
from .exceptions import NotRunError, OutcomeUnknownError

__all__ = ["Answer", "HttpPeer"]

# Ten round trips between regions; a VM that is cut off answers nothing.
CONNECT_TIMEOUT_S = 0.4
# Load pattern: a VM is cut off and every request to it would wait 0.4 s for a connection.
UNREACHABLE_MS = 500
# Longer waits than those of usual calls are worth the packets of probes.
PROBED_WAIT_S = 5.0
MAX_IDLE = 64
# Answers that are read as a whole: objects of the store have 8 MiB, checkpoints and logs less.
MAX_FETCH_BYTES = 32 << 20
# Shorter than usual servers' keep-alive time, so that the node closes first.
MAX_IDLE_NS = 30_000 * NS_PER_MS
PEAK_DECAY = 0.99


@dataclass(slots=True)
class Answer:
    """A whole answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class HttpPeer:
    """A pool of connections to one address.

    Args:
        address: ``ip:port`` of the peer.
        clock: Source of time.
        drops_suspects: Whether a silent time-out drops older idle connections; off to measure it.
        link: The VM's link, None for a peer on this VM.
    """

    def __init__(
        self,
        address: str,
        clock: Clock | None = None,
        *,
        drops_suspects: bool = True,
        link: LinkSender | None = None,
    ) -> None:
        self.link = link
        self._endpoint = endpoint(address)
        self._family = socket.AF_INET6 if ":" in self._endpoint[0] else socket.AF_INET
        self._clock = clock or BootClock()
        self._idle: list[Connection] = []
        self._drops_suspects = drops_suspects
        self._unreachable_until_ns = 0
        self._heard_ns = -1
        self.address = address
        self.slowest_recent_ns = 0.0
        self.used_ns = self._clock.now_ns()

    def now_ns(self) -> int:
        """Returns the current time of the pool's clock."""
        return self._clock.now_ns()

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    def open(
        self, *, max_idle_ns: int = MAX_IDLE_NS, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> Exchange:
        """Returns an exchange on an idle or a new connection.

        Args:
            max_idle_ns: A connection that was last proven to work longer ago is not used.
            timeout_s: Longest time to connect in seconds.

        Raises:
            NotRunError: No connection could be made.
        """
        now_ns = self._clock.now_ns()
        self.used_ns = now_ns
        if now_ns < self._unreachable_until_ns:
            raise NotRunError("no answer a moment ago", step="http.connect", peer=self.address)
        while self._idle:
            connection = self._idle[-1]
            if now_ns - connection.proven_ns > max_idle_ns:
                # The list is ordered by use, so all others are older still.
                break
            self._idle.pop()
            if is_quiet(connection.sock):
                return Exchange(self, connection, now_ns)
            connection.sock.close()
        if max_idle_ns >= MAX_IDLE_NS:
            self.drop_idle()
        return Exchange(self, self._connect(min(timeout_s, CONNECT_TIMEOUT_S)), now_ns)

    def on_heard(self) -> None:
        """Notes that the peer sent something."""
        self._heard_ns = self._clock.now_ns()

    def on_unreachable(self, since_ns: int) -> None:
        """Notes that the peer acknowledged nothing; requests of the next moment fail at once.

        A peer that has sent something since then can be reached: what was lost or late is this one
        connection, or it waited behind other bytes in a full link, possibly this VM's own.

        Args:
            since_ns: Since when it acknowledged nothing.
        """
        if self._heard_ns >= since_ns:
            return
        self._unreachable_until_ns = self._clock.now_ns() + UNREACHABLE_MS * NS_PER_MS
        self.drop_idle()

    def put_idle(self, connection: Connection, started_ns: int) -> None:
        """Keeps a connection whose exchange ended cleanly for later use."""
        now_ns = self._clock.now_ns()
        self.slowest_recent_ns = max(now_ns - started_ns, self.slowest_recent_ns * PEAK_DECAY)
        connection.proven_ns = now_ns
        connection.is_reused = True
        if len(self._idle) < MAX_IDLE:
            self._idle.append(connection)
        else:
            connection.sock.close()

    def suspect_before(self, limit_ns: int) -> None:
        """Drops idle connections that were last proven to work before a silent exchange began.

        All open connections of a pair can go silent at once, while new ones work.
        """
        if not self._drops_suspects:
            return
        for connection in self._idle:
            if connection.proven_ns < limit_ns:
                connection.sock.close()
        self._idle = [c for c in self._idle if c.proven_ns >= limit_ns]

    def expire_idle(self, limit_ns: int) -> int:
        """Closes connections that last worked before a time; returns how many are left."""
        expired = 0
        for connection in self._idle:
            if connection.proven_ns >= limit_ns:
                break
            connection.sock.close()
            expired += 1
        del self._idle[:expired]
        return len(self._idle)

    def drop_idle(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            self._idle.pop().sock.close()

    def fetch(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout_s: float,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Answer:
        """Makes one small request and returns the whole answer.

        Args:
            method: HTTP method.
            target: Request target.
            body: Request body.
            timeout_s: Longest wait for the whole exchange in seconds.
            headers: Further request headers.

        Raises:
            NotRunError: No connection could be made.
            OutcomeUnknownError: The request was sent but no whole answer came.
        """
        exchange = self.open(timeout_s=timeout_s)
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.address}"]
        fields = (*headers, ("Content-Length", len(body)))
        lines += [f"{name}: {value}" for name, value in fields]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        timeout = gevent.Timeout(timeout_s)
        timeout.start()
        try:
            exchange.send(head + body)
            if timeout_s > PROBED_WAIT_S:
                probe_when_idle(exchange._open_socket())
            response = exchange.receive_head(method)
            parts, size = [], 0
            while part := exchange.read():
                parts.append(part)
                size += len(part)
                if size > MAX_FETCH_BYTES:
                    detail = f"the answer is longer than {MAX_FETCH_BYTES} bytes"
                    raise OutcomeUnknownError(detail, step="http.fetch", peer=self.address)
            exchange.finish()
            fields = [(name.lower(), value) for name, value in response.fields]
            return Answer(response.status, fields, b"".join(parts))
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            exchange.suspect()
            raise OutcomeUnknownError(
                f"no answer within {timeout_s} s", step="http.fetch", peer=self.address
            ) from None
        finally:
            timeout.close()
            exchange.abort()

    def _connect(self, timeout_s: float) -> Connection:
        sock = socket.socket(self._family, socket.SOCK_STREAM)
        started_ns = self._clock.now_ns()
        try:
            sock.settimeout(timeout_s)
            sock.connect(self._endpoint)
        except OSError as error:
            sock.close()
            if isinstance(error, TimeoutError):
                self.on_unreachable(started_ns)
            raise NotRunError(str(error), step="http.connect", peer=self.address) from error
        except BaseException:
            sock.close()
            raise
        set_options(sock)
        sock.settimeout(None)
        return Connection(sock, self._clock.now_ns())
