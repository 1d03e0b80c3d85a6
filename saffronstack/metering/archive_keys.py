"""Keys and values of the archive's sorted runs.

Keys are MessagePack arrays that begin with a letter for the kind. If several runs have the same key, its
values are added up or the newest one is used:

- ``t``: totals by tenant, function, class, worker and hour (added up)
- ``o``: what a worker's instances occupied (added up)
- ``w``: a bucket of a tenant's budget window (added up)
- ``k``: what records charge a call of a dead worker (added up)
- ``e``: an estimated charge (newest)
- ``h``: an interval of confirmed sequence numbers of an incarnation; the key has its lowest number (newest)
- ``u``: an unconfirmed record (newest; an empty value: the record belongs to another gateway)
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from saffronstack.metering.ledger_entries import StoredAmount, to_stored_amount

KeyPart = str | int | float
FIXED_ARRAY = 0x90  # MessagePack header of an array of fewer than 16 items; the low bits are its length
KIND_POSITION = slice(2, 3)  # the letter of a key, after the headers of the array and the string
NEWEST_WINS = (b"h", b"u", b"e")
_encode = msgspec.msgpack.Encoder().encode
_decode_amounts = msgspec.msgpack.Decoder(tuple[StoredAmount, ...]).decode
_decode_key = msgspec.msgpack.Decoder(list[KeyPart]).decode


def encode_key(kind: str, *parts: KeyPart) -> bytes:
    """Return the archive key that consists of a kind and further parts."""
    return _encode((kind, *parts))


def encode_key_prefix(length: int, kind: str, *parts: KeyPart) -> bytes:
    """Return the common prefix of all keys that begin with these parts and have ``length`` parts in all."""
    return bytes([FIXED_ARRAY | length]) + b"".join(_encode(part) for part in (kind, *parts))


def decode_key(key: bytes) -> list[KeyPart]:
    """Return the parts of a key, the kind first."""
    return _decode_key(key)


def encode_amounts(amounts: Iterable[int]) -> bytes:
    """Return the archive value for amounts."""
    return _encode(tuple(to_stored_amount(amount) for amount in amounts))


def decode_amounts(value: bytes) -> list[int]:
    """Return the amounts in a value."""
    return [int(amount) for amount in _decode_amounts(value)]


def combine_values(key: bytes, values: list[bytes]) -> bytes:
    """Combine the values of a key from several runs, given oldest first."""
    if len(values) == 1 or key[KIND_POSITION] in NEWEST_WINS:
        return values[-1]
    return encode_amounts(map(sum, zip(*map(decode_amounts, values), strict=True)))
