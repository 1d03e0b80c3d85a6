"""Tests of the handle on a gateway process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading

import pytest

from saffronstack.fleet.control.gateway_process import GatewayProcess, ProcessEnd


def test_a_command_to_an_ended_process_has_no_effect() -> None:
    """Guards against an error that would drop the daemon's further actions.

    The daemon's thread may send a command before it has handled the end of the process.
    """
    child = subprocess.Popen([sys.executable, "-c", ""], stdin=subprocess.PIPE)
    process = GatewayProcess(child.pid, "r", os.pidfd_open(child.pid), child)
    assert process.wait() == ProcessEnd(0)
    process.allow_serving()
    process.serve_after(process)
    assert process.has_ended()


def test_a_signal_does_not_reach_a_process_whose_pidfd_reuses_the_number(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a signal to another process.

    The daemon's thread signals while the waiting thread has closed the pidfd but not cleared its number yet.
    Another pidfd may have reused that number.
    """
    ended, other = (subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE) for _ in "ab")
    descriptor = os.pidfd_open(ended.pid)
    process = GatewayProcess(ended.pid, "r", descriptor, ended)
    is_closed, has_signalled = threading.Event(), threading.Event()
    close = os.close

    def close_and_reuse(number: int) -> None:
        close(number)
        os.dup2(other_descriptor, descriptor)
        is_closed.set()
        has_signalled.wait(0.2)  # without a lock the signal would be sent now

    def kill() -> None:
        assert is_closed.wait(10.0)
        process.send_signal(signal.SIGKILL)
        has_signalled.set()

    other_descriptor = os.pidfd_open(other.pid)
    with monkeypatch.context() as patched:
        patched.setattr(os, "close", close_and_reuse)
        killer = threading.Thread(target=kill)
        killer.start()
        process.close()
        killer.join(10.0)
    close(descriptor)
    close(other_descriptor)
    for child in (ended, other):
        child.communicate(b"\n", timeout=10.0)
    assert other.returncode == 0


@pytest.mark.parametrize(
    ("status", "has_crashed"), [(0, False), (1, False), (None, False), (9, True), (-9, True), (-11, True)]
)
def test_a_process_has_crashed_unless_it_shut_down_gracefully(status: int | None, has_crashed: bool) -> None:
    assert ProcessEnd(status).has_crashed is has_crashed
