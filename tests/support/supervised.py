"""A gateway of several supervised processes, and the status of one of them."""

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
    """Run a gateway of three processes; its supervisor must exit with status 0 at the end of the block."""
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
    """Return the status page of one process, or an empty dictionary while it does not respond."""
    try:
        response = stack.get(f"/status?process={index}")
    except OSError:  # the process that had accepted the connection was killed
        return {}
    found: dict[str, int] = json.loads(response.body) if response.status == 200 else {}
    return found
