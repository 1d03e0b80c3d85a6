"""What is sent to a worker and answered: attempts and commands, each with exactly one end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from saffronstack.engine.calls import Call, FinalAnswer, FinalStatus, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult, CommandResult, WorkerResponse
from saffronstack.net.write_buffer import OutgoingMessage, SendProgress
from saffronstack.routing.events import AttemptOutcome, CacheStatus, LoadReport, Result
from saffronstack.upstream.events import EventSink, function_id
from saffronstack.upstream.multiplexed import codec

REQUEST_OVERHEAD_BYTES = 256  # of a request's line beside its body
MIN_REMAINING_MS = 1  # workers get to know how long the gateway waits, and zero would be no time at all


class ExchangeWorker(Protocol):
    """What an exchange needs of the worker that it is sent to."""

    worker_id: int
    name: str
    succeeded: int
    failed: int

    @property
    def is_closed(self) -> bool:
        """Whether the worker drains or was removed: nothing new is sent to it."""
        ...


class ExchangeConnection(Protocol):
    """The connection that an exchange was submitted to."""

    def claim(self, exchange: PendingExchange) -> bool:
        """Return whether the first byte may be sent."""
        ...

    def unclaim(self, exchange: PendingExchange) -> None:
        """Take back a claim: the socket took not one byte."""
        ...

    def on_dropped(self, exchange: PendingExchange) -> None:
        """End an exchange that was no longer wanted when its first byte was to be sent."""
        ...

    def abandon(self, exchange: PendingExchange, result: Result, reason: str) -> None:
        """Stop waiting for the response."""
        ...


@dataclass(frozen=True, slots=True)
class ExchangeContext:
    """What all exchanges of a dispatcher share: the receiver of their results, and the clock."""

    report: EventSink
    clock: Callable[[], float]


class PendingExchange(OutgoingMessage):
    """A message that is sent under a tag and awaits its response.

    Exactly one of `on_response` and `on_failure` is called, once.
    """

    __slots__ = (
        "clock",
        "connection",
        "deadline_s",
        "is_finished",
        "is_started",
        "report",
        "submitted_s",
        "tag",
        "worker",
    )

    def __init__(
        self,
        data: bytes,
        tag: str,
        worker: ExchangeWorker,
        deadline_s: float,
        context: ExchangeContext,
        size: int | None = None,
    ) -> None:
        """Create an exchange that expires at ``deadline_s`` (clock time); ``size`` is `OutgoingMessage`'s."""
        super().__init__(data, size)
        self.tag = tag
        self.worker = worker
        self.deadline_s = deadline_s
        self.report = context.report
        self.clock = context.clock
        self.submitted_s = context.clock()
        self.connection: ExchangeConnection | None = None
        self.is_finished = False  # it has ended or was given up: no byte may be sent any more
        self.is_started = False  # its first byte may have been sent

    def prepare_to_send(self) -> bool:
        """Return whether the first byte may be sent now."""
        return not self.worker.is_closed and self.clock() < self.deadline_s and self.claim()

    def claim(self) -> bool:
        """Return whether it was not given up; from then on nobody may report it as not sent."""
        return self.connection is None or self.connection.claim(self)

    def on_blocked(self) -> None:
        """Record that it is still unsent: whoever gives it up now may report that."""
        if self.connection is not None:
            self.connection.unclaim(self)

    def on_dropped(self) -> None:
        """End it: it was no longer wanted, and no byte of it is sent."""
        if self.connection is not None:
            self.connection.on_dropped(self)

    def on_response(self, response: codec.ExchangeResponse) -> None:
        """End it with the worker's response; runs on the read loop's thread."""
        raise NotImplementedError

    def on_failure(self, result: Result, reason: str) -> None:
        """End it without a response."""
        raise NotImplementedError

    def result_on_connection_loss(self) -> Result:
        """Return the result where the connection breaks: a worker never reads a line that is not complete."""
        return Result.RESET if self.progress is SendProgress.COMPLETE else Result.CONNECT_FAILED


