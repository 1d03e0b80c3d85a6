"""State that all threads of one worker's pool share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.http1.messages import MessageLimits
from saffronstack.upstream.events import EventSink
from saffronstack.upstream.http.connection import ConnectionSlot
from saffronstack.upstream.http.usage_observer import UsageObserver


@dataclass(frozen=True, slots=True)
class HttpPoolLimits:
    """Limits of the connections to one worker; times in seconds.

    Attributes:
        connections: Maximum number of connections, and so of threads.
        connect_timeout_s: Timeout for opening a connection.
        idle_timeout_s: Idle time after which a thread closes its connection and ends.
        command_timeout_s: Timeout of a health check or a load command.
        messages: Size limits of a response.
    """

    connections: int = 256
    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 20.0
    command_timeout_s: float = 10.0
    messages: MessageLimits = field(default_factory=MessageLimits)


@dataclass(eq=False, slots=True)
class WorkerContext:
    """One worker, as seen by the threads of its pool.

    Attributes:
        spec: The worker.
        limits: Limits of its connections.
        report: Receives the results of attempts and commands.
        clock: Monotonic time in seconds.
        usage_observer: Receives usage for metering; None without metering.
        is_closed: Whether the worker is draining or was removed, so that no attempt or load command is sent,
            not even a queued one.
        incarnation: The incarnation in the worker's latest response that reported one.
    """

    spec: WorkerSpec
    limits: HttpPoolLimits
    report: EventSink
    clock: Callable[[], float]
    usage_observer: UsageObserver | None = None
    is_closed: bool = False
    incarnation: str = ""

    @property
    def host(self) -> str:
        """Host and port in the form of the Host header."""
        return f"{self.spec.host}:{self.spec.port}"

    def connection_slot(self) -> ConnectionSlot:
        """Return an empty slot for a connection to this worker."""
        address = (self.spec.host, self.spec.port)
        return ConnectionSlot(address, self.limits.connect_timeout_s, self.limits.messages, self.clock)
