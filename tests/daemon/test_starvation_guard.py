"""A process that notices by itself that the processor it keeps to is taken up."""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys

import pytest

from saffronstack.cli import starvation_guard
from saffronstack.cli.starvation_guard import StarvationGuard
from saffronstack.daemon.processor_starvation import SAMPLE_INTERVAL_S, ThreadSample, read_threads
from saffronstack.standin.fleet import StandInFleet, sample
from tests.support.stack import eventually

LOOKS = 5


@pytest.mark.parametrize(
    ("is_runnable", "released"), [(True, [os.getpid()]), (False, [])], ids=["starved", "idle"]
)
def test_the_process_is_released_once_its_probe_gets_no_processor(
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
    for _ in range(LOOKS):
        now_s += SAMPLE_INTERVAL_S
        guard.check()
    guard.stop()
    assert found == released


def test_a_probe_that_does_not_even_start_counts_as_starved(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nor does the gateway wait for it: the processor may be taken up already when it begins to serve."""
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


@pytest.mark.skipif(len(os.sched_getaffinity(0)) < 2, reason="there is one processor")
@pytest.mark.parametrize(("cpus", "main_runs_anywhere"), [((), True), (("--cpus", "0"), False)])
def test_a_gateway_keeps_to_one_processor_but_for_the_thread_that_looks(
    tmp_path: pathlib.Path, one_worker: StandInFleet, cpus: tuple[str, ...], main_runs_anywhere: bool
) -> None:
    path = tmp_path / "gateway.json5"
    path.write_text(json.dumps(sample(one_worker.entries(), "127.0.0.1:0")))
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
