"""Tests of the encoding of operation records."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saffronstack.engine.possible_execution import PossibleExecution
from saffronstack.operations.operation import OperationRecord, OperationState, StoredResponse
from saffronstack.operations.record_format import decode_record, encode_record
from saffronstack.routing.settings import Idempotency

FINGERPRINT = b"p" * 16


@given(
    st.binary(max_size=40),
    st.text(max_size=20),
    st.sampled_from(list(OperationState)),
    st.sampled_from(list(Idempotency)),
)
@settings(derandomize=True, max_examples=100)
def test_an_encoded_record_is_decoded_to_the_same(
    body: bytes, text: str, state: OperationState, idempotency: Idempotency
) -> None:
    executions = (PossibleExecution(5, 1.25), PossibleExecution(6, 2.5, text, "cell"))[: len(body) % 3]
    for request_id in (text, "01234567-89ab-cdef-0123-456789abcdef", "01234567-89AB-cdef-0123-456789abcdef"):
        headers = (("a", text), ("x-amzn-RequestId", request_id), ("Content-Type", "$LATEST"))
        record = OperationRecord(
            state,
            12.5,
            FINGERPRINT,
            request_id,
            idempotency,
            StoredResponse(200, headers, body),
            executions,
            7.5,
        )
        assert decode_record(encode_record(record)) == record
    assert decode_record(
        encode_record(OperationRecord(state, 1.0, FINGERPRINT, text, idempotency))
    ) == OperationRecord(state, 1.0, FINGERPRINT, text, idempotency)
    with pytest.raises(ValueError, match=r"."):
        decode_record(encode_record(record)[:-1])
