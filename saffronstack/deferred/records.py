"""The ledger's records. Times are Unix seconds.

Records are stored as MessagePack arrays: the tag, then the fields in their order. This module reads ledgers
of earlier versions, so the tags and the order of the fields are fixed. Field names are not stored.
"""

from __future__ import annotations

import msgspec

from saffronstack.engine.possible_execution import PossibleExecution


class Record(msgspec.Struct, array_like=True, frozen=True, tag_field="kind"):
    """Base class of all records."""


class CallAccepted(Record, frozen=True, tag="a"):
    """A call was accepted, and is owed exactly one final record."""

    request_id: str
    function: str
    tenant: str
    payload: bytes
    client_context: str
    idempotency_key: str
    accepted_at: float
    operation_digest: bytes = b""  # digest of the operation that the client named, if any
    packed_operation: bytes = b""  # its encoded record, with the response to repeated requests
    operation_expires_at: float = 0.0


class CallOperation(Record, frozen=True, tag="n"):
    """The operation of a call, in a snapshot. It may be kept for longer than the call's final record."""

    operation_digest: bytes
    packed_operation: bytes
    expires_at: float
    request_id: str


class AttemptStarted(Record, frozen=True, tag="t"):
    """An attempt of a call that is not idempotent is about to be sent.

    The record is durable before the first byte of the attempt is sent. In a ledger of an earlier version it
    ends after ``sent_at``; it is written again in that form.

    Attributes:
        request_id: Request id of the call.
        worker_id: Number of the worker.
        sent_at: When the attempt was decided on; no byte of it is sent earlier.
        zone: Name of the worker's zone at that time; empty if unknown.
        cell: Name of the worker's cell at that time; empty if unknown.
    """

    request_id: str
    worker_id: int
    sent_at: float
    zone: str = ""
    cell: str = ""

    @classmethod
    def from_execution(cls, request_id: str, execution: PossibleExecution) -> AttemptStarted:
        """Return the record of an attempt that may have executed a call."""
        return cls(request_id, execution.worker_id, execution.sent_at, execution.zone, execution.cell)

    @property
    def execution(self) -> PossibleExecution:
        """The attempt without the call's request id."""
        return PossibleExecution(self.worker_id, self.sent_at, self.zone, self.cell)


class _AttemptWithoutLocation(Record, frozen=True, tag="t"):
    """The form of `AttemptStarted` without zone and cell."""

    request_id: str
    worker_id: int
    sent_at: float


class AttemptsVoided(Record, frozen=True, tag="v"):
    """None of the attempts of a call that are stored so far was executed.

    Attempts that may have been executed all the same are stored again after it, in the same commit.
    """

    request_id: str


class CallFinished(Record, frozen=True, tag="f"):
    """The final record of a call, as clients read it and its destination receives it."""

    request_id: str
    function: str
    tenant: str
    finished_at: float
    invocation_record: bytes


class CallWithdrawn(Record, frozen=True, tag="d"):
    """A call whose client was notified that it was not accepted."""

    request_id: str


class SnapshotStart(Record, frozen=True, tag="s"):
    """The records that follow replace all earlier segments."""

    open_calls: int
    finished_calls: int


LedgerRecord = (
    CallAccepted
    | CallOperation
    | AttemptStarted
    | AttemptsVoided
    | CallFinished
    | CallWithdrawn
    | SnapshotStart
)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(LedgerRecord).decode


def encode(record: LedgerRecord) -> bytes:
    """Return a record as MessagePack."""
    if isinstance(record, AttemptStarted) and not (record.zone or record.cell):
        return _encode(_AttemptWithoutLocation(record.request_id, record.worker_id, record.sent_at))
    return _encode(record)


def decode(data: bytes) -> LedgerRecord:
    """Return the record that these bytes encode.

    Raises:
        ValueError: The bytes do not encode a record.
    """
    return _decode(data)
