"""The observed state of one gateway, as its daemon reports it."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class GatewayPhase(enum.StrEnum):
    """How far a gateway is; the values stand in messages and in the command line's output."""

    STOPPED = "none"  # no process, and none is desired
    STARTING = "starting"  # a first process prepares itself
    SERVING = "up"
    CHANGING = "changing"  # one process serves or drains while its successor prepares itself
    DOWN = "down"  # no process, although one is desired
    DRAINING = "ending"


@dataclass(frozen=True, slots=True)
class ObservedGateway:
    """One gateway at one moment.

    Attributes:
        desired_release: The digest that was commanded; empty for none.
        running_release: The digest that serves; empty where none does.
        phase: How far it is.
        incarnation: The number of its present process; 0 for none.
        restarts: Unplanned ends of its processes since the daemon started.
        failed_release: A release that could not be started or kept crashing and was given up.
        last_error: What went wrong last; empty for nothing.
    """

    desired_release: str
    running_release: str
    phase: GatewayPhase
    incarnation: int
    restarts: int
    failed_release: str
    last_error: str
