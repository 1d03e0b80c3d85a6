"""Deferred calls in service: taking them, trying them, finishing them, telling what became of them."""

from __future__ import annotations

import queue
import random
import threading
import uuid
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

import structlog

from saffronstack.config.build import Functions, Known
from saffronstack.config.schema import Config
from saffronstack.deferred import invocation, recovery
from saffronstack.deferred.ledger import Ledger
from saffronstack.deferred.records import Accepted, AnyRecord, Attempted, Dropped, Finished, Voided
from saffronstack.deferred.recovery import Condition, Finish, MayHaveRun, Policy, State, Try, Wait
from saffronstack.durable.journal import Ticket
from saffronstack.engine.calls import Call, FinalAnswer, FinalStatus
from saffronstack.engine.engine import Engine
from saffronstack.engine.timers import Timers
from saffronstack.metering.budgets import BudgetEnforcer
from saffronstack.routing.events import PriorAttempt
from saffronstack.routing.settings import Idempotency
from saffronstack.runtime.threads import start_thread

IDLE_S = 0.5
BUDGET_WAIT_S = 0.1  # at least this long between looks at a budget that is used up
COMMIT_BACK_S = 5.0  # after a write that failed; a disk that hangs says by its time when to come back
COMMIT_AGAIN_S = 0.5  # pause before a final record that could not be written is written again
log = structlog.get_logger("saffronstack.deferred")


class LedgerFullError(Exception):
    """No more calls are taken for now."""

    def __init__(self, text: str, retry_after_s: float) -> None:
        super().__init__(text)
        self.retry_after_s = retry_after_s


class CommitError(Exception):
    """The call could not be made durable, and was not taken. ``begun``: the disk has it under way and may
    keep it; where this process is killed before it could take it back, the call runs after all."""

    def __init__(self, text: str, retry_after_s: float = COMMIT_BACK_S, begun: bool = False) -> None:
        super().__init__(text)
        self.retry_after_s, self.begun = retry_after_s, begun


@dataclass(frozen=True, slots=True)
class Submission:
    """A call to take."""

    request_id: str
    function: str
    tenant: str
    payload: bytes
    context: str = ""
    key: str = ""
    operation: bytes = b""  # the digest of its name; the acceptance and the name are one commit
    packed: bytes = b""
    named_until: float = 0.0


@dataclass(frozen=True, slots=True)
class Lookup:
    """What became of a call; ``record`` is None while it is open."""

    tenant: str
    state: str
    attempts: int = 0
    record: bytes | None = None


@dataclass(eq=False, slots=True)
class _Live:
    """A call in the dispatcher's hands."""

    accepted: Accepted
    state: State
    attempts: int = 0
    noted: bool = False  # an attempt was noted in the ledger since the last void
    running: bool = False
    ended: tuple[Condition, bytes | None, str, str] | None = None  # condition, response, error, reason
    ticket: Ticket[AnyRecord] | None = None
    delivery: Accepted | None = None  # the destination's call, in the same commit as the final record


class _Guard:
    """Notes an attempt in the ledger before its first byte goes out."""

    def __init__(self, owner: DeferredCalls, live: _Live) -> None:
        self._owner = owner
        self._live = live

    def may_send(self, attempt: int, worker_id: int) -> bool:
        return self._owner.note_attempt(self._live, worker_id)


