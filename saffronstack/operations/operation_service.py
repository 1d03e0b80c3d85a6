"""Operations in service: who runs one, who waits for it, who gets its answer again; for every front."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import structlog

from saffronstack.durable.journal import JournalError, Ticket
from saffronstack.operations import operation_log as records
from saffronstack.operations.operation_log import NotesLog
from saffronstack.operations.operation_table import (
    Answer,
    Begin,
    Fate,
    Join,
    Mismatch,
    Open,
    Packed,
    Repeat,
    Table,
    Turned,
    unpack,
)
from saffronstack.operations.request_coalescing import Recent, Reply
from saffronstack.operations.response_store import Spool, digest_of
from saffronstack.operations.slot_assignment import slot_of
from saffronstack.routing.events import PriorAttempt
from saffronstack.routing.settings import Idempotency
from saffronstack.runtime.threads import start_thread

CHECK_CLIENT_S = 0.2  # how often a waiting thread looks whether its client is still there
EXPIRE_EVERY_S = 30.0
BUSY_MOST_S = 1.0  # an attempt ends with its call's deadline, a margin after the refusal
log = structlog.get_logger("saffronstack.operations")


@dataclass(frozen=True, slots=True)
class Rule:
    """What an operation's class says of it."""

    effect: Idempotency
    window_s: float
    durable: bool  # noted on the disk before its first byte leaves
    owned: bool = True  # run by the holder of its slot alone; else by any member


@dataclass(frozen=True, slots=True)
class Done:
    """A run's end: the answer that every send of the operation gets."""

    answer: Answer
    unknown: bool = False  # it says that the outcome is not known


@dataclass(frozen=True, slots=True)
class NotDone:
    """A run's end without a final answer: refused, or nobody waited any more. ``prior``: the first attempt
    that may have run; ``error`` is raised for whoever waits."""

    error: Exception
    prior: PriorAttempt | None = None
    out_until_s: float = 0.0  # of the clock: one of its attempts may be out until then


class MismatchedNameError(Exception):
    """The name was given to another payload; its text names the request that has it."""


class NoRoomError(Exception):
    """The operation can't be remembered, and was not begun."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("too many operations are remembered")
        self.retry_after_s = retry_after_s


class NotHeldError(Exception):
    """Another member runs operations of its slot: nothing was touched here."""


class ClientLeftError(Exception):
    """The client ended its side while its operation was under way."""


class Live:
    """What an open operation's threads share."""

    def __init__(self, opened: Open, rule: Rule) -> None:
        self.opened = opened
        self.rule = rule
        self.done: threading.Event | None = None  # made for the first that joins, under the operations' lock
        self.result: Done | NotDone | None = None
        self._lock = threading.Lock()
        self._waiters = 0  # besides the one that runs it
        self._sent = False
        self._left = False
        self.noted: Ticket[records.AnyEntry] | None = None

    def join(self) -> None:
        """One more waits; the caller holds the operations' lock."""
        if self.done is None:
            self.done = threading.Event()
        with self._lock:
            self._waiters += 1

    def part(self) -> None:
        """One waits no more."""
        with self._lock:
            self._waiters -= 1

    def may_leave(self) -> bool:
        """Whether the work may be given up, its own client having left: nobody else waits, and nothing of it
        can have had an effect. From then on nothing is sent."""
        with self._lock:
            if self._waiters or (self._sent and self.rule.effect is not Idempotency.IDEMPOTENT):
                return False
            self._left = True
            return True

    def going(self) -> bool:
        """Whether an attempt may leave: it counts as sent from here on."""
        with self._lock:
            if self._left:
                return False
            self._sent = True
            return True

    @property
    def sent(self) -> bool:
        """Whether an attempt may have left."""
        return self._sent


# Runs an operation to its end on the thread that began it; the prior tells where and when (monotonic seconds)
# an
# earlier try may have run.
Begun = Callable[[Live, PriorAttempt | None], Done | NotDone]


