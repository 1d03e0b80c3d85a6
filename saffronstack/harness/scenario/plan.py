"""The schema of a scenario file: gateways, workers, traffic and faults."""

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
    """One fault: from ``at_s`` for ``for_s``, on a ``share`` of its targets, with a severity ``factor``."""

    kind: FaultKind
    at_s: NonNegative
    for_s: Positive = 5.0
    share: Share = 0.3
    factor: Positive = 3.0


class Workers(Struct, frozen=True, kw_only=True):
    """The stub workers."""

    count: Count = 12
    memory_mb: Positive = 2048.0
    cores: Count = 4
    work_s: Positive = 0.02
    load_s: Positive = 0.25
    queue: Count = 64
    keep_alive_s: Positive = 10.0


class Mix(Struct, frozen=True, kw_only=True):
    """The traffic; ``rate`` is in calls per second over all gateways."""

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


class RuleParameters(Struct, frozen=True, kw_only=True):
    """Parameters of the rules in this scenario."""

    drain_grace_s: NonNegative = 2.0
    cold_share: Share = 0.15
    cold_s: NonNegative = 10.0
    tip_multiple: NonNegative = 2.5
    tip_after_s: Positive = 1.0


class Plan(Struct, frozen=True, kw_only=True):
    """A scenario."""

    name: str
    seconds: Positive = 60.0
    gateways: Count = 3
    workers: Workers = Workers()
    traffic: Mix = Mix()
    rules: RuleParameters = RuleParameters()
    membership: Literal["signal", "file"] = "signal"  # how gateways learn of workers
    troubles: tuple[ScheduledFault, ...] = ()


def load(path: str) -> Plan:
    """Read a scenario file.

    Raises:
        ConfigError: The file does not fit the schema.
    """
    return convert(read_text(path), Plan, path)
