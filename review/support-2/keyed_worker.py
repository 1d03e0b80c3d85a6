"""A stand-in worker of a keyed class: it drops repeats of a key for as long as the site says (docs/worker-protocol.md).

Arguments: port, name, seconds for which a key is remembered, file for its log. SIGUSR1: from now on answers are lost;
SIGUSR2: that ends. A repeat that comes in time is answered with the answer of the one run, and does not run.
"""

from __future__ import annotations

import json
import signal
import socket
import sys
import threading
import time
import uuid
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

PORT, NAME, REMEMBERED_S, LOG = int(sys.argv[1]), sys.argv[2], float(sys.argv[3]), sys.argv[4]
WORK_S = 0.05
HOLD_S = 10.0
answers_are_lost = threading.Event()
lock = threading.Lock()
runs: dict[str, tuple[float, bytes]] = {}  # by key: when it ran, and its answer
file = open(LOG, "a", encoding="utf-8", buffering=1)


def write(what: str, **fields: object) -> None:
    with lock:
        file.write(json.dumps({"what": what, "worker": NAME, "unix": time.time(), **fields}) + "\n")


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        key = self.headers.get("Idempotency-Key", "")
        fields = {
            "key": key,
            "id": self.headers.get("X-Amzn-RequestId"),
            "attempt": self.headers.get("X-Saffron-Attempt"),
        }
        now = time.monotonic()
        with lock:
            known = runs.get(key)
            is_repeat = known is not None and now - known[0] < REMEMBERED_S
            if known is None or not is_repeat:
                known = runs[key] = now, json.dumps({"run": uuid.uuid4().hex, "worker": NAME}).encode()
        write("repeat" if is_repeat else "run", **fields)
        if not is_repeat:
            time.sleep(WORK_S)
        if answers_are_lost.is_set():
            write("lost", **fields)
            self.connection.settimeout(HOLD_S)
            try:
                self.connection.recv(1, socket.MSG_PEEK)
            except OSError:
                pass
            self.close_connection = True
            return
        self.send_response(200)
        for name, value in (("Content-Type", "application/json"), ("X-Saffron-Found", "warm"),
                            ("X-Saffron-Incarnation", "a"), ("Content-Length", str(len(known[1])))):  # fmt: skip
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(known[1])
        write("answer", **fields)

    def log_message(self, *arguments: object) -> None:
        pass


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


def main() -> None:
    numbers = {signal.SIGUSR1, signal.SIGUSR2, signal.SIGTERM}
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    server = Server(("127.0.0.1", PORT), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    write("start")
    while (number := signal.sigwait(numbers)) != signal.SIGTERM:
        if number == signal.SIGUSR1:
            answers_are_lost.set()
        else:
            answers_are_lost.clear()


main()
