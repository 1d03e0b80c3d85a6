"""A process of stub workers that reads commands as JSON lines from its standard input and logs to a file."""

from __future__ import annotations

import queue
import sys
from typing import Any

import msgspec

from saffronstack.runtime.threads import start_thread
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Faults, Profile
from saffronstack.standin.worker import LogEntry


class _LogWriter:
    """Writes log entries on a thread of its own, so that no worker waits for the disk."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "ab")  # noqa: SIM115 - stays open until the process exits
        self._queue: queue.SimpleQueue[LogEntry] = queue.SimpleQueue()
        start_thread("log", self._run)

    def write(self, entry: LogEntry) -> None:
        """Queue an entry for the log file."""
        self._queue.put(entry)

    def _run(self) -> None:
        encode = msgspec.json.encode
        while True:
            lines = [encode(self._queue.get())]
            while not self._queue.empty():
                lines.append(encode(self._queue.get()))
            self._file.write(b"\n".join(lines) + b"\n")
            self._file.flush()

    def is_empty(self) -> bool:
        """Return whether no entry is queued."""
        return self._queue.empty()


def main() -> int:
    """Read ``{"count", "log", "seed", "profiles"}`` and then commands until the input ends."""
    options = msgspec.json.decode(sys.stdin.buffer.readline())
    profiles = [msgspec.convert(profile, Profile) for profile in options["profiles"]]
    log = _LogWriter(options["log"])
    fleet = StubWorkerFleet(
        options["count"],
        lambda n: profiles[n % len(profiles)],
        seed=options["seed"],
        log=log.write,
        first=options.get("first", 1),
    )
    _write_line({"workers": fleet.entries()})
    for line in sys.stdin.buffer:
        command = msgspec.json.decode(line)
        _execute_command(fleet, command)
        _write_line({"done": command["do"]})
    fleet.stop()
    return 0


def _execute_command(fleet: StubWorkerFleet, command: dict[str, Any]) -> None:
    if command["do"] == "store":
        fleet.store.slow = float(command["slow"])
        return
    for number in command["workers"]:
        worker = fleet.workers[number]
        if command["do"] == "faults":
            worker.faults = msgspec.convert(command["faults"], Faults)
        elif command["do"] == "stop":
            worker.stop()
        elif command["do"] == "start":
            worker.start()
        elif command["do"] == "flush":
            worker.model.drop()


def _write_line(message: dict[str, Any]) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    sys.exit(main())
