"""Write the messages of a platform gateway with the code of commit 0684301.

Run from a clean checkout of that commit, with its dependencies installed:

    cd CHECKOUT && PYTHONPATH=$PWD python REPOSITORY/tests/stored_formats/capture_platform_messages.py

`data/platform_messages` receives the bytes that the gateway sends to hosts, clients and the DNS server, and
the parsed values of lines that hosts send and of frames that clients send. The script imports modules by the
names of that commit, which differ from those of the present code.
"""

from __future__ import annotations

import dataclasses
import importlib
import itertools
import json
import pathlib
from typing import Any

samples = importlib.import_module("settings_samples")

DESTINATION = pathlib.Path(__file__).parent / "data" / "platform_messages"
LINES = [
    *(
        f'{{"what":"{word}","tag":"t{word}","with":{{"note":"{note}","ahead":"3","units":2,'
        '"load":"inflight:1;queue:2;util:0.5;latency_ms:250;qps:40;eps:0.25;x0:0.75;x1:4;other:9"},"blob":"eA=="}'
        for word, note in itertools.product(("OK", "BUSY"), ("up", "fresh", "behind", "crashed", "else"))
    ),
    *(
        f'{{"what":"{word}","tag":"{word}"}}'
        for word in ("OK", "BUSY", "FAILED", "FULL", "NONE", "UP", "ERR")
    ),
    '{"what":"OK","tag":7}',
    '{"what":"OK","tag":"a","with":{"ahead":"many"}}',
]
FACTS = "memory_mb:512.5;lanes:3;load_ms:250"
FRAMES = [
    ["CALL", "17", "setting", f"req=00112233445566aa,subject=00000000000000ff,timeout=1500,"
     f"owner=corner-books,facts={FACTS}", "body"],
    ["CALL", "18", "lookup", "req=00112233445566ab,subject=00000000000000fe,timeout=9999,owner=corner-books"],
    ["CALL", "19", "lookup", "req=short,subject=00000000000000fe,timeout=5"],
    ["CANCEL", "17"],
    ["CHECK", "20"],
    ["OTHER", "21"],
    ["CALL", "x", "lookup", ""],
]  # fmt: skip


def sent_bytes() -> dict[str, str]:
    """Return the sent messages in hexadecimal."""
    codec = importlib.import_module("saffronstack.hosts.codec")
    dns = importlib.import_module("saffronstack.directory.dns")
    encode = importlib.import_module("saffronstack.resp.reader").encode
    sent = {
        "call": codec.call_line("t1", "setting", "00000000000000ff", 1500, b"\x00body\xff"),
        "cancel": codec.cancel_line("t1"),
        "ping": codec.ping_line("t2"),
        "load": codec.load_line("t3", "00000000000000ff", 2),
        "unload": codec.unload_line("00000000000000ff"),
        "query": dns.query_message(4711, "_call._tcp.hosts.example"),
        "reply": encode((b"17", b"BUSY", b"holdoff=250", b"")),
    }
    return {name: content.hex() for name, content in sent.items()}


def understood_line(line: str) -> Any:
    """Parse a line of a host; return None if it is invalid."""
    codec = importlib.import_module("saffronstack.hosts.codec")
    try:
        found = codec.answer_of(line.encode())
    except codec.HostError:
        return None
    report = found.report and list(dataclasses.astuple(found.report))
    return [found.word, found.tag, found.body.decode(), found.found.value, found.crowd, report, found.copies]


def understood_frame(words: list[str]) -> Any:
    """Parse a frame of a client; return None if it is invalid."""
    frames = importlib.import_module("saffronstack.resp.frames")
    calls = importlib.import_module("saffronstack.platform.calls")
    parse_settings = importlib.import_module("saffronstack.settings").parse_settings
    maker = calls.CallMaker(parse_settings(json.dumps(samples.PLATFORM))[0], lambda: 1)
    try:
        frame = frames.frame_of(tuple(word.encode() for word in words))
        if words[0] != "CALL":
            return [words[0], frame.tag]
        call = maker.call(frame, 100.0)
    except (frames.FrameError, frames.FieldError):
        return None
    spec = list(dataclasses.astuple(call.function))
    return [
        frame.tag,
        call.request_id,
        spec,
        call.payload.decode(),
        call.deadline_s,
        call.tenant,
        call.class_name,
    ]


def main() -> None:
    """Write all files."""
    codec = importlib.import_module("saffronstack.hosts.codec")
    connection = importlib.import_module("saffronstack.platform.connection")
    content = {
        "results": {word: result.value for word, result in codec.RESULTS.items()},
        "replies": {ending.value: word.decode() for ending, word in connection.WORDS.items()},
        "sent": sent_bytes(),
        "lines": [[line, understood_line(line)] for line in LINES],
        "frames": [[words, understood_frame(words)] for words in FRAMES],
    }
    DESTINATION.mkdir(parents=True, exist_ok=True)
    (DESTINATION / "messages.json").write_text(json.dumps(content, indent=1))


if __name__ == "__main__":
    main()
