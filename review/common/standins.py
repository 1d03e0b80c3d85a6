"""Stand-ins of the platform for the cases: hosts, the directory's process, clients, and the gateway's start.

Standard library only. All times are Unix times in seconds, all addresses are on loopback.
"""

from __future__ import annotations

import heapq
import json
import os
import pathlib
import random
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from itertools import count
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOOPBACK = "127.0.0.1"
LIMIT_S = 118  # a case that takes longer could not run


class CannotRun(Exception):
    """The case could not be played: exit status 2."""


class Record:
    """Writes `record.txt` of a case; any thread may add lines."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._lock = threading.Lock()
        self._file = open(folder / "record.txt", "w")
        self._begun_s = time.time()

    def add(self, at_s: float, what: str, **fields: Any) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{at_s - self._begun_s:9.4f} {what} {text}\n")

    def close(self) -> None:
        with self._lock:
            self._file.close()


class Timers:
    """Calls functions at their times, on one thread."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._heap: list[tuple[float, int, Any]] = []
        self._numbers = count()
        threading.Thread(target=self._run, daemon=True).start()

    def after(self, delay_s: float, run: Any) -> None:
        with self._changed:
            heapq.heappush(self._heap, (time.time() + delay_s, next(self._numbers), run))
            self._changed.notify()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._heap or self._heap[0][0] > time.time():
                    self._changed.wait(max(0.0, self._heap[0][0] - time.time()) if self._heap else 1.0)
                _, _, run = heapq.heappop(self._heap)
            run()


