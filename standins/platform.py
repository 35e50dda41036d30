"""Stand-in for the platform: a transactional table and an object store over HTTP.

Faults are set with ``POST /admin/faults``: ``down`` answers 503, ``delay_ms`` delays each answer,
``lose_answers`` is the share of commits that take effect while the connection is closed without
an answer, and ``writes_per_s`` and ``reads_per_s`` limit the rate.
"""

import random
import time
from bisect import bisect_right, insort
from urllib.parse import parse_qs

import click
import gevent
import msgspec
from gevent.pywsgi import WSGIServer

from auburnsail._store import Row, Transaction

STATUS_LINES = {
    200: "200 OK",
    404: "404 Not Found",
    409: "409 Conflict",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}


class Faults(msgspec.Struct):
    """Faults in force."""

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: float = 0.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


class Counters(msgspec.Struct):
    """Operations served since the start."""

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    refused: int = 0


class RateLimit:
    """Token bucket that holds one second of operations."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._updated = time.monotonic()

    def admit(self, per_second: float) -> bool:
        """Takes a token; a rate of 0 means no limit."""
        now = time.monotonic()
        self._tokens = min(per_second, self._tokens + (now - self._updated) * per_second)
        self._updated = now
        if per_second == 0:
            return True
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Platform:
    """State of both stores."""

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
        """Serves one request."""
        path = environ["PATH_INFO"]
        query = {name: values[0] for name, values in parse_qs(environ["QUERY_STRING"]).items()}
        body = environ["wsgi.input"].read()
        if path.startswith("/admin/"):
            status, answer = self._admin(path, body)
        else:
            status, answer = self._serve(environ["REQUEST_METHOD"], path, query, body)
            if status == 200 and path == "/table/commit" and self._lose_answer():
                raise ConnectionResetError("answer lost on purpose")
        start_response(STATUS_LINES[status], [("Content-Length", str(len(answer)))])
        return [answer]

    def _lose_answer(self) -> bool:
        return self._random.random() < self.faults.lose_answers

    def _admin(self, path: str, body: bytes) -> tuple[int, bytes]:
        if path == "/admin/faults" and body:
            self.faults = msgspec.json.decode(body, type=Faults)
        return 200, msgspec.json.encode({"faults": self.faults, "counters": self.counters})

    def _serve(self, method: str, path: str, query: dict, body: bytes) -> tuple[int, bytes]:
        if self.faults.delay_ms:
            gevent.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return 503, b"store is down"
        is_write = method in ("POST", "PUT")
        limit, rate = (
            (self._write_limit, self.faults.writes_per_s)
            if is_write
            else (self._read_limit, self.faults.reads_per_s)
        )
        if not limit.admit(rate):
            self.counters.refused += 1
            return 429, b"rate limit"
        if is_write:
            self.counters.writes += 1
        else:
            self.counters.reads += 1
        match method, path:
            case "POST", "/table/commit":
                return self._commit(msgspec.json.decode(body, type=Transaction))
            case "GET", "/table/row":
                return self._row(query["key"])
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

    def _row(self, key: str) -> tuple[int, bytes]:
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


@click.command()
@click.option("--listen", default="127.0.0.1:7000", show_default=True, help="ip:port to listen on.")
def main(listen: str) -> None:
    """Runs the platform stand-in."""
    host, _, port = listen.rpartition(":")
    WSGIServer((host, int(port)), Platform(), log=None, error_log=None).serve_forever()


if __name__ == "__main__":
    main()
