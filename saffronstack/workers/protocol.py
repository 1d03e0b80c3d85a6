"""The words spoken with workers (docs/worker-protocol.md): requests out, answers judged. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.engine.dispatch import WorkerResponse
from saffronstack.http1 import writer
from saffronstack.http1.messages import Headers, ResponseHead
from saffronstack.routing.events import CacheStatus, LoadReport, Result

INVOKE_PATH = "/2015-03-31/functions/function/invocations"
USAGE_PATH = "/saffron/v1/usage"
COPIES_PATH = "/saffron/v1/copies/"
REPORT_PATH = "/saffron/v1/report"
FOUND = {
    "warm": CacheStatus.WARM,
    "began-load": CacheStatus.STARTED_LOAD,
    "awaited-load": CacheStatus.JOINED_LOAD,
    "load-failed": CacheStatus.LOAD_FAILED,
}


@dataclass(frozen=True, slots=True)
class Judged:
    """What an answer to an attempt means."""

    result: Result
    found: CacheStatus = CacheStatus.UNKNOWN
    crowd: int | None = None
    report: LoadReport | None = None
    answer: WorkerResponse | None = None
    incarnation: str = ""
    uptime_s: float = 0.0
    reason: str = ""
    usage: str = ""  # records of what its copies held, base64
    held: int = 0  # what this call held in all, in KiB microseconds; 0 where not told


def invoke(host: str, call: Call, attempt: int, left_s: float, gateway: str = "") -> bytes:
    """The request of an attempt; ``left_s`` is how long its answer is still wanted."""
    spec = call.function
    headers = [
        ("Host", host),
        ("Content-Type", "application/json"),
        ("X-Amzn-RequestId", call.request_id),
        ("X-Saffron-Attempt", str(attempt)),
        ("Idempotency-Key", call.key or call.request_id),
        ("X-Saffron-Left-Ms", str(max(0, int(left_s * 1000)))),
        ("X-Saffron-Tenant", call.tenant_name),
        ("X-Saffron-Class", call.class_name),
        *_function(spec),
    ]
    if gateway:  # it meters: the worker may send records of usage with its answer
        headers.append(("X-Saffron-Gateway", gateway))
    if call.client_context:
        headers.append(("X-Amz-Client-Context", call.client_context))
    if call.wants_log:
        headers.append(("X-Amz-Log-Type", "Tail"))
    return writer.request("POST", INVOKE_PATH, headers, call.payload)


def _function(spec: FunctionSpec) -> list[tuple[str, str]]:
    return [
        ("X-Saffron-Function", spec.name),
        ("X-Saffron-Memory-Mb", f"{spec.memory_mb:g}"),
        ("X-Saffron-Lanes", str(spec.concurrency)),
    ]


def order(host: str, spec: FunctionSpec, copies: int) -> bytes:
    """An order to hold so many copies; 0 only asks."""
    target = COPIES_PATH + quote(spec.name, safe="")
    headers = [("Host", host), *_function(spec)]
    if not copies:
        return writer.request("GET", target, headers)
    return writer.request("PUT", f"{target}?count={copies}", headers)


def unload(host: str, spec: FunctionSpec) -> bytes:
    """An order to drop idle copies."""
    return writer.request(
        "DELETE", COPIES_PATH + quote(spec.name, safe=""), [("Host", host), *_function(spec)]
    )


def probe(host: str) -> bytes:
    """A question for the worker's report."""
    return writer.request("GET", REPORT_PATH, [("Host", host)])


def usage(host: str, body: bytes) -> bytes:
    """Acknowledge records of usage and ask for more; ``body`` is MessagePack."""
    return writer.request("POST", USAGE_PATH, [("Host", host)], body)


def judge(head: ResponseHead, body: bytes) -> Judged:
    """An answer to an attempt. Only an answer that says so itself proves that the function did not run."""
    headers = head.headers
    found = FOUND.get(headers.get("x-saffron-found"), CacheStatus.UNKNOWN)
    crowd = _number(headers.get("x-saffron-crowd"))
    incarnation = headers.get("x-saffron-incarnation")[:64]
    uptime_s = (_number(headers.get("x-saffron-uptime-ms")) or 0.0) / 1000
    not_run = headers.get("x-saffron-ran") == "no"
    report = report_of(headers)
    answer = None
    reason = ""
    if head.status == 200:
        result = Result.OK
        answer = WorkerResponse(body, headers.get("x-amz-function-error"), headers.get("x-amz-log-result"))
    elif head.status == 429 and not_run:
        result = Result.AT_CAPACITY
    elif head.status == 404 and not_run:
        result = Result.NOT_LOADED
    else:
        result, reason = Result.ERROR, f"worker answered {head.status}"
    return Judged(
        result,
        found,
        None if crowd is None else int(crowd),
        report,
        answer,
        incarnation,
        uptime_s,
        reason,
        headers.get("x-saffron-usage"),
        _whole(headers.get("x-saffron-held")),
    )


def report_of(headers: Headers) -> LoadReport | None:
    """The load report of an answer's headers, None where it holds none."""
    values = [_number(headers.get(f"x-saffron-{name}")) for name in ("in-hand", "waiting", "busy", "loads")]
    if all(value is None for value in values):
        return None
    return LoadReport(
        requests_in_flight=values[0],
        requests_queued=values[1],
        cpu_utilization=values[2],
        loads_in_progress=values[3],
    )


def _whole(text: str) -> int:
    """A whole number; whatever else a worker writes counts as not told."""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= 18 else 0


def _number(text: str) -> float | None:
    """A finite number of at least 0; whatever else a worker writes counts as not told."""
    if not text or len(text) > 20:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e15 else None
