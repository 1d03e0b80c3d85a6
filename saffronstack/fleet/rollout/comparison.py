"""What the judge of a rollout is handed and what it answers, without the statistics behind it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Verdict(Enum):
    """What is to become of a stage."""

    GOOD = "good"  # its time is over, and nothing is worse
    WAIT = "wait"
    BAD = "bad"
    DOUBT = "doubt"  # its time is over, and too little is known


@dataclass(frozen=True, slots=True)
class Ratio:
    """So many of so many went wrong: refused of calls, late of served, ..."""

    bad: int
    of: int


@dataclass(frozen=True, slots=True)
class Unit:
    """One gateway since the bake began. ``ratios`` by measure and class, ``gauges`` by measure (memory that
    grew, descriptors, ...: more is worse). One that could not be asked is ``silent`` and has neither."""

    gateway: str
    zone: str
    new: bool
    ratios: dict[str, Ratio] = field(default_factory=dict)
    gauges: dict[str, float] = field(default_factory=dict)
    restarts: int = 0
    breaches: int = 0  # of rules
    silent: bool = False


@dataclass(frozen=True, slots=True)
class Limits:
    """Of a stage. ``least``: smaller differences stop nothing, whatever their proof; by measure, the part of
    it before a slash."""

    false_stop: float = 0.01
    calls_least: int = 200
    silent_most: float = 0.2  # of the new gateways; with more the stage is in doubt
    ends_most: int = 1  # of new gateways by themselves, where no old one did; more are harm
    gross: float = 0.1  # more of a class's calls ended badly than beside it: harm, however few gateways tell
    least: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Finding:
    """One comparison."""

    measure: str
    new: float
    old: float
    chance: float  # of so much or more where the sides do not differ
    by_calls: float = 1.0  # the same if calls of one gateway were as unlike as any: too small, mostly

    def line(self) -> str:
        """For a person."""
        return f"{self.measure}: new {self.new:.4g}, old {self.old:.4g} (by chance {self.chance:.2g})"


@dataclass(frozen=True, slots=True)
class Look:
    """What one look came to. ``spent`` is handed to the next one."""

    verdict: Verdict
    spent: float
    reasons: tuple[str, ...]
    findings: tuple[Finding, ...] = ()
