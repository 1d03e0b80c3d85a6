"""Numbered usage records of a stub worker, which it offers to gateways until one acknowledges them."""

from __future__ import annotations

import threading
from collections import OrderedDict

from saffronstack.metering.cost_allocation import allocate
from saffronstack.metering.worker_messages import CallReference, UsageRecord, UsageRequest, UsageResponse

MAX_KEPT_ENTRIES = 100_000  # of unacknowledged records, of owners and of ended calls; the oldest are dropped
RESEND_INTERVAL_S = 1.0  # time after which an unacknowledged record is offered again


class Outbox:
    """Usage records of one incarnation; its methods may be called from any thread."""

    def __init__(self, worker: str, incarnation: str) -> None:
        self.worker = worker
        self.incarnation = incarnation
        self.dropped = 0
        self.all_records: list[UsageRecord] = []  # for tests: also those that were delivered or dropped
        self._seq = 0
        self._lock = threading.Lock()
        # By sequence number: the record, and when it was last offered.
        self._unacknowledged: OrderedDict[int, tuple[UsageRecord, float]] = OrderedDict()
        self._owner_by_seq: OrderedDict[int, str] = OrderedDict()
        self._ended_calls: OrderedDict[str, None] = OrderedDict()
        self._memory_use_by_call: dict[str, int] = {}  # KiB microseconds; until `pop_memory_use`

    def add_record(
        self,
        function: str,
        memory_kib: int,
        start_us: int,
        end_us: int,
        instance_counts: tuple[int, int, int],
        waiting: tuple[CallReference, ...],
        running: tuple[CallReference, ...],
    ) -> None:
        """Add a record of a span in which a function's instances did not change."""
        with self._lock:
            self._seq += 1
            usage = UsageRecord(
                self.worker,
                self.incarnation,
                self._seq,
                function,
                memory_kib,
                start_us,
                end_us,
                *instance_counts,
                waiting,
                running,
            )
            self.all_records.append(usage)
            for share in allocate(usage):
                if share.call.request_id:
                    self._memory_use_by_call[share.call.request_id] = (
                        self._memory_use_by_call.get(share.call.request_id, 0) + share.amount
                    )
            self._unacknowledged[self._seq] = usage, -1e9
            while len(self._unacknowledged) > MAX_KEPT_ENTRIES:
                self._unacknowledged.popitem(last=False)
                self.dropped += 1
            while len(self._owner_by_seq) > MAX_KEPT_ENTRIES:
                self._owner_by_seq.popitem(last=False)

    def end_call(self, call_id: str) -> None:
        """Note that a call has ended and that all of its memory use is recorded."""
        with self._lock:
            self._ended_calls[call_id] = None
            if len(self._ended_calls) > MAX_KEPT_ENTRIES:
                self._ended_calls.popitem(last=False)

    def pop_memory_use(self, call_id: str) -> int:
        """Return the memory use of a call that has ended, in KiB microseconds, and forget it."""
        with self._lock:
            return self._memory_use_by_call.pop(call_id, 0)

    def respond(self, request: UsageRequest, now_s: float) -> UsageResponse:
        """Process the acknowledgements of a gateway and offer it unacknowledged records.

        A record belongs to the first gateway that acknowledges it.
        """
        own: list[tuple[str, int]] = []
        owned_by_others: list[tuple[str, int]] = []
        with self._lock:
            for incarnation, seq in request.acknowledged:
                if incarnation != self.incarnation:
                    continue
                self._unacknowledged.pop(seq, None)
                owner = self._owner_by_seq.setdefault(seq, request.gateway)
                (own if owner == request.gateway else owned_by_others).append((incarnation, seq))
            ended_calls = tuple(id_ for id_ in request.unresolved_request_ids if id_ in self._ended_calls)
            records: list[UsageRecord] = []
            for seq, (usage, sent_s) in self._unacknowledged.items():
                if len(records) >= request.max_records:
                    break
                if now_s - sent_s >= RESEND_INTERVAL_S:
                    records.append(usage)
                    self._unacknowledged[seq] = usage, now_s
            unsent = len(self._unacknowledged) - len(records)
        return UsageResponse(
            self.worker,
            self.incarnation,
            int(now_s * 1e6),
            tuple(own),
            tuple(owned_by_others),
            ended_calls,
            self.dropped,
            tuple(records),
            unsent,
        )
