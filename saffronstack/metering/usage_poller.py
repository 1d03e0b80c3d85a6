"""Polls workers for usage: acknowledges durable records and asks about calls whose records are missing."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

import msgspec

from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.metering.metered_workers import MeteredWorkers
from saffronstack.metering.record_collector import RecordCollector
from saffronstack.metering.usage_log import UsageLog
from saffronstack.metering.worker_messages import UsageRequest

MAX_ACKNOWLEDGEMENTS = 2000  # records in one poll
MAX_UNRESOLVED = 500  # calls in one poll
POLL_TIMEOUT_INTERVALS = 3  # poll intervals until a poll times out, plus the margin
POLL_TIMEOUT_MARGIN_S = 2.0


class WorkerPoller(Protocol):
    """Sends a poll to a worker."""

    def __call__(self, worker: int, body: bytes, done: Callable[[bytes | None], None]) -> None:
        """Send a poll without waiting for the response.

        Args:
            worker: Number of the worker.
            body: The poll.
            done: Is called with the body of the response, or None if there was none.
        """
        ...


class UsagePoller:
    """Sends polls to workers, one at a time for each. Owned by the metering thread."""

    def __init__(
        self,
        journal: UsageLog,
        workers: MeteredWorkers,
        collector: RecordCollector,
        send_poll: WorkerPoller,
        interval_s: float,
    ) -> None:
        self._journal = journal
        self._workers = workers
        self._collector = collector
        self._send_poll = send_poll
        self._timeout_s = POLL_TIMEOUT_INTERVALS * interval_s + POLL_TIMEOUT_MARGIN_S
        self._polled_s: dict[str, float] = {}  # when the poll in flight was sent, by worker

    def poll_all(self, now_s: float, on_response: Callable[[WorkerSpec, bytes | None, float], None]) -> None:
        """Poll each worker that has no poll in flight.

        Args:
            now_s: The current time by the monotonic clock.
            on_response: Is called on any thread with the worker, the response body and the time of the poll.
        """
        acknowledged = self._records_to_acknowledge()
        unresolved = self._unresolved_calls()
        self._collector.forget_committed()
        for name, spec in self._workers.specs.items():
            if now_s - self._polled_s.get(name, -1e9) < self._timeout_s:
                continue
            self._polled_s[name] = now_s
            numbers = [*self._collector.pop_rejected(name), *acknowledged[name]]
            request = UsageRequest(
                self._journal.state.gateway,
                tuple(numbers[:MAX_ACKNOWLEDGEMENTS]),
                tuple(unresolved[name][:MAX_UNRESOLVED]),
            )

            def done(body: bytes | None, spec: WorkerSpec = spec) -> None:
                on_response(spec, body, now_s)

            self._send_poll(spec.number, msgspec.msgpack.encode(request), done)

    def end_poll(self, worker: str) -> None:
        """Record that a worker's poll was answered or failed."""
        self._polled_s.pop(worker, None)

    def _records_to_acknowledge(self) -> dict[str, list[tuple[str, int]]]:
        """Return the unconfirmed records by worker. Only a current incarnation can confirm its records."""
        found: dict[str, list[tuple[str, int]]] = defaultdict(list)
        for worker, incarnation, sequence_number in list(self._journal.state.unconfirmed):
            if self._workers.incarnations.get(worker) == incarnation:
                found[worker].append((incarnation, sequence_number))
        return found

    def _unresolved_calls(self) -> dict[str, list[str]]:
        """Return request ids of provisional charges by worker, if their incarnation is current or unknown."""
        found: dict[str, list[str]] = defaultdict(list)
        for charge in list(self._journal.state.provisional.values()):
            if charge.incarnation in ("", self._workers.incarnations.get(charge.worker)):
                found[charge.worker].append(charge.call.request_id)
        return found
