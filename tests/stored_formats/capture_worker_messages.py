"""Write the messages between a gateway and workers with the code of commit 0684301.

Run from a clean checkout of that commit, with its dependencies installed:

    cd CHECKOUT && PYTHONPATH=$PWD python REPOSITORY/tests/stored_formats/capture_worker_messages.py

`data/worker_messages` receives the requests, responses of workers, and the parsed values of each response.
The script imports modules by the names of that commit, which differ from those of the present code.
"""

from __future__ import annotations

import dataclasses
import importlib
import json
import pathlib
from typing import Any

DESTINATION = pathlib.Path(__file__).parent / "data" / "worker_messages"
REPORT = (
    "X-Saffron-Found: {found}\r\nX-Saffron-Crowd: 3\r\nX-Saffron-In-Hand: 1.5\r\nX-Saffron-Waiting: 2.5\r\n"
    "X-Saffron-Busy: 0.75\r\nX-Saffron-Loads: 4\r\nX-Saffron-Incarnation: life-a\r\n"
    "X-Saffron-Uptime-Ms: 12500\r\nX-Saffron-Usage: dXNhZ2U=\r\nX-Saffron-Held: 987654\r\n"
)
ANSWERS = [
    *(
        f"HTTP/1.1 200 OK\r\n{REPORT.format(found=found)}X-Amz-Function-Error: Unhandled\r\n"
        "X-Amz-Log-Result: bG9n\r\nContent-Length: 2\r\n\r\n{}"
        for found in ("warm", "began-load", "awaited-load", "load-failed", "something-else")
    ),
    "HTTP/1.1 429 x\r\nX-Saffron-Ran: no\r\nX-Saffron-Waiting: 7\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 404 x\r\nX-Saffron-Ran: no\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 x\r\nX-Saffron-Uptime-Ms: soon\r\nX-Saffron-Held: -1\r\nContent-Length: 0\r\n\r\n",
]


def main() -> None:
    """Write the requests and the parsed responses."""
    calls = importlib.import_module("saffronstack.core.calls")
    protocol = importlib.import_module("saffronstack.workers.protocol")
    DESTINATION.mkdir(parents=True, exist_ok=True)
    spec = calls.FunctionSpec("identify copy/1", 77, 1, 512.5, 3, 0.25)
    complete = calls.Call(
        1,
        "id-1",
        spec,
        b'{"op": 1}',
        5.0,
        1,
        "corner-books",
        "key-1",
        "Y29udGV4dA==",
        True,
        class_name="sale",
    )
    plain = calls.Call(2, "id-2", spec, b"", 5.0)
    requests = {
        "invoke": protocol.invoke("host-1:9001", complete, 2, 1.2345, "gateway-one"),
        "invoke-plain": protocol.invoke("host-1:9001", plain, 0, -1.0),
        "order": protocol.order("host-1:9001", spec, 2),
        "order-asks": protocol.order("host-1:9001", spec, 0),
        "unload": protocol.unload("host-1:9001", spec),
        "probe": protocol.probe("host-1:9001"),
        "usage": protocol.usage("host-1:9001", b"\x80"),
    }
    for name, request in requests.items():
        (DESTINATION / f"{name}.http").write_bytes(request)
    (DESTINATION / "judged.json").write_text(json.dumps(judged_answers(), indent=1))


def judged_answers() -> list[dict[str, Any]]:
    """Return the responses with their parsed values."""
    messages = importlib.import_module("saffronstack.http1.messages")
    reader = importlib.import_module("saffronstack.http1.reader")
    protocol = importlib.import_module("saffronstack.workers.protocol")
    found = []
    for answer in ANSWERS:
        parser = reader.MessageReader(messages.Limits())
        parser.feed(answer.encode())
        head = parser.response()
        body = parser.body() or b""
        found.append({"answer": answer, "understood": understood(protocol.judge(head, body))})
    return found


def understood(judged: Any) -> dict[str, Any]:
    """Return a parsed response as JSON values; a load report becomes a list of its values."""
    report, answer = judged.report, judged.answer
    return {
        "result": judged.result.value,
        "found": judged.found.value,
        "crowd": judged.crowd,
        "report": report and list(dataclasses.astuple(report)),
        "payload": answer and answer.payload.decode(),
        "function_error": answer and answer.function_error,
        "log_tail": answer and answer.log_tail,
        "incarnation": judged.incarnation,
        "uptime_s": judged.uptime_s,
        "usage": judged.usage,
        "held": judged.held,
    }


if __name__ == "__main__":
    main()
