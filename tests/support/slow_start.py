"""Many front ends and workers in simulated time: what reaches young workers, beside what they may get."""

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

COLD_SHARE, COLD_S, TIP_MULTIPLE, TIP_AFTER_S = 0.23, 14.0, 3.0, 1.0
RULES = RuleSettings(
    response_slack_s=0.01,
    drain_grace_s=1.0,
    slow_start_min_fraction=COLD_SHARE,
    slow_start_s=COLD_S,
    overload_multiple=TIP_MULTIPLE,
    overload_window_s=TIP_AFTER_S,
)
WORK_S = 0.075
LOAD_S = 0.6
CAPACITY = 26.0  # requests a second of a warm worker of size 1
FUNCTIONS = 60
DEADLINE_S = 3.0


def budget(allowed: float) -> float:
    """What a worker bears that may get so many requests: chance has its part, more where they are few."""
    if allowed < 30:
        return allowed + 3 * math.sqrt(allowed) + 3
    return allowed + 2 * math.sqrt(allowed) + 2


@dataclass
class Load:
    """What a scenario asks of the fleet."""

    front_ends: int
    load: float  # of the fleet's warm capacity
    workers: int = 12
    replaced: int = 1  # workers that are replaced at ``start_s``
    gap_s: float = 0.0  # between the end of the old ones and the list that names the new ones
    spread_s: float = 1.0  # front ends hear of the new ones within this time
    restarted: float = 0.0  # part of the front ends that start anew at that moment
    resets: float = 0.0  # part of the attempts at young workers that end in a reset
    retries: int = 0  # of a client whose request was refused
    released: bool = False  # all copies go void at that moment
    collapse_s: float = 0.0  # so long after their start the young workers are the only ones left; 0: never
    start_s: float = 20.0
    end_s: float = 32.0


