"""The interface between connections to workers and metering."""

from __future__ import annotations

from typing import Protocol

from saffronstack.engine.dispatch import AttemptResult
from saffronstack.engine.worker_registry import WorkerSpec


class UsageObserver(Protocol):
    """Receives the usage that workers report; called on the pools' threads, so it must not block."""

    def gateway_name_for(self, worker_id: int) -> str:
        """Return the gateway name that invites a worker to attach usage records; empty for no invitation."""
        ...

    def on_usage_records(self, worker: WorkerSpec, text: str) -> None:
        """Process the usage header of a response."""
        ...

    def on_attempt_result(self, result: AttemptResult) -> None:
        """Process the result of an attempt."""
        ...
