"""Tests that a valid worker file becomes a version, and an invalid one an error with its line."""

from __future__ import annotations

import time

import pytest

from saffronstack.discovery.files.parsing import InvalidWorkerFileError
from tests.discovery.files.support import entry, file_text, parse


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ('{"workers": [', "roster.json5:1: not JSON5"),
        ('{"workers": []}\n}', "not JSON5"),
        ("[]", "roster.json5:1: top level: Expected `object`"),
        ('{"workrs": []}', "roster.json5:1: workrs: unknown key; did you mean 'workers'"),
        (
            '{"workers": [\n{"id": "w1", "address": "h:1", "kind": "standin"},\n{"id": "w2"}]}',
            "roster.json5:3: workers[1]: Object missing required field `address`",
        ),
        (file_text(entry("w1"), entry("w1", 7)), "worker 'w1' is already listed at roster.json5:"),
        (file_text(entry("w1", 7), entry("w2", 7)), "address 127.0.0.1:7 is already listed at roster.json5:"),
        (
            file_text(entry("host-98390", 7), entry("host-140136", 8)),
            "workers[1] (host-140136): the hash of its name is that of 'host-98390'; rename one of them",
        ),
        (file_text(entry("w1", size=1000)), "workers[0] (w1).size: 1000 is not between 0.01 and 100"),
        (file_text({**entry("w1"), "address": "127.0.0.1:99999"}), "address: port 99999 is out of range"),
        (file_text({**entry("w1"), "address": "999.0.0.1:80"}), "address: 999.0.0.1 is not an IP address"),
        (
            file_text({**entry("w1"), "address": "0.0.0.0:80"}),
            "address: a worker can't have the address 0.0.0.0",
        ),
        (
            file_text({**entry("w1"), "kind": "new"}),
            "kind: no kind is named 'new'; a new kind requires a restart",
        ),
        ('{"generation": -1, "workers": []}', "roster.json5:1: generation: Expected `int` >= 0"),
        ("{workers: " + "[" * 5000 + "]" * 5000 + "}", "roster.json5"),
    ],
)
def test_an_invalid_text_is_rejected_with_its_line(text: str, words: str) -> None:
    with pytest.raises(InvalidWorkerFileError) as caught:
        parse(text)
    assert words in str(caught.value)


def test_a_text_cut_at_any_byte_is_rejected() -> None:
    text = file_text(entry("w1"), entry("w2", size=2.5, zone="z"), generation=3)
    for cut in range(len(text)):
        with pytest.raises(InvalidWorkerFileError):
            parse(text[:cut])
    assert len(parse(text).workers) == 2


def test_ten_thousand_workers_are_parsed_within_ten_seconds() -> None:
    entries = [
        {**entry("w1"), "id": f"w-{n}", "address": f"127.{n // 40000}.{n // 200 % 200}.{n % 200 + 1}:80"}
        for n in range(10_000)
    ]
    started_s = time.process_time()
    assert len(parse(file_text(*entries)).workers) == 10_000
    # CPU time, since wall clock time includes other tests that run on the machine.
    assert time.process_time() - started_s < 10.0  # a former implementation took 44 s for 1,000 workers
