"""The engine: turns what happens into events, gives them to one `Router`, carries out its actions.

One decision thread owns the Router, the timers and the open calls. Everything reaches it through one
queue, so events have one order on one clock that never goes back. It never waits for I/O.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

from saffronstack.engine.calls import (
    AttemptEnd,
    Call,
    Dispatcher,
    Ending,
    Final,
    FunctionSpec,
    OrderEnd,
    Prior,
    WorkerSeen,
)
from saffronstack.engine.timers import Timers
from saffronstack.engine.worker_registry import Roster, WorkerSpec
from saffronstack.routing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    LoadFunction,
    Reject,
    SendAttempt,
    SetTimer,
    UnloadFunction,
    WriteLog,
)
from saffronstack.routing.events import (
    ClientDisconnected,
    Event,
    HealthCheckResult,
    LoadCommandResult,
    PriorAttempt,
    Request,
    Result,
    TimerFired,
)
from saffronstack.routing.router import Router
from saffronstack.routing.settings import Idempotency, Settings
from saffronstack.runtime.logs import Log, PlainLog
from saffronstack.runtime.threads import spawn

NEVER_RAN = (Result.AT_CAPACITY, Result.CONNECT_FAILED, Result.NOT_STARTED, Result.NOT_LOADED)
LIST_PART = 200  # workers of a change that are decided on at once
MAX_FUNCTIONS = 4096  # functions that orders can name; those called last
IDLE_S = 1.0  # the decision thread looks up at least this often


class Recorder(Protocol):
    """Hears every event and what was decided on it, in their order, on the decision thread."""

    def record(self, now: float, event: Event, actions: list[Action]) -> None:
        """One decision."""
        ...


@dataclass(eq=False, slots=True)
class _Open:
    """A call between its arrival and its final answer, or its last attempt's end."""

    call: Call
    sent: dict[int, tuple[int, float]] = field(default_factory=dict)  # attempts out: worker, when
    made: int = 0
    prior: Prior | None = None  # the first attempt that may have run
    left: bool = False  # the module knows that the client has gone

    def may_have_run(self) -> Prior | None:
        """The first attempt that may have run; one that is still out counts."""
        if self.prior is None and self.sent:
            return Prior(*self.sent[min(self.sent)])
        return self.prior


@dataclass(frozen=True, slots=True)
class _WholeList:
    specs: tuple[WorkerSpec, ...]
    wall_s: float


@dataclass(frozen=True, slots=True)
class _ListChange:
    specs: tuple[WorkerSpec, ...]
    gone: tuple[int, ...]
    wall_s: float


@dataclass(frozen=True, slots=True)
class _Inspection:
    look: Callable[[float, Router], None]


@dataclass(slots=True)
class Counts:
    """What the engine counted since it started; read by anyone, written by the decision thread."""

    calls: int = 0
    sends: int = 0
    repeats: int = 0
    orders: int = 0
    events: int = 0
    backstops: int = 0
    faults: int = 0
    endings: dict[str, int] = field(default_factory=lambda: {ending.value: 0 for ending in Ending})
    results: dict[str, int] = field(default_factory=lambda: {result.value: 0 for result in Result})


