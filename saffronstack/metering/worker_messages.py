"""Messages between gateways and workers about usage.

Memory is in KiB; times are microseconds of the worker's monotonic clock. ``CallReference`` and
``UsageRecord`` are MessagePack arrays, so the order of their fields is part of the format. ``UsageRequest``
and ``UsageResponse`` are maps; where a key differs from the field, ``name`` gives it.
"""

from __future__ import annotations

import msgspec

MAX_RECORDS_PER_RESPONSE = 4000


class CallReference(msgspec.Struct, array_like=True, frozen=True):
    """Identifies a call in usage records."""

    request_id: str
    tenant: str
    request_class: str


class UsageRecord(msgspec.Struct, array_like=True, frozen=True):
    """What the instances of one function occupied at one worker in a span.

    A span ends when the instances or the calls on them change.

    Attributes:
        sequence_number: Counts from 1 in each incarnation, without gaps.
        waiting_calls: The calls that wait for the loading instances.
        running_calls: The calls on the running instances.
    """

    worker: str
    incarnation: str
    sequence_number: int
    function: str
    memory_kib: int
    start_us: int
    end_us: int
    loading_instances: int
    running_instances: int
    idle_instances: int
    waiting_calls: tuple[CallReference, ...]
    running_calls: tuple[CallReference, ...]


class UsageRequest(msgspec.Struct, frozen=True):
    """A gateway's poll: acknowledges usage records and asks for more.

    Attributes:
        acknowledged: Incarnation and sequence number of records that are durable in the gateway's log.
        unresolved_request_ids: Calls whose end the gateway does not know.
    """

    gateway: str
    acknowledged: tuple[tuple[str, int], ...] = msgspec.field(name="ack", default=())
    unresolved_request_ids: tuple[str, ...] = msgspec.field(name="missing", default=())
    max_records: int = msgspec.field(name="limit", default=MAX_RECORDS_PER_RESPONSE)


class UsageResponse(msgspec.Struct, frozen=True):
    """A worker's response to a ``UsageRequest``. Incarnation and sequence number identify records.

    Attributes:
        confirmed: Acknowledged records that belong to this gateway, as it acknowledged them first.
        relinquished: Acknowledged records that another gateway acknowledged earlier.
        ended_request_ids: Unresolved calls that have ended, so that all their records exist.
        dropped_records: Records that the worker has dropped since its start because of its own limit.
        remaining_records: Further records that no gateway has acknowledged; -1 if not reported.
    """

    worker: str
    incarnation: str
    now_us: int
    confirmed: tuple[tuple[str, int], ...] = msgspec.field(name="mine", default=())
    relinquished: tuple[tuple[str, int], ...] = msgspec.field(name="gone", default=())
    ended_request_ids: tuple[str, ...] = msgspec.field(name="known", default=())
    dropped_records: int = msgspec.field(name="dropped", default=0)
    records: tuple[UsageRecord, ...] = ()
    remaining_records: int = msgspec.field(name="left", default=-1)
