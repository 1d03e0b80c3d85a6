"""What a stand-in worker says of its copies' memory: numbered records, kept until acknowledged."""

from __future__ import annotations

import threading
from collections import OrderedDict

from saffronstack.metering.cost_allocation import allocate
from saffronstack.metering.worker_messages import CallReference, UsageRecord, UsageRequest, UsageResponse

MAX_KEPT_ENTRIES = 100_000  # records, and calls and acknowledgements remembered
RESEND_INTERVAL_S = 1.0  # a record is offered anew when no acknowledgement came for so long


class Outbox:
    """Records of one incarnation; used from every connection's thread."""

    def __init__(self, worker: str, incarnation: str) -> None:
        self.worker = worker
        self.incarnation = incarnation
        self.dropped = 0
        self.all_records: list[UsageRecord] = []  # for tests: the truth, whatever was delivered
        self._seq = 0
        self._lock = threading.Lock()
        self._unacknowledged: OrderedDict[int, tuple[UsageRecord, float]] = (
            OrderedDict()
        )  # record, and when it was offered
        self._owner_by_seq: OrderedDict[int, str] = OrderedDict()
        self._ended_calls: OrderedDict[str, None] = OrderedDict()
        self._memory_use_by_call: dict[str, int] = {}  # KiB microseconds of calls that are here

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
        """A span has ended."""
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
        """Remember that a call has ended; its memory use is recorded completely."""
        with self._lock:
            self._ended_calls[call_id] = None
            if len(self._ended_calls) > MAX_KEPT_ENTRIES:
                self._ended_calls.popitem(last=False)

    def pop_memory_use(self, call_id: str) -> int:
        """Return the memory use of a call that has ended, in KiB microseconds, and forget it."""
        with self._lock:
            return self._memory_use_by_call.pop(call_id, 0)

    def respond(self, request: UsageRequest, now_s: float) -> UsageResponse:
        """Take acknowledgements: a record is the first gateway's that acknowledges it. Offer what is open."""
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
