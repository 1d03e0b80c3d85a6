"""A process detects by itself that other processes use the CPU that it is pinned to."""

from __future__ import annotations

import contextlib
import errno
import json
import os
import pathlib
import subprocess
import sys
import threading

import pytest

from saffronstack.cli import cpu_affinity, starvation_guard
from saffronstack.cli.cpu_affinity import move_threads
from saffronstack.cli.starvation_guard import StarvationGuard
from saffronstack.client import Client
from saffronstack.daemon.processor_choice import CPU_SAMPLE_INTERVAL_S, CPU_SAMPLE_WINDOW_S
from saffronstack.daemon.processor_settling import MIN_IDLE_TIME_S
from saffronstack.daemon.processor_starvation import SAMPLE_INTERVAL_S, ThreadSample, read_threads
from saffronstack.http1.messages import HttpError
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.fleet import StubWorkerFleet, sample_config
from tests.support.stack import AMPLE_DEADLINE_S, configuration, eventually

CHECKS = 5
NS_PER_S = 1_000_000_000
RUN_NS_PER_S = NS_PER_S // 50
BUSY_PROCESSES = 8
BUSY_PROCESS = """
import os, sys, time
os.sched_setaffinity(0, {int(sys.argv[1])})
end_s = time.monotonic() + 15
print("busy", flush=True)
while time.monotonic() < end_s: pass
"""
# A process whose guard checks until its other threads run elsewhere or 30 s have passed.
GUARDED_PROCESS = """
import os, sys, threading, time
from saffronstack.cli.cpu_affinity import pin_threads
from saffronstack.cli.starvation_guard import StarvationGuard
from saffronstack.daemon.processor_times import CpuIdleTimes
allowed, kept = os.sched_getaffinity(0), int(sys.argv[1])
own = CpuIdleTimes()
def work():
    while True:
        end_s = time.thread_time() + 0.002
        while time.thread_time() < end_s: pass
        time.sleep(0.01)
worker = threading.Thread(target=work, daemon=True)
worker.start()
pin_threads({kept})
guard = StarvationGuard(
    allowed, read_idle=lambda processors: dict.fromkeys(processors, time.monotonic_ns()) | own.read({kept}))
while not guard.has_started: time.sleep(0.01)

print("kept", flush=True)
end_s = time.monotonic() + 30
while os.sched_getaffinity(worker.native_id) == {kept} and time.monotonic() < end_s:
    time.sleep(0.25)
    guard.check()
print("left" if os.sched_getaffinity(worker.native_id) != {kept} else "stayed", flush=True)
"""


def start_python(code: str, processor: int) -> subprocess.Popen[bytes]:
    return subprocess.Popen([sys.executable, "-c", code, str(processor)], stdout=subprocess.PIPE)


def call_until_closed(address: str) -> None:
    with contextlib.suppress(OSError, HttpError):
        Client(address, AMPLE_DEADLINE_S).invoke("identify-copy", b"{}", "RequestResponse")


def affinities(pid: int) -> set[frozenset[int]]:
    found = set()
    for thread in read_threads(pid):
        with contextlib.suppress(ProcessLookupError):  # it has ended
            found.add(frozenset(os.sched_getaffinity(thread)))
    return found


def first_line(process: subprocess.Popen[bytes]) -> bytes:
    assert process.stdout is not None
    return process.stdout.readline()


@pytest.mark.parametrize(
    ("is_runnable", "released"), [(True, [os.getpid()]), (False, [])], ids=["starved", "idle"]
)
def test_the_process_is_unpinned_once_its_probe_gets_no_cpu_time(
    is_runnable: bool, released: list[int]
) -> None:
    now_s = 100.0
    found: list[int] = []

    def release(pid: int) -> bool:
        if pid in found:
            return False
        found.append(pid)
        return True

    guard = StarvationGuard(
        os.sched_getaffinity(0), lambda: now_s, lambda pid, thread: ThreadSample(is_runnable, 7), release
    )
    eventually(lambda: guard.has_started)
    for _ in range(CHECKS):
        now_s += SAMPLE_INTERVAL_S
        guard.check()
    guard.stop()
    assert found == released


