"""One worker's connection pool: each thread uses at most one connection and runs one job at a time."""

from __future__ import annotations

import queue
import threading
from dataclasses import dataclass

import structlog

from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.routing.events import Result
from saffronstack.runtime.threads import start_detached_thread
from saffronstack.upstream.events import unsent_attempt, unsent_command
from saffronstack.upstream.http.attempt_runner import AttemptRunner
from saffronstack.upstream.http.command_runner import CommandRunner
from saffronstack.upstream.http.connection_slot import ConnectionSlot
from saffronstack.upstream.http.jobs import AttemptJob, Job, UnloadJob, UsageJob, command_function
from saffronstack.upstream.http.worker_context import WorkerContext

log = structlog.get_logger("saffronstack.upstream.http")


@dataclass(frozen=True, slots=True)
class Rejection:
    """The result and reason of a job that can't be queued."""

    result: Result
    reason: str


class HttpPool:
    """Starts threads on demand, up to the connection limit; a thread ends after an idle timeout.

    Thread-safe.
    """

    def __init__(self, context: WorkerContext) -> None:
        self.spec = context.spec
        self.attempt_count = 0  # attempts submitted so far; the dispatcher counts them under its own lock
        self._context = context
        self._attempt_runner = AttemptRunner(context)
        self._command_runner = CommandRunner(context)
        self._jobs: queue.SimpleQueue[Job | None] = queue.SimpleQueue()  # None ends a thread
        self._lock = threading.Lock()  # guards the three counts below
        self._thread_count = 0
        self._idle_threads = 0
        self._queued_jobs = 0

    @property
    def connection_count(self) -> int:
        """Number of connections that are open or being opened."""
        return self._context.idle_connections.open_count

    def update(self, spec: WorkerSpec) -> None:
        """Apply a changed endpoint list entry; a draining worker gets no attempts and no load commands."""
        self.spec = spec
        self._context.is_closed = spec.is_draining

    def stop(self) -> None:
        """Stop sending and close idle connections; idle threads end at once, busy ones after their job."""
        self._context.is_closed = True
        self._context.idle_connections.close()
        with self._lock:
            for _ in range(self._thread_count):
                self._jobs.put(None)

    def submit(self, job: Job) -> None:
        """Queue a job for a thread of this pool; report it as unsent if no thread is or can be available."""
        with self._lock:
            rejection = None if self._idle_threads > self._queued_jobs else self._start_thread()
            if rejection is None:
                self._queued_jobs += 1
                self._jobs.put(job)
        if rejection is not None:  # outside the lock: the receiver of the report takes locks of its own
            self._fail(job, rejection.result, rejection.reason)

    def _start_thread(self) -> Rejection | None:
        """Start one more thread; return why the job can't be queued, else None. The caller holds the lock."""
        if self._thread_count >= self._context.limits.connections:
            return Rejection(Result.AT_CAPACITY, "all connections to the worker are in use")
        try:
            start_detached_thread("worker-exchange", self._run)
        except RuntimeError:  # the system has no more threads: an existing one will take the job
            return None if self._thread_count else Rejection(Result.NOT_STARTED, "no thread could be started")
        self._thread_count += 1
        self._idle_threads += 1
        return None

    # ---- on the pool's threads

    def _run(self) -> None:
        with self._context.connection_slot() as slot:
            while (job := self._next_job()) is not None:
                try:
                    self._execute(job, slot)
                finally:
                    with self._lock:
                        self._idle_threads += 1
        self._context.idle_connections.close_expired()

    def _next_job(self) -> Job | None:
        """Wait for a job; return None if this thread must end."""
        while True:
            try:
                job = self._jobs.get(timeout=self._context.limits.idle_timeout_s)
            except queue.Empty:
                with self._lock:
                    if self._queued_jobs >= self._idle_threads:
                        continue  # a job was queued meanwhile and needs this thread
                    self._idle_threads -= 1
                    self._thread_count -= 1
                    return None
            with self._lock:
                self._idle_threads -= 1
                if job is None:
                    self._thread_count -= 1
                else:
                    self._queued_jobs -= 1
            return job

    def _execute(self, job: Job, slot: ConnectionSlot) -> None:
        """Run a job; if it raises, report it as failed."""
        try:
            if isinstance(job, AttemptJob):
                self._attempt_runner.run(job, slot)
            elif isinstance(job, UsageJob):
                self._command_runner.poll_usage(job, slot)
            else:
                self._command_runner.run(job, slot)
        except Exception:
            log.exception("worker thread failed", worker=self.spec.name)
            slot.close()
            # Whether bytes were sent is unknown here. RESET leaves open whether the worker executed the job.
            self._fail(job, Result.RESET, "the gateway's worker thread failed")

    def _fail(self, job: Job, result: Result, reason: str) -> None:
        """Report a result for a job that did not complete."""
        report, worker_id = self._context.report, self.spec.number
        if isinstance(job, AttemptJob):
            report(unsent_attempt(job.call, job.attempt, worker_id, result, reason))
        elif isinstance(job, UsageJob):
            job.on_response(None)
        elif not isinstance(job, UnloadJob):
            report(unsent_command(worker_id, result, command_function(job)))
