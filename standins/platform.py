"""Stand-in for the platform: a transactional table and an object store over HTTP.

``POST /admin/faults`` sets the faults and replaces all earlier ones; docs/standins.md lists them.
"""

import errno
import random
import time
from bisect import bisect_right, insort
from urllib.parse import parse_qs

import click
import gevent
import msgspec

from auburnsail._store import Row, Transaction

from .server import NoDelayServer

HANG_POLL_INTERVAL_S = 0.02
STATUS_LINES = {
    200: "200 OK",
    404: "404 Not Found",
    409: "409 Conflict",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults.

    Attributes:
        down: Whether every request is answered with 503.
        hang: Whether requests are accepted but neither run nor answered until the fault ends.
        delay_ms: Delay of each request before it takes effect.
        lose_answers: Share of commits that take effect but whose connection is closed without a
            response.
        land_late: Share of commits whose connection is closed before they take effect.
        land_late_ms: Delay after which these commits take effect.
        writes_per_s: Rate limit on commits and object writes; 0 for none.
        reads_per_s: Rate limit on reads and scans; 0 for none.
        objects_down: Whether requests for objects are answered with 503.
        objects_delay_ms: Additional delay of requests for objects.
        objects_cut: Share of object reads whose connection is closed in the middle of the body.
    """

    down: bool = False
    hang: bool = False
    delay_ms: float = 0.0
    lose_answers: float = 0.0
    land_late: float = 0.0
    land_late_ms: float = 500.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    objects_down: bool = False
    objects_delay_ms: float = 0.0
    objects_cut: float = 0.0


class Counters(msgspec.Struct):
    """Counters since the start of the process.

    Attributes:
        reads: Row reads, scans and object reads that were admitted.
        writes: Commits and object writes that were admitted.
        conflicts: Commits with a failed check.
        refused: Requests over a rate limit.
        unavailable: Requests that failed because of an outage.
        lost_answers: Commits that took effect but got no response.
        landed_late: Commits that took effect after their connection was closed.
        operations: Admitted requests by method and path.
        bytes_in: Bytes of request bodies.
        bytes_out: Bytes of response bodies.
    """

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    refused: int = 0
    unavailable: int = 0
    lost_answers: int = 0
    landed_late: int = 0
    operations: dict[str, int] = {}
    bytes_in: int = 0
    bytes_out: int = 0


class RateLimit:
    """Token bucket whose capacity is the operations of one second."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._updated_s = time.monotonic()

    def admit(self, per_second: float) -> bool:
        """Takes a token and returns whether there was one; a rate of 0 means no limit."""
        now = time.monotonic()
        self._tokens = min(per_second, self._tokens + (now - self._updated_s) * per_second)
        self._updated_s = now
        if per_second == 0:
            return True
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Platform:
    """WSGI application with the state of the table and of the object store."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.counters = Counters()
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._objects: dict[str, bytes] = {}
        self._write_limit = RateLimit()
        self._read_limit = RateLimit()
        self._random = random.Random(1)

    def __call__(self, environ, start_response):
        """Handles one request."""
        path = environ["PATH_INFO"]
        query = {name: values[0] for name, values in parse_qs(environ["QUERY_STRING"]).items()}
        body = environ["wsgi.input"].read()
        if path.startswith("/admin/"):
            status, answer = self._serve_admin(path, body)
        else:
            status, answer = self._serve(environ["REQUEST_METHOD"], path, query, body)
        start_response(STATUS_LINES[status], [("Content-Length", str(len(answer)))])
        if path == "/object" and status == 200 and self._draw_fault(self.faults.objects_cut):
            return self._cut_off_body(answer)
        return [answer]

    def _draw_fault(self, share: float) -> bool:
        return share > 0 and self._random.random() < share

    def _serve_admin(self, path: str, body: bytes) -> tuple[int, bytes]:
        if path == "/admin/faults" and body:
            self.faults = msgspec.json.decode(body, type=Faults)
        return 200, msgspec.json.encode({"faults": self.faults, "counters": self.counters})

    def _serve(self, method: str, path: str, query: dict, body: bytes) -> tuple[int, bytes]:
        faults = self.faults
        is_object = path.startswith("/object")
        delay_ms = faults.delay_ms + (faults.objects_delay_ms if is_object else 0.0)
        if delay_ms:
            gevent.sleep(delay_ms / 1000)
        if self.faults.hang:
            self.counters.unavailable += 1
            while self.faults.hang:
                gevent.sleep(HANG_POLL_INTERVAL_S)
            raise _connection_closed("outage")
        if self.faults.down or (is_object and self.faults.objects_down):
            self.counters.unavailable += 1
            return 503, b"store is down"
        if not self._admit(method in ("POST", "PUT")):
            self.counters.refused += 1
            return 429, b"rate limit"
        operation = f"{method} {path}"
        operations = self.counters.operations
        operations[operation] = operations.get(operation, 0) + 1
        self.counters.bytes_in += len(body)
        status, answer = self._dispatch(method, path, query, body)
        self.counters.bytes_out += len(answer)
        return status, answer

    def _admit(self, is_write: bool) -> bool:
        if is_write:
            if not self._write_limit.admit(self.faults.writes_per_s):
                return False
            self.counters.writes += 1
        else:
            if not self._read_limit.admit(self.faults.reads_per_s):
                return False
            self.counters.reads += 1
        return True

    def _dispatch(self, method: str, path: str, query: dict, body: bytes) -> tuple[int, bytes]:
        match method, path:
            case "POST", "/table/commit":
                return self._commit_with_faults(msgspec.json.decode(body, type=Transaction))
            case "GET", "/table/row":
                return self._read_row(query["key"])
            case "GET", "/table/rows":
                return self._scan(query["prefix"], query.get("after", ""), int(query["limit"]))
            case "PUT", "/object":
                self._objects[query["key"]] = body
                return 200, b""
            case "GET", "/object":
                data = self._objects.get(query["key"])
                return (404, b"no such object") if data is None else (200, data)
            case "GET", "/objects":
                prefix = query.get("prefix", "")
                keys = sorted(key for key in self._objects if key.startswith(prefix))
                return 200, msgspec.json.encode(keys)
        return 404, b"no such path"

    def _cut_off_body(self, answer: bytes):
        yield answer[: len(answer) // 2]
        raise _connection_closed("object cut off")

    def _commit_with_faults(self, transaction: Transaction) -> tuple[int, bytes]:
        if self._draw_fault(self.faults.land_late):
            gevent.spawn_later(self.faults.land_late_ms / 1000, self._commit_late, transaction)
            raise _connection_closed("answer lost before the commit")
        status, answer = self._commit(transaction)
        if status == 200 and self._draw_fault(self.faults.lose_answers):
            self.counters.lost_answers += 1
            raise _connection_closed("answer lost after the commit")
        return status, answer

    def _commit_late(self, transaction: Transaction) -> None:
        status, _ = self._commit(transaction)
        self.counters.landed_late += status == 200

    def _commit(self, transaction: Transaction) -> tuple[int, bytes]:
        for check in transaction.checks:
            row = self._rows.get(check.key)
            version = row.version if row else 0
            if version != check.version:
                self.counters.conflicts += 1
                return 409, f"{check.key} is at version {version}".encode()
        for put in transaction.puts:
            row = self._rows.get(put.key)
            if row is None:
                insort(self._keys, put.key)
            self._rows[put.key] = Row(put.key, (row.version if row else 0) + 1, put.value)
        return 200, b""

    def _read_row(self, key: str) -> tuple[int, bytes]:
        row = self._rows.get(key)
        return (404, b"no such row") if row is None else (200, msgspec.json.encode(row))

    def _scan(self, prefix: str, after: str, limit: int) -> tuple[int, bytes]:
        rows = []
        position = bisect_right(self._keys, max(after, prefix[:-1]))
        while position < len(self._keys) and len(rows) < limit:
            key = self._keys[position]
            if key > prefix and not key.startswith(prefix):
                break
            if key.startswith(prefix) and key > after:
                rows.append(self._rows[key])
            position += 1
        return 200, msgspec.json.encode(rows)


def _connection_closed(reason: str) -> ConnectionResetError:
    # On this error the server closes the connection without a response.
    return ConnectionResetError(errno.ECONNRESET, reason)


@click.command()
@click.option("--listen", default="127.0.0.1:7000", show_default=True, help="ip:port to listen on.")
def main(listen: str) -> None:
    """Runs the platform stand-in."""
    host, _, port = listen.rpartition(":")
    server = NoDelayServer((host, int(port)), Platform(), log=None, error_log=None, backlog=1024)
    server.serve_forever()


if __name__ == "__main__":
    main()
