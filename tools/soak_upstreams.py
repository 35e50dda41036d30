"""Simulates the upstreams of a soak run, which execute requests and inject faults in answers."""

import random

from auburnsail._clock import NS_PER_MS
from auburnsail._dialect import Dialect
from tools.soak_ledger import CheckedLedger
from tools.soak_net import FakeNetwork, FakeSocket
from tools.soak_nodes import FakeNode, GuaranteeError

__all__ = ["DIALECT_WITH_IDS", "SERVICE_MS", "Upstreams", "parse_head"]

SERVICE_MS = (0.0, 5.0)
# A node may pass new requests to its upstream for this long after its shutdown began, or after the
# end of the latest fault if that is later (P6).
MAX_DRAIN_ADMISSION_MS = 2000
# Faults of an upstream's answer; the empty one is a correct answer. The upstream refuses the request
# (shed), closes the connection without an answer (close), answers 0.3 to 0.7 s later (late) or 50 ms
# later (slow), omits the last byte (cut), or sends the answer twice (excess).
ANSWER_FAULTS = ("", "shed", "close", "late", "cut", "excess", "slow")
ANSWER_FAULT_WEIGHTS = (70, 8, 4, 6, 4, 4, 4)
# More refusals, since only a further attempt of a refused request can meet a copy of its refusal.
REPEATING_FAULT_WEIGHTS = (50, 40, 1, 2, 1, 1, 1)
# When an upstream writes an answer once more on the connection: never, directly after it, up to
# `MAX_COPY_DELAY_MS` later, or after it has received the next request there.
COPY_TIMES = ("", "at-once", "late", "next")
COPY_TIME_WEIGHTS = (50, 10, 15, 25)
MAX_COPY_DELAY_MS = 100
# Share of the copies that lack the id of the request.
COPY_WITHOUT_ID_SHARE = 0.3
ID_HEADER = "x-attempt"
SEAL_HEADER = "x-seal"
# Requests have ids in all runs; nodes know the header only in runs with this dialect.
DIALECT_WITH_IDS = Dialect(request_id=ID_HEADER, server_seal=SEAL_HEADER)


