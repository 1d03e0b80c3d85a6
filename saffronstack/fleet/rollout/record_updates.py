"""Updates of a rollout's record, most of which add a line to its history. No I/O."""

from __future__ import annotations

from msgspec.structs import replace

from saffronstack.fleet.rollout.canary_types import AnalysisResult, Verdict
from saffronstack.fleet.rollout.operator_requests import OperatorAction
from saffronstack.fleet.rollout.plan import InconclusivePolicy
from saffronstack.fleet.rollout.record import RolloutPhase, RolloutRecord

# The value of a lease has a small size limit, so the growing parts of a record are bounded.
MAX_HISTORY_LINES = 12
MAX_LINE_LENGTH = 120
MAX_REASON_LENGTH = 400


def add_history(record: RolloutRecord, line: str) -> RolloutRecord:
    """Append a line to the history, and drop the oldest lines beyond the limit."""
    history = (*record.history, line[:MAX_LINE_LENGTH])
    return replace(record, history=history[-MAX_HISTORY_LINES:])


def roll_back(record: RolloutRecord, reason: str) -> RolloutRecord:
    """Start a rollback to the old release."""
    changed = replace(
        record, phase=RolloutPhase.ROLLING_BACK, is_paused=False, reason=reason[:MAX_REASON_LENGTH]
    )
    return add_history(changed, f"goes back: {reason}")


def apply_inconclusive_policy(record: RolloutRecord, reason: str) -> RolloutRecord:
    """Hold the rollout or roll it back, depending on the policy in the plan."""
    if record.plan.on_inconclusive is InconclusivePolicy.ROLL_BACK:
        return roll_back(record, f"doubt: {reason}")
    changed = replace(record, phase=RolloutPhase.ON_HOLD, reason=reason[:MAX_REASON_LENGTH])
    return add_history(changed, f"held: {reason}")


def report_stalled_rollback(record: RolloutRecord, reason: str) -> RolloutRecord:
    """Record that a rollback makes no progress, with the reason."""
    return add_history(replace(record, reason=reason[:MAX_REASON_LENGTH]), f"going back: {reason}")


def finish_rollback(record: RolloutRecord) -> RolloutRecord:
    """Record that all gateways run the old release."""
    changed = replace(record, phase=RolloutPhase.ROLLED_BACK)
    return add_history(changed, "returned: the whole fleet runs the old one")


def complete_stage(record: RolloutRecord) -> RolloutRecord:
    """Promote the new release to the next stage, or complete the rollout after the last one."""
    if record.stage + 1 == len(record.plan.stages):
        changed = replace(record, phase=RolloutPhase.COMPLETED, reason="")
        return add_history(changed, "done: the whole fleet runs it")
    changed = replace(record, stage=record.stage + 1, alpha_spent=0.0, reason="")
    return add_history(changed, f"stage {record.stage + 1} of {len(record.plan.stages)} is good")


def apply_request(record: RolloutRecord, action: OperatorAction, number: int) -> RolloutRecord:
    """Apply an operator's request; ``number`` is recorded as the last request."""
    record = replace(record, last_request=number)
    match action:
        case OperatorAction.PAUSE:
            return add_history(replace(record, is_paused=True), "paused by the operator")
        case OperatorAction.RESUME:
            is_on_hold = record.phase is RolloutPhase.ON_HOLD
            phase = RolloutPhase.PROGRESSING if is_on_hold else record.phase
            changed = replace(record, is_paused=False, phase=phase, reason="")
            return add_history(changed, "resumed by the operator")
        case OperatorAction.ABORT:
            return roll_back(record, "aborted by the operator")


def apply_analysis(record: RolloutRecord, result: AnalysisResult) -> RolloutRecord:
    """Apply an analysis of the current stage; return ``record`` itself if there is nothing to store."""
    reasons = "; ".join(result.reasons)
    match result.verdict:
        case Verdict.FAILED:
            return roll_back(replace(record, alpha_spent=result.alpha_spent), f"worse: {reasons}")
        case Verdict.INCONCLUSIVE:
            return apply_inconclusive_policy(replace(record, alpha_spent=result.alpha_spent), reasons)
        case Verdict.RUNNING if result.alpha_spent > record.alpha_spent:
            # The spent probability is stored, otherwise the next leader would spend it again.
            return replace(record, alpha_spent=result.alpha_spent)
        case Verdict.RUNNING:
            return record
        case Verdict.SUCCESSFUL:
            return complete_stage(record)
