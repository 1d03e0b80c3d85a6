"""The directory's stand-in: answers SRV queries over UDP with the whole list, and logs each answer.

Reads lists as JSON lines on standard input; writes its address as the first line of standard output. Log lines:
time after the answer was sent, number of the event, port of the gateway.
"""

from __future__ import annotations

import json
import socket
import struct
import sys
import threading
import time

NAME = b"\5_work\4_tcp\5fleet\5local\0"


def response(query: bytes, rev: int, endpoints: list[dict[str, object]]) -> bytes:
    question = query[12:]
    services, more = b"", b""
    at = 12 + len(question)
    for entry in endpoints:
        host, _, port = str(entry["address"]).rpartition(":")
        labels = [str(entry["name"]), str(entry["zone"]), "hosts"]
        target = b"".join(bytes([len(label)]) + label.encode() for label in labels) + b"\0"
        priority = 0 if entry["status"] == "Ready" else 1
        data = struct.pack(">HHH", priority, 10 * int(str(entry["weight"])), int(port)) + target
        services += b"\xc0\x0c" + struct.pack(">HHIH", 33, 1, 0, len(data)) + data
        pointer = struct.pack(">H", 0xC000 | at + 12 + 6)
        at += 12 + len(data)
        more += pointer + struct.pack(">HHIH", 1, 1, 0, 4) + socket.inet_aton(host)
        texts = b"".join(
            bytes([len(text)]) + text.encode()
            for text in (f"kind={entry['type']}", f"cell={entry['group']}", f"started={entry['since_ms']}")
        )
        more += pointer + struct.pack(">HHIH", 16, 1, 0, len(texts)) + texts
    soa = b"\0\0" + struct.pack(">IIIII", rev, 1, 1, 1, 1)
    authority = b"\xc0\x0c" + struct.pack(">HHIH", 6, 1, 0, len(soa)) + soa
    header = query[:2] + struct.pack(">HHHHH", 0x8400, 1, len(endpoints), 1, 2 * len(endpoints))
    return header + question + services + authority + more


def main() -> None:
    current: list[dict[str, object]] = [{}]

    def read_lists() -> None:
        for line in sys.stdin:
            current[0] = json.loads(line)

    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    threading.Thread(target=read_lists, daemon=True).start()
    print(f"127.0.0.1:{sock.getsockname()[1]}", flush=True)
    with open(sys.argv[1], "w", buffering=1) as log:
        while True:
            query, peer = sock.recvfrom(4096)
            told = current[0]
            if not told or query[12 : 12 + len(NAME)].lower() != NAME:
                continue
            answer = response(query, int(str(told["rev"])), list(told["endpoints"]))  # type: ignore[call-overload]
            sock.sendto(answer, peer)
            log.write(f"{time.time():.6f} {told['rev']} {peer[1]}\n")


main()
