"""Replays a decision record: feeds its events to a fresh router and compares the decisions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from saffronstack.engine.decision_record_format import action_from_tagged, event_from_tagged, from_stored
from saffronstack.engine.decision_record_stream import VERSION, DecisionRecordError, read_values
from saffronstack.routing.actions import Action
from saffronstack.routing.events import Event
from saffronstack.routing.router import Router
from saffronstack.routing.settings import Settings

Parsed = TypeVar("Parsed")


@dataclass(frozen=True, slots=True)
class ReplayResult:
    """Numbers of events and actions of a record whose replay agreed completely."""

    events: int
    actions: int


@dataclass(frozen=True, slots=True)
class _Decision:
    """One entry of a record."""

    now: float
    event: Event
    actions: list[Action]


def replay_decisions(path: str) -> ReplayResult:
    """Replay a record and return how many events and actions agreed.

    Raises:
        DecisionRecordError: The record can't be read, or a decision differs; the message names the entry, the
            event and both lists of actions.
        OSError: The file can't be read.
    """
    events = actions = 0
    with open(path, "rb") as file:
        values = read_values(file)
        head = next(values, None)
        if head is None:
            raise DecisionRecordError("the record is empty")
        router = _router_of(head)
        for number, value in enumerate(values, 1):
            decision = _parse_decision(value, number)
            decided = router.handle(decision.now, decision.event)
            if decided != decision.actions:
                raise DecisionRecordError(
                    f"entry {number}, at {decision.now:.6f}, {decision.event}: "
                    f"recorded {decision.actions}, decided {decided}"
                )
            events += 1
            actions += len(decided)
    return ReplayResult(events, actions)


def _router_of(head: bytes) -> Router:
    """Create the router that the record's header describes."""
    try:
        fields = msgspec.msgpack.decode(head)
        if fields["version"] != VERSION:
            raise DecisionRecordError(f"record has version {fields['version']}, expected {VERSION}")
        return Router(from_stored(fields["settings"], Settings), int(fields["seed"]))
    except (KeyError, TypeError, msgspec.MsgspecError) as error:
        raise DecisionRecordError(f"invalid record header: {error}") from error


def _parse_decision(value: bytes, number: int) -> _Decision:
    try:
        now, event, actions = msgspec.msgpack.decode(value)
    except (msgspec.MsgspecError, ValueError, TypeError) as error:
        raise DecisionRecordError(f"entry {number}: {error}") from error
    return _Decision(
        now,
        _parse_tagged(event, event_from_tagged, number),
        [_parse_tagged(action, action_from_tagged, number) for action in actions],
    )


def _parse_tagged(raw: Any, parse: Callable[[Any], Parsed], number: int) -> Parsed:
    try:
        return parse(raw)
    except (KeyError, IndexError, TypeError, msgspec.ValidationError) as error:
        raise DecisionRecordError(
            f"entry {number}: not an event or action of this version: {error}"
        ) from error
