"""Keys and values of the archive's sorted runs.

Keys are MessagePack arrays that begin with a letter. Values of several runs for one key are combined:

- ``t``: totals by tenant, function, class, worker and hour (added up)
- ``o``: what a worker's instances occupied (added up)
- ``w``: a part of a tenant's budget window (added up)
- ``k``: what records charge a call of a dead worker (added up)
- ``e``: an estimated charge (the newest wins)
- ``h``: an interval of confirmed sequence numbers of an incarnation, by its lowest (the newest wins)
- ``u``: an unconfirmed record (the newest wins; empty: it was given to another gateway after all)
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from saffronstack.metering.ledger_entries import StoredAmount, to_stored_amount

KeyPart = str | int | float
FIXED_ARRAY = 0x90  # MessagePack: an array of fewer than 16 items, its length in the low bits
KIND_POSITION = slice(2, 3)  # of a key's letter, after the array's and the string's header
NEWEST_WINS = (b"h", b"u", b"e")
_encode = msgspec.msgpack.Encoder().encode
_decode_amounts = msgspec.msgpack.Decoder(tuple[StoredAmount, ...]).decode
_decode_key = msgspec.msgpack.Decoder(list[KeyPart]).decode


def encode_key(kind: str, *parts: KeyPart) -> bytes:
    """Return the key of a kind with these parts."""
    return _encode((kind, *parts))


def encode_key_prefix(length: int, kind: str, *parts: KeyPart) -> bytes:
    """Return the first bytes of all keys of ``length`` parts, letter included, that begin with these."""
    return bytes([FIXED_ARRAY | length]) + b"".join(_encode(part) for part in (kind, *parts))


def decode_key(key: bytes) -> list[KeyPart]:
    """Return the parts of a key, the letter first."""
    return _decode_key(key)


def encode_amounts(amounts: Iterable[int]) -> bytes:
    """Return a value that holds amounts."""
    return _encode(tuple(to_stored_amount(amount) for amount in amounts))


def decode_amounts(value: bytes) -> list[int]:
    """Return the amounts in a value."""
    return [int(amount) for amount in _decode_amounts(value)]


def combine_values(key: bytes, values: list[bytes]) -> bytes:
    """Return one value in place of those of several runs, which are given oldest first."""
    if len(values) == 1 or key[KIND_POSITION] in NEWEST_WINS:
        return values[-1]
    return encode_amounts(map(sum, zip(*map(decode_amounts, values), strict=True)))
