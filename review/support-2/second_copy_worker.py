"""A stand-in worker (docs/worker-protocol.md) some of whose answers come a second time, some milliseconds late.

Arguments: port, name, file for its log, one in how many answers comes twice (0: none), milliseconds until it does.
The answer of a call holds the call's own payload.
"""

from __future__ import annotations

import json
import signal
import socket
import sys
import threading
import time

PORT, NAME, LOG, EVERY, LATE_S = (
    int(sys.argv[1]),
    sys.argv[2],
    sys.argv[3],
    int(sys.argv[4]),
    float(sys.argv[5]) / 1000,
)
WORK_S = 0.01
lock = threading.Lock()
calls = 0
file = open(LOG, "a", encoding="utf-8", buffering=1)


def write(what: str, **fields: object) -> None:
    with lock:
        file.write(json.dumps({"what": what, "worker": NAME, "unix": time.time(), **fields}) + "\n")


def read_request(sock: socket.socket, pending: bytes) -> tuple[dict[str, str], bytes, bytes] | None:
    """Return the fields and the body of the next request, and what came after it."""
    while b"\r\n\r\n" not in pending:
        data = sock.recv(65536)
        if not data:
            return None
        pending += data
    head, _, rest = pending.partition(b"\r\n\r\n")
    fields = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    while len(rest) < length:
        data = sock.recv(65536)
        if not data:
            return None
        rest += data
    return fields, rest[:length], rest[length:]


def serve(sock: socket.socket) -> None:
    global calls
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    pending = b""
    sending = threading.Lock()

    def send(data: bytes) -> None:
        with sending:
            try:
                sock.sendall(data)
            except OSError:
                pass

    try:
        while (request := read_request(sock, pending)) is not None:
            fields, body, pending = request
            call = json.loads(body).get("call")
            write("run", call=call, id=fields.get("x-amzn-requestid"))
            time.sleep(WORK_S)
            content = json.dumps({"of": call, "worker": NAME}).encode()
            head = (
                f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Saffron-Found: warm\r\n"
                f"X-Saffron-Incarnation: a\r\nContent-Length: {len(content)}\r\n\r\n"
            )
            send(head.encode() + content)
            with lock:
                calls += 1
                is_spoilt = EVERY > 0 and calls % EVERY == 0
            if is_spoilt:
                write("second copy", call=call)
                threading.Timer(LATE_S, send, (head.encode() + content,)).start()
    except OSError:
        pass
    finally:
        sock.close()


def main() -> None:
    listener = socket.create_server(("127.0.0.1", PORT), backlog=64)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    write("start")
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
