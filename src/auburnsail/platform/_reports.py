"""WSGI applications for heartbeats of the local upstream and readiness checks of the platform."""

from typing import Any
from urllib.parse import unquote

import msgspec
import structlog

from .._control import Announcement
from .._holds import HeldRange, HoldGrant
from .._model import Handover
from .._node_control import NodeControl

__all__ = ["ReadinessApplication", "ReportApplication", "decode_report"]

HEARTBEAT_PATH = "/Instances.Heartbeat/"
DEREGISTER_PATH = "/Instances.Deregister/"
READINESS_PATH = "/readiness"
UPSTREAM_STATES = frozenset({"ready", "draining"})
MAX_BODY_BYTES = 1 << 20


class _UpstreamInfo(msgspec.Struct, frozen=True):
    """Properties of an upstream that stay constant from its start to its end."""

    service: str
    slots: int


class _UpstreamStatus(msgspec.Struct, frozen=True, rename="kebab"):
    """State of an upstream that changes between reports.

    Attributes:
        state: ``ready`` or ``draining``.
        sequence: Sequence number, which increases with each report of one lifetime.
        cold_remaining_ms: Remaining time until the upstream has warmed up after its start.
    """

    state: str
    sequence: int
    cold_remaining_ms: int = 0


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

    address: str
    info: _UpstreamInfo
    status: _UpstreamStatus
    born: int
    holds: tuple[tuple[int, int, int], ...] = ()
    freed: tuple[tuple[int, int, str], ...] = ()


def decode_report(instance: str, body: bytes) -> Announcement:
    """Decodes a heartbeat (liveness report).

    Args:
        instance: Instance id of the upstream, from the request path.
        body: Body of the request.

    Raises:
        ValueError: A field is missing, has the wrong type or an invalid value.
    """
    report = msgspec.json.decode(body, type=_Report)
    if report.status.state not in UPSTREAM_STATES:
        raise ValueError(f"unknown state {report.status.state!r}")
    if not instance or report.born <= 0 or report.info.slots < 1:
        raise ValueError("the report lacks an instance, a start time or slots")
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
    """

    def __init__(self, node: NodeControl, service: str) -> None:
        self._node = node
        self._service = service
        self._log = structlog.get_logger("reports")

    def __call__(self, environ: dict[str, Any], start_response) -> list[bytes]:
        """Handles one heartbeat or deregistration."""
        method, path = environ["REQUEST_METHOD"], unquote(environ["PATH_INFO"])
        body = environ["wsgi.input"].read(MAX_BODY_BYTES)
        if method == "POST" and path.startswith(HEARTBEAT_PATH):
            return _respond(start_response, *self._handle_report(path[len(HEARTBEAT_PATH) :], body))
        if method == "POST" and path.startswith(DEREGISTER_PATH):
            self._node.withdraw(path[len(DEREGISTER_PATH) :])
            return _respond(start_response, "200 OK", b"{}")
        return _respond(start_response, "404 Not Found", b"{}")

    def _handle_report(self, instance: str, body: bytes) -> tuple[str, bytes]:
        try:
            announcement = decode_report(instance, body)
            if announcement.service != self._service:
                raise ValueError(f"service {announcement.service!r} is not the service of this VM")
        except (ValueError, TypeError) as error:
            self._log.warning("report not usable", instance=instance, reason=str(error))
            return "400 Bad Request", b"{}"
        return "200 OK", encode_grant(self._node.report(announcement))


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
