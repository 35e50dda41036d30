"""WSGI applications for heartbeats of the local upstream and readiness checks of the platform."""

from collections.abc import Callable
from typing import Annotated, Any
from urllib.parse import unquote

import msgspec

from .._checked_input import MAX_INTEGER, Count, Name, check_address, decode_json, reject
from .._control import Announcement
from .._control_server import read_body
from .._holds import HeldRange, HoldGrant
from .._model import Handover
from .._node_control import NodeControl
from ..exceptions import InvalidInputError
from ._desired_state import KEY_COUNT

__all__ = ["ReadinessApplication", "ReportApplication", "decode_report"]

HEARTBEAT_PATH = "/Instances.Heartbeat/"
DEREGISTER_PATH = "/Instances.Deregister/"
READINESS_PATH = "/readiness"
UPSTREAM_STATES = frozenset({"ready", "draining"})
MAX_BODY_BYTES = 1 << 20
SOURCE = "report"
# More slots than any upstream has; placement multiplies slots with loads.
MAX_SLOTS = 100_000
MAX_INSTANCE_LENGTH = 200
_Key = Annotated[int, msgspec.Meta(ge=0, lt=KEY_COUNT)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_Born = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
_Range = tuple[_Key, _Key, Count]
_Freed = tuple[_Key, _Key, Name]


class _UpstreamInfo(msgspec.Struct, frozen=True):
    """Properties of an upstream that stay constant from its start to its end.

    Zone and version are not used, but a report without them is not one of an upstream.
    """

    service: Name
    version: Name
    zone: Name
    slots: _Slots


class _UpstreamStatus(msgspec.Struct, frozen=True, rename="kebab"):
    """State of an upstream that changes between reports.

    Attributes:
        state: ``ready`` or ``draining``.
        sequence: Sequence number, which increases with each report of one lifetime.
        cold_remaining_ms: Remaining time until the upstream has warmed up after its start.
    """

    state: Name
    sequence: Count
    cold_remaining_ms: Count


class _Report(msgspec.Struct, frozen=True):
    """Body of a heartbeat (liveness report).

    Attributes:
        address: ``ip:port`` of the upstream.
        info: Constant properties.
        status: Current state.
        born: Start of this lifetime, Unix time in ms.
        holds: First key, last key and fencing token of each range that the upstream holds.
        freed: First key, last key and handover token of each range that it released.
    """

    address: Name
    info: _UpstreamInfo
    status: _UpstreamStatus
    born: _Born
    holds: tuple[_Range, ...] = ()
    freed: tuple[_Freed, ...] = ()


class _Deregistration(msgspec.Struct, frozen=True):
    """Body of a deregistration, which may be empty.

    Attributes:
        born: Start of the lifetime that ends, Unix time in ms; 0 if the body does not state it.
    """

    born: Count = 0


def decode_report(instance: str, body: bytes) -> Announcement:
    """Decodes a heartbeat (liveness report).

    Args:
        instance: Instance id of the upstream, from the request path.
        body: Body of the request.

    Raises:
        InvalidInputError: A field is missing, has the wrong type or an invalid value.
    """
    report = decode_json(body, _Report, SOURCE)
    if problem := _problem(instance, report):
        raise reject(SOURCE, problem, body)
    return Announcement(
        service=report.info.service,
        address=report.address,
        slots=report.info.slots,
        state=report.status.state,
        instance=instance,
        born_ms=report.born,
        sequence=report.status.sequence,
        cold_ms=report.status.cold_remaining_ms,
        holds=tuple(HeldRange(*row) for row in report.holds),
        freed=tuple(Handover(*row) for row in report.freed),
    )


def _problem(instance: str, report: _Report) -> str:
    """Returns what makes a report unusable, or an empty string."""
    if not 0 < len(instance) <= MAX_INSTANCE_LENGTH:
        return "the instance id is empty or too long"
    if report.status.state not in UPSTREAM_STATES:
        return f"unknown state {report.status.state!r}"
    if any(first > last for first, last, _ in (*report.holds, *report.freed)):
        return "a key range ends before it starts"
    try:
        check_address(report.address)
    except ValueError as error:
        return str(error)
    return ""


def encode_grant(grant: HoldGrant | None) -> bytes:
    """Encodes the answer to a report.

    Without a grant the answer has no ``holds``, so the upstream neither renews nor loses a range.
    """
    if grant is None or not grant.hold_ms:
        return b"{}"
    rows = [[row.first, row.last, row.fence, row.handover] for row in grant.rows]
    return msgspec.json.encode({"holds": rows, "hold-ms": grant.hold_ms})


class ReportApplication:
    """WSGI application that receives the reports of the local upstream.

    Args:
        node: The node that uses the reports.
        service: The service of this VM; reports of other services are refused.
        upstream_address: Returns the address of the upstream on this VM, or an empty string if the
            settings do not state it; reports of upstreams at other addresses are refused.
    """

    def __init__(
        self, node: NodeControl, service: str, upstream_address: Callable[[], str] = str
    ) -> None:
        self._node = node
        self._service = service
        self._upstream_address = upstream_address

    def __call__(self, environ: dict[str, Any], start_response) -> list[bytes]:
        """Handles one heartbeat or deregistration."""
        method, path = environ["REQUEST_METHOD"], unquote(environ["PATH_INFO"])
        try:
            body = read_body(environ, SOURCE, MAX_BODY_BYTES)
        except InvalidInputError:
            return _respond(start_response, "400 Bad Request", b"{}")
        if method == "POST" and path.startswith(HEARTBEAT_PATH):
            return _respond(start_response, *self._handle_report(path[len(HEARTBEAT_PATH) :], body))
        if method == "POST" and path.startswith(DEREGISTER_PATH):
            return _respond(
                start_response,
                self._handle_deregistration(path[len(DEREGISTER_PATH) :], body),
                b"{}",
            )
        return _respond(start_response, "404 Not Found", b"{}")

    def _handle_report(self, instance: str, body: bytes) -> tuple[str, bytes]:
        try:
            announcement = decode_report(instance, body)
            self._check_local(announcement, body)
        except InvalidInputError:
            return "400 Bad Request", b"{}"
        return "200 OK", encode_grant(self._node.report(announcement))

    def _handle_deregistration(self, instance: str, body: bytes) -> str:
        try:
            deregistration = decode_json(body or b"{}", _Deregistration, SOURCE)
        except InvalidInputError:
            return "400 Bad Request"
        self._node.withdraw(instance, deregistration.born)
        return "200 OK"

    def _check_local(self, announcement: Announcement, body: bytes) -> None:
        """Raises InvalidInputError if the report is not that of the upstream on this VM."""
        if announcement.service != self._service:
            raise reject(SOURCE, f"the service {announcement.service!r} is another VM's", body)
        expected = self._upstream_address()
        if expected and announcement.address != expected:
            raise reject(SOURCE, f"the address {announcement.address!r} is another VM's", body)


class ReadinessApplication:
    """WSGI application that reports whether the node is ready for requests.

    Args:
        node: The node that is checked.
    """

    def __init__(self, node: NodeControl) -> None:
        self._node = node

    def __call__(self, environ: dict[str, Any], start_response) -> list[bytes]:
        """Handles one readiness check."""
        if environ["PATH_INFO"] != READINESS_PATH:
            return _respond(start_response, "404 Not Found", b"")
        ready = self._node.is_ready
        return _respond(start_response, "200 OK" if ready else "503 Service Unavailable", b"")


def _respond(start_response, status: str, body: bytes) -> list[bytes]:
    headers = [("content-type", "application/json"), ("content-length", str(len(body)))]
    start_response(status, headers)
    return [body]
