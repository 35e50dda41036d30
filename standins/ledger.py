"""Ledger of all executions at an upstream stand-in, kept in memory and optionally in a file.

Times are nanoseconds of CLOCK_BOOTTIME, the clock of the nodes' leases. Ledgers of upstreams on one
machine can therefore be compared with each other and with the expiry of grants.
"""

import os
import time
from pathlib import Path

import msgspec

COMPLETED = "completed"
CANCELLED = "cancelled"
CRASHED = "crashed"
DEADLINE = "deadline"
LAPSED = "lapsed"
RUNNING = "running"

DEFAULT_MAX_KEPT_EXECUTIONS = 1_000_000


class Execution(msgspec.Struct):
    """One execution of a request.

    Attributes:
        number: Position in the ledger, from 1.
        upstream: Name of the upstream.
        request_id: Value of the ``x-request-id`` header.
        method: HTTP method.
        path: Request path.
        grant: Value of the ``auburnsail-grant`` header, or an empty string.
        started_ns: Start time, after the whole body was received.
        finished_ns: End time; 0 while it runs.
        outcome: One of the constants of this module.
        bytes_in: Size of the request body.
        bytes_out: Number of bytes of the response body that were passed to the connection.
    """

    number: int
    upstream: str
    request_id: str
    method: str
    path: str
    grant: str
    started_ns: int
    finished_ns: int = 0
    outcome: str = RUNNING
    bytes_in: int = 0
    bytes_out: int = 0


class Ledger:
    """Records executions.

    Args:
        path: File to which one JSON line is appended at the start and one at the end of each
            execution, so that the record survives a crash of the upstream; None for memory only.
        limit: Maximum number of executions kept in memory; further ones are counted and written to
            the file.

    Attributes:
        executions: Executions kept in memory.
        count: Number of all executions.
    """

    def __init__(self, path: Path | None = None, limit: int = DEFAULT_MAX_KEPT_EXECUTIONS) -> None:
        flags = os.O_CREAT | os.O_APPEND | os.O_WRONLY
        self._file = None if path is None else os.open(path, flags, 0o644)
        self._limit = limit
        self._encoder = msgspec.json.Encoder()
        self.executions: list[Execution] = []
        self.count = 0

    def begin(self, execution: Execution) -> None:
        """Records the start of an execution and sets its number."""
        self.count += 1
        execution.number = self.count
        if len(self.executions) < self._limit:
            self.executions.append(execution)
        self._write(execution)

    def end(self, execution: Execution, outcome: str) -> None:
        """Records the end of an execution and sets its end time and outcome."""
        execution.finished_ns = now_ns()
        execution.outcome = outcome
        self._write(execution)

    def _write(self, execution: Execution) -> None:
        if self._file is not None:
            os.write(self._file, self._encoder.encode(execution) + b"\n")


def now_ns() -> int:
    """Returns nanoseconds since boot, including time in suspend."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def read_ledger(path: Path) -> list[Execution]:
    """Returns the executions in a ledger file.

    Args:
        path: The file; a last line that a crash left incomplete is ignored.
    """
    decoder = msgspec.json.Decoder(Execution)
    executions: dict[int, Execution] = {}
    for line in path.read_bytes().splitlines(keepends=True):
        if line.endswith(b"\n"):
            execution = decoder.decode(line)
            executions[execution.number] = execution
    return list(executions.values())
