"""Minimal HTTP/1.1 server and client on asyncio streams, for the stand-ins of the review cases."""

import asyncio
from dataclasses import dataclass, field

MAX_LINE_BYTES = 128 * 1024


@dataclass
class Message:
    """A request or an answer that was read whole; header names are in lower case."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads one message; returns None if the connection ends before its first byte.

    Raises:
        EOFError: The connection ended inside the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    message = Message(first_line)
    for line in lines:
        name, _, value = line.partition(":")
        message.headers[name.lower()] = value.strip()
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        message.body = b"".join(parts)
    elif "content-length" in message.headers:
        message.body = await reader.readexactly(int(message.headers["content-length"]))
    return message


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns an encoded request."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_answer(status: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns an encoded answer."""
    lines = [f"HTTP/1.1 {status}", *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Message | None:
    """Sends one request on a new connection; returns the answer, None if the connection ended.

    Raises:
        OSError: The connection could not be made or broke.
        TimeoutError: There was no whole answer in time.
        EOFError: The answer was cut short.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_LINE_BYTES)
        try:
            fields = {"Host": address} | (headers or {})
            writer.write(encode_request(method, target, fields, body))
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()
