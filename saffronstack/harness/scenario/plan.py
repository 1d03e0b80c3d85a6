"""A day file: sites, traffic and troubles, by a schema."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from saffronstack.config.load import convert, read_text
from saffronstack.config.schema import Count, NonNegative, Positive, Share, Struct

FaultKind = Literal[
    "balancer_crash",
    "balancer_roll",
    "burst",
    "slow",
    "fast_errors",
    "flush",
    "deploy",
    "origin_slow",
    "scan",
    "answer_lost",
    "mass_restart",
    "preempt",
    "handshake_slow",
    "shift",
    "reply_lost",
    "reply_late",
]


class ScheduledFault(Struct, frozen=True, kw_only=True):
    """One trouble: from ``at_s`` for ``for_s`` on a ``share`` of what it strikes, ``factor`` times as bad."""

    kind: FaultKind
    at_s: NonNegative
    for_s: Positive = 5.0
    share: Share = 0.3
    factor: Positive = 3.0


class Workers(Struct, frozen=True, kw_only=True):
    """The stand-in workers."""

    count: Count = 12
    memory_mb: Positive = 2048.0
    cores: Count = 4
    work_s: Positive = 0.02
    load_s: Positive = 0.25
    queue: Count = 64
    keep_alive_s: Positive = 10.0


class Mix(Struct, frozen=True, kw_only=True):
    """The traffic, in calls a second over all gateways."""

    rate: Positive = 100.0
    deferred_share: Share = 0.1
    functions: dict[str, float] = msgspec.field(
        default_factory=lambda: {
            "identify-copy": 0.4,
            "suggest-price": 0.3,
            "adjust-setting": 0.1,
            "record-sale": 0.2,
        }
    )
    tries: Annotated[int, msgspec.Meta(ge=1, le=8)] = 4
    clients: Count = 96


class DayRules(Struct, frozen=True, kw_only=True):
    """Figures of the rules for this day."""

    drain_grace_s: NonNegative = 2.0
    cold_share: Share = 0.15
    cold_s: NonNegative = 10.0
    tip_multiple: NonNegative = 2.5
    tip_after_s: Positive = 1.0


class Plan(Struct, frozen=True, kw_only=True):
    """The whole day."""

    name: str
    seconds: Positive = 60.0
    gateways: Count = 3
    workers: Workers = Workers()
    traffic: Mix = Mix()
    rules: DayRules = DayRules()
    membership: Literal["signal", "file"] = "signal"  # how gateways are told of workers
    troubles: tuple[ScheduledFault, ...] = ()


def load(path: str) -> Plan:
    """The plan in a file; ConfigError names what is wrong and where."""
    return convert(read_text(path), Plan, path)
