"""Tests that complete DNS messages are decoded and all other bytes raise an error."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saffronstack.discovery.dns.messages import DnsMessageError, decode_response
from saffronstack.discovery.dns.service_records import parse_snapshot
from tests.discovery.dns.support import ENTRIES, MESSAGE_ID, NAME, response

MESSAGE = response(41, ENTRIES)


def test_a_response_cut_anywhere_is_rejected() -> None:
    for cut in range(len(MESSAGE)):
        with pytest.raises(DnsMessageError):
            parse_snapshot(decode_response(MESSAGE[:cut]), MESSAGE_ID, NAME)


@given(st.binary(max_size=120))
def test_any_bytes_are_a_response_or_an_error(message: bytes) -> None:
    with contextlib.suppress(DnsMessageError):
        decode_response(message)


@given(st.integers(0, 300), st.binary(min_size=1, max_size=8))
def test_a_response_with_noise_inside_is_a_response_or_an_error(at: int, noise: bytes) -> None:
    with contextlib.suppress(DnsMessageError):
        noisy = MESSAGE[:at] + noise + MESSAGE[at + len(noise) :]
        parse_snapshot(decode_response(noisy), MESSAGE_ID, NAME)
