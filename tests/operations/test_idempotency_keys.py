"""Tests of idempotency keys, operation identities and payload fingerprints."""

from __future__ import annotations

import pytest

from saffronstack.http1.messages import Headers
from saffronstack.operations.idempotency_keys import (
    OperationIdentity,
    idempotency_key_of,
    payload_fingerprint,
    worker_idempotency_key,
)


def test_identities_and_keys_are_kept_apart() -> None:
    base = OperationIdentity("a", "f", "$LATEST", "Event", "key:1")
    others = [
        OperationIdentity("b", "f", "$LATEST", "Event", "key:1"),
        OperationIdentity("a", "g", "$LATEST", "Event", "key:1"),
        OperationIdentity("a", "f", "1", "Event", "key:1"),
        OperationIdentity("a", "f", "$LATEST", "RequestResponse", "key:1"),
        OperationIdentity("a", "f", "$LATEST", "Event", "sdk:1"),
        OperationIdentity("af", "", "$LATEST", "Event", "key:1"),
    ]
    assert len({identity.digest() for identity in [base, *others]}) == len(others) + 1
    assert idempotency_key_of(Headers([("idempotency-key", "k"), ("amz-sdk-invocation-id", "i")])) == "key:k"
    assert idempotency_key_of(Headers([("amz-sdk-invocation-id", "i")])) == "sdk:i"
    assert (
        idempotency_key_of(Headers([("amz-sdk-invocation-id", "i" * 200)]))
        == idempotency_key_of(Headers([]))
        == ""
    )
    with pytest.raises(ValueError, match="Idempotency-Key: 200"):
        idempotency_key_of(Headers([("idempotency-key", "k" * 200)]))
    assert payload_fingerprint(b"a", "b") != payload_fingerprint(b"ab", "") != payload_fingerprint(b"a", "")
    assert (
        worker_idempotency_key("t", "key:k", "id"),
        worker_idempotency_key("t", "sdk:k", "id"),
        worker_idempotency_key("t", "", "id"),
    ) == (
        "t:k",
        "t:sdk:k",
        "id",
    )
