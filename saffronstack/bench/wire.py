"""The codec of the simulator's wire: bytes to events, actions to bytes. No decision is made here."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from saffronstack import settings
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
from saffronstack.routing.settings import Settings


class WireError(ValueError):
    """The bytes do not follow the wire."""


@dataclass(frozen=True, slots=True)
class Started:
    """An instance begins, knowing nothing."""

    seed: int
    settings_text: str


@dataclass(frozen=True, slots=True)
class Stopped:
    """An instance was killed."""


Told = Event | Started | Stopped

BATCH_HEADER = struct.Struct("<dIII")
REPLY_HEADER = struct.Struct("<II")
_U16 = struct.Struct("<H")
_U32 = struct.Struct("<I")
_F32 = struct.Struct("<f")
_STARTED = struct.Struct("<QI")
_LIST = struct.Struct("<IBI")
_ENTRY = struct.Struct("<fHIBdBB")
_REQUEST = struct.Struct("<QHIQddfffB")
_OUTCOME = struct.Struct("<QIBBdBIB")
_PROBED = struct.Struct("<dBIB")
_WOKEN = struct.Struct("<Q")
_LOADED = struct.Struct("<BBQdI")
_PEER = struct.Struct("<HH")
_STREAM = struct.Struct("<QBId")

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
_FOUND = {found.value: found for found in CacheStatus}
_CROWD_RESULTS = (Result.OK, Result.AT_CAPACITY)


def parse_settings(text: str) -> tuple[Settings, tuple[str, ...]]:
    """The settings, and what the values of a load report are called; WireError where they can't be."""
    try:
        return settings.parse_settings(text)
    except settings.SettingsError as error:
        raise WireError(str(error)) from error


class Reader:
    """Reads the records of one batch; report names are looked up by instance."""

    def __init__(self, body: bytes, report_names: dict[int, tuple[str, ...]]) -> None:
        self.body = body
        self.at = 0
        self.report_names = report_names

    def _take(self, form: struct.Struct) -> tuple[Any, ...]:
        end = self.at + form.size
        if end > len(self.body):
            raise WireError(f"truncated record at byte {self.at}")
        values = form.unpack_from(self.body, self.at)
        self.at = end
        return values

    def _bytes(self, count: int) -> bytes:
        end = self.at + count
        if end > len(self.body):
            raise WireError(f"truncated content at byte {self.at}")
        content = self.body[self.at : end]
        self.at = end
        return content

    def _report(self, instance: int, count: int) -> LoadReport | None:
        values = struct.unpack(f"<{count}f", self._bytes(4 * count))
        if not count:
            return None
        return settings.report(zip(self.report_names.get(instance, ()), values, strict=False))

    def _result(self, code: int) -> Result:
        result = RESULTS.get(code)
        if result is None:
            raise WireError(f"unknown outcome {code} before byte {self.at}")
        return result

    def record(self) -> tuple[int, Told]:
        """The next record: instance and event."""
        if self.at >= len(self.body):
            raise WireError(f"truncated: no record at byte {self.at}")
        start = self.at
        code = self.body[start]
        self.at += 1
        read = _READERS.get(code)
        if read is None:
            raise WireError(f"unknown record {code} at byte {start}")
        (instance,) = self._take(_U16)
        return instance, read(self, instance)

    def _started(self, instance: int) -> Told:
        seed, count = self._take(_STARTED)
        try:
            return Started(seed, self._bytes(count).decode())
        except UnicodeDecodeError as error:
            raise WireError("settings: not UTF-8") from error

    def _list(self, instance: int) -> Told:
        version, kind, count = self._take(_LIST)
        workers = []
        for _ in range(count):
            size, cell, worker, hardware, since, zone, state = self._take(_ENTRY)
            if state > 2:
                raise WireError(f"unknown condition {state} before byte {self.at}")
            workers.append(WorkerEndpoint(worker, WorkerState(state), size, hardware, zone, cell, since))
        if kind > 3:
            raise WireError(f"unknown list scope {kind} before byte {self.at}")
        return EndpointUpdate(EndpointUpdateKind(kind), tuple(workers), version)

    def _request(self, instance: int) -> Told:
        (request, cls, tenant, function, deadline, work, memory, lanes, load_ms, marks) = self._take(_REQUEST)
        return Request(
            request,
            cls,
            function,
            deadline,
            tenant,
            memory,
            lanes,
            load_ms / 1000 if load_ms > 0 else None,
            work if marks & 1 else None,
            bool(marks & 2),
            bool(marks & 4),
        )

    def _outcome(self, instance: int) -> Told:
        request, note, code, finished, elapsed, attempt, worker, count = self._take(_OUTCOME)
        result = self._result(code)
        report = self._report(instance, count)
        found = _FOUND.get(note & 7, CacheStatus.UNKNOWN)
        crowd = note >> 3 if result in _CROWD_RESULTS else None
        return AttemptOutcome(request, attempt, worker, result, elapsed, bool(finished), found, crowd, report)

    def _probed(self, instance: int) -> Told:
        elapsed, code, worker, count = self._take(_PROBED)
        return HealthCheckResult(worker, self._result(code), elapsed, self._report(instance, count))

    def _woken(self, instance: int) -> Told:
        return TimerFired(self._take(_WOKEN)[0])

    def _gone(self, instance: int) -> Told:
        return ClientDisconnected(self._take(_WOKEN)[0])

    def _stopped(self, instance: int) -> Told:
        return Stopped()

    def _loaded(self, instance: int) -> Told:
        copies, code, function, elapsed, worker = self._take(_LOADED)
        return LoadCommandResult(worker, function, copies, self._result(code), elapsed)

    def _peer(self, instance: int) -> Told:
        author, count = self._take(_PEER)
        return GossipMessage(author, self._bytes(count))

    def _stream(self, instance: int) -> Told:
        request, attempt, worker, elapsed = self._take(_STREAM)
        return StreamStarted(request, attempt, worker, elapsed)


