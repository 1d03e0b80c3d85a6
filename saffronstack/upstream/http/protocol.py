"""Encodes requests to workers and interprets their responses (docs/worker-protocol.md). No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.engine.dispatch import WorkerResponse
from saffronstack.http1 import writer
from saffronstack.http1.messages import Headers, ResponseHead
from saffronstack.routing.events import CacheStatus, LoadReport, Result

INVOCATION_PATH = "/2015-03-31/functions/function/invocations"
USAGE_PATH = "/saffron/v1/usage"
INSTANCES_PATH = "/saffron/v1/copies/"
LOAD_REPORT_PATH = "/saffron/v1/report"
# Request headers.
HEADER_REQUEST_ID = "X-Amzn-RequestId"
HEADER_ATTEMPT = "X-Saffron-Attempt"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"
HEADER_REMAINING_MS = "X-Saffron-Left-Ms"
HEADER_TENANT = "X-Saffron-Tenant"
HEADER_CLASS = "X-Saffron-Class"
HEADER_GATEWAY = "X-Saffron-Gateway"
HEADER_CLIENT_CONTEXT = "X-Amz-Client-Context"
HEADER_LOG_TYPE = "X-Amz-Log-Type"
HEADER_FUNCTION = "X-Saffron-Function"
HEADER_MEMORY_MB = "X-Saffron-Memory-Mb"
HEADER_CONCURRENCY_LIMIT = "X-Saffron-Lanes"
# Response headers.
HEADER_CACHE_STATUS = "x-saffron-found"
HEADER_CONCURRENCY = "x-saffron-crowd"
HEADER_INCARNATION = "x-saffron-incarnation"
HEADER_UPTIME_MS = "x-saffron-uptime-ms"
HEADER_EXECUTED = "x-saffron-ran"
HEADER_FUNCTION_ERROR = "x-amz-function-error"
HEADER_LOG_TAIL = "x-amz-log-result"
HEADER_USAGE_RECORDS = "x-saffron-usage"
HEADER_MEMORY_TIME = "x-saffron-held"
HEADER_REQUESTS_IN_FLIGHT = "x-saffron-in-hand"
HEADER_REQUESTS_QUEUED = "x-saffron-waiting"
HEADER_CPU_UTILIZATION = "x-saffron-busy"
HEADER_LOADS_IN_PROGRESS = "x-saffron-loads"
NOT_EXECUTED = "no"  # value of `HEADER_EXECUTED`: the worker did not execute the function
CACHE_STATUS_BY_HEADER_VALUE = {
    "warm": CacheStatus.WARM,
    "began-load": CacheStatus.STARTED_LOAD,
    "awaited-load": CacheStatus.JOINED_LOAD,
    "load-failed": CacheStatus.LOAD_FAILED,
}
MAX_INCARNATION_CHARACTERS = 64
MAX_INTEGER_DIGITS = 18
MAX_NUMBER_CHARACTERS = 20
MAX_NUMBER = 1e15
MAX_INSTANCE_DIGITS = 3


@dataclass(frozen=True, slots=True)
class AttemptResponse:
    """The interpreted response to an attempt, or the reason why there is none.

    Attributes:
        result: How the attempt ended.
        cache_status: Whether the function was loaded when the request arrived.
        concurrency: Other requests that the instance executed concurrently; None if not reported.
        load_report: The worker's load; None if not reported.
        worker_response: The function's response; None unless the attempt succeeded.
        incarnation: The incarnation of the worker that responded; empty if not reported.
        uptime_s: Seconds since that incarnation started.
        reason: Why the attempt failed.
        usage_records: Usage records of the worker's instances, in base64.
        memory_time_kib_us: Memory-time that this call used, in KiB times microseconds; 0 if not reported.
    """

    result: Result
    cache_status: CacheStatus = CacheStatus.UNKNOWN
    concurrency: int | None = None
    load_report: LoadReport | None = None
    worker_response: WorkerResponse | None = None
    incarnation: str = ""
    uptime_s: float = 0.0
    reason: str = ""
    usage_records: str = ""
    memory_time_kib_us: int = 0


@dataclass(frozen=True, slots=True)
class CommandResponse:
    """The interpreted response to a health check or a load command."""

    result: Result
    instances: int = 0
    load_report: LoadReport | None = None


def encode_invocation(host: str, call: Call, attempt: int, remaining_s: float, gateway: str = "") -> bytes:
    """Encode the request of an attempt.

    Args:
        host: Host and port of the worker.
        call: The call.
        attempt: The index of the attempt, from 0.
        remaining_s: Seconds that the gateway will wait for the response.
        gateway: The gateway name that invites the worker to attach usage records to its response; empty for
            no invitation.
    """
    headers = [
        ("Host", host),
        ("Content-Type", "application/json"),
        (HEADER_REQUEST_ID, call.request_id),
        (HEADER_ATTEMPT, str(attempt)),
        (HEADER_IDEMPOTENCY_KEY, call.key or call.request_id),
        (HEADER_REMAINING_MS, str(max(0, int(remaining_s * 1000)))),
        (HEADER_TENANT, call.tenant_name),
        (HEADER_CLASS, call.class_name),
        *_function_headers(call.function),
    ]
    if gateway:
        headers.append((HEADER_GATEWAY, gateway))
    if call.client_context:
        headers.append((HEADER_CLIENT_CONTEXT, call.client_context))
    if call.wants_log:
        headers.append((HEADER_LOG_TYPE, "Tail"))
    return writer.request("POST", INVOCATION_PATH, headers, call.payload)


def _function_headers(function: FunctionSpec) -> list[tuple[str, str]]:
    return [
        (HEADER_FUNCTION, function.name),
        (HEADER_MEMORY_MB, f"{function.memory_mb:g}"),
        (HEADER_CONCURRENCY_LIMIT, str(function.concurrency)),
    ]


def encode_load_command(host: str, function: FunctionSpec, instances: int) -> bytes:
    """Encode a command to load ``instances`` instances; 0 only queries the number loaded."""
    target = _instances_target(function)
    headers = [("Host", host), *_function_headers(function)]
    if not instances:
        return writer.request("GET", target, headers)
    return writer.request("PUT", f"{target}?count={instances}", headers)


def encode_unload_command(host: str, function: FunctionSpec) -> bytes:
    """Encode a command to unload a function's idle instances."""
    headers = [("Host", host), *_function_headers(function)]
    return writer.request("DELETE", _instances_target(function), headers)