class Host:
    """A sound host: it loads a function that it lacks while the call waits, and answers each call once.

    Attributes:
        arrivals: One entry for each call that arrived whole.
        report: Returns the load report of an answer, from the number of calls under way.
        on_arrival: Called with each call that arrived whole.
        on_run: Called with each call that has run to its end, also where its connection has ended.
    """

    def __init__(
        self, name: str, timers: Timers, record: Record, rng: random.Random, work_s: float, load_s: float,
        zone: str, kind: str, cell: int,
    ) -> None:  # fmt: skip
        self.name, self.zone, self.kind, self.cell = name, zone, kind, cell
        self.arrivals: list[dict[str, Any]] = []
        self.report = lambda busy: f"queue:0;util:{min(1.0, busy / 16):.2f}"
        self.on_arrival = lambda host, tag: None
        self.on_run = lambda host, tag, class_name, now: None
        self.is_draining = False
        self._timers, self._record, self._rng = timers, record, rng
        self._work_s, self._load_s = work_s, load_s
        self._lock = threading.Lock()
        self._accept_lock = threading.Lock()
        self._idle_copies: dict[str, int] = {}
        self._calls_of: dict[str, int] = {}
        self._connections: dict[socket.socket, int] = {}  # open ones, with the calls under way on each
        self.resets_after_run: set[str] = set()  # calls after whose run the connection is reset, once
        self._is_ended = False
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((LOOPBACK, 0))
        self._listener.listen(128)
        self._listener.setblocking(False)
        self.address = f"{LOOPBACK}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self) -> dict[str, Any]:
        """Return the host as the directory lists it."""
        return {
            "name": self.name, "address": self.address, "zone": self.zone, "type": self.kind,
            "group": self.cell, "status": "Terminating" if self.is_draining else "Ready", "weight": 2,
            "since_ms": 0,
        }  # fmt: skip

    def delay_new_connections(self, seconds: float) -> None:
        """Let connections that begin within ``seconds`` come up late; open ones are not touched.

        The accept queue is full meanwhile, so that the kernel drops the first packet of a handshake, and the
        peer sends it again after a second.
        """
        with self._accept_lock:
            self._listener.listen(0)
            fillers = []
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self._listener.getsockname())
                fillers.append(filler)
            time.sleep(seconds)
            for filler in fillers:
                filler.close()
            self._listener.listen(128)

    def end(self) -> None:
        """End as a process does: the listener closes, open connections are reset."""
        with self._accept_lock:
            self._is_ended = True
            self._listener.close()
        self.reset_connections()

    def reset_connections(self, only_idle: bool = False) -> None:
        """Reset open connections; calls that were read go on running, and their answers are lost."""
        with self._lock:
            connections = [sock for sock, calls in self._connections.items() if not (only_idle and calls)]
        for sock in connections:
            self._reset(sock)

    @staticmethod
    def _reset(sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.shutdown(socket.SHUT_RD)
            sock.close()
        except OSError:
            pass

    def _accept(self) -> None:
        while not self._is_ended:
            sock = None
            with self._accept_lock:
                if self._is_ended:
                    return
                if select.select([self._listener], [], [], 0.002)[0]:
                    try:
                        sock, _ = self._listener.accept()
                    except OSError:
                        sock = None
            if sock is not None:
                sock.setblocking(True)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()
            else:
                time.sleep(0.0005)

    def _serve(self, sock: socket.socket) -> None:
        with self._lock:
            self._connections[sock] = 0
        write_lock, cancelled = threading.Lock(), set()
        partial, first_byte_s = b"", 0.0
        try:
            while data := sock.recv(65536):
                now = time.time()
                if not partial:
                    first_byte_s = now
                *lines, partial = (partial + data).split(b"\n")
                for line in lines:
                    self._handle(sock, write_lock, cancelled, json.loads(line), first_byte_s)
                    first_byte_s = now
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._connections.pop(sock, None)
            sock.close()

    def _handle(
        self, sock: socket.socket, write_lock: Any, cancelled: set[str], message: dict[str, Any], at_s: float
    ) -> None:
        what, tag = message["what"], str(message["tag"])
        if what == "CANCEL":
            cancelled.add(tag)
        elif what == "PING":
            self._send(sock, write_lock, {"what": "UP", "tag": tag})
        elif what == "LOAD":
            units = int(message["with"]["units"])
            self._record.add(at_s, "host-order", host=self.name, function=message["with"]["k"], units=units)
            self.arrivals.append({"t": at_s, "tag": tag, "order": True, "units": units})
            self._send(sock, write_lock, {"what": "OK", "tag": tag, "with": {"units": max(1, units)}})
        elif what == "CALL":
            self._begin_call(sock, write_lock, cancelled, message, at_s)

    def _begin_call(
        self, sock: socket.socket, write_lock: Any, cancelled: set[str], message: dict[str, Any], at_s: float
    ) -> None:
        tag, fields = str(message["tag"]), message["with"]
        function, class_name = str(fields["k"]), str(fields["c"])
        self.arrivals.append(
            {"t": at_s, "tag": tag, "class": class_name, "function": function, "order": False}
        )
        self._record.add(at_s, "host-call", host=self.name, cell=self.cell, id=tag, cls=class_name)
        self.on_arrival(self, tag)
        with self._lock:
            if sock in self._connections:
                self._connections[sock] += 1
            note, delay_s = "up", self._rng.uniform(0.7, 1.3) * self._work_s
            ahead = self._calls_of.get(function, 0)
            self._calls_of[function] = ahead + 1
            if self._idle_copies.get(function, 0):
                self._idle_copies[function] -= 1
            else:
                note, delay_s = "fresh", delay_s + self._rng.uniform(0.7, 1.3) * self._load_s

        def finish() -> None:
            with self._lock:
                self._idle_copies[function] = self._idle_copies.get(function, 0) + 1
                self._calls_of[function] -= 1
                busy = sum(self._calls_of.values())
                if sock in self._connections:
                    self._connections[sock] -= 1
            now = time.time()
            if self._is_ended:
                return
            self.on_run(self, tag, class_name, now)
            self._record.add(now, "host-ran", host=self.name, id=tag)
            if tag in cancelled:
                return
            if tag in self.resets_after_run:
                self.resets_after_run.discard(tag)
                self._record.add(now, "connection-reset", host=self.name, id=tag)
                self._reset(sock)
                return
            answer = {
                "what": "OK", "tag": tag, "blob": message.get("blob", ""),
                "with": {"note": note, "ahead": min(30, ahead), "load": self.report(busy)},
            }  # fmt: skip
            self._send(sock, write_lock, answer)

        self._timers.after(delay_s, finish)

    @staticmethod
    def _send(sock: socket.socket, write_lock: Any, content: dict[str, Any]) -> None:
        with write_lock:
            try:
                sock.sendall(json.dumps(content).encode() + b"\n")
            except OSError:
                pass


class Directory:
    """The directory in a process of its own (`directory.py`), which can be stopped and continued."""

    def __init__(self, folder: pathlib.Path, hosts: list[Host]) -> None:
        self._hosts = hosts
        self.rev = 0
        self.log = folder / f"directory-{time.time_ns()}.log"
        self._process = subprocess.Popen(
            [sys.executable, "-B", str(ROOT / "review" / "common" / "directory.py"), str(self.log)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        assert self._process.stdin is not None and self._process.stdout is not None
        self.address = self._process.stdout.readline().strip()
        self.tell()

    def tell(self, without: tuple[Host, ...] = ()) -> None:
        """Tell the present list of hosts under the next number."""
        assert self._process.stdin is not None
        self.rev += 1
        entries = [host.entry() for host in self._hosts if host not in without]
        self._process.stdin.write(json.dumps({"rev": self.rev, "endpoints": entries}) + "\n")
        self._process.stdin.flush()
        time.sleep(0.05)

    def known(self) -> dict[str, Any]:
        pool = {"index": 0, "snapshot": True, "endpoints": [host.entry() for host in self._hosts]}
        return {"rev": self.rev, "notices": [{"rev": self.rev, "pool": pool}]}

    def pause(self) -> None:
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        self._process.send_signal(signal.SIGCONT)

    def answers(self) -> list[tuple[float, int, int]]:
        """Return time, number of the event and client's port of each answer that was sent."""
        found = []
        for line in self.log.read_text().splitlines():
            at_s, rev, port = line.split()
            found.append((float(at_s), int(rev), int(port)))
        return found

    def end(self) -> None:
        self._process.send_signal(signal.SIGCONT)
        self._process.kill()
        self._process.wait()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return int(sock.getsockname()[1])


class Gateway:
    """One gateway, started by the line `run` of the deploy file from the repository's root."""

    def __init__(
        self, number: int, folder: pathlib.Path, settings: dict[str, Any], directory: Directory, record: Record
    ) -> None:
        self.name = f"n{number}"
        self.address = (LOOPBACK, free_port())
        self._folder, self._record, self._directory = folder, record, directory
        self._settings = {**settings, "SelfIndex": number}
        self._starts = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.log = folder / f"{self.name}.log"

    def start(self) -> None:
        self._starts += 1
        listen = f"{self.address[0]}:{self.address[1]}"
        content = {
            "name": self.name, "listen": listen, "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "nameserver": self._directory.address, "known": self._directory.known(),
            "settings": self._settings,
        }  # fmt: skip
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(content))
        line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {**os.environ, "LB_CONFIG": str(path), "LB_NAME": self.name, "LB_LISTEN": listen}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", line], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.add(time.time(), "gateway-start", gateway=self.name)

    def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until it answers `CHECK` with `UP`."""
        until_s = time.time() + timeout_s
        while time.time() < until_s:
            assert self.process is not None
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with status {self.process.returncode}: {self.log.read_text()}")
            try:
                with socket.create_connection(self.address, timeout=1.0) as sock:
                    sock.sendall(encode("CHECK", "1", ""))
                    if b"UP" in sock.recv(1024):
                        self._record.add(time.time(), "gateway-up", gateway=self.name)
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready in {timeout_s} s")

    def kill(self) -> None:
        assert self.process is not None
        self._record.add(time.time(), "gateway-kill", gateway=self.name)
        self.process.kill()
        self.process.wait()

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def encode(*words: str | bytes) -> bytes:
    """Return a RESP array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        data = word if isinstance(word, bytes) else word.encode()
        parts.append(b"$%d\r\n%b\r\n" % (len(data), data))
    return b"".join(parts)


def take_frame(buffer: bytes) -> tuple[list[bytes], bytes] | None:
    """Return the words of the first whole RESP array and the rest; None where it is not whole."""

    def line(at: int) -> tuple[int, int] | None:
        end = buffer.find(b"\r\n", at)
        return None if end < 0 else (int(buffer[at + 1 : end]), end + 2)

    head = line(0)
    if head is None:
        return None
    words, at = [], head[1]
    for _ in range(head[0]):
        size = line(at)
        if size is None or len(buffer) < size[1] + size[0] + 2:
            return None
        words.append(buffer[size[1] : size[1] + size[0]])
        at = size[1] + size[0] + 2
    return words, buffer[at:]


class Request:
    """One request of a client and what came of it."""

    def __init__(self, request_id: str, class_name: str, deadline_s: float, body: bytes) -> None:
        self.id, self.class_name, self.deadline_s, self.body = request_id, class_name, deadline_s, body
        self.tag = 0
        self.sent_s = 0.0  # when its last byte was written
        self.ended_s = 0.0  # when its answer came or its connection ended
        self.word = ""  # of the answer; empty where none came
        self.is_body_right = True
        self.answers = 0
        self.others_open = 0  # other requests that were open on the connection when it ended
        self.gateway = ""
        self.incarnation = 0


class ClientConnection:
    """A client's connection: requests go out at any time, answers come in any order."""

    def __init__(self, gateway: Gateway, incarnation: int, record: Record) -> None:
        self._gateway, self._incarnation, self._record = gateway, incarnation, record
        self._sock = socket.create_connection(gateway.address, timeout=2.0)
        self._sock.settimeout(None)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._lock = threading.Lock()
        self._open: dict[int, Request] = {}
        self._answered: dict[int, Request] = {}
        self.is_ended = False
        threading.Thread(target=self._read, daemon=True).start()

    @property
    def open_count(self) -> int:
        return len(self._open)

    def send(self, tag: int, request: Request, function: str, tenant: str, memory_mb: int) -> bool:
        """Send a request; return False where the connection had ended before."""
        fields = (
            f"req={request.id},timeout={int(request.deadline_s * 1000)},owner={tenant},subject={function},"
            f"facts=memory_mb:{memory_mb};lanes:1"
        )
        if not tenant:
            fields = fields.replace("owner=,", "")
        request.tag, request.gateway, request.incarnation = tag, self._gateway.name, self._incarnation
        with self._lock:
            if self.is_ended:
                return False
            self._open[tag] = request
            request.sent_s = time.time()
            try:
                self._sock.sendall(encode("CALL", str(tag), request.class_name, fields, request.body))
            except OSError:
                del self._open[tag]
                return False
            request.sent_s = time.time()
        self._record.add(
            request.sent_s, "client-sent", gateway=self._gateway.name, tag=tag, id=request.id,
            cls=request.class_name,
        )  # fmt: skip
        return True

    def _read(self) -> None:
        buffer = b""
        try:
            while data := self._sock.recv(65536):
                buffer += data
                while (taken := take_frame(buffer)) is not None:
                    words, buffer = taken
                    self._on_answer(words, time.time())
        except (OSError, ValueError):
            pass
        now = time.time()
        with self._lock:
            self.is_ended = True
            lost, self._open = list(self._open.values()), {}
        for request in lost:
            request.ended_s, request.others_open = now, len(lost) - 1
            self._record.add(
                now, "client-connection-ended", gateway=self._gateway.name, tag=request.tag, id=request.id
            )
        self._sock.close()

    def _on_answer(self, words: list[bytes], now: float) -> None:
        tag, word = int(words[0]), words[1].decode()
        with self._lock:
            request = self._open.pop(tag, None)
            if request is None:
                if tag in self._answered:
                    self._answered[tag].answers += 1
                return
            self._answered[tag] = request
        request.ended_s, request.word, request.answers = now, word, 1
        request.is_body_right = word != "OK" or (words[3] if len(words) > 3 else b"") == request.body
        self._record.add(
            now, "client-answer", gateway=self._gateway.name, tag=tag, id=request.id, word=word,
            after_s=f"{now - request.sent_s:.4f}",
        )  # fmt: skip

    def close(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


def _stop(number: int, frame: Any) -> None:
    raise CannotRun(f"ended by signal {number}")


def play(case_file: str, run: Any) -> None:
    """Run a case in a temporary folder and exit with 0 (the rule held), 1 (it was broken) or 2."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _stop)
    signal.alarm(LIMIT_S)
    folder = pathlib.Path(case_file).resolve().parent
    record = Record(folder)
    record.add(time.time(), "case", trouble=int(TROUBLE))
    status = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            breaches = run(pathlib.Path(temporary), record)
            for text in breaches:
                record.add(time.time(), "BREACH", text=text)
                print("BREACH", text)
            status = 1 if breaches else 0
    except Exception as error:
        traceback.print_exc()
        record.add(time.time(), "could-not-run", why=repr(error))
    record.add(time.time(), "exit", status=status)
    record.close()
    print("the rule was broken" if status == 1 else "the rule held" if status == 0 else "could not run")
    sys.stdout.flush()
    os._exit(status)
