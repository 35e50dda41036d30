"""Stand-in for the platform's metadata store: rows, change feeds and objects, in memory."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from .http11 import MAX_LINE_BYTES, encode_answer, read_message

MAX_ROWS_PER_ANSWER = 500
# "4 ms an answer"
ANSWER_S = 0.004
PROTECTED_TABLES = ("op", "servers")


class Store:
    """Serves the store's HTTP interface.

    Each machine reaches it at an address of its own, so that the distance can differ.
    """

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._objects: dict[str, bytes] = {}
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []

    async def listen(self, address: str, round_trip_s: float) -> None:
        """Starts to listen on an address.

        Args:
            address: ``ip:port``.
            round_trip_s: Time that a call takes on the way and back.
        """

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(reader, writer, round_trip_s / 2)

        host, _, port = address.rpartition(":")
        self._servers.append(
            await asyncio.start_server(serve, host, int(port), limit=MAX_LINE_BYTES)
        )

    async def put_config(self, config: dict) -> None:
        """Writes the desired state as the operator does."""
        await self._put([("op", "", "config", json.dumps(config).encode())])

    async def _put(self, puts: list[tuple[str, str, str, bytes]]) -> None:
        async with self._changed:
            self.version += 1
            for table, part, key, value in puts:
                self._rows[table, part, key] = {
                    "table": table,
                    "part": part,
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "ver": self.version,
                }
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, one_way_s: float
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(one_way_s)
                await asyncio.sleep(ANSWER_S)
                status, answer = await self._answer(request)
                await asyncio.sleep(one_way_s)
                body = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
                writer.write(
                    encode_answer(f"{status} X", {"Content-Type": "application/json"}, body)
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request) -> tuple[int, object]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        name = unquote(url.path.rpartition("/")[2])
        match request.method, url.path:
            case "POST", "/rows-tx":
                return await self._transaction(json.loads(request.body))
            case "GET", "/rows-get":
                return 200, self._read(query)
            case "GET", "/rows-feed":
                return await self._feed(query)
            case "GET", "/blob-list":
                prefix = query.get("path-prefix", "")
                names = sorted(key for key in self._objects if key.startswith(prefix))
                return 200, {"names": names, "has-more": False}
            case "PUT", _:
                self._objects[name] = request.body
                return 200, {}
            case "GET", _ if url.path.startswith("/blob-get/"):
                return (200, self._objects[name]) if name in self._objects else (404, {})
        return 404, {}

    def _envelope(self, rows: list[dict]) -> dict:
        return {"rows": rows, "ver": self.version, "now-ms": int(time.monotonic() * 1000)}

    async def _transaction(self, call: dict) -> tuple[int, object]:
        entries = [*call.get("puts", []), *call.get("remove", [])]
        if any(entry["table"] in PROTECTED_TABLES for entry in entries):
            return 403, {}
        expected = call.get("expected-revision", [])
        keys = [(item["table"], item.get("part", ""), item["key"]) for item in expected]
        for item, key in zip(expected, keys, strict=True):
            row = self._rows.get(key)
            if (row["ver"] if row else 0) != item["ver"]:
                return 412, self._envelope([self._rows[k] for k in keys if k in self._rows])
        puts = [
            (put["table"], put.get("part", ""), put["key"], base64.b64decode(put["value"]))
            for put in call.get("puts", [])
        ]
        await self._put(puts)
        for item in call.get("remove", []):
            self._rows.pop((item["table"], item.get("part", ""), item["key"]), None)
        return 200, {"ver": self.version, "now-ms": int(time.monotonic() * 1000)}

    def _read(self, query: dict) -> dict:
        keys = sorted(
            (key.encode(), (table, part, key))
            for table, part, key in self._rows
            if table == query["table"]
            and part == query.get("part", "")
            and query.get("from", "").encode() <= key.encode()
            and ("target" not in query or key.encode() < query["target"].encode())
        )
        limit = min(MAX_ROWS_PER_ANSWER, int(query.get("limit", MAX_ROWS_PER_ANSWER)))
        rows = [self._rows[key] for _, key in keys[:limit]]
        return self._envelope(rows) | {"has-more": len(keys) > limit}

    async def _feed(self, query: dict) -> tuple[int, object]:
        after, table = int(query["after"]), query["table"]

        def changes() -> list[dict]:
            rows = [row for row in self._rows.values() if row["table"] == table]
            return sorted((r for r in rows if r["ver"] > after), key=lambda row: row["ver"])

        async with self._changed:
            try:
                async with asyncio.timeout(int(query.get("wait-ms", 0)) / 1000):
                    await self._changed.wait_for(changes)
            except TimeoutError:
                pass
        return 200, self._envelope(changes())
