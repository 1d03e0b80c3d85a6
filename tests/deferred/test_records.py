"""Encoding of the ledger's records."""

from __future__ import annotations

import pytest

from saffronstack.deferred.records import (
    AttemptStarted,
    AttemptsVoided,
    CallWithdrawn,
    LedgerRecord,
    decode,
    encode,
)
from tests.support.ledger import accepted_call, finished_call


@pytest.mark.parametrize(
    "record",
    [
        accepted_call(1),
        AttemptStarted("a", 2, 3.0),
        AttemptsVoided("a"),
        finished_call(1),
        CallWithdrawn("a"),
    ],
)
def test_each_record_is_decoded_as_it_was_encoded(record: LedgerRecord) -> None:
    assert decode(encode(record)) == record
