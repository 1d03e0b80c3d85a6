"""The meter of a gateway: takes workers' records, makes them durable, acknowledges them, charges losses."""

from __future__ import annotations

import base64
import binascii
import pathlib
import queue
import threading
import uuid
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec
import structlog

from saffronstack.durable.journal import Codec, Journal, JournalError, Ticket, read_back
from saffronstack.durable.runs import RunDamagedError
from saffronstack.durable.segments import Files
from saffronstack.engine.dispatch import AttemptResult
from saffronstack.engine.identifiers import worker_number
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.metering.account import Account, AccountLimits
from saffronstack.metering.archive import Archive
from saffronstack.metering.budgets import BudgetEnforcer
from saffronstack.metering.interval_set import group_into_intervals
from saffronstack.metering.record_validation import find_rejection_reason
from saffronstack.metering.records import (
    AnyLedgerEntry,
    CallReference,
    IncarnationEnded,
    LedgerStarted,
    ProvisionalCharge,
    ProvisionalChargeVoided,
    RecordConfirmed,
    RecordReceived,
    RecordRelinquished,
    RunsMerged,
    UsageRequest,
    UsageResponse,
    decode,
    encode,
    incarnation_key,
    to_stored_amount,
)
from saffronstack.metering.unconfirmed_usage import UnconfirmedCall, UnconfirmedUsage
from saffronstack.routing.events import Result
from saffronstack.runtime.threads import start_thread

ASK_EVERY_S = 1.0
INVITE_EVERY_S = 0.1  # records come with an answer this often; reading them on each costs a fifth of the rate
ACKS_MOST = 2000  # in one question
MISSING_MOST = 500
MERGE_S = 600.0  # for the word that runs were merged to be on the disk
READ_TRIES = 10
NAMED_S = 10.0  # for the name of a new log to be on the disk
QUEUE_MOST = 100_000
TOLD_MOST = (
    10  # times its memory over its time a call may say that it held: it may have shared several copies
)
ANSWERED = (Result.OK, Result.ERROR)
LOST = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
CODEC: Codec[AnyLedgerEntry] = Codec(
    encode, decode, lambda entry: isinstance(entry, LedgerStarted), "usage", compress=True
)
UsageLog = Journal[AnyLedgerEntry, Account]
log = structlog.get_logger("saffronstack.metering")


def open_usage_log(
    directory: str,
    segment_bytes: int,
    files: Files | None = None,
    budget_windows: Mapping[str, float] | None = None,
    bounds: AccountLimits | None = None,
) -> UsageLog:
    """Lock and read a usage log; a new one gets a name of its own. JournalError where it can't be had."""
    archive = Archive(pathlib.Path(directory), files)
    account = Account(archive=archive, budget_windows=budget_windows, bounds=bounds)
    journal = Journal(directory, account, CODEC, segment_bytes, files)
    archive.clean()
    for line in archive.unopened():
        log.error("usage archive damaged", what=line)
        account.doubt()
    if not account.gateway:
        journal.append(LedgerStarted(uuid.uuid4().hex)).done.wait(NAMED_S)
    return journal


def read_usage_log(directory: pathlib.Path) -> tuple[Account, list[str]]:
    """A log as it stands, without its lock, and what is wrong with it. JournalError where it can't be
    read."""
    for left in reversed(range(READ_TRIES)):
        account = Account(archive=Archive(directory))
        try:
            return account, read_back(directory, account, CODEC).lines
        except JournalError as error:
            if not left or not isinstance(error.__cause__, FileNotFoundError):
                raise
    raise AssertionError


class WorkerPoller(Protocol):
    """Sends a question to a worker; ``done`` hears the answer's body, None where none came."""

    def __call__(self, worker: int, body: bytes, done: Callable[[bytes | None], None]) -> None:
        """Returns at once."""
        ...


