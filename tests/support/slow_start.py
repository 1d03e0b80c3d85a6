"""Simulates gateways and workers, and compares the attempts at starting workers with their budget."""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count

from saffronstack.routing.actions import Action, Reject, SendAttempt, SetTimer
from saffronstack.routing.events import (
    AttemptOutcome,
    CacheStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LoadReport,
    Request,
    Result,
    TimerFired,
    WorkerEndpoint,
    WorkerState,
)
from saffronstack.routing.router import Router
from saffronstack.routing.settings import RuleSettings
from tests.helpers import settings

MIN_FRACTION, SLOW_START_S, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_S = 0.23, 14.0, 3.0, 1.0
RULES = RuleSettings(
    response_slack_s=0.01,
    drain_grace_s=1.0,
    slow_start_min_fraction=MIN_FRACTION,
    slow_start_s=SLOW_START_S,
    overload_multiple=OVERLOAD_MULTIPLE,
    overload_window_s=OVERLOAD_WINDOW_S,
)
WORK_S = 0.075
LOAD_S = 0.6
CAPACITY = 26.0  # requests per second of a warm worker of size 1
FUNCTIONS = 60
DEADLINE_S = 3.0


def attempt_budget(allowed: float) -> float:
    """Return the bound on attempts for an allowed average; random variation is larger for small averages."""
    if allowed < 30:
        return allowed + 3 * math.sqrt(allowed) + 3
    return allowed + 2 * math.sqrt(allowed) + 2


@dataclass
class Scenario:
    """Load and faults of a scenario."""

    gateways: int
    load: float  # as a fraction of the fleet's warm capacity
    workers: int = 12
    replaced: int = 1  # workers that are replaced at ``start_s``
    gap_s: float = 0.0  # from the end of the old workers to the list that names the new ones
    spread_s: float = 1.0  # gateways receive the list within this time after the gap
    restarted: float = 0.0  # fraction of the gateways that restart at that moment
    resets: float = 0.0  # fraction of the attempts at starting workers that end in a reset
    retries: int = 0  # of a client whose request was rejected
    released: bool = False  # all instances are lost at that moment
    collapse_s: float = 0.0  # time after ``start_s`` at which all other workers drain; 0: never
    start_s: float = 20.0
    end_s: float = 32.0


