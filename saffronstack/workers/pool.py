"""One worker's connections: threads that each hold at most one, and take one job at a time."""

from __future__ import annotations

import queue
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import structlog

from saffronstack.engine.calls import Call, FinalAnswer, FinalStatus, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult, CommandResult, WorkerObservation
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.http1.messages import HttpError, Limits, ResponseHead
from saffronstack.http1.reader import MessageReader
from saffronstack.http1.sockets import PeerClosed, Stream, read_until
from saffronstack.routing.events import AttemptOutcome, Result
from saffronstack.runtime.threads import start_thread
from saffronstack.workers import protocol

log = structlog.get_logger("saffronstack.workers")
USAGE_S = 2.0  # how long a worker may take to answer a question about usage
Tell = Callable[[AttemptResult | CommandResult | WorkerObservation], None]


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Bounds of the connections to one worker; times in seconds."""

    connections: int = 256
    connect_timeout_s: float = 1.0
    idle_s: float = 20.0
    order_timeout_s: float = 10.0
    messages: Limits = field(default_factory=Limits)


@dataclass(eq=False, slots=True)
class AttemptJob:
    """An attempt to carry out."""

    call: Call
    number: int
    deadline_s: float
    worker: int = 0
    cancelled: bool = False
    connection: Connection | None = None

    def cancel(self) -> None:
        """Stop waiting, from any thread: the read of its thread ends at once."""
        self.cancelled = True
        connection = self.connection
        if connection is not None:
            connection.abort()


@dataclass(eq=False, slots=True)
class OrderJob:
    """A probe (no function) or an order; ``unload`` expects no end."""

    function: FunctionSpec | None
    copies: int = 0
    unload: bool = False


@dataclass(eq=False, slots=True)
class UsageJob:
    """Acknowledge records of usage and ask for more; ``done`` hears the answer, None where none came."""

    body: bytes
    done: Callable[[bytes | None], None]


class Heed(Protocol):
    """Hears what workers say of usage, on their threads; returns at once."""

    def invite(self, worker: int) -> str:
        """The name by which a worker may give records with its answer; empty: it need not."""
        ...

    def heard(self, worker: WorkerSpec, text: str) -> None:
        """The usage header of an answer."""
        ...

    def ended(self, end: AttemptResult) -> None:
        """An attempt's end."""
        ...


class Connection:
    """One connection to a worker, used by one thread at a time."""

    def __init__(self, sock: socket.socket, limits: Limits) -> None:
        self._stream = Stream(sock)
        self._reader = MessageReader(limits)
        self.keep = True

    def clean(self) -> bool:
        """Whether it can carry another request: still open, and nothing unasked has come."""
        return not self._reader.pending and self._stream.silent()

    def send(self, data: bytes, deadline_s: float, clock: Callable[[], float]) -> bool:
        """As `Stream.send`; a connection that did not take it all is not kept."""
        keep, self.keep = self.keep, False
        if not self._stream.send(data, deadline_s, clock):
            return False
        self.keep = keep
        return True

    def receive(self, deadline_s: float, clock: Callable[[], float]) -> tuple[ResponseHead, bytes]:
        """The response; TimeoutError, PeerClosed, OSError or HttpError where none comes whole."""
        self.keep = False
        head = read_until(self._stream, self._reader, self._reader.response, deadline_s, clock)
        body = read_until(self._stream, self._reader, self._reader.body, deadline_s, clock)
        self.keep = head.keep_alive
        return head, body

    def abort(self) -> None:
        """End it under the thread that uses it."""
        self.keep = False
        self._stream.abort()

    def close(self) -> None:
        """Close it."""
        self._stream.close()