_READERS: dict[int, Callable[[Reader, int], Told]] = {
    16: Reader._gone,
    17: Reader._outcome,
    18: Reader._probed,
    19: Reader._request,
    20: Reader._stopped,
    21: Reader._started,
    22: Reader._stream,
    23: Reader._woken,
    24: Reader._list,
    25: Reader._peer,
    26: Reader._loaded,
}

_SEND = struct.Struct("<BHQdI")
_REFUSE = struct.Struct("<BHQd")
_FAIL = struct.Struct("<BHQ")
_CANCEL = struct.Struct("<BHQB")
_PROBE = struct.Struct("<BHI")
_LOAD = struct.Struct("<BHIBQ")
_UNLOAD = struct.Struct("<BHIQ")
_WAKE = struct.Struct("<BHdQ")
_WATCH = struct.Struct("<BHB")
_BARE = struct.Struct("<BH")
_TEXT = struct.Struct("<BHH")


def encode_text(code: int, instance: int, text: str) -> bytes:
    """A log line (88) or a fault (89)."""
    content = text.encode()[:65535]
    return _TEXT.pack(code, instance, len(content)) + content


def encode_fault(instance: int, text: str) -> bytes:
    """The word that the decision code failed."""
    return encode_text(89, instance, text)


def encode(instance: int, action: Action) -> bytes:
    """One action as a record."""
    match action:
        case SendAttempt():
            return _SEND.pack(80, instance, action.request_id, action.timeout_s, action.worker_id)
        case SetTimer():
            return _WAKE.pack(84, instance, action.delay_s, action.timer_id)
        case Reject():
            return _REFUSE.pack(81, instance, action.request_id, action.retry_after_s)
        case Fail():
            return _FAIL.pack(82, instance, action.request_id)
        case CancelAttempt():
            return _CANCEL.pack(83, instance, action.request_id, action.attempt)
        case CheckHealth():
            return _PROBE.pack(85, instance, action.worker_id)
        case LoadFunction():
            return _LOAD.pack(92, instance, action.worker_id, action.instances, action.function_id)
        case UnloadFunction():
            return _UNLOAD.pack(93, instance, action.worker_id, action.function_id)
        case WatchEndpoints():
            return _WATCH.pack(90, instance, action.enabled)
        case FetchEndpoints():
            return _BARE.pack(91, instance)
        case WriteLog():
            return encode_text(88, instance, action.text)
    raise WireError(f"no record for {action!r}")
