"""Threads that are kept for more work."""

from __future__ import annotations

import threading
from collections.abc import Callable

import pytest

from saffronstack.runtime import threads
from saffronstack.runtime.threads import Crew

WAIT_S = 20.0


@pytest.fixture
def started(monkeypatch: pytest.MonkeyPatch) -> list[threading.Thread]:
    """Each thread that a crew started."""
    found: list[threading.Thread] = []
    spawn = threads.spawn

    def counted(name: str, run: Callable[[], object]) -> threading.Thread:
        found.append(spawn(name, run))
        return found[-1]

    monkeypatch.setattr(threads, "spawn", counted)
    return found


def idle(crew: Crew, number: int) -> None:
    end = threading.Event()
    while crew._idle != number:
        assert not end.wait(0.001)


def test_work_that_follows_is_done_by_a_thread_that_waits(started: list[threading.Thread]) -> None:
    crew, done = Crew("crew", idle_s=WAIT_S), threading.Semaphore(0)
    for _ in range(20):
        crew.run(done.release)
        assert done.acquire(timeout=WAIT_S)
        idle(crew, 1)
    assert len(started) == 1


def test_work_never_waits_for_other_work(started: list[threading.Thread]) -> None:
    crew, together = Crew("crew", idle_s=WAIT_S), threading.Barrier(12)
    ended = threading.Semaphore(0)

    def work() -> None:
        together.wait(WAIT_S)  # each needs all others to run at the same time
        ended.release()

    for _ in range(3):
        for _ in range(12):
            crew.run(work)
        for _ in range(12):
            assert ended.acquire(timeout=WAIT_S)
        idle(crew, 12)
    assert len(started) == 12


def test_threads_without_work_end_and_only_so_many_wait(started: list[threading.Thread]) -> None:
    crew, together = Crew("crew", idle_s=0.01, max_idle=3), threading.Barrier(8)
    for _ in range(8):
        crew.run(lambda: together.wait(WAIT_S))
    for thread in started:
        thread.join(WAIT_S)
        assert not thread.is_alive()
    assert crew._idle == 0


def test_work_handed_over_while_a_thread_gives_up_waiting_is_done() -> None:
    crew, done = Crew("crew", idle_s=0.0005), threading.Semaphore(0)
    for _ in range(400):
        crew.run(done.release)
        threading.Event().wait(0.0005)
    for _ in range(400):
        assert done.acquire(timeout=WAIT_S)