@dataclass
class World:
    """One run: `play` it, then `worst` tells the largest part of its budget that a young worker got."""

    scenario: Load
    seed: int
    now: float = 0.0
    sends: dict[int, list[float]] = field(default_factory=dict)
    served: int = 0
    asked: int = 0
    overdrawn: int = 0  # sends to young workers for which their front end had no credit

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._requests = count(1)
        self._copies: dict[int, set[int]] = {}
        self._left: dict[int, tuple[int, int, int]] = {}  # request: front end, function, retries left
        self._finished: deque[float] = deque()
        self._settings = settings(
            gateway_count=self.scenario.front_ends,
            rules=RULES,
            memory_mb_by_worker_kind=(64000.0,),
            keep_alive_s=10.0,
        )
        self.old = list(range(1, self.scenario.workers + 1))
        self.young = list(range(101, 101 + self.scenario.replaced))
        self.routers = [self._router(place) for place in range(self.scenario.front_ends)]
        weights = [self.random.expovariate(1.0) for _ in self.routers]
        self._weights = [weight / sum(weights) for weight in weights]

    def _router(self, place: int) -> Router:
        return Router(self._settings, self.seed * 1000 + place)

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), what))

    def play(self) -> None:
        """Run it to its end."""
        scenario = self.scenario
        for place in range(scenario.front_ends):
            self._tell(
                place, EndpointUpdateKind.SNAPSHOT, [WorkerEndpoint(w, WorkerState.READY) for w in self.old]
            )
        for place, weight in enumerate(self._weights):
            rate = weight * scenario.load * scenario.workers * CAPACITY
            self.at(self.random.expovariate(rate), self._arrivals(place, rate))
        self.at(scenario.start_s, self._replace)
        if scenario.collapse_s:
            self.at(scenario.start_s + scenario.collapse_s, self._collapse)
        while self._events:
            self.now, _, what = heapq.heappop(self._events)
            if self.now > scenario.end_s:
                return
            what()

    def _arrivals(self, place: int, rate: float) -> Callable[[], None]:
        def arrive() -> None:
            self.at(self.now + self.random.expovariate(rate), arrive)
            function = min(FUNCTIONS - 1, int(self.random.expovariate(0.1)))
            self._ask(place, function, self.scenario.retries)

        return arrive

    def _ask(self, place: int, function: int, retries: int) -> None:
        number = next(self._requests)
        self.asked += 1
        self._left[number] = place, function, retries
        self._handle(place, Request(number, 0, function, self.now + DEADLINE_S, 0, 500.0, 1.0, None))

    def _tell(self, place: int, kind: EndpointUpdateKind, entries: list[WorkerEndpoint]) -> None:
        self._handle(place, EndpointUpdate(kind, tuple(entries)))

    def _replace(self) -> None:
        scenario = self.scenario
        gone = self.old[: scenario.replaced]
        if scenario.released:
            self._copies.clear()
        for place in range(scenario.front_ends):
            if self.random.random() < scenario.restarted:
                self.routers[place] = self._router(place)
                kept = [WorkerEndpoint(w, WorkerState.READY) for w in self.old[scenario.replaced :]]
                self._tell(place, EndpointUpdateKind.SNAPSHOT, kept)
            else:
                self._tell(
                    place,
                    EndpointUpdateKind.INCREMENTAL,
                    [WorkerEndpoint(w, WorkerState.REMOVED) for w in gone],
                )
            heard_s = self.now + scenario.gap_s + self.random.uniform(0, scenario.spread_s)
            self.at(heard_s, self._hears(place, self.now + scenario.gap_s))

    def _hears(self, place: int, started_s: float) -> Callable[[], None]:
        def hear() -> None:
            young = [WorkerEndpoint(w, WorkerState.READY, started_s=started_s) for w in self.young]
            self._tell(place, EndpointUpdateKind.INCREMENTAL, young)

        return hear

    def _collapse(self) -> None:
        draining = [WorkerEndpoint(w, WorkerState.DRAINING) for w in self.old[self.scenario.replaced :]]
        for place in range(self.scenario.front_ends):
            self._tell(place, EndpointUpdateKind.INCREMENTAL, draining)

    def _handle(self, place: int, event: Event) -> None:
        for action in self.routers[place].handle(self.now, event):
            self._carry_out(place, action)

    def _carry_out(self, place: int, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self._send(place, action.request_id, action.worker_id)
        elif isinstance(action, SetTimer):
            woken = TimerFired(action.timer_id)
            self.at(self.now + action.delay_s, lambda: self._handle(place, woken))
        elif isinstance(action, Reject):
            asked, function, retries = self._left.pop(action.request_id, (place, 0, 0))
            if retries:
                wait_s = self.random.uniform(0.03, 0.2)
                self.at(self.now + wait_s, lambda: self._ask(asked, function, retries - 1))

    def _send(self, place: int, request: int, worker: int) -> None:
        function = self._left[request][1]
        router = self.routers[place]
        attempt = len(router.components.requests[request].attempts) - 1
        copies = self._copies.setdefault(worker, set())
        warm = function in copies
        copies.add(function)
        if worker in self.young:
            self.sends.setdefault(worker, []).append(self.now)
            known = router.workers[worker]
            self.overdrawn += known.send_credit < 0.0 and self.now < known.slow_start_ends_s
        reset = worker in self.young and self.random.random() < self.scenario.resets
        took_s = 0.002 if reset else self.random.expovariate(1 / WORK_S) + (0.0 if warm else LOAD_S)
        sent_s = self.now

        def end() -> None:
            if router is not self.routers[place]:
                return  # that front end has ended
            found = CacheStatus.WARM if warm else CacheStatus.STARTED_LOAD
            busy = LoadReport(cpu_utilization=min(1.0, self.scenario.load))
            result = Result.RESET if reset else Result.OK
            self.served += not reset
            told = AttemptOutcome(
                request, attempt, worker, result, self.now - sent_s, not reset, found, 0, busy
            )
            self._handle(place, told)

        self.at(sent_s + took_s, end)

    def shares(self) -> Iterator[tuple[float, int, float]]:
        """For each window that begins with a send to a young worker: part of the budget, count, budget."""
        started_s = self.scenario.start_s + self.scenario.gap_s
        for times in self.sends.values():
            last = 0
            for first, begun_s in enumerate(times):
                while last < len(times) and times[last] < begun_s + TIP_AFTER_S:
                    last += 1
                age = min(1.0, max(0.0, begun_s - started_s) / COLD_S)
                capacity = CAPACITY * (COLD_SHARE + (1 - COLD_SHARE) * age)
                bound = budget(TIP_MULTIPLE * capacity * TIP_AFTER_S)
                yield (last - first) / bound, last - first, bound

    def worst(self) -> float:
        """The largest part of its budget that a young worker got in any window."""
        return max((share for share, _, _ in self.shares()), default=0.0)
