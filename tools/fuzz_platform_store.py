"""Stand-in for the platform's store that writes odd answers to a share of the calls."""

import random
import time
from collections import Counter

import click
import gevent
import msgspec
from gevent.pywsgi import WSGIHandler

from standins.platform_store import StoreStandIn
from tools.fuzz import mutate_bytes, mutate_value

__all__ = ["REGULAR_HEADER", "OddStore"]

# A call with this header gets no odd answer.
REGULAR_HEADER = "x-fuzz-regular"

SOCKET_KEY = "fuzz.socket"
ADMIN_PATH = "/admin/odd"
COMMIT_PATH = "/rows-tx"
FLEET_TABLE = "fleet"
TRACED_BYTES = 60
# Longer than a node waits for the answer to a call.
LATE_S = 2.0
KINDS = ("value", "bytes", "doubled", "earlier", "status", "head", "late")
# Statuses that the store's documentation does not list. They state nothing about a commit.
ODD_STATUSES = (201, 204, 302, 404, 418, 500, 999)


class _Shown(msgspec.Struct):
    rows: list[dict] = []


class _Handler(WSGIHandler):
    """Handler whose application can write to the connection."""

    def get_environ(self) -> dict:
        """Returns the environ of a request, with the socket of its connection."""
        return super().get_environ() | {SOCKET_KEY: self.socket}


class OddStore(StoreStandIn):
    """Store whose answers are odd for a share of the calls, set by ``POST /admin/odd``.

    An odd answer is a changed one, an earlier answer to a call with the same path, one that lists
    everything twice, one with another status, one that is late, or bytes that are no HTTP. The call
    itself takes effect as usual. The output has each odd answer and each write of the fleet's rows.

    Args:
        address: IP address and port to listen on.
        rng: Source of the answers.

    Attributes:
        share: Share of the calls.
        counts: Number of odd answers by path and kind.
        changed_rows: Key, shown value and current value of each row that an odd answer showed
            with another key, version or value. None stands for a missing row and for a value that
            is no text.
    """

    def __init__(self, address: tuple[str, int], rng: random.Random) -> None:
        self._rng = rng
        self._earlier: dict[str, list[bytes]] = {}
        self.share = 0.0
        self.counts: Counter[str] = Counter()
        self.changed_rows: list[tuple[str, str | None, str | None]] = []
        super().__init__(address)
        self._server.handler_class = _Handler

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row."""
        super().put(table, key, value)
        if table == FLEET_TABLE:
            _trace(f"row {key} {self.version} {len(value)} bytes {value[:TRACED_BYTES]!r}")

    def _serve(self, environ, start_response):
        if environ["PATH_INFO"] == ADMIN_PATH:
            return self._serve_admin(environ, start_response)
        heads: list[tuple[str, list]] = []
        (body,) = super()._serve(environ, lambda *head: heads.append(head))
        ((status, headers),) = heads
        path = environ["PATH_INFO"]
        step = path.split("/")[1]
        earlier = self._earlier.setdefault(step, [])
        earlier.append(body)
        del earlier[:-100]
        if "HTTP_X_FUZZ_REGULAR" not in environ and self._rng.random() < self.share:
            kind = self._rng.choice(KINDS)
            self.counts[f"{step} {kind}"] += 1
            status, body = self._odd_answer(kind, step, status, body)
            _trace(f"{kind} answer to {path}?{environ['QUERY_STRING']}: {status}")
            headers = [("content-length", str(len(body)))]
            shown = body
            if kind == "head":
                head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n\r\n".encode()
                data = mutate_bytes(self._rng, head + body)
                environ[SOCKET_KEY].sendall(data)
                headers.append(("connection", "close"))
                shown = data.partition(b"\r\n\r\n")[2]
            self._record_changed_rows(step, shown)
            if status.startswith("204"):
                headers, body = [], b""
        start_response(status, headers)
        return [body]

    def _odd_answer(self, kind: str, step: str, status: str, body: bytes) -> tuple[str, bytes]:
        rng = self._rng
        if kind == "late":
            gevent.sleep(LATE_S)
        elif kind == "status":
            return f"{rng.choice(ODD_STATUSES)} X", body
        elif kind == "earlier":
            return status, rng.choice(self._earlier[step])
        elif kind == "bytes":
            return status, mutate_bytes(rng, body)
        elif kind in ("value", "doubled"):
            try:
                content = msgspec.json.decode(body)
            except msgspec.DecodeError:
                return status, mutate_bytes(rng, body)
            if kind == "value":
                return status, msgspec.json.encode(mutate_value(rng, content))
            for name in ("rows", "names"):
                if name in content:
                    content[name] = content[name] * 2
            return status, msgspec.json.encode(content)
        return status, body

    def _record_changed_rows(self, step: str, body: bytes) -> None:
        try:
            rows = msgspec.json.decode(body, type=_Shown).rows
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return
        for row in rows:
            current = self.rows.get((row.get("table"), row.get("key")), {})
            if row != current:
                # A node that has seen another version of the row may log the current one again.
                values = (_value_of(row), _value_of(current))
                self.changed_rows.append((str(row.get("key")), *values))
            change = "the row" if row == current else "a changed row"
            name = f"{row.get('key')!r:.60} {row.get('ver')!r:.60}"
            _trace(f"{step} shows {change} {name} {row.get('value')!s:.200}")

    def _serve_admin(self, environ, start_response):
        if body := environ["wsgi.input"].read():
            self.share = msgspec.json.decode(body)["share"]
        answer = msgspec.json.encode({"counts": self.counts, "changed-rows": self.changed_rows})
        start_response("200 OK", [("content-length", str(len(answer)))])
        return [answer]


def _trace(text: str) -> None:
    click.echo(f"{time.time():.4f} {text}")


def _value_of(row: dict) -> str | None:
    """Returns the value of a shown row; to a node, one without a value has an empty one."""
    value = row.get("value", "") if row else None
    return value if isinstance(value, str) else None


@click.command()
@click.option("--listen", required=True, help="ip:port to listen on.")
@click.option("--seed", default=1, show_default=True, help="Seed of the odd answers.")
def main(listen: str, seed: int) -> None:
    """Runs the store."""
    host, _, port = listen.rpartition(":")
    OddStore((host, int(port)), random.Random(seed))
    gevent.wait()


if __name__ == "__main__":
    main()
