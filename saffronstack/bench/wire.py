"""Codec of the simulator's wire format: decodes events and encodes actions."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from saffronstack.routing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    FetchEndpoints,
    LoadFunction,
    Reject,
    SendAttempt,
    SetTimer,
    UnloadFunction,
    WatchEndpoints,
    WriteLog,
)
from saffronstack.routing.events import (
    AttemptOutcome,
    CacheStatus,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    GossipMessage,
    HealthCheckResult,
    LoadCommandResult,
    LoadReport,
    Request,
    Result,
    StreamStarted,
    TimerFired,
    WorkerEndpoint,
    WorkerState,
)
from saffronstack.settings_parser import ParsedSettings, SettingsError, parse_load_report
from saffronstack.settings_parser import parse_settings as parse_settings_object


class WireError(ValueError):
    """Bytes or settings violate the wire format; the message says where."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """A gateway instance starts without any state."""

    seed: int
    settings_text: str


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """A gateway instance was killed."""


WireEvent = Event | InstanceStarted | InstanceStopped

BATCH_HEADER = struct.Struct("<dIII")
REPLY_HEADER = struct.Struct("<II")
_INSTANCE = struct.Struct("<H")
_INSTANCE_STARTED = struct.Struct("<QI")
_ENDPOINT_UPDATE = struct.Struct("<IBI")
_ENDPOINT = struct.Struct("<fHIBdBB")
_REQUEST = struct.Struct("<QHIQddfffB")
_ATTEMPT_OUTCOME = struct.Struct("<QIBBdBIB")
_HEALTH_CHECK_RESULT = struct.Struct("<dBIB")
_IDENTIFIER = struct.Struct("<Q")
_LOAD_COMMAND_RESULT = struct.Struct("<BBQdI")
_GOSSIP_MESSAGE = struct.Struct("<HH")
_STREAM_STARTED = struct.Struct("<QBId")

RESULTS = {
    10: Result.OK,
    20: Result.ERROR,
    30: Result.AT_CAPACITY,
    40: Result.TIMEOUT,
    50: Result.CONNECT_FAILED,
    60: Result.RESET,
    70: Result.CANCELLED,
    80: Result.NOT_STARTED,
    90: Result.NOT_LOADED,
}
_CACHE_STATUSES = {status.value: status for status in CacheStatus}
_RESULTS_WITH_CONCURRENCY = (Result.OK, Result.AT_CAPACITY)
_MAX_WORKER_STATE = 2
_MAX_UPDATE_KIND = 3

# One field of an outcome holds the cache status in its lowest three bits and the concurrency above them.
_CACHE_STATUS_BITS = 3
_CACHE_STATUS_MASK = 7

# Flag bits of a request.
_HAS_WORK = 1
_IS_RETRY = 2
_IS_WRITE = 4


def parse_settings(text: str) -> ParsedSettings:
    """Parse the settings with which an instance starts.

    Raises:
        WireError: The settings are invalid.
    """
    try:
        return parse_settings_object(text)
    except SettingsError as error:
        raise WireError(str(error)) from error


class Reader:
    """Reads the records of one batch."""

    def __init__(self, body: bytes, load_report_fields: dict[int, tuple[str, ...]]) -> None:
        """Create a reader at the start of a batch.

        Args:
            body: The batch without its header.
            load_report_fields: Field names of load reports, by instance number.
        """
        self.body = body
        self.offset = 0
        self.load_report_fields = load_report_fields

    def read_record(self) -> tuple[int, WireEvent]:
        """Read the next record and return its instance number and event.

        Raises:
            WireError: The bytes are not a valid record.
        """
        if self.offset >= len(self.body):
            raise WireError(f"truncated: no record at byte {self.offset}")
        start = self.offset
        code = self.body[start]
        self.offset += 1
        read = _READERS.get(code)
        if read is None:
            raise WireError(f"unknown record {code} at byte {start}")
        (instance,) = self._unpack(_INSTANCE)
        return instance, read(self, instance)

    def _unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        end = self.offset + layout.size
        if end > len(self.body):
            raise WireError(f"truncated record at byte {self.offset}")
        values = layout.unpack_from(self.body, self.offset)
        self.offset = end
        return values

    def _read_bytes(self, count: int) -> bytes:
        end = self.offset + count
        if end > len(self.body):
            raise WireError(f"truncated content at byte {self.offset}")
        content = self.body[self.offset : end]
        self.offset = end
        return content

    def _read_load_report(self, instance: int, count: int) -> LoadReport | None:
        values = struct.unpack(f"<{count}f", self._read_bytes(4 * count))
        if not count:
            return None
        return parse_load_report(zip(self.load_report_fields.get(instance, ()), values, strict=False))

    def _to_result(self, code: int) -> Result:
        result = RESULTS.get(code)
        if result is None:
            raise WireError(f"unknown result {code} before byte {self.offset}")
        return result

    def _read_instance_started(self, instance: int) -> WireEvent:
        seed, count = self._unpack(_INSTANCE_STARTED)
        try:
            return InstanceStarted(seed, self._read_bytes(count).decode())
        except UnicodeDecodeError as error:
            raise WireError("settings: not UTF-8") from error

    def _read_instance_stopped(self, instance: int) -> WireEvent:
        return InstanceStopped()

    def _read_endpoint_update(self, instance: int) -> WireEvent:
        version, kind, count = self._unpack(_ENDPOINT_UPDATE)
        endpoints = []
        for _ in range(count):
            capacity, cell, worker_id, worker_kind, started_s, zone, state = self._unpack(_ENDPOINT)
            if state > _MAX_WORKER_STATE:
                raise WireError(f"unknown worker state {state} before byte {self.offset}")
            endpoints.append(
                WorkerEndpoint(worker_id, WorkerState(state), capacity, worker_kind, zone, cell, started_s)
            )
        if kind > _MAX_UPDATE_KIND:
            raise WireError(f"unknown endpoint update kind {kind} before byte {self.offset}")
        return EndpointUpdate(EndpointUpdateKind(kind), tuple(endpoints), version)

    def _read_request(self, instance: int) -> WireEvent:
        (
            request_id,
            class_index,
            tenant,
            function_id,
            deadline_s,
            work_s,
            memory_mb,
            concurrency,
            load_time_ms,
            flags,
        ) = self._unpack(_REQUEST)
        return Request(
            request_id,
            class_index,
            function_id,
            deadline_s,
            tenant,
            memory_mb,
            concurrency,
            load_time_ms / 1000 if load_time_ms > 0 else None,
            work_s if flags & _HAS_WORK else None,
            bool(flags & _IS_RETRY),
            bool(flags & _IS_WRITE),
        )

    def _read_attempt_outcome(self, instance: int) -> WireEvent:
        request_id, status_and_concurrency, code, is_final, elapsed_s, attempt, worker_id, count = (
            self._unpack(_ATTEMPT_OUTCOME)
        )
        result = self._to_result(code)
        load_report = self._read_load_report(instance, count)
        return AttemptOutcome(
            request_id,
            attempt,
            worker_id,
            result,
            elapsed_s,
            bool(is_final),
            _CACHE_STATUSES.get(status_and_concurrency & _CACHE_STATUS_MASK, CacheStatus.UNKNOWN),
            status_and_concurrency >> _CACHE_STATUS_BITS if result in _RESULTS_WITH_CONCURRENCY else None,
            load_report,
        )

    def _read_health_check_result(self, instance: int) -> WireEvent:
        elapsed_s, code, worker_id, count = self._unpack(_HEALTH_CHECK_RESULT)
        return HealthCheckResult(
            worker_id, self._to_result(code), elapsed_s, self._read_load_report(instance, count)
        )

    def _read_load_command_result(self, instance: int) -> WireEvent:
        instances, code, function_id, elapsed_s, worker_id = self._unpack(_LOAD_COMMAND_RESULT)
        return LoadCommandResult(worker_id, function_id, instances, self._to_result(code), elapsed_s)

    def _read_timer_fired(self, instance: int) -> WireEvent:
        return TimerFired(self._unpack(_IDENTIFIER)[0])

    def _read_client_disconnected(self, instance: int) -> WireEvent:
        return ClientDisconnected(self._unpack(_IDENTIFIER)[0])

    def _read_gossip_message(self, instance: int) -> WireEvent:
        sender, count = self._unpack(_GOSSIP_MESSAGE)
        return GossipMessage(sender, self._read_bytes(count))

    def _read_stream_started(self, instance: int) -> WireEvent:
        request_id, attempt, worker_id, elapsed_s = self._unpack(_STREAM_STARTED)
        return StreamStarted(request_id, attempt, worker_id, elapsed_s)


_READERS: dict[int, Callable[[Reader, int], WireEvent]] = {
    16: Reader._read_client_disconnected,
    17: Reader._read_attempt_outcome,
    18: Reader._read_health_check_result,
    19: Reader._read_request,
    20: Reader._read_instance_stopped,
    21: Reader._read_instance_started,
    22: Reader._read_stream_started,
    23: Reader._read_timer_fired,
    24: Reader._read_endpoint_update,
    25: Reader._read_gossip_message,
    26: Reader._read_load_command_result,
}

_SEND_ATTEMPT_CODE = 80
_REJECT_CODE = 81
_FAIL_CODE = 82
_CANCEL_ATTEMPT_CODE = 83
_SET_TIMER_CODE = 84
_CHECK_HEALTH_CODE = 85
_WRITE_LOG_CODE = 88
_FAULT_CODE = 89
_WATCH_ENDPOINTS_CODE = 90
_FETCH_ENDPOINTS_CODE = 91
_LOAD_FUNCTION_CODE = 92
_UNLOAD_FUNCTION_CODE = 93

_SEND_ATTEMPT = struct.Struct("<BHQdI")
_REJECT = struct.Struct("<BHQd")
_FAIL = struct.Struct("<BHQ")
_CANCEL_ATTEMPT = struct.Struct("<BHQB")
_CHECK_HEALTH = struct.Struct("<BHI")
_LOAD_FUNCTION = struct.Struct("<BHIBQ")
_UNLOAD_FUNCTION = struct.Struct("<BHIQ")
_SET_TIMER = struct.Struct("<BHdQ")
_WATCH_ENDPOINTS = struct.Struct("<BHB")
_FETCH_ENDPOINTS = struct.Struct("<BH")
_TEXT = struct.Struct("<BHH")
_MAX_TEXT_BYTES = 65535


def _encode_text(code: int, instance: int, text: str) -> bytes:
    content = text.encode()[:_MAX_TEXT_BYTES]
    return _TEXT.pack(code, instance, len(content)) + content


def encode_fault(instance: int, text: str) -> bytes:
    """Encode the record that reports an exception in the router."""
    return _encode_text(_FAULT_CODE, instance, text)


def encode(instance: int, action: Action) -> bytes:
    """Encode one action of a gateway instance."""
    match action:
        case SendAttempt():
            return _SEND_ATTEMPT.pack(
                _SEND_ATTEMPT_CODE, instance, action.request_id, action.timeout_s, action.worker_id
            )
        case SetTimer():
            return _SET_TIMER.pack(_SET_TIMER_CODE, instance, action.delay_s, action.timer_id)
        case Reject():
            return _REJECT.pack(_REJECT_CODE, instance, action.request_id, action.retry_after_s)
        case Fail():
            return _FAIL.pack(_FAIL_CODE, instance, action.request_id)
        case CancelAttempt():
            return _CANCEL_ATTEMPT.pack(_CANCEL_ATTEMPT_CODE, instance, action.request_id, action.attempt)
        case CheckHealth():
            return _CHECK_HEALTH.pack(_CHECK_HEALTH_CODE, instance, action.worker_id)
        case LoadFunction():
            return _LOAD_FUNCTION.pack(
                _LOAD_FUNCTION_CODE, instance, action.worker_id, action.instances, action.function_id
            )
        case UnloadFunction():
            return _UNLOAD_FUNCTION.pack(
                _UNLOAD_FUNCTION_CODE, instance, action.worker_id, action.function_id
            )
        case WatchEndpoints():
            return _WATCH_ENDPOINTS.pack(_WATCH_ENDPOINTS_CODE, instance, action.enabled)
        case FetchEndpoints():
            return _FETCH_ENDPOINTS.pack(_FETCH_ENDPOINTS_CODE, instance)
        case WriteLog():
            return _encode_text(_WRITE_LOG_CODE, instance, action.text)
    raise WireError(f"no record for {action!r}")