@dataclass
class Simulation:
    """One simulation; after `run`, `max_budget_share` is the largest budget share of a starting worker."""

    scenario: Scenario
    seed: int
    now: float = 0.0
    attempts: dict[int, list[float]] = field(default_factory=dict)
    served: int = 0
    requests_sent: int = 0
    attempts_without_credit: int = 0  # attempts at starting workers without credit at their gateway

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._requests = count(1)
        self._instances: dict[int, set[int]] = {}
        self._open_requests: dict[int, tuple[int, int, int]] = {}  # request: gateway, function, retries left
        self._finished: deque[float] = deque()
        self._settings = settings(
            gateway_count=self.scenario.gateways,
            rules=RULES,
            memory_mb_by_worker_kind=(64000.0,),
            keep_alive_s=10.0,
        )
        self.old = list(range(1, self.scenario.workers + 1))
        self.starting = list(range(101, 101 + self.scenario.replaced))
        self.routers = [self._make_router(gateway) for gateway in range(self.scenario.gateways)]
        weights = [self.random.expovariate(1.0) for _ in self.routers]
        self._weights = [weight / sum(weights) for weight in weights]

    def _make_router(self, gateway: int) -> Router:
        return Router(self._settings, self.seed * 1000 + gateway)

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self) -> None:
        """Run the simulation to its end."""
        scenario = self.scenario
        for gateway in range(scenario.gateways):
            self._send_update(
                gateway, EndpointUpdateKind.SNAPSHOT, [WorkerEndpoint(w, WorkerState.READY) for w in self.old]
            )
        for gateway, weight in enumerate(self._weights):
            rate = weight * scenario.load * scenario.workers * CAPACITY
            self.at(self.random.expovariate(rate), self._arrivals(gateway, rate))
        self.at(scenario.start_s, self._replace)
        if scenario.collapse_s:
            self.at(scenario.start_s + scenario.collapse_s, self._collapse)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            if self.now > scenario.end_s:
                return
            action()

    def _arrivals(self, gateway: int, rate: float) -> Callable[[], None]:
        def arrive() -> None:
            self.at(self.now + self.random.expovariate(rate), arrive)
            function = min(FUNCTIONS - 1, int(self.random.expovariate(0.1)))
            self._send_request(gateway, function, self.scenario.retries)

        return arrive

    def _send_request(self, gateway: int, function: int, retries: int) -> None:
        number = next(self._requests)
        self.requests_sent += 1
        self._open_requests[number] = gateway, function, retries
        self._handle(gateway, Request(number, 0, function, self.now + DEADLINE_S, 0, 500.0, 1.0, None))

    def _send_update(self, gateway: int, kind: EndpointUpdateKind, entries: list[WorkerEndpoint]) -> None:
        self._handle(gateway, EndpointUpdate(kind, tuple(entries)))

    def _replace(self) -> None:
        scenario = self.scenario
        gone = self.old[: scenario.replaced]
        if scenario.released:
            self._instances.clear()
        for gateway in range(scenario.gateways):
            if self.random.random() < scenario.restarted:
                self.routers[gateway] = self._make_router(gateway)
                kept = [WorkerEndpoint(w, WorkerState.READY) for w in self.old[scenario.replaced :]]
                self._send_update(gateway, EndpointUpdateKind.SNAPSHOT, kept)
            else:
                self._send_update(
                    gateway,
                    EndpointUpdateKind.INCREMENTAL,
                    [WorkerEndpoint(w, WorkerState.REMOVED) for w in gone],
                )
            announced_s = self.now + scenario.gap_s + self.random.uniform(0, scenario.spread_s)
            self.at(announced_s, self._announce(gateway, self.now + scenario.gap_s))

    def _announce(self, gateway: int, started_s: float) -> Callable[[], None]:
        def announce() -> None:
            starting = [WorkerEndpoint(w, WorkerState.READY, started_s=started_s) for w in self.starting]
            self._send_update(gateway, EndpointUpdateKind.INCREMENTAL, starting)

        return announce

    def _collapse(self) -> None:
        draining = [WorkerEndpoint(w, WorkerState.DRAINING) for w in self.old[self.scenario.replaced :]]
        for gateway in range(self.scenario.gateways):
            self._send_update(gateway, EndpointUpdateKind.INCREMENTAL, draining)

    def _handle(self, gateway: int, event: Event) -> None:
        for action in self.routers[gateway].handle(self.now, event):
            self._execute(gateway, action)

    def _execute(self, gateway: int, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self._send(gateway, action.request_id, action.worker_id)
        elif isinstance(action, SetTimer):
            timer = TimerFired(action.timer_id)
            self.at(self.now + action.delay_s, lambda: self._handle(gateway, timer))
        elif isinstance(action, Reject):
            first_gateway, function, retries = self._open_requests.pop(action.request_id, (gateway, 0, 0))
            if retries:
                wait_s = self.random.uniform(0.03, 0.2)
                self.at(self.now + wait_s, lambda: self._send_request(first_gateway, function, retries - 1))

    def _send(self, gateway: int, request: int, worker: int) -> None:
        function = self._open_requests[request][1]
        router = self.routers[gateway]
        attempt = len(router.components.requests[request].attempts) - 1
        instances = self._instances.setdefault(worker, set())
        warm = function in instances
        instances.add(function)
        if worker in self.starting:
            self.attempts.setdefault(worker, []).append(self.now)
            known = router.workers[worker]
            self.attempts_without_credit += known.send_credit < 0.0 and self.now < known.slow_start_ends_s
        reset = worker in self.starting and self.random.random() < self.scenario.resets
        took_s = 0.002 if reset else self.random.expovariate(1 / WORK_S) + (0.0 if warm else LOAD_S)
        sent_s = self.now

        def end() -> None:
            if router is not self.routers[gateway]:
                return  # that gateway has stopped
            found = CacheStatus.WARM if warm else CacheStatus.STARTED_LOAD
            busy = LoadReport(cpu_utilization=min(1.0, self.scenario.load))
            result = Result.RESET if reset else Result.OK
            self.served += not reset
            outcome = AttemptOutcome(
                request, attempt, worker, result, self.now - sent_s, not reset, found, 0, busy
            )
            self._handle(gateway, outcome)

        self.at(sent_s + took_s, end)

    def budget_shares(self) -> Iterator[tuple[float, int, float]]:
        """Yield share of the budget, count and budget for each window that begins with an attempt."""
        started_s = self.scenario.start_s + self.scenario.gap_s
        for times in self.attempts.values():
            last = 0
            for first, begun_s in enumerate(times):
                while last < len(times) and times[last] < begun_s + OVERLOAD_WINDOW_S:
                    last += 1
                age = min(1.0, max(0.0, begun_s - started_s) / SLOW_START_S)
                capacity = CAPACITY * (MIN_FRACTION + (1 - MIN_FRACTION) * age)
                bound = attempt_budget(OVERLOAD_MULTIPLE * capacity * OVERLOAD_WINDOW_S)
                yield (last - first) / bound, last - first, bound

    def max_budget_share(self) -> float:
        """Return the largest share of its budget that a starting worker got in any window."""
        return max((share for share, _, _ in self.budget_shares()), default=0.0)
