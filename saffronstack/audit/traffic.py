"""What clients and workers saw on their sockets. Times are seconds of one monotonic clock."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class ClientRequest:
    """A request of a client, as seen on the client's socket."""

    op: str  # operation that the client wants done once; its retries have the same one
    gateway: int
    function: str
    sent_s: float
    deadline_s: float  # time at which the client gives up
    deferred: bool = False
    tenant: str = ""
    id: str = ""  # request id that the response names
    ended_s: float = 0.0
    outcome: str = ""  # served, refused, failed, accepted, error, broken, not_taken, left; empty: none yet
    extra_bytes: int = 0  # bytes after the response that belong to no response
    attempt: int = 0  # index among the client's requests for the operation
    answer: str = ""  # digest or text that distinguishes responses


@dataclass(slots=True)
class WorkerLogEntry:
    """An entry of a worker's log."""

    t: float
    worker: str
    incarnation: str
    what: str
    id: str = ""
    attempt: int = 0
    function: str = ""
    status: int = 0
    open: bool = True
    late: float = 0.0
    count: int = 0
    op: str = ""


@dataclass(slots=True)
class EndpointChange:
    """A change of a worker in the endpoint list: ready, draining or gone.

    ``started_s`` is the start of the worker, 0 if it started long ago.
    """

    t: float
    worker: str
    state: str
    started_s: float = 0.0


@dataclass(slots=True)
class GatewayStop:
    """A gateway was killed, or asked to shut down, at ``t`` and started again at ``restarted_s``."""

    gateway: int
    t: float
    killed: bool
    restarted_s: float = float("inf")


@dataclass(slots=True)
class FunctionRule:
    """What the rules need to know about a function."""

    effect: str
    group: str = "all"
    window_s: float = 0.0
    # Its operations are logged durably: the rules hold over all requests of an operation, and a lost response
    # excuses no second run.
    is_logged: bool = False


@dataclass(slots=True)
class RuleLimits:
    """Limits that the rules check, and the capacity of the workers."""

    drain_grace_s: float = 2.0
    overload_multiple: float = 0.0
    overload_window_s: float = 1.0
    slow_start_min_fraction: float = 1.0
    slow_start_s: float = 0.0
    capacity_rps: dict[str, float] = field(default_factory=dict)  # by worker, when it is warm
    load_command_burst: float = 0.0
    load_commands_per_request: float = 0.0
    load_command_window_s: float = 0.0
    gateways: int = 1
    slack_s: float = 0.005  # tolerance for times that different threads take


@dataclass(slots=True)
class Traffic:
    """The traffic of a run."""

    functions: dict[str, FunctionRule]
    zones: dict[str, tuple[str, str]] = field(default_factory=dict)  # worker: zone and cell
    requests: list[ClientRequest] = field(default_factory=list)
    worker_log: list[WorkerLogEntry] = field(default_factory=list)
    endpoint_changes: list[EndpointChange] = field(default_factory=list)
    gateway_stops: list[GatewayStop] = field(default_factory=list)
    # Requests, by operation and attempt, whose response was lost between the gateway and the client.
    lost_responses: set[tuple[str, int]] = field(default_factory=set)
    # Requests, by operation and attempt, that were sent while no gateway was running.
    unaccepted: set[tuple[str, int]] = field(default_factory=set)
    # The distinct conditions of the final records of a deferred call, by request id.
    final_records: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    _by_op: dict[str, dict[str, list[WorkerLogEntry]]] = field(default_factory=dict)

    def function_rule(self, function: str) -> FunctionRule:
        """Return a function's rule; ``prefix-*`` covers all functions whose names start with ``prefix-``."""
        rule = self.functions.get(function) or self.functions.get(function.partition("-")[0] + "-*")
        return rule or FunctionRule("unsafe")

    def entries_by_operation(self, what: str) -> dict[str, list[WorkerLogEntry]]:
        """Return the log entries of a kind by the operation that the payload names; computed once."""
        found = self._by_op.get(what)
        if found is None:
            found = self._by_op[what] = defaultdict(list)
            for entry in self.worker_log:
                if entry.what == what and entry.op:
                    found[entry.op].append(entry)
        return found
