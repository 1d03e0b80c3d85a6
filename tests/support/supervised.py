"""A gateway of several supervised processes, and what one of them says of itself."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from saffronstack.standin.fleet import StubWorkerFleet
from tests.support.stack import Stack, configuration

PROCESSES = 3


def start_supervisor(
    config_path: pathlib.Path, workers: StubWorkerFleet, processes: int
) -> tuple[Stack, subprocess.Popen[bytes]]:
    """Start a supervisor and wait until its gateway accepts requests."""
    process = subprocess.Popen(
        [
            sys.executable, "-m", "saffronstack.cli.main", "serve", "--config", str(config_path),
            "--processes", str(processes), "--log-level", "error",
        ],
        stdout=subprocess.PIPE,
    )  # fmt: skip
    assert process.stdout is not None
    address = process.stdout.readline().decode().strip().rpartition("/")[2]
    assert address
    return Stack(None, workers, {}, address), process  # type: ignore[arg-type]


@contextmanager
def supervised_gateway(
    tmp_path: pathlib.Path, workers: StubWorkerFleet, **changes: Any
) -> Iterator[tuple[Stack, subprocess.Popen[bytes]]]:
    """A gateway of three processes; it must end cleanly with the block."""
    path = tmp_path / "gateway.json5"
    path.write_text(json.dumps(configuration(workers, tmp_path / "ledger", **changes)))
    stack, process = start_supervisor(path, workers, PROCESSES)
    assert process.stdout is not None
    try:
        yield stack, process
    finally:
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        process.stdout.close()
        assert process.wait(30) == 0


def process_status(stack: Stack, index: int) -> dict[str, int]:
    """The status page of one process; empty while it does not answer."""
    try:
        answer = stack.get(f"/status?process={index}")
    except OSError:  # the connection had been given to the process that died
        return {}
    found: dict[str, int] = json.loads(answer.body) if answer.status == 200 else {}
    return found
