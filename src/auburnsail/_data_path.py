"""Wires the request path of a node."""

from collections.abc import Callable

from ._admission import RotatingChooser
from ._attempt import Gate
from ._clock import Clock
from ._forward import Observer, ProxyApplication
from ._hop import HopSigner
from ._http_server import HttpServer
from ._routing import Router
from ._settings import NodeSettings
from .exceptions import InvariantViolation

__all__ = ["DataPath"]


class DataPath:
    """The data address of a node and what serves it.

    Args:
        settings: The node's own settings.
        router: Decides where a request goes.
        upstream_address: Returns the address of the upstream beside this node, or None.
        gate: Knows whether this node may serve.
        clock: Source of time.
        on_violation: Called once when a guarantee was found broken.
        observer: Measures requests, or None.
    """

    def __init__(
        self,
        settings: NodeSettings,
        router: Router,
        upstream_address: Callable[[], str | None],
        gate: Gate,
        clock: Clock,
        on_violation: Callable[[InvariantViolation], None],
        observer: Observer | None = None,
    ) -> None:
        self._application = ProxyApplication(
            router,
            upstream_address,
            gate,
            signer=HopSigner(settings.fleet_secret),
            own_address=settings.data_address,
            chooser=RotatingChooser(settings.region, settings.domain),
            clock=clock,
            on_violation=on_violation,
            observer=observer,
        )
        host, _, port = settings.data_address.rpartition(":")
        self._server = HttpServer((host, int(port)), self._application, clock=clock)

    @property
    def in_flight(self) -> int:
        """Number of requests that are being served, forwarded ones included."""
        return self._server.in_flight

    def start(self) -> None:
        """Starts accepting connections."""
        self._server.start()

    def announce_close(self) -> None:
        """Tells callers with every answer to use another connection."""
        self._server.draining = True

    def stop(self, *, idle_grace_s: float, timeout_s: float) -> None:
        """Stops accepting, waits for the requests in flight and closes idle connections.

        Args:
            idle_grace_s: How long idle connections stay open, for requests that are on their way.
            timeout_s: Longest wait in seconds.
        """
        self._server.drain(idle_grace_s=idle_grace_s, timeout_s=timeout_s)
        self._application.close()
