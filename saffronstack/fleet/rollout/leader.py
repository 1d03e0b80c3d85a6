"""Leads a rollout: polls daemons, stores decisions in the value of the lease, and sends commands.

The lease holder continues from the record in the value of the lease. Each round polls all daemons
concurrently with a timeout, lets the controller handle the responses, and sends the resulting commands.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import structlog

from saffronstack.fleet.control.daemon_answers import DaemonResponse, UnavailableDaemon
from saffronstack.fleet.control.daemon_client import DaemonClient
from saffronstack.fleet.control.messages import OPERATOR_REQUEST_LEASE, GatewayCommand, GatewayStatus
from saffronstack.fleet.control.observed_gateway import ObservedGateway
from saffronstack.fleet.leases.quorum_read import QuorumRead
from saffronstack.fleet.leases.store import HeldLease
from saffronstack.fleet.rollout.canary_analysis import analyze
from saffronstack.fleet.rollout.canary_sampler import CanarySampler
from saffronstack.fleet.rollout.canary_types import AnalysisLimits
from saffronstack.fleet.rollout.controller import STALL_TIMEOUT_S, RolloutController
from saffronstack.fleet.rollout.events import (
    Action,
    AnalysisCompleted,
    AnalyzeStage,
    DaemonReported,
    DaemonUnreachable,
    Event,
    OperatorRequested,
    RecordStored,
    SetRelease,
    StartBake,
    StoreRecord,
    Tick,
)
from saffronstack.fleet.rollout.metrics_snapshot import is_fresh
from saffronstack.fleet.rollout.operator_requests import decode_request
from saffronstack.fleet.rollout.plan import RolloutFleet, RolloutPlan
from saffronstack.fleet.rollout.record import RolloutRecord, encode_record

log = structlog.get_logger("saffronstack.rollout")
ROUND_INTERVAL_S = 0.5  # pause between rounds without commands
STORE_TIMEOUT_S = 3.0
REQUEST_POLL_INTERVAL_S = 1.0
MAX_COMPARISONS_LOGGED = 3


@dataclass(frozen=True, slots=True)
class LeaderOptions:
    """Timing options of a leader.

    Attributes:
        stall_timeout_s: Time without progress after which the rollout is inconclusive.
        round_interval_s: Pause after a round without commands.
    """

    stall_timeout_s: float = STALL_TIMEOUT_S
    round_interval_s: float = ROUND_INTERVAL_S


DEFAULT_OPTIONS = LeaderOptions()


def running_release(status: GatewayStatus) -> str:
    """Return the release that a gateway runs.

    The gateway's status page is used if its metrics are fresh, otherwise the report of its daemon.
    """
    metrics = status.metrics
    if not status.running_release or metrics is None or not is_fresh(metrics):
        return status.running_release
    return metrics.reported_release or status.running_release


class RolloutLeader:
    """Leader of a rollout for as long as it holds the lease."""

    def __init__(
        self,
        fleet: RolloutFleet,
        daemon_client: DaemonClient,
        lease: HeldLease,
        read_leases: Callable[[], QuorumRead],
        on_round: Callable[[RolloutRecord, str], None] = lambda record, pending: None,
        clock: Callable[[], float] = time.monotonic,
        options: LeaderOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Create a leader.

        Args:
            fleet: The gateways and their daemons.
            daemon_client: The client of the daemons, with the fencing token of ``lease``.
            lease: The leader's lease, which this process holds.
            read_leases: Reads the leases from the lease servers, for requests of operators.
            on_round: Called after each round with the record and a description of what the rollout waits
                for.
            clock: Returns a monotonic time in seconds.
            options: Timing options.
        """
        self._fleet, self._daemon_client, self._lease = fleet, daemon_client, lease
        self._read_leases, self._on_round, self._clock = read_leases, on_round, clock
        self._options = options
        self._sampler = CanarySampler(fleet.gateways)
        self._statuses: dict[str, GatewayStatus] = {}
        self._poll_started_s = 0.0  # time at which the last poll of the daemons started
        self._requests_polled_s = 0.0

    def lead(self, record: RolloutRecord, stopping: threading.Event) -> RolloutRecord:
        """Lead until the rollout is finished, the lease is lost or ``stopping`` is set.

        Returns:
            The last record.
        """
        controller = RolloutController(record, self._fleet, self._clock(), self._options.stall_timeout_s)
        # Store the record first, because it may have been read from less than a majority.
        self._lease.put(encode_record(record), STORE_TIMEOUT_S)
        while not stopping.is_set() and self._holds_lease() and not controller.record.is_finished:
            if self._run_round(controller):
                continue  # polls the effect of the commands immediately
            self._on_round(controller.record, controller.describe_pending())
            stopping.wait(self._options.round_interval_s)
        self._on_round(controller.record, "")
        return controller.record

    def _holds_lease(self) -> bool:
        return self._lease.remaining_s() > 0

    def _run_round(self, controller: RolloutController) -> bool:
        """Poll the daemons, handle the responses and send commands; return whether any were sent."""
        self._poll_started_s = self._clock()
        reports = self._report_events(self._daemon_client.poll())
        events = [*reports, *self._request_events(controller.record), Tick()]
        commands: dict[str, list[GatewayCommand]] = {}
        for event in events:
            for command in self._carry_out(controller, controller.handle(self._clock(), event)):
                commands.setdefault(command.daemon, []).append(
                    GatewayCommand(command.gateway, command.release)
                )
        if not commands or not self._holds_lease():
            return False
        for daemon, response in self._daemon_client.send(commands).items():
            if isinstance(response, UnavailableDaemon):
                log.warning("command not confirmed", daemon=daemon, error=response.reason)
        return True

    def _carry_out(self, controller: RolloutController, actions: Sequence[Action]) -> list[SetRelease]:
        """Execute actions and pass their results to the controller; return the commands to send."""
        commands: list[SetRelease] = []
        pending = deque(actions)
        while pending:
            action = pending.popleft()
            match action:
                case SetRelease():
                    commands.append(action)
                case StartBake():
                    self._sampler.begin(self._statuses, self._clock())
                case StoreRecord(record):
                    is_confirmed = self._lease.put(encode_record(record), STORE_TIMEOUT_S)
                    if not self._holds_lease():
                        return commands
                    if is_confirmed:
                        _log_progress(controller.record, record)
                    stored = RecordStored(record, is_confirmed)
                    pending.extend(controller.handle(self._clock(), stored))
                case AnalyzeStage():
                    completed = self._analyze(controller.record, action)
                    pending.extend(controller.handle(self._clock(), completed))
        return commands

    def _analyze(self, record: RolloutRecord, action: AnalyzeStage) -> AnalysisCompleted:
        # Metrics reach the leader with a delay, especially on a busy machine. Therefore the bake ends only
        # once the metrics cover it.
        covered_s = self._sampler.covered_s(self._statuses, self._poll_started_s)
        progress = min(action.progress, covered_s / record.plan.stages[action.stage].bake_s)
        samples = self._sampler.samples(self._statuses, record.new_release.digest)
        result = analyze(_create_limits(record.plan), samples, progress, action.alpha_spent)
        log.info(
            "canary analysis completed", stage=action.stage, progress=round(progress, 2),
            verdict=result.verdict.value, reasons=result.reasons,
            comparisons=[comparison.describe() for comparison in result.comparisons[:MAX_COMPARISONS_LOGGED]],
        )  # fmt: skip
        return AnalysisCompleted(action.stage, result)

    def _report_events(self, responses: Mapping[str, DaemonResponse]) -> list[Event]:
        events: list[Event] = []
        for daemon, response in sorted(responses.items()):
            if isinstance(response, UnavailableDaemon):
                for name, owner in self._fleet.daemon_of.items():
                    if owner == daemon:
                        self._statuses.pop(name, None)
                events.append(DaemonUnreachable(daemon))
                continue
            self._statuses |= response.gateways
            observed = {name: _create_observation(status) for name, status in response.gateways.items()}
            events.append(DaemonReported(daemon, observed))
        return events

    def _request_events(self, record: RolloutRecord) -> list[Event]:
        """Read the operator's request from the lease servers; return an event if it is for this rollout."""
        now_s = self._clock()
        if now_s < self._requests_polled_s + REQUEST_POLL_INTERVAL_S:
            return []
        self._requests_polled_s = now_s
        request_lease = self._read_leases().leases.get(OPERATOR_REQUEST_LEASE)
        request = decode_request(request_lease.value.content) if request_lease is not None else None
        if request is None or request.rollout != record.plan.name:
            return []
        return [OperatorRequested(request.number, request.action)]


def _create_limits(plan: RolloutPlan) -> AnalysisLimits:
    return AnalysisLimits(
        false_stop_probability=plan.false_stop_probability,
        min_calls=plan.min_calls,
        gross_failure_increase=plan.gross_failure_increase,
        min_differences={
            "memory_mb": plan.min_memory_growth_mb,
            "descriptors": plan.min_descriptor_growth,
        },
    )


def _create_observation(status: GatewayStatus) -> ObservedGateway:
    return ObservedGateway(
        desired_release=status.desired_release,
        running_release=running_release(status),
        phase=status.phase,
        incarnation=status.incarnation,
        restarts=status.restarts,
        failed_release=status.failed_release,
        last_error=status.last_error,
    )


def _log_progress(before: RolloutRecord, stored: RolloutRecord) -> None:
    if stored.history[-1:] != before.history[-1:]:
        log.info("rollout progressed", rollout=stored.plan.name, detail=stored.history[-1])
