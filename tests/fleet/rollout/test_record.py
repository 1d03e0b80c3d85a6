"""Tests of the stored record of a rollout."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from saffronstack.fleet.rollout import record_updates
from saffronstack.fleet.rollout.errors import RecordError
from saffronstack.fleet.rollout.plan import Release, RolloutPlan, Stage
from saffronstack.fleet.rollout.record import create_record, decode_record, encode_record

MAX_LEASE_VALUE_BYTES = 4096


def test_missing_unreadable_and_newer_records_are_distinguished() -> None:
    assert decode_record(b"") is None
    with pytest.raises(RecordError, match="version 9"):
        decode_record(b'{"version": 9}')
    with pytest.raises(ValueError, match="can't be read"):
        decode_record(b"\xff")


def test_a_record_with_the_longest_history_fits_the_lease_value() -> None:
    stages = Stage(count=1, bake_s=10.0), Stage(share=1.0, bake_s=10.0)
    plan = RolloutPlan(name="p", base_digest="old", stages=stages, settle_s=0.0)
    record = create_record(plan, Release(version="1", digest="old"), Release(version="2", digest="new"))
    for number in range(30):
        line = f"{number}" + "x" * record_updates.MAX_LINE_LENGTH
        history = (*record.history, line)[-record_updates.MAX_HISTORY_LINES :]
        record = replace(record, history=history)
    record = replace(record, reason="y" * record_updates.MAX_REASON_LENGTH)
    assert len(encode_record(record)) < MAX_LEASE_VALUE_BYTES
