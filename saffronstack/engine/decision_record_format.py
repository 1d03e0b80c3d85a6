"""Stored form of decision records: tags and keys of events, actions and settings.

A record may be read by a later version than the one that wrote it, so its tags and keys keep their original
names when types and fields are renamed. A name that is not listed here is stored as it is in the code.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any, TypeVar

import msgspec

from saffronstack.routing import actions, events, settings

Parsed = TypeVar("Parsed")

EVENT_TAGS: Mapping[type, str] = {
    events.EndpointUpdate: "ListUpdate",
    events.Request: "Request",
    events.AttemptOutcome: "Outcome",
    events.HealthCheckResult: "Probed",
    events.LoadCommandResult: "Loaded",
    events.TimerFired: "Woken",
    events.ClientDisconnected: "ClientGone",
    events.StreamStarted: "StreamStarted",
    events.GossipMessage: "PeerMessage",
}
ACTION_TAGS: Mapping[type, str] = {
    actions.SendAttempt: "Send",
    actions.Reject: "Refuse",
    actions.Fail: "Fail",
    actions.CancelAttempt: "Cancel",
    actions.CheckHealth: "Probe",
    actions.LoadFunction: "Load",
    actions.UnloadFunction: "Unload",
    actions.SetTimer: "WakeMe",
    actions.WatchEndpoints: "Watch",
    actions.FetchEndpoints: "FetchList",
    actions.WriteLog: "Log",
}

# Fields whose stored key differs from their name in the code.
STORED_KEYS: Mapping[type, Mapping[str, str]] = {
    events.LoadReport: {
        "requests_in_flight": "in_hand",
        "requests_queued": "waiting",
        "cpu_utilization": "busy",
        "request_rate": "rate",
        "failure_rate": "fail_rate",
        "memory_in_use_fraction": "bound_memory_share",
        "loads_in_progress": "loads",
    },
    events.WorkerEndpoint: {"worker_id": "worker", "capacity": "size", "started_s": "since_s"},
    events.EndpointUpdate: {"endpoints": "workers"},
    events.PriorAttempt: {"worker_id": "worker"},
    events.Request: {
        "request_id": "request",
        "function_id": "function",
        "concurrency": "lanes",
        "load_time_s": "load_s",
        "is_retry": "is_repeat",
        "prior_attempts": "prior",
    },
    events.AttemptOutcome: {
        "request_id": "request",
        "worker_id": "worker",
        "is_final": "finished",
        "cache_status": "found",
        "concurrency": "crowd",
        "load_report": "report",
    },
    events.HealthCheckResult: {"worker_id": "worker", "load_report": "report"},
    events.LoadCommandResult: {"worker_id": "worker", "function_id": "function", "instances": "copies"},
    events.TimerFired: {"timer_id": "ref"},
    events.ClientDisconnected: {"request_id": "request"},
    events.StreamStarted: {"request_id": "request", "worker_id": "worker"},
    events.GossipMessage: {"sender": "author"},
    actions.SendAttempt: {"request_id": "request", "worker_id": "worker"},
    actions.Reject: {"request_id": "request", "retry_after_s": "stay_away_s"},
    actions.Fail: {"request_id": "request"},
    actions.CancelAttempt: {"request_id": "request"},
    actions.CheckHealth: {"worker_id": "worker"},
    actions.LoadFunction: {"worker_id": "worker", "function_id": "function", "instances": "copies"},
    actions.UnloadFunction: {"worker_id": "worker", "function_id": "function"},
    actions.SetTimer: {"delay_s": "after_s", "timer_id": "ref"},
    actions.WatchEndpoints: {"enabled": "wanted"},
    settings.ClassSettings: {
        "idempotency": "effect",
        "latency_objective_s": "aim_s",
        "priority_weight": "worth",
        "late_value_fraction": "late_share",
        "deduplication_scope": "group",
        "deduplication_window_s": "window_s",
        "is_streaming": "stream",
    },
    settings.TenantSettings: {"quota_fraction": "share"},
    settings.RuleSettings: {
        "response_slack_s": "answer_slack_s",
        "slow_start_min_fraction": "cold_share",
        "slow_start_s": "cold_s",
        "overload_multiple": "tip_multiple",
        "overload_window_s": "tip_after_s",
        "discovery_staleness_s": "ask_within_s",
        "load_command_burst": "load_free",
        "load_commands_per_request": "load_part",
        "load_command_window_s": "load_span_s",
    },
    settings.PermissionSettings: {
        "hedging": "second_copies",
        "cancellation": "cancel",
        "health_checks": "probes",
        "load_commands": "orders",
        "retry_after": "retry_advice",
        "max_retry_after_s": "max_retry_advice_s",
    },
    settings.CostSettings: {
        "late_failure": "late_fail",
        "origin_fetch": "origin",
        "health_check": "probe",
        "wasted_work": "waste",
    },
    settings.Settings: {
        "gateway_count": "instances",
        "gateway_index": "self_index",
        "over_quota_weight": "over_share_worth",
        "memory_mb_by_worker_kind": "memory_mb_by_kind",
        "load_command_timeout_s": "order_timeout_s",
        "reports_cache_status": "tells_warm",
        "reports_concurrency": "tells_crowd",
        "load_report_source": "report_via",
        "permissions": "allow",
        "costs": "prices",
    },
}

# Fields that contain another stored type, or a sequence of it.
_NESTED_TYPES: Mapping[type, Mapping[str, type]] = {
    events.EndpointUpdate: {"endpoints": events.WorkerEndpoint},
    events.Request: {"prior_attempts": events.PriorAttempt},
    events.AttemptOutcome: {"load_report": events.LoadReport},
    events.HealthCheckResult: {"load_report": events.LoadReport},
    settings.Settings: {
        "classes": settings.ClassSettings,
        "tenants": settings.TenantSettings,
        "rules": settings.RuleSettings,
        "permissions": settings.PermissionSettings,
        "costs": settings.CostSettings,
    },
}


# Later additions to the stored form. Records without them are as before: a sequence of one is stored
# as a single map, and a field that is None is left out.
_SINGLE_OR_SEQUENCE: Mapping[type, frozenset[str]] = {events.Request: frozenset({"prior_attempts"})}
_LEFT_OUT_IF_NONE: Mapping[type, frozenset[str]] = {events.PriorAttempt: frozenset({"zone", "cell"})}


@dataclass(frozen=True, slots=True)
class _StoredField:
    name: str
    key: str
    nested: type | None
    is_single_or_sequence: bool
    is_left_out_if_none: bool

    def content_to_stored(self, content: Any) -> object:
        """Convert the content of the field; maps and sequences of maps stand for other types."""
        if self.nested is None or content is None:
            return content.value if isinstance(content, Enum) else content
        if not isinstance(content, tuple):
            return to_stored(content)
        maps = [to_stored(one) for one in content]
        return maps[0] if self.is_single_or_sequence and len(maps) == 1 else maps

    def content_from_stored(self, content: Any) -> Any:
        """Replace stored keys in the content of the field; validation rejects what does not fit."""
        nested = self.nested
        if nested is None:
            return content
        if self.is_single_or_sequence and isinstance(content, dict):
            content = [content]
        if isinstance(content, list):
            return [_rename_keys(one, nested) for one in content]
        return _rename_keys(content, nested)


def _stored_fields(kind: type) -> tuple[_StoredField, ...]:
    keys = STORED_KEYS.get(kind, {})
    nested = _NESTED_TYPES.get(kind, {})
    return tuple(
        _StoredField(
            field.name,
            keys.get(field.name, field.name),
            nested.get(field.name),
            field.name in _SINGLE_OR_SEQUENCE.get(kind, ()),
            field.name in _LEFT_OUT_IF_NONE.get(kind, ()),
        )
        for field in fields(kind)
        if field.compare  # a replay compares what is stored
    )


_FIELDS: Mapping[type, tuple[_StoredField, ...]] = {
    kind: _stored_fields(kind) for kind in {*EVENT_TAGS, *ACTION_TAGS, *STORED_KEYS, *_NESTED_TYPES}
}
_EVENTS_BY_TAG = {tag: kind for kind, tag in EVENT_TAGS.items()}
_ACTIONS_BY_TAG = {tag: kind for kind, tag in ACTION_TAGS.items()}


def to_stored(value: Any) -> dict[str, object]:
    """Convert an event, action or settings object to a map with the stored keys, in the fields' order."""
    stored: dict[str, object] = {}
    for field in _FIELDS[type(value)]:
        content = getattr(value, field.name)
        if content is not None or not field.is_left_out_if_none:
            stored[field.key] = field.content_to_stored(content)
    return stored


