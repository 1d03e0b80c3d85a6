"""The HTTP/1.1 parser: messages whole and split anywhere, requests that invite smuggling, a fuzz."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saffronstack.http1 import writer
from saffronstack.http1.messages import HttpError, MessageLimits
from saffronstack.http1.reader import MessageReader

LIMITS = MessageLimits(line_bytes=200, head_bytes=600, header_fields=10, body_bytes=1000)
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
GOOD = [
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
BAD = [
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


def parse(pieces: list[bytes]) -> tuple[str, bytes] | int | None:
    """Method and body, the status of the error, or None where bytes are missing."""
    reader = MessageReader(LIMITS)
    head = None
    try:
        for piece in pieces:
            reader.feed(piece)
            head = head or reader.request()
            if head is not None and (body := reader.body()) is not None:
                return head.method, body
    except HttpError as error:
        return error.status
    return None


@pytest.mark.parametrize(("data", "method", "body"), GOOD)
def test_good_requests_split_at_every_byte(data: bytes, method: str, body: bytes) -> None:
    assert parse([data]) == (method, body)
    assert parse([data[n : n + 1] for n in range(len(data))]) == (method, body)
    for cut in range(1, len(data)):
        assert parse([data[:cut], data[cut:]]) == (method, body)
        assert parse([data[:cut]]) is None


@pytest.mark.parametrize(("data", "status"), BAD)
def test_bad_requests_get_the_same_verdict_however_they_are_split(data: bytes, status: int) -> None:
    assert parse([data]) == status
    assert parse([data[n : n + 1] for n in range(len(data))]) == status
    for cut in range(1, len(data)):
        assert parse([data[:cut], data[cut:]]) == status


def test_pipelined_requests_come_one_by_one() -> None:
    reader = MessageReader(LIMITS)
    reader.feed(GOOD[1][0] + GOOD[2][0])
    for _, method, body in GOOD[1:3]:
        head = reader.request()
        assert head is not None
        assert (head.method, reader.body()) == (method, body)
    assert reader.request() is None


@pytest.mark.parametrize(
    "words",
    [("close", 1, False), ("keep-alive", 0, True), ("", 1, True), ("", 0, False), ("x, Close", 1, False)],
)
def test_keep_alive(words: tuple[str, int, bool]) -> None:
    reader = MessageReader(LIMITS)
    connection = f"Connection: {words[0]}\r\n" if words[0] else ""
    reader.feed(f"GET / HTTP/1.{words[1]}\r\nHost: a\r\n{connection}\r\n".encode())
    head = reader.request()
    assert head is not None
    assert head.keep_alive is words[2]


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
def test_responses(data: bytes, status: int, body: bytes, keeps: bool) -> None:
    for cut in range(len(data) + 1):
        reader = MessageReader(LIMITS)
        reader.feed(data[:cut] or b"")
        if cut == 0:
            reader = MessageReader(LIMITS)
        head = reader.response()
        reader.feed(data[cut:]) if cut < len(data) else None
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
def test_bad_responses(data: bytes) -> None:
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
def test_any_bytes_end_in_a_message_an_error_or_a_wait_alike(pieces: list[bytes]) -> None:
    pieces = [piece for piece in pieces if piece]
    whole = parse([b"".join(pieces)]) if pieces else None
    assert parse(pieces) == whole
    data = b"".join(pieces)
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
def test_what_is_written_reads_back(body: bytes, fields: list[tuple[str, str]]) -> None:
    names = {"content-length", "transfer-encoding", "host", "expect", "connection"}
    fields = [(name, value) for name, value in fields if name.lower() not in names]
    reader = MessageReader(LIMITS)
    reader.feed(writer.request("POST", "/x", [("Host", "a"), *fields], body))
    head = reader.request()
    assert head is not None
    assert reader.body() == body
    assert [(n.lower(), v) for n, v in fields] == head.headers.items[1:-1]


def test_a_header_value_can_not_break_out() -> None:
    with pytest.raises(ValueError, match="X-A"):
        writer.response(200, [("X-A", "a\r\nX-B: c")])
