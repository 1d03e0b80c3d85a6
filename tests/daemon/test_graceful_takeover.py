"""Graceful takeover of a listening socket by a second gateway process, with and without a daemon."""

from __future__ import annotations

import json
import pathlib
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from saffronstack.client import Client
from saffronstack.daemon.listener_handover import request_listener
from saffronstack.fleet.control.gateway_process import GatewayProcess, ProcessEvent, ProcessEventKind
from saffronstack.fleet.control.process_discovery import find_processes
from saffronstack.fleet.control.process_launcher import LaunchSpec, bind_listener, launch
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.worker import reserve_port
from tests.support.stack import AMPLE_DEADLINE_S, configuration, eventually

SERVE = [
    sys.executable, "-m", "saffronstack.cli.main", "serve", "--log-level", "error",
    "--cpus", "all",  # on one CPU, it would wait for the other processes there
]  # fmt: skip


@pytest.fixture
def config_path(tmp_path: pathlib.Path, one_worker: StubWorkerFleet) -> pathlib.Path:
    """A gateway's configuration."""
    path = tmp_path / "g1.json5"
    path.write_text(json.dumps(configuration(one_worker, deadline_s=AMPLE_DEADLINE_S)))
    return path


@pytest.fixture
def address() -> Iterator[str]:
    """A free port that no other process can take while the test runs."""
    with reserve_port("127.0.0.1") as holder:
        yield f"127.0.0.1:{holder.getsockname()[1]}"


class EventLog:
    """Collects the events that gateway processes report."""

    def __init__(self) -> None:
        self.events: list[ProcessEvent] = []

    def wait_for(self, kind: ProcessEventKind, incarnation: int) -> None:
        eventually(
            lambda: any(event.kind is kind and event.incarnation == incarnation for event in self.events)
        )

    def end_reasons(self) -> list[str]:
        return [event.reason for event in self.events if event.kind is ProcessEventKind.ENDED]


def close_input(process: GatewayProcess) -> None:
    """Close the pipe from the daemon, as the exit of the daemon does."""
    assert process._child is not None
    assert process._child.stdin is not None
    process._child.stdin.close()


def write_line(process: subprocess.Popen[bytes], line: bytes) -> None:
    assert process.stdin is not None
    process.stdin.write(line)
    process.stdin.flush()


def read_line(process: subprocess.Popen[bytes]) -> bytes:
    assert process.stdout is not None
    return process.stdout.readline()


def test_a_gateway_serves_on_without_its_daemon_and_its_successor_takes_over(
    tmp_path: pathlib.Path, config_path: pathlib.Path, address: str
) -> None:
    log = EventLog()
    mark = f"test/{tmp_path}"
    command = [*SERVE, "--config", str(config_path)]
    with bind_listener(address) as listener:
        first, second = (
            launch(LaunchSpec("g1", n, f"r{n}", command, mark, tmp_path / "log"), listener, log.events.append)
            for n in (1, 2)
        )
        for incarnation in (1, 2):
            log.wait_for(ProcessEventKind.PREPARED, incarnation)
        first.allow_serving()
        log.wait_for(ProcessEventKind.SERVING, 1)
        assert [process.release for process in find_processes(mark)] == ["r1", "r2"]
        # The daemon's pipes close, as at its exit. The first process serves on; the second waits for it.
        second.serve_after(first)
        close_input(first)
        close_input(second)
        client = Client(address, 10.0)
        assert client.invoke("identify-copy", b"{}").status == 200
        received = request_listener(f"{mark}/r1", first.pid)
        assert received is not None
        first.send_signal(signal.SIGTERM)
        log.wait_for(ProcessEventKind.ENDED, 1)
        log.wait_for(ProcessEventKind.SERVING, 2)
        assert client.invoke("identify-copy", b"{}").status == 200
        client.close()
        second.send_signal(signal.SIGTERM)
        log.wait_for(ProcessEventKind.ENDED, 2)
        received.close()
    assert log.end_reasons() == ["status 0", "status 0"]


@contextmanager
def serving_with_successor(
    config_path: pathlib.Path,
) -> Iterator[tuple[subprocess.Popen[bytes], subprocess.Popen[bytes], socket.socket]]:
    """Start a process that serves and a standby process that succeeds it; yield both and their listener."""
    listener = bind_listener("127.0.0.1:0")
    command = [*SERVE, "--config", str(config_path), "--listen-fd", str(listener.fileno()), "--standby"]

    def start() -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, pass_fds=(listener.fileno(),)
        )

    with start() as first, start() as second, listener:
        for process in (first, second):
            assert read_line(process) == b"saffronstack is prepared\n"
        write_line(first, b"go\n")
        assert read_line(first).startswith(b"saffronstack takes calls")
        write_line(second, b"after %d\n" % first.pid)
        yield first, second, listener


def test_a_successor_serves_after_its_pipes_to_the_daemon_are_closed(config_path: pathlib.Path) -> None:
    with serving_with_successor(config_path) as (first, second, listener):
        assert second.stdin is not None
        assert second.stdout is not None
        second.stdin.close()  # the daemon has exited, which closed its ends of both pipes
        second.stdout.close()
        first.send_signal(signal.SIGTERM)
        assert first.wait(30.0) == 0
        host, port = listener.getsockname()
        client = Client(f"{host}:{port}", 30.0)
        assert client.invoke("identify-copy", b"{}").status == 200
        client.close()
        second.send_signal(signal.SIGTERM)
        assert second.wait(30.0) == 0


def test_a_successor_serves_once_its_predecessor_has_ended_though_its_daemon_is_stopped(
    config_path: pathlib.Path,
) -> None:
    """Guards against clients that wait while the daemon is stopped between one exit and the next start."""
    with serving_with_successor(config_path) as (first, second, listener):
        first.send_signal(signal.SIGTERM)  # from here on the daemon writes nothing, but keeps both pipes open
        try:
            host, port = listener.getsockname()
            client = Client(f"{host}:{port}", 30.0)
            assert client.invoke("identify-copy", b"{}").status == 200
            client.close()
            assert first.wait(30.0) == 0
        finally:
            for process in (first, second):
                process.send_signal(signal.SIGTERM)
        assert second.wait(30.0) == 0


def test_a_standby_process_exits_when_its_daemon_exits() -> None:
    completed = subprocess.run(
        [*SERVE, "--with-standins", "--listen", "127.0.0.1:0", "--standby"], input="", capture_output=True,
        text=True, timeout=60.0, check=False,
    )  # fmt: skip
    assert completed.returncode == 0
    assert completed.stdout.strip() == "saffronstack is prepared"
