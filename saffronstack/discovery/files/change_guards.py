"""Decides whether a valid version may be applied without an operator's approval. No I/O.

A valid list may still be wrong. It may be written by a broken script, restored from an old copy, or reduced
to one rack. Such a version waits until an operator approves its digest, and the previous version stays in
force. Workers that it marks as draining are drained at once, because an unnecessary drain does no harm and a
missed one does.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from saffronstack.discovery.files.flap_detection import FlapSettings
from saffronstack.discovery.files.parsing import WorkerListVersion


@dataclass(frozen=True, slots=True)
class GuardSettings:
    """Limits within which a version needs no approval.

    Attributes:
        allow_empty: Whether a version may list no workers.
        max_removed_fraction: Largest fraction of the ready workers that one version may remove.
        always_removable_count: Number of ready workers that a version may remove regardless of the fraction.
        allow_older: Whether a version may have a lower generation than the one in force.
        flapping: Thresholds of flap detection.
    """

    allow_empty: bool = False
    max_removed_fraction: float = 0.5
    always_removable_count: int = 2
    allow_older: bool = False
    flapping: FlapSettings = field(default_factory=FlapSettings)


@dataclass(frozen=True, slots=True)
class ApprovalRequired:
    """A version needs the approval of an operator before it is applied."""

    reason: str


def review_version(
    settings: GuardSettings,
    current: WorkerListVersion | None,
    candidate: WorkerListVersion,
    is_approved: bool,
) -> ApprovalRequired | None:
    """Return the reason for which a version needs approval, or None if it may be applied.

    Args:
        settings: Limits within which no approval is needed.
        current: The version in force; None before the first version.
        candidate: The version to apply.
        is_approved: Whether an operator approved the candidate.
    """
    if is_approved:
        return None
    if not candidate.workers and not settings.allow_empty:
        return ApprovalRequired("it lists no workers")
    if current is None:
        return None
    return _review_generation(settings, current, candidate) or _review_removals(settings, current, candidate)


def _review_generation(
    settings: GuardSettings, current: WorkerListVersion, candidate: WorkerListVersion
) -> ApprovalRequired | None:
    generation = candidate.generation
    if 0 < generation < current.generation and not settings.allow_older:
        return ApprovalRequired(
            f"generation {generation} is older than {current.generation}, which is applied"
        )
    if generation and generation == current.generation and candidate.workers != current.workers:
        return ApprovalRequired(
            f"generation {generation} is already applied with different workers: two writers?"
        )
    return None


def _review_removals(
    settings: GuardSettings, current: WorkerListVersion, candidate: WorkerListVersion
) -> ApprovalRequired | None:
    ready = {worker.id for worker in current.workers if worker.state == "ready"}
    removed = ready - {worker.id for worker in candidate.workers}
    if len(removed) > max(settings.always_removable_count, settings.max_removed_fraction * len(ready)):
        return ApprovalRequired(f"{len(removed)} of {len(ready)} ready workers would be removed")
    return None
