"""Tests of the HTTP/1.1 parser and serializer: split input, request smuggling and random bytes."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saffronstack.http1 import writer
from saffronstack.http1.messages import HttpError, MessageLimits
from saffronstack.http1.reader import MessageReader

LIMITS = MessageLimits(line_bytes=200, head_bytes=600, header_fields=10, body_bytes=1000)
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
VALID = [
    (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET", b""),
    (b"POST /x?y=1 HTTP/1.1\r\nhost:a\r\nContent-Length: 5\r\n\r\nhello", "POST", b"hello"),
    (
        CHUNKED + b"5\r\nhello\r\n1;a=b\r\n!\r\n0\r\n\r\n",
        "POST",
        b"hello!",
    ),
    (
        CHUNKED + b"A\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n",
        "POST",
        b"0123456789",
    ),
    (b"PUT / HTTP/1.0\r\nContent-Length: 0\r\n\r\n", "PUT", b""),
    (
        b"POST / HTTP/1.1\r\nHost: a\r\nX-Empty:\r\nX-Odd: \xe9 b\t c  \r\nContent-Length: 2\r\n\r\n{}",
        "POST",
        b"{}",
    ),
]
INVALID = [
    (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
    (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc", 400),
    (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", 400),
    (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x3\r\n\r\nabc", 400),
    (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n", 400),
    (b"GET / HTTP/1.1\nHost: a\n\n", 400),
    (b"GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\n Host: a\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: a\r\nX: b\x00\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: a\r\nX\x01: b\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\n\r\n", 400),
    (b"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    (b"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    (b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 400),
    (b"\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    (b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501),
    (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n", 501),
    (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 501),
    (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", 413),
    (CHUNKED + b"3e9\r\n", 413),
    (CHUNKED + b"-1\r\n", 400),
    (CHUNKED + b"5 \r\nhello\r\n0\r\n\r\n", 400),
    (CHUNKED + b"5\nhello\r\n0\r\n\r\n", 400),
    (CHUNKED + b"3\r\nhello\r\n0\r\n\r\n", 400),
    (CHUNKED + b"\r\n", 400),
    (CHUNKED + b"5;" + b"x" * 300 + b"\r\nhello\r\n0\r\n\r\n", 400),
    (CHUNKED + b"0\r\nContent-Length: 3\r\n\r\n", 400),
    (CHUNKED + b"0\r\nX : 3\r\n\r\n", 400),
    (b"GET /" + b"a" * 300 + b" HTTP/1.1\r\nHost: a\r\n\r\n", 431),
    (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 300 + b"\r\n\r\n", 431),
    (b"GET / HTTP/1.1\r\nHost: a\r\n" + b"X: y\r\n" * 12 + b"\r\n", 431),
    (
        b"GET / HTTP/1.1\r\nHost: a\r\n"
        + b"X: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n" * 9
        + b"\r\n",
        431,
    ),
]


def parse(fragments: list[bytes]) -> tuple[str, bytes] | int | None:
    """Return method and body, the status of the error, or None if the request is incomplete."""
    reader = MessageReader(LIMITS)
    head = None
    try:
        for fragment in fragments:
            reader.feed(fragment)
            head = head or reader.request()
            if head is not None and (body := reader.body()) is not None:
                return head.method, body
    except HttpError as error:
        return error.status
    return None


@pytest.mark.parametrize(("data", "method", "body"), VALID)
def test_a_valid_request_is_parsed_however_it_is_split(data: bytes, method: str, body: bytes) -> None:
    assert parse([data]) == (method, body)
    assert parse([data[n : n + 1] for n in range(len(data))]) == (method, body)
    for split in range(1, len(data)):
        assert parse([data[:split], data[split:]]) == (method, body)
        assert parse([data[:split]]) is None


@pytest.mark.parametrize(("data", "status"), INVALID)
def test_an_invalid_request_gets_the_same_status_however_it_is_split(data: bytes, status: int) -> None:
    assert parse([data]) == status
    assert parse([data[n : n + 1] for n in range(len(data))]) == status
    for split in range(1, len(data)):
        assert parse([data[:split], data[split:]]) == status


def test_pipelined_requests_are_returned_one_by_one() -> None:
    reader = MessageReader(LIMITS)
    reader.feed(VALID[1][0] + VALID[2][0])
    for _, method, body in VALID[1:3]:
        head = reader.request()
        assert head is not None
        assert (head.method, reader.body()) == (method, body)
    assert reader.request() is None


@pytest.mark.parametrize(
    "case",
    [("close", 1, False), ("keep-alive", 0, True), ("", 1, True), ("", 0, False), ("x, Close", 1, False)],
)
def test_keep_alive(case: tuple[str, int, bool]) -> None:
    reader = MessageReader(LIMITS)
    connection = f"Connection: {case[0]}\r\n" if case[0] else ""
    reader.feed(f"GET / HTTP/1.{case[1]}\r\nHost: a\r\n{connection}\r\n".encode())
    head = reader.request()
    assert head is not None
    assert head.keep_alive is case[2]


@pytest.mark.parametrize(
    ("data", "status", "body", "keeps"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 200, b"hi", True),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204\r\n\r\n", 204, b"", True),
        (b"HTTP/1.1 200 OK\r\n\r\nto the end", 200, b"to the end", False),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", 200, b"", False),
        (b"HTTP/1.1 500 \r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 500, b"x", True),
    ],
)
def test_a_response_is_parsed_however_it_is_split(data: bytes, status: int, body: bytes, keeps: bool) -> None:
    for split in range(len(data) + 1):
        reader = MessageReader(LIMITS)
        reader.feed(data[:split] or b"")
        if split == 0:
            reader = MessageReader(LIMITS)
        head = reader.response()
        reader.feed(data[split:]) if split < len(data) else None
        head = head or reader.response()
        reader.feed(b"")
        assert head is not None
        assert (head.status, reader.body(), head.keep_alive) == (status, body, keeps)


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff",
        b"HTTP/1.1 banana\r\n\r\n",
        b"HTTP/1.1 101 Switch\r\n\r\n",
        b"HTTP/1.1 99 x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    ],
)
def test_an_invalid_response_is_rejected(data: bytes) -> None:
    reader = MessageReader(LIMITS)
    reader.feed(data)
    with pytest.raises(HttpError):
        reader.response()


@given(
    st.lists(
        st.binary(max_size=40)
        | st.sampled_from(
            [
                b"POST / HTTP/1.1\r\n",
                b"Host: a\r\n",
                b"\r\n",
                b"Content-Length: 4\r\n",
                b"Transfer-Encoding: chunked\r\n",
                b"4\r\nabcd\r\n",
                b"0\r\n\r\n",
            ]
        ),
        max_size=12,
    )
)
@settings(derandomize=True, max_examples=400, deadline=None)
def test_the_result_for_random_bytes_does_not_depend_on_how_they_are_split(fragments: list[bytes]) -> None:
    fragments = [fragment for fragment in fragments if fragment]
    whole = parse([b"".join(fragments)]) if fragments else None
    assert parse(fragments) == whole
    data = b"".join(fragments)
    assert parse([data[n : n + 1] for n in range(len(data))]) == whole


@given(
    st.binary(max_size=60),
    st.lists(
        st.tuples(
            st.from_regex(r"[A-Za-z][A-Za-z-]{0,10}", fullmatch=True),
            st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=15),
        ),
        max_size=5,
    ),
)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_a_serialized_request_is_parsed_back(body: bytes, fields: list[tuple[str, str]]) -> None:
    names = {"content-length", "transfer-encoding", "host", "expect", "connection"}
    fields = [(name, value) for name, value in fields if name.lower() not in names]
    reader = MessageReader(LIMITS)
    reader.feed(writer.request("POST", "/x", [("Host", "a"), *fields], body))
    head = reader.request()
    assert head is not None
    assert reader.body() == body
    assert [(n.lower(), v) for n, v in fields] == head.headers.items[1:-1]


def test_a_header_value_can_not_inject_a_header() -> None:
    with pytest.raises(ValueError, match="X-A"):
        writer.response(200, [("X-A", "a\r\nX-B: c")])


def test_a_head_is_scanned_once_however_it_is_split(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the square of the head's length for clients that write byte by byte (issue 68 a)."""
    scanned = list[int]()
    has_bare_line_ending = MessageReader._head_block.__globals__["_has_bare_line_ending"]

    def count(window: bytes | bytearray) -> bool:
        scanned.append(len(window))
        return bool(has_bare_line_ending(window))

    monkeypatch.setitem(MessageReader._head_block.__globals__, "_has_bare_line_ending", count)
    head = b"GET /x HTTP/1.1\r\nHost: x\r\n" + b"".join(b"x-%d: %b\r\n" % (n, b"y" * 300) for n in range(90))
    reader = MessageReader(MessageLimits())
    for index in range(len(head)):
        reader.feed(head[index : index + 1])
        assert reader.request() is None
    reader.feed(b"\r\n")
    found = reader.request()
    assert found is not None
    assert len(found.headers.items) == 91
    assert sum(scanned) <= 3 * len(head)