class WorkerPool:
    """Threads are started as jobs need them, up to the bound, and end after a while without one."""

    def __init__(
        self,
        spec: WorkerSpec,
        limits: PoolLimits,
        tell: Tell,
        clock: Callable[[], float],
        heed: Heed | None = None,
    ) -> None:
        self.spec = spec
        self.limits = limits
        self.closed = False  # told as draining or gone: nothing new leaves, whatever was queued
        self.attempts = 0  # given to it so far; counted by whoever submits, under a lock of its own
        self._tell = tell
        self._heed = heed
        self._clock = clock
        self._jobs: queue.SimpleQueue[AttemptJob | OrderJob | UsageJob | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._threads = 0
        self._idle = 0
        self._taken = 0  # jobs queued and not yet taken by a thread
        self._incarnation = ""

    # ---- from the decision thread and from rereads of the list

    def submit(self, job: AttemptJob | OrderJob | UsageJob) -> None:
        """Carry out a job on a thread of this pool. At the bound it ends as full, unsent."""
        with self._lock:
            refused = None if self._idle > self._taken else self._grow()
            if refused is None:
                self._taken += 1
                self._jobs.put(job)
        if refused is not None:  # told outside the lock: whoever hears of it holds locks of its own
            self._refuse(job, *refused)

    def _grow(self) -> tuple[Result, str] | None:
        """One thread more, or why the job can't be taken. The caller holds the lock."""
        if self._threads >= self.limits.connections:
            return Result.AT_CAPACITY, "all connections to the worker are in use"
        try:
            start_thread(f"worker-{self.spec.name}", self._run)
        except RuntimeError:
            return None if self._threads else (Result.NOT_STARTED, "no thread could be started")
        self._threads += 1
        self._idle += 1
        return None

    def close(self) -> None:
        """Nothing new to this worker; what is out goes on."""
        self.closed = True

    def reopen(self) -> None:
        """The worker is ready again."""
        self.closed = False

    def end(self) -> None:
        """The worker is gone: idle threads and connections end at once, busy ones after their job."""
        self.closed = True
        with self._lock:
            for _ in range(self._threads):
                self._jobs.put(None)

    @property
    def threads(self) -> int:
        """Threads, and so connections at most."""
        return self._threads

    # ---- the threads

    def _run(self) -> None:
        connection: Connection | None = None
        try:
            while True:
                try:
                    job = self._jobs.get(timeout=self.limits.idle_s)
                except queue.Empty:
                    with self._lock:  # a job queued in this moment counted on this thread
                        if self._taken >= self._idle:
                            continue
                        self._idle -= 1
                        self._threads -= 1
                        return
                with self._lock:
                    self._idle -= 1
                    if job is None:
                        self._threads -= 1
                        return
                    self._taken -= 1
                try:
                    connection = self._carry_out(job, connection)
                finally:
                    with self._lock:
                        self._idle += 1
        finally:
            if connection is not None:
                connection.close()

    def _carry_out(
        self, job: AttemptJob | OrderJob | UsageJob, connection: Connection | None
    ) -> Connection | None:
        """Do a job and tell its end, whatever happens; the connection that is left for the next."""
        try:
            if isinstance(job, AttemptJob):
                return self._attempt(job, connection)
            if isinstance(job, UsageJob):
                return self._ask_usage(job, connection)
            return self._order(job, connection)
        except Exception:
            log.exception("worker thread failed", worker=self.spec.name)
            if connection is not None:
                connection.close()
            # Whether bytes left is not known here: RESET claims nothing.
            self._refuse(job, Result.RESET, "the gateway's worker thread failed")
            return None

    def _refuse(self, job: AttemptJob | OrderJob | UsageJob, result: Result, reason: str) -> None:
        if isinstance(job, AttemptJob):
            outcome = AttemptOutcome(
                job.call.number, job.number, self.spec.number, result, 0.0, job.call.is_finished
            )
            self._tell(AttemptResult(job.call, outcome, reason=reason))
        elif isinstance(job, UsageJob):
            job.done(None)
        elif not job.unload:
            number = None if job.function is None else job.function.number
            self._tell(CommandResult(self.spec.number, result, 0.0, number))

    def _connected(self, connection: Connection | None, deadline_s: float) -> Connection:
        """A usable connection; OSError where none can be made in time."""
        if connection is not None:
            if connection.clean():
                return connection
            connection.close()
        left = min(self.limits.connect_timeout_s, deadline_s - self._clock())
        if left <= 0:
            raise TimeoutError("no time left to connect")
        sock = socket.create_connection((self.spec.host, self.spec.port), timeout=left)
        return Connection(sock, self.limits.messages)

    def _attempt(self, job: AttemptJob, connection: Connection | None) -> Connection | None:
        started_s = self._clock()
        call = job.call
        judged, connection = self._exchange(job, connection)
        final = None
        if judged.answer is not None:
            final = FinalAnswer(
                FinalStatus.SERVED,
                judged.answer.payload,
                judged.answer.function_error,
                judged.answer.log_tail,
                attempts=job.number + 1,
                worker=self.spec.name,
            )
            call.finish(final)
        if judged.incarnation and judged.incarnation != self._incarnation:
            self._incarnation = judged.incarnation
            self._tell(WorkerObservation(self.spec.number, judged.incarnation, judged.uptime_s))
        outcome = AttemptOutcome(
            call.number,
            job.number,
            self.spec.number,
            judged.result,
            self._clock() - started_s,
            call.is_finished,
            judged.found,
            judged.crowd,
            judged.report,
        )
        if judged.usage and self._heed is not None:
            self._heed.heard(self.spec, judged.usage)
        end = AttemptResult(call, outcome, judged.answer, judged.reason, self._incarnation, judged.held)
        if self._heed is not None:
            self._heed.ended(end)
        self._tell(end)
        if connection is not None and not connection.keep:
            connection.close()
            connection = None
        return connection

    def _stands(self, job: AttemptJob) -> bool:
        """Whether the attempt may still go out: asked right before its first byte."""
        return not (self.closed or job.cancelled or job.call.is_finished) and self._clock() < job.deadline_s

    def _exchange(
        self, job: AttemptJob, connection: Connection | None
    ) -> tuple[protocol.Judged, Connection | None]:
        call, host = job.call, f"{self.spec.host}:{self.spec.port}"
        moot = protocol.Judged(Result.NOT_STARTED, reason="no longer wanted when it was to be sent")
        guard = call.guard
        if not self._stands(job):
            return moot, connection
        for _ in range(2):  # a kept connection may turn out closed when nothing has left yet
            try:
                connection = self._connected(connection, job.deadline_s)
            except OSError as error:
                return protocol.Judged(Result.CONNECT_FAILED, reason=str(error)), None
            if guard is not None:
                if not guard.may_send(job.number, self.spec.number):
                    return protocol.Judged(
                        Result.NOT_STARTED, reason="the ledger could not note it"
                    ), connection
                guard = None
            if not self._stands(job):
                return moot, connection
            job.connection = connection
            gateway = self._heed.invite(self.spec.number) if self._heed is not None else ""
            request = protocol.invoke(host, call, job.number, job.deadline_s - self._clock(), gateway)
            try:
                if not connection.send(request, job.deadline_s, self._clock):
                    continue
                head, body = connection.receive(job.deadline_s, self._clock)
            except TimeoutError:
                if job.cancelled:
                    return protocol.Judged(Result.CANCELLED, reason="cancelled"), connection
                return protocol.Judged(Result.TIMEOUT, reason="no answer in time"), connection
            except (HttpError, OSError, PeerClosed) as error:
                result = Result.CANCELLED if job.cancelled else Result.RESET
                return protocol.Judged(result, reason=str(error)), connection
            finally:
                job.connection = None
            return protocol.judge(head, body), connection
        return protocol.Judged(Result.CONNECT_FAILED, reason="the connection took no byte"), connection

    def _order(self, job: OrderJob, connection: Connection | None) -> Connection | None:
        started_s = self._clock()
        deadline_s = started_s + self.limits.order_timeout_s
        host = f"{self.spec.host}:{self.spec.port}"
        result, copies, report = Result.RESET, 0, None
        if job.function is None:
            request = protocol.probe(host)
        elif job.unload:
            request = protocol.unload(host, job.function)
        else:
            request = protocol.order(host, job.function, job.copies)
        try:
            connection = self._connected(connection, deadline_s)
            if self.closed and job.copies:
                result = Result.AT_CAPACITY
            elif connection.send(request, deadline_s, self._clock):
                head, body = connection.receive(deadline_s, self._clock)
                report = protocol.report_of(head.headers)
                result = (
                    Result.OK
                    if head.status in (200, 204)
                    else Result.AT_CAPACITY
                    if head.status == 429
                    else Result.ERROR
                )
                copies = int(body) if body.isdigit() and len(body) < 4 else 0
            else:
                result = Result.CONNECT_FAILED
        except TimeoutError:
            result = Result.TIMEOUT
        except ConnectionRefusedError:
            result = Result.CONNECT_FAILED
        except (HttpError, OSError):
            result = Result.RESET
        if not job.unload:
            number = None if job.function is None else job.function.number
            self._tell(
                CommandResult(self.spec.number, result, self._clock() - started_s, number, copies, report)
            )
        if connection is not None and not connection.keep:
            connection.close()
            connection = None
        return connection

    def _ask_usage(self, job: UsageJob, connection: Connection | None) -> Connection | None:
        deadline_s = self._clock() + USAGE_S
        body: bytes | None = None
        try:
            connection = self._connected(connection, deadline_s)
            request = protocol.usage(f"{self.spec.host}:{self.spec.port}", job.body)
            if connection.send(request, deadline_s, self._clock):
                head, content = connection.receive(deadline_s, self._clock)
                body = content if head.status == 200 else None
        except (HttpError, OSError):
            body = None
        job.done(body)
        if connection is not None and not connection.keep:
            connection.close()
            connection = None
        return connection
