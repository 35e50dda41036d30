"""Replaces gevent's waits and connections in the shipped request path by simulated ones."""

import contextlib
import logging
from collections.abc import Iterator
from types import SimpleNamespace
from unittest import mock

import structlog

from auburnsail import (
    _crash_monitor,
    _exchange,
    _forward,
    _gate,
    _http_server,
    _limits,
    _node,
    _pool,
)
from auburnsail._clock import Clock
from tools.soak_net import FakeNetwork, Task
from tools.soak_nodes import FakeNode

__all__ = ["FakePeers", "patched_request_path"]


@contextlib.contextmanager
def patched_request_path(net: FakeNetwork) -> Iterator[None]:
    """Makes the shipped request path wait in virtual time while the context is active.

    Args:
        net: Fake network of the run; its tasks are ended on exit.
    """
    fake_gevent = SimpleNamespace(
        sleep=lambda s: net.sleep(s * 1000), spawn=net.spawn_on_current_node
    )
    with contextlib.ExitStack() as stack:
        for module in (_crash_monitor, _forward, _gate, _http_server, _node):
            stack.enter_context(mock.patch.object(module, "gevent", fake_gevent))
        for module, name, replacement in (
            (_http_server, "cancel_read", lambda sock: sock.cancel_read()),
            (_exchange, "is_open_and_idle", lambda sock: sock.is_open_and_idle),
            (_pool, "is_open_and_idle", lambda sock: sock.is_open_and_idle),
            (_limits, "AsyncResult", lambda: _FakeAsyncResult(net)),
            (_crash_monitor, "keeps_connections", lambda address: address in net.listeners),
        ):
            stack.enter_context(mock.patch.object(module, name, replacement))
        # Runs cause failed requests on purpose, so their log lines are suppressed.
        stack.callback(structlog.configure, **structlog.get_config())
        quiet_logger = structlog.make_filtering_bound_logger(logging.CRITICAL)
        structlog.configure(wrapper_class=quiet_logger, cache_logger_on_first_use=False)
        stack.callback(net.end_tasks, lambda task: True)
        yield


class _FakeAsyncResult:
    """The part of gevent's `AsyncResult` that the admission to the upstream uses."""

    def __init__(self, net: FakeNetwork) -> None:
        self._net = net
        self._task: Task | None = None
        self._values: list[object] = []

    def get(self) -> object:
        """Waits until the value is set and returns it."""
        self._task = self._net.current
        while not self._values:
            self._net.suspend()
        return self._values[0]

    def set(self, value: object) -> None:
        """Sets the value and resumes the task that waits for it."""
        self._values.append(value)
        if self._task is not None:
            self._net.schedule_resume(self._task)


class FakePeers(dict):
    """Peers of a node's request path that connect over the fake network.

    Args:
        net: Fake network of the run.
        node: The node that connects.
        clock: Clock of the node.
    """

    def __init__(self, net: FakeNetwork, node: FakeNode, clock: Clock) -> None:
        super().__init__()
        self._net = net
        self._node = node
        self._clock = clock

    def get(self, address: str, default: object = None) -> "_FakePeer":
        """Returns the peer at an address, which is created at its first use."""
        if address not in self:
            self[address] = _FakePeer(address, self._clock, self._net, self._node)
        return self[address]


class _FakePeer(_pool.HttpPeer):
    def __init__(self, address: str, clock: Clock, net: FakeNetwork, node: FakeNode) -> None:
        super().__init__(address, clock)
        self._net = net
        self._node = node

    def _connect(self, timeout_s: float, on_connecting: object) -> object:
        sock = self._net.connect(self.address, self._node, timeout_s)
        return _exchange.Connection(sock, self._clock.now_ns())
