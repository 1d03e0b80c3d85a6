"""Which faults a seed has in store for keepers and candidates, and which of them are enough to fail."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

import msgspec

# How often each kind of fault comes, in parts.
KINDS = {
    "kill keeper": 3, "replace keeper": 1, "replace paused": 1,
    "stop keeper": 2, "disk stalls": 2, "disk full": 1, "lie": 3, "cut": 3,
    "cut one way": 2, "cut candidates": 3,
    "late": 2, "reset": 2, "refuse": 1, "stop candidate": 3, "kill candidate": 2, "clock steps": 1,
}  # fmt: skip
LIES = ("old", "gone", "flip one copy", "flip both copies", "cut one copy", "swap copies")


class Fault(msgspec.Struct, frozen=True):
    """One fault: when it comes (seconds after the start of the faults), for how long, to whom."""

    at_s: float
    kind: str
    length_s: float
    keepers: tuple[int, ...] = ()
    candidates: tuple[int, ...] = ()
    how: str = ""


def schedule(seed: int, seconds: float, keepers: int, candidates: int, every_s: float = 1.0) -> list[Fault]:
    """What a seed has in store."""
    chance = random.Random(seed)
    found: list[Fault] = []
    at_s = chance.expovariate(1 / every_s)
    minority = (keepers - 1) // 2
    while at_s < seconds:
        kind = chance.choices(list(KINDS), list(KINDS.values()))[0]
        who = tuple(sorted(chance.sample(range(keepers), chance.randint(1, minority))))
        if kind in ("lie", "disk stalls", "disk full", "replace keeper", "replace paused"):
            who = who[:1]
        some = tuple(sorted(chance.sample(range(candidates), chance.randint(1, max(1, candidates // 3)))))
        how = ""
        if kind == "lie":
            how = chance.choice(LIES)
        elif kind.startswith("cut"):
            how = chance.choice(("hold", "lose"))
        length_s = round(chance.uniform(0.2, 4.0), 3)
        found.append(Fault(round(at_s, 3), kind, length_s, who, some, how))
        at_s += chance.expovariate(1 / every_s)
    return found


def shrink(faults: Sequence[Fault], fails: Any, most: int = 40) -> list[Fault]:
    """The fewest faults found that still fail, by leaving out halves, quarters, ... (delta debugging)."""
    left, parts = list(faults), 2
    tried = 0
    while len(left) > 1 and tried < most:
        size = max(1, len(left) // parts)
        for at in range(0, len(left), size):
            fewer = left[:at] + left[at + size :]
            tried += 1
            if fewer and fails(fewer):
                left, parts = fewer, max(2, parts - 1)
                break
        else:
            if size == 1:
                break
            parts = min(len(left), parts * 2)
    return left