class Upstreams:
    """The upstreams beside the nodes.

    Args:
        net: Fake network of the run.
        rng: Source of the faults.
        ledger: Records executions.
        copy_rng: Source of the choice of answers that are written once more, None for no copies.
            The nodes need `DIALECT_WITH_IDS` to recognise copies.

    Attributes:
        service_ms: Shortest and longest service time of a request.
    """

    def __init__(
        self,
        net: FakeNetwork,
        rng: random.Random,
        ledger: CheckedLedger,
        copy_rng: random.Random | None = None,
    ) -> None:
        self._net = net
        self._sim = net.sim
        self._rng = rng
        self._ledger = ledger
        self._copy_rng = copy_rng
        self._fault_weights = REPEATING_FAULT_WEIGHTS if copy_rng else ANSWER_FAULT_WEIGHTS
        self.service_ms = SERVICE_MS

    def serve(self, node: FakeNode, sock: FakeSocket) -> None:
        """Serves the requests of one connection until it ends.

        Args:
            node: The node on whose VM the upstream runs.
            sock: The upstream's end of the connection.
        """
        buffered = copy = b""
        try:
            while True:
                while (end := buffered.find(b"\r\n\r\n")) < 0:
                    if not (data := sock.recv(65536)):
                        return
                    buffered += data
                fields = parse_head(buffered[:end])
                buffered = buffered[end + 4 :]
                length = int(fields.get("content-length", "0"))
                while len(buffered) < length:
                    if not (data := sock.recv(65536)):
                        return
                    buffered += data
                buffered = buffered[length:]
                if copy:
                    sock.sendall(copy)
                answer = self._answer_request(node, sock, fields)
                if not answer:
                    return
                copy = self._repeat_answer(node, sock, answer)
        except OSError:
            return
        finally:
            sock.close()

    def _answer_request(self, node: FakeNode, sock: FakeSocket, fields: dict[str, str]) -> bytes:
        """Returns the answer that was sent, empty if the connection must be closed."""
        weights = (1, 0, 0, 0, 0, 0, 1) if self._net.is_fault_free else self._fault_weights
        fault = self._rng.choices(ANSWER_FAULTS, weights)[0]
        grant = fields.get("auburnsail-grant", "")
        attempt_id = fields[ID_HEADER]
        # The upstream runs on the same VM and therefore compares with the same boot clock.
        is_expired = grant and int(grant.split(";")[3]) <= node.now(self._sim.now_ns)
        if fault == "shed" or is_expired:
            self._sim.event_counts["fenced"] += bool(is_expired)
            answer = _refusal(attempt_id)
            sock.sendall(answer)
            return answer
        self._check_drain_stops_admission(node)
        self._ledger.record_execution(attempt_id, fields["method"], grant)
        body = attempt_id.encode() + b";"
        body += b"." * self._rng.choice((0, 10, 1000, 70_000))
        answer = _success(attempt_id, body)
        self._net.sleep(self._rng.uniform(*self.service_ms))
        match fault:
            case "close":
                return b""
            case "late":
                self._net.sleep(self._rng.uniform(300, 700))
            case "slow":
                self._net.sleep(50)
            case "cut":
                sock.sendall(answer[:-1])
                return b""
            case "excess":
                sock.sendall(answer + answer)
                return b""
        sock.sendall(answer)
        return answer

    def _repeat_answer(self, node: FakeNode, sock: FakeSocket, answer: bytes) -> bytes:
        """Writes an answer once more at times; returns the copy that precedes the next answer."""
        rng = self._copy_rng
        if rng is None or self._net.is_fault_free:
            return b""
        when = rng.choices(COPY_TIMES, COPY_TIME_WEIGHTS)[0]
        if not when:
            return b""
        self._sim.fault_counts[f"repeated-answer-{when}"] += 1
        copy = answer
        if rng.random() < COPY_WITHOUT_ID_SHARE:
            copy = answer.replace(f"{ID_HEADER}: ".encode(), b"x-other: ", 1)
        if when == "next":
            return copy
        if when == "at-once":
            sock.sendall(copy)
        else:
            delay_ms = rng.uniform(0, MAX_COPY_DELAY_MS)
            self._net.spawn(node, lambda: self._send_late(sock, copy, delay_ms), is_upstream=True)
        return b""

    def _send_late(self, sock: FakeSocket, copy: bytes, delay_ms: float) -> None:
        self._net.sleep(delay_ms)
        try:
            sock.sendall(copy)
        except OSError:
            return

    def _check_drain_stops_admission(self, node: FakeNode) -> None:
        if not node.stop_requested_ns:
            return
        since_ns = max(node.stop_requested_ns, self._sim.last_fault_end_ns)
        if self._sim.now_ns - since_ns > MAX_DRAIN_ADMISSION_MS * NS_PER_MS:
            raise GuaranteeError(
                "P6",
                f"n{node.number} ran a new request too long after its shutdown began",
            )


def parse_head(head: bytes) -> dict[str, str]:
    """Returns the headers of a request or answer by lower-case name.

    The result also has the first two words of the first line as ``method`` and ``status``.
    """
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines)
    words = first.split(" ")
    return {name.lower(): value for name, value in fields.items()} | {
        "method": words[0],
        "status": words[1],
    }


def _refusal(attempt_id: str) -> bytes:
    lines = ["HTTP/1.1 503 Busy", "auburnsail-not-run: 1", "retry-after: 1", "content-length: 0"]
    return "\r\n".join([*lines, f"{ID_HEADER}: {attempt_id}", "", ""]).encode()


def _success(attempt_id: str, body: bytes) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"x-size: {len(body)}", f"content-length: {len(body)}"]
    lines += [f"{ID_HEADER}: {attempt_id}", f"{SEAL_HEADER}: 1", "", ""]
    return "\r\n".join(lines).encode() + body