def test_a_probe_that_has_not_started_counts_as_starved(monkeypatch: pytest.MonkeyPatch) -> None:
    """The gateway does not wait for the probe: its CPU may be contended before it begins to serve."""
    monkeypatch.setattr(starvation_guard, "start_thread", lambda name, run: None)
    now_s, found = 100.0, []

    def release(pid: int) -> bool:
        found.append(pid)
        return True

    guard = StarvationGuard(os.sched_getaffinity(0), lambda: now_s, release=release)
    for _ in range(2):
        now_s += SAMPLE_INTERVAL_S
        guard.check()
    assert found == [os.getpid()]


@pytest.mark.skipif(len(os.sched_getaffinity(0)) < 2, reason="needs two CPUs")
def test_the_process_moves_after_a_second_if_others_leave_it_some_cpu_time() -> None:
    """Beside 150 busy processes a gateway got a time slice between any two samples and never moved."""
    allowed = os.sched_getaffinity(0)
    kept, idle, *_ = sorted(allowed)
    now_s, moved = 100.0, []
    os.sched_setaffinity(0, {kept})  # the guard unpins this thread again
    guard = StarvationGuard(
        allowed,
        lambda: now_s,
        lambda pid, thread: ThreadSample(True, 0, int(now_s * NS_PER_S) // 2),
        read_idle=lambda processors: {kept: 0, idle: int(now_s * NS_PER_S)},
        read_run_ns=lambda: int(now_s * RUN_NS_PER_S),
        move=lambda processors, excluded: moved.append((now_s, sorted(processors))),
    )
    for _ in range(CHECKS):
        guard.check()
        now_s += CPU_SAMPLE_INTERVAL_S
    guard.stop()  # unpins the process, since nothing checks from now on
    assert moved == [(100.0 + CPU_SAMPLE_WINDOW_S, [idle]), (now_s, sorted(allowed))]


@pytest.mark.skipif(len(os.sched_getaffinity(0)) < 2, reason="needs two CPUs")
def test_an_unpinned_process_is_pinned_again_once_a_cpu_is_idle() -> None:
    """After an overload of 1 s an unpinned gateway lost two thirds of its calls until it was restarted."""
    allowed = os.sched_getaffinity(0)
    kept, idle, *_ = sorted(allowed)
    now_s, processors = 100.0, []
    os.sched_setaffinity(0, {kept})
    guard = StarvationGuard(
        allowed,
        lambda: now_s,
        lambda pid, thread: ThreadSample(False, 0),
        read_idle=lambda processors: {kept: 0, idle: int(now_s * NS_PER_S)},
        move=lambda moved, excluded: processors.append((now_s, sorted(moved))),
    )
    eventually(lambda: guard.has_started)
    os.sched_setaffinity(guard._probe_thread, allowed)  # as a daemon does if it finds the process starved
    while now_s < 100.0 + MIN_IDLE_TIME_S:
        guard.check()
        assert processors == []
        now_s += CPU_SAMPLE_INTERVAL_S
    guard.check()
    assert processors == [(100.0 + MIN_IDLE_TIME_S, [idle])]
    guard.stop()


@pytest.mark.skipif(len(os.sched_getaffinity(0)) < 2, reason="needs two CPUs")
def test_a_thread_that_ends_does_not_count_as_contention() -> None:
    """The whole CPU time of an ended thread once counted as wait time, so the process moved without cause."""
    allowed = os.sched_getaffinity(0)
    now_s, moved = 100.0, list[list[int]]()
    os.sched_setaffinity(0, {min(allowed)})
    ends = threading.Event()
    ending = start_thread("ending", ends.wait)
    run_ns = {ending.native_id: NS_PER_S // 2}
    guard = StarvationGuard(
        allowed,
        lambda: now_s,
        lambda pid, thread: ThreadSample(False, run_ns.get(thread, 0)),
        read_idle=lambda processors: dict.fromkeys(processors, int(now_s * NS_PER_S)),
        read_run_ns=lambda: NS_PER_S,
        move=lambda processors, excluded: moved.append(sorted(processors)),
    )
    eventually(lambda: guard.has_started)
    for check_number in range(3 * CHECKS):
        if check_number == CHECKS:
            ends.set()
            ending.join()
        guard.check()
        now_s += CPU_SAMPLE_INTERVAL_S
    assert moved == []
    guard.stop()


@pytest.mark.skipif(len(os.sched_getaffinity(0)) < 2, reason="needs two CPUs")
@pytest.mark.parametrize("begins_s", [102.0, 102.25, 102.3, 102.4])
def test_a_process_that_has_moved_is_not_unpinned_because_of_earlier_waits(
    monkeypatch: pytest.MonkeyPatch, begins_s: float
) -> None:
    """If contention began right before a monitor sample, the process left its new CPU 0.25 s later."""
    allowed = os.sched_getaffinity(0)
    now_s, waited_s, moved = 100.0, 0.0, list[set[int]]()
    os.sched_setaffinity(0, {min(allowed)})
    guard = StarvationGuard(
        allowed,
        lambda: now_s,
        lambda pid, thread: ThreadSample(False, 0, int(waited_s * NS_PER_S)),
        read_idle=lambda processors: dict.fromkeys(processors, int(now_s * NS_PER_S)),
        read_run_ns=lambda: 0,
        move=lambda processors, excluded: moved.append(set(processors)),
    )
    eventually(lambda: guard.has_started)
    monkeypatch.setattr(os, "sched_getaffinity", lambda pid: moved[-1] if moved else {min(allowed)})
    for _ in range(4 * CHECKS):
        guard.check()
        if not moved:
            waited_s += max(0.0, min(CPU_SAMPLE_INTERVAL_S, now_s + CPU_SAMPLE_INTERVAL_S - begins_s)) * 0.3
        now_s += CPU_SAMPLE_INTERVAL_S
    assert len(moved) == 1
    assert len(moved[0]) == 1
    guard.stop()


@pytest.mark.skipif(len(os.sched_getaffinity(0)) < 2, reason="needs two CPUs")
def test_a_process_leaves_a_cpu_that_busy_processes_use() -> None:
    """Runs real busy processes, beside which the process gets some time; the other CPUs are faked as idle."""
    *_, kept, _ = sorted(os.sched_getaffinity(0))
    with contextlib.ExitStack() as stack:
        guarded = stack.enter_context(start_python(GUARDED_PROCESS, kept))
        assert first_line(guarded) == b"kept\n"
        busy_processes = [
            stack.enter_context(start_python(BUSY_PROCESS, kept)) for _ in range(BUSY_PROCESSES)
        ]
        for one in (*busy_processes, guarded):
            stack.callback(one.kill)
        assert [first_line(one) for one in busy_processes] == [b"busy\n"] * BUSY_PROCESSES
        assert b"moved to another CPU" in first_line(guarded)
        assert first_line(guarded) == b"left\n"


@pytest.mark.skipif(len(os.sched_getaffinity(0)) < 2, reason="needs two CPUs")
@pytest.mark.parametrize(("cpus", "main_runs_anywhere"), [((), True), (("--cpus", "0"), False)])
def test_a_gateway_is_pinned_to_one_cpu_except_for_the_checking_thread(
    tmp_path: pathlib.Path, one_worker: StubWorkerFleet, cpus: tuple[str, ...], main_runs_anywhere: bool
) -> None:
    path = tmp_path / "gateway.json5"
    path.write_text(json.dumps(sample_config(one_worker.entries(), "127.0.0.1:0")))
    command = [sys.executable, "-m", "saffronstack.cli.main", "serve", "--config", str(path), *cpus]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            assert process.stdout is not None
            assert b"takes calls" in process.stdout.readline()
            others = {thread for thread in read_threads(process.pid) if thread != process.pid}
            (kept,) = {frozenset(os.sched_getaffinity(thread)) for thread in others}
            assert len(kept) == 1
            expected = os.sched_getaffinity(0) if main_runs_anywhere else kept
            eventually(lambda: os.sched_getaffinity(process.pid) == expected)
        finally:
            process.terminate()


@pytest.mark.skipif(len(os.sched_getaffinity(0)) < 2, reason="needs two CPUs")
def test_a_thread_that_starts_during_a_move_is_moved_too(monkeypatch: pytest.MonkeyPatch) -> None:
    """It inherits the affinity of the thread that starts it, which may be moved only after that."""
    listings = iter([[1, 2], [1, 2, 3], [1, 2, 3, 4], [1, 2, 3, 4]])
    kept = {1: {0}, 2: {0}, 3: {0}, 4: {0}}
    monkeypatch.setattr(threading, "enumerate", list)
    monkeypatch.setattr(cpu_affinity, "_listed_threads", lambda: next(listings))
    monkeypatch.setattr(os, "sched_getaffinity", kept.__getitem__)
    monkeypatch.setattr(os, "sched_setaffinity", kept.__setitem__)
    move_threads({5}, 1)
    assert kept == {1: {0}, 2: {5}, 3: {5}, 4: {5}}


@pytest.mark.skipif(len(os.sched_getaffinity(0)) < 2, reason="needs two CPUs")
def test_a_draining_gateway_runs_on_all_cpus(tmp_path: pathlib.Path, one_worker: StubWorkerFleet) -> None:
    """No check runs during a drain: a gateway whose CPU became contended then did not exit for 20 s."""
    worker = one_worker.workers[0]
    worker.faults.silent = True
    path = tmp_path / "gateway.json5"
    path.write_text(json.dumps(configuration(one_worker, deadline_s=AMPLE_DEADLINE_S)))
    command = [sys.executable, "-m", "saffronstack.cli.main", "serve", "--config", str(path)]
    with contextlib.ExitStack() as stack:
        process = stack.enter_context(subprocess.Popen(command, stdout=subprocess.PIPE))
        stack.callback(process.kill)
        address = first_line(process).decode().strip().rpartition("/")[2]
        start_thread("call", lambda: call_until_closed(address))
        eventually(lambda: any("arrive" in entry.values() for entry in worker.log))
        kept = {
            frozenset(os.sched_getaffinity(one)) for one in read_threads(process.pid) if one != process.pid
        }
        assert {len(processors) for processors in kept} == {1}
        process.terminate()
        eventually(lambda: affinities(process.pid) == {frozenset(os.sched_getaffinity(0))})
        assert process.poll() is None


def test_a_move_without_a_free_descriptor_uses_the_interpreters_thread_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A gateway must move and stop even while its clients use all file descriptors."""

    def fail(path: str) -> list[str]:
        raise OSError(errno.EMFILE, path)

    moved: list[int] = []
    monkeypatch.setattr(os, "listdir", fail)
    monkeypatch.setattr(os, "sched_getaffinity", lambda thread: set())
    monkeypatch.setattr(os, "sched_setaffinity", lambda thread, cpus: moved.append(thread))
    move_threads({0})
    assert threading.get_native_id() in moved


def test_a_move_does_not_touch_ended_threads(monkeypatch: pytest.MonkeyPatch) -> None:
    """The interpreter may keep the id of an ended thread, which another process's thread may have now."""
    ended = threading.Thread()
    ended._native_id = 77  # type: ignore[attr-defined]
    kept = {1: {0}, 77: {0}}
    monkeypatch.setattr(threading, "enumerate", lambda: [ended])
    monkeypatch.setattr(cpu_affinity, "_listed_threads", lambda: [1])
    monkeypatch.setattr(os, "sched_getaffinity", kept.__getitem__)
    monkeypatch.setattr(os, "sched_setaffinity", kept.__setitem__)
    move_threads({5})
    assert kept == {1: {5}, 77: {0}}
