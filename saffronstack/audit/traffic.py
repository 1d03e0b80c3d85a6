"""What was seen at the sockets. Times are of one monotonic clock, in seconds."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class ClientRequest:
    """One request of a client, as its socket saw it."""

    op: str  # what the client wants done once; its repeats share it
    gateway: int
    function: str
    sent_s: float
    deadline_s: float  # clock time at which the client gives up
    deferred: bool = False
    tenant: str = ""
    id: str = ""  # request id of the answer
    ended_s: float = 0.0
    outcome: str = (
        ""  # served, refused, failed, accepted, error, broken, not_taken, left; empty: nothing came
    )
    extra_bytes: int = 0  # that followed the answer unasked
    attempt: int = 0  # of the operation's tries, from 0
    answer: str = ""  # what tells one answer from another


@dataclass(slots=True)
class WorkerLogEntry:
    """One line of a worker's log."""

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
    """Gateways were told of a worker: ready, draining or gone; ``started_s`` is its start, 0 for long ago."""

    t: float
    worker: str
    state: str
    started_s: float = 0.0


@dataclass(slots=True)
class GatewayStop:
    """A gateway was killed (or asked to end) at ``t`` and came back at ``restarted_s``."""

    gateway: int
    t: float
    killed: bool
    restarted_s: float = float("inf")


@dataclass(slots=True)
class FunctionRule:
    """What the rules need of a function."""

    effect: str
    group: str = "all"
    window_s: float = 0.0
    is_logged: bool = (
        False  # its operations are noted durably: judged over all tries of one, without allowance
    )


@dataclass(slots=True)
class RuleLimits:
    """The rules' figures, and what a worker can do."""

    drain_grace_s: float = 2.0
    overload_multiple: float = 0.0
    overload_window_s: float = 1.0
    slow_start_min_fraction: float = 1.0
    slow_start_s: float = 0.0
    capacity_rps: dict[str, float] = field(default_factory=dict)  # by worker, warm
    load_command_burst: float = 0.0
    load_commands_per_request: float = 0.0
    load_command_window_s: float = 0.0
    gateways: int = 1
    slack_s: float = 0.005  # of clocks read on different threads


@dataclass(slots=True)
class Traffic:
    """All that was seen in a run."""

    functions: dict[str, FunctionRule]
    zones: dict[str, tuple[str, str]] = field(default_factory=dict)  # worker: zone and cell
    requests: list[ClientRequest] = field(default_factory=list)
    worker_log: list[WorkerLogEntry] = field(default_factory=list)
    endpoint_changes: list[EndpointChange] = field(default_factory=list)
    gateway_stops: list[GatewayStop] = field(default_factory=list)
    lost_responses: set[tuple[str, int]] = field(
        default_factory=set
    )  # answers lost behind the gateway: op, attempt
    unaccepted: set[tuple[str, int]] = field(default_factory=set)  # tries that no gateway was there to take
    final_records: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )  # distinct conditions by id
    _by_op: dict[str, dict[str, list[WorkerLogEntry]]] = field(default_factory=dict)

    def function_rule(self, function: str) -> FunctionRule:
        """A function's rule; one that a pattern covers stands under its first part."""
        rule = self.functions.get(function) or self.functions.get(function.partition("-")[0] + "-*")
        return rule or FunctionRule("unsafe")

    def entries_by_operation(self, what: str) -> dict[str, list[WorkerLogEntry]]:
        """Lines of a kind by the operation that the payload names; reckoned once."""
        found = self._by_op.get(what)
        if found is None:
            found = self._by_op[what] = defaultdict(list)
            for entry in self.worker_log:
                if entry.what == what and entry.op:
                    found[entry.op].append(entry)
        return found
