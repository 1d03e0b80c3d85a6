"""Exchanges: attempts and commands that await a response from a worker; each ends exactly once."""

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

REQUEST_OVERHEAD_BYTES = 256  # estimated size of a request's line without its body
MIN_REMAINING_MS = 1  # with less, an attempt is not sent: the worker would be told that 0 ms remain


class ExchangeWorker(Protocol):
    """The worker that an exchange is sent to, and its counts of attempts."""

    worker_id: int
    name: str
    succeeded: int
    failed: int

    @property
    def is_closed(self) -> bool:
        """Whether the worker is draining or was removed, so that nothing new is sent to it."""
        ...


class ExchangeConnection(Protocol):
    """The connection that an exchange was submitted to."""

    def claim(self, exchange: PendingExchange) -> bool:
        """Return whether the first byte of an exchange may be sent."""
        ...

    def unclaim(self, exchange: PendingExchange) -> None:
        """Undo a claim because the socket accepted not a single byte."""
        ...

    def on_dropped(self, exchange: PendingExchange) -> None:
        """End an exchange that became obsolete before its first byte was sent."""
        ...

    def abandon(self, exchange: PendingExchange, result: Result, reason: str) -> None:
        """End an exchange without its response."""
        ...


@dataclass(frozen=True, slots=True)
class ExchangeContext:
    """The receiver of the results and the clock (monotonic time in seconds) for exchanges."""

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
        """Create an exchange that expires at ``deadline_s`` (clock time).

        ``size`` is what it counts for in a write buffer if ``data`` is encoded only when it is sent.
        """
        super().__init__(data, size)
        self.tag = tag
        self.worker = worker
        self.deadline_s = deadline_s
        self.report = context.report
        self.clock = context.clock
        self.submitted_s = context.clock()
        self.connection: ExchangeConnection | None = None
        self.is_finished = False  # it has ended or was abandoned, so its first byte must not be sent
        self.is_started = False  # whether its first byte may have been sent

    def prepare_to_send(self) -> bool:
        """Return whether the first byte may be sent now."""
        return not self.worker.is_closed and self.clock() < self.deadline_s and self.claim()

    def claim(self) -> bool:
        """Return whether the first byte may be sent; if so, it must not be reported as unsent any more."""
        return self.connection is None or self.connection.claim(self)

    def on_blocked(self) -> None:
        """Undo the claim: the exchange is still unsent and may be reported as unsent."""
        if self.connection is not None:
            self.connection.unclaim(self)

    def on_dropped(self) -> None:
        """End the exchange as unsent: it became obsolete before its first byte was sent."""
        if self.connection is not None:
            self.connection.on_dropped(self)

    def on_response(self, response: codec.ExchangeResponse) -> None:
        """End the exchange with the worker's response; called on the read loop's thread."""
        raise NotImplementedError

    def on_failure(self, result: Result, reason: str) -> None:
        """End the exchange without a response."""
        raise NotImplementedError

    def result_on_connection_loss(self) -> Result:
        """Return the result if the connection fails; a worker never processes an incomplete line."""
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

        Nothing is sent for a call that has its final answer, if no time remains, or once the attempt may not
        start any more. The line is encoded only
        now because it contains the remaining time, and the attempt may have waited for a connection or in a
        write buffer.
        """
        call, now = self.call, self.clock()
        remaining_ms = int((self.deadline_s - now) * 1000)
        is_too_late = remaining_ms < MIN_REMAINING_MS or now >= call.latest_start_s
        if is_too_late:
            return False
        call.may_have_been_sent = True
        if call.is_finished or not super().prepare_to_send():
            return False
        self.data = codec.encode_request(
            call.request_id, call.class_name, call.function.name, remaining_ms, call.payload
        )
        return True

    def on_response(self, response: codec.ExchangeResponse) -> None:
        """End the attempt; a success finishes the call here, without waiting for the decision thread."""
        result = codec.RESULT_BY_TYPE.get(response.message_type)
        if result is None:  # a ping reply with the tag of a request
            self.on_failure(self.result_on_connection_loss(), "the response belongs to no request")
            return
        worker_response = None
        if result is Result.ERROR:
            self.worker.failed += 1
        elif result is Result.OK:
            self.worker.succeeded += 1
            worker_response = WorkerResponse(response.body)
            self.call.finish(
                FinalAnswer(
                    FinalStatus.SERVED, response.body, attempts=self.attempt + 1, worker=self.worker.name
                )
            )
        concurrency = (response.concurrency or 0) if result in (Result.OK, Result.AT_CAPACITY) else None
        outcome = self._outcome(result, response.cache_status, concurrency, response.load_report)
        self.report(AttemptResult(self.call, outcome, worker_response))

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
    """A load command, or a health check of the connection (``function`` is None)."""

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
        """Return whether the first byte may be sent now.

        A command with 0 instances is sent to a draining worker too: a query or health check loads nothing.
        """
        return super().prepare_to_send() if self.instances else self.claim()

    def on_response(self, response: codec.ExchangeResponse) -> None:
        """End the command with the number of loaded instances."""
        result = codec.RESULT_BY_TYPE.get(response.message_type)
        if result is None:
            result = Result.OK if response.message_type == codec.TYPE_PING_REPLY else Result.ERROR
        self._report_result(result, response.instances, response.load_report)

    def on_failure(self, result: Result, reason: str) -> None:
        """End the command without a response."""
        self._report_result(result, 0, None)

    def _report_result(self, result: Result, instances: int, load_report: LoadReport | None) -> None:
        elapsed_s = self.clock() - self.submitted_s
        number = function_id(self.function)
        self.report(CommandResult(self.worker.worker_id, result, elapsed_s, number, instances, load_report))
