"""What a daemon does about the processes of one gateway; decided by `gateway_reconciler`."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartProcess:
    """Start an incarnation of a release, which prepares itself and waits for ``AllowServing``."""

    incarnation: int
    release: str


@dataclass(frozen=True, slots=True)
class AllowServing:
    """Let a prepared incarnation open its state and serve."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class ServeAfter:
    """Let a prepared incarnation serve once another has ended, even if the daemon is stopped or gone then."""

    incarnation: int
    predecessor: int


@dataclass(frozen=True, slots=True)
class Terminate:
    """Have an incarnation answer the calls it has accepted, and end."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class Kill:
    """End an incarnation at once."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class Discard:
    """End a standby that is not needed; it holds nothing."""

    incarnation: int


ProcessAction = StartProcess | AllowServing | ServeAfter | Terminate | Kill | Discard
