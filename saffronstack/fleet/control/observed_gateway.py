"""Observed state of one gateway, which its daemon reports."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class GatewayPhase(enum.StrEnum):
    """Phase of a gateway; the values appear in messages and in the output of the command line."""

    STOPPED = "none"  # no process runs, and no release is desired
    STARTING = "starting"  # a process prepares while no other one serves
    SERVING = "up"
    CHANGING = "changing"  # a process serves or drains, and its successor prepares or waits
    DOWN = "down"  # no process runs, although a release is desired
    DRAINING = "ending"


@dataclass(frozen=True, slots=True)
class ObservedGateway:
    """State of one gateway at one time.

    Attributes:
        desired_release: The digest that the last command set; empty for none.
        running_release: The digest of the release that serves; empty for none.
        phase: The phase of the gateway.
        incarnation: The number of its current process; 0 for none.
        restarts: Number of unplanned ends of its processes since the daemon started.
        failed_release: The digest of a release that was given up because it did not start or kept crashing.
        last_error: Description of the last failure; empty for none.
    """

    desired_release: str
    running_release: str
    phase: GatewayPhase
    incarnation: int
    restarts: int
    failed_release: str
    last_error: str
