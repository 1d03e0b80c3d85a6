"""What a stand-in worker says of its copies' memory: numbered records, kept until acknowledged."""

from __future__ import annotations

import threading
from collections import OrderedDict

from saffronstack.metering.cost_allocation import allocate
from saffronstack.metering.worker_messages import CallReference, UsageRecord, UsageRequest, UsageResponse

KEPT = 100_000  # records, and calls and acknowledgements remembered
AGAIN_S = 1.0  # a record is offered anew when no acknowledgement came for so long


class Outbox:
    """Records of one incarnation; used from every connection's thread."""

    def __init__(self, worker: str, incarnation: str) -> None:
        self.worker = worker
        self.incarnation = incarnation
        self.dropped = 0
        self.all: list[UsageRecord] = []  # for tests: the truth, whatever was delivered
        self._seq = 0
        self._lock = threading.Lock()
        self._open: OrderedDict[int, tuple[UsageRecord, float]] = (
            OrderedDict()
        )  # record, and when it was offered
        self._owners: OrderedDict[int, str] = OrderedDict()
        self._calls: OrderedDict[str, None] = OrderedDict()
        self._held: dict[str, int] = {}  # KiB microseconds of calls that are here

    def add(
        self,
        function: str,
        memory_kib: int,
        start_us: int,
        end_us: int,
        copies: tuple[int, int, int],
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
                *copies,
                waiting,
                running,
            )
            self.all.append(usage)
            for share in allocate(usage):
                if share.call.request_id:
                    self._held[share.call.request_id] = (
                        self._held.get(share.call.request_id, 0) + share.amount
                    )
            self._open[self._seq] = usage, -1e9
            while len(self._open) > KEPT:
                self._open.popitem(last=False)
                self.dropped += 1
            while len(self._owners) > KEPT:
                self._owners.popitem(last=False)

    def ended(self, call_id: str) -> None:
        """A call has left: all its spans are closed."""
        with self._lock:
            self._calls[call_id] = None
            if len(self._calls) > KEPT:
                self._calls.popitem(last=False)

    def held(self, call_id: str) -> int:
        """What a call that ended held in all, in KiB microseconds; asked once."""
        with self._lock:
            return self._held.pop(call_id, 0)

    def answer(self, asked: UsageRequest, now_s: float) -> UsageResponse:
        """Take acknowledgements: a record is the first gateway's that acknowledges it. Offer what is open."""
        mine: list[tuple[str, int]] = []
        gone: list[tuple[str, int]] = []
        with self._lock:
            for incarnation, seq in asked.acknowledged:
                if incarnation != self.incarnation:
                    continue
                self._open.pop(seq, None)
                owner = self._owners.setdefault(seq, asked.gateway)
                (mine if owner == asked.gateway else gone).append((incarnation, seq))
            known = tuple(id_ for id_ in asked.unresolved_request_ids if id_ in self._calls)
            records: list[UsageRecord] = []
            for seq, (usage, offered_s) in self._open.items():
                if len(records) >= asked.max_records:
                    break
                if now_s - offered_s >= AGAIN_S:
                    records.append(usage)
                    self._open[seq] = usage, now_s
            left = len(self._open) - len(records)
        return UsageResponse(
            self.worker,
            self.incarnation,
            int(now_s * 1e6),
            tuple(mine),
            tuple(gone),
            known,
            self.dropped,
            tuple(records),
            left,
        )