class Meter:
    """One thread owns what is under way; the journal's writer owns the account."""

    def __init__(
        self,
        journal: UsageLog,
        ask: WorkerPoller,
        clock: Callable[[], float],
        wall: Callable[[], float],
        memory_kib: Callable[[WorkerSpec], int],
        ask_every_s: float = ASK_EVERY_S,
        limits: BudgetEnforcer | None = None,
        offset_s: float = 0.0,
    ) -> None:
        """``memory_kib`` is what the configuration says of a worker's memory; ``offset_s`` makes Unix seconds
        that no clock step moves of the gateway's clock."""
        self.journal = journal
        self.refused = 0
        self.taken = 0  # records
        self.dropped = 0  # records that the queue's bound cost; their workers offer them again
        self._ask = ask
        self._clock = clock
        self._wall = wall
        self._memory_kib = memory_kib
        self._every_s = ask_every_s
        self._limits = limits
        self._offset_s = offset_s
        self._lost_at: dict[str, tuple[str, int]] = {}  # worker: incarnation, records its bound cost
        self._lost_before = 0  # in lives that ended
        self._answered_calls = UnconfirmedUsage()
        self._merging = threading.Event()
        self._queue: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._workers: dict[str, WorkerSpec] = {}
        self._asked: dict[str, float] = {}  # workers with a question out, and since when
        self._acks: dict[str, list[tuple[Ticket[AnyLedgerEntry], list[tuple[str, int]]]]] = defaultdict(list)
        self._under_way: set[tuple[str, str, int]] = set()  # received, not yet in the account
        self._incarnations: dict[str, str] = {}
        self._lies: dict[str, list[tuple[str, int]]] = defaultdict(list)
        self._invited: dict[int, float] = {}  # each worker's last; a race costs one answer more
        self._ended = threading.Event()

    def start(self) -> None:
        """Start the thread. Records that were counted but never confirmed are acknowledged again."""
        start_thread("meter", self._run)

    def stop(self, timeout_s: float = 5.0) -> bool:
        """Take what is queued, write it, end; whether that was in time."""
        self._queue.put(None)
        return self._ended.wait(timeout_s) and self.journal.close(timeout_s)

    def roster(self, specs: list[WorkerSpec]) -> None:
        """The workers to ask. One that left is dead here: its provisional charges become estimates."""
        self._queue.put(lambda: self._told(specs))

    def lost_at_workers(self) -> int:
        """Records that workers' own bounds cost, in the lives that were heard of."""
        return self._lost_before + sum(count for _, count in list(self._lost_at.values()))

    def steady(self, now: float) -> float:
        """Unix seconds that no clock step moves."""
        return now + self._offset_s

    # ---- from the workers' threads

    def gateway_name_for(self, worker_id: int) -> str:
        """The name by which a worker may give records with its answer; empty where it just gave some."""
        now = self._clock()
        if now - self._invited.get(worker_id, -1e9) < INVITE_EVERY_S:
            return ""
        self._invited[worker_id] = now
        return self.journal.state.gateway

    def on_usage_records(self, worker: WorkerSpec, text: str) -> None:
        """The usage header of an answer."""
        if self._queue.qsize() > QUEUE_MOST:
            self.dropped += 1
            return
        self._queue.put(lambda: self._header(worker, text))

    def on_attempt_result(self, end: AttemptResult) -> None:
        """An attempt's end: one that may have run and brought no answer is charged until its record comes."""
        outcome = end.outcome
        if outcome.result in LOST:
            now, wall = self._clock(), self._wall()  # the meter's thread may come to it late
            self._queue.put(lambda: self._lost(end, now, wall))
        elif outcome.result in ANSWERED:
            call = end.call
            gross = int(call.function.memory_mb * 1024) * int(outcome.elapsed_s * 1e6)
            told = (
                0 < end.memory_time_kib_us <= TOLD_MOST * gross
            )  # else it does not say, or can't be believed
            self._answered_calls.note(
                outcome.worker_id,
                UnconfirmedCall(
                    self._clock(),
                    call.request_id,
                    call.tenant_name,
                    call.class_name,
                    call.function.name,
                    end.memory_time_kib_us if told else gross,
                    told,
                    end.incarnation,
                ),
            )

    # ---- the thread

    def _run(self) -> None:
        ask_s = self._clock()
        try:
            while True:
                wait_s = max(0.0, ask_s - self._clock())
                try:
                    step = self._queue.get(timeout=wait_s) if wait_s else self._queue.get_nowait()
                except queue.Empty:
                    ask_s = self._clock() + self._every_s
                    self._guarded(self._ask_all)
                    continue
                if step is None:
                    return
                self._guarded(step)
                if self._clock() >= ask_s:
                    ask_s = self._clock() + self._every_s
                    self._guarded(self._ask_all)
        finally:
            self._ended.set()

    @staticmethod
    def _guarded(step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:
            log.exception("step of the meter failed")

    def _told(self, specs: list[WorkerSpec]) -> None:
        named = {spec.name: spec for spec in specs}
        for name in set(self._workers) - set(named):
            self._dead(name, "")
        self._workers = named

    def _header(self, worker: WorkerSpec, text: str) -> None:
        try:
            self._offered(worker, base64.b64decode(text, validate=True))
        except binascii.Error:
            self._refuse(worker.name, "its usage header is not base64")

    def _offered(self, worker: WorkerSpec, body: bytes) -> UsageResponse | None:
        try:
            offered = msgspec.msgpack.decode(body, type=UsageResponse)
        except (msgspec.MsgspecError, ValueError) as error:
            self._refuse(worker.name, f"not readable: {error}")
            return None
        if self._incarnations.get(worker.name, offered.incarnation) != offered.incarnation:
            self._dead(worker.name, offered.incarnation)
        self._incarnations[worker.name] = offered.incarnation
        now, now_wall, memory_kib = self._clock(), self._wall(), self._memory_kib(worker)
        before, lost = self._lost_at.get(worker.name, (offered.incarnation, 0))
        self._lost_before += lost if before != offered.incarnation else 0
        self._lost_at[worker.name] = offered.incarnation, max(0, offered.dropped)
        fresh: list[RecordReceived] = []
        for usage in offered.records:
            reason = find_rejection_reason(
                usage, worker.name, offered.incarnation, offered.now_us, memory_kib
            )
            if reason:
                self._refuse(worker.name, f"record {usage.seq}: {reason}")
                self._lies[worker.name].append((usage.incarnation, usage.seq))  # it need not come again
                continue
            key = usage.worker, usage.incarnation, usage.seq
            if self._known(key):
                continue
            self._under_way.add(key)
            if self._limits is not None and (usage.run or usage.idle):
                self._limits.loaded(usage.function, now)
            age_s = max(0.0, (offered.now_us - usage.end_us) / 1e6)
            fresh.append(RecordReceived(usage, now_wall - age_s, self.steady(now) - age_s))
        self.taken += len(fresh)
        entries: list[AnyLedgerEntry] = [*fresh]
        entries += [RecordConfirmed(worker.name, *span) for span in group_into_intervals(offered.mine)]
        entries += [RecordRelinquished(worker.name, *number) for number in offered.gone]
        life = incarnation_key(worker.name, offered.incarnation)
        entries += [ProvisionalChargeVoided(life, id_) for id_ in offered.known]
        if entries:
            ticket = self.journal.append(*entries)
            numbers = [(entry.usage.incarnation, entry.usage.seq) for entry in fresh]
            self._acks[worker.name].append((ticket, numbers))
        return offered

    def _known(self, key: tuple[str, str, int]) -> bool:
        """Whether a record need not be taken. One of which the archive can't tell is left with its worker."""
        try:
            return key in self._under_way or self.journal.state.knows(*key)
        except (RunDamagedError, OSError) as error:
            log.error("usage archive not read; the record stays with its worker", what=str(error))
            return True

    def _refuse(self, worker: str, why: str) -> None:
        self.refused += 1
        log.warning("usage refused", worker=worker, why=why)

    def _lost(self, end: AttemptResult, now: float, wall: float) -> None:
        """Charge it until its worker says more. A connection that never told its worker's life was to the one
        that is known; without any, nothing there was ever charged."""
        call, outcome = end.call, end.outcome
        name = next((n for n in self._workers if worker_number(n) == outcome.worker_id), "")
        if not name:
            return
        ref = CallReference(call.request_id, call.tenant_name, call.class_name)
        spec = call.function
        memory_kib = int(spec.memory_mb * 1024)
        self.journal.append(
            ProvisionalCharge(
                name,
                end.incarnation or self._incarnations.get(name, ""),
                ref,
                spec.name,
                to_stored_amount(memory_kib * int(outcome.elapsed_s * 1e6)),
                wall,
                self.steady(now),
                memory_kib,
                spec.concurrency,
            )
        )

    def _dead(self, worker: str, incarnation: str) -> None:
        """The incarnation known so far is no more: nothing it did not give will come. Calls that it answered
        and whose records may be lost are charged as those are whose answers were lost."""
        account = self.journal.state
        dead = {
            charge.incarnation
            for charge in list(account.provisional.values())
            if charge.worker == worker and charge.incarnation != incarnation
        }
        last = self._incarnations.get(worker, "")
        entries: list[AnyLedgerEntry] = []
        if last and last != incarnation:
            dead.add(last)
            now, wall = self._clock(), self._wall()
            for call in self._answered_calls.died(worker_number(worker)):
                if call.incarnation == incarnation:  # the new life answered it before it was heard of
                    continue
                if call.amount > account.charges.charged(incarnation_key(worker, last), call.call_id):
                    age_s = now - call.ended_s
                    ref = CallReference(call.call_id, call.tenant, call.call_class)
                    entries.append(
                        ProvisionalCharge(
                            worker,
                            last,
                            ref,
                            call.function,
                            to_stored_amount(call.amount),
                            wall - age_s,
                            self.steady(call.ended_s),
                        )
                    )
        entries += [IncarnationEnded(worker, incarnation_) for incarnation_ in sorted(dead)]
        if entries:
            self.journal.append(*entries)

    def _merge_runs(self) -> None:
        """Where there are many runs, one in place of some, beside everything else."""
        account = self.journal.state
        numbers = account.mergeable()
        if not numbers or self._merging.is_set():
            return
        self._merging.set()

        def merge() -> None:
            try:
                into = account.merge_runs(numbers)
                ticket = self.journal.append(RunsMerged(numbers, into))
                if ticket.done.wait(MERGE_S) and ticket.durable:
                    account.drop_runs(numbers)
            except (RunDamagedError, OSError) as error:
                log.error("usage archive not merged", what=str(error))
            finally:
                self._merging.clear()

        start_thread("merge", merge)

    def _ask_all(self) -> None:
        self._merge_runs()
        account = self.journal.state
        now = self._clock()
        waiting: dict[str, list[tuple[str, int]]] = defaultdict(list)
        for worker, incarnation, seq in list(account.unconfirmed):
            if self._incarnations.get(worker) == incarnation:  # a dead one can't say whose they are
                waiting[worker].append((incarnation, seq))
        missing: dict[str, list[str]] = defaultdict(list)
        for charge in list(account.provisional.values()):
            if charge.incarnation in ("", self._incarnations.get(charge.worker)):  # others know none
                missing[charge.worker].append(charge.call.id)
        for name, acks in self._acks.items():
            for ticket, numbers in acks:
                if ticket.done.is_set():  # in the account, or failed: then the worker offers them again
                    self._under_way.difference_update((name, *number) for number in numbers)
            self._acks[name] = [item for item in acks if not item[0].done.is_set()]
        for name, spec in self._workers.items():
            if now - self._asked.get(name, -1e9) < 3 * self._every_s + 2.0:
                continue
            self._asked[name] = now
            waiting[name] = self._lies.pop(name, []) + waiting[name]
            asked = UsageRequest(
                account.gateway, tuple(waiting[name][:ACKS_MOST]), tuple(missing[name][:MISSING_MOST])
            )
            self._ask(spec.number, msgspec.msgpack.encode(asked), self._answer_to(spec, now))

    def _answer_to(self, spec: WorkerSpec, asked_s: float) -> Callable[[bytes | None], None]:
        def done(body: bytes | None) -> None:
            self._queue.put(lambda: self._answered(spec, body, asked_s))

        return done

    def _answered(self, spec: WorkerSpec, body: bytes | None, asked_s: float) -> None:
        self._asked.pop(spec.name, None)
        offered = self._offered(spec, body) if body is not None else None
        if offered is not None:
            life = incarnation_key(spec.name, offered.incarnation)
            self._answered_calls.told(
                spec.number,
                asked_s,
                not offered.left,
                lambda call_id: self.journal.state.charges.charged(life, call_id),
            )
