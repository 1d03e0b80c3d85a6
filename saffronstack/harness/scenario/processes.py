"""The processes of a scenario run: gateways that can be restarted, and one process with all stub workers."""

from __future__ import annotations

import json
import os
import pathlib
import queue
import signal
import subprocess
import sys
import time
from typing import IO, Any

from saffronstack.runtime.threads import start_thread
from saffronstack.standin.worker import reserve_port

START_TIMEOUT_S = 20.0
RESPONSE_TIMEOUT_S = 30.0


class ScenarioError(Exception):
    """The scenario could not be run because a process failed."""


def _read_lines(stream: IO[bytes]) -> queue.SimpleQueue[bytes]:
    """Read lines of a process on a thread, so that a wait for one can have a timeout."""
    lines: queue.SimpleQueue[bytes] = queue.SimpleQueue()

    def read() -> None:
        for line in stream:
            lines.put(line)
        lines.put(b"")

    start_thread("lines", read)
    return lines


class GatewayProcess:
    """One gateway. Its configuration file, ledger and port stay the same over restarts."""

    def __init__(self, number: int, directory: pathlib.Path) -> None:
        self.number = number
        self.path = directory / f"gateway-{number}.json5"
        self.ledger = directory / f"ledger-{number}"
        self.usage = directory / f"usage-{number}"
        self.operations = directory / f"operations-{number}"
        self.roster = directory / f"roster-{number}.json5"
        self.roster_state = directory / f"roster-{number}"
        self._generation = 0
        self.log_path = directory / f"gateway-{number}.log"
        self._port_holder = reserve_port("127.0.0.1")
        self.address = f"127.0.0.1:{self._port_holder.getsockname()[1]}"
        self.process: subprocess.Popen[bytes] | None = None

    def write(self, content: dict[str, Any]) -> None:
        """Replace the configuration file atomically."""
        partial = self.path.with_suffix(".tmp")
        partial.write_text(json.dumps(content, indent=1))
        os.replace(partial, self.path)

    def write_roster(self, workers: list[dict[str, Any]]) -> None:
        """Replace the endpoint list atomically, with the next generation number."""
        self._generation += 1
        partial = self.roster.with_suffix(".tmp")
        partial.write_text(json.dumps({"generation": self._generation, "workers": workers}, indent=1))
        os.replace(partial, self.roster)

    def start(self, program: str = "") -> None:
        """Start the gateway and wait until it accepts calls; ``program`` is code to run in its place.

        Raises:
            ScenarioError: The process did not start in time.
        """
        with open(self.log_path, "ab") as log_file:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    *(("-c", program) if program else ("-m", "saffronstack.cli.main")),
                    "serve",
                    "--config",
                    str(self.path),
                    "--listen",
                    self.address,
                    "--log",
                    "json",
                ],
                stdout=subprocess.PIPE,
                stderr=log_file,
            )
        assert self.process.stdout is not None
        try:
            line = _read_lines(self.process.stdout).get(timeout=START_TIMEOUT_S).decode()
        except queue.Empty:
            line = ""
        if "http://" not in line:
            raise ScenarioError(f"gateway {self.number} did not start; see {self.log_path}")
        self.address = line.strip().rpartition("http://")[2]

    def reload(self) -> None:
        """Make the gateway read its configuration again."""
        if self.process is not None:
            self.process.send_signal(signal.SIGHUP)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        assert self.process is not None
        self.process.kill()
        self.process.wait(RESPONSE_TIMEOUT_S)

    def terminate(self) -> int:
        """Send SIGTERM, wait for the process, and return its exit status."""
        assert self.process is not None
        self.process.terminate()
        try:
            return self.process.wait(RESPONSE_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return -9


class StubWorkersProcess:
    """The process that runs all stub workers."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "saffronstack.standin.host"], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        assert self._process.stdout is not None
        self._responses = _read_lines(self._process.stdout)
        self.workers: list[dict[str, Any]] = self._request(settings)["workers"]

    def _request(self, message: dict[str, Any]) -> dict[str, Any]:
        assert self._process.stdin is not None
        try:
            self._process.stdin.write(json.dumps(message).encode() + b"\n")
            self._process.stdin.flush()
            response: dict[str, Any] = json.loads(self._responses.get(timeout=RESPONSE_TIMEOUT_S) or b"{}")
        except (OSError, queue.Empty) as error:
            raise ScenarioError("the process of the stub workers does not answer") from error
        return response

    def send_command(self, command: str, workers: list[int], **parameters: Any) -> None:
        """Send a command for some workers, given by number."""
        self._request({"do": command, "workers": workers, **parameters})

    def end(self) -> None:
        """End the process once its log is written."""
        assert self._process.stdin is not None
        time.sleep(0.3)
        self._process.stdin.close()
        try:
            self._process.wait(RESPONSE_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
