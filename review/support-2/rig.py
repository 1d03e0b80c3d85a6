"""What the scripts of cases 6 to 10 share: processes, a small HTTP client, the record and the exit status."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
PYTHON = str(ROOT / ".venv/bin/python")
SAFFRON = [PYTHON, "-B", "-m", "saffronstack.cli.main"]
STANDIN = str(pathlib.Path(__file__).resolve().parent / "worker_process.py")
HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 95  # a script that takes longer stops; with its end it stays within 120 s
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_reservations: list[socket.socket] = []  # until this process ends


class NotRun(Exception):
    """The case could not be played, so that nothing was judged."""


def free_port() -> int:
    """Return a free port that no other play takes while this one runs.

    The ports lie below those that the system picks for connections. The name of a socket reserves each one
    among plays.
    """
    while True:
        port = random.randint(10000, 30000)
        reservation = socket.socket(socket.AF_UNIX)
        try:
            reservation.bind(f"\0saffron-review-port-{port}")
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return port


class Answer:
    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body

    def json(self) -> Any:
        return json.loads(self.body)


def send(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a new connection; OSError or HTTPException without a whole answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Answer(response.status, {k.lower(): v for k, v in response.getheaders()}, response.read())
    finally:
        connection.close()


def invoke(address: str, function: str, payload: Any, timeout_s: float = 10.0, **headers: str) -> Answer:
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    path = f"/2015-03-31/functions/{function}/invocations"
    return send(address, "POST", path, json.dumps(payload).encode(), fields, timeout_s)


def eventually(condition: Callable[[], Any], timeout_s: float, what: str) -> Any:
    """Wait for a true value; NotRun if it does not come, since only preparations wait in this way."""
    end_s = time.monotonic() + timeout_s
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() > end_s:
            raise NotRun(f"{what}: not within {timeout_s:g} s")
        time.sleep(0.02)


class Rig:
    """The processes of a case, its temporary folder and its record."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="saffron-review-"))
        self._started_s = time.monotonic()
        self._record = open(folder / "record.txt", "w", encoding="utf-8", buffering=1)
        self._processes: list[subprocess.Popen[bytes]] = []
        self.note(f"trouble {'on' if TROUBLE else 'off'}")

    def now(self) -> float:
        return time.monotonic() - self._started_s

    def note(self, text: str) -> None:
        self._record.write(f"{self.now():8.3f}  {text}\n")

    def start(self, name: str, command: Sequence[str], **options: Any) -> subprocess.Popen[bytes]:
        """Start a process in a group of its own, so that it ends with all that it started."""
        log = open(self.directory / f"{name}.log", "ab")
        environment = {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONDONTWRITEBYTECODE": "1"}
        options.setdefault("stdout", log)
        process = subprocess.Popen(
            list(command),
            cwd=ROOT,
            env=environment,
            stderr=log,
            stdin=subprocess.DEVNULL,
            start_new_session=True,
            **options,
        )
        log.close()
        self._processes.append(process)
        self.note(f"start {name}: process {process.pid}")
        return process

    def write(self, name: str, content: Any) -> str:
        path = self.directory / name
        partial = path.with_suffix(".partial")
        partial.write_text(json.dumps(content, indent=1))
        os.replace(partial, path)
        return str(path)

    def serve(self, name: str, config: dict[str, Any], *options: str) -> Gateway:
        """Start a gateway and wait until it answers."""
        gateway = self.launch(name, config, *options)
        self.wait_until_up(gateway)
        return gateway

    def launch(self, name: str, config: dict[str, Any], *options: str) -> Gateway:
        """Start a gateway without waiting for it."""
        path = self.write(f"{name}.json", config)
        process = self.start(name, [*SAFFRON, "serve", "--config", path, "--log", "json", *options])
        return Gateway(name, process, config["listen"], path)

    def wait_until_up(self, gateway: Gateway, timeout_s: float = 30.0) -> None:
        def is_up() -> bool:
            if gateway.process.poll() is not None:
                raise NotRun(f"{gateway.name} ended with status {gateway.process.returncode}")
            with contextlib.suppress(OSError, http.client.HTTPException):
                return send(gateway.address, "GET", "/status", timeout_s=2.0).status == 200
            return False

        eventually(is_up, timeout_s, f"{gateway.name} answers")
        self.note(f"{gateway.name} answers on {gateway.address}")

    def workers(self, name: str, count: int = 1, **profile: Any) -> Workers:
        """Start a process with stand-in workers."""
        log_path = self.directory / f"{name}.runs"
        ports = [free_port() for _ in range(count)]
        settings = {"log": str(log_path), "ports": ports, "name": name, "profile": profile}
        process = self.start(name, [PYTHON, "-B", STANDIN, json.dumps(settings)])
        workers = Workers(name, process, ports, log_path)
        eventually(lambda: workers.count("start") >= count, 20.0, f"{name} starts")
        return workers

    def keepers(self, **fleet: Any) -> Fleet:
        """Start three lease servers of a new fleet; ``fleet`` is the rest of the fleet file."""
        entries = [{"name": f"k{n}", "address": f"127.0.0.1:{free_port()}"} for n in (1, 2, 3)]
        content = {"fleet": "books", "keepers": entries, **fleet}
        path = self.write("fleet.json", content)
        for entry in entries:
            options = [
                "--fleet",
                path,
                "--name",
                entry["name"],
                "--state",
                str(self.directory / entry["name"]),
            ]
            subprocess.run(
                [*SAFFRON, "keeper", "establish", *options],
                cwd=ROOT,
                check=True,
                capture_output=True,
                timeout=30,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )
            self.start(entry["name"], [*SAFFRON, "keeper", "run", *options, "--log", "json"])
        return Fleet(path, content)

    def tasks(self, name: str, fleet: Fleet) -> subprocess.Popen[bytes]:
        """Start a process that runs the fleet's tasks."""
        return self.start(name, [*SAFFRON, "tasks", "run", "--fleet", fleet.path, "--log", "json"])

    def signal(self, process: subprocess.Popen[bytes], number: signal.Signals, name: str) -> None:
        self.note(f"{number.name} to {name}")
        process.send_signal(number)

    def logs(self, name: str) -> str:
        path = self.directory / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def end(self) -> None:
        """End everything that was started, also processes of the processes, and remove the folder."""
        for process in reversed(self._processes):
            for number in (signal.SIGCONT, signal.SIGKILL):
                with contextlib.suppress(ProcessLookupError, PermissionError):
                    os.killpg(process.pid, number)
        for process in self._processes:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(5.0)
        self._record.close()
        shutil.rmtree(self.directory, ignore_errors=True)


class Fleet:
    def __init__(self, path: str, content: dict[str, Any]) -> None:
        self.path, self.content = path, content


class Gateway:
    def __init__(self, name: str, process: subprocess.Popen[bytes], address: str, path: str) -> None:
        self.name, self.process, self.address, self.path = name, process, address, path


class Workers:
    """Stand-in workers in one process; they append what they do to a file, one JSON object a line."""

    def __init__(
        self, name: str, process: subprocess.Popen[bytes], ports: list[int], log: pathlib.Path
    ) -> None:
        self.name, self.process, self.ports, self._log = name, process, ports, log

    def entries(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self._log.read_text().splitlines()] if self._log.exists() else []

    def what(self, what: str, **fields: Any) -> list[dict[str, Any]]:
        return [
            entry
            for entry in self.entries()
            if entry["what"] == what and all(entry.get(name) == value for name, value in fields.items())
        ]

    def count(self, what: str, **fields: Any) -> int:
        return len(self.what(what, **fields))

    def listed(self, **more: Any) -> list[dict[str, Any]]:
        """Return the workers as a configuration or a worker file lists them."""
        return [
            {"id": f"{self.name}-{n + 1}", "address": f"127.0.0.1:{port}", "kind": "standin", **more}
            for n, port in enumerate(self.ports)
        ]


def configuration(workers: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Return the configuration of a small deployment, with the classes of README.md."""
    content: dict[str, Any] = {
        "listen": f"127.0.0.1:{free_port()}",
        "keep_alive_s": 10.0,
        "tenants": [{"name": "palio-rafi"}],
        "classes": [
            {"name": "lookup", "effect": "safe", "aim_s": 0.5, "deadline_s": 3.0},
            {"name": "sale", "effect": "unsafe", "aim_s": 0.5, "deadline_s": 2.5, "worth": 3.0},
        ],
        "functions": [
            {"name": "identify-copy", "class": "lookup", "memory_mb": 512, "lanes": 2},
            {"name": "record-sale", "class": "sale", "memory_mb": 256, "lanes": 2},
        ],
        "kinds": [{"name": "standin", "memory_mb": 4096}],
        "workers": workers,
        "limits": {"worker_connections": 32},
    }
    content.update(changes)
    return content


def end_early(number: int, frame: object) -> None:
    """Handle a signal that ends the script, so that it ends what it started before."""
    raise NotRun(f"ended by {signal.Signals(number).name}")


def play(file: str, case: Callable[[Rig], list[str]]) -> None:
    """Play a case and exit: ``case`` returns one line for each break of the rule."""
    folder = pathlib.Path(file).resolve().parent
    rig = Rig(folder)
    try:
        for number in (signal.SIGTERM, signal.SIGALRM):
            signal.signal(number, end_early)
        signal.alarm(LONGEST_S)
        breaks = case(rig)
        for line in breaks:
            rig.note(f"BROKEN: {line}")
            print(line)
        status = BROKEN if breaks else HELD
        rig.note("the rule was broken" if breaks else "the rule held")
        print(f"{'broken' if breaks else 'held'} after {rig.now():.0f} s")
    except NotRun as error:
        rig.note(f"not run: {error}")
        print(f"not run: {error}")
        status = NOT_RUN
    except Exception as error:  # whatever stops the script judges nothing
        rig.note(f"not run: {error!r}")
        print(f"not run: {error!r}")
        if os.environ.get("REVIEW_DEBUG"):
            raise
        status = NOT_RUN
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        if keep := os.environ.get("REVIEW_KEEP"):
            shutil.copytree(rig.directory, keep, dirs_exist_ok=True)
        rig.end()
    sys.exit(status)
