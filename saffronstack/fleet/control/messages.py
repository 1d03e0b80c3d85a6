"""Messages between a rollout's leader, daemons and operators.

The JSON keys are fixed: daemons and leaders of earlier releases use them too. Where a key differs from the
Python name, the class's ``rename`` table holds it.
"""

from __future__ import annotations

from msgspec import Struct

from saffronstack.fleet.control.observed_gateway import GatewayPhase

CONTROL_PATH = "/control"
STATUS_PATH = "/status"
LEADER_LEASE = "fleet/lead"  # its holder leads; its fencing token goes with each command
OPERATOR_REQUEST_LEASE = "fleet/word"  # operators leave requests to the leader in its value


class GatewayCommand(Struct, frozen=True):
    """A command about one gateway: run a release, or reload the settings.

    Attributes:
        gateway: Its name in the fleet file.
        release: The digest to run; empty for none.
        reload: Reload the settings, and leave the release as it is.
    """

    gateway: str
    release: str = ""
    reload: bool = False


class ControlRequest(
    Struct, frozen=True, rename={"sequence": "seq", "incarnation": "life", "commands": "orders"}
):
    """A leader's request to a daemon; without commands it only asks for the status.

    Attributes:
        fleet: The fleet that the leader leads.
        token: The fencing token of its lease.
        sequence: Grows with each request under one token; a request that arrives after a newer one is
            rejected.
        incarnation: Of the daemon, as the leader saw it last; commands to another one are rejected.
        commands: What to change.
    """

    fleet: str
    token: int
    sequence: int
    incarnation: int = 0
    commands: tuple[GatewayCommand, ...] = ()


class GatewayMetrics(
    Struct,
    frozen=True,
    rename={
        "outcomes_by_class": "classes",
        "latencies_by_class": "times",
        "open_descriptors": "descriptors",
        "reported_release": "release",
    },
):
    """What one incarnation of a gateway has counted since it started.

    Attributes:
        age_s: How old these metrics are.
        outcomes_by_class: For each class of calls, how many ended in which way.
        latencies_by_class: For each class an encoded HDR histogram, in tenths of milliseconds.
        memory_mb: Resident memory.
        open_descriptors: Open file descriptors.
        reported_release: The release by the gateway's own page; empty where it reports none.
    """

    age_s: float
    outcomes_by_class: dict[str, dict[str, int]] = {}
    latencies_by_class: dict[str, str] = {}
    memory_mb: float = 0.0
    open_descriptors: int = 0
    reported_release: str = ""


class GatewayStatus(
    Struct,
    frozen=True,
    rename={
        "desired_release": "wanted",
        "running_release": "runs",
        "phase": "state",
        "incarnation": "life",
        "failed_release": "refused",
        "last_error": "why",
        "metrics": "figures",
    },
):
    """One gateway as its daemon sees it: `ObservedGateway`, its process and its metrics."""

    desired_release: str
    running_release: str
    phase: GatewayPhase
    incarnation: int
    restarts: int
    failed_release: str = ""
    last_error: str = ""
    pid: int = 0
    metrics: GatewayMetrics | None = None


class DaemonStatus(Struct, frozen=True, rename={"is_token_lost": "lost", "incarnation": "life"}):
    """A daemon's answer.

    Attributes:
        daemon: Its name in the fleet file.
        token: The greatest fencing token that it accepted.
        is_token_lost: Its disk lost the token and it has not learned it again; it rejects all commands.
        incarnation: Which incarnation of the daemon answers.
        gateways: By name.
    """

    daemon: str
    token: int
    is_token_lost: bool
    incarnation: int
    gateways: dict[str, GatewayStatus]
