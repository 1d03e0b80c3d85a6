"""Messages to the decision thread, and the interface for receivers of its decisions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from saffronstack.engine.calls import Call
from saffronstack.engine.dispatch import AttemptResult, CommandResult, WorkerObservation
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.routing.actions import Action
from saffronstack.routing.events import ClientDisconnected, Event
from saffronstack.routing.router import Router


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """The complete list of workers, as known at ``unix_s`` (Unix seconds)."""

    specs: tuple[WorkerSpec, ...]
    unix_s: float


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """Workers that are new or changed, and numbers of removed ones, as known at ``unix_s`` (Unix seconds)."""

    specs: tuple[WorkerSpec, ...]
    removed: tuple[int, ...]
    unix_s: float


@dataclass(frozen=True, slots=True)
class Inspection:
    """A function that reads the router's state between two events; it receives the time and the router."""

    inspect: Callable[[float, Router], None]


@dataclass(frozen=True, slots=True)
class Shutdown:
    """End the decision thread once all messages before this one are handled."""


WorkerMessage = AttemptResult | CommandResult | WorkerObservation
EngineMessage = (
    Call | WorkerMessage | ClientDisconnected | EndpointSnapshot | EndpointChange | Inspection | Shutdown
)


class DecisionSink(Protocol):
    """Receives each event and the actions decided on it, in order, on the decision thread."""

    def record(self, now: float, event: Event, actions: list[Action]) -> None:
        """Receive one decision; this must not block."""
        ...
