"""Stub workers: an accept thread that is scheduled late, and the commands of their process."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from saffronstack.standin import host, worker
from saffronstack.standin.fleet import StubWorkerFleet
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


def test_the_flush_command_unloads_the_idle_instances() -> None:
    fleet = StubWorkerFleet(1, lambda n: Profile(load_s=0.0))
    try:
        model = fleet.workers[0].model
        model.load_instances("record-sale", 128.0, concurrency=1, count=1, deadline_s=1.0)
        assert model.loaded_instances("record-sale") == 1
        host._execute_command(fleet, {"do": "flush", "workers": [0]})
        assert model.loaded_instances("record-sale") == 0
    finally:
        fleet.stop()
