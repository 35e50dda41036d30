"""Decoding of data that other processes wrote, with limits on numbers, texts and addresses.

Any process with access to the store or to a node's addresses may write anything. A decoder that
fails with different errors, or returns a number that no message can carry, moves the failure to a
place far from its cause.
"""

import ipaddress
from collections import Counter
from typing import Annotated, Any, TypeVar

import msgspec
import structlog

from .exceptions import InvalidInputError

__all__ = [
    "MAX_INTEGER",
    "Count",
    "Name",
    "check_address",
    "decode_json",
    "decode_msgpack",
    "reject",
    "rejected_inputs",
]

# Largest integer that all JSON readers represent exactly; it also fits into MessagePack.
MAX_INTEGER = 2**53 - 1
# Limit of the platform's store on the length of a key.
MAX_NAME_LENGTH = 200
MAX_PORT = 65_535
EXCERPT_BYTES = 120

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]

Model = TypeVar("Model")

# Number of inputs that could not be used, by source, since the start of the process.
rejected_inputs: Counter[str] = Counter()


def decode_json(data: bytes, model: type[Model], source: str) -> Model:
    """Decodes JSON.

    Args:
        data: The encoded value.
        model: Type to decode to.
        source: Where the data comes from, for the counter and the log line.

    Raises:
        InvalidInputError: The data is not a value of the type; it was counted and logged.
    """
    return _decode(msgspec.json.decode, data, model, source)


def decode_msgpack(data: bytes, model: type[Model], source: str) -> Model:
    """Decodes MessagePack; see `decode_json`.

    Raises:
        InvalidInputError: The data is not a value of the type; it was counted and logged.
    """
    return _decode(msgspec.msgpack.decode, data, model, source)


def reject(source: str, detail: str, data: bytes) -> InvalidInputError:
    """Counts and logs an input that cannot be used, and returns the error to raise.

    Args:
        source: Where the data comes from.
        detail: What is wrong with it.
        data: The input; the log line contains its beginning.
    """
    rejected_inputs[source] += 1
    view = memoryview(data)
    excerpt = repr(bytes(view[:EXCERPT_BYTES]))
    structlog.get_logger("input").warning(
        "input not usable", source=source, reason=detail, size=len(view), excerpt=excerpt
    )
    return InvalidInputError(detail, step=source)


def check_address(address: str) -> str:
    """Returns an ``ip:port`` address if a connection to it is possible.

    Raises:
        ValueError: The host is not an IP address or the port is out of range.
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= 5 and 0 < int(port) <= MAX_PORT):
        raise ValueError("the port of the address is out of range")
    if len(host) > MAX_NAME_LENGTH:
        raise ValueError("the host of the address is too long")
    ipaddress.ip_address(host.strip("[]"))
    return address


def _decode(decode: Any, data: bytes, model: type[Model], source: str) -> Model:
    try:
        return decode(data, type=model)
    # Deeply nested data raises RecursionError, which is not a ValueError.
    except (msgspec.MsgspecError, ValueError, RecursionError, OverflowError) as error:
        raise reject(source, f"{type(error).__name__}: {error}", data) from None