def _rename_keys(raw: Any, kind: type) -> Any:
    """Replace stored keys with the fields' names; validation rejects anything that is not a map."""
    if not isinstance(raw, dict):
        return raw
    renamed = {}
    for field in _FIELDS[kind]:
        if field.key in raw:
            renamed[field.name] = field.content_from_stored(raw[field.key])
    return renamed


def from_stored(raw: Any, kind: Callable[..., Parsed]) -> Parsed:
    """Convert a map with stored keys to an object of this type.

    Raises:
        msgspec.ValidationError: The map does not fit the type.
    """
    assert isinstance(kind, type)
    return msgspec.convert(_rename_keys(raw, kind), kind)


def to_tagged(value: events.Event | actions.Action) -> list[object]:
    """Convert an event or action to its stored pair of tag and map."""
    kind = type(value)
    tag = EVENT_TAGS.get(kind) or ACTION_TAGS[kind]
    return [tag, to_stored(value)]


def event_from_tagged(raw: Any) -> events.Event:
    """Convert a stored pair to an event.

    Raises:
        KeyError, IndexError, TypeError, msgspec.ValidationError: It is not an event of this version.
    """
    event: events.Event = from_stored(raw[1], _EVENTS_BY_TAG[raw[0]])
    return event


def action_from_tagged(raw: Any) -> actions.Action:
    """Convert a stored pair to an action.

    Raises:
        KeyError, IndexError, TypeError, msgspec.ValidationError: It is not an action of this version.
    """
    action: actions.Action = from_stored(raw[1], _ACTIONS_BY_TAG[raw[0]])
    return action
