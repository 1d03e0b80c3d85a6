"""Tests of detached threads, thread names and the pool of idle threads."""

from __future__ import annotations

import pathlib
import threading
from collections.abc import Callable

import pytest

from saffronstack.runtime import threads
from saffronstack.runtime.threads import IdleThreadPool, start_detached_thread, start_thread

WAIT_S = 20.0


@pytest.fixture
def started(monkeypatch: pytest.MonkeyPatch) -> list[threading.Thread]:
    """Threads that pools have started."""
    started_threads: list[threading.Thread] = []
    start_thread = threads.start_thread

    def recording_start(name: str, run: Callable[[], object]) -> threading.Thread:
        started_threads.append(start_thread(name, run))
        return started_threads[-1]

    monkeypatch.setattr(threads, "start_thread", recording_start)
    return started_threads


def wait_for_idle(pool: IdleThreadPool, count: int) -> None:
    never_set = threading.Event()
    while pool._idle != count:
        assert not never_set.wait(0.001)


@pytest.mark.parametrize(
    ("name", "system_name"),
    [("clients", "clients"), ("a-name-that-is-too-long", "a-name-that-is-")],
    ids=["short", "cut"],
)
@pytest.mark.parametrize("start", [start_thread, start_detached_thread])
def test_a_thread_has_its_name_in_the_operating_system(
    start: Callable[[str, Callable[[], object]], object], name: str, system_name: str
) -> None:
    """Without a name of its own, each thread is shown as `python` by tools of the operating system."""
    names: list[str] = []
    has_run = threading.Event()

    def read_name() -> None:
        names.append(pathlib.Path("/proc/thread-self/comm").read_text())
        has_run.set()

    start(name, read_name)
    assert has_run.wait(WAIT_S)
    assert names == [f"{system_name}\n"]


def test_a_thread_runs_even_if_its_name_can_not_be_set(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(threads, "_SYSTEM_NAME_PATH", "/proc/no-such-file")
    has_run = threading.Event()
    start_thread("unnamed", has_run.set)
    assert has_run.wait(WAIT_S)


def test_an_idle_thread_runs_the_next_task(started: list[threading.Thread]) -> None:
    pool, done = IdleThreadPool("pool", idle_s=WAIT_S), threading.Semaphore(0)
    for _ in range(20):
        pool.run(done.release)
        assert done.acquire(timeout=WAIT_S)
        wait_for_idle(pool, 1)
    assert len(started) == 1


def test_tasks_run_concurrently(started: list[threading.Thread]) -> None:
    pool, barrier = IdleThreadPool("pool", idle_s=WAIT_S), threading.Barrier(12)
    ended = threading.Semaphore(0)

    def task() -> None:
        barrier.wait(WAIT_S)  # passes only while all tasks run at the same time
        ended.release()

    for _ in range(3):
        for _ in range(12):
            pool.run(task)
        for _ in range(12):
            assert ended.acquire(timeout=WAIT_S)
        wait_for_idle(pool, 12)
    assert len(started) == 12


def test_idle_threads_end_and_their_number_is_limited(started: list[threading.Thread]) -> None:
    pool, barrier = IdleThreadPool("pool", idle_s=0.01, max_idle=3), threading.Barrier(8)
    for _ in range(8):
        pool.run(lambda: barrier.wait(WAIT_S))
    for thread in started:
        thread.join(WAIT_S)
        assert not thread.is_alive()
    assert pool._idle == 0


def test_a_task_assigned_as_an_idle_thread_times_out_is_run() -> None:
    pool, done = IdleThreadPool("pool", idle_s=0.0005), threading.Semaphore(0)
    for _ in range(400):
        pool.run(done.release)
        threading.Event().wait(0.0005)
    for _ in range(400):
        assert done.acquire(timeout=WAIT_S)


def test_a_detached_thread_starts_while_another_start_blocks() -> None:
    """A blocked `start_thread` holds the stack size lock until its thread is scheduled."""
    has_run = threading.Event()
    with threads._stack_size_lock:
        start_detached_thread("detached", has_run.set)
        assert has_run.wait(WAIT_S)


def test_a_detached_thread_restores_the_stack_size() -> None:
    before_bytes = threading.stack_size()
    has_run = threading.Event()
    start_detached_thread("detached", has_run.set)
    assert has_run.wait(WAIT_S)
    assert threading.stack_size() == before_bytes
