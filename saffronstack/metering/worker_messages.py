"""Messages between gateways and workers about usage.

Memory is in KiB, spans are in microseconds of the worker's own monotonic clock. ``CallReference`` and
``UsageRecord`` are MessagePack arrays, the order of their fields is the format; ``UsageRequest`` and
``UsageResponse`` are maps, whose keys are given beside the fields.
"""

from __future__ import annotations

import msgspec

MAX_RECORDS_PER_RESPONSE = 4000


class CallReference(msgspec.Struct, array_like=True, frozen=True):
    """A call, as a worker knows it."""

    request_id: str
    tenant: str
    request_class: str


class UsageRecord(msgspec.Struct, array_like=True, frozen=True):
    """What the instances of one function occupied at one worker between two changes.

    Attributes:
        sequence_number: Counts from 1 in each incarnation, without gaps.
        waiting_calls: The calls that wait for the instances that load.
        running_calls: The calls that run on the running instances.
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
    """A gateway acknowledges usage records and asks for more.

    Attributes:
        acknowledged: Records that are durable in the gateway's log, as incarnation and sequence number.
        unresolved_request_ids: Calls whose records the gateway misses.
    """

    gateway: str
    acknowledged: tuple[tuple[str, int], ...] = msgspec.field(name="ack", default=())
    unresolved_request_ids: tuple[str, ...] = msgspec.field(name="missing", default=())
    max_records: int = msgspec.field(name="limit", default=MAX_RECORDS_PER_RESPONSE)


class UsageResponse(msgspec.Struct, frozen=True):
    """A worker's response to a `UsageRequest`. Records are named by incarnation and sequence number.

    Attributes:
        confirmed: Acknowledged records that belong to this gateway, which acknowledged them first.
        relinquished: Acknowledged records that another gateway acknowledged before.
        ended_request_ids: Those of the unresolved calls that have ended: all their records are made.
        dropped_records: Records that the worker's own bound cost since its start.
        remaining_records: Records beyond these that no gateway has acknowledged; -1 where it is not
            reported.
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
