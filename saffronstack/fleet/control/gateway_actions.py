"""Actions on the processes of one gateway: `gateway_reconciler` decides them, the daemon executes them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartProcess:
    """Start an incarnation of a release, which prepares and then waits for permission to serve."""

    incarnation: int
    release: str


@dataclass(frozen=True, slots=True)
class AllowServing:
    """Tell a prepared incarnation to open its state and serve."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class ServeAfter:
    """Tell a prepared incarnation to serve once another has ended, even if the daemon no longer runs then."""

    incarnation: int
    predecessor: int


@dataclass(frozen=True, slots=True)
class Terminate:
    """Tell an incarnation to drain and exit."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class Kill:
    """Kill an incarnation immediately."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class Discard:
    """Kill a standby process that is not needed; it has opened nothing and accepted no requests."""

    incarnation: int


ProcessAction = StartProcess | AllowServing | ServeAfter | Terminate | Kill | Discard
