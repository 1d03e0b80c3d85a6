"""Which processors a process runs on."""

from __future__ import annotations

import os

DEFAULT_CPUS = "one"


def choose_cpus(selection: str, allowed: set[int], turn: int) -> set[int]:
    """Return the processors to run on.

    One is the default: only one thread holds the interpreter's lock at a time, and handing it over between
    processors costs more than the work between two of them.

    Args:
        selection: ``one``, ``all``, or numbers joined by commas.
        allowed: Numbers of the processors that this process may use.
        turn: Spreads processes that run on one processor each.

    Raises:
        ValueError: The selection has none of the forms, or names a processor that is not allowed.
    """
    if selection == "all":
        return allowed
    if selection == DEFAULT_CPUS:
        return {sorted(allowed)[turn % len(allowed)]}
    chosen = {int(part) for part in selection.split(",")}
    if not chosen <= allowed:
        raise ValueError(f"--cpus: {sorted(chosen - allowed)} are not allowed here, only {sorted(allowed)}")
    return chosen


def pin_to_cpus(selection: str, turn: int) -> set[int]:
    """Run this process on the selected processors, where the system can do that; see `choose_cpus`.

    Returns:
        The processors that it was allowed before and gave up; none where it runs on all of them.
    """
    if not hasattr(os, "sched_setaffinity"):
        return set()
    allowed = set(os.sched_getaffinity(0))
    chosen = choose_cpus(selection, allowed, turn)
    os.sched_setaffinity(0, chosen)
    return allowed - chosen
