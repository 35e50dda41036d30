"""Connections to one HTTP peer.

geventhttpclient's parser is used without its client, which sends a request again after an error.
"""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket

from ._clock import NS_PER_MS, BootClock, Clock
from ._exchange import Connection, Exchange
from ._link_sender import LinkSender
from ._sockets import enable_keepalive, endpoint, is_open_and_idle, set_options
from .exceptions import NotRunError, OutcomeUnknownError

__all__ = ["Answer", "HttpPeer"]

# Ten round trips between regions. An unreachable VM does not even refuse connections, so only a
# timeout detects it.
CONNECT_TIMEOUT_S = 0.4
# After a timeout, requests to the peer fail at once for this long; otherwise each request to an
# unreachable VM would wait 0.4 s for a connection.
UNREACHABLE_MS = 500
# Keep-alive probes are sent only during longer waits than this, to save packets on usual requests.
MIN_PROBED_TIMEOUT_S = 5.0
MAX_IDLE_CONNECTIONS = 64
# Limit for answers that are read whole. Objects in the store have up to 8 MiB; checkpoints and logs
# are smaller.
MAX_FETCH_BYTES = 32 << 20
# Shorter than the usual keep-alive timeout of servers, so that the node closes first.
MAX_IDLE_NS = 30_000 * NS_PER_MS
SLOWEST_DECAY_FACTOR = 0.99


@dataclass(slots=True)
class Answer:
    """An HTTP answer that was read whole. Header names are in lower case."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class HttpPeer:
    """Pool of connections to one address.

    Args:
        address: ``ip:port`` of the peer.
        clock: Source of time.
        drops_stale_idle: Whether `drop_idle_before` closes connections; False only to measure what
            it saves.
        link: Schedules sending on the VM's link; None for a peer on this VM.

    Attributes:
        address: ``ip:port`` of the peer.
        slowest_recent_ns: Longest recent exchange, which decays with each further exchange.
        last_opened_ns: When an exchange was last opened.
    """

    def __init__(
        self,
        address: str,
        clock: Clock | None = None,
        *,
        drops_stale_idle: bool = True,
        link: LinkSender | None = None,
    ) -> None:
        self.link = link
        self._endpoint = endpoint(address)
        self._family = socket.AF_INET6 if ":" in self._endpoint[0] else socket.AF_INET
        self._clock = clock or BootClock()
        self._idle: list[Connection] = []
        self._drops_stale_idle = drops_stale_idle
        self._unreachable_until_ns = 0
        self._last_received_ns = -1
        self.address = address
        self.slowest_recent_ns = 0.0
        self.last_opened_ns = self._clock.now_ns()

    def now_ns(self) -> int:
        """Returns the current time of the pool's clock in nanoseconds."""
        return self._clock.now_ns()

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    def open(
        self,
        *,
        max_idle_ns: int = MAX_IDLE_NS,
        timeout_s: float = CONNECT_TIMEOUT_S,
        request_id: str = "",
        on_connecting: Callable[[socket.socket], None] | None = None,
    ) -> Exchange:
        """Returns an exchange on an idle connection, or on a new one if there is none.

        Args:
            max_idle_ns: Longest idle time of a connection to reuse.
            timeout_s: Time limit for connecting in seconds, at most `CONNECT_TIMEOUT_S`.
            request_id: Id of the request; connections on which the peer refused it are not reused.
            on_connecting: Called with the socket before a new connection is made; shutting it down
                ends the wait.

        Raises:
            NotRunError: Connecting failed, or the peer was unreachable within the last
                `UNREACHABLE_MS`.
        """
        now_ns = self._clock.now_ns()
        self.last_opened_ns = now_ns
        if now_ns < self._unreachable_until_ns:
            raise NotRunError(
                "the peer was unreachable a moment ago", step="http.connect", peer=self.address
            )
        # The list is ordered by time of use, so those before one that is too old are older.
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            if now_ns - connection.last_used_ns > max_idle_ns:
                break
            if request_id and request_id in connection.refused_ids:
                continue
            del self._idle[index]
            if is_open_and_idle(connection.sock):
                return Exchange(self, connection, now_ns)
            connection.sock.close()
        if max_idle_ns >= MAX_IDLE_NS:
            self.drop_idle()
        connection = self._connect(min(timeout_s, CONNECT_TIMEOUT_S), on_connecting)
        return Exchange(self, connection, now_ns)

    def on_received(self) -> None:
        """Records that bytes arrived from the peer."""
        self._last_received_ns = self._clock.now_ns()

    def on_unreachable(self, since_ns: int) -> None:
        """Makes `open` fail at once for `UNREACHABLE_MS` and drops the idle connections.

        Does nothing if bytes have arrived from the peer since `since_ns`. The peer is then
        reachable, and packets of only one connection were lost, or delayed behind other bytes in a
        full link, possibly this VM's own.

        Args:
            since_ns: Time since which the peer has acknowledged no bytes.
        """
        if self._last_received_ns >= since_ns:
            return
        self._unreachable_until_ns = self._clock.now_ns() + UNREACHABLE_MS * NS_PER_MS
        self.drop_idle()

    def put_idle(self, connection: Connection, started_ns: int) -> None:
        """Keeps a connection for reuse after its exchange ended cleanly."""
        now_ns = self._clock.now_ns()
        self.slowest_recent_ns = max(
            now_ns - started_ns, self.slowest_recent_ns * SLOWEST_DECAY_FACTOR
        )
        connection.last_used_ns = now_ns
        connection.is_reused = True
        if len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.sock.close()

    def drop_idle_before(self, limit_ns: int) -> None:
        """Closes idle connections that were last used before a silent exchange began.

        All open connections between two VMs can go silent at once, while new connections work.

        Args:
            limit_ns: When the silent exchange began.
        """
        if not self._drops_stale_idle:
            return
        for connection in self._idle:
            if connection.last_used_ns < limit_ns:
                connection.sock.close()
        self._idle = [c for c in self._idle if c.last_used_ns >= limit_ns]

    def expire_idle(self, limit_ns: int) -> int:
        """Closes idle connections last used before a time; returns the number that remain."""
        expired = 0
        for connection in self._idle:
            if connection.last_used_ns >= limit_ns:
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
        """Makes one small request and returns the answer, read whole.

        Args:
            method: HTTP method.
            target: Request target.
            body: Request body.
            timeout_s: Time limit in seconds for connecting, and again for the exchange.
            headers: Further request headers.

        Raises:
            NotRunError: No connection could be made.
            OutcomeUnknownError: The request was sent, but no complete answer arrived.
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
            if timeout_s > MIN_PROBED_TIMEOUT_S:
                enable_keepalive(exchange._open_socket())
            answer = exchange.receive_head(method)
            parts, size = [], 0
            while part := exchange.read():
                parts.append(part)
                size += len(part)
                if size > MAX_FETCH_BYTES:
                    detail = f"the answer is longer than {MAX_FETCH_BYTES} bytes"
                    raise OutcomeUnknownError(detail, step="http.fetch", peer=self.address)
            exchange.finish()
            fields = [(name.lower(), value) for name, value in answer.fields]
            return Answer(answer.status, fields, b"".join(parts))
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            exchange.report_silence()
            raise OutcomeUnknownError(
                f"no answer within {timeout_s} s", step="http.fetch", peer=self.address
            ) from None
        finally:
            timeout.close()
            exchange.abort()

    def _connect(
        self, timeout_s: float, on_connecting: Callable[[socket.socket], None] | None
    ) -> Connection:
        sock = socket.socket(self._family, socket.SOCK_STREAM)
        if on_connecting is not None:
            on_connecting(sock)
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
