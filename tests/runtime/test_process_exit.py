"""The end of a process that has nothing left to do."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys

import pytest

from saffronstack.harness.rollout.rig_layout import RigLayout, RigSizes

WAIT_S = 30.0
# A handler that the interpreter runs at its end, in place of a heap that takes long to collect.
IMPORT = "from saffronstack.runtime.process_exit import exit_process"
SLOW_END = "import atexit, threading; atexit.register(threading.Event().wait, 300.0)"


def test_output_is_written_and_exit_handlers_do_not_run() -> None:
    program = f"{SLOW_END}\n{IMPORT}\nprint('said')\nexit_process(3)"
    ended = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=WAIT_S, check=False
    )
    assert ended.returncode == 3
    assert ended.stdout == "said\n"


def test_output_that_nobody_reads_does_not_change_the_status() -> None:
    program = f"{IMPORT}\nprint('said')\nexit_process(0)"
    buffered = {key: value for key, value in os.environ.items() if key != "PYTHONUNBUFFERED"}
    with subprocess.Popen([sys.executable, "-c", program], stdout=subprocess.PIPE, env=buffered) as process:
        assert process.stdout is not None
        process.stdout.close()
        assert process.wait(WAIT_S) == 0


def test_a_gateway_that_has_stopped_does_not_wait_for_the_interpreters_end() -> None:
    """A gateway that logged `stopped` took seconds to exit on a busy machine."""
    program = (
        f"{SLOW_END}\nfrom saffronstack.cli.main import main\n"
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
def test_a_process_of_the_fleet_does_not_wait_for_the_interpreters_end(
    tmp_path: pathlib.Path, command: tuple[str, ...]
) -> None:
    """A leader whose rollout was over took 4.8 s to exit on a busy machine."""
    layout = RigLayout(tmp_path, RigSizes(gateways=1, daemons=1, workers=1, rate=1.0, clients=1))
    path = layout.write_fleet_file("fleet.json5", layout.daemons)
    arguments = [*command, "--fleet", str(path)]
    program = f"{SLOW_END}\nfrom saffronstack.cli.main import main\nmain({arguments!r})"
    with subprocess.Popen([sys.executable, "-c", program], stdout=subprocess.PIPE, cwd=tmp_path) as process:
        try:
            assert process.stdout is not None
            assert process.stdout.readline()
            process.send_signal(signal.SIGTERM)
            assert process.wait(WAIT_S) == 0
        finally:
            process.kill()
    layout.close()
