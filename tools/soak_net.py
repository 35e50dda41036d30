"""Greenlets, connections and waits in virtual time, for simulations of the shipped request path.

Only gevent's blocking calls and the sockets of the operating system are replaced. HTTP parsing,
connection handling and decisions are the shipped code.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import greenlet
from gevent import socket

from auburnsail._clock import NS_PER_MS
from auburnsail._sockets import ReadCancelledError
from auburnsail.exceptions import NotRunError
from tools.ordered_set import OrderedSet
from tools.soak_fleet import FleetSimulation
from tools.soak_nodes import FakeNode

__all__ = ["FakeNetwork", "FakeSocket", "Task"]

LATENCY_MS = (0.1, 20.0)
# Interval at which bytes on a cut link are sent again.
CUT_RETRY_MS = 40
PAUSE_AT_SEND_PROBABILITY = 0.004


@dataclass(eq=False)
class Task:
    """A greenlet of a node, an upstream or a caller.

    Attributes:
        handle: The greenlet.
        node: The node on whose VM the task runs, None for a caller.
        is_upstream: Whether the task belongs to the upstream, which is suspended only if the whole
            VM is frozen.
    """

    handle: greenlet.greenlet
    node: FakeNode | None
    is_upstream: bool = False

    @property
    def is_suspended(self) -> bool:
        """Whether the process of the task is suspended now."""
        node = self.node
        return node is not None and (node.is_vm_frozen if self.is_upstream else node.paused)


class FakeSocket:
    """One end of a connection, with the socket methods that the shipped code uses.

    Attributes:
        node: The node on whose VM this end is, None for a caller.
        peer: The other end.
        is_silent: Whether bytes of this end are no longer delivered.
        was_cut: Whether the other process ended, or closed the connection without reading all bytes
            of this end.
    """

    def __init__(self, net: "FakeNetwork", node: FakeNode | None, link: tuple[int, int]) -> None:
        self._net = net
        self._link = link
        self._inbox = b""
        self._end_state = ""
        self._pending: deque[tuple[int, bytes]] = deque()
        self._resets_on_close = False
        self._interruption: OSError | None = None
        self._timeout_s: float | None = None
        self._waiter: Task | None = None
        self.node = node
        self.peer: FakeSocket | None = None
        self.is_closed = False
        self.is_silent = False
        self.was_cut = False

    @property
    def is_open_and_idle(self) -> bool:
        """Whether the connection is open and has no bytes to read."""
        return not (self._inbox or self._end_state or self.is_closed)

    def send(self, data: bytes) -> int:
        """Sends all bytes and returns their number."""
        self.sendall(data)
        return len(data)

    def sendall(self, data: bytes) -> None:
        """Sends all bytes.

        Raises:
            ConnectionResetError: This end is closed or the peer has reset the connection.
        """
        self._net.maybe_pause_sender(self._link)
        if self.is_closed or self._end_state == "reset":
            raise ConnectionResetError("the connection was reset")
        self._send(bytes(data))

    def recv(self, size: int) -> bytes:
        """Waits for bytes and returns them; empty bytes mean that the peer has ended its direction.

        Raises:
            ConnectionResetError: The peer has reset the connection.
            TimeoutError: No bytes came within the timeout, or `interrupt` was called; a
                `BlockingIOError` if the timeout is 0, a `ReadCancelledError` after `cancel_read`.
            OSError: The socket was closed.
        """
        if self._timeout_s is not None:
            end_ns = self._net.sim.now_ns + int(self._timeout_s * 1e9)
            self._net.sim.call_later(self._timeout_s * 1000, self._wake)
        while True:
            if self.is_closed:
                raise OSError("the socket was closed")
            if self._inbox:
                data, self._inbox = self._inbox[:size], self._inbox[size:]
                return data
            if self._end_state == "reset":
                raise ConnectionResetError("the connection was reset")
            if self._end_state:
                return b""
            if self._timeout_s == 0:
                raise BlockingIOError("no bytes have arrived")
            if self._interruption is not None:
                interruption, self._interruption = self._interruption, None
                raise interruption
            if self._timeout_s is not None and self._net.sim.now_ns >= end_ns:
                raise TimeoutError("timed out")
            self._waiter = self._net.current
            self._net.suspend()

    def cancel_read(self) -> None:
        """Makes a blocked `recv` raise `ReadCancelledError`; the connection stays open."""
        if self._waiter is not None:
            self._interruption = ReadCancelledError()
            self._wake()

    def interrupt(self) -> None:
        """Makes a blocked `recv` raise `TimeoutError`; the connection stays open."""
        self._interruption = TimeoutError("interrupted")
        self._wake()

    def shutdown(self, how: int) -> None:
        """Shuts down one or both directions.

        Raises:
            OSError: The connection is closed or was reset.
        """
        if self.is_closed or self._end_state == "reset":
            raise OSError("the connection has ended")
        if how != socket.SHUT_RD:
            self._send(b"")
        if how != socket.SHUT_WR:
            self._end_state = self._end_state or "end"
            self._wake()

    def close(self) -> None:
        """Closes the connection; unread bytes or `SO_LINGER` make it a reset."""
        if self.is_closed:
            return
        self.is_closed = True
        self.peer.was_cut = self.peer.was_cut or bool(self._inbox)
        if self._resets_on_close or self._inbox:
            self._net.sim.call_later(self._net.sample_latency_ms(), lambda: self.peer.reset())
        else:
            self._send(b"")
        self._wake()

    def reset(self) -> None:
        """Handles a reset of the connection by the peer; drops the unread bytes."""
        self._end_state = "reset"
        self._inbox = b""
        self._wake()

    def setsockopt(self, _level: int, option: int, _value: object) -> None:
        """Makes `close` reset the connection if the option is `SO_LINGER`; ignores all others."""
        self._resets_on_close = self._resets_on_close or option == socket.SO_LINGER

    def settimeout(self, timeout_s: float | None) -> None:
        """Sets the timeout of `recv` in seconds; None disables it."""
        self._timeout_s = timeout_s

    def fileno(self) -> int:
        """Returns -1: there is no file descriptor to poll."""
        return -1

    def _send(self, data: bytes) -> None:
        net = self._net
        self._pending.append((net.sim.now_ns + int(net.sample_latency_ms() * NS_PER_MS), data))
        if len(self._pending) == 1:
            self._schedule_delivery()

    def _schedule_delivery(self) -> None:
        delay_ms = max(0.0, (self._pending[0][0] - self._net.sim.now_ns) / NS_PER_MS)
        self._net.sim.call_later(delay_ms, self._deliver_next)

    def _deliver_next(self) -> None:
        if not self._pending or self.is_silent:
            return
        if self._link in self._net.sim.cut_links:
            self._net.sim.call_later(CUT_RETRY_MS, self._deliver_next)
            return
        _, data = self._pending.popleft()
        self.peer.receive(data)
        if self._pending:
            self._schedule_delivery()

    def receive(self, data: bytes) -> None:
        """Receives bytes from the peer; empty bytes end its direction."""
        if self.is_closed or self._end_state:
            return
        self._inbox += data
        if not data:
            self._end_state = "end"
        self._wake()

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            self._net.schedule_resume(waiter)


@dataclass
class FakeNetwork:
    """Connections between callers, nodes and upstreams.

    Attributes:
        sim: The fleet of the run.
        listeners: For each address the node of the VM, whether the upstream listens there, and the
            function that serves an accepted connection.
        is_fault_free: Whether no nodes are paused before they send and upstreams inject no faults
            other than slow answers.
        request_pause_probability: Probability that a node is paused after its last check of a
            request and before it sends the request to the local upstream.
        current: The task that runs now.
    """

    sim: FleetSimulation
    listeners: dict[str, tuple[FakeNode, bool, Callable[[FakeSocket], None]]] = field(
        default_factory=dict
    )
    is_fault_free: bool = True
    request_pause_probability: float = PAUSE_AT_SEND_PROBABILITY
    current: Task | None = None

    def __post_init__(self) -> None:
        self._rng = random.Random(self.sim.rng.getrandbits(64))
        self._tasks = OrderedSet()
        self._suspended_tasks: list[Task] = []
        self._sockets: list[FakeSocket] = []

    def sample_latency_ms(self) -> float:
        """Returns the latency of one message in milliseconds; 0.5 % take 100 ms or more."""
        if self._rng.random() < 0.005:
            return self._rng.uniform(100, 1500)
        return self._rng.uniform(*LATENCY_MS)

    def spawn(
        self, node: FakeNode | None, run: Callable[[], None], is_upstream: bool = False
    ) -> None:
        """Starts a task.

        Args:
            node: The node on whose VM the task runs, None for a caller.
            run: The function of the task.
            is_upstream: Whether the task belongs to the upstream.
        """
        task = Task(greenlet.greenlet(lambda: self._run_task(task, run)), node, is_upstream)
        self._tasks.add(task)
        self.schedule_resume(task)

    def spawn_on_current_node(self, run: Callable, *args: object) -> None:
        """Starts a task on the node of the current task."""
        self.spawn(self.current.node if self.current else None, lambda: run(*args))

    def sleep(self, milliseconds: float) -> None:
        """Suspends the current task for a time."""
        task = self.current
        self.sim.call_later(milliseconds, lambda: self._resume(task))
        self.suspend()

    def suspend(self) -> None:
        """Suspends the current task until another event resumes it."""
        task = self.current
        self.current = None
        task.handle.parent.switch()
        self.current = task

    def schedule_resume(self, task: Task) -> None:
        """Schedules an event that resumes a task."""
        self.sim.call_later(0, lambda: self._resume(task))

    def resume_node(self, node: FakeNode) -> None:
        """Resumes the tasks of a node after a pause."""
        suspended, self._suspended_tasks = self._suspended_tasks, []
        for task in suspended:
            if task.node is node:
                self.schedule_resume(task)
            else:
                self._suspended_tasks.append(task)

    def end_node(self, node: FakeNode) -> None:
        """Ends the processes of a node and its upstream; their connections are reset."""
        for sock in self._sockets:
            if sock.node is node and not sock.is_closed:
                sock.is_closed = sock.peer.was_cut = True
                self.sim.call_later(self.sample_latency_ms(), sock.peer.reset)
        self._sockets = [s for s in self._sockets if not (s.is_closed and s.peer.is_closed)]
        self.end_tasks(lambda task: task.node is node)

    def end_tasks(self, predicate: Callable[[Task], bool]) -> None:
        """Ends the tasks that match a predicate by raising `GreenletExit` where they wait."""
        for task in [task for task in self._tasks if predicate(task)]:
            self._tasks.discard(task)
            if task.handle and task is not self.current:
                task.handle.parent = greenlet.getcurrent()
                previous, self.current = self.current, task
                task.handle.throw(greenlet.GreenletExit)
                self.current = previous

    def maybe_pause_sender(self, link: tuple[int, int]) -> None:
        """Pauses the node of the current task at random before it sends over a link.

        The pause falls between the last check of a request and the sending of its bytes.
        """
        task = self.current
        if self.is_fault_free or task is None or task.node is None or task.is_upstream:
            return
        is_local = link[0] == link[1]
        probability = self.request_pause_probability if is_local else PAUSE_AT_SEND_PROBABILITY
        if self._rng.random() < probability:
            self.sim.fault_counts["pause-at-send"] += 1
            self.sim.pause_node(task.node.number, self._rng.uniform(100, 2500))
            self.sleep(0)

    def silence_connections(self) -> None:
        """Stops delivery for good on a random half of the open connections between VMs.

        The connections stay open. Connections of callers are not affected.
        """
        for sock in self._sockets:
            if sock.node is not None and sock.peer.node is not None and self._rng.random() < 0.5:
                sock.is_silent = sock.peer.is_silent = True

    def connect(self, address: str, node: FakeNode | None, timeout_s: float) -> FakeSocket:
        """Opens a connection and returns the client's end.

        Args:
            address: Address of the listener.
            node: The node that connects, None for a caller.
            timeout_s: Time until a connection over a cut link fails.

        Raises:
            NotRunError: Nothing listens at the address, or it cannot be reached in time.
        """
        number = int(address.split(":")[0].split(".")[3])
        link = (node.number, number) if node else (-1, number)
        self.sleep(self.sample_latency_ms())
        target = self.listeners.get(address)
        if target is None or target[0].dead:
            raise NotRunError("refused", step="http.connect", peer=address)
        if {link, link[::-1]} & self.sim.cut_links:
            self.sleep(timeout_s * 1000)
            raise NotRunError("no answer", step="http.connect", peer=address)
        listener, is_upstream, serve = target
        client_end = FakeSocket(self, node, link)
        server_end = FakeSocket(self, listener, link[::-1])
        client_end.peer, server_end.peer = server_end, client_end
        self._sockets += [client_end, server_end]
        if len(self._sockets) > 400:
            self._sockets = [s for s in self._sockets if not (s.is_closed and s.peer.is_closed)]
        self.spawn(listener, lambda: serve(server_end), is_upstream)
        return client_end

    def _run_task(self, task: Task, run: Callable[[], None]) -> None:
        try:
            run()
        finally:
            self.current = None
            self._tasks.discard(task)

    def _resume(self, task: Task) -> None:
        if task not in self._tasks or task.handle.dead:
            return
        if task.is_suspended:
            self._suspended_tasks.append(task)
            return
        task.handle.parent = greenlet.getcurrent()
        self.current = task
        task.handle.switch()
        self.current = None
