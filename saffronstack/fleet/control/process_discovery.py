"""Finds gateway processes that an earlier daemon started and that still run.

The search reads `/proc` instead of a file of process ids: the environment of each gateway process has a mark.
"""

from __future__ import annotations

import os
import pathlib
import signal
import threading
from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.daemon.listener_handover import MARK_VARIABLE
from saffronstack.fleet.control.gateway_process import GatewayProcess
from saffronstack.fleet.control.metrics_poller import find_serving_pid

ADOPTION_TIMEOUT_S = 3.0  # maximum wait for a process of an earlier daemon to respond on the address
RETRY_INTERVAL_S = 0.05
START_TIME_FIELD = 19  # index in /proc/PID/stat, counted after the name in parentheses


@dataclass(frozen=True, slots=True)
class _MarkedProcess:
    started_ticks: int
    process: GatewayProcess


def find_processes(mark: str) -> list[GatewayProcess]:
    """Return this user's processes that have a mark, the newest last."""
    marked: list[_MarkedProcess] = []
    for entry in os.scandir("/proc"):
        if not entry.name.isdigit() or int(entry.name) == os.getpid():
            continue
        found = _read_process(entry, f"{MARK_VARIABLE}={mark}/".encode())
        if found is not None:
            marked.append(found)
    return [found.process for found in sorted(marked, key=lambda found: found.started_ticks)]


def _read_process(entry: os.DirEntry[str], prefix: bytes) -> _MarkedProcess | None:
    """Return the process if its environment has a variable with this prefix, followed by a release."""
    try:
        if entry.stat().st_uid != os.geteuid():
            return None
        pidfd = os.pidfd_open(int(entry.name))
    except OSError:
        return None  # the process has ended
    try:
        # The mark is read after the pidfd is opened, so it belongs to the process that signals will reach.
        variables = pathlib.Path(entry.path, "environ").read_bytes().split(b"\0")
        release = next(
            variable[len(prefix) :].decode() for variable in variables if variable.startswith(prefix)
        )
        fields = pathlib.Path(entry.path, "stat").read_text().rpartition(")")[2].split()
        process = GatewayProcess(int(entry.name), release, pidfd, None)
        return _MarkedProcess(int(fields[START_TIME_FIELD]), process)
    except (OSError, StopIteration, ValueError, IndexError):
        os.close(pidfd)  # the process has ended, or has no such mark
        return None


def find_serving_process(
    mark: str, address: str, clock: Callable[[], float], stopping: threading.Event
) -> GatewayProcess | None:
    """Return the process with a mark that serves on an address, and terminate the others.

    A standby process ends with its daemon, but a successor that waits for its predecessor's end will serve.
    Therefore this waits until a process serves. If none responds in time, it returns the newest.
    """
    deadline_s = clock() + ADOPTION_TIMEOUT_S
    while running := find_processes(mark):
        serving_pid = find_serving_pid(address, clock)
        fallback = running[-1] if clock() >= deadline_s else None
        serving = next((process for process in running if process.pid == serving_pid), fallback)
        for process in running:
            if process is not serving:
                if serving is not None:
                    process.send_signal(signal.SIGTERM)
                process.close()
        if serving is not None:
            return serving
        stopping.wait(RETRY_INTERVAL_S)
    return None
