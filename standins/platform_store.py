"""Stand-in for the users' platform's store: tables of rows, change feeds and objects.

tests/test_platform_store.py runs it in the process of the test, tools/fuzz_platform_store.py as a
process of its own.
"""

import base64
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.pywsgi import WSGIServer


class StoreStandIn:
    """In-memory store with rows, change feeds, objects and injected faults.

    Args:
        address: IP address and port to listen on; port 0 for any that is free.

    Attributes:
        rows: Rows by table and key.
        blobs: Objects by name.
        version: Version of the store.
        oldest_version: First version whose changes are still available.
        forced_status: Status of every response; 0 for the regular ones.
        is_silent: Whether requests are not answered.
        page_size: Maximum number of rows in one response.
        address: ``ip:port`` of the store.
    """

    def __init__(self, address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self.rows: dict[tuple[str, str], dict] = {}
        self.blobs: dict[str, bytes] = {}
        self.version = 0
        self.oldest_version = 0
        self.forced_status = 0
        self.is_silent = False
        self.page_size = 500
        self._server = WSGIServer(address, self._serve, log=None, error_log=None)
        self._server.start()
        self.address = f"{address[0]}:{self._server.server_port}"

    def stop(self) -> None:
        """Stops the server."""
        self._server.stop(timeout=0)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row as an operator would."""
        self.version += 1
        encoded = base64.b64encode(value).decode()
        self.rows[table, key] = {
            "table": table,
            "part": "",
            "key": key,
            "value": encoded,
            "ver": self.version,
        }

    def _serve(self, environ, start_response):
        while self.is_silent:
            gevent.sleep(0.05)
        path = environ["PATH_INFO"]
        query = {name: values[0] for name, values in parse_qs(environ["QUERY_STRING"]).items()}
        body = environ["wsgi.input"].read()
        status, answer = (
            (self.forced_status, b"") if self.forced_status else self._answer(path, query, body)
        )
        start_response(f"{status} X", [("content-length", str(len(answer)))])
        return [answer]

    def _answer(self, path: str, query: dict, body: bytes) -> tuple[int, bytes]:
        if path == "/rows-tx":
            return self._transaction(msgspec.json.decode(body))
        if path == "/rows-get":
            keys = sorted(
                key
                for table, key in self.rows
                if table == query["table"]
                and query.get("from", "") <= key < query.get("target", "\U0010ffff")
            )
            row_count = min(self.page_size, int(query["limit"]))
            rows = [self.rows[query["table"], key] for key in keys[:row_count]]
            content = {"rows": rows, "has-more": len(keys) > row_count, "ver": self.version}
            return 200, msgspec.json.encode(content)
        if path == "/rows-feed":
            return self._wait_for_changes(query)
        name = path.rpartition("/")[2]
        if path.startswith("/blob-put/"):
            self.blobs[name] = body
            return 200, b"{}"
        if path.startswith("/blob-get/"):
            return (200, self.blobs[name]) if name in self.blobs else (404, b"")
        names = sorted(key for key in self.blobs if key.startswith(query["path-prefix"]))
        return 200, msgspec.json.encode({"names": names, "has-more": False})

    def _wait_for_changes(self, query: dict) -> tuple[int, bytes]:
        after = int(query["after"])
        if after < self.oldest_version:
            return 410, b""
        with gevent.Timeout(int(query["wait-ms"]) / 1000, False):
            while not self._changed_rows(query["table"], after):
                seen_version = self.version
                while self.version == seen_version:
                    gevent.sleep(0.01)
        rows = self._changed_rows(query["table"], after)
        return 200, msgspec.json.encode({"rows": rows, "ver": self.version})

    def _changed_rows(self, table: str, after: int) -> list[dict]:
        return [row for row in self.rows.values() if row["table"] == table and row["ver"] > after]

    def _transaction(self, call: dict) -> tuple[int, bytes]:
        for item in call["expected-revision"]:
            row = self.rows.get((item["table"], item["key"]))
            if (row["ver"] if row else 0) != item["ver"]:
                return 412, b"{}"
        for item in call["puts"]:
            self.put(item["table"], item["key"], base64.b64decode(item["value"]))
        return 200, msgspec.json.encode({"ver": self.version})
