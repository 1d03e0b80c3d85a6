"""Decides the steps of one rollout from its record and the daemons' reports. No I/O.

All state is derived from the record (plan, stage, phase) and the last report of each daemon, so a new leader
continues where the previous one stopped and repeats no completed step. Three rules hold:

- A decision is stored with the lease before any command follows from it.
- A command goes only to a daemon that has accepted this leader's fencing token, so that no older command can
  take effect after it.
- A gateway that can't be observed counts as unavailable.
"""

from __future__ import annotations

from collections.abc import Sequence

from saffronstack.fleet.rollout import record_updates
from saffronstack.fleet.rollout.bake import BakeTimer
from saffronstack.fleet.rollout.command_scheduler import CommandScheduler
from saffronstack.fleet.rollout.events import (
    Action,
    AnalysisCompleted,
    DaemonReported,
    DaemonUnreachable,
    Event,
    OperatorRequested,
    RecordStored,
    StoreRecord,
    Tick,
)
from saffronstack.fleet.rollout.fleet_view import FleetView
from saffronstack.fleet.rollout.plan import RolloutFleet
from saffronstack.fleet.rollout.record import RolloutPhase, RolloutRecord

STALL_TIMEOUT_S = 60.0  # time without progress of a step after which the rollout is inconclusive


class RolloutController:
    """Decides the actions of one leader for one rollout."""

    def __init__(
        self,
        record: RolloutRecord,
        fleet: RolloutFleet,
        now_s: float,
        stall_timeout_s: float = STALL_TIMEOUT_S,
    ) -> None:
        """Continue from a record that was read from the lease servers with this leader's fencing token."""
        self.record = record
        self.view = FleetView(fleet)
        self.scheduler = CommandScheduler(fleet, record, self.view)
        self.bake = BakeTimer()
        self._stall_timeout_s = stall_timeout_s
        self._record_being_stored: RolloutRecord | None = None
        self._last_progress_s = now_s

    def handle(self, now_s: float, event: Event) -> Sequence[Action]:
        """Return the actions for an event."""
        match event:
            case DaemonReported():
                if self.view.update(event):
                    self._last_progress_s = now_s
                return self._advance(now_s)
            case DaemonUnreachable(daemon):
                self.view.remove_daemon(daemon)
                return self._advance(now_s)
            case Tick():
                return self._advance(now_s)
            case RecordStored():
                return self._on_stored(now_s, event)
            case OperatorRequested():
                return self._on_requested(event)
            case AnalysisCompleted():
                return self._on_analyzed(event)

    def targets(self) -> dict[str, str]:
        """Return the desired release of each gateway by the record, in the order of change."""
        return self.scheduler.targets(self.record)

    def describe_pending(self) -> str:
        """Describe what the current step waits for; empty if it waits for nothing."""
        return self.view.describe_unsettled(self.targets())

    def _on_stored(self, now_s: float, event: RecordStored) -> Sequence[Action]:
        if event.record is not self._record_being_stored:
            return []
        self._record_being_stored = None
        if not event.is_confirmed:
            return [
                self._store(event.record)
            ]  # it may or may not be stored, and must be before any other action
        if (event.record.phase, event.record.stage) != (self.record.phase, self.record.stage):
            self.bake.reset()
        self.record = event.record
        self._last_progress_s = now_s
        return self._advance(now_s)

    def _on_requested(self, request: OperatorRequested) -> Sequence[Action]:
        record = self.record
        is_known = request.number <= record.last_request
        if is_known or self._record_being_stored is not None or record.is_finished:
            return []  # the next poll reads a request again that comes too early
        return [self._store(record_updates.apply_request(record, request.action, request.number))]

    def _on_analyzed(self, event: AnalysisCompleted) -> Sequence[Action]:
        self.bake.finish_analysis()
        record = self.record
        is_current = event.stage == record.stage and record.phase is RolloutPhase.PROGRESSING
        if not is_current or self._record_being_stored is not None:
            return []
        changed = record_updates.apply_analysis(record, event.result)
        return [] if changed is record else [self._store(changed)]

    def _advance(self, now_s: float) -> Sequence[Action]:
        """Compare the observed state with the record, and return the next actions."""
        record = self.record
        if self._record_being_stored is not None or record.is_finished:
            return []
        if record.phase is RolloutPhase.PROGRESSING:
            failures = self.view.failures_of(record.new_release.digest)
            if failures:
                reason = "could not be run: " + "; ".join(failures)
                return [self._store(record_updates.roll_back(record, reason))]
        if record.is_paused or record.phase is RolloutPhase.ON_HOLD:
            return []
        targets = self.targets()
        commands = self.scheduler.next_commands(now_s, record, targets)
        if commands:
            return commands
        is_settled = all(self.view.is_settled(name, release) for name, release in targets.items())
        if not is_settled and now_s - self._last_progress_s > self._stall_timeout_s:
            return [self._store(self._stalled())]
        if record.phase is RolloutPhase.ROLLING_BACK:
            return [self._store(record_updates.finish_rollback(record))] if is_settled else []
        action = self.bake.next_action(now_s, record, is_settled)
        return [] if action is None else [action]

    def _stalled(self) -> RolloutRecord:
        reason = f"no step for {self._stall_timeout_s:g} s: {self.describe_pending()}"
        if self.record.phase is RolloutPhase.PROGRESSING:
            return record_updates.apply_inconclusive_policy(self.record, reason)
        return record_updates.report_stalled_rollback(self.record, reason)

    def _store(self, record: RolloutRecord) -> StoreRecord:
        self._record_being_stored = record
        return StoreRecord(record)
