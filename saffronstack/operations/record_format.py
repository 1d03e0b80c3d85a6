"""The encoding of operation records in memory, in the operation log and in hand-over files.

The order of the fields and of the common header words is part of the stored format. Earlier versions stored
the worker and the time of the first attempt that may have been executed, and nothing of further ones. Records
that hold no more than this are still written in that form.
"""

from __future__ import annotations

import uuid

import msgspec

from saffronstack.engine.possible_execution import PossibleExecution
from saffronstack.operations.operation import OperationRecord, OperationState, StoredResponse
from saffronstack.routing.settings import Idempotency

# Most header names and values are among these words. They are stored as their indexes to save memory, as a
# million responses may be stored.
_COMMON_HEADER_WORDS = (
    "Content-Type",
    "x-amzn-RequestId",
    "X-Amz-Executed-Version",
    "X-Amz-Function-Error",
    "X-Amz-Log-Result",
    "application/json",
    "$LATEST",
    "Unhandled",
    "Handled",
)
_INDEX_BY_HEADER_WORD = {word: index for index, word in enumerate(_COMMON_HEADER_WORDS)}
_REQUEST_ID_INDEX = len(_COMMON_HEADER_WORDS)  # the index that stands for the operation's request id
_UUID_PREFIX = b"u"
_TEXT_PREFIX = b"t"
_EncodedHeaderWord = int | str


class _StoredRecord(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    state: OperationState
    expires_s: float
    fingerprint: bytes
    request_id: bytes  # a prefix, then the bytes of a UUID or of a text
    idempotency: Idempotency
    status: int = 0  # 0 if there is no response
    header_words: tuple[_EncodedHeaderWord, ...] = ()
    body: bytes = b""
    file_name: str = ""
    body_digest: str = ""
    body_length: int = 0
    worker_id: int = 0
    sent_s: float = 0.0
    attempt_in_flight_until_s: float = 0.0


class _StoredRecordWithExecutions(_StoredRecord, frozen=True, array_like=True, omit_defaults=True):
    executions: tuple[PossibleExecution, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_StoredRecordWithExecutions)
_NO_RESPONSE = StoredResponse(0, ())
_NO_EXECUTION = PossibleExecution(0, 0.0)


def encode_record(record: OperationRecord) -> bytes:
    """Encode a record in the stored format."""
    response = record.response or _NO_RESPONSE
    first = record.executions[0] if record.executions else _NO_EXECUTION
    fields = (
        record.state,
        record.expires_s,
        record.fingerprint,
        _encode_request_id(record.request_id),
        record.idempotency,
        response.status,
        _encode_headers(response.headers, record.request_id),
        response.body,
        response.file_name,
        response.body_digest,
        response.body_length,
        first.worker_id,
        first.sent_at,
        record.attempt_in_flight_until_s,
    )
    if _is_single_without_location(record.executions):
        return _encoder.encode(_StoredRecord(*fields))
    return _encoder.encode(_StoredRecordWithExecutions(*fields, record.executions))


def _is_single_without_location(executions: tuple[PossibleExecution, ...]) -> bool:
    """Return whether worker and time of the first execution tell everything."""
    return not executions or (len(executions) == 1 and not (executions[0].zone or executions[0].cell))


def decode_record(data: bytes) -> OperationRecord:
    """Decode a record from the stored format.

    Raises:
        ValueError: The bytes are not a record in the format of this version.
    """
    stored = _decoder.decode(data)
    request_id = _decode_request_id(stored.request_id)
    response = None
    if stored.status:
        response = StoredResponse(
            stored.status,
            _decode_headers(stored.header_words, request_id),
            stored.body,
            stored.file_name,
            stored.body_digest,
            stored.body_length,
        )
    return OperationRecord(
        stored.state,
        stored.expires_s,
        stored.fingerprint,
        request_id,
        stored.idempotency,
        response,
        _decode_executions(stored),
        stored.attempt_in_flight_until_s,
    )


def _decode_executions(stored: _StoredRecordWithExecutions) -> tuple[PossibleExecution, ...]:
    if stored.executions or not (stored.worker_id or stored.sent_s):
        return stored.executions
    return (PossibleExecution(stored.worker_id, stored.sent_s),)


def _encode_headers(headers: tuple[tuple[str, str], ...], request_id: str) -> tuple[_EncodedHeaderWord, ...]:
    return tuple(
        _REQUEST_ID_INDEX if word == request_id else _INDEX_BY_HEADER_WORD.get(word, word)
        for header in headers
        for word in header
    )


def _decode_headers(words: tuple[_EncodedHeaderWord, ...], request_id: str) -> tuple[tuple[str, str], ...]:
    texts = [
        request_id
        if word == _REQUEST_ID_INDEX
        else _COMMON_HEADER_WORDS[word]
        if isinstance(word, int)
        else word
        for word in words
    ]
    return tuple(zip(texts[0::2], texts[1::2], strict=True))


def _encode_request_id(request_id: str) -> bytes:
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:  # a request id may be any text
        return _TEXT_PREFIX + request_id.encode()
    if str(parsed) != request_id:
        return _TEXT_PREFIX + request_id.encode()
    return _UUID_PREFIX + parsed.bytes


def _decode_request_id(stored: bytes) -> str:
    if stored[:1] == _UUID_PREFIX:
        return str(uuid.UUID(bytes=stored[1:]))
    return stored[1:].decode()
