"""Schedules of faults for lease servers and candidates: drawn from a seed, and reduced to those that fail."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

import msgspec

# Relative frequency of each kind of fault.
FAULT_WEIGHTS = {
    "kill keeper": 3, "replace keeper": 1, "replace paused": 1,
    "stop keeper": 2, "disk stalls": 2, "disk full": 1, "lie": 3, "cut": 3,
    "cut one way": 2, "cut candidates": 3,
    "late": 2, "reset": 2, "refuse": 1, "stop candidate": 3, "kill candidate": 2, "clock steps": 1,
}  # fmt: skip
DISK_FAULTS = ("old", "gone", "flip one copy", "flip both copies", "cut one copy", "swap copies")


class Fault(msgspec.Struct, frozen=True):
    """A fault of a schedule.

    Attributes:
        at_s: Seconds from the start of the schedule.
        kind: Key of `FAULT_WEIGHTS`.
        length_s: Duration in seconds.
        keepers: Numbers of the affected lease servers.
        candidates: Numbers of the affected candidates.
        how: Kind of disk damage or mode of a cut link; empty for other faults.
    """

    at_s: float
    kind: str
    length_s: float
    keepers: tuple[int, ...] = ()
    candidates: tuple[int, ...] = ()
    how: str = ""


def draw_schedule(
    seed: int, seconds: float, server_count: int, candidate_count: int, mean_interval_s: float = 1.0
) -> list[Fault]:
    """Return the faults drawn from a seed; each affects a minority of the servers at most."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    at_s = rng.expovariate(1 / mean_interval_s)
    minority = (server_count - 1) // 2
    while at_s < seconds:
        kind = rng.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0]
        servers = tuple(sorted(rng.sample(range(server_count), rng.randint(1, minority))))
        if kind in ("lie", "disk stalls", "disk full", "replace keeper", "replace paused"):
            servers = servers[:1]
        chosen_candidates = tuple(
            sorted(rng.sample(range(candidate_count), rng.randint(1, max(1, candidate_count // 3))))
        )
        how = ""
        if kind == "lie":
            how = rng.choice(DISK_FAULTS)
        elif kind.startswith("cut"):
            how = rng.choice(("hold", "lose"))
        length_s = round(rng.uniform(0.2, 4.0), 3)
        faults.append(Fault(round(at_s, 3), kind, length_s, servers, chosen_candidates, how))
        at_s += rng.expovariate(1 / mean_interval_s)
    return faults


def shrink_schedule(faults: Sequence[Fault], fails: Any, max_runs: int = 40) -> list[Fault]:
    """Return a small part of a schedule that still fails, found by delta debugging.

    Args:
        faults: The schedule.
        fails: Returns whether a run with the given faults fails.
        max_runs: Number of calls of ``fails`` after which no further reduction begins.
    """
    remaining, part_count = list(faults), 2
    runs = 0
    while len(remaining) > 1 and runs < max_runs:
        part_size = max(1, len(remaining) // part_count)
        for at in range(0, len(remaining), part_size):
            subset = remaining[:at] + remaining[at + part_size :]
            runs += 1
            if subset and fails(subset):
                remaining, part_count = subset, max(2, part_count - 1)
                break
        else:
            if part_size == 1:
                break
            part_count = min(len(remaining), part_count * 2)
    return remaining
