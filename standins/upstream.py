"""Stand-in for an upstream that runs requests and keeps a ledger of every execution."""

import time

import click
import gevent
import msgspec
from gevent import socket
from gevent.pywsgi import WSGIServer

from auburnsail._pool import HttpPeer
from auburnsail.exceptions import AuburnsailError

ANNOUNCE_EVERY_S = 1.0


class Execution(msgspec.Struct):
    """One run of a request."""

    request_id: str
    method: str
    path: str
    grant: str
    started_s: float
    finished_s: float = 0.0


class Upstream:
    """WSGI application of the stand-in.

    Args:
        name: Returned in answers.
        service_ms: Time that a request takes in milliseconds.
    """

    def __init__(self, name: str, service_ms: float) -> None:
        self._name = name
        self._service_ms = service_ms
        self.ledger: list[Execution] = []

    def __call__(self, environ, start_response):
        """Serves one request."""
        if environ["PATH_INFO"] == "/admin/ledger":
            return self._answer(start_response, msgspec.json.encode(self.ledger))
        body = environ["wsgi.input"].read()
        execution = Execution(
            environ.get("HTTP_X_REQUEST_ID", ""),
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            environ.get("HTTP_AUBURNSAIL_GRANT", ""),
            time.time(),
        )
        self.ledger.append(execution)
        gevent.sleep(self._service_ms / 1000)
        execution.finished_s = time.time()
        answer = {"upstream": self._name, "request": execution.request_id, "bytes": len(body)}
        return self._answer(start_response, msgspec.json.encode(answer))

    def _answer(self, start_response, body: bytes) -> list[bytes]:
        start_response("200 OK", [("content-length", str(len(body)))])
        return [body]


class NoDelayServer(WSGIServer):
    """Sets TCP_NODELAY, because head and body leave in two writes."""

    def handle(self, sock, address):
        """Handles one accepted connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def announce(node: HttpPeer, announcement: dict) -> None:
    """Announces the upstream to the node beside it until the process ends."""
    body = msgspec.json.encode(announcement)
    while True:
        try:
            node.fetch("POST", "/v1/announce", body, timeout_s=1.0)
        except AuburnsailError as error:
            click.echo(f"announce failed: {error}", err=True)
        gevent.sleep(ANNOUNCE_EVERY_S)


@click.command()
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--listen", required=True, help="ip:port to listen on.")
@click.option("--node", required=True, help="Control address of the node beside the upstream.")
@click.option("--slots", default=12, show_default=True)
@click.option("--service-ms", default=1.0, show_default=True)
def main(name: str, service: str, listen: str, node: str, slots: int, service_ms: float) -> None:
    """Runs an upstream stand-in."""
    host, _, port = listen.rpartition(":")
    server = NoDelayServer((host, int(port)), Upstream(name, service_ms), log=None, error_log=None)
    server.start()
    announce(HttpPeer(node), {"service": service, "address": listen, "slots": slots})


if __name__ == "__main__":
    main()
