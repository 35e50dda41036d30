"""Stand-in for the links between regions: relays TCP and UDP with delay, bandwidth and cuts.

One process carries many relay ports. docs/standins.md describes the settings file and the
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
# A stream takes in as much as a sender's window; the rest waits at the sender.
BLOCKS_IN_FLIGHT = 64
CUT_POLL_S = 0.01
CONNECT_TIMEOUT_S = 5.0
DATAGRAM_BYTES = 65536
IDLE_SENDER_S = 60.0


class StreamRelay(StreamServer):
    """Relays TCP connections to one target.

    Args:
        relay: The relay port.
        link: The link that the bytes cross.
    """

    def __init__(self, relay: Relay, link: Link) -> None:
        super().__init__(parse_address(relay.listen), backlog=1024)
        self._target = parse_address(relay.target)
        self._link = link

    def handle(self, near: socket.socket, address: tuple) -> None:
        """Relays one connection in both directions until both have ended."""
        while self._link.forward.conditions.cut or self._link.back.conditions.cut:
            gevent.sleep(CUT_POLL_S)
        gevent.sleep(self._link.forward.conditions.delay_ms / 1000)
        try:
            far = socket.create_connection(self._target, timeout=CONNECT_TIMEOUT_S)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pumps = [
            gevent.spawn(_pump, near, far, self._link.forward),
            gevent.spawn(_pump, far, near, self._link.back),
        ]
        gevent.joinall(pumps)
        near.close()
        far.close()


def _pump(source: socket.socket, sink: socket.socket, direction: Direction) -> None:
    queue = Queue(BLOCKS_IN_FLIGHT)
    writer = gevent.spawn(_write, queue, sink, direction)
    while not writer.dead:
        try:
            block = source.recv(BLOCK_BYTES)
        except OSError:
            block = b""
        queue.put((direction.due_ns(len(block), now_ns()), block))
        if not block:
            break
    writer.join()


def _write(queue: Queue, sink: socket.socket, direction: Direction) -> None:
    while True:
        due_ns, block = queue.get()
        _sleep_until(due_ns)
        while direction.conditions.cut:
            gevent.sleep(CUT_POLL_S)
        try:
            if not block:
                sink.shutdown(socket.SHUT_WR)
                return
            sink.sendall(block)
        except OSError:
            # The other side is gone. Closing the socket ends the opposite direction as well, which
            # tells the sender; what it still sends is dropped.
            sink.close()
            while queue.get()[1]:
                pass
            return
        direction.traffic.stream_bytes += len(block)


class DatagramRelay(DatagramServer):
    """Relays UDP datagrams to one target; each sender has a socket of its own for the answers.

    Args:
        relay: The relay port.
        link: The link that the datagrams cross.
        source: Source of randomness for losses.
    """

    def __init__(self, relay: Relay, link: Link, source: random.Random) -> None:
        super().__init__(parse_address(relay.listen))
        self._target = parse_address(relay.target)
        self._link = link
        self._random = source
        self._senders: dict[tuple, socket.socket] = {}

    def handle(self, data: bytes, address: tuple) -> None:
        """Relays one datagram."""
        far = self._senders.get(address)
        if far is None:
            far = self._senders[address] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            far.connect(self._target)
            gevent.spawn(self._relay_answers, far, address)
        self._carry(data, self._link.forward, far.send)

    def _relay_answers(self, far: socket.socket, address: tuple) -> None:
        far.settimeout(IDLE_SENDER_S)
        while True:
            try:
                data = far.recv(DATAGRAM_BYTES)
            except TimeoutError:
                self._senders.pop(address).close()
                return
            except OSError:
                # The target's port is closed for now; a later datagram may reach it.
                continue
            self._carry(data, self._link.back, lambda data: self.sendto(data, address))

    def _carry(self, data: bytes, direction: Direction, send) -> None:
        conditions, traffic = direction.conditions, direction.traffic
        if conditions.cut or self._random.random() < conditions.loss:
            traffic.lost_datagrams += 1
            return
        wait_ns = direction.due_ns(len(data), now_ns()) - now_ns()
        gevent.spawn_later(max(wait_ns, 0) / NS_PER_S, _send, data, direction, send)


def _send(data: bytes, direction: Direction, send) -> None:
    try:
        send(data)
    except OSError:
        direction.traffic.lost_datagrams += 1
        return
    direction.traffic.datagrams += 1
    direction.traffic.datagram_bytes += len(data)


class Administration:
    """WSGI application that shows and changes links.

    Args:
        links: Links by name.
    """

    def __init__(self, links: dict[str, Link]) -> None:
        self._links = links

    def __call__(self, environ, start_response):
        """Serves one request."""
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
    """Returns the time of a monotonic clock."""
    return time.monotonic_ns()


def parse_address(text: str) -> tuple[str, int]:
    """Returns host and port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def _sleep_until(due_ns: int) -> None:
    ahead_ns = due_ns - now_ns()
    if ahead_ns > 0:
        gevent.sleep(ahead_ns / NS_PER_S)


def start_links(settings: LinkSettings, seed: int) -> dict[str, Link]:
    """Starts all relay ports and returns the links by name.

    Args:
        settings: Relay ports and conditions.
        seed: Seed of random losses.
    """
    links = {name: Link() for name in {relay.link for relay in settings.relays}}
    for name, conditions in settings.links.items():
        link = links.setdefault(name, Link())
        link.forward.conditions = link.back.conditions = conditions
    source = random.Random(seed)
    for relay in settings.relays:
        StreamRelay(relay, links[relay.link]).start()
        DatagramRelay(relay, links[relay.link], source).start()
    return links


@click.command()
@click.argument("settings", type=click.Path(path_type=Path, exists=True))
@click.option("--admin", required=True, help="ip:port of the administrative paths.")
@click.option("--seed", default=1, show_default=True, help="Seed of random losses.")
def main(settings: Path, admin: str, seed: int) -> None:
    """Relays the ports of a settings file."""
    links = start_links(msgspec.json.decode(settings.read_bytes(), type=LinkSettings), seed)
    server = NoDelayServer(parse_address(admin), Administration(links), log=None, error_log=None)
    server.serve_forever()


if __name__ == "__main__":
    main()