class AttemptExchange(PendingExchange):
    """One attempt of a call."""

    __slots__ = ("attempt", "call")

    def __init__(
        self, call: Call, attempt: int, worker: ExchangeWorker, deadline_s: float, context: ExchangeContext
    ) -> None:
        size = REQUEST_OVERHEAD_BYTES + len(call.payload) * 4 // 3  # in base64
        super().__init__(b"", call.request_id, worker, deadline_s, context, size)
        self.call = call
        self.attempt = attempt

    def prepare_to_send(self) -> bool:
        """Return whether the first byte may be sent now; encode the request if so.

        Nothing is sent for a call that has its final answer, or too late to be of use. The line is encoded
        only now, with the time that is left now: it may have waited for a connection or in a write buffer.
        """
        call = self.call
        remaining_ms = int((self.deadline_s - self.clock()) * 1000)
        if call.is_finished or remaining_ms < MIN_REMAINING_MS or not super().prepare_to_send():
            return False
        self.data = codec.encode_request(
            call.request_id, call.class_name, call.function.name, remaining_ms, call.payload
        )
        return True

    def on_response(self, response: codec.ExchangeResponse) -> None:
        """End the attempt; a successful one answers the call here, ahead of the decision thread."""
        result = codec.RESULT_BY_TYPE.get(response.message_type)
        if result is None:  # the reply to a ping, under the tag of a request
            self.on_failure(self.result_on_connection_loss(), "the response belongs to no request")
            return
        answer = None
        if result is Result.ERROR:
            self.worker.failed += 1
        elif result is Result.OK:
            self.worker.succeeded += 1
            answer = WorkerResponse(response.body)
            self.call.finish(
                FinalAnswer(
                    FinalStatus.SERVED, response.body, attempts=self.attempt + 1, worker=self.worker.name
                )
            )
        concurrency = (response.concurrency or 0) if result in (Result.OK, Result.AT_CAPACITY) else None
        outcome = self._outcome(result, response.cache_status, concurrency, response.load_report)
        self.report(AttemptResult(self.call, outcome, answer))

    def on_failure(self, result: Result, reason: str) -> None:
        """End the attempt without a response."""
        self.worker.failed += 1
        self.report(AttemptResult(self.call, self._outcome(result), reason=reason))

    def _outcome(
        self,
        result: Result,
        cache_status: CacheStatus = CacheStatus.UNKNOWN,
        concurrency: int | None = None,
        load_report: LoadReport | None = None,
    ) -> AttemptOutcome:
        return AttemptOutcome(
            self.call.number,
            self.attempt,
            self.worker.worker_id,
            result,
            self.clock() - self.submitted_s,
            self.call.is_finished,
            cache_status,
            concurrency,
            load_report,
        )


class CommandExchange(PendingExchange):
    """A load command, or a health check of the connection (no function)."""

    __slots__ = ("function", "instances")

    def __init__(
        self,
        tag: str,
        function: FunctionSpec | None,
        instances: int,
        worker: ExchangeWorker,
        deadline_s: float,
        context: ExchangeContext,
    ) -> None:
        if function is None:
            line = codec.encode_ping(tag)
        else:
            line = codec.encode_load_command(tag, function.name, instances)
        super().__init__(line, tag, worker, deadline_s, context)
        self.function = function
        self.instances = instances

    def prepare_to_send(self) -> bool:
        """Return whether it may be sent; a mere question puts no load on a worker that drains."""
        return super().prepare_to_send() if self.instances else self.claim()

    def on_response(self, response: codec.ExchangeResponse) -> None:
        """End it with the number of instances that are loaded."""
        result = codec.RESULT_BY_TYPE.get(response.message_type)
        if result is None:
            result = Result.OK if response.message_type == codec.TYPE_PING_REPLY else Result.ERROR
        self._report_result(result, response.instances, response.load_report)

    def on_failure(self, result: Result, reason: str) -> None:
        """End it without a response."""
        self._report_result(result, 0, None)

    def _report_result(self, result: Result, instances: int, load_report: LoadReport | None) -> None:
        elapsed_s = self.clock() - self.submitted_s
        number = function_id(self.function)
        self.report(CommandResult(self.worker.worker_id, result, elapsed_s, number, instances, load_report))
