"""Keepers and candidates as processes, with their files, disks and relays between each pair."""

from __future__ import annotations

import json
import pathlib
import queue
import random
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import IO, Any

import msgspec

from saffronstack.client import Client
from saffronstack.harness.leases.judge import LeaseJudge
from saffronstack.harness.links import Wires
from saffronstack.harness.scenario.processes import ScenarioError
from saffronstack.http1.messages import HttpError
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.worker import hold_port

FLEET = "rig"
LEASE = "task/rig"
START_S = 20.0
SETTLE_S = 15.0
LOOK_S = 0.1


@dataclass
class _Process:
    name: str
    process: subprocess.Popen[bytes]
    stopped: bool = False


class LeaseProcesses:
    """One run's processes, files and links."""

    def __init__(
        self,
        directory: pathlib.Path,
        seed: int,
        keepers: int = 5,
        candidates: int = 24,
        lease_s: float = 2.0,
        wait_s: float = 0.5,
        broken: str = "",
    ) -> None:
        """Starts everything; ScenarioError where a process does not come up."""
        self._directory = directory
        self._random = random.Random(seed)
        self._lease_s, self._wait_s, self._broken = lease_s, wait_s, broken
        self._names = [f"k{number}" for number in range(keepers)]
        self._wires = Wires()
        self.judge = LeaseJudge()
        self._places = {name: hold_port("127.0.0.1") for name in self._names}
        self._addresses = {name: f"127.0.0.1:{held.getsockname()[1]}" for name, held in self._places.items()}
        self._keepers: dict[str, _Process] = {}
        self._homes = dict.fromkeys(self._names, 0)  # machines that had a keeper's name, each with its disk
        self._ghosts: list[_Process] = []  # replaced while they paused, and awake
        self._candidates: list[_Process] = []
        self._lives = 0
        self._bad: dict[str, int] = dict.fromkeys(self._names, 0)
        self._snapshots: dict[str, list[pathlib.Path]] = {name: [] for name in self._names}
        self._images = 0
        self._healing: list[threading.Thread] = []
        self._lock = threading.Lock()
        self._ended = False
        self._down: set[str] = set()
        self._failed = ""  # why a step of the rig's own did not come off
        self._counted: dict[str, int] = {}
        self._talk: list[tuple[float, bool]] = []
        self._rates = {name: 1 + 0.009 * (self._random.random() - 0.5) for name in self._names}
        try:
            for name in self._names:
                self._write_fleet(name)
                self._saffron("keeper", "establish", "--fleet", str(self._fleet(name)), "--name", name,
                              "--state", str(self._state(name)))  # fmt: skip
            for name in self._names:
                self._start_keeper(name)
            for _ in range(candidates):
                self._candidates.append(self._start_candidate())
        except BaseException:
            self.close()
            raise

    def _state(self, keeper: str) -> pathlib.Path:
        return self._directory / f"state-{keeper}-{self._homes[keeper]}"

    def _steps(self, candidate: str) -> pathlib.Path:
        return self._directory / f"steps-{candidate}"

    def _fleet(self, name: str) -> pathlib.Path:
        return self._directory / f"fleet-{name}.json5"

    def _write_fleet(self, name: str) -> None:
        """What a process is told: others are reached through the rig's relays."""
        entries = []
        for keeper, address in self._addresses.items():
            own = address if keeper == name else self._wires.pair(name, keeper, address)
            entries.append({"name": keeper, "address": own})
        content = {
            "fleet": FLEET, "keepers": entries, "lease_s": self._lease_s, "longest_s": self._lease_s,
            "wait_s": self._wait_s,
        }  # fmt: skip
        self._fleet(name).write_text(json.dumps(content))

    @staticmethod
    def _saffron(*arguments: str) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "saffronstack.cli.main", *arguments], capture_output=True, timeout=START_S
        )
        if done.returncode:
            raise ScenarioError(done.stderr.decode("utf-8", "replace"))

    def _start(self, name: str, told: dict[str, Any]) -> _Process:
        with open(self._directory / f"{name}.log", "ab") as errors:
            process = subprocess.Popen(
                [sys.executable, "-m", "saffronstack.harness.leases.peer", json.dumps(told)],
                stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=errors,
            )  # fmt: skip
        assert process.stdout is not None
        lines: queue.SimpleQueue[bytes] = queue.SimpleQueue()
        stdout: IO[bytes] = process.stdout
        start_thread("ready", lambda: lines.put(stdout.readline()))
        try:
            line = lines.get(timeout=START_S)
        except queue.Empty:
            line = b""
        if not line:
            process.kill()
            raise ScenarioError(f"{name} did not come up; see {self._directory / name}.log")
        return _Process(name, process)

    def _start_keeper(self, name: str) -> None:
        told = {
            "role": "keeper", "fleet": str(self._fleet(name)), "name": name, "state": str(self._state(name)),
            "rate": self._rates[name], "disk": str(self._directory / f"disk-{name}.json"),
            "trace": str(self._directory / f"trace-{name}.jsonl"),
        }  # fmt: skip
        self._keepers[name] = self._start(name, told)

    def _start_candidate(self) -> _Process:
        with self._lock:
            number, self._lives = self._lives, self._lives + 1
        name = f"c{number}"
        self._write_fleet(name)
        told: dict[str, Any] = {
            "role": "candidate", "fleet": str(self._fleet(name)), "name": name, "lease": LEASE,
            "resource": self.judge.address, "seed": self._random.randrange(2**31),
            "rate": 1 + 0.009 * (self._random.random() - 0.5),
            "steps": str(self._steps(name)),
        }  # fmt: skip
        if self._broken:
            told["broken"] = self._broken
        return self._start(name, told)

    def status(self, keeper: str) -> dict[str, Any]:
        """A keeper's own page, asked past the relays; empty where it does not answer."""
        client = Client(self._addresses[keeper], 1.0)
        try:
            found: dict[str, Any] = msgspec.json.decode(client.request("GET", "/status").body)
        except (OSError, HttpError, msgspec.MsgspecError):
            return {}
        finally:
            client.close()
        return found

    def wait_votes(self, keepers: Sequence[str] | None = None, bound_s: float = SETTLE_S) -> bool:
        """Until all of them vote; whether they do in time."""
        until_s = time.monotonic() + bound_s
        wanted = list(keepers or self._names)
        while time.monotonic() < until_s:
            if all(self.status(keeper).get("votes") for keeper in wanted):
                return True
            time.sleep(LOOK_S)
        return False

    def _new_machine(self, keeper: str) -> socket.socket:
        """An address and a disk of its own for whoever bears the name next; the port that was held before."""
        self._homes[keeper] += 1
        self._snapshots[keeper].clear()
        before, self._places[keeper] = self._places[keeper], hold_port("127.0.0.1")
        address = f"127.0.0.1:{self._places[keeper].getsockname()[1]}"
        content = json.loads(self._fleet(keeper).read_text())
        for entry in content["keepers"]:
            if entry["name"] == keeper:
                entry["address"] = address
        self._fleet(keeper).write_text(json.dumps(content))
        self._addresses[keeper] = address
        return before

    @staticmethod
    def _signal(one: _Process, number: int) -> None:
        if one.process.poll() is None:
            one.process.send_signal(number)

    @staticmethod
    def _end(one: _Process) -> None:
        one.process.kill()
        one.process.wait(10.0)
        for stream in (one.process.stdin, one.process.stdout):
            if stream is not None:
                stream.close()

    def close(self) -> None:
        """End what was started."""
        self._ended = True
        for one in [*self._keepers.values(), *self._candidates, *self._ghosts]:
            self._end(one)
        self.judge.close()
        self._wires.close()
        for held in self._places.values():
            held.close()
