"""Tests of process exit without the interpreter's finalization."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys

import pytest

from saffronstack.harness.rollout.rig_layout import HarnessLayout, HarnessSizes

WAIT_S = 30.0
# An exit handler that blocks stands for a heap that takes long to collect.
IMPORT = "from saffronstack.runtime.process_exit import exit_process"
SLOW_EXIT = "import atexit, threading; atexit.register(threading.Event().wait, 300.0)"


def test_output_is_written_and_exit_handlers_do_not_run() -> None:
    program = f"{SLOW_EXIT}\n{IMPORT}\nprint('said')\nexit_process(3)"
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=WAIT_S, check=False
    )
    assert result.returncode == 3
    assert result.stdout == "said\n"


def test_closed_standard_output_does_not_change_the_exit_status() -> None:
    program = f"{IMPORT}\nprint('said')\nexit_process(0)"
    environment = {key: value for key, value in os.environ.items() if key != "PYTHONUNBUFFERED"}
    with subprocess.Popen(
        [sys.executable, "-c", program], stdout=subprocess.PIPE, env=environment
    ) as process:
        assert process.stdout is not None
        process.stdout.close()
        assert process.wait(WAIT_S) == 0


def test_a_stopped_gateway_exits_without_finalization() -> None:
    """With finalization, a gateway took seconds to exit after it logged `stopped` on a busy machine."""
    program = (
        f"{SLOW_EXIT}\nfrom saffronstack.cli.main import main\n"
        "main(['serve', '--with-standins', '--listen', '127.0.0.1:0', '--log-level', 'error'])"
    )
    with subprocess.Popen([sys.executable, "-c", program], stdout=subprocess.PIPE) as process:
        try:
            assert process.stdout is not None
            assert b"takes calls" in process.stdout.readline()
            process.send_signal(signal.SIGTERM)
            assert process.wait(WAIT_S) == 0
        finally:
            process.kill()


@pytest.mark.parametrize(
    "command",
    [
        ("rollout", "lead"),
        ("tasks", "run"),
        ("fleet", "daemon", "--name", "d0"),
        ("keeper", "run", "--name", "k0", "--state", "state"),
    ],
    ids=lambda command: " ".join(command[:2]),
)
def test_a_stopped_fleet_process_exits_without_finalization(
    tmp_path: pathlib.Path, command: tuple[str, ...]
) -> None:
    """With finalization, a rollout leader took 4.8 s to exit after its rollout on a busy machine."""
    layout = HarnessLayout(tmp_path, HarnessSizes(gateways=1, daemons=1, workers=1, rate=1.0, clients=1))
    path = layout.write_fleet_file("fleet.json5", layout.daemons)
    arguments = [*command, "--fleet", str(path)]
    program = f"{SLOW_EXIT}\nfrom saffronstack.cli.main import main\nmain({arguments!r})"
    with subprocess.Popen([sys.executable, "-c", program], stdout=subprocess.PIPE, cwd=tmp_path) as process:
        try:
            assert process.stdout is not None
            assert process.stdout.readline()
            process.send_signal(signal.SIGTERM)
            assert process.wait(WAIT_S) == 0
        finally:
            process.kill()
    layout.close()
