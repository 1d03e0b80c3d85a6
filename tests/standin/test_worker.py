"""A stand-in worker whose thread is scheduled late."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from saffronstack.standin import worker
from saffronstack.standin.model import Profile, Store
from saffronstack.standin.worker import StubWorker


def test_a_thread_that_runs_after_the_worker_has_stopped_accepts_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It looked for its listener when it was scheduled, which by then was gone or its successor's."""
    started: list[Callable[[], object]] = []
    monkeypatch.setattr(worker, "start_thread", lambda name, run: started.append(run))
    stand_in = StubWorker("late", Profile(), Store())
    stand_in.stop()
    (accept,) = started
    accept()  # returns at once
