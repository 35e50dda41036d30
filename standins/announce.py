"""Announces an upstream stand-in to the local node."""

from collections.abc import Callable

import click
import gevent
import msgspec
from geventhttpclient import HTTPClient

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0


def announce_forever(node: str, read_announcement: Callable[[], dict]) -> None:
    """Announces an upstream to the local node until the process ends.

    Only the first of several consecutive failures is printed.

    Args:
        node: Control address of the node, ``ip:port``.
        read_announcement: Returns the current announcement.
    """
    host, _, port = node.rpartition(":")
    client = HTTPClient(
        host,
        int(port),
        connection_timeout=ANNOUNCE_TIMEOUT_S,
        network_timeout=ANNOUNCE_TIMEOUT_S,
    )
    failures = 0
    while True:
        try:
            body = msgspec.json.encode(read_announcement())
            client.post("/v1/announce", body=body).read()
            failures = 0
        except Exception as error:
            failures += 1
            if failures == 1:
                click.echo(f"announce to {node} failed: {error!r}", err=True)
        gevent.sleep(ANNOUNCE_INTERVAL_S)
