"""Callers of nodes on the users' platform, who must get an answer to every request."""

import random
import time
from collections import Counter

import gevent
from gevent.pool import Pool

from auburnsail._pool import HttpPeer
from auburnsail.exceptions import NotRunError, OutcomeUnknownError
from auburnsail.platform._desired_state import KEY_COUNT
from auburnsail.platform._header_names import DIALECT
from tools.fuzz_platform_upstream import ODD_HEADER

__all__ = ["HOST", "TIMEOUT_MS", "PlatformLoad"]

HOST = "fuzz.example"
TIMEOUT_MS = 2_000
# A node answers at the latest when the time of the request is over.
ANSWER_TIMEOUT_S = TIMEOUT_MS / 1000 + 3
ODD_SHARE = 0.05
MAX_IN_FLIGHT = 2_000
MAX_FINDINGS = 20
PATHS = ("/k/", "/p/", "/u/")


class PlatformLoad:
    """Sends requests at a rate to nodes and judges what comes back.

    Args:
        addresses: Addresses of the nodes for callers.
        rng: Source of the requests.
        rate: Requests per second.

    Attributes:
        counts: Number of requests by outcome.
        findings: Requests without a complete answer of their own, at most `MAX_FINDINGS`.
    """

    def __init__(self, addresses: list[str], rng: random.Random, rate: float) -> None:
        self._peers = [HttpPeer(address) for address in addresses]
        self._rng = rng
        self._rate = rate
        self._pool = Pool(MAX_IN_FLIGHT)
        self._is_stopping = False
        self.counts: Counter[str] = Counter()
        self.findings: list[str] = []

    def run(self) -> None:
        """Sends requests until `stop`."""
        number, due_s = 0, time.monotonic()
        while not self._is_stopping:
            number += 1
            # If all may be in flight, this waits, and the rate that is reached is lower.
            self._pool.spawn(self._send, number)
            due_s += self._rng.expovariate(self._rate)
            gevent.sleep(max(0.0, due_s - time.monotonic()))

    def stop(self) -> None:
        """Ends the requests; returns when the last one has its answer or timed out."""
        self._is_stopping = True
        self._pool.join()
        for peer in self._peers:
            peer.drop_idle()

    def _send(self, number: int) -> None:
        rng = self._rng
        path, request_id = rng.choice(PATHS), f"r-{number}"
        fields = {"Host": HOST, DIALECT.request_id: request_id, DIALECT.deadline_ms: TIMEOUT_MS}
        if path != "/u/":
            fields[DIALECT.key] = rng.randrange(KEY_COUNT)
        is_odd = rng.random() < ODD_SHARE
        if is_odd:
            fields[ODD_HEADER] = rng.randrange(1 << 30)
        method = "POST" if path == "/p/" else "GET"
        outcome = self.exchange(rng.choice(self._peers), method, path, fields)
        self.counts["requests"] += 1
        self.counts[f"odd {outcome}" if is_odd else outcome] += 1
        if problem := judge(outcome, is_odd=is_odd):
            self.counts["violations"] += 1
            if len(self.findings) < MAX_FINDINGS:
                odd = f", odd answer {fields[ODD_HEADER]}" if is_odd else ""
                self.findings.append(f"{method} {path} {request_id}{odd}: {problem}")

    @staticmethod
    def exchange(peer: HttpPeer, method: str, path: str, fields: dict[str, object]) -> str:
        """Sends a request and returns the status of the answer, or what came in place of one."""
        lines = [f"{method} {path} HTTP/1.1", "Content-Length: 0"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        exchange, body = None, b""
        try:
            with gevent.Timeout(ANSWER_TIMEOUT_S):
                exchange = peer.open()
                exchange.send("\r\n".join([*lines, "", ""]).encode())
                answer = exchange.receive_head(method)
                while part := exchange.read():
                    body += part
                exchange.finish()
        except gevent.Timeout:
            return "timeout"
        except NotRunError:
            return "no connection"
        except OutcomeUnknownError:
            return "cut" if exchange.answered else "no answer"
        finally:
            if exchange is not None:
                exchange.abort()
        if answer.status == 200 and body != str(fields[DIALECT.request_id]).encode():
            return "wrong answer"
        return str(answer.status)


def judge(outcome: str, *, is_odd: bool) -> str:
    """Returns what is wrong with an outcome, or an empty string.

    If the upstream's answer is odd, it may be cut, and its body may differ.
    """
    if outcome.isdecimal() or (is_odd and outcome in ("cut", "wrong answer")):
        return ""
    return outcome
