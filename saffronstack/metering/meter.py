"""The meter of a gateway: takes workers' records, makes them durable, acknowledges them, charges losses."""

from __future__ import annotations

import base64
import binascii
import queue
import threading
import uuid
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec
import structlog

from saffronstack.core.calls import AttemptEnd
from saffronstack.core.names import worker_number
from saffronstack.core.roster import WorkerSpec
from saffronstack.core.threads import spawn
from saffronstack.durable.journal import Codec, Journal, Ticket
from saffronstack.durable.segments import Files
from saffronstack.interface import Result
from saffronstack.metering.account import Account
from saffronstack.metering.checks import refusal
from saffronstack.metering.limits import BudgetLimits
from saffronstack.metering.records import (
    AnyEntry,
    Asked,
    Confirmed,
    Estimated,
    Given,
    Offered,
    Provisional,
    Received,
    Ref,
    Replaced,
    Start,
    Usage,
    decode,
    encode,
)
from saffronstack.metering.split import Phase, split

ASK_EVERY_S = 1.0
INVITE_EVERY_S = 0.1  # records come with an answer this often; reading them on each costs a fifth of the rate
ACKS_MOST = 2000  # in one question
MISSING_MOST = 500
QUEUE_MOST = 100_000
LOST = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
CODEC: Codec[AnyEntry] = Codec(encode, decode, lambda entry: isinstance(entry, Start), "usage", compress=True)
UsageLog = Journal[AnyEntry, Account]
log = structlog.get_logger("saffronstack.metering")


def open_usage_log(directory: str, segment_bytes: int, files: Files | None = None) -> UsageLog:
    """Lock and read a usage log; a new one gets a name of its own. JournalError where it can't be had."""
    journal = Journal(directory, Account(), CODEC, segment_bytes, files)
    if not journal.state.gateway:
        journal.append(Start(uuid.uuid4().hex))
    return journal


class Ask(Protocol):
    """Sends a question to a worker; ``done`` hears the answer's body, None where none came."""

    def __call__(self, worker: int, body: bytes, done: Callable[[bytes | None], None]) -> None:
        """Returns at once."""
        ...


