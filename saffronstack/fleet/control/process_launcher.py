"""Starts gateway processes on the daemon's listening socket, and reports their events."""

from __future__ import annotations

import contextlib
import os
import pathlib
import socket
import subprocess
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import IO

from saffronstack.daemon.listener_handover import MARK_VARIABLE
from saffronstack.fleet.control.gateway_process import GatewayProcess, ProcessEvent, ProcessEventKind
from saffronstack.runtime.threads import start_thread

# Substrings of the lines that `saffronstack serve --standby` prints when it is prepared and when it serves.
PREPARED_LINE, SERVING_LINE = "prepared", "takes calls"
MAX_LOG_BYTES = 4 << 20  # a larger log is rotated when a process is started
LISTEN_BACKLOG = 1024


@dataclass(frozen=True, slots=True)
class LaunchSpec:
    """Settings of a gateway process to start.

    Attributes:
        gateway: The name of the gateway.
        incarnation: The number of the incarnation in reported events.
        release: The digest of the release.
        command: The program and its arguments, without those for the listening socket and standby.
        mark: Identifies processes of this gateway of this daemon for `process_discovery`.
        log_path: The file to which standard error is appended.
    """

    gateway: str
    incarnation: int
    release: str
    command: Sequence[str]
    mark: str
    log_path: pathlib.Path


def bind_listener(address: str) -> socket.socket:
    """Bind a socket on which the incarnations of a gateway listen one after another.

    Connections that arrive between two incarnations wait in its accept queue. The socket is bound with
    SO_REUSEPORT because a process of an earlier daemon may still be bound to the address.

    Raises:
        OSError: The address can't be bound.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind((host, int(port)))
    except OSError:
        listener.close()
        raise
    return listener


def launch(
    spec: LaunchSpec, listener: socket.socket, report: Callable[[ProcessEvent], None]
) -> GatewayProcess:
    """Start a standby process.

    Args:
        spec: The settings of the process.
        listener: The bound socket that the process inherits.
        report: Called with each event, on threads of the launcher.

    Raises:
        OSError: The process can't be started.
    """
    _rotate_log(spec.log_path)
    with open(spec.log_path, "ab") as log_file:
        child = subprocess.Popen(
            [*spec.command, "--listen-fd", str(listener.fileno()), "--standby"],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log_file, pass_fds=(listener.fileno(),),
            start_new_session=True, env={**os.environ, MARK_VARIABLE: f"{spec.mark}/{spec.release}"},
        )  # fmt: skip
    process = GatewayProcess(child.pid, spec.release, os.pidfd_open(child.pid), child)
    assert child.stdout is not None
    output = child.stdout
    start_thread("gateway-output", lambda: _report_output(spec, output, report))
    start_thread("gateway-end", lambda: report_end(spec.gateway, spec.incarnation, process, report))
    return process


def report_end(
    gateway: str, incarnation: int, process: GatewayProcess, report: Callable[[ProcessEvent], None]
) -> None:
    """Wait for the end of a process, and report it."""
    end = process.wait()
    report(ProcessEvent(gateway, incarnation, ProcessEventKind.ENDED, end.reason, end.has_crashed))


def _rotate_log(path: pathlib.Path) -> None:
    with contextlib.suppress(OSError):  # the log does not exist yet
        if path.stat().st_size > MAX_LOG_BYTES:
            os.replace(path, path.with_suffix(".log.1"))


def _report_output(spec: LaunchSpec, output: IO[bytes], report: Callable[[ProcessEvent], None]) -> None:
    """Read a process's standard output, and report when the process is prepared and when it serves."""
    with output:
        for line in output:
            text = line.decode("utf-8", "replace")
            if SERVING_LINE in text:
                report(ProcessEvent(spec.gateway, spec.incarnation, ProcessEventKind.SERVING))
            elif PREPARED_LINE in text:
                report(ProcessEvent(spec.gateway, spec.incarnation, ProcessEventKind.PREPARED))
