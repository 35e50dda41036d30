"""Callers of the stop soak: they keep connections open and record what they saw of each request."""

import contextlib
import itertools
import random
import struct
from dataclasses import dataclass, field
from enum import StrEnum

import gevent
import msgspec
from gevent import socket
from gevent.event import Event

from auburnsail._sockets import endpoint, is_open_and_idle
from standins.ledger import now_ns

SERVICES = ("catalogue", "pledge")
KEYS = 200
CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.05
# Longer than the default deadline of a request, after which a node answers with 504.
ANSWER_TIMEOUT_S = 15.0
BURST_S = 0.02
LEAVE_SHARE = 0.03
SERVICE_MS = (5, 300)
MAX_BODY_BYTES = 4_000
BLOCK_BYTES = 65_536
NOT_RUN = "not-run"
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Result(StrEnum):
    """How a request ended for its caller."""

    UNFINISHED = "unfinished"
    ANSWERED = "answered"
    # The connection ended without a complete answer.
    ENDED = "ended"
    # The caller closed the connection.
    LEFT = "left"
    TIMED_OUT = "timed-out"


@dataclass(slots=True)
class SentRequest:
    """A request as its caller saw it. Times are nanoseconds of CLOCK_BOOTTIME.

    Attributes:
        id: Value of the `x-request-id` header, unique in the run.
        node: Name of the node that it was sent to.
        method: HTTP method.
        sent_ns: Time at which the whole request had been sent, 0 if it was not.
        ended_ns: Time of the end of the answer or of the connection.
        result: How it ended.
        status: HTTP status, 0 without an answer.
        outcome: Value of the `auburnsail-outcome` header.
        detail: How the connection ended, or what is wrong with the answer.
    """

    id: str
    node: str
    method: str
    sent_ns: int = 0
    ended_ns: int = 0
    result: Result = Result.UNFINISHED
    status: int = 0
    outcome: str = ""
    detail: str = ""


@dataclass(slots=True)
class Target:
    """A node that callers send requests to.

    Attributes:
        name: Name of the node.
        address: Its data address.
        bursts: Events that end the pauses of callers, by the parity of the caller's number.
    """

    name: str
    address: str
    bursts: list[Event] = field(default_factory=lambda: [Event(), Event()])

    def send_burst(self, *parities: int) -> None:
        """Ends the pauses of callers, which then send a request within the next `BURST_S`.

        Args:
            parities: Remainders of the numbers of these callers, divided by 2.
        """
        for parity in parities:
            burst, self.bursts[parity] = self.bursts[parity], Event()
            burst.set()


class _ConnectionEndedError(Exception):
    """The connection ended before the end of the answer."""


class Caller:
    """Sends requests to one node, one after the other on a kept connection.

    Args:
        target: The node.
        number: Number of the caller, unique in the run.
        seed: Seed of its requests and pauses.
        pause_s: Least and greatest pause before a request in seconds.
        requests: List to which its requests are added.
    """

    def __init__(
        self,
        target: Target,
        number: int,
        seed: str,
        pause_s: tuple[float, float],
        requests: list[SentRequest],
    ) -> None:
        self._target = target
        self._parity = number % 2
        self._prefix = f"{target.name}-{number}"
        self._numbers = itertools.count(1)
        self._random = random.Random(seed)
        self._pause_s = pause_s
        self._requests = requests
        self.stopping = False

    def run(self) -> None:
        """Sends requests until `stopping` is set, on a new connection when the old one ended."""
        while not self.stopping:
            try:
                address = endpoint(self._target.address)
                sock = socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
            except OSError:
                gevent.sleep(RECONNECT_PAUSE_S)
                continue
            with sock:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                while not self.stopping and self._send_next(sock):
                    pass

    def _send_next(self, sock: socket.socket) -> bool:
        """Sends one request after a pause; returns whether the connection can be used again."""
        if self._target.bursts[self._parity].wait(self._random.uniform(*self._pause_s)):
            gevent.sleep(self._random.uniform(0, BURST_S))
        if self.stopping or not is_open_and_idle(sock):
            return False
        method = self._random.choice(("GET", "POST"))
        request = SentRequest(f"{self._prefix}-{next(self._numbers)}", self._target.name, method)
        self._requests.append(request)
        is_kept = False
        try:
            is_kept = self._exchange(sock, request)
        except TimeoutError:
            request.result = Result.TIMED_OUT
        except (OSError, _ConnectionEndedError) as error:
            request.result, request.detail = Result.ENDED, str(error)
        request.ended_ns = now_ns()
        return is_kept

    def _exchange(self, sock: socket.socket, request: SentRequest) -> bool:
        head, body = self._encode(request)
        sock.settimeout(ANSWER_TIMEOUT_S)
        if body and self._random.random() < 0.3:
            sock.sendall(head)
            gevent.sleep(self._random.uniform(0.001, 0.03))
            sock.sendall(body)
        else:
            sock.sendall(head + body)
        request.sent_ns = now_ns()
        if self._random.random() < LEAVE_SHARE:
            gevent.sleep(self._random.uniform(0.001, 0.1))
            if self._random.random() < 0.5:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            request.result = Result.LEFT
            return False
        return _read_answer(sock, request)

    def _encode(self, request: SentRequest) -> tuple[bytes, bytes]:
        rng = self._random
        path = f"/{rng.choice(SERVICES)}/basket-{rng.randrange(KEYS)}"
        service_ms = rng.randint(*SERVICE_MS)
        fields = {"Host": self._target.address, "x-request-id": request.id}
        if rng.random() < 0.5:
            path += f"/slow/{service_ms}"
        else:
            fields["standin-service-ms"] = str(service_ms)
        body = b""
        if request.method == "POST":
            body = b"x" * rng.choice((0, 1, rng.randint(2, MAX_BODY_BYTES)))
            fields["Content-Length"] = str(len(body))
        lines = [f"{request.method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return "\r\n".join([*lines, "", ""]).encode(), body


def _read_answer(sock: socket.socket, request: SentRequest) -> bool:
    """Reads a whole answer into a request; returns whether the connection can be used again.

    Raises:
        _ConnectionEndedError: The connection was closed first.
        OSError: The connection was reset or no answer came in time.
    """
    buffered = b""
    while (end := buffered.find(b"\r\n\r\n")) < 0:
        buffered += _receive(sock, buffered)
    status_line, *lines = buffered[:end].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    fields = {name.lower(): value.strip() for name, _, value in pairs}
    body = buffered[end + 4 :]
    size = int(fields["content-length"])
    while len(body) < size:
        body += _receive(sock, buffered)
    request.status = int(status_line.split()[1])
    request.outcome = fields.get("auburnsail-outcome", "")
    request.result = Result.ANSWERED
    if len(body) > size:
        request.detail = f"{len(body) - size} bytes follow the answer"
    elif request.status == 200 and not _names_request(body, request.id):
        request.detail = f"the answer is not that of the request: {body[:200]!r}"
    return not request.detail and fields.get("connection", "").lower() != "close"


def _receive(sock: socket.socket, buffered: bytes) -> bytes:
    data = sock.recv(BLOCK_BYTES)
    if not data:
        part = "within the answer" if buffered else "without an answer"
        raise _ConnectionEndedError(f"closed {part}")
    return data


def _names_request(body: bytes, request_id: str) -> bool:
    with contextlib.suppress(msgspec.DecodeError, KeyError, TypeError):
        return msgspec.json.decode(body)["request"] == request_id
    return False
