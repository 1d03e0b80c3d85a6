"""Simulates a machine on which new threads are not scheduled."""

from __future__ import annotations

import _thread
import threading
from collections.abc import Callable

import pytest

from saffronstack.runtime.threads import start_thread

WAIT_S = 10.0  # reached only if a test fails


def returns_without_new_threads(action: Callable[[], object]) -> bool:
    """Return whether an action returns while no new thread is scheduled; start these threads afterwards."""
    may_act, has_returned = threading.Event(), threading.Event()

    def act() -> None:
        assert may_act.wait(WAIT_S)
        action()
        has_returned.set()

    start_thread("action", act)
    unscheduled: list[tuple[Callable[..., object], tuple[object, ...]]] = []
    with pytest.MonkeyPatch.context() as patch:
        for module, name in ((_thread, "start_new_thread"), (threading, "_start_new_thread")):
            patch.setattr(module, name, lambda run, arguments: unscheduled.append((run, arguments)))
        may_act.set()
        has_returned_before = has_returned.wait(WAIT_S)
    for run, arguments in unscheduled:
        _thread.start_new_thread(run, arguments)
    return has_returned_before
