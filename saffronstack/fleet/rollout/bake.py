"""When the bake of a stage begins, and when it is analyzed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.fleet.rollout.events import AnalyzeStage, StartBake
from saffronstack.fleet.rollout.record import RolloutRecord

ANALYSES_PER_BAKE = 10
MAX_UNSETTLED_PROGRESS = 0.99  # a bake is analyzed to its end only once all gateways are settled


@dataclass(slots=True)
class BakeTimer:
    """The bake of the present stage; times in seconds of one clock."""

    _settled_since_s: float | None = None
    _started_s: float | None = None
    _last_analysis_s: float = 0.0
    _is_analyzing: bool = False

    @property
    def has_started(self) -> bool:
        """Whether the stage bakes."""
        return self._started_s is not None

    def reset(self) -> None:
        """Forget the bake: another stage or phase begins."""
        self._settled_since_s, self._started_s, self._is_analyzing = None, None, False

    def finish_analysis(self) -> None:
        """Take in that the analysis under way has completed."""
        self._is_analyzing = False

    def next_action(
        self, now_s: float, record: RolloutRecord, is_settled: bool
    ) -> StartBake | AnalyzeStage | None:
        """Return what is due.

        Args:
            now_s: The time.
            record: Of the rollout.
            is_settled: Whether all gateways run the release that they are to run. One that goes silent or
                down during the bake is the analysis's matter; no bake ends with it.
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
