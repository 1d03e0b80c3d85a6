"""What all threads of one worker's pool share."""

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
    """Bounds of the connections to one worker; times in seconds.

    Attributes:
        connections: Connections, and so threads, at once.
        connect_timeout_s: Time to open a connection.
        idle_timeout_s: How long a thread, and its connection, wait for the next job.
        command_timeout_s: How long a health check or a load command may take.
        messages: Bounds of a response.
    """

    connections: int = 256
    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 20.0
    command_timeout_s: float = 10.0
    messages: MessageLimits = field(default_factory=MessageLimits)


@dataclass(eq=False, slots=True)
class WorkerContext:
    """One worker as the threads of its pool know it.

    Attributes:
        spec: The worker.
        limits: Bounds of its connections.
        report: Receives the results of attempts and commands.
        clock: Monotonic time in seconds.
        usage_observer: Takes part in metering; None without metering.
        is_closed: Whether it drains or was removed: nothing new is sent, whatever was queued.
        incarnation: The worker process that answered last.
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
        """Host and port, as a request's Host header has them."""
        return f"{self.spec.host}:{self.spec.port}"

    def connection_slot(self) -> ConnectionSlot:
        """Return an empty slot for a connection to this worker."""
        address = (self.spec.host, self.spec.port)
        return ConnectionSlot(address, self.limits.connect_timeout_s, self.limits.messages, self.clock)
