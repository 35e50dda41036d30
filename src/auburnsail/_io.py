"""Executes the effects of the decision code over UDP, the store and control HTTP."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import msgspec

from . import _supervision
from ._adapter import SettingsSource
from ._checked_input import decode_msgpack
from ._checkpoint import (
    CHECKPOINT_INTERVAL_ENTRIES,
    CHECKPOINT_PREFIX,
    checkpoint_key,
    dump_fleet,
    restore_fleet,
)
from ._clock import NS_PER_MS, Clock
from ._effects import (
    Appended,
    FetchLog,
    LogName,
    NotWritten,
    OutcomeUnknown,
    Post,
    SaveCheckpoint,
    Send,
    StoreReply,
    StoreRequest,
    Superseded,
)
from ._fleet import FleetState
from ._link_sender import LinkSender
from ._messages import Codec
from ._packing import unpack
from ._pool import HttpPeer
from ._sockets import endpoint
from ._store import ObjectStore, TableStore
from ._versioned_log import PositionTakenError, VersionedLog
from .exceptions import (
    AuburnsailError,
    InvalidInputError,
    NotRunError,
    OutcomeUnknownError,
    StoreUnavailableError,
)

__all__ = ["FetchResult", "LogRecords", "NodeIo", "UdpSocket"]

MAX_DATAGRAM_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 1 << 20
PEER_TIMEOUT_S = 1.0
# Another writer may have left an object under a name that sorts after the newest checkpoint.
MAX_CHECKPOINTS_TRIED = 3

Records = list[tuple[int, bytes]]


class LogRecords(msgspec.Struct, frozen=True, array_like=True):
    """Body of the answer to a log fetch between nodes."""

    records: list[tuple[int, bytes]]


@dataclass(slots=True)
class DatagramCounters:
    """Datagrams and bytes of one socket, without IP and UDP headers."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    send_errors: int = 0