def _instances_target(function: FunctionSpec) -> str:
    return INSTANCES_PATH + quote(function.name, safe="")


def encode_health_check(host: str) -> bytes:
    """Encode a health check: a request for the worker's load report."""
    return writer.request("GET", LOAD_REPORT_PATH, [("Host", host)])


def encode_usage_poll(host: str, body: bytes) -> bytes:
    """Encode a poll for usage records; ``body`` is MessagePack and acknowledges earlier records."""
    return writer.request("POST", USAGE_PATH, [("Host", host)], body)


def interpret_attempt(head: ResponseHead, body: bytes) -> AttemptResponse:
    """Interpret the response to an attempt.

    Only `HEADER_EXECUTED` with the value `NOT_EXECUTED` proves that the function was not executed.
    """
    headers = head.headers
    concurrency = _parse_number(headers.get(HEADER_CONCURRENCY))
    result = _attempt_result(head)
    worker_response = None
    if result is Result.OK:
        worker_response = WorkerResponse(
            body, headers.get(HEADER_FUNCTION_ERROR), headers.get(HEADER_LOG_TAIL)
        )
    return AttemptResponse(
        result,
        CACHE_STATUS_BY_HEADER_VALUE.get(headers.get(HEADER_CACHE_STATUS), CacheStatus.UNKNOWN),
        None if concurrency is None else int(concurrency),
        decode_load_report(headers),
        worker_response,
        headers.get(HEADER_INCARNATION)[:MAX_INCARNATION_CHARACTERS],
        (_parse_number(headers.get(HEADER_UPTIME_MS)) or 0.0) / 1000,
        f"worker answered {head.status}" if result is Result.ERROR else "",
        headers.get(HEADER_USAGE_RECORDS),
        _parse_integer(headers.get(HEADER_MEMORY_TIME)),
    )


def _attempt_result(head: ResponseHead) -> Result:
    if head.status == 200:
        return Result.OK
    if head.headers.get(HEADER_EXECUTED) == NOT_EXECUTED:
        if head.status == 429:
            return Result.AT_CAPACITY
        if head.status == 404:
            return Result.NOT_LOADED
    return Result.ERROR


def interpret_command(head: ResponseHead, body: bytes) -> CommandResponse:
    """Interpret the response to a health check or a load command."""
    if head.status in (200, 204):
        result = Result.OK
    elif head.status == 429:
        result = Result.AT_CAPACITY
    else:
        result = Result.ERROR
    instances = int(body) if body.isdigit() and len(body) <= MAX_INSTANCE_DIGITS else 0
    return CommandResponse(result, instances, decode_load_report(head.headers))


def decode_load_report(headers: Headers) -> LoadReport | None:
    """Return the load report in a response's headers; None if they contain none."""
    requests_in_flight = _parse_number(headers.get(HEADER_REQUESTS_IN_FLIGHT))
    requests_queued = _parse_number(headers.get(HEADER_REQUESTS_QUEUED))
    cpu_utilization = _parse_number(headers.get(HEADER_CPU_UTILIZATION))
    loads_in_progress = _parse_number(headers.get(HEADER_LOADS_IN_PROGRESS))
    values = (requests_in_flight, requests_queued, cpu_utilization, loads_in_progress)
    if all(value is None for value in values):
        return None
    return LoadReport(
        requests_in_flight=requests_in_flight,
        requests_queued=requests_queued,
        cpu_utilization=cpu_utilization,
        loads_in_progress=loads_in_progress,
    )


def _parse_integer(text: str) -> int:
    """Parse a non-negative integer; return 0, as for a missing header, otherwise."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_INTEGER_DIGITS
    return int(text) if is_number else 0


def _parse_number(text: str) -> float | None:
    """Parse a finite number of at least 0; return None, as for a missing header, otherwise."""
    if not text or len(text) > MAX_NUMBER_CHARACTERS:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < MAX_NUMBER else None
