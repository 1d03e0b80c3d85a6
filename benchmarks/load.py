"""Load generator process: closed loops over persistent connections; prints the latencies."""

from __future__ import annotations

import json
import random
import socket
import sys
import threading
import time

REQUEST_ID_PLACEHOLDER = b"@" * 16  # replaced by a unique id in each request


def send_requests(
    address: str, request: bytes, end_s: float, latencies_s: list[float], errors: list[str]
) -> None:
    """Send requests one after another over one connection."""
    host, _, port = address.rpartition(":")
    connection_id, has_placeholder = random.randbytes(4).hex().encode(), REQUEST_ID_PLACEHOLDER in request
    before, _, after = request.partition(REQUEST_ID_PLACEHOLDER)
    number = 0
    try:
        sock = socket.create_connection((host, int(port)), timeout=20)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while (start := time.perf_counter()) < end_s:
            if has_placeholder:
                number += 1
                request = before + connection_id + b"%08x" % number + after
            sock.sendall(request)
            data = b""
            while True:
                chunk = sock.recv(65536)
                if not chunk:
                    raise ConnectionError("connection closed before the response was complete")
                data += chunk
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
                latencies_s.append(time.perf_counter() - start)
    except (OSError, ValueError) as error:
        errors.append(str(error))


def main() -> None:
    """Read a JSON job (addresses, requests, connections, seconds) from standard input and run it."""
    job = json.loads(sys.stdin.readline())
    addresses, requests = job["addresses"], [request.encode() for request in job["requests"]]
    latencies_s: list[float] = []
    errors: list[str] = []
    end_s = time.perf_counter() + job["seconds"]
    threads = [
        threading.Thread(
            target=send_requests,
            args=(addresses[n % len(addresses)], requests[n % len(requests)], end_s, latencies_s, errors),
        )
        for n in range(job["connections"])
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps({"times": latencies_s, "errors": errors}))


if __name__ == "__main__":
    main()