class UdpSocket:
    """A datagram socket whose receive queue can be drained at any time.

    Args:
        address: ``ip:port`` to bind.
        on_datagram: Called in the hub with the data and the sender's address; it must not block.
        resolve_address: Returns the address to connect to for an announced address.
        link: Accounts for the bytes on the VM's network link.

    Attributes:
        traffic: Datagrams and bytes sent and received so far.
    """

    def __init__(
        self,
        address: str,
        on_datagram: Callable[[bytes, str], None],
        resolve_address: Callable[[str], str],
        link: LinkSender,
    ) -> None:
        self._link = link
        host, port = endpoint(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        self._on_datagram = on_datagram
        self._resolve_address = resolve_address
        self._read_watcher = gevent.get_hub().loop.io(self._socket.fileno(), 1)
        self.traffic = DatagramCounters()

    def start(self) -> None:
        """Starts receiving datagrams."""
        self._read_watcher.start(self._receive)

    def drain(self) -> None:
        """Handles every datagram that has arrived."""
        while self._receive():
            pass

    def _receive(self) -> bool:
        """Handles one datagram; returns whether there was one.

        The event loop calls it again while datagrams wait. They mostly arrive one at a time, and a
        second system call that finds none would cost as much as the first.
        """
        try:
            data, (host, port, *_) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        except (BlockingIOError, InterruptedError, ConnectionRefusedError):
            return False
        self.traffic.received += 1
        self.traffic.received_bytes += len(data)
        self._on_datagram(data, f"{host}:{port}")
        return True

    def send(self, address: str, data: bytes) -> None:
        """Sends a datagram; a send error is counted, and the datagram is lost."""
        try:
            self._socket.sendto(data, endpoint(self._resolve_address(address)))
        except (OSError, NotRunError):
            self.traffic.send_errors += 1
            return
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(data)
        self._link.record_sent(len(data))

    def close(self) -> None:
        """Stops receiving and closes the socket."""
        self._read_watcher.stop()
        self._read_watcher.close()
        self._socket.close()


@dataclass(frozen=True, slots=True)
class FetchResult:
    """The result of a fetch.

    Attributes:
        fetch: The fetch that ended.
        took_ms: Time until the answer or the failure in milliseconds.
        size: Size of the records in bytes.
        error: The error message, empty if the fetch succeeded.
    """

    fetch: FetchLog
    took_ms: int
    size: int
    error: str = ""


@dataclass(slots=True)
class Callbacks:
    """Callbacks for results; each call runs in its own greenlet.

    Attributes:
        on_store_reply: Receives the ticket of an append and the store's reply.
        on_records: Receives the log name, the records or None, and the address that was queried.
        on_fetched: Receives the result of each fetch, before its records.
        on_restored: Called after the fleet's state was restored from a checkpoint.
        on_failure: Receives errors that only need to be logged.
    """

    on_store_reply: Callable[[int, StoreReply], None]
    on_records: Callable[[str, Records | None, str], None]
    on_fetched: Callable[["FetchResult"], None]
    on_restored: Callable[[], None]
    on_failure: Callable[[AuburnsailError], None]


class NodeIo:
    """Runs store and peer operations in greenlets.

    Args:
        table: The table service.
        objects: The object store.
        fleet: State of the fleet, for checkpoints.
        codec: Authenticates answers of peers.
        udp: The datagram socket.
        callbacks: Receive the results.
        resolve_address: Returns the address to connect to for a peer's announced address.
        settings_source: Source of accepted settings.
        clock: Source of time.
        link: Accounts for the bytes on the VM's network link.

    Attributes:
        http_bytes: Size of all bodies posted to and fetched from peers so far.
    """

    def __init__(
        self,
        table: TableStore,
        objects: ObjectStore,
        fleet: FleetState,
        codec: Codec,
        udp: UdpSocket,
        callbacks: Callbacks,
        resolve_address: Callable[[str], str],
        settings_source: SettingsSource,
        clock: Clock,
        link: LinkSender,
    ) -> None:
        self._clock = clock
        self._link = link
        self._fleet_log = VersionedLog(table, LogName.FLEET)
        self._settings_source = settings_source
        self._objects = objects
        self._fleet = fleet
        self._codec = codec
        self._udp = udp
        self._callbacks = callbacks
        self._resolve_address = resolve_address
        self._tried_checkpoint = False
        self._conflicts = 0
        self.http_bytes = 0

    def run(self, effect: object) -> bool:
        """Starts an effect; returns False if another component handles it."""
        match effect:
            case Send(address=address, data=data):
                self._udp.send(address, data)
            case Post():
                _supervision.spawn("io.post", self._post, effect)
            case StoreRequest():
                _supervision.spawn("io.append", self._append, effect)
            case FetchLog():
                _supervision.spawn("io.fetch", self._fetch, effect)
            case SaveCheckpoint():
                data = dump_fleet(self._fleet)
                _supervision.spawn("io.checkpoint", self._save_checkpoint, data, effect.version)
            case _:
                return False
        return True

    def _append(self, request: StoreRequest) -> None:
        log = self._fleet_log
        try:
            log.append(request.expected, request.append_id, request.data)
            reply: StoreReply = Appended()
            self._conflicts = 0
        except PositionTakenError as error:
            reply = self._superseding(log, request.expected, error)
        except StoreUnavailableError:
            # The store refused the append or only the read after a conflict. In both cases the
            # recorder repeats the append if an earlier attempt may have been written.
            reply = NotWritten()
        except OutcomeUnknownError:
            reply = OutcomeUnknown()
        except AuburnsailError as error:
            self._callbacks.on_failure(error)
            reply = OutcomeUnknown()
        except Exception as error:
            # Without a reply the recorder would wait for this append forever.
            _supervision.report_unexpected("io.append", error)
            reply = OutcomeUnknown()
        self._callbacks.on_store_reply(request.ticket, reply)

    def _superseding(
        self, log: VersionedLog, expected: int, taken: PositionTakenError
    ) -> StoreReply:
        """Returns the reply to an append whose position was taken.

        The first of several conflicts in a row costs no read: its record came with the conflict.
        """
        record, self._conflicts = taken.record, self._conflicts + 1
        if record is not None and self._conflicts == 1:
            return Superseded(((record.version, record.data),))
        try:
            records = log.read_after(expected)
            return Superseded(tuple((record.version, record.data) for record in records))
        except AuburnsailError:
            return Superseded(())

    def _fetch(self, fetch: FetchLog) -> None:
        started_ns, error_text = self._clock.now_ns(), ""
        try:
            records = (
                self._fetch_from_peer(fetch) if fetch.address else self._fetch_from_store(fetch)
            )
        except AuburnsailError as error:
            error_text = str(error)
            records = None
        except Exception as error:
            # Without a result the fetch would count as outstanding until its timeout.
            _supervision.report_unexpected("io.fetch", error)
            error_text = repr(error)
            records = None
        size = sum(len(data) for _, data in records or ())
        took_ms = (self._clock.now_ns() - started_ns) // NS_PER_MS
        self._callbacks.on_fetched(FetchResult(fetch, took_ms, size, error_text))
        self._callbacks.on_records(fetch.log, records, fetch.address)

    def _fetch_from_store(self, fetch: FetchLog) -> Records:
        if fetch.log == LogName.SETTINGS:
            return self._settings_source.read_after(fetch.after)
        log, after = self._fleet_log, self._fleet.version
        records = log.read_after(after)
        is_far_behind = (
            not after and len(records) >= CHECKPOINT_INTERVAL_ENTRIES and not self._tried_checkpoint
        )
        if is_far_behind or (records and records[0].version != after + 1):
            self._load_checkpoint()
            records = log.read_after(self._fleet.version)
        return [(record.version, record.data) for record in records]

    def _load_checkpoint(self) -> None:
        keys = self._objects.keys(CHECKPOINT_PREFIX)
        self._tried_checkpoint = True
        for key in reversed(keys[-MAX_CHECKPOINTS_TRIED:]):
            data = self._objects.get(key)
            try:
                is_restored = data is not None and restore_fleet(self._fleet, data)
            except InvalidInputError as error:
                self._callbacks.on_failure(error)
                continue
            if is_restored:
                self._callbacks.on_restored()
            return

    def _fetch_from_peer(self, fetch: FetchLog) -> Records:
        target = f"/v1/log/{fetch.log}?after={fetch.after}"
        status, body = self._get(fetch.address, target)
        if status == 410:
            status, body = self._get(fetch.address, "/v1/checkpoint")
            if status == 200 and restore_fleet(self._fleet, body):
                self._callbacks.on_restored()
            target = f"/v1/log/{fetch.log}?after={self._fleet.version}"
            status, body = self._get(fetch.address, target)
        if status != 200:
            raise AuburnsailError(f"status {status}", step="log.fetch", peer=fetch.address)
        return decode_msgpack(body, LogRecords, "peer-log").records

    def _get(self, address: str, target: str) -> tuple[int, bytes]:
        peer = HttpPeer(self._resolve_address(address), link=self._link)
        try:
            answer = peer.fetch("GET", target, timeout_s=PEER_TIMEOUT_S)
        finally:
            peer.drop_idle()
        self.http_bytes += len(answer.body)
        if answer.status != 200:
            return answer.status, b""
        body = self._codec.verify(answer.body)
        if body is None:
            raise AuburnsailError(
                "the answer has an invalid authentication tag", step="log.fetch", peer=address
            )
        return answer.status, unpack(body)

    def _post(self, post: Post) -> None:
        peer = HttpPeer(self._resolve_address(post.address), link=self._link)
        try:
            peer.fetch("POST", "/v1/message", post.data, timeout_s=PEER_TIMEOUT_S)
        except AuburnsailError as error:
            self._callbacks.on_failure(error)
        finally:
            peer.drop_idle()
        self.http_bytes += len(post.data)

    def _save_checkpoint(self, data: bytes, version: int) -> None:
        try:
            self._objects.put(checkpoint_key(version), data)
        except AuburnsailError as error:
            self._callbacks.on_failure(error)
