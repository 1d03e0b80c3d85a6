"""Runs attempts: sends a call's request to a worker and reports the result."""

from __future__ import annotations

from saffronstack.engine.calls import FinalAnswer, FinalStatus
from saffronstack.engine.dispatch import AttemptResult, WorkerObservation
from saffronstack.http1.messages import HttpError
from saffronstack.http1.sockets import PeerClosed
from saffronstack.routing.events import AttemptOutcome, Result
from saffronstack.upstream.http import protocol
from saffronstack.upstream.http.connection import HttpConnection
from saffronstack.upstream.http.connection_slot import ConnectionSlot
from saffronstack.upstream.http.jobs import AttemptJob
from saffronstack.upstream.http.protocol import AttemptResponse
from saffronstack.upstream.http.worker_context import WorkerContext

MAX_SENDS = 2  # the second for a keep-alive connection that the worker closed before the first byte
NOT_SENT = AttemptResponse(Result.NOT_STARTED, reason="no longer wanted when it was to be sent")


class AttemptRunner:
    """Runs attempts on the threads of one worker's pool; several threads use it at once."""

    def __init__(self, context: WorkerContext) -> None:
        self._context = context

    def run(self, job: AttemptJob, slot: ConnectionSlot) -> None:
        """Run an attempt, return its connection and report the result."""
        context = self._context
        started_s = context.clock()
        response = self._send(job, slot)
        slot.release()
        if response.worker_response is not None:
            self._finish_call(job, response)
        if response.incarnation and response.incarnation != context.incarnation:
            context.incarnation = response.incarnation
            context.report(WorkerObservation(context.spec.number, response.incarnation, response.uptime_s))
        outcome = AttemptOutcome(
            job.call.number,
            job.attempt,
            context.spec.number,
            response.result,
            context.clock() - started_s,
            job.call.is_finished,
            response.cache_status,
            response.concurrency,
            response.load_report,
        )
        self._report(job, response, outcome)

    def _finish_call(self, job: AttemptJob, response: AttemptResponse) -> None:
        worker_response = response.worker_response
        assert worker_response is not None
        final = FinalAnswer(
            FinalStatus.SERVED,
            worker_response.payload,
            worker_response.function_error,
            worker_response.log_tail,
            attempts=job.attempt + 1,
            worker=self._context.spec.name,
        )
        job.call.finish(final)

    def _report(self, job: AttemptJob, response: AttemptResponse, outcome: AttemptOutcome) -> None:
        context = self._context
        observer = context.usage_observer
        if response.usage_records and observer is not None:
            observer.on_usage_records(context.spec, response.usage_records)
        result = AttemptResult(
            job.call,
            outcome,
            response.worker_response,
            response.reason,
            context.incarnation,
            response.memory_time_kib_us,
        )
        if observer is not None:
            observer.on_attempt_result(result)
        context.report(result)

    def _may_send(self, job: AttemptJob) -> bool:
        """Return whether the attempt may still be sent; checked immediately before its first byte."""
        if job.call.before_send is not None and not job.call.is_finished:
            job.call.before_send()
        is_obsolete = self._context.is_closed or job.is_cancelled or job.call.is_finished
        return not is_obsolete and self._context.clock() < min(job.deadline_s, job.call.latest_start_s)

    def _send(self, job: AttemptJob, slot: ConnectionSlot) -> AttemptResponse:
        """Send the request, on a second connection if the first accepts no byte, and return the response."""
        if not self._may_send(job):
            return NOT_SENT
        guard = job.call.guard
        for _ in range(MAX_SENDS):
            try:
                connection = slot.acquire(job.deadline_s)
            except OSError as error:
                return AttemptResponse(Result.CONNECT_FAILED, reason=str(error))
            if guard is not None:
                if not guard.may_send(job.call.guarded_attempts):
                    return AttemptResponse(Result.NOT_STARTED, reason="the ledger could not note it")
                guard = None  # the guard is asked once per attempt, however often the request is sent
            if not self._may_send(job):
                return NOT_SENT
            response = self._exchange(job, connection)
            if response is not None:
                return response
        return AttemptResponse(Result.CONNECT_FAILED, reason="the connection took no byte")

    def _exchange(self, job: AttemptJob, connection: HttpConnection) -> AttemptResponse | None:
        """Send the request and wait for its response; return None if not a single byte was sent."""
        clock = self._context.clock
        job.connection = connection  # set first, so that a cancellation from here on aborts the connection
        request = self._encode(job)
        try:
            if not connection.send(request, job.deadline_s, clock):
                return None
            head, body = connection.receive(job.deadline_s, clock)
        except TimeoutError:
            if job.is_cancelled:
                return AttemptResponse(Result.CANCELLED, reason="cancelled")
            return AttemptResponse(Result.TIMEOUT, reason="no answer in time")
        except (HttpError, OSError, PeerClosed) as error:
            result = Result.CANCELLED if job.is_cancelled else Result.RESET
            return AttemptResponse(result, reason=str(error))
        finally:
            job.connection = None
        return protocol.interpret_attempt(head, body)

    def _encode(self, job: AttemptJob) -> bytes:
        context = self._context
        observer = context.usage_observer
        gateway = "" if observer is None else observer.gateway_name_for(context.spec.number)
        remaining_s = job.deadline_s - context.clock()
        return protocol.encode_invocation(context.host, job.call, job.attempt, remaining_s, gateway)