class Engine:
    """Start it, submit calls, tell it what the workers' threads saw, stop it."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], float],
        recorder: Recorder | None = None,
        backstop_s: float = 0.05,
        max_open_calls: int = 20000,
        log: Log | None = None,
    ) -> None:
        """``clock`` is monotonic, in seconds. ``backstop_s``: how long past a call's deadline the engine
        answers by itself, should the module have given no answer."""
        self.settings = settings
        self.counts = Counts()
        self.backstop_s = backstop_s
        self.max_open_calls = max_open_calls
        self._log: Log = log or PlainLog("engine")
        self._router = Router(settings, seed)
        self._clock = clock
        self._recorder = recorder
        self._dispatcher: Dispatcher | None = None
        self._queue: queue.SimpleQueue[object] = queue.SimpleQueue()
        self._timers: Timers[TimerFired | int] = Timers()  # numbers of calls: they hold no payload
        self._open: dict[int, _Open] = {}
        self._functions: dict[int, FunctionSpec] = {}
        self._roster = Roster()
        self._numbers = count(1)
        self._now = clock()
        self._submitting = threading.Lock()  # no call is queued once `stop` has been called
        self._stopping = False
        self._stopped = threading.Event()

    # ---- from any thread

    def start(self, dispatcher: Dispatcher) -> None:
        """Start the decision thread; ``dispatcher`` carries out what it decides."""
        self._dispatcher = dispatcher
        spawn("decisions", self._run)

    def stop(self, timeout_s: float = 5.0) -> bool:
        """End the decision thread after what is queued; whether it ended in time.

        From here on no call is taken, and once the thread has ended each that was has its final answer."""
        with self._submitting:
            self._stopping = True
            self._queue.put(None)
        return self._stopped.wait(timeout_s)

    def next_number(self) -> int:
        """A number for a new call, never given before by this engine."""
        return next(self._numbers)

    def submit(self, call: Call) -> bool:
        """Take a call: it gets exactly one final answer. False: too many are open or the engine stops, and
        nothing was taken."""
        with self._submitting:
            if len(self._open) >= self.max_open_calls or self._stopping:
                return False
            self._queue.put(call)
            return True

    def leave(self, call: Call) -> None:
        """The client of a call has left."""
        self.end(call, Final(Ending.GONE))

    def end(self, call: Call, final: Final) -> bool:
        """Answer a call in the module's place; whether this was its final answer."""
        if not call.settle(final):
            return False
        self._queue.put(ClientDisconnected(call.number))
        return True

    def tell(self, what: AttemptEnd | OrderEnd | WorkerSeen) -> None:
        """What a worker's thread saw."""
        self._queue.put(what)

    def inspect(self, look: Callable[[float, Router], None]) -> None:
        """Have ``look`` see the module between two events, on the decision thread; it must not wait or change
        anything."""
        self._queue.put(_Inspection(look))

    def update_workers(self, specs: Iterable[WorkerSpec], wall_s: float) -> None:
        """The whole list of workers, told at ``wall_s`` (Unix seconds)."""
        self._queue.put(_WholeList(tuple(specs), wall_s))

    def change_workers(self, specs: Iterable[WorkerSpec], gone: Iterable[int], wall_s: float) -> None:
        """Workers that are new or changed, those that drain first, and numbers of those that are gone, told
        at ``wall_s``. A long list goes in parts, so that calls are decided between them."""
        changed, left = tuple(specs), tuple(gone)
        self._queue.put(_ListChange(changed[:LIST_PART], left, wall_s))
        for at in range(LIST_PART, len(changed), LIST_PART):
            self._queue.put(_ListChange(changed[at : at + LIST_PART], (), wall_s))

    @property
    def open_calls(self) -> int:
        """Calls without a final answer or with an attempt out."""
        return len(self._open)

    @property
    def queued(self) -> int:
        """Events that wait for the decision thread."""
        return self._queue.qsize()

    # ---- the decision thread

    def _run(self) -> None:
        try:
            while True:
                due_s = self._timers.next_s(self._awaited)
                wait_s = IDLE_S if due_s is None else min(IDLE_S, due_s - self._clock())
                item: object = self
                try:  # noqa: SIM105 - the loop is the program's narrowest place, and a context costs more
                    item = self._queue.get(timeout=wait_s) if wait_s > 0 else self._queue.get_nowait()
                except queue.Empty:
                    pass  # only the timers
                if item is None:
                    if self._queue.empty():
                        return
                    self._queue.put(None)
                    continue
                self._now = max(self._now, self._clock())
                # Whatever goes wrong with one item, the thread goes on: every other call depends on it.
                if due_s is not None and due_s <= self._now:
                    try:
                        self._fire()
                    except Exception:
                        self._fault()
                if item is not self:
                    try:
                        self._take(item)
                    except Exception:
                        self._fault()
        finally:
            self._abandon()
            self._stopped.set()

    def _awaited(self, due: TimerFired | int) -> bool:
        """Whether a timer is still for something: nearly all calls end long before their backstop."""
        return not isinstance(due, int) or due in self._open

    def _fault(self) -> None:
        self.counts.faults += 1
        self._log.exception("step of the decision thread failed")

    def _fire(self) -> None:
        while (due := self._timers.due(self._now)) is not None:
            if isinstance(due, int):
                opened = self._open.get(due)
                if opened is not None:
                    self._backstop(opened)
            else:
                self._decide(due)

    def _take(self, item: object) -> None:
        if isinstance(item, Call):
            self._arrived(item)
        elif isinstance(item, AttemptEnd):
            self._ended(item)
        elif isinstance(item, ClientDisconnected):
            self._decide(item)
            opened = self._open.get(item.request_id)
            if opened is not None:
                opened.left = True
                self._count(opened.call)
                self._close(opened)
        elif isinstance(item, OrderEnd):
            if item.function is None:
                self._decide(HealthCheckResult(item.worker, item.result, item.elapsed_s, item.report))
            else:
                self._decide(
                    LoadCommandResult(item.worker, item.function, item.copies, item.result, item.elapsed_s)
                )
        elif isinstance(item, WorkerSeen):
            update = self._roster.worker_seen(self._now, item)
            if update is not None:
                self._log.info("worker started anew", worker=item.worker, incarnation=item.incarnation)
                self._decide(update)
        elif isinstance(item, _Inspection):
            item.look(self._now, self._router)
        elif isinstance(item, _ListChange):
            self._decide(self._roster.changed(self._now, item.wall_s, item.specs, item.gone))
        elif isinstance(item, _WholeList):
            self._decide(self._roster.told(self._now, item.wall_s, item.specs))

    def _arrived(self, call: Call) -> None:
        self.counts.calls += 1
        if call.settled:  # withdrawn before it was looked at: it costs no decision
            self._count(call)
            return
        spec = call.function
        self._functions.pop(spec.number, None)
        self._functions[spec.number] = spec
        if len(self._functions) > MAX_FUNCTIONS:  # the one that was called longest ago
            del self._functions[next(iter(self._functions))]
        self._open[call.number] = _Open(call, prior=call.prior)
        self._timers.set(call.deadline_s + self.backstop_s, call.number)
        self._decide(
            Request(
                call.number,
                spec.class_index,
                spec.number,
                call.deadline_s,
                call.tenant,
                spec.memory_mb,
                float(spec.lanes),
                spec.load_s,
                prior_attempt=None
                if call.prior is None
                else PriorAttempt(call.prior.worker, call.prior.sent_s),
            )
        )

    def _ended(self, end: AttemptEnd) -> None:
        outcome = end.outcome
        self.counts.results[outcome.result.value] += 1
        opened = self._open.get(outcome.request_id)
        if opened is not None:
            worker, sent_s = opened.sent.pop(outcome.attempt, (outcome.worker_id, self._now))
            if outcome.result not in NEVER_RAN and opened.prior is None:
                opened.prior = Prior(worker, sent_s)
            if end.answer is not None and end.call.final is not None and outcome.result is Result.OK:
                self.counts.endings[Ending.SERVED.value] += end.call.final.ending is Ending.SERVED
        self._decide(outcome)
        self._close(opened)

    def _decide(self, event: Event) -> None:
        self.counts.events += 1
        try:
            actions = self._router.handle(self._now, event)
        except Exception:
            # The calls it concerns are answered by their backstops; the others go on.
            self.counts.faults += 1
            self._log.exception("decision failed", kind=type(event).__name__)
            return
        if self._recorder is not None:
            self._recorder.record(self._now, event, actions)
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        dispatcher = self._dispatcher
        assert dispatcher is not None
        if isinstance(action, SendAttempt):
            opened = self._open[action.request_id]
            attempt = opened.made
            opened.made += 1
            opened.sent[attempt] = action.worker_id, self._now
            self.counts.sends += 1
            self.counts.repeats += attempt > 0
            dispatcher.send(opened.call, attempt, action.worker_id, action.timeout_s)
        elif isinstance(action, SetTimer):
            self._timers.set(self._now + action.delay_s, TimerFired(action.timer_id))
        elif isinstance(action, Reject):
            self._answer(action.request_id, Ending.REFUSED, action.retry_after_s)
        elif isinstance(action, Fail):
            self._answer(action.request_id, Ending.FAILED, 0.0)
        elif isinstance(action, LoadFunction):
            self.counts.orders += 1
            spec = self._functions.get(action.function_id)
            if spec is not None:
                dispatcher.load(action.worker_id, spec, action.instances)
            else:
                self.tell(OrderEnd(action.worker_id, Result.ERROR, 0.0, action.function_id))
        elif isinstance(action, UnloadFunction):
            self.counts.orders += 1
            spec = self._functions.get(action.function_id)
            if spec is not None:
                dispatcher.unload(action.worker_id, spec)
        elif isinstance(action, CheckHealth):
            dispatcher.probe(action.worker_id)
        elif isinstance(action, CancelAttempt):
            opened_ = self._open.get(action.request_id)
            if opened_ is not None:
                dispatcher.cancel(opened_.call, action.attempt)
        elif isinstance(action, WriteLog):
            self._log.info("module", text=action.text)
        # Watch and FetchList: this list is told without asking.

    def _answer(self, request: int, ending: Ending, stay_away_s: float) -> None:
        opened = self._open.get(request)
        if opened is None:
            return
        reason = "no worker could take it" if ending is Ending.REFUSED else "it may have run"
        call = opened.call
        if call.settle(
            Final(
                ending,
                stay_away_s=stay_away_s,
                reason=reason,
                prior=opened.may_have_run(),
                attempts=opened.made,
                out_until_s=call.deadline_s if opened.sent else 0.0,
            )
        ):
            self._count(call)
        self._close(opened)

    def _backstop(self, opened: _Open) -> None:
        """Past the deadline and unanswered: the engine's own answer, by the same rule as the module's."""
        call = opened.call
        if call.settled:
            return
        self.counts.backstops += 1
        self._log.warning("answered by the backstop", request_id=call.request_id)
        ran = opened.may_have_run() is not None
        safe = self.settings.classes[call.function.class_index].idempotency is Idempotency.IDEMPOTENT
        ending = Ending.FAILED if ran and not safe else Ending.REFUSED
        self._answer(call.number, ending, 0.0)
        self._decide(ClientDisconnected(call.number))

    def _count(self, call: Call) -> None:
        if call.final is not None:
            self.counts.endings[call.final.ending.value] += 1

    def _close(self, opened: _Open | None) -> None:
        """Forget a call that is over. One whose client left is over only once the module knows: until
        then the module may still send for it, and the worker's thread turns that away."""
        if opened is None or opened.sent or not opened.call.settled:
            return
        final = opened.call.final
        if opened.left or final is None or final.ending is not Ending.GONE:
            self._open.pop(opened.call.number, None)

    def _abandon(self) -> None:
        """The thread ends: what is still open gets an answer that promises nothing it can't keep."""
        for opened in list(self._open.values()):
            ran = opened.may_have_run()
            ending = Ending.FAILED if ran is not None else Ending.REFUSED
            opened.call.settle(Final(ending, reason="the gateway stops", prior=ran, attempts=opened.made))
        self._open.clear()
        while True:
            try:
                item = self._queue.get_nowait()
            except queue.Empty:
                return
            if isinstance(item, Call):
                item.settle(Final(Ending.REFUSED, reason="the gateway stops"))