class DeferredCalls:
    """One dispatcher thread owns the calls under way; the ledger's writer owns the book."""

    def __init__(
        self,
        config: Config,
        ledger: Ledger,
        engine: Engine,
        functions: Functions,
        clock: Callable[[], float],
        wall: Callable[[], float],
        seed: int = 0,
        limits: BudgetEnforcer | None = None,
    ) -> None:
        """``limits`` are asked before each try: a call over its tenant's hard mark waits, which is no try.

        ``wall`` is read once: from then on Unix time follows the monotonic clock, whatever is set."""
        assert config.ledger is not None
        self._config = config
        self._limits = config.ledger
        self._ledger = ledger
        self._engine = engine
        self._functions = functions
        self._clock = clock
        self._offset = wall() - clock()
        self._random = random.Random(seed)
        self._budgets = limits
        self._tenants = {tenant.name: place for place, tenant in enumerate(config.tenants)}
        self._classes = {cls.name: cls for cls in config.classes}
        self._queue: queue.SimpleQueue[_Live | tuple[_Live, FinalAnswer] | None] = queue.SimpleQueue()
        self._due: Timers[_Live] = Timers()
        self._live: dict[str, _Live] = {}
        self._waiting: deque[_Live] = deque()  # due, behind the bound on calls under way
        self._running = 0
        self._stopping = False
        self._ended = threading.Event()
        self.taken = 0
        self.finished: dict[str, int] = {condition.value: 0 for condition in Condition}

    def now(self) -> float:
        """Unix seconds that never step."""
        return self._clock() + self._offset

    def start(self) -> None:
        """Take up what the ledger holds open, and start the dispatcher."""
        book = self._ledger.state
        for call in list(book.open.values()):
            first = call.attempts[0] if call.attempts else None
            ran = None if first is None else MayHaveRun(first.worker, first.at)
            live = _Live(
                call.accepted,
                State(call.accepted.at, ran),
                attempts=len(call.attempts),
                noted=first is not None,
            )
            self._live[call.accepted.id] = live
            self._due.add(0.0, live)
        if book.open:
            log.info("deferred calls taken up", open=len(book.open), in_doubt=self._ledger.found.in_doubt)
        start_thread("deferred", self._run)

    def stop(self, timeout_s: float) -> bool:
        """Start no more tries, let those under way end, keep the rest for the next start."""
        self._stopping = True
        self._queue.put(None)
        return self._ended.wait(timeout_s)

    @property
    def open_calls(self) -> int:
        """Calls without a durable final record."""
        return len(self._ledger.state.open)

    # ---- from the fronts' threads

    def accept(self, submission: Submission) -> None:
        """Take a call: it is durable when this returns. LedgerFullError or CommitError: it was not taken."""
        limits, book = self._limits, self._ledger.state
        if self._stopping:
            raise LedgerFullError("The gateway stops.", 1.0)
        if len(book.open) + self._ledger.queued >= limits.open_calls or book.open_bytes >= limits.open_bytes:
            raise LedgerFullError(f"{len(book.open)} deferred calls are open.", 2.0)
        if (stalled_s := self._ledger.stalled_s) > 0:
            # Nothing is begun: it would hang as what is before it does, and end as uncertain.
            text = f"the disk has not answered for {stalled_s:.1f} s"
            raise CommitError(text, self._ledger.come_back_s)
        accepted = Accepted(
            submission.request_id,
            submission.function,
            submission.tenant,
            submission.payload,
            submission.context,
            submission.key,
            self.now(),
            submission.operation,
            submission.packed,
            submission.named_until,
        )
        ticket = self._ledger.append(accepted)
        if not ticket.done.wait(limits.commit_timeout_s) and not ticket.revoke():
            self._ledger.append(Dropped(accepted.id))
            text = f"not written within {limits.commit_timeout_s:g} s"
            raise CommitError(text, self._ledger.come_back_s, begun=True)
        if not ticket.durable:
            raise CommitError(str(ticket.error.strerror) if ticket.error else "not written in time")
        self.taken += 1
        self._queue.put(_Live(accepted, State(accepted.at)))

    def lookup(self, request_id: str) -> Lookup | None:
        """What became of a call, None where its id is not known."""
        finished = self._ledger.state.finished.get(request_id)
        if finished is not None:
            return Lookup(finished.tenant, "final", record=finished.record)
        call = self._ledger.state.open.get(request_id)
        if call is None:
            return None
        live = self._live.get(request_id)
        running = live is not None and live.running
        return Lookup(call.accepted.tenant, "running" if running else "queued", live.attempts if live else 0)

    def note_attempt(self, live: _Live, worker: int) -> bool:
        """On a worker's thread: make an attempt durable before it is sent; False: it must not be sent."""
        if self._ledger.stalled_s > 0:
            return False
        ticket = self._ledger.append(Attempted(live.accepted.id, worker, self.now()))
        live.noted = True
        if not ticket.done.wait(self._limits.commit_timeout_s):
            ticket.revoke()
            return False
        return ticket.durable

    # ---- the dispatcher thread

    def _run(self) -> None:
        try:
            while not (self._stopping and not self._running and self._queue.empty()):
                due_s = self._due.next_due_s()
                wait_s = IDLE_S if due_s is None else min(IDLE_S, max(0.0, due_s - self.now()))
                if self._waiting and self._running < self._limits.in_flight:
                    wait_s = 0.0
                try:
                    item = self._queue.get(timeout=wait_s) if wait_s else self._queue.get_nowait()
                except queue.Empty:
                    pass
                else:
                    self._take(item)
                while not self._stopping and (live := self._due.pop_due(self.now())) is not None:
                    self._look(live)
                while self._waiting and self._running < self._limits.in_flight and not self._stopping:
                    self._begin(self._waiting.popleft())
        finally:
            self._ended.set()

    def _take(self, item: _Live | tuple[_Live, FinalAnswer] | None) -> None:
        if isinstance(item, _Live):
            self._live[item.accepted.id] = item
            self._waiting.append(item)
        elif item is not None:
            self._answered(*item)

    def _look(self, live: _Live) -> None:
        """A call whose time has come: a try, or the writing of its final record."""
        if live.ended is None:
            self._waiting.append(live)
        elif live.ticket is not None and live.ticket.durable:
            self._live.pop(live.accepted.id, None)
            self.finished[live.ended[0].value] += 1
            if live.delivery is not None:
                self._take(_Live(live.delivery, State(live.delivery.at)))
        elif live.ticket is not None and not live.ticket.done.is_set():
            self._due.add(self.now() + 0.02, live)
        else:
            self._write_final(live)

    def _known(self, live: _Live) -> tuple[Known | None, Policy | None]:
        known = self._functions.get(live.accepted.function)
        if known is None:
            return None, None
        cls = self._classes[known.config.call_class]
        return known, Policy(
            known.effect,
            cls.window_s,
            cls.deadline_s - self._config.answer_margin_s,
            known.config.maximum_event_age_s,
            known.config.maximum_retry_attempts,
        )

    def _begin(self, live: _Live) -> None:
        known, policy = self._known(live)
        step = recovery.next_step(live.state, policy, self.now())
        if isinstance(step, Finish) or known is None:
            condition = step.condition if isinstance(step, Finish) else Condition.REFUSED
            reason = "its function is not in the configuration" if policy is None else _REASONS[condition]
            self._finish(live, condition, None, "", reason)
            return
        assert isinstance(step, Try)
        accepted, ran = live.accepted, live.state.ran
        place = self._tenants.get(accepted.tenant, 0)
        if self._budgets is not None and ran is None:  # one that may have run is not held back from its end
            admission = self._budgets.admit(accepted.tenant, accepted.function, self._clock())
            if not admission.is_admitted:
                wait_s = max(BUDGET_WAIT_S, admission.retry_after_s) * (1.0 + 0.1 * self._random.random())
                self._due.add(min(self.now() + wait_s, step.until), live)
                return
            place = len(self._tenants) if admission.is_over_soft_limit else place
        call = Call(
            self._engine.next_call_number(),
            accepted.id,
            known.spec,
            accepted.payload,
            step.until - self._offset,
            place,
            accepted.tenant,
            accepted.key,
            accepted.context,
            prior_attempt=None if ran is None else PriorAttempt(ran.worker, ran.sent_at - self._offset),
            guard=None if known.effect is Idempotency.IDEMPOTENT else _Guard(self, live),
            on_final_answer=lambda call, final: self._queue.put((live, final)),
            class_name=known.config.call_class,
        )
        live.running = True
        self._running += 1
        if not self._engine.submit(call):
            call.finish(
                FinalAnswer(FinalStatus.REJECTED, retry_after_s=0.5, prior_attempt=call.prior_attempt)
            )

    def _answered(self, live: _Live, final: FinalAnswer) -> None:
        live.running = False
        self._running -= 1
        live.attempts += final.attempts
        ran = live.state.ran
        if final.status is FinalStatus.SERVED:
            pass  # the answer ends the doubt about earlier attempts
        elif final.prior_attempt is not None:
            ran = MayHaveRun(final.prior_attempt.worker_id, final.prior_attempt.sent_s + self._offset)
        elif final.status is FinalStatus.FAILED and ran is None:  # no promise, though nothing was seen to run
            ran = MayHaveRun(0, self.now())
        elif live.noted and ran is None:
            live.noted = False
            self._ledger.append(Voided(live.accepted.id))
        known, policy = self._known(live)
        if policy is None or known is None:
            self._due.add(0.0, live)
            return
        state, step = recovery.after_answer(
            replace(live.state, ran=ran),
            policy,
            final.status,
            bool(final.function_error),
            final.retry_after_s,
            self.now(),
            self._random.random(),
        )
        live.state = state
        if isinstance(step, Finish):
            served = final.status is FinalStatus.SERVED
            self._finish(
                live,
                step.condition,
                final.payload if served else None,
                final.function_error,
                "" if served else _REASONS[step.condition],
            )
        elif isinstance(step, Wait):  # not beside an attempt of this try that is still out
            self._due.add(max(step.until, final.attempt_in_flight_until_s + self._offset), live)

    def _finish(
        self, live: _Live, condition: Condition, response: bytes | None, error: str, reason: str
    ) -> None:
        live.ended = condition, response, error, reason
        self._write_final(live)

    def _write_final(self, live: _Live) -> None:
        """The final record and, in the same commit, the call that delivers it: both or neither."""
        assert live.ended is not None
        condition, response, error, reason = live.ended
        accepted, now = live.accepted, self.now()
        arn = f"arn:aws:lambda:{self._config.region}:{self._config.account}:function:{accepted.function}"
        content = invocation.record(
            request_id=accepted.id,
            arn=arn,
            condition=condition,
            attempts=live.attempts,
            request=accepted.payload,
            at=now,
            response=response,
            function_error=error,
            reason=reason,
        )
        finished = Finished(accepted.id, accepted.function, accepted.tenant, now, content)
        known = self._functions.get(accepted.function)
        target = None
        if known is not None:
            target = known.config.on_success if condition is Condition.SUCCESS else known.config.on_failure
        if target is None:
            live.ticket = self._ledger.append(finished)
        else:
            delivery_id = str(uuid.uuid5(uuid.NAMESPACE_OID, accepted.id))
            live.delivery = Accepted(delivery_id, target, accepted.tenant, content, "", delivery_id, now)
            live.ticket = self._ledger.append(finished, live.delivery)
        self._due.add(now + (COMMIT_AGAIN_S if self._ledger.failing else 0.01), live)


_REASONS = {
    Condition.SUCCESS: "",
    Condition.RETRIES_EXHAUSTED: "the function failed each time",
    Condition.EXPIRED: "its maximum event age passed before a worker could take it",
    Condition.REFUSED: "it was refused for good",
    Condition.UNKNOWN: "it may have run, and may not be sent again",
}
