"""The codec of the simulator's wire: bytes to events, actions to bytes. No decision is made here."""

from __future__ import annotations

import json
import struct
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from saffronstack import interface as api


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


Told = api.Event | Started | Stopped

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
    10: api.Result.OK, 20: api.Result.ERROR, 30: api.Result.FULL, 40: api.Result.TIMEOUT,
    50: api.Result.CONNECT_FAILED, 60: api.Result.RESET, 70: api.Result.CANCELLED,
    80: api.Result.MOOT, 90: api.Result.MISS,
}
_FOUND = {found.value: found for found in api.Found}
_CROWD_RESULTS = (api.Result.OK, api.Result.FULL)
REPORT_FIELDS = {
    "rif": "in_hand", "q": "waiting", "busy": "busy", "lat_ms": "latency_s", "rate": "rate",
    "fail_rate": "fail_rate", "x0": "bound_memory_share", "x1": "loads",
}
T = TypeVar("T")


def _enum(kind: Callable[[Any], T], value: object, name: str) -> T:
    try:
        return kind(value)
    except ValueError as error:
        raise WireError(f"settings: {name} has the unknown value {value!r}") from error


def _section(source: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    value = source.get(name)
    return value if isinstance(value, dict) else {}


def parse_settings(text: str) -> tuple[api.Settings, tuple[str, ...]]:
    """The settings, and what the values of a load report are called. Unknown keys are skipped."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise WireError(f"settings: not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise WireError("settings: not a JSON object")
    try:
        return _settings(raw)
    except (TypeError, KeyError, AttributeError) as error:
        raise WireError(f"settings: malformed: {error!r}") from error


def _settings(raw: Mapping[str, Any]) -> tuple[api.Settings, tuple[str, ...]]:
    family, permit, rules = (_section(raw, n) for n in ("FamilyInfo", "Permissions", "Rules"))
    prices, load_info = _section(raw, "Prices"), _section(raw, "LoadInfo")
    classes = tuple(
        api.ClassSettings(
            name=str(c.get("Name", "")),
            effect=_enum(api.Effect, c.get("Idempotency", "unsafe"), "Idempotency"),
            aim_s=float(c.get("PromiseS", c.get("DeadlineS", 0))),
            deadline_s=float(c.get("DeadlineS", 0)),
            worth=float(c.get("Worth", 1)),
            late_share=float(c.get("LateShare", 0)),
            group=_enum(api.Group, c.get("DedupScope", "all"), "DedupScope"),
            window_s=float(c.get("WindowS", 0)),
            stream=bool(c.get("Stream", False)),
        )
        for c in raw.get("RequestClasses") or ()
    )
    tenants = tuple(
        api.TenantSettings(str(t.get("Name", "")), float(t.get("Share", 0)), float(t.get("QuotaRps", 0)))
        for t in raw.get("Tenants") or ()
    )
    settings = api.Settings(
        classes=classes,
        instances=int(raw.get("Instances", 1)),
        self_index=int(raw.get("SelfIndex", 0)),
        zone=int(raw.get("Zone", 0)),
        tenants=tenants,
        over_share_worth=float(raw.get("OverShareWorth", 1)),
        memory_mb_by_kind=tuple(float(mb) for mb in family.get("MemoryMbByKind") or ()),
        keep_alive_s=float(family.get("IdleLifeS", 0)),
        miss_mode=_enum(api.MissMode, family.get("MissMode", "load"), "MissMode"),
        order_timeout_s=float(family.get("OrderTimeoutS", 0)),
        tells_warm=bool(family.get("SaysWarm", False)),
        tells_crowd=bool(family.get("NotesPeersInHand", False)),
        report_via=_enum(api.ReportVia, load_info.get("Via", "none"), "Via"),
        must_subscribe=raw.get("Discovery") == "subscribe",
        rules=api.RuleSettings(
            answer_slack_s=float(rules.get("AnswerSlackS", 0)),
            drain_grace_s=float(rules.get("DrainGraceS", 0)),
            cold_share=float(rules.get("ColdShare", 1)),
            cold_s=float(rules.get("ColdS", 0)),
            tip_multiple=float(rules.get("TipMultiple", 0)),
            tip_after_s=float(rules.get("TipAfterS", 0)),
            ask_within_s=float(rules.get("AskWithinS", 0)),
            load_free=float(family.get("LoadFree", 0)),
            load_part=float(family.get("LoadPart", 0)),
            load_span_s=float(family.get("LoadSpanS", 0)),
        ),
        allow=api.AllowSettings(
            max_attempts=int(permit.get("MaxAttempts", 0)),
            second_copies=bool(permit.get("MayDuplicate", False)),
            cancel=bool(permit.get("Cancelling", False)),
            probes=bool(permit.get("Probing", False)),
            orders=bool(family.get("MayLoad", False)),
            retry_advice=bool(permit.get("RetryAfter", False)),
            max_retry_advice_s=float(permit.get("MaxRetryAfterS", 0)),
            connect_timeout_s=float(permit.get("ConnectTimeoutS", 0)),
        ),
        prices=api.PriceSettings(
            cross_zone=float(prices.get("CrossZone", 0)),
            late_fail=float(prices.get("LateFail", 0)),
            origin=float(prices.get("Origin", 0)),
            probe=float(prices.get("Probe", 0)),
            waste=float(prices.get("Waste", 0)),
            idle_memory=float(family.get("PriceOfIdle", 0)),
        ),
    )
    return settings, tuple(str(name) for name in load_info.get("Fields") or ())


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
        content = self.body[self.at:end]
        self.at = end
        return content

    def _report(self, instance: int, count: int) -> api.Report | None:
        values = struct.unpack(f"<{count}f", self._bytes(4 * count))
        if not count:
            return None
        told: dict[str, float] = {}
        for name, value in zip(self.report_names.get(instance, ()), values, strict=False):
            field = REPORT_FIELDS.get(name)
            if field is not None:
                told[field] = value / 1000 if name == "lat_ms" else value
        return api.Report(**told)

    def _result(self, code: int) -> api.Result:
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
            workers.append(
                api.WorkerEntry(worker, api.WorkerState(state), size, hardware, zone, cell, since))
        if kind > 3:
            raise WireError(f"unknown list scope {kind} before byte {self.at}")
        return api.ListUpdate(api.ListKind(kind), tuple(workers), version)

    def _request(self, instance: int) -> Told:
        (request, cls, tenant, function, deadline, work, memory, lanes, load_ms,
         marks) = self._take(_REQUEST)
        return api.Request(
            request, cls, function, deadline, tenant, memory, lanes,
            load_ms / 1000 if load_ms > 0 else None, work if marks & 1 else None,
            bool(marks & 2), bool(marks & 4))

    def _outcome(self, instance: int) -> Told:
        request, note, code, finished, elapsed, attempt, worker, count = self._take(_OUTCOME)
        result = self._result(code)
        report = self._report(instance, count)
        found = _FOUND.get(note & 7, api.Found.UNTOLD)
        crowd = note >> 3 if result in _CROWD_RESULTS else None
        return api.Outcome(request, attempt, worker, result, elapsed, bool(finished), found, crowd, report)

    def _probed(self, instance: int) -> Told:
        elapsed, code, worker, count = self._take(_PROBED)
        return api.Probed(worker, self._result(code), elapsed, self._report(instance, count))

    def _woken(self, instance: int) -> Told:
        return api.Woken(self._take(_WOKEN)[0])

    def _gone(self, instance: int) -> Told:
        return api.ClientGone(self._take(_WOKEN)[0])

    def _stopped(self, instance: int) -> Told:
        return Stopped()

    def _loaded(self, instance: int) -> Told:
        copies, code, function, elapsed, worker = self._take(_LOADED)
        return api.Loaded(worker, function, copies, self._result(code), elapsed)

    def _peer(self, instance: int) -> Told:
        author, count = self._take(_PEER)
        return api.PeerMessage(author, self._bytes(count))

    def _stream(self, instance: int) -> Told:
        request, attempt, worker, elapsed = self._take(_STREAM)
        return api.StreamStarted(request, attempt, worker, elapsed)


_READERS: dict[int, Callable[[Reader, int], Told]] = {
    16: Reader._gone, 17: Reader._outcome, 18: Reader._probed, 19: Reader._request,
    20: Reader._stopped, 21: Reader._started, 22: Reader._stream, 23: Reader._woken,
    24: Reader._list, 25: Reader._peer, 26: Reader._loaded,
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


def encode(instance: int, action: api.Action) -> bytes:
    """One action as a record."""
    match action:
        case api.Send():
            return _SEND.pack(80, instance, action.request, action.timeout_s, action.worker)
        case api.WakeMe():
            return _WAKE.pack(84, instance, action.after_s, action.ref)
        case api.Refuse():
            return _REFUSE.pack(81, instance, action.request, action.stay_away_s)
        case api.Fail():
            return _FAIL.pack(82, instance, action.request)
        case api.Cancel():
            return _CANCEL.pack(83, instance, action.request, action.attempt)
        case api.Probe():
            return _PROBE.pack(85, instance, action.worker)
        case api.Load():
            return _LOAD.pack(92, instance, action.worker, action.copies, action.function)
        case api.Unload():
            return _UNLOAD.pack(93, instance, action.worker, action.function)
        case api.Watch():
            return _WATCH.pack(90, instance, action.wanted)
        case api.FetchList():
            return _BARE.pack(91, instance)
        case api.Log():
            return encode_text(88, instance, action.text)
    raise WireError(f"no record for {action!r}")
