"""Idempotency keys, which identify the requests of one operation. No I/O.

A client sends an ``Idempotency-Key`` header; AWS SDKs send ``amz-sdk-invocation-id``, which stays the same
over all retries. A key is unique within a tenant, function, qualifier and invocation type.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec
import xxhash

from saffronstack.http1.messages import Headers
from saffronstack.operations.errors import IdempotencyKeyTooLongError

MAX_KEY_LENGTH = 128  # characters
DIGEST_BYTES = 12
CLIENT_KEY_PREFIX = "key:"
SDK_KEY_PREFIX = "sdk:"  # prevents an SDK's id from matching a key that a client chooses


@dataclass(frozen=True, slots=True)
class OperationIdentity:
    """The fields that together identify an operation.

    Attributes:
        invocation_type: ``RequestResponse`` or ``Event``.
        key: The idempotency key with its prefix, as `idempotency_key_of` returns it.
    """

    tenant: str
    function: str
    qualifier: str
    invocation_type: str
    key: str

    def digest(self) -> bytes:
        """Return the digest by which the operation is stored and looked up.

        The encoding prefixes each field with its length, so two different identities never encode to the same
        bytes.
        """
        parts = self.tenant, self.function, self.qualifier, self.invocation_type, self.key
        return hashlib.blake2b(msgspec.msgpack.encode(parts), digest_size=DIGEST_BYTES).digest()


def idempotency_key_of(headers: Headers) -> str:
    """Return the idempotency key of a request with its prefix; empty if the request has no key.

    An ``amz-sdk-invocation-id`` that is too long is ignored.

    Raises:
        IdempotencyKeyTooLongError: The ``Idempotency-Key`` header is too long.
    """
    client_key = headers.get("idempotency-key")
    if client_key:
        if len(client_key) > MAX_KEY_LENGTH:
            raise IdempotencyKeyTooLongError(
                f"Idempotency-Key: {len(client_key)} characters, {MAX_KEY_LENGTH} at most."
            )
        return CLIENT_KEY_PREFIX + client_key
    sdk_id = headers.get("amz-sdk-invocation-id")
    return SDK_KEY_PREFIX + sdk_id if 0 < len(sdk_id) <= MAX_KEY_LENGTH else ""


def payload_fingerprint(payload: bytes, context: str) -> bytes:
    """Return a hash of the payload and its context, which must be equal in all requests of one operation."""
    state = xxhash.xxh3_128(payload)
    state.update(b"\0" + context.encode())
    return state.digest()


def worker_idempotency_key(tenant: str, key: str, request_id: str) -> str:
    """Return the key by which workers deduplicate: the idempotency key, else the request id."""
    if key.startswith(CLIENT_KEY_PREFIX):
        return f"{tenant}:{key[len(CLIENT_KEY_PREFIX) :]}"
    return f"{tenant}:{key}" if key else request_id
