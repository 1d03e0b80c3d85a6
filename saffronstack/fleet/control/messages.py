"""Messages between the rollout leader, the daemons and operators.

The JSON keys must not change because daemons and leaders of earlier releases use them. If a key differs from
the Python name, the ``rename`` table of the class gives the key.
"""

from __future__ import annotations

from msgspec import Struct

from saffronstack.fleet.control.observed_gateway import GatewayPhase

CONTROL_PATH = "/control"
STATUS_PATH = "/status"
LEADER_LEASE = "fleet/lead"  # the holder is the rollout leader and sends its fencing token with each command
OPERATOR_REQUEST_LEASE = "fleet/word"  # operators store requests to the leader in its value


class GatewayCommand(Struct, frozen=True):
    """A command for one gateway: run a release, or reload the settings.

    Attributes:
        gateway: The gateway's name in the fleet file.
        release: The digest to run; empty for none.
        reload: Whether to reload the settings instead; the release does not change.
    """

    gateway: str
    release: str = ""
    reload: bool = False


class ControlRequest(
    Struct, frozen=True, rename={"sequence": "seq", "incarnation": "life", "commands": "orders"}
):
    """A request of a leader to a daemon; without commands it only polls the status.

    Attributes:
        fleet: The name of the leader's fleet.
        token: The fencing token of the leader's lease.
        sequence: Increases with each request under one token; the daemon rejects a request that arrives
            after a later one.
        incarnation: The incarnation of the daemon that the leader saw last; another incarnation rejects the
            commands.
        commands: The changes to make.
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
    """Metrics of one incarnation of a gateway since it started.

    Attributes:
        age_s: The age of the metrics in seconds.
        outcomes_by_class: For each class of calls, the number of calls by outcome.
        latencies_by_class: For each class, an encoded HDR histogram in tenths of milliseconds.
        memory_mb: Resident memory in megabytes.
        open_descriptors: Number of open file descriptors.
        reported_release: The digest on the gateway's status page; empty if it reports none.
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
    """State of one gateway in its daemon: that of `ObservedGateway`, the process id and the metrics."""

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
    """A daemon's response to a control request.

    Attributes:
        daemon: The daemon's name in the fleet file.
        token: The greatest fencing token that the daemon accepted.
        is_token_lost: Whether the daemon has lost the token; until it recovers it, it rejects all requests.
        incarnation: The incarnation of the daemon.
        gateways: The status of its gateways by name.
    """

    daemon: str
    token: int
    is_token_lost: bool
    incarnation: int
    gateways: dict[str, GatewayStatus]
