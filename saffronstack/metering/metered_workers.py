"""The clocks and the workers of the metering thread."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.engine.identifiers import worker_number
from saffronstack.engine.worker_registry import WorkerSpec


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
    """The polled workers, and the last incarnation that each reported. Owned by the metering thread."""

    def __init__(self) -> None:
        self.specs: dict[str, WorkerSpec] = {}
        self.incarnations: dict[str, str] = {}

    def find_name(self, worker_id: int) -> str:
        """Return the name of a worker, or an empty string if it is not polled."""
        return next((name for name in self.specs if worker_number(name) == worker_id), "")
