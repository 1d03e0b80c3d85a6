"""A stand-in host of a rack that drops repeats of a key for as long as the site says (docs/worker-protocol.md).

Arguments: port, name, calls that it runs at a time, seconds that a call runs, seconds for which a key is remembered,
file for its log. With no room it answers 429 with `X-Saffron-Ran: no`, and has run nothing. A repeat that comes in time
gets the answer of the one run, and does not run.
"""

from __future__ import annotations

import json
import sys
import threading
import time
import uuid
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

PORT, NAME, ROOM = int(sys.argv[1]), sys.argv[2], int(sys.argv[3])
WORK_S, REMEMBERED_S, LOG = float(sys.argv[4]), float(sys.argv[5]), sys.argv[6]
lock = threading.Lock()
file = open(LOG, "a", encoding="utf-8", buffering=1)


@dataclass
class Run:
    """A call that this host runs or has run."""

    started_s: float
    answer: bytes
    done: threading.Event = field(default_factory=threading.Event)


runs: dict[str, Run] = {}  # the latest one by key
running = 0


def write(what: str, **fields: object) -> None:
    """Write an entry of the log; the caller holds the lock."""
    file.write(json.dumps({"what": what, "worker": NAME, "unix": time.time(), **fields}) + "\n")


def arrive(key: str, attempt: str) -> tuple[Run | None, bool]:
    """Return the run whose answer a call gets, None without room, and whether the call is to be run now."""
    global running
    with lock:
        now = time.monotonic()
        known = runs.get(key)
        if known is not None and now - known.started_s < REMEMBERED_S:
            write("repeat", key=key, attempt=attempt)
            return known, False
        if running >= ROOM:
            write("full", key=key, attempt=attempt)
            return None, False
        running += 1
        run = runs[key] = Run(now, json.dumps({"run": uuid.uuid4().hex, "host": NAME}).encode())
        write("run", key=key, attempt=attempt)
        return run, True


class Handler(BaseHTTPRequestHandler):
    """Serves one connection of a gateway."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        """Run a call, or answer a repeat."""
        global running
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        key, attempt = self.headers.get("Idempotency-Key", ""), self.headers.get("X-Saffron-Attempt", "")
        run, is_new = arrive(key, attempt)
        if run is None:
            self.answer(429, b"{}", ("X-Saffron-Ran", "no"))
            return
        if is_new:
            time.sleep(WORK_S)  # a gateway that is gone stops nothing
            with lock:
                running -= 1
            run.done.set()
        run.done.wait(2 * WORK_S)
        self.answer(200, run.answer, ("X-Saffron-Found", "warm"))

    def do_PUT(self) -> None:
        """Hold copies, as ordered: they stand."""
        self.answer(200, self.path.rpartition("=")[2].encode())

    def do_GET(self) -> None:
        """Tell the load, or how many copies stand."""
        self.answer(200, str(ROOM).encode())

    def do_DELETE(self) -> None:
        """Unload idle copies: nothing has to be done."""
        self.answer(204, b"")

    def answer(self, status: int, body: bytes, *fields: tuple[str, str]) -> None:
        """Send an answer; a gateway that is gone gets none."""
        try:
            self.send_response(status)
            for name, value in (("X-Saffron-Incarnation", NAME), ("Content-Length", str(len(body))), *fields):
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            self.close_connection = True

    def log_message(self, *arguments: object) -> None:
        """Write nothing to standard error."""


class Server(ThreadingHTTPServer):
    """One thread for each connection."""

    daemon_threads = True
    request_queue_size = 128


if __name__ == "__main__":
    server = Server(("127.0.0.1", PORT), Handler)
    with lock:
        write("start")
    server.serve_forever()
