"""Answers that the upstream stand-in writes once more on a kept connection."""

import random
import re
from collections.abc import Callable

import gevent

from .server import MAX_RECORDED_BYTES, Connection, UpstreamServer
from .upstream_model import Counters, Faults

__all__ = ["AnswerRepeater"]

ID_LINE = re.compile(rb"x-request-id:[^\r\n]*\r\n", re.IGNORECASE)
NOT_RUN_LINE = re.compile(rb"auburnsail-not-run:", re.IGNORECASE)


class AnswerRepeater:
    """Repeats a share of the refusals and of the other answers to work.

    Args:
        server: The server whose answers are repeated.
        faults: Returns the faults that are injected now.
        counters: Counters of the upstream.
        rng: Source of the choice.
    """

    def __init__(
        self,
        server: UpstreamServer,
        faults: Callable[[], Faults],
        counters: Counters,
        rng: random.Random,
    ) -> None:
        server.on_answer = self._on_answer
        self._server = server
        self._faults = faults
        self._counters = counters
        self._rng = rng

    def _on_answer(self, connection: Connection, answer: bytes) -> None:
        head = answer.partition(b"\r\n\r\n")[0] + b"\r\n"
        if not ID_LINE.search(head) or len(answer) > MAX_RECORDED_BYTES:
            return
        faults = self._faults()
        is_refusal = NOT_RUN_LINE.search(head) is not None
        share = faults.repeat_refusal_share if is_refusal else faults.repeat_answer_share
        if not share or self._rng.random() >= share:
            return
        copy = ID_LINE.sub(b"", answer, count=1) if faults.repeat_without_id else answer
        gevent.spawn_later(faults.repeat_delay_ms / 1000, self._write, connection, copy, is_refusal)

    def _write(self, connection: Connection, copy: bytes, is_refusal: bool) -> None:
        if self._server.is_silent(connection):
            return
        if connection.write_between_answers(copy):
            kind = "refusal" if is_refusal else "answer"
            self._counters.repeated[kind] = self._counters.repeated.get(kind, 0) + 1
