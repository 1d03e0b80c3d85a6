"""Lines from workers, split at every byte, and arbitrary input."""

from __future__ import annotations

import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saffronstack.routing.events import CacheStatus
from saffronstack.upstream.errors import LineProtocolError
from saffronstack.upstream.multiplexed import codec, line_reader
from saffronstack.upstream.multiplexed.line_reader import LineReader


def test_host_lines_split_at_every_byte() -> None:
    data = b'{"what":"OK","tag":"a","with":{"note":"behind","ahead":"3","load":"queue:7;util:0.6"},'
    data += b'"blob":"eA=="}\n'
    data += b'{"what":"BUSY","tag":"b"}\n'
    for cut in range(len(data) + 1):
        reader = LineReader(1000)
        lines = reader.feed(data[:cut]) + reader.feed(data[cut:])
        first, second = map(codec.decode_response, lines)
        assert (first.body, first.cache_status, first.concurrency) == (b"x", CacheStatus.JOINED_LOAD, 3)
        report = first.load_report
        assert report is not None
        assert (report.requests_queued, report.cpu_utilization) == (7.0, 0.6)
        assert (second.message_type, second.tag, second.concurrency) == ("BUSY", "b", None)


@given(st.one_of(st.binary(max_size=200), st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(
        st.sampled_from(["what", "tag", "with", "blob", "ahead", "units", "load"]), inner, max_size=5),
).map(lambda value: json.dumps(value).encode())))  # fmt: skip
def test_any_line_decodes_or_raises_a_protocol_error(line: bytes) -> None:
    with contextlib.suppress(LineProtocolError):
        codec.decode_response(line)


def test_an_endless_line_is_an_error_before_it_fills_memory() -> None:
    reader = LineReader(1000)

    def feed_endless_line() -> None:
        for _ in range(1100):
            reader.feed(b"x")

    with pytest.raises(LineProtocolError):
        feed_endless_line()
    assert len(reader._parts) <= line_reader.MAX_LINE_PARTS + 1