class Meter:
    """One thread owns what is under way; the journal's writer owns the account."""

    def __init__(
        self,
        journal: UsageLog,
        ask: Ask,
        clock: Callable[[], float],
        wall: Callable[[], float],
        memory_kib: Callable[[WorkerSpec], int],
        ask_every_s: float = ASK_EVERY_S,
        limits: BudgetLimits | None = None,
    ) -> None:
        """``memory_kib`` is what the configuration says of a worker's memory."""
        self.journal = journal
        self.refused = 0
        self.dropped = 0  # records that the queue's bound cost; their workers offer them again
        self._ask = ask
        self._clock = clock
        self._wall = wall
        self._memory_kib = memory_kib
        self._every_s = ask_every_s
        self._limits = limits
        self._queue: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._workers: dict[str, WorkerSpec] = {}
        self._asked: dict[str, float] = {}  # workers with a question out, and since when
        self._acks: dict[str, list[tuple[Ticket[AnyEntry], list[tuple[str, int]]]]] = defaultdict(list)
        self._under_way: set[tuple[str, str, int]] = set()  # received, not yet in the account
        self._incarnations: dict[str, str] = {}
        self._lies: dict[str, list[tuple[str, int]]] = defaultdict(list)
        self._invited: dict[int, float] = {}  # each worker's last; a race costs one answer more
        self._ended = threading.Event()

    def start(self) -> None:
        """Start the thread. Records that were counted but never confirmed are acknowledged again."""
        spawn("meter", self._run)

    def stop(self, timeout_s: float = 5.0) -> bool:
        """Take what is queued, write it, end; whether that was in time."""
        self._queue.put(None)
        return self._ended.wait(timeout_s) and self.journal.close(timeout_s)

    def roster(self, specs: list[WorkerSpec]) -> None:
        """The workers to ask. One that left is dead here: its provisional charges become estimates."""
        self._queue.put(lambda: self._told(specs))

    # ---- from the workers' threads

    def invite(self, worker: int) -> str:
        """The name by which a worker may give records with its answer; empty where it just gave some."""
        now = self._clock()
        if now - self._invited.get(worker, -1e9) < INVITE_EVERY_S:
            return ""
        self._invited[worker] = now
        return self.journal.state.gateway

    def heard(self, worker: WorkerSpec, text: str) -> None:
        """The usage header of an answer."""
        if self._queue.qsize() > QUEUE_MOST:
            self.dropped += 1
            return
        self._queue.put(lambda: self._header(worker, text))

    def ended(self, end: AttemptEnd) -> None:
        """An attempt's end: one that may have run and brought no answer is charged until its record comes."""
        if end.outcome.result in LOST and end.incarnation:
            self._queue.put(lambda: self._lost(end))

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

    def _offered(self, worker: WorkerSpec, body: bytes) -> None:
        try:
            offered = msgspec.msgpack.decode(body, type=Offered)
        except (msgspec.MsgspecError, ValueError) as error:
            self._refuse(worker.name, f"not readable: {error}")
            return
        if self._incarnations.get(worker.name, offered.incarnation) != offered.incarnation:
            self._dead(worker.name, offered.incarnation)
        self._incarnations[worker.name] = offered.incarnation
        now_wall, memory_kib = self._wall(), self._memory_kib(worker)
        account = self.journal.state
        fresh: list[Received] = []
        for usage in offered.records:
            reason = refusal(usage, worker.name, offered.incarnation, offered.now_us, memory_kib)
            if reason:
                self._refuse(worker.name, f"record {usage.seq}: {reason}")
                self._lies[worker.name].append((usage.incarnation, usage.seq))  # it need not come again
                continue
            key = usage.worker, usage.incarnation, usage.seq
            if account.knows(*key) or key in self._under_way:
                continue
            self._under_way.add(key)
            self._limit(usage)
            at = now_wall - max(0.0, (offered.now_us - usage.end_us) / 1e6)
            fresh.append(Received(usage, at))
        entries: list[AnyEntry] = [*fresh]
        entries += [Confirmed(worker.name, *span) for span in _spans(offered.mine)]
        entries += [Given(worker.name, *number) for number in offered.gone]
        entries += [Replaced(worker.name, id_) for id_ in offered.known]
        if entries:
            ticket = self.journal.append(*entries)
            numbers = [(entry.usage.incarnation, entry.usage.seq) for entry in fresh]
            self._acks[worker.name].append((ticket, numbers))

    def _limit(self, usage: Usage) -> None:
        """Usage counts against budgets from when it is told."""
        if self._limits is None:
            return
        now = self._clock()
        if usage.run or usage.idle:
            self._limits.loaded(usage.function, now)
        for share in split(usage):
            if share.phase is not Phase.IDLE and share.call.tenant:
                self._limits.charge(share.call.tenant, share.amount, now)

    def _refuse(self, worker: str, why: str) -> None:
        self.refused += 1
        log.warning("usage refused", worker=worker, why=why)

    def _lost(self, end: AttemptEnd) -> None:
        call, outcome = end.call, end.outcome
        name = next((n for n in self._workers if worker_number(n) == outcome.worker), "")
        if not name:
            return
        ref = Ref(call.request_id, call.tenant_name, call.class_name)
        amount = int(call.function.memory_mb * 1024) * int(outcome.elapsed_s * 1e6)
        self.journal.append(Provisional(name, end.incarnation, ref, call.function.name, amount, self._wall()))

    def _dead(self, worker: str, incarnation: str) -> None:
        """The incarnation known so far is no more: nothing it did not give will come."""
        for dead in {
            charge.incarnation
            for charge in list(self.journal.state.provisional.values())
            if charge.worker == worker and charge.incarnation != incarnation
        }:
            self.journal.append(Estimated(worker, dead))

    def _ask_all(self) -> None:
        account = self.journal.state
        now = self._clock()
        waiting: dict[str, list[tuple[str, int]]] = defaultdict(list)
        for worker, incarnation, seq in list(account.unconfirmed):
            if self._incarnations.get(worker) == incarnation:  # a dead one can't say whose they are
                waiting[worker].append((incarnation, seq))
        missing: dict[str, list[str]] = defaultdict(list)
        for worker, id_ in list(account.provisional):
            missing[worker].append(id_)
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
            asked = Asked(
                account.gateway, tuple(waiting[name][:ACKS_MOST]), tuple(missing[name][:MISSING_MOST])
            )
            self._ask(spec.number, msgspec.msgpack.encode(asked), self._answer_to(spec))

    def _answer_to(self, spec: WorkerSpec) -> Callable[[bytes | None], None]:
        def done(body: bytes | None) -> None:
            self._queue.put(lambda: self._answered(spec, body))

        return done

    def _answered(self, spec: WorkerSpec, body: bytes | None) -> None:
        self._asked.pop(spec.name, None)
        if body is not None:
            self._offered(spec, body)


def _spans(numbers: Iterable[tuple[str, int]]) -> list[tuple[str, int, int]]:
    """Numbers of incarnations as spans without gaps."""
    spans: list[tuple[str, int, int]] = []
    for incarnation, seq in sorted(numbers):
        if spans and spans[-1][0] == incarnation and spans[-1][2] == seq - 1:
            spans[-1] = incarnation, spans[-1][1], seq
        else:
            spans.append((incarnation, seq, seq))
    return spans
