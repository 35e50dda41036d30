"""Liveness reports of the upstream beside a node, and the platform's readiness checks."""

from typing import Any
from urllib.parse import unquote

import msgspec
import structlog

from .._control import Announcement
from .._holds import HeldRange, HoldGrant
from .._model import Handover
from .._node_control import NodeControl

__all__ = ["ReadinessApplication", "ReportApplication", "decode_report"]

REPORT_PATH = "/Instances.Heartbeat/"
LEAVE_PATH = "/Instances.Deregister/"
READY_PATH = "/readiness"
STATES = frozenset({"ready", "draining"})
MAX_BODY_BYTES = 1 << 20


class _Info(msgspec.Struct, frozen=True):
    """What does not change in one life of an upstream."""

    service: str
    slots: int


class _Status(msgspec.Struct, frozen=True, rename="kebab"):
    """What changes.

    Attributes:
        state: ``ready`` or ``draining``.
        sequence: Grows with each report of one life.
        cold_remaining_ms: How much longer the upstream is slow after its start.
    """

    state: str
    sequence: int
    cold_remaining_ms: int = 0


class _Report(msgspec.Struct, frozen=True):
    """A liveness report.

    Attributes:
        address: ``ip:port`` of the upstream.
        info: What stays.
        status: What changes.
        born: Start of this life, Unix time in ms.
        holds: First key, last key and fence of each range that the upstream holds.
        freed: First key, last key and handover of each range that it released.
    """

    address: str
    info: _Info
    status: _Status
    born: int
    holds: tuple[tuple[int, int, int], ...] = ()
    freed: tuple[tuple[int, int, str], ...] = ()


def decode_report(instance: str, body: bytes) -> Announcement:
    """Decodes a liveness report.

    Raises:
        ValueError: A field is missing, has another type or an unknown value.
    """
    report = msgspec.json.decode(body, type=_Report)
    if report.status.state not in STATES:
        raise ValueError(f"unknown state {report.status.state!r}")
    if not instance or report.born <= 0 or report.info.slots < 1:
        raise ValueError("the report names no instance, no start or no slots")
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


def encode_grants(grants: HoldGrant | None) -> bytes:
    """Returns the body of the answer to a report; without a grant it renews nothing."""
    if grants is None or not grants.hold_ms:
        return b"{}"
    rows = [[row.first, row.last, row.fence, row.handover] for row in grants.rows]
    return msgspec.json.encode({"holds": rows, "hold-ms": grants.hold_ms})


class ReportApplication:
    """WSGI application of the address that the upstream beside the node reports to.

    Args:
        node: The node.
        service: The service of this VM, the only one that may report here.
    """

    def __init__(self, node: NodeControl, service: str) -> None:
        self._node = node
        self._service = service
        self._log = structlog.get_logger("reports")

    def __call__(self, environ: dict[str, Any], start_response) -> list[bytes]:
        """Serves one call."""
        method, path = environ["REQUEST_METHOD"], unquote(environ["PATH_INFO"])
        body = environ["wsgi.input"].read(MAX_BODY_BYTES)
        if method == "POST" and path.startswith(REPORT_PATH):
            return _answer(start_response, *self._report(path[len(REPORT_PATH) :], body))
        if method == "POST" and path.startswith(LEAVE_PATH):
            self._node.withdraw(path[len(LEAVE_PATH) :])
            return _answer(start_response, "200 OK", b"{}")
        return _answer(start_response, "404 Not Found", b"{}")

    def _report(self, instance: str, body: bytes) -> tuple[str, bytes]:
        try:
            announcement = decode_report(instance, body)
            if announcement.service != self._service:
                raise ValueError(f"service {announcement.service!r} is not that of this VM")
        except (ValueError, TypeError) as error:
            self._log.warning("report not usable", instance=instance, reason=str(error))
            return "400 Bad Request", b"{}"
        return "200 OK", encode_grants(self._node.report(announcement))


class ReadinessApplication:
    """WSGI application that says whether callers may send requests to the node.

    Args:
        node: The node.
    """

    def __init__(self, node: NodeControl) -> None:
        self._node = node

    def __call__(self, environ: dict[str, Any], start_response) -> list[bytes]:
        """Serves one check."""
        if environ["PATH_INFO"] != READY_PATH:
            return _answer(start_response, "404 Not Found", b"")
        ready = self._node.is_ready
        return _answer(start_response, "200 OK" if ready else "503 Service Unavailable", b"")


def _answer(start_response, status: str, body: bytes) -> list[bytes]:
    headers = [("content-type", "application/json"), ("content-length", str(len(body)))]
    start_response(status, headers)
    return [body]
