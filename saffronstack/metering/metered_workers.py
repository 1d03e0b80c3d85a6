"""The clocks and the workers of the metering thread."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.engine.identifiers import worker_number
from saffronstack.engine.worker_registry import WorkerSpec

MAX_REMOVED_WORKERS = 10_000


@dataclass(frozen=True, slots=True)
class MeterClock:
    """Clocks of the gateway.

    Attributes:
        monotonic: Returns seconds of the gateway's monotonic clock.
        wall: Returns Unix seconds of the system clock, which may step.
        steady_offset_s: Offset from the monotonic clock to Unix seconds without clock steps.
    """

    monotonic: Callable[[], float]
    wall: Callable[[], float]
    steady_offset_s: float = 0.0

    def steady_unix_s(self, monotonic_s: float) -> float:
        """Convert monotonic seconds to Unix seconds without clock steps."""
        return monotonic_s + self.steady_offset_s


class MeteredWorkers:
    """The polled workers, and the last incarnation that each reported. Owned by the metering thread.

    Attributes:
        specs: The polled workers by name.
        incarnations: The last reported incarnation by name.
        removed: Names of removed workers by number, the one removed longest ago first. Attempts that they had
            not answered end after the removal.
    """

    def __init__(self) -> None:
        self.specs: dict[str, WorkerSpec] = {}
        self.incarnations: dict[str, str] = {}
        self.removed: dict[int, str] = {}

    def replace(self, specs: list[WorkerSpec]) -> list[str]:
        """Replace the polled workers; return the names of those that were removed."""
        by_name = {spec.name: spec for spec in specs}
        removed = sorted(set(self.specs) - set(by_name))
        for name in removed:
            self.removed[worker_number(name)] = name
        for name in by_name:
            self.removed.pop(worker_number(name), None)
        while len(self.removed) > MAX_REMOVED_WORKERS:
            del self.removed[next(iter(self.removed))]
        self.specs = by_name
        return removed

    def find_name(self, worker_id: int) -> str:
        """Return the name of a worker, polled or removed, or an empty string if it is not known."""
        name = next((name for name in self.specs if worker_number(name) == worker_id), "")
        return name or self.removed.get(worker_id, "")
