"""How connections to workers take part in metering."""

from __future__ import annotations

from typing import Protocol

from saffronstack.engine.dispatch import AttemptResult
from saffronstack.engine.worker_registry import WorkerSpec


class UsageObserver(Protocol):
    """Is notified of what workers report of usage; called on their threads, and must return at once."""

    def gateway_name_for(self, worker_id: int) -> str:
        """Return the name by which a worker may send records with its response; empty where it need not."""
        ...

    def on_usage_records(self, worker: WorkerSpec, text: str) -> None:
        """Take the usage header of a response."""
        ...

    def on_attempt_result(self, result: AttemptResult) -> None:
        """Take the result of an attempt."""
        ...
