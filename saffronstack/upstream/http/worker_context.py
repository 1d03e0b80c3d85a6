"""State that all threads of one worker's pool share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.upstream.events import EventSink
from saffronstack.upstream.http.connection_slot import ConnectionSlot
from saffronstack.upstream.http.idle_connections import IdleConnections
from saffronstack.upstream.http.pool_limits import HttpPoolLimits
from saffronstack.upstream.http.usage_observer import UsageObserver


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
        idle_connections: The worker's connections that no thread uses.
    """

    spec: WorkerSpec
    limits: HttpPoolLimits
    report: EventSink
    clock: Callable[[], float]
    usage_observer: UsageObserver | None = None
    is_closed: bool = False
    incarnation: str = ""
    idle_connections: IdleConnections = field(init=False)

    def __post_init__(self) -> None:
        """Create the set of idle connections."""
        limits = self.limits
        self.idle_connections = IdleConnections(
            limits.connections, limits.reuse_delay_s, limits.idle_timeout_s, self.clock
        )

    @property
    def host(self) -> str:
        """Host and port in the form of the Host header."""
        return f"{self.spec.host}:{self.spec.port}"

    def connection_slot(self) -> ConnectionSlot:
        """Return an empty slot for a connection to this worker."""
        address = (self.spec.host, self.spec.port)
        return ConnectionSlot(address, self.limits, self.idle_connections)
