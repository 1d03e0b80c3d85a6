"""Encoding of the ledger's records."""

from __future__ import annotations

import pytest

from saffronstack.deferred.records import AnyRecord, Attempted, Dropped, Voided, decode, encode
from tests.support.ledger import accepted_call, finished_call


@pytest.mark.parametrize(
    "record", [accepted_call(1), Attempted("a", 2, 3.0), Voided("a"), finished_call(1), Dropped("a")]
)
def test_records_recover_ledger(record: AnyRecord) -> None:
    assert decode(encode(record)) == record
