"""Leads one rollout from its record and the daemons' reports. No I/O.

Everything is derived from the record (plan, stage, phase) and the last report of each daemon: the next leader
goes on where the last one was, and a step that was done is not done again. Three rules carry the rest: a
decision is in the lease's store before any command follows from it; a command goes only to a daemon that has
accepted this leader's fencing token, so that no older command can take effect after it; a gateway that can't
be observed counts as unavailable.
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

STALL_TIMEOUT_S = 60.0  # without any progress of a step, the rollout is inconclusive


class RolloutController:
    """One leader's view of one rollout."""

    def __init__(
        self,
        record: RolloutRecord,
        fleet: RolloutFleet,
        now_s: float,
        stall_timeout_s: float = STALL_TIMEOUT_S,
    ) -> None:
        """Go on from a record that was read from the lease's store under this leader's token."""
        self.record = record
        self.view = FleetView(fleet)
        self.scheduler = CommandScheduler(fleet, record, self.view)
        self.bake = BakeTimer()
        self._stall_timeout_s = stall_timeout_s
        self._storing: RolloutRecord | None = None
        self._progressed_s = now_s

    def handle(self, now_s: float, event: Event) -> Sequence[Action]:
        """Return what to do about an event."""
        match event:
            case DaemonReported():
                if self.view.update(event):
                    self._progressed_s = now_s
                return self._advance(now_s)
            case DaemonUnreachable(daemon):
                self.view.forget_daemon(daemon)
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
        """Return the release that each gateway is to run by the record, in the order of change."""
        return self.scheduler.targets(self.record)

    def describe_pending(self) -> str:
        """Say what keeps the present step from its end; empty for nothing."""
        return self.view.describe_unsettled(self.targets())

    def _on_stored(self, now_s: float, event: RecordStored) -> Sequence[Action]:
        if event.record is not self._storing:
            return []
        self._storing = None
        if not event.is_confirmed:
            return [self._store(event.record)]  # it may be stored or not: it must be, before anything else
        if (event.record.phase, event.record.stage) != (self.record.phase, self.record.stage):
            self.bake.reset()
        self.record = event.record
        self._progressed_s = now_s
        return self._advance(now_s)

    def _on_requested(self, request: OperatorRequested) -> Sequence[Action]:
        record = self.record
        is_known = request.number <= record.last_request
        if is_known or self._storing is not None or record.is_finished:
            return []  # a request that comes too early is read again with the next poll
        return [self._store(record_updates.apply_request(record, request.action, request.number))]

    def _on_analyzed(self, event: AnalysisCompleted) -> Sequence[Action]:
        self.bake.finish_analysis()
        record = self.record
        is_current = event.stage == record.stage and record.phase is RolloutPhase.PROGRESSING
        if not is_current or self._storing is not None:
            return []
        changed = record_updates.apply_analysis(record, event.result)
        return [] if changed is record else [self._store(changed)]

    def _advance(self, now_s: float) -> Sequence[Action]:
        """Compare what is observed with the record, and take the next step."""
        record = self.record
        if self._storing is not None or record.is_finished:
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
        if not is_settled and now_s - self._progressed_s > self._stall_timeout_s:
            return [self._store(self._stalled())]
        if record.phase is RolloutPhase.ROLLING_BACK:
            return [self._store(record_updates.finish_rollback(record))] if is_settled else []
        action = self.bake.next_action(now_s, record, is_settled)
        return [] if action is None else [action]

    def _stalled(self) -> RolloutRecord:
        reason = f"no step for {self._stall_timeout_s:g} s: {self.describe_pending()}"
        if self.record.phase is RolloutPhase.PROGRESSING:
            return record_updates.stop_inconclusive(self.record, reason)
        return record_updates.note_stalled_rollback(self.record, reason)

    def _store(self, record: RolloutRecord) -> StoreRecord:
        self._storing = record
        return StoreRecord(record)