class Operations:
    """The table behind its lock, the notes, the threads that wait."""

    def __init__(
        self,
        table: Table,
        clock: Callable[[], float],
        wall: Callable[[], float],
        notes: NotesLog | None = None,
        spool: Spool | None = None,
        answer_bytes: int = 65536,
        recent_bytes: int = 64 * 1024 * 1024,
        commit_timeout_s: float = 2.0,
    ) -> None:
        """``answer_bytes``: larger answers go to the spool, or are kept by digest alone. ``recent_bytes``:
        for safe operations, which have a memory of their own."""
        self.recent: Recent[Reply] = Recent(recent_bytes)
        self.answer_bytes = answer_bytes
        self.table = table
        self.notes = notes
        self.spool = spool
        self.counts = {
            name: 0
            for name in ("begun", "joined", "repeated", "unknown_repeated", "mismatched", "turned_away")
        }
        self._clock = clock
        self._offset = wall() - clock()  # Unix time that follows the monotonic clock from then on
        self._commit_timeout_s = commit_timeout_s
        self._lock = threading.Lock()
        self._holds: Callable[[int], bool] | None = None
        self._open_by_slot: Counter[int] = Counter()
        self._ended = threading.Event()
        self._stopping = threading.Event()

    def now(self) -> float:
        """Unix seconds that never step."""
        return self._clock() + self._offset

    def start(self, known: Iterable[tuple[bytes, bytes]] = ()) -> None:
        """Take up what earlier lives noted, and ``known`` besides; where slots are shared, with each slot."""
        if self._holds is None:
            self.restore([*known, *(self.notes.state.known() if self.notes is not None else ())])
        start_thread("operations", self._run)

    def share(self, holds: Callable[[int], bool]) -> None:
        """From now on operations are run only in slots that ``holds`` says are held here; safe ones
        anywhere."""
        self._holds = holds

    def restore(self, known: Iterable[tuple[bytes, bytes]]) -> None:
        """Know what other lives or members knew; what is known already stands. JournalError where it was
        written by another version."""
        now = self.now()
        try:
            found = [(unpack(packed).until, digest, packed) for digest, packed in known]
        except ValueError as error:
            raise JournalError(f"operations noted by another version: {error}") from error
        with self._lock:
            for until, digest, packed in sorted(found):
                if until > now:
                    self.table.restore(digest, packed)

    def open_in(self, slot: int) -> int:
        """How many operations of a slot are under way."""
        with self._lock:
            return self._open_by_slot[slot]

    def forget(self, slots: frozenset[int]) -> list[tuple[bytes, bytes]]:
        """Another member takes slots over; what is known of their operations."""
        with self._lock:
            return self.table.take_out(lambda digest: slot_of(digest) in slots)

    def stop(self, timeout_s: float = 5.0) -> bool:
        """Write what is queued and end; whether that was in time."""
        self._stopping.set()
        ended = self._ended.wait(timeout_s)
        return (self.notes is None or self.notes.close(timeout_s)) and ended

    def perform(
        self,
        digest: bytes,
        fingerprint: bytes,
        rule: Rule,
        request_id: str,
        run: Begun,
        latest_s: float,
        client_there: Callable[[], bool],
    ) -> tuple[Answer, bool]:
        """The operation's answer, and whether it was given before; ``latest_s``: how long its client waits,
        by the clock. MismatchedNameError, NoRoomError, ClientLeftError, or the error of a run without a
        final answer."""
        slot = slot_of(digest)
        while True:
            with self._lock:
                if rule.owned and self._holds is not None and not self._holds(slot):
                    raise NotHeldError
                step = self.table.send(
                    digest, fingerprint, rule.effect, rule.window_s, request_id, self.now()
                )
                if isinstance(step, Begin):
                    live = step.open.live = Live(step.open, rule)
                    if rule.owned:
                        self._open_by_slot[slot] += 1
                elif isinstance(step, Join):
                    assert isinstance(step.open.live, Live)
                    live = step.open.live
                    live.join()
            if isinstance(step, Begin):
                self.counts["begun"] += 1
                return self._begin(live, run), False
            if isinstance(step, Repeat):
                return self._again(step.packed), True
            if isinstance(step, Mismatch):
                self.counts["mismatched"] += 1
                raise MismatchedNameError(step.request_id)
            if isinstance(step, Turned):
                self.counts["turned_away"] += 1
                raise NoRoomError(step.retry_after_s)
            self.counts["joined"] += 1
            try:
                found = self._await(live, latest_s, client_there)
            finally:
                live.part()
            if found is not None:
                return found, True
            # Nobody waited any more, just before this send came: it is the operation's next try.

    def guard(self, live: Live) -> Guard:
        """Asked before each attempt's first byte."""
        return Guard(self, live)

    def look(self, digest: bytes) -> Open | Packed | None:
        """What is known of an operation."""
        with self._lock:
            return self.table.find(digest)

    # ---- inside

    def _begin(self, live: Live, run: Begun) -> Answer:
        opened = live.opened
        again = opened.again
        prior = None if again is None else PriorAttempt(again.worker, again.sent_at - self._offset)
        result: Done | NotDone | None = None
        try:
            if again is not None and (pause_s := again.busy_until - self.now()) > 0:
                self._stopping.wait(min(pause_s, BUSY_MOST_S))  # one attempt out at a time
            result = run(live, prior)
        finally:
            # A run that fell over may have had its effect: nothing more can be known than that.
            live.result = result
            if result is None and live.sent and live.rule.effect is not Idempotency.IDEMPOTENT:
                self._close(live, Fate.UNKNOWN, None)
            elif result is None:
                self._release(live)
            elif isinstance(result, Done):
                self._finish(live, result)
            else:
                self._refused(live, result)
            if live.rule.owned:
                with self._lock:
                    self._open_by_slot[slot_of(opened.digest)] -= 1
            if live.done is not None:  # nobody joins any more: the table knows its end
                live.done.set()
        if isinstance(result, NotDone):
            raise result.error
        return result.answer

    def _await(self, live: Live, latest_s: float, client_there: Callable[[], bool]) -> Answer | None:
        """The answer of one that another send runs; None where it was given up and can be begun anew."""
        assert live.done is not None
        while not live.done.wait(min(CHECK_CLIENT_S, max(0.0, latest_s - self._clock()))):
            if self._clock() >= latest_s:
                raise TimeoutError("the operation is still under way")
            if not client_there():
                raise ClientLeftError
        result = live.result
        if isinstance(result, Done):
            return result.answer
        if isinstance(result, NotDone) and not isinstance(result.error, ClientLeftError):
            raise result.error
        return None

    def _again(self, packed: Packed) -> Answer:
        self.counts["repeated" if packed.fate is Fate.ENDED else "unknown_repeated"] += 1
        answer = packed.answer
        if answer is None:  # noted in an earlier life, which ended before it had an answer
            raise OutcomeUnknownError(packed.request_id)
        if not answer.digest:
            return answer
        spool = self.spool if answer.spool else None
        body = spool.get(answer.spool, answer.digest) if spool is not None else None
        if body is None:
            raise AnswerNotKeptError(packed.request_id, answer)
        return Answer(answer.status, answer.headers, body)

    def _finish(self, live: Live, done: Done) -> None:
        if live.rule.effect is Idempotency.IDEMPOTENT and done.unknown:
            self._release(live)  # trying again harms nobody
            return
        answer = done.answer
        if len(answer.body) > self.answer_bytes:
            digest, name = digest_of(answer.body), live.opened.digest.hex()
            kept = self.spool is not None and self.spool.put(name, answer.body)
            answer = Answer(
                answer.status, answer.headers, b"", name if kept else "", digest, len(answer.body)
            )
        self._close(live, Fate.UNKNOWN if done.unknown else Fate.ENDED, answer)

    def _refused(self, live: Live, refused: NotDone) -> None:
        prior = refused.prior
        if prior is None or live.rule.effect is Idempotency.IDEMPOTENT:
            self._release(live)
            return
        with self._lock:
            now = self.now()
            busy = refused.out_until_s + self._offset if refused.out_until_s else 0.0
            packed = self.table.leave(live.opened, prior.worker_id, prior.sent_s + self._offset, now, busy)
        self._note_end(live, packed, now)

    def _close(self, live: Live, fate: Fate, answer: Answer | None) -> None:
        with self._lock:
            now = self.now()
            packed = self.table.end(live.opened, fate, answer, now)
        self._note_end(live, packed, now)

    def _note_end(self, live: Live, packed: bytes, now: float) -> None:
        if self.notes is not None and live.noted is not None:
            opened = live.opened
            self.notes.append(records.Ended(opened.digest, packed, now + opened.window_s))

    def _release(self, live: Live) -> None:
        with self._lock:
            forgotten = self.table.release(live.opened, self.now())
        if forgotten and self.notes is not None and live.noted is not None:
            self.notes.append(records.Released(live.opened.digest))

    def note(self, live: Live, worker: int) -> bool:
        """Make it durable that an attempt leaves for a worker; False: it must not."""
        notes, opened = self.notes, live.opened
        if notes is None:
            return True
        if live.noted is not None:
            return live.noted.done.wait(self._commit_timeout_s) and live.noted.durable
        if notes.stalled_s > 0:
            return False  # it would wait behind what hangs already
        ticket = notes.append(
            records.Noted(
                opened.digest,
                opened.fingerprint,
                opened.effect,
                opened.request_id,
                opened.window_s,
                worker,
                self.now(),
            )
        )
        if not ticket.done.wait(self._commit_timeout_s) and ticket.revoke():
            return False
        if ticket.error is not None:
            return False
        live.noted = ticket  # written, or on its way for certain: then the end is noted behind it
        return ticket.done.wait(self._commit_timeout_s) and ticket.durable

    def _run(self) -> None:
        try:
            while not self._stopping.wait(EXPIRE_EVERY_S):
                with self._lock:
                    now = self.now()
                    self.table.expire(now)
                if self.notes is not None:
                    self.notes.append(records.Expired(now))
        finally:
            self._ended.set()


class OutcomeUnknownError(Exception):
    """It may have run before the gateway was killed; its text is the first request's id."""


class AnswerNotKeptError(Exception):
    """It ended, and its answer was too large to keep."""

    def __init__(self, request_id: str, answer: Answer) -> None:
        super().__init__(request_id)
        self.answer = answer


class Guard:
    """A `AttemptGuard`: marks an operation as sent, and notes it durably where its class wants that."""

    def __init__(self, owner: Operations, live: Live) -> None:
        self._owner = owner
        self._live = live

    def may_send(self, attempt: int, worker_id: int) -> bool:
        """False: the attempt must not leave. Waits for the disk, bounded."""
        live = self._live
        if live.rule.durable and not self._owner.note(live, worker_id):
            return False
        return live.going()
