"""A load generator in a process of its own: closed loops over kept connections; prints its latencies."""

from __future__ import annotations

import json
import random
import socket
import sys
import threading
import time

MARK = b"@" * 16  # stands for what must be another one in each request


def loop(address: str, request: bytes, until: float, times: list[float], errors: list[str]) -> None:
    """One connection's requests, one after another."""
    host, _, port = address.rpartition(":")
    own, marked = random.randbytes(4).hex().encode(), MARK in request
    before, _, after = request.partition(MARK)
    number = 0
    try:
        sock = socket.create_connection((host, int(port)), timeout=20)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while (start := time.perf_counter()) < until:
            if marked:
                number += 1
                request = before + own + b"%08x" % number + after
            sock.sendall(request)
            data = b""
            while True:
                more = sock.recv(65536)
                if not more:
                    raise ConnectionError("closed")
                data += more
                end = data.find(b"\r\n\r\n")
                if end < 0:
                    continue
                at = data.find(b"Content-Length: ")
                length = int(data[at + 16 : data.find(b"\r\n", at)]) if 0 <= at < end else 0
                if len(data) >= end + 4 + length:
                    break
            if data[9:12] not in (b"200", b"202"):
                errors.append(data[9:12].decode())
            else:
                times.append(time.perf_counter() - start)
    except (OSError, ValueError) as error:
        errors.append(str(error))


def main() -> None:
    """``{"addresses", "requests", "connections", "seconds"}`` on standard input."""
    order = json.loads(sys.stdin.readline())
    addresses, requests = order["addresses"], [request.encode() for request in order["requests"]]
    times: list[float] = []
    errors: list[str] = []
    until = time.perf_counter() + order["seconds"]
    threads = [
        threading.Thread(
            target=loop,
            args=(addresses[n % len(addresses)], requests[n % len(requests)], until, times, errors),
        )
        for n in range(order["connections"])
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps({"times": times, "errors": errors}))


if __name__ == "__main__":
    main()
