"""The list of workers in force. It merges all sources, drains flapping workers and ramps capacities."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import structlog

from saffronstack.config.schema import Worker
from saffronstack.discovery.files.capacity_ramp import CapacityRamp
from saffronstack.discovery.files.flap_detection import FlapDetector, FlapSettings
from saffronstack.discovery.files.merging import WorkerChanges, WorkerSource, compare_lists, merge_sources

MAX_LOGGED_CONFLICTS = 20
log = structlog.get_logger("saffronstack.discovery")


class WorkerList:
    """The workers in force, updated on one thread. All times are seconds of the same clock.

    Attributes:
        workers: The list in force, by name.
        conflicts: Conflicts between the sources.
    """

    def __init__(self, flap_settings: FlapSettings) -> None:
        """Start without workers. ``flap_settings`` has the thresholds of flap detection."""
        self.workers: dict[str, Worker] = {}
        self.conflicts: tuple[str, ...] = ()
        self._listed_workers: dict[
            str, Worker
        ] = {}  # as in the sources, without flap detection and capacity ramp
        self._flap_detector = FlapDetector(flap_settings)
        self._capacity_ramp = CapacityRamp()

    @property
    def is_ramping(self) -> bool:
        """Whether a capacity has not reached its listed value, so that `update` has to be called soon."""
        return self._capacity_ramp.is_ramping

    def update(self, sources: Sequence[WorkerSource], now: float) -> WorkerChanges:
        """Rebuild the list from the sources and return the changes."""
        merged = merge_sources(sources)
        self._record_state_changes(merged.workers, now)
        self._listed_workers = merged.workers
        flapping = self._flap_detector.find_flapping(now)
        if flapping:
            merged = merge_sources(sources, flapping)
        if merged.conflicts and merged.conflicts != self.conflicts:
            log.warning("worker sources conflict", conflicts=list(merged.conflicts[:MAX_LOGGED_CONFLICTS]))
        self.conflicts = merged.conflicts
        workers = self._capacity_ramp.advance(merged.workers, now)
        changes = compare_lists(self.workers, workers)
        self.workers = workers
        return changes

    def _record_state_changes(self, listed: Mapping[str, Worker], now: float) -> None:
        if not self._listed_workers:
            return  # the first list changes no state
        for name in self._listed_workers.keys() & listed.keys():
            if self._listed_workers[name].state != listed[name].state:
                self._flap_detector.record_change(name, now)
        for name in self._listed_workers.keys() ^ listed.keys():
            self._flap_detector.record_change(name, now)
