"""Attempts that may have executed a call, in the form in which they are stored.

The router and the engine use `PriorAttempt`, with monotonic times and numbers of zones and cells. These mean
nothing to another process, so stored data contains Unix times and names.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from saffronstack.engine.localities import LocalityNumbers
from saffronstack.routing.events import PriorAttempt

UNKNOWN_WORKER_ID = 0
LONG_AGO = 0.0  # Unix time of an attempt whose time is unknown: no deduplication window still covers it


class PossibleExecution(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An attempt that may have executed a call. The order of the fields is part of the stored formats.

    Attributes:
        worker_id: Number of the worker.
        sent_at: When the attempt was sent, in Unix seconds.
        zone: Name of the worker's zone at that time; empty if it was not stored, as in earlier versions.
        cell: Name of the worker's cell at that time; empty like ``zone``.
    """

    worker_id: int
    sent_at: float
    zone: str = ""
    cell: str = ""


# What is known of a call whose records were lost: it may have executed anywhere and at any time.
UNKNOWN_EXECUTION = PossibleExecution(UNKNOWN_WORKER_ID, LONG_AGO)


def keep_first_by_location(executions: Iterable[PossibleExecution]) -> tuple[PossibleExecution, ...]:
    """Return the earliest execution in each zone and cell, in the order of sending.

    These alone decide where and until when a call may be sent again. So their number does not grow with each
    retry. Executions without a stored location are kept for each worker.
    """
    first: dict[tuple[int, str, str], PossibleExecution] = {}
    for execution in sorted(executions, key=lambda execution: execution.sent_at):
        has_location = bool(execution.zone and execution.cell)
        worker_id = UNKNOWN_WORKER_ID if has_location else execution.worker_id
        first.setdefault((worker_id, execution.zone, execution.cell), execution)
    return tuple(first.values())


class ExecutionConverter:
    """Converts between attempts of the engine and stored executions. Thread-safe."""

    def __init__(
        self,
        localities: LocalityNumbers,
        to_unix: Callable[[float], float],
        to_monotonic: Callable[[float], float],
    ) -> None:
        """Convert with these numbers of zones and cells, and these conversions of seconds."""
        self._localities = localities
        self._to_unix = to_unix
        self._to_monotonic = to_monotonic

    def to_stored(self, attempts: Iterable[PriorAttempt]) -> tuple[PossibleExecution, ...]:
        """Convert attempts to the stored form."""
        return tuple(map(self._to_stored, attempts))

    def to_prior(self, executions: Iterable[PossibleExecution]) -> tuple[PriorAttempt, ...]:
        """Convert stored executions to attempts."""
        return tuple(map(self._to_prior, executions))

    def _to_stored(self, attempt: PriorAttempt) -> PossibleExecution:
        zones, cells = self._localities.zones, self._localities.cells
        return PossibleExecution(
            attempt.worker_id,
            self._to_unix(attempt.sent_s),
            "" if attempt.zone is None else zones.name_of(attempt.zone),
            "" if attempt.cell is None else cells.name_of(attempt.cell),
        )

    def _to_prior(self, execution: PossibleExecution) -> PriorAttempt:
        zones, cells = self._localities.zones, self._localities.cells
        return PriorAttempt(
            execution.worker_id,
            self._to_monotonic(execution.sent_at),
            zones.number_of(execution.zone) if execution.zone else None,
            cells.number_of(execution.cell) if execution.cell else None,
        )
