"""Encoding of the ledger's records."""

from __future__ import annotations

import msgspec
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
        AttemptStarted("a", 2, 3.0, "zone", "cell"),
        AttemptsVoided("a"),
        finished_call(1),
        CallWithdrawn("a"),
    ],
)
def test_each_record_is_decoded_as_it_was_encoded(record: LedgerRecord) -> None:
    assert decode(encode(record)) == record


def test_an_earlier_version_reads_the_first_fields_of_an_attempt() -> None:
    """A gateway that goes back to an earlier release finds what it knows at the same place."""
    stored = msgspec.msgpack.decode(encode(AttemptStarted("a", 2, 3.0, "zone", "cell")))
    assert stored == ["t", "a", 2, 3.0, "zone", "cell"]
    assert msgspec.msgpack.decode(encode(AttemptStarted("a", 2, 3.0))) == ["t", "a", 2, 3.0]
