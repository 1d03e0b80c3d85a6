"""Runs health checks, load and unload commands, and polls for usage records."""

from __future__ import annotations

from saffronstack.engine.dispatch import CommandResult
from saffronstack.http1.messages import HttpError
from saffronstack.routing.events import Result
from saffronstack.upstream.events import function_id
from saffronstack.upstream.http import protocol
from saffronstack.upstream.http.connection_slot import ConnectionSlot
from saffronstack.upstream.http.jobs import (
    CommandJob,
    HealthCheckJob,
    LoadJob,
    UnloadJob,
    UsageJob,
    command_function,
)
from saffronstack.upstream.http.protocol import CommandResponse
from saffronstack.upstream.http.worker_context import WorkerContext

USAGE_TIMEOUT_S = 2.0  # timeout of a poll for usage records


class CommandRunner:
    """Runs commands on the threads of one worker's pool; several threads use it at once."""

    def __init__(self, context: WorkerContext) -> None:
        self._context = context

    def run(self, job: CommandJob, slot: ConnectionSlot) -> None:
        """Run a health check, load command or unload command; the result of an unload is not reported."""
        context = self._context
        started_s = context.clock()
        response = self._exchange(job, slot, started_s + context.limits.command_timeout_s)
        slot.release()
        if not isinstance(job, UnloadJob):
            elapsed_s = context.clock() - started_s
            number = function_id(command_function(job))
            result = CommandResult(
                context.spec.number,
                response.result,
                elapsed_s,
                number,
                response.instances,
                response.load_report,
            )
            context.report(result)

    def _exchange(self, job: CommandJob, slot: ConnectionSlot, deadline_s: float) -> CommandResponse:
        context = self._context
        try:
            connection = slot.acquire(deadline_s)
            if context.is_closed and isinstance(job, LoadJob) and job.instances:
                return CommandResponse(Result.AT_CAPACITY)
            if not connection.send(self._encode(job), deadline_s, context.clock):
                return CommandResponse(Result.CONNECT_FAILED)
            head, body = connection.receive(deadline_s, context.clock)
        except TimeoutError:
            return CommandResponse(Result.TIMEOUT)
        except ConnectionRefusedError:
            return CommandResponse(Result.CONNECT_FAILED)
        except (HttpError, OSError):  # the worker may have received the command
            return CommandResponse(Result.RESET)
        return protocol.interpret_command(head, body)

    def _encode(self, job: CommandJob) -> bytes:
        host = self._context.host
        match job:
            case HealthCheckJob():
                return protocol.encode_health_check(host)
            case LoadJob(function, instances):
                return protocol.encode_load_command(host, function, instances)
            case UnloadJob(function):
                return protocol.encode_unload_command(host, function)

    def poll_usage(self, job: UsageJob, slot: ConnectionSlot) -> None:
        """Acknowledge usage records and poll for more."""
        context = self._context
        deadline_s = context.clock() + USAGE_TIMEOUT_S
        body: bytes | None = None
        try:
            connection = slot.acquire(deadline_s)
            request = protocol.encode_usage_poll(context.host, job.body)
            if connection.send(request, deadline_s, context.clock):
                head, content = connection.receive(deadline_s, context.clock)
                body = content if head.status == 200 else None
        except (HttpError, OSError):  # no response: a later poll requests the records again
            body = None
        slot.release()
        job.on_response(body)
