"""All decisions of saffronstack. Read `saffronstack/interface.py` first: settings, events and actions.

Ordinary path of a request: the freshest entry of the function's warm stack; else the worker with most
room by this front end's own account of placed memory; else the worker with fewest own requests in flight.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import insort
from collections import deque
from dataclasses import dataclass, field
from itertools import count

from saffronstack.routing.actions import (
    Action,
    CancelAttempt,
    Fail,
    LoadFunction,
    Reject,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from saffronstack.routing.events import (
    AttemptOutcome,
    CacheStatus,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LoadCommandResult,
    Request,
    Result,
    TimerFired,
    WorkerEndpoint,
    WorkerState,
)
from saffronstack.routing.settings import ClassSettings, DeduplicationScope, Idempotency, MissMode, Settings
from saffronstack.routing.validation import validate_settings

LIMITING = (Result.OK, Result.AT_CAPACITY, Result.TIMEOUT)  # late, they shrink the worker's limit
NEVER_RAN = (Result.AT_CAPACITY, Result.CONNECT_FAILED, Result.NOT_STARTED, Result.NOT_LOADED)
ALL = "all", 0  # the key that counts all requests
KEEP_UNTOLD_S = 8.0  # how long an entry lives where no keep-alive is told
RATE_SPAN_S = 15.0  # memory of own requests: all, a function's, a tenant's; it also sizes slow start
FORGET_UNDER = 0.05  # recent requests under which a function that holds nothing is forgotten
COLD_PART = 1.2  # of the own rate, for its share of capacity; workers can do more than the rate shows
COLD_USE = 0.85  # of what it can do at its age, where answers tell how much of their cores workers use
COLD_MOST = 2.0
COLD_SPARE = 2.5  # deviations that are kept free for chance: other front ends send when they please
WINDOW_MARGIN_S = 0.05  # a keyed repeat must arrive this long before its window ends
ROOM_WEIGHT = 1.5  # how strongly room counts beside the function's rank
PART_PRIOR = 10.0  # requests that count as seen of other functions: few own requests prove little
SPREAD = 1.5  # workers that a function's loads go to, for each that its part of the requests would fill
SPREAD_MOST = 10.0
SPREAD_GROW = 1.05  # by a send without an entry that finds a copy with all its lanes taken
SPREAD_EASE = 0.99  # by one that finds a lane free
SPREAD_SHRINK = 0.8  # by one that needs a load
BUSY_STEP = 0.3  # weight of one told use of a worker's cores
BUSY_SPAN_S = 20.0  # memory of it: what differs between workers lasts, what one of them does next does not
REST_LEAST = 0.05  # of its cores that a worker is taken to have free
REST_STEPS = 10  # smaller differences between two workers decide nothing
MET_SPAN = 30.0  # answers that the part which met another front end's copy rests on
MET_MOSTLY = 0.2  # over this part, copies are taken to be shared by all front ends
BOUND = 1.5  # own requests in flight for a worker's size, as a multiple of the mean, that still is calm
BOUND_LEAST = 3  # and never fewer than this
LOADS_EACH = 3.0  # own loads under way for each worker, over all front ends
LOADS_FLOOR = 1.2  # the least that it shrinks to, and how it moves
LOADS_GROW = 0.1
LOADS_SHRINK = 0.8
LOADS_LEAST = 5  # own loads that a front end may always have under way
SLOW_LOAD = 3.0  # a load that takes this multiple of the usual is slow
JUDGE_S = 0.3  # the bound shrinks this often at most
REPEATS = 0.1  # further attempts a request: full answers breed no loads; hurts where many answers are lost
REPEATS_SAVED = 5.0  # how many may be saved up
LOAD_TRIES = 3  # attempts of one request that may each begin a load
WAIT_PER_LANE = 1  # requests that wait for each busy lane before another copy is loaded
PATIENCE = 0.3  # part of the wanted time after which a held request may load all the same
STACK_MOST = 64  # entries of one function that are kept, the freshest ones; each choice walks them
HOLD_PART = 0.48  # of its time that a request is held before anything was sent for it
HOLD_END_S = 0.05  # a held request is answered this long before its deadline
IN_TIME = 1.0  # a load is begun only where this part of its usual time is left
EJECT_SLOW = 3.0  # ejected from this multiple of the median worker's slowness
EJECT_ERRORS = 0.25  # or from this part of errors over twice the median's
EJECT_MISSES = 2  # or after so many attempts in a row that reached nothing
EJECT_BACK = 0.7  # an ejected worker is back under this part of the bounds
EJECT_LEAST = 8  # answers before a worker counts as slow
EJECT_MOST = 0.35  # of the fleet; with more outliers only the worst are out
EJECT_EVERY_S = 0.1
EJECT_STEP = 0.1  # weight of one answer, and of a trial's
TRIAL_STEP = 0.4
TRIAL_S = 1.0  # an ejected worker gets one request in this time
NORM_STEP = 0.02
AVOID_S = 0.5  # a worker that answered no to an order gets none for the function this long
ORDER_MARGIN_S = 0.01  # the window of the rule on loads is taken this much to the safe side
LOAD_AT_ONCE_S = 0.05  # an order answered within this found the copy standing
OWN_LOADS = 3  # own loads under way at one worker
LATE_PART = 0.7  # an answer after this part of the wanted time shrinks its worker's limit
SHED_MORE = 0.02  # of requests of mean worth refused at once, more by each late or full answer
SHED_LESS = 0.01  # and less by each timely one
SHED_MOST = 0.75
SHED_FREE = 0.15  # of it that chance alone brings about where answers are few
SHED_SPAN_S = 2.0  # memory of how many answers there are to judge by
SHED_RATE = 30.0  # answers a second from which on the steps are these; with fewer they are larger
SHED_SWIFT = 6.0  # and so many times as large at most
LIMIT_USED = 0.7  # the limit grows only while this part of it is in use
LIMIT_GROW = 0.1
LIMIT_SHRINK = 0.85
LIMIT_LEAST = 2.0
PART_LEAST = 0.2  # of a worker's limit that a worthless request may use; one of mean worth may use all
VALUE_STEP = 0.01
MASK = 2**64 - 1
ADVICE_S = 0.5  # clients are asked to stay away this long after a refusal


@dataclass(eq=False, slots=True)
class Worker:
    """What this front end knows of one worker."""

    entry: WorkerEndpoint
    ready: bool = False
    listed: bool = False
    in_flight: int = 0
    placed_mb: float = 0.0
    warm_out: int = 0  # own sends to loaded copies in flight
    limit: float = math.inf  # of those, moved by whether answers come in time
    limited_s: float = 0.0
    slow: float = 1.0  # recent time of its warm answers, as a multiple of what the class usually takes
    answers: int = 0  # that `slow` rests on, up to what it needs
    errors: float = 0.0  # recent part of its answers that were errors
    misses: int = 0  # attempts in a row that reached nothing
    busy: float = 0.0  # recent use of its cores by its own answers, and when it was told last
    busy_s: float = -math.inf
    heard_s: float = -math.inf  # when it answered anything
    ejected: bool = False
    trial_s: float = 0.0  # when the next trial may go to it while it is ejected
    loading: dict[int, int] = field(default_factory=dict)  # functions with own sends out that need a load
    warm_s: float = 0.0  # when its slow start is over
    credit: float = 0.0  # sends that slow start allows it now, and when that was counted
    credit_s: float = 0.0


@dataclass(slots=True)
class Holding:
    """Copies of one function that own sends made one worker hold."""

    memory_mb: float
    copies: int = 0
    in_flight: int = 0
    used_s: float = 0.0


@dataclass(eq=False, slots=True)
class Function:
    """What this front end knows of one function."""

    stack: list[tuple[Worker, float]] = field(default_factory=list)  # the warm stack: when a lane was freed
    waiting: list[Pending] = field(default_factory=list)  # held here until a lane or a load slot is free
    busy: int = 0  # own sends in flight to loaded copies
    loads: int = 0  # own sends and orders in flight that need a load
    avoid: dict[int, float] = field(default_factory=dict)  # workers that answered no to an order: until when


@dataclass(eq=False, slots=True)
class Attempt:
    """One send and what it may have done."""

    ask: Request
    number: int
    worker: Worker
    sent_s: float
    warm: bool  # a loaded copy is expected
    strange: bool  # neither an entry nor the own account had a copy there
    freed_s: float = 0.0  # of the entry that it took
    broken: bool = False  # its connection ended, which says nothing of the copy


@dataclass(eq=False, slots=True)
class Pending:
    """A request that is still owed its final answer."""

    ask: Request
    cls: ClassSettings
    value: float
    held_until_s: float
    attempts: list[Attempt] = field(default_factory=list)
    maybe: Attempt | None = None  # the first attempt that may have run
    out: int = 0
    woken: bool = False


class Router:
    """Decides for one front end; `handle` is the only entry."""

    def __init__(self, settings: Settings, seed: int) -> None:
        validate_settings(settings)
        self.settings = settings
        self.random = random.Random(seed)
        self.keep_s = settings.keep_alive_s or KEEP_UNTOLD_S
        self.workers: dict[int, Worker] = {}
        self.ready = 0  # workers, and their size together
        self.size = 0.0
        self.served_by = 0.0, 0.0  # size of the workers that recent requests went to, and when it was counted
        self.functions: dict[int, Function] = {}
        self.held: dict[int, Function] = {}  # those with requests waiting
        self.loads_out = 0
        self.value = 0.0  # recent mean worth of a request
        self.norms: dict[int, float] = {}  # usual time of a warm answer, for each class
        self.busy = 0.0  # recent use of cores over the answering workers
        self.eject_s = 0.0
        self.sweep_s = 0.0
        self.orders: dict[tuple[int, int], list[Request]] = {}
        self.order_times: deque[float] = deque()  # both kept only where orders are rationed
        self.request_times: deque[float] = deque()
        self.load_part = LOADS_EACH / settings.gateway_count  # own loads under way allowed for each worker
        self.load_norm_s = 0.0
        self.load_judged_s = 0.0
        self.pending: dict[int, Pending] = {}
        self.flying: dict[tuple[int, int], Attempt] = {}
        self.holdings: dict[tuple[int, int], Holding] = {}
        self.expiries: list[tuple[float, int, int, int]] = []
        self.ticket = count()
        self.met = 0.0  # recent part of the answers that met a copy of other front ends
        self.spread = SPREAD
        self.shed = 0.0  # part of the requests of mean worth that is refused at once
        self.judged = 0.0, 0.0  # answers that said how late the fleet is, decayed, and when
        self.counts: dict[tuple[str, int], tuple[float, float]] = {}  # recent own requests; restarts at none
        self.repeats = REPEATS_SAVED  # further attempts that may be made now
        self.actions: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """What to do about one event."""
        self.actions = []
        if isinstance(event, AttemptOutcome):
            self._outcome(now, event)
        elif isinstance(event, Request):
            self._request(now, event)
        elif isinstance(event, EndpointUpdate):
            self._list(now, event)
        elif isinstance(event, LoadCommandResult):
            self._loaded(now, event)
        elif isinstance(event, TimerFired):
            self._woken(now, event.timer_id)
        elif isinstance(event, ClientDisconnected):
            self._left(event.request_id)
        return self.actions

    def _left(self, request: int) -> None:
        """Work that nobody waits for any more is given up where the site allows it: it crowds out others."""
        pending = self.pending.pop(request, None)
        if pending is not None and self.settings.permissions.cancellation:
            for attempt in pending.attempts:
                if (request, attempt.number) in self.flying:
                    self.actions.append(CancelAttempt(request, attempt.number))

    def _list(self, now: float, event: EndpointUpdate) -> None:
        if self.settings.must_subscribe and event.kind in (
            EndpointUpdateKind.CACHED,
            EndpointUpdateKind.FAILED,
        ):
            self.actions.append(WatchEndpoints())
        if event.kind is EndpointUpdateKind.FAILED:
            return
        if event.kind is not EndpointUpdateKind.INCREMENTAL:
            named = {entry.worker_id for entry in event.endpoints}
            for number, worker in self.workers.items():
                worker.listed = worker.listed and number in named
                worker.ready = worker.ready and worker.listed
        for entry in event.endpoints:
            worker = self.workers.setdefault(entry.worker_id, Worker(entry))
            # One that was gone and returns holds nothing of what it held, whatever its start is told to be.
            started = not worker.listed or entry.started_s > worker.entry.started_s
            worker.entry = entry
            if started:
                self._started(now, worker)
            worker.ready = entry.state is WorkerState.READY
            worker.listed = entry.state is not WorkerState.REMOVED
        for number in [n for n, worker in self.workers.items() if not worker.listed]:
            self._forget(number)
        ready = [worker for worker in self.workers.values() if worker.ready]
        self.ready = len(ready)
        self.size = sum(worker.entry.capacity for worker in ready)
        able = sum(worker.entry.capacity * self._warmth(now, worker) for worker in ready)
        self.served_by = max(able, self._served_by(now)), now

    def _served_by(self, now: float) -> float:
        """Size of the fleet that recent own requests rest on: workers that go take none of them back.

        Guards against giving a young worker the part of all that have gone; hurts where those were slow."""
        size, since_s = self.served_by
        return size * math.exp((since_s - now) / RATE_SPAN_S)

    def _warmth(self, now: float, worker: Worker) -> float:
        """The part of its capacity that a worker of its age has at least."""
        if now >= worker.warm_s:
            return 1.0
        share, age = self.settings.rules.slow_start_min_fraction, max(0.0, now - worker.entry.started_s)
        return share + (1 - share) * age / self.settings.rules.slow_start_s

    def _started(self, now: float, worker: Worker) -> None:
        """Its copies are void. Slow start: the first sends of all front ends must not fall on one moment."""
        rules = self.settings.rules
        if rules.slow_start_s and worker.entry.started_s > 0:
            worker.warm_s = worker.entry.started_s + rules.slow_start_s
            worker.credit = self.random.random()
            worker.credit_s = now
        self._void(worker)

    def _void(self, worker: Worker) -> None:
        for (number, _), holding in self.holdings.items():
            if number == worker.entry.worker_id:
                worker.placed_mb -= holding.copies * holding.memory_mb
                holding.copies = 0
        for function in self.functions.values():
            function.stack = [entry for entry in function.stack if entry[0] is not worker]

    def _forget(self, number: int) -> None:
        """A worker that is gone leaves no trace once nothing is out there: fleets change for ever."""
        worker = self.workers[number]
        self._void(worker)
        if not worker.in_flight and not worker.loading:
            for key in [key for key in self.holdings if key[0] == number]:
                del self.holdings[key]
            del self.workers[number]

    def _sweep(self, now: float) -> None:
        """Functions that nothing is known of any more are forgotten: clients name new ones for ever."""
        self.sweep_s = now + self.keep_s
        for number in [n for n, worker in self.workers.items() if not worker.listed]:
            self._forget(number)
        for number, function in list(self.functions.items()):
            function.stack = [entry for entry in function.stack if now - entry[1] <= self.keep_s]
            function.avoid = {worker: end for worker, end in function.avoid.items() if end > now}
            idle = not (function.stack or function.waiting or function.busy or function.loads)
            if idle and not function.avoid and self._recent(now, ("function", number)) < FORGET_UNDER:
                del self.functions[number]
                self.counts.pop(("function", number), None)

    def _request(self, now: float, ask: Request) -> None:
        if not 0 <= ask.class_index < len(self.settings.classes):
            raise ValueError(f"class_index {ask.class_index} names no class")
        if now >= self.sweep_s:
            self._sweep(now)
        if self.settings.rules.load_command_window_s:
            self.request_times.append(now)
        for key in (ALL, ("function", ask.function_id), ("tenant", ask.tenant)):
            self.counts[key] = self._recent(now, key) + 1, now
        cls = self.settings.classes[ask.class_index]
        # Refused by then if nothing was sent: a client that is told early may yet be served elsewhere.
        until_s = min(ask.deadline_s - HOLD_END_S, now + HOLD_PART * (ask.deadline_s - now))
        pending = Pending(ask, cls, cls.priority_weight * self._in_share(now, ask.tenant), until_s)
        if ask.prior_attempt is not None:  # where the worker is unknown, so is its group: none fits
            place = self.workers.get(ask.prior_attempt.worker_id)
            place = place or Worker(
                WorkerEndpoint(ask.prior_attempt.worker_id, WorkerState.REMOVED, zone=-1, cell=-1)
            )
            pending.maybe = Attempt(ask, -1, place, ask.prior_attempt.sent_s, False, False)
        self.pending[ask.request_id] = pending
        self.repeats = min(REPEATS_SAVED, self.repeats + REPEATS)
        self.value += VALUE_STEP * (pending.value - self.value) if self.value else pending.value
        part = self.shed - SHED_FREE
        if self.met > MET_MOSTLY and self.random.random() * pending.value < part * self.value:
            self._give_up(pending)
        else:
            self._try(now, pending)

    def _judge_answer(self, now: float, attempt: Attempt, event: AttemptOutcome) -> None:
        """Learn whether copies are shared by all front ends, and how much to refuse at once.

        Shared: many answers met a copy where the own account had none. Refusing guards against queues that
        many front ends fill, each with little at any one worker; hurts where a few workers alone are slow.
        The spread grows only where a copy was crowded, if the site tells that and the use of cores: with
        hundreds of front ends nearly all sends find a copy, and a spread that grows on that alone ends where
        loads crowd it. Where no use is told nothing but the spread evens load, and it grows on each."""
        warm = event.cache_status is CacheStatus.WARM
        if event.result is Result.OK:
            self.met += ((attempt.strange and warm) - self.met) / MET_SPAN
        if event.result is Result.OK and attempt.strange:
            crowded = (
                not self.busy
                or event.concurrency is None
                or event.concurrency >= max(1.0, attempt.ask.concurrency)
            )
            found = SPREAD_GROW if crowded else SPREAD_EASE
            self.spread = min(SPREAD_MOST, max(1.0, self.spread * (found if warm else SPREAD_SHRINK)))
        aim_s = self.settings.classes[attempt.ask.class_index].latency_objective_s
        # One that answers others and lets this one's time run out is late; one that is silent may be cut off.
        lost = event.result is Result.TIMEOUT and attempt.worker.heard_s > attempt.sent_s
        if event.result is Result.AT_CAPACITY or lost or (warm and event.elapsed_s > aim_s):
            self.shed = min(SHED_MOST, self.shed + SHED_MORE * self._swift(now))
        elif warm:
            self.shed = max(0.0, self.shed - SHED_LESS * self._swift(now))

    def _swift(self, now: float) -> float:
        """How much more an answer says where there are few: what all of them say together must come in time.

        Guards against front ends that see some answers a second each and go on refusing for long after an
        overload, or begin long after; hurts where few answers are late by chance."""
        counted, since_s = self.judged
        counted = 1 + counted * math.exp((since_s - now) / SHED_SPAN_S)
        self.judged = counted, now
        return min(SHED_SWIFT, max(1.0, SHED_RATE * SHED_SPAN_S / counted))

    def _in_share(self, now: float, tenant: int) -> float:
        """What a tenant's request is worth: less by the part of its traffic over its share.

        Over it where its rate and its part of the own traffic say so: front ends carry unequal traffic."""
        tenants = self.settings.tenants
        if tenant >= len(tenants):
            return 1.0
        quota = tenants[tenant].quota_rps
        total = sum(other.quota_rps for other in tenants) or 1.0
        fair = max(quota / self.settings.gateway_count * RATE_SPAN_S, quota / total * self._recent(now, ALL))
        share = min(1.0, fair / max(1.0, self._recent(now, ("tenant", tenant))))
        return share + (1 - share) * self.settings.over_quota_weight

    def _recent(self, now: float, key: tuple[str, int]) -> float:
        counted, since_s = self.counts.get(key, (0.0, now))
        return counted * math.exp((since_s - now) / RATE_SPAN_S)

    def _try(self, now: float, pending: Pending, patient: bool = True) -> None:
        """Send once more if the rules and the attempts left allow it, or hold; else the final answer."""
        ask = pending.ask
        function = self.functions.setdefault(ask.function_id, Function())
        spent = now >= ask.deadline_s or 0 < self.settings.permissions.max_attempts <= len(pending.attempts)
        if spent or not self._may_send(now, pending) or (pending.attempts and self.repeats < 1):
            self._give_up(pending)
            return
        self._expire(now)
        part = PART_LEAST + (1 - PART_LEAST) * pending.value / self.value if self.value > 0 else 1.0
        warm = self._pop(now, function, pending, min(1.0, part))
        if warm is not None:
            worker, freed_s = warm
            self._send(now, pending, worker, function, ask.function_id not in worker.loading, freed_s)
            return
        # Only now all workers are looked at: most requests find an entry, and fleets may be large.
        eligible = [worker for worker in self.workers.values() if self._fits(now, pending, worker)]
        loads = sum(not attempt.warm for attempt in pending.attempts)
        if not eligible or loads >= LOAD_TRIES:
            self._give_up(pending)
        elif self._may_load(now, ask, function, patient):
            worker = self._place(now, ask, function, eligible)
            if self._may_order(now):
                self._order(now, ask, worker, function)
                self._hold(now, pending, function)
            else:
                self._send(now, pending, worker, function, False, 0.0)
        elif now < self._held_until(pending):
            self._hold(now, pending, function)
        else:
            self._give_up(pending)

    def _may_load(self, now: float, ask: Request, function: Function, patient: bool) -> bool:
        """Bound own loads under way, and wait for a busy lane before loading another copy.

        Guards against loads that crowd the store and the waiting rooms: releases, a slow store, one-off
        functions, bursts. Hurts where loads are cheap; does not act where copies are shared."""
        if self.met > MET_MOSTLY:
            return True
        in_time = ask.deadline_s - now > IN_TIME * self.load_norm_s
        if self.loads_out >= self._most_loads() or not in_time:
            return False
        full = sum(worker.ready and not worker.ejected for worker, _ in function.stack)  # at their limit
        lanes = full + function.busy + function.loads * max(1.0, ask.concurrency)
        return len(function.waiting) >= WAIT_PER_LANE * lanes or (not patient and not function.loads)

    def _most_loads(self) -> float:
        return max(LOADS_LEAST, self.load_part * self.ready)

    def _judge_load(self, now: float, result: Result, took_s: float) -> None:
        """More own loads while they take the usual time, fewer when slow or full; guards a crowded store."""
        if result is Result.OK and took_s > 0:
            step = 0.2 if took_s < self.load_norm_s else 0.01
            self.load_norm_s += step * (took_s - self.load_norm_s) if self.load_norm_s else took_s
        elif result not in (Result.AT_CAPACITY, Result.TIMEOUT):
            return
        if result is Result.OK and took_s < SLOW_LOAD * self.load_norm_s:
            if self.loads_out + 2 > self._most_loads():
                self.load_part += LOADS_GROW / max(1, self.ready)
        elif now > self.load_judged_s + JUDGE_S:
            self.load_judged_s = now
            self.load_part = max(LOADS_FLOOR / self.settings.gateway_count, LOADS_SHRINK * self.load_part)

    def _hold(self, now: float, pending: Pending, function: Function) -> None:
        function.waiting.append(pending)
        self.held[pending.ask.function_id] = function
        wait_s = self._held_until(pending) - now
        if not pending.woken:
            wait_s = min(wait_s, PATIENCE * pending.cls.latency_objective_s)
        pending.woken = True
        self.actions.append(SetTimer(max(0.0, wait_s), pending.ask.request_id))

    def _held_until(self, pending: Pending) -> float:
        return pending.ask.deadline_s - HOLD_END_S if pending.attempts else pending.held_until_s

    def _woken(self, now: float, ref: int) -> None:
        pending = self.pending.get(ref)
        function = pending and self.functions.get(pending.ask.function_id)
        if pending and function and pending in function.waiting:
            function.waiting.remove(pending)
            if not function.waiting:
                self.held.pop(pending.ask.function_id, None)
            self._try(now, pending, patient=False)

    def _serve_waiting(self, now: float) -> None:
        """The newest waiting request takes a freed lane; load slots go where most worth waits."""
        warm = [f for f in self.held.values() if f.waiting and f.stack]
        for held in sorted(warm, key=lambda f: -f.waiting[-1].value):
            while held.waiting and held.stack:
                left = len(held.stack)
                self._next_waiting(now, held)
                if len(held.stack) >= left:
                    break
        for _ in range(len(self.held)):
            ready = [f for f in self.held.values() if f.waiting and not f.loads]
            if not ready or self.loads_out >= self._most_loads():
                break
            out = self.loads_out
            self._next_waiting(now, max(ready, key=lambda f: sum(p.value for p in f.waiting)), False)
            if self.loads_out <= out:
                break

    def _next_waiting(self, now: float, function: Function, patient: bool = True) -> None:
        while function.waiting:
            pending = function.waiting.pop()
            if not function.waiting:
                self.held.pop(pending.ask.function_id, None)
            if self.pending.get(pending.ask.request_id) is pending:
                self._try(now, pending, patient)
                return

    def _may_send(self, now: float, pending: Pending) -> bool:
        first = pending.maybe
        if first is None or pending.cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        if pending.cls.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return now < first.sent_s + pending.cls.deduplication_window_s - WINDOW_MARGIN_S

    def _give_up(self, pending: Pending) -> None:
        """The final answer: a refusal only where trying again is harmless."""
        cls = pending.cls
        everywhere = cls.idempotency is Idempotency.IDEMPOTENT or (
            cls.idempotency,
            cls.deduplication_scope,
        ) == (
            Idempotency.WITH_KEY,
            DeduplicationScope.ALL,
        )
        del self.pending[pending.ask.request_id]
        if (everywhere or pending.maybe is None) and not pending.out:
            advice = min(ADVICE_S, self.settings.permissions.max_retry_after_s)
            self.actions.append(Reject(pending.ask.request_id, advice))
        else:
            self.actions.append(Fail(pending.ask.request_id))

    def _send(
        self, now: float, pending: Pending, worker: Worker, function: Function, warm: bool, freed_s: float
    ) -> None:
        ask = pending.ask
        strange = not warm and (worker.entry.worker_id, ask.function_id) not in self.holdings
        attempt = Attempt(ask, len(pending.attempts), worker, now, warm, strange, freed_s)
        function.busy += warm
        worker.warm_out += warm
        function.loads += not warm
        self.loads_out += not warm
        if not warm:
            worker.loading[ask.function_id] = worker.loading.get(ask.function_id, 0) + 1
        self.repeats -= bool(pending.attempts)
        pending.attempts.append(attempt)
        pending.out += 1
        self.flying[ask.request_id, attempt.number] = attempt
        worker.in_flight += 1
        holding = self._holding(worker, ask)
        holding.in_flight += 1
        needed = math.ceil(holding.in_flight / max(1.0, ask.concurrency))
        self._place_copies(worker, holding, max(holding.copies, needed))
        worker.credit -= 1.0
        if worker.ejected:
            worker.trial_s = now + TRIAL_S
        self.actions.append(SendAttempt(ask.request_id, worker.entry.worker_id))

    # ---- the choice

    def _place(self, now: float, ask: Request, function: Function, eligible: list[Worker]) -> Worker:
        """The worker for a new load."""
        eligible = [w for w in eligible if function.avoid.get(w.entry.worker_id, 0.0) <= now] or eligible
        calm = self._calm([w for w in eligible if len(w.loading) < OWN_LOADS]) or eligible
        room = [worker for worker in calm if self._memory_mb(worker) - worker.placed_mb >= ask.memory_mb]
        if not room:
            return min(calm, key=lambda worker: (worker.in_flight, self._rank(worker, ask.function_id)))

        def distance(worker: Worker) -> float:
            return self._rank(worker, ask.function_id) / (self._room_share(worker) * self._rest(now, worker))

        first = heapq.nsmallest(self._spread(now, ask.function_id), room, key=distance)
        # The better of two, not the best of all: front ends that hear late would all go to the same one.
        first = self.random.sample(first, 2) if len(first) > 2 else first
        return min(
            first, key=lambda w: (w.in_flight, -round(REST_STEPS * self._rest(now, w)), self.random.random())
        )

    def _spread(self, now: float, function: int) -> int:
        """Over how many workers a function goes: those that its part of the own requests would fill,
        and two at least where the use of their cores tells them apart.

        Guards against all front ends sending a hot function to one favourite, none of them seeing it; hurts
        where front ends get different functions. A part, unlike a rate, is alike at small and large ones."""
        if self.met <= MET_MOSTLY:
            return 1
        part = self._recent(now, ("function", function)) / (self._recent(now, ALL) + PART_PRIOR)
        return max(2 if self.busy else 1, round(self.spread * part * self.ready))

    def _room_share(self, worker: Worker) -> float:
        """The part of its memory that is free by the own account; where copies are shared, meeting counts."""
        if self.met > MET_MOSTLY:
            return 1.0
        return math.pow(max(1e-3, 1 - worker.placed_mb / self._memory_mb(worker)), ROOM_WEIGHT)

    def _hear(self, now: float, worker: Worker, busy: float) -> None:
        worker.busy += (BUSY_STEP if worker.busy_s > now - BUSY_SPAN_S else 1.0) * (busy - worker.busy)
        worker.busy_s = now
        self.busy += NORM_STEP * (busy - self.busy)

    def _rest(self, now: float, worker: Worker) -> float:
        """The part of its cores that is free by what its answers told, as a multiple of the fleet's.

        Guards against workers that stay busier than others though no front end sees it: ranks, sizes and
        chance load them unevenly for as long as the functions live. Old words decay to the fleet's mean, so
        that a worker nobody sends to comes back. Hurts where the use of cores is told wrongly."""
        if worker.busy_s == -math.inf:
            return 1.0
        apart = (worker.busy - self.busy) * math.exp((worker.busy_s - now) / BUSY_SPAN_S)
        return max(REST_LEAST, 1 - self.busy - apart) / max(REST_LEAST, 1 - self.busy)

    def _memory_mb(self, worker: Worker) -> float:
        return max(
            1.0, dict(enumerate(self.settings.memory_mb_by_worker_kind)).get(worker.entry.kind, math.inf)
        )

    def _calm(self, workers: list[Worker]) -> list[Worker]:
        """Those with own requests in flight not far over the fleet's for their size.

        Guards against a favourite that many functions share; hurts while own counts are few, at a start."""
        own = BOUND * (1 + len(self.flying)) / (self.size or 1.0)
        return [
            worker for worker in workers if worker.in_flight < max(BOUND_LEAST, own * worker.entry.capacity)
        ]

    def _rank(self, worker: Worker, function: int) -> float:
        """Rendezvous: every front end prefers the same workers for a function, so that they meet on copies.

        Guards against front ends each filling cold slots, also after a restart; hurts where hot functions
        share a favourite: `_calm` and `_spread` then pass over it."""
        mixed = (function * 0x9E3779B97F4A7C15 ^ worker.entry.worker_id * 0xC2B2AE3D27D4EB4F) & MASK
        mixed = ((mixed ^ mixed >> 31) * 0xBF58476D1CE4E5B9) & MASK
        mixed = ((mixed ^ mixed >> 27) * 0x94D049BB133111EB) & MASK
        return -math.log(((mixed ^ mixed >> 31) + 1) / (MASK + 2)) / max(worker.entry.capacity, 1e-6)

    def _group_fits(self, pending: Pending, worker: Worker) -> bool:
        """A keyed request that may have run stays in the group that drops its repeats."""
        first = pending.maybe
        if (
            first is None
            or pending.cls.idempotency is not Idempotency.WITH_KEY
            or pending.cls.deduplication_scope is DeduplicationScope.ALL
        ):
            return True
        if pending.cls.deduplication_scope is DeduplicationScope.ZONE:
            return worker.entry.zone == first.worker.entry.zone
        return worker.entry.cell == first.worker.entry.cell

    def _fits(self, now: float, pending: Pending, worker: Worker) -> bool:
        """Whether it may get this request: listed, not tried, not ejected, and warm enough."""
        number = worker.entry.worker_id
        return (
            worker.ready
            and (not worker.ejected or now >= worker.trial_s)
            and all(attempt.worker.entry.worker_id != number for attempt in pending.attempts)
            and self._group_fits(pending, worker)
            and self._cold_fits(now, worker)
        )

    def _pop(
        self, now: float, function: Function, pending: Pending, part: float
    ) -> tuple[Worker, float] | None:
        """The freshest entry at a worker that fits and is under this part of its limit; expired ones go.

        Else one where this request's own attempt broke with its connection."""
        stack = function.stack
        del stack[:-STACK_MOST]
        again: int | None = None
        for place in range(len(stack) - 1, -1, -1):
            worker, freed_s = stack[place]
            if now - freed_s > self.keep_s:
                del stack[: place + 1]
                again = None if again is None else again - place - 1
                break
            if worker.warm_out < worker.limit * part and self._fits(now, pending, worker):
                return stack.pop(place)
            broke = any(attempt.broken and attempt.worker is worker for attempt in pending.attempts)
            if again is None and broke and worker.ready and not worker.ejected:
                again = place if self._cold_fits(now, worker) else None
        return None if again is None else stack.pop(again)

    def _holding(self, worker: Worker, ask: Request) -> Holding:
        key = worker.entry.worker_id, ask.function_id
        holding = self.holdings.get(key)
        if holding is None:
            holding = self.holdings[key] = Holding(ask.memory_mb)
        return holding

    def _place_copies(self, worker: Worker, holding: Holding, copies: int) -> None:
        worker.placed_mb += (copies - holding.copies) * holding.memory_mb
        holding.copies = copies

    def _expire(self, now: float) -> None:
        """Placed memory returns when nothing used it for the keep-alive."""
        while self.expiries and self.expiries[0][0] < now:
            _, _, number, function = heapq.heappop(self.expiries)
            holding = self.holdings.get((number, function))
            if holding and not holding.in_flight and holding.used_s + self.keep_s < now:
                if number in self.workers:
                    self.workers[number].placed_mb -= holding.copies * holding.memory_mb
                del self.holdings[number, function]

    def _may_order(self, now: float) -> bool:
        """Orders only where a miss loads nothing; elsewhere a request that waits loads as well and is
        held back by the worker's own queue. The rule on loads bounds them."""
        rules = self.settings.rules
        if not self.settings.permissions.load_commands or self.settings.miss_mode is not MissMode.REJECT:
            return False
        if not rules.load_command_window_s:
            return True
        for times in (self.order_times, self.request_times):
            while times and times[0] <= now - rules.load_command_window_s - ORDER_MARGIN_S:
                times.popleft()
        taken = sum(then > now - rules.load_command_window_s + ORDER_MARGIN_S for then in self.request_times)
        return len(self.order_times) + 1 <= rules.load_command_burst + rules.load_commands_per_request * taken

    def _order(self, now: float, ask: Request, worker: Worker, function: Function) -> None:
        holding = self._holding(worker, ask)
        holding.used_s = now
        if holding.in_flight >= holding.copies * ask.concurrency:
            self._place_copies(worker, holding, holding.copies + 1)
        copies = max(1, min(16, holding.copies))
        self.orders.setdefault((worker.entry.worker_id, ask.function_id), []).append(ask)
        if self.settings.rules.load_command_window_s:
            self.order_times.append(now)
        worker.loading[ask.function_id] = worker.loading.get(ask.function_id, 0) + 1
        function.loads += 1
        self.loads_out += 1
        self.actions.append(LoadFunction(worker.entry.worker_id, ask.function_id, copies))

    def _loaded(self, now: float, event: LoadCommandResult) -> None:
        asks = self.orders.get((event.worker_id, event.function_id))
        if not asks:
            return
        ask = asks.pop()
        if not asks:
            del self.orders[event.worker_id, event.function_id]
        worker = self.workers[event.worker_id]
        function = self.functions[event.function_id]
        self._load_ended(worker, function, event.function_id)
        self._judge_load(now, event.result, event.elapsed_s if event.elapsed_s > LOAD_AT_ONCE_S else 0.0)
        holding = self._holding(worker, ask)
        if event.result is Result.OK:
            holding.used_s = now
            free = max(1, int(ask.concurrency) * max(1, event.instances) - holding.in_flight)
            owned = sum(entry[0] is worker for entry in function.stack)
            function.stack.extend([(worker, now)] * max(1, min(int(ask.concurrency), free - owned)))
        else:
            function.avoid[event.worker_id] = now + AVOID_S
            self._place_copies(worker, holding, event.instances)
        due = now + self.keep_s, next(self.ticket), event.worker_id, event.function_id
        heapq.heappush(self.expiries, due)
        self._serve_waiting(now)

    def _load_ended(self, worker: Worker, function: Function, number: int) -> None:
        function.loads -= 1
        self.loads_out -= 1
        worker.loading[number] -= 1
        if worker.loading[number] <= 0:
            del worker.loading[number]

    def _move_limit(self, now: float, attempt: Attempt, event: AttemptOutcome) -> None:
        """Fewer warm sends at once to a worker whose answers are late or full, more while they are not.

        Guards against queues at the workers, whatever fills them; requests over the limit wait here,
        where the newest and worthiest goes first. It could hurt where only a function is slow."""
        worker = attempt.worker
        aim_s = self.settings.classes[attempt.ask.class_index].latency_objective_s
        late = event.result is Result.AT_CAPACITY or event.elapsed_s > LATE_PART * aim_s
        if not late:
            if worker.warm_out + 1 > LIMIT_USED * worker.limit:
                worker.limit += LIMIT_GROW
        elif event.result in LIMITING and now > worker.limited_s + JUDGE_S:
            worker.limited_s = now
            worker.limit = max(LIMIT_LEAST, LIMIT_SHRINK * min(worker.limit, worker.warm_out + 1))

    def _rate_worker(self, now: float, attempt: Attempt, event: AttemptOutcome) -> None:
        """Take out workers that are slow, fail or are not reached, by the fleet's own norm; trials go on.

        Guards against slow, half-dead, unreachable and fast-failing workers whatever the cause. It could
        hurt where a class's work differs much between workers; at most a part of the fleet is out."""
        worker = attempt.worker
        step = TRIAL_STEP if worker.ejected else EJECT_STEP
        if event.result is not Result.CANCELLED:
            reached = event.result not in (Result.CONNECT_FAILED, Result.RESET)
            worker.misses = 0 if reached else worker.misses + 1
        failed = event.result is Result.ERROR and event.cache_status is not CacheStatus.LOAD_FAILED
        if failed or event.result is Result.OK:
            worker.errors += step * (failed - worker.errors)
        plain = event.cache_status in (CacheStatus.WARM, CacheStatus.UNKNOWN) and attempt.warm
        if plain and event.result in (Result.OK, Result.TIMEOUT, Result.CANCELLED):
            norm = self.norms.get(attempt.ask.class_index) or event.elapsed_s or 1e-3
            ratio = min(10.0, event.elapsed_s / norm)
            if event.result is Result.OK or ratio > worker.slow:
                worker.slow += step * (ratio - worker.slow)
                worker.answers = min(EJECT_LEAST, worker.answers + 1)
            if event.result is Result.OK:
                norm += NORM_STEP * (min(event.elapsed_s, 5 * norm) - norm)
                self.norms[attempt.ask.class_index] = norm
        if now >= self.eject_s:
            self.eject_s = now + EJECT_EVERY_S
            self._eject(now)

    def _eject(self, now: float) -> None:
        ready = [worker for worker in self.workers.values() if worker.ready]
        if not ready:
            return
        usual = sorted(worker.slow for worker in ready)[(len(ready) - 1) // 2]
        errors = sorted(worker.errors for worker in ready)[(len(ready) - 1) // 2]
        worst = []
        for worker in ready:
            part = EJECT_BACK if worker.ejected else 1.0
            slow = worker.slow / (part * EJECT_SLOW * usual) if worker.answers >= EJECT_LEAST else 0.0
            fails = worker.errors / (part * (EJECT_ERRORS + 2 * errors))
            score = max(slow, fails, worker.misses / EJECT_MISSES)
            if score >= 1:
                worst.append((-score, worker.entry.worker_id, worker))
        out = [worker for _, _, worker in sorted(worst)[: int(EJECT_MOST * len(ready))]]
        for worker in ready:
            if worker in out and not worker.ejected:
                worker.trial_s = now + TRIAL_S
            worker.ejected = worker in out

    def _cold_pace(self, now: float, worker: Worker) -> float:
        """Sends a second that this front end may give a young worker.

        The own rate for each unit of size is at most this front end's part of what such a worker carries;
        it can do the cold share of that at first, all after `cold_s`, more where told use of cores shows it.
        Front ends that send when they please sum up by chance: the fewer sends the rule's span holds, the
        more of it stays free. It could hurt by using a young worker less than it can bear."""
        rules = self.settings.rules
        rate = self._recent(now, ALL) / RATE_SPAN_S
        size = max(self.size, self._served_by(now))
        part = self._warmth(now, worker) * rate * worker.entry.capacity / size if size > 0 else 0.0
        more = COLD_PART if not self.busy else min(COLD_MOST, max(COLD_PART, COLD_USE / self.busy))
        pace = more * part * min(1.0, rules.overload_multiple or 1.0)
        span = rules.overload_window_s * self.settings.gateway_count
        if part * span <= 0:
            return pace
        spare = COLD_SPARE / 2 * math.sqrt(max(0.0, 1 - pace * rules.overload_window_s))
        mean = (math.sqrt(spare**2 + rules.overload_multiple * part * span) - spare) ** 2
        return min(pace, mean / span)

    def _cold_fits(self, now: float, worker: Worker) -> bool:
        if now >= worker.warm_s:
            return True
        # It is looked at now and then: the pace half way since the last look stands for all the time between.
        pace = self._cold_pace((now + worker.credit_s) / 2, worker)
        worker.credit = min(1.0, worker.credit + pace * (now - worker.credit_s))
        worker.credit_s = now
        return worker.credit >= 1.0

    def _outcome(self, now: float, event: AttemptOutcome) -> None:
        attempt = self.flying.pop((event.request_id, event.attempt), None)
        if attempt is None:
            return
        self._learn(now, attempt, event)
        pending = self.pending.get(event.request_id)
        if pending is not None:
            pending.out -= 1
            if event.result not in NEVER_RAN and pending.maybe is None:
                pending.maybe = attempt
            if event.is_final:
                del self.pending[event.request_id]
            elif not pending.out:
                self._try(now, pending)
        self._serve_waiting(now)

    def _learn(self, now: float, attempt: Attempt, event: AttemptOutcome) -> None:
        worker, ask = attempt.worker, attempt.ask
        worker.in_flight -= 1
        worker.warm_out -= attempt.warm
        if attempt.warm and event.cache_status in (CacheStatus.WARM, CacheStatus.UNKNOWN):
            self._move_limit(now, attempt, event)
        if event.result in (Result.OK, Result.AT_CAPACITY, Result.ERROR):
            worker.heard_s = now
        if event.load_report is not None and event.load_report.cpu_utilization is not None:
            self._hear(now, worker, min(1.0, event.load_report.cpu_utilization))
        self._judge_answer(now, attempt, event)
        self._rate_worker(now, attempt, event)
        holding = self._holding(worker, ask)
        holding.in_flight -= 1
        function = self.functions[ask.function_id]
        function.busy -= attempt.warm
        stack = function.stack
        if not attempt.warm:
            self._load_ended(worker, function, ask.function_id)
            load_s = event.elapsed_s if event.cache_status is CacheStatus.STARTED_LOAD else 0.0
            self._judge_load(now, event.result, load_s)
        loaded = event.cache_status in (CacheStatus.STARTED_LOAD, CacheStatus.JOINED_LOAD)
        # A connection that ends tells nothing of the copy: its entry returns. Guards against resets that
        # make standing copies unknown, whose calls then wait for loads; a dead worker is ejected meanwhile.
        attempt.broken = event.result in (Result.RESET, Result.CONNECT_FAILED)
        cancelled = event.result is Result.CANCELLED  # nor does a client that leaves
        if (attempt.broken or cancelled) and attempt.warm:
            insort(stack, (worker, now if cancelled else attempt.freed_s), key=lambda entry: entry[1])
        elif event.result is not Result.OK or loaded:
            stack[:] = [entry for entry in stack if entry[0] is not worker or entry[1] > attempt.sent_s]
        if event.result is Result.OK:
            holding.used_s = now
            lanes = int(ask.concurrency) - holding.in_flight if loaded else 1  # a load frees all its lanes
            # Guards against going back to a loaded or slow worker; hurts functions that are slow anyway.
            late = (
                self.met > MET_MOSTLY
                and event.elapsed_s > self.settings.classes[ask.class_index].latency_objective_s
            )
            stack.extend([(worker, now)] * (0 if late and not loaded else max(1, lanes)))
        due = now + self.keep_s, next(self.ticket), worker.entry.worker_id, ask.function_id
        heapq.heappush(self.expiries, due)
