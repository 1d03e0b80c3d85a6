"""A stub worker whose accept thread is scheduled late."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from saffronstack.standin import worker
from saffronstack.standin.model import Profile, Store
from saffronstack.standin.worker import StubWorker


def test_a_thread_that_runs_after_the_worker_has_stopped_accepts_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The thread must use its incarnation's listener: when it is scheduled, there may be none or another."""
    started: list[Callable[[], object]] = []
    monkeypatch.setattr(worker, "start_thread", lambda name, run: started.append(run))
    stub_worker = StubWorker("late", Profile(), Store())
    stub_worker.stop()
    (accept,) = started
    accept()  # returns at once
