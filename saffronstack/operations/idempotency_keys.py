"""An operation's name: which sends belong together. No I/O.

The client says so by `Idempotency-Key`, or an AWS SDK by `amz-sdk-invocation-id`, which it keeps over all
tries of one operation. A name belongs to a tenant, a function, its qualifier and the invocation type."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec
import xxhash

from saffronstack.http1.messages import Headers

TOKEN_MOST = 128  # characters
DIGEST_BYTES = 12
SDK = "sdk:"  # before an SDK's id, so that it never is a client's key
KEY = "key:"


@dataclass(frozen=True, slots=True)
class Name:
    """Everything that an operation's identity is made of."""

    tenant: str
    function: str
    qualifier: str
    kind: str  # RequestResponse or Event
    token: str

    def digest(self) -> bytes:
        """Its identity. Parts are kept apart by their lengths; nobody can choose one that is another's."""
        parts = self.tenant, self.function, self.qualifier, self.kind, self.token
        return hashlib.blake2b(msgspec.msgpack.encode(parts), digest_size=DIGEST_BYTES).digest()


def token_of(headers: Headers) -> str:
    """What the client calls its operation, behind who said so; empty where it names none.

    ValueError where an `Idempotency-Key` is too long; an SDK's id that is too long names nothing."""
    key = headers.get("idempotency-key")
    if key:
        if len(key) > TOKEN_MOST:
            raise ValueError(f"Idempotency-Key: {len(key)} characters, {TOKEN_MOST} at most.")
        return KEY + key
    own = headers.get("amz-sdk-invocation-id")
    return SDK + own if 0 < len(own) <= TOKEN_MOST else ""


def fingerprint(payload: bytes, context: str) -> bytes:
    """What must be the same in each send of an operation."""
    state = xxhash.xxh3_128(payload)
    state.update(b"\0" + context.encode())
    return state.digest()


def worker_key(tenant: str, token: str, request_id: str) -> str:
    """The key that a worker drops repeats by: the client's name, else the request's own id."""
    if token.startswith(KEY):
        return f"{tenant}:{token[len(KEY) :]}"
    return f"{tenant}:{token}" if token else request_id
