"""Decides when the bake time of a stage starts and when the stage is analyzed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.fleet.rollout.events import AnalyzeStage, StartBake
from saffronstack.fleet.rollout.record import RolloutRecord

ANALYSES_PER_BAKE = 10
MAX_UNSETTLED_PROGRESS = 0.99  # below 1, so that no bake ends while a gateway is not settled


@dataclass(slots=True)
class BakeTimer:
    """State of the bake of the current stage; times are seconds of one clock."""

    _settled_since_s: float | None = None
    _started_s: float | None = None
    _last_analysis_s: float = 0.0
    _is_analyzing: bool = False

    @property
    def has_started(self) -> bool:
        """Whether the bake of the stage has started."""
        return self._started_s is not None

    def reset(self) -> None:
        """Discard the bake because another stage or phase starts."""
        self._settled_since_s, self._started_s, self._is_analyzing = None, None, False

    def finish_analysis(self) -> None:
        """Record that the analysis in progress has completed."""
        self._is_analyzing = False

    def next_action(
        self, now_s: float, record: RolloutRecord, is_settled: bool
    ) -> StartBake | AnalyzeStage | None:
        """Return the action that is due, if any.

        Args:
            now_s: The current time.
            record: The record of the rollout.
            is_settled: Whether all gateways run their target release. If a gateway becomes unreachable or
                stops during the bake, the bake continues to be analyzed but does not end.
        """
        if self._started_s is None:
            return self._start_if_settled(now_s, record, is_settled)
        bake_s = record.plan.stages[record.stage].bake_s
        max_progress = 1.0 if is_settled else MAX_UNSETTLED_PROGRESS
        progress = min(max_progress, (now_s - self._started_s) / bake_s)
        is_too_early = now_s - self._last_analysis_s < bake_s / ANALYSES_PER_BAKE and progress < 1
        if self._is_analyzing or is_too_early:
            return None
        self._is_analyzing, self._last_analysis_s = True, now_s
        return AnalyzeStage(record.stage, progress, record.alpha_spent)

    def _start_if_settled(self, now_s: float, record: RolloutRecord, is_settled: bool) -> StartBake | None:
        if not is_settled:
            self._settled_since_s = None
            return None
        if self._settled_since_s is None:
            self._settled_since_s = now_s
        if now_s - self._settled_since_s < record.plan.settle_s:
            return None
        self._started_s = self._last_analysis_s = now_s
        return StartBake(record.stage)
