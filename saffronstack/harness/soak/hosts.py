"""Stub hosts of the platform protocol: they respond quickly, slowly or never, and count calls."""

from __future__ import annotations

import contextlib
import heapq
import random
import socket
import threading
import time
from collections import Counter
from itertools import count

import msgspec

from saffronstack.harness.soak.schedule import HostBehaviour
from saffronstack.runtime.threads import start_thread

MAX_IDLE_WAIT_S = 0.5
SLOW_DEADLINE_FRACTION = 0.6  # a slow host responds after this fraction of the longest deadline


class DelayedWrites:
    """One thread that writes to sockets at given times."""

    def __init__(self) -> None:
        self._changed = threading.Condition()  # guards the fields below
        self._due: list[tuple[float, int, socket.socket, bytes]] = []
        self._sequence_numbers = count()
        self._is_closed = False
        start_thread("host-answers", self._run)

    def add(self, at_s: float, sock: socket.socket, data: bytes) -> None:
        """Schedule a write at ``at_s`` (monotonic seconds)."""
        with self._changed:
            heapq.heappush(self._due, (at_s, next(self._sequence_numbers), sock, data))
            self._changed.notify()

    def close(self) -> None:
        """Stop the thread; writes that are not due yet are dropped."""
        with self._changed:
            self._is_closed = True
            self._changed.notify()

    def _run(self) -> None:
        while (write := self._next()) is not None:
            sock, data = write
            with contextlib.suppress(OSError):  # the gateway has closed the connection
                sock.sendall(data)

    def _next(self) -> tuple[socket.socket, bytes] | None:
        with self._changed:
            while not self._is_closed:
                wait_s = self._due[0][0] - time.monotonic() if self._due else MAX_IDLE_WAIT_S
                if wait_s <= 0:
                    _, _, sock, data = heapq.heappop(self._due)
                    return sock, data
                self._changed.wait(min(wait_s, MAX_IDLE_WAIT_S))
        return None


class SoakHost:
    """One stub host.

    ``calls`` counts how often each request id arrived; a call takes effect when it arrives.
    ``response_times_s`` holds when each request id was first answered, in monotonic seconds.
    """

    def __init__(
        self, behaviour: HostBehaviour, delay_s: float, deadline_s: float, writes: DelayedWrites, seed: int
    ) -> None:
        self.calls: Counter[str] = Counter()
        self.response_times_s: dict[str, float] = {}
        self._behaviour = behaviour
        self._delay_s = delay_s
        self._slow_s = SLOW_DEADLINE_FRACTION * deadline_s
        self._writes = writes
        self._rng = random.Random(seed)
        self._lock = threading.Lock()  # guards `calls` and the random numbers
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        start_thread("host", self._accept)

    def close(self) -> None:
        """Accept no more connections. Open connections end with the gateway."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self._start(sock)

    def _start(self, sock: socket.socket) -> None:
        start_thread("host-connection", lambda: self._serve(sock))

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, msgspec.MsgspecError), sock, sock.makefile("rb") as lines:
            for line in lines:
                self._handle(sock, msgspec.json.decode(line))

    def _handle(self, sock: socket.socket, message: dict[str, object]) -> None:
        fields: dict[str, object] = {}
        match message["what"]:
            case "CALL":
                request_id = str(message["tag"])
                delay_s = self._record_call(request_id)
                if self._behaviour is HostBehaviour.HANGING:
                    return
                self.response_times_s.setdefault(request_id, time.monotonic() + delay_s)
                fields["note"] = "up"
            case "LOAD":
                delay_s = 0.0
                fields["units"] = 1
            case _:
                return
        answer = {"what": "OK", "tag": message["tag"], "with": fields, "blob": message.get("blob", "")}
        self._writes.add(time.monotonic() + delay_s, sock, msgspec.json.encode(answer) + b"\n")

    def _record_call(self, request_id: str) -> float:
        """Count a call; return the delay of its response in seconds."""
        with self._lock:
            self.calls[request_id] += 1
            if self._behaviour is HostBehaviour.SLOW:
                return self._slow_s
            return self._rng.uniform(0.0, self._delay_s)
