"""Stand-in for links between regions: relays TCP and UDP with delay, limited bandwidth and cuts.

One process serves many relay ports. docs/standins.md describes the settings file and the
administrative paths.
"""

import random
import time
from pathlib import Path

import click
import gevent
import msgspec
from gevent import socket
from gevent.queue import Queue
from gevent.server import DatagramServer, StreamServer

from .link_model import NS_PER_S, Direction, Link, LinkChange, LinkSettings, Relay
from .server import NoDelayServer

BLOCK_BYTES = 64 * 1024
# The relay buffers this many blocks of a stream, 4 MiB, in place of a TCP send window. When the
# queue is full, it stops reading and the rest waits at the sender.
MAX_QUEUED_BLOCKS = 64
CUT_POLL_INTERVAL_S = 0.01
CONNECT_TIMEOUT_S = 5.0
MAX_DATAGRAM_BYTES = 65536
SENDER_IDLE_TIMEOUT_S = 60.0


class StreamRelay(StreamServer):
    """Relays TCP connections to one target.

    Args:
        relay: The relay port.
        link: The link that is simulated.
    """

    def __init__(self, relay: Relay, link: Link) -> None:
        super().__init__(parse_address(relay.listen), backlog=1024)
        self._target = parse_address(relay.target)
        self._link = link

    def handle(self, client: socket.socket, address: tuple) -> None:
        """Relays one connection until both directions have ended."""
        while self._link.forward.conditions.cut or self._link.back.conditions.cut:
            gevent.sleep(CUT_POLL_INTERVAL_S)
        gevent.sleep(self._link.forward.conditions.delay_ms / 1000)
        try:
            target = socket.create_connection(self._target, timeout=CONNECT_TIMEOUT_S)
        except OSError:
            client.close()
            return
        target.settimeout(None)
        for sock in (client, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        forwarders = [
            gevent.spawn(_forward_stream, client, target, self._link.forward),
            gevent.spawn(_forward_stream, target, client, self._link.back),
        ]
        gevent.joinall(forwarders)
        client.close()
        target.close()


def _forward_stream(source: socket.socket, sink: socket.socket, direction: Direction) -> None:
    queue = Queue(MAX_QUEUED_BLOCKS)
    writer = gevent.spawn(_write_blocks, queue, sink, direction)
    while not writer.dead:
        try:
            block = source.recv(BLOCK_BYTES)
        except OSError:
            block = b""
        queue.put((direction.schedule(len(block), now_ns()), block))
        if not block:
            break
    writer.join()


def _write_blocks(queue: Queue, sink: socket.socket, direction: Direction) -> None:
    while True:
        due_ns, block = queue.get()
        _sleep_until(due_ns)
        while direction.conditions.cut:
            gevent.sleep(CUT_POLL_INTERVAL_S)
        try:
            if not block:
                sink.shutdown(socket.SHUT_WR)
                return
            sink.sendall(block)
        except OSError:
            # The receiver has closed the connection. Closing the socket also ends the opposite
            # direction, so that the sender notices; the blocks it still sends are dropped.
            sink.close()
            while queue.get()[1]:
                pass
            return
        direction.traffic.stream_bytes += len(block)


class DatagramRelay(DatagramServer):
    """Relays UDP datagrams to one target, with one socket per sender to receive the replies.

    Args:
        relay: The relay port.
        link: The link that is simulated.
        rng: Random generator that decides which datagrams are lost.
    """

    def __init__(self, relay: Relay, link: Link, rng: random.Random) -> None:
        super().__init__(parse_address(relay.listen))
        self._target = parse_address(relay.target)
        self._link = link
        self._rng = rng
        self._sockets_by_sender: dict[tuple, socket.socket] = {}

    def handle(self, data: bytes, address: tuple) -> None:
        """Relays one datagram."""
        target = self._sockets_by_sender.get(address)
        if target is None:
            target = self._sockets_by_sender[address] = socket.socket(
                socket.AF_INET, socket.SOCK_DGRAM
            )
            target.connect(self._target)
            gevent.spawn(self._relay_replies, target, address)
        self._schedule_datagram(data, self._link.forward, target.send)

    def _relay_replies(self, target: socket.socket, address: tuple) -> None:
        target.settimeout(SENDER_IDLE_TIMEOUT_S)
        while True:
            try:
                data = target.recv(MAX_DATAGRAM_BYTES)
            except TimeoutError:
                self._sockets_by_sender.pop(address).close()
                return
            except OSError:
                # The target's port is closed at the moment; later datagrams may be delivered.
                continue
            self._schedule_datagram(data, self._link.back, lambda data: self.sendto(data, address))

    def _schedule_datagram(self, data: bytes, direction: Direction, send) -> None:
        conditions, traffic = direction.conditions, direction.traffic
        if conditions.cut or self._rng.random() < conditions.loss:
            traffic.lost_datagrams += 1
            return
        delay_ns = direction.schedule(len(data), now_ns()) - now_ns()
        gevent.spawn_later(max(delay_ns, 0) / NS_PER_S, _send_datagram, data, direction, send)


def _send_datagram(data: bytes, direction: Direction, send) -> None:
    try:
        send(data)
    except OSError:
        direction.traffic.lost_datagrams += 1
        return
    direction.traffic.datagrams += 1
    direction.traffic.datagram_bytes += len(data)


class AdminApplication:
    """WSGI application that reports and changes the conditions of links.

    Args:
        links: Links by name.
    """

    def __init__(self, links: dict[str, Link]) -> None:
        self._links = links

    def __call__(self, environ, start_response):
        """Handles one request."""
        status, content = "200 OK", environ["wsgi.input"].read()
        if environ["PATH_INFO"] != "/admin/links":
            status = "404 Not Found"
        elif content:
            try:
                self._change(msgspec.json.decode(content, type=LinkChange))
            except (msgspec.DecodeError, KeyError) as error:
                status = "400 Bad Request"
                content = str(error).encode()
        body = content if status.startswith("400") else msgspec.json.encode(self._state())
        start_response(status, [("content-length", str(len(body)))])
        return [body]

    def _change(self, change: LinkChange) -> None:
        link = self._links[change.link]
        if change.directions in ("both", "forward"):
            link.forward.conditions = change.conditions
        if change.directions in ("both", "back"):
            link.back.conditions = change.conditions

    def _state(self) -> dict:
        return {
            name: {
                side: {"conditions": direction.conditions, "traffic": direction.traffic}
                for side, direction in (("forward", link.forward), ("back", link.back))
            }
            for name, link in self._links.items()
        }


def now_ns() -> int:
    """Returns the time of the monotonic clock in nanoseconds."""
    return time.monotonic_ns()


def parse_address(text: str) -> tuple[str, int]:
    """Splits ``host:port`` into host and port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def _sleep_until(due_ns: int) -> None:
    remaining_ns = due_ns - now_ns()
    if remaining_ns > 0:
        gevent.sleep(remaining_ns / NS_PER_S)


def start_links(settings: LinkSettings, seed: int) -> dict[str, Link]:
    """Starts all relay ports and returns the links by name.

    Args:
        settings: Relay ports, and conditions at the start.
        seed: Seed of the random losses.
    """
    links = {name: Link() for name in {relay.link for relay in settings.relays}}
    for name, conditions in settings.links.items():
        link = links.setdefault(name, Link())
        link.forward.conditions = link.back.conditions = conditions
    rng = random.Random(seed)
    for relay in settings.relays:
        StreamRelay(relay, links[relay.link]).start()
        DatagramRelay(relay, links[relay.link], rng).start()
    return links


@click.command()
@click.argument("settings", type=click.Path(path_type=Path, exists=True))
@click.option("--admin", required=True, help="ip:port to serve the administrative paths on.")
@click.option("--seed", default=1, show_default=True, help="Seed of the random losses.")
def main(settings: Path, admin: str, seed: int) -> None:
    """Runs the relay ports of a settings file."""
    links = start_links(msgspec.json.decode(settings.read_bytes(), type=LinkSettings), seed)
    server = NoDelayServer(parse_address(admin), AdminApplication(links), log=None, error_log=None)
    server.serve_forever()


if __name__ == "__main__":
    main()
